#include "stream.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_SIZE 65536
/* A peer that takes nothing for so long is gone: a partition says nothing. The
 * callers' shortest deadlines are a few seconds. */
#define UNTAKEN_MS 5000
#define BACKLOG	   1024

/* "1.2.3.4:567" as an address. 0 or -1. */
int stream_parse_address(const char *text, struct sockaddr_in *addr)
{
	const char *colon = text ? strrchr(text, ':') : NULL;
	char ip[INET_ADDRSTRLEN];
	char *end;
	unsigned long port;

	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return -1;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = 0;
	port = strtoul(colon + 1, &end, 10);
	memset(addr, 0, sizeof(*addr));
	addr->sin_family = AF_INET;
	addr->sin_port = htons((uint16_t)port);
	if (*end || !port || port > 65535 ||
	    inet_pton(AF_INET, ip, &addr->sin_addr) != 1)
		return -1;
	return 0;
}

/* A listening socket, or -1 with errno. */
int stream_listen(const char *address)
{
	struct sockaddr_in addr;
	int one = 1;
	int fd;

	if (stream_parse_address(address, &addr)) {
		errno = EINVAL;
		return -1;
	}
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (!bind(fd, (struct sockaddr *)&addr, sizeof(addr)) &&
	    !listen(fd, BACKLOG))
		return fd;
	close(fd);
	return -1;
}

static void ready(void *ctx, int fd, int events);

static void watch(struct stream *s)
{
	int events = LOOP_READ | (s->wants_write ? LOOP_WRITE : 0);

	loop_watch(s->loop, s->fd, events, ready, s);
}

static void end(struct stream *s, enum stream_end why)
{
	const struct stream_callbacks *calls = s->calls;
	void *ctx = s->ctx;

	stream_close(s);
	calls->ended(ctx, why);
}

static void want_write(struct stream *s, bool wants)
{
	if (s->wants_write == wants)
		return;
	s->wants_write = wants;
	watch(s);
}

/*
 * Write what waits. A stream that can't be written any more is reported by its
 * reading side, so that no call comes while its owner is in the middle of a
 * write.
 */
static void flush(struct stream *s)
{
	while (s->out_at < s->out->len) {
		ssize_t n = send(s->fd, s->out->data + s->out_at,
				 s->out->len - s->out_at, MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			break;
		if (n < 0) {
			s->out_at = s->out->len;
			break;
		}
		s->out_at += (size_t)n;
		s->sent += (uint64_t)n;
	}
	if (s->out_at < s->out->len) {
		want_write(s, true);
		return;
	}
	g_byte_array_set_size(s->out, 0);
	s->out_at = 0;
	want_write(s, false);
}

static void finish_connect(struct stream *s)
{
	socklen_t len = sizeof(int);
	int err = 0;

	getsockopt(s->fd, SOL_SOCKET, SO_ERROR, &err, &len);
	if (err) {
		s->refused = err == ECONNREFUSED;
		end(s, STREAM_UNREACHED);
		return;
	}
	s->connecting = false;
	if (s->calls->connected)
		s->calls->connected(s->ctx);
}

static void receive(struct stream *s)
{
	static char buf[READ_SIZE];
	ssize_t n = recv(s->fd, buf, sizeof(buf), 0);

	if (n > 0)
		s->calls->received(s->ctx, buf, (size_t)n);
	else if (!n)
		end(s, STREAM_CLOSED);
	else if (errno != EAGAIN && errno != EINTR)
		end(s, STREAM_RESET);
}

static void ready(void *ctx, int fd, int events)
{
	struct stream *s = ctx;

	(void)fd;
	if (s->connecting) {
		finish_connect(s);
		return;
	}
	if (events & LOOP_WRITE && !stream_is_drained(s)) {
		flush(s);
		if (stream_is_drained(s) && s->calls->drained) {
			s->calls->drained(s->ctx);
			return;
		}
	}
	if (events & LOOP_READ)
		receive(s);
	else if (stream_is_drained(s))
		want_write(s, false);
}

static void set_options(int fd)
{
	int one = 1;
	int untaken = UNTAKEN_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &untaken,
		   sizeof(untaken));
}

static int start(struct stream *s, struct loop *loop, int fd,
		 const struct stream_callbacks *calls, void *ctx)
{
	memset(s, 0, sizeof(*s));
	s->loop = loop;
	s->fd = fd;
	s->calls = calls;
	s->ctx = ctx;
	s->out = g_byte_array_new();
	set_options(fd);
	return 0;
}

/* Begin to connect; calls->connected or ended follows. 0; or -1, and refused
 * says whether nobody listens there. */
int stream_connect(struct stream *s, struct loop *loop,
		   const struct sockaddr_in *to, const char *from_ip,
		   const struct stream_callbacks *calls, void *ctx)
{
	struct sockaddr_in from = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	s->refused = false;
	if (fd < 0)
		return -1;
	if (from_ip && inet_pton(AF_INET, from_ip, &from.sin_addr) == 1 &&
	    bind(fd, (struct sockaddr *)&from, sizeof(from))) {
		close(fd);
		return -1;
	}
	if (connect(fd, (const struct sockaddr *)to, sizeof(*to)) &&
	    errno != EINPROGRESS) {
		s->refused = errno == ECONNREFUSED;
		close(fd);
		return -1;
	}
	start(s, loop, fd, calls, ctx);
	s->connecting = true;
	s->wants_write = true;
	watch(s);
	return 0;
}

/* Take over a socket that was accepted. */
int stream_adopt(struct stream *s, struct loop *loop, int fd,
		 const struct stream_callbacks *calls, void *ctx)
{
	start(s, loop, fd, calls, ctx);
	watch(s);
	return 0;
}

/* Send, now or as soon as the peer takes it. */
void stream_write(struct stream *s, const void *data, size_t len)
{
	if (s->fd < 0)
		return;
	g_byte_array_append(s->out, data, (guint)len);
	if (!s->connecting)
		flush(s);
}

bool stream_is_drained(const struct stream *s)
{
	return s->fd < 0 || s->out_at == s->out->len;
}

/* Read on, after the loop was told not to watch. */
void stream_resume(struct stream *s)
{
	if (s->fd >= 0)
		watch(s);
}

/* Hand the connection on to another owner. from is as if it had been closed.
 */
void stream_move(struct stream *to, struct stream *from,
		 const struct stream_callbacks *calls, void *ctx)
{
	loop_unwatch(from->loop, from->fd);
	*to = *from;
	from->fd = -1;
	from->out = NULL;
	to->calls = calls;
	to->ctx = ctx;
	watch(to);
}

void stream_close(struct stream *s)
{
	if (s->fd < 0 || !s->out)
		return;
	loop_unwatch(s->loop, s->fd);
	close(s->fd);
	s->fd = -1;
	g_byte_array_free(s->out, TRUE);
	s->out = NULL;
}
