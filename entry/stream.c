/* Non-blocking TCP sockets: addresses, connecting, reading and writing. */
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
/*
 * TCP_USER_TIMEOUT. A peer that acknowledges nothing for this long counts as
 * lost, because a network partition sends no reset. The shortest deadlines of
 * callers are a few seconds.
 */
#define USER_TIMEOUT_MS 5000
#define BACKLOG		1024
/* Size of an output buffer, in bytes, that is kept for the next output. */
#define OUTPUT_KEPT 65536

/*
 * Parses an address such as "1.2.3.4:567". Returns 0, or -1 if it is malformed.
 */
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

/* Returns a listening socket, or -1 with errno set. */
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

static void on_ready(void *ctx, int fd, int events);

static void watch(struct stream *s)
{
	int events =
		(s->paused ? 0 : LOOP_READ) | (s->wants_write ? LOOP_WRITE : 0);

	loop_watch(s->loop, s->fd, events, on_ready, s);
}

/* Closes the stream and then tells its owner why. */
static void end_stream(struct stream *s, enum stream_end why)
{
	const struct stream_callbacks *calls = s->calls;
	void *ctx = s->ctx;

	stream_close(s);
	calls->ended(ctx, why);
}

/* Sets the size of the output buffer in the account. What was sent of it is
 * freed only with the rest. */
static void account_output(struct stream *s)
{
	if (s->buffers)
		tr_buffers_resize(s->buffers, s->buffer, s->out->len);
}

static void want_write(struct stream *s, bool wants)
{
	if (s->wants_write == wants)
		return;
	s->wants_write = wants;
	watch(s);
}

/*
 * Sends as much of the bytes as the socket takes, and returns how many need not
 * be sent any more. A write error is reported only through the next read, so
 * that no callback runs while the owner is in the middle of a write. It is
 * noted because the kernel reports it once, and reads as an orderly end after
 * that. EPIPE is the error of a connection whose peer had ended its side in
 * order before it was lost.
 */
static size_t send_some(struct stream *s, const uint8_t *data, size_t len)
{
	size_t offset = 0;

	while (offset < len) {
		ssize_t n =
			send(s->fd, data + offset, len - offset, MSG_NOSIGNAL);

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			break;
		if (n < 0) {
			s->write_failed = true;
			s->lost |= errno != EPIPE;
			return len;
		}
		offset += (size_t)n;
		s->sent += (uint64_t)n;
	}
	return offset;
}

/* Empties the output buffer. The memory of a large one is freed. */
static void clear_output(struct stream *s)
{
	if (s->out->len > OUTPUT_KEPT) {
		g_byte_array_free(s->out, TRUE);
		s->out = g_byte_array_new();
	}
	g_byte_array_set_size(s->out, 0);
	s->out_offset = 0;
}

/* Sends as much of the output buffer as the socket takes. */
static void flush_output(struct stream *s)
{
	s->out_offset += send_some(s, s->out->data + s->out_offset,
				   s->out->len - s->out_offset);
	if (s->out_offset < s->out->len) {
		want_write(s, true);
		return;
	}
	clear_output(s);
	account_output(s);
	want_write(s, false);
}

static void finish_connect(struct stream *s)
{
	socklen_t len = sizeof(int);
	int err = 0;

	getsockopt(s->fd, SOL_SOCKET, SO_ERROR, &err, &len);
	if (err) {
		s->refused = err == ECONNREFUSED;
		end_stream(s, STREAM_CONNECT_FAILED);
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
		end_stream(s, s->lost ? STREAM_RESET : STREAM_CLOSED);
	else if (errno != EAGAIN && errno != EINTR)
		end_stream(s, STREAM_RESET);
}

static void on_ready(void *ctx, int fd, int events)
{
	struct stream *s = ctx;

	(void)fd;
	if (s->connecting) {
		finish_connect(s);
		return;
	}
	if (events & LOOP_WRITE && !stream_is_drained(s)) {
		flush_output(s);
		if (stream_is_drained(s) && s->calls->drained) {
			s->calls->drained(s->ctx);
			return;
		}
	}
	/* What can't be kept is not read. */
	if (events & LOOP_READ && !(s->buffers && tr_buffers_full(s->buffers)))
		receive(s);
	else if (stream_is_drained(s))
		want_write(s, false);
}

static void set_options(int fd)
{
	int one = 1;
	int user_timeout = USER_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout,
		   sizeof(user_timeout));
}

static int init_stream(struct stream *s, struct loop *loop, int fd,
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

/*
 * Starts to connect, from the address from_ip unless it is NULL. The connected
 * or ended callback follows. Returns 0; or -1, with s->refused set if nothing
 * listens at the peer.
 */
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
	init_stream(s, loop, fd, calls, ctx);
	s->connecting = true;
	s->wants_write = true;
	watch(s);
	return 0;
}

/* Initialises the stream with an accepted socket. */
int stream_adopt(struct stream *s, struct loop *loop, int fd,
		 const struct stream_callbacks *calls, void *ctx)
{
	init_stream(s, loop, fd, calls, ctx);
	watch(s);
	return 0;
}

/* Counts the output buffer in the account, for the given use with the stream's
 * context. */
void stream_account(struct stream *s, struct tr_buffers *buffers,
		    const struct tr_buffer_use *use)
{
	s->buffers = buffers;
	s->buffer = tr_buffers_open(buffers, use, s->ctx);
	account_output(s);
}

/* Sends data, and buffers what the socket does not take now. */
void stream_write(struct stream *s, const void *data, size_t len)
{
	size_t sent = 0;

	if (s->fd < 0)
		return;
	if (!s->connecting && !s->out->len)
		sent = send_some(s, data, len);
	if (sent == len)
		return;
	g_byte_array_append(s->out, (const guint8 *)data + sent,
			    (guint)(len - sent));
	account_output(s);
	if (!s->connecting)
		want_write(s, true);
}

/* Returns whether the output buffer is empty. */
bool stream_is_drained(const struct stream *s)
{
	return s->fd < 0 || s->out_offset == s->out->len;
}

/* Returns how many bytes are in the output buffer. */
size_t stream_pending(const struct stream *s)
{
	return s->fd < 0 ? 0 : s->out->len - s->out_offset;
}

/* Stops reading, until stream_resume(). */
void stream_pause(struct stream *s)
{
	s->paused = true;
	if (s->fd >= 0)
		watch(s);
}

/*
 * Resumes reading, also after the owner had told the loop not to watch the
 * socket.
 */
void stream_resume(struct stream *s)
{
	s->paused = false;
	if (s->fd >= 0)
		watch(s);
}

/* Moves the connection to another owner, and leaves from as if closed. */
void stream_move(struct stream *to, struct stream *from,
		 const struct stream_callbacks *calls, void *ctx)
{
	loop_unwatch(from->loop, from->fd);
	if (from->buffers)
		tr_buffers_close(from->buffers, &from->buffer);
	from->buffers = NULL;
	*to = *from;
	from->fd = -1;
	from->out = NULL;
	to->calls = calls;
	to->ctx = ctx;
	watch(to);
}

/* Closes the connection. No callback runs after this. */
void stream_close(struct stream *s)
{
	if (s->fd < 0 || !s->out)
		return;
	loop_unwatch(s->loop, s->fd);
	close(s->fd);
	s->fd = -1;
	if (s->buffers)
		tr_buffers_close(s->buffers, &s->buffer);
	g_byte_array_free(s->out, TRUE);
	s->out = NULL;
}
