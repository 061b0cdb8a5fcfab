#include "caller.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"

/* Bytes of further requests that are read ahead while one is handled; then the
 * connection is left unread until it is answered. */
#define BEHIND_MOST 65536
/* Connections taken at one wake-up, so that others get their turn. */
#define ACCEPTS 64
/* Time for the peer to close after the last answer: a few round trips. */
#define LINGER TR_MSEC(500)

/* Limits until a configuration says others. */
static const struct tr_caller_limits first_limits = {
	.header_bytes = 16384,
	.body_bytes = 1048576,
	.header_timeout = TR_SEC(5),
	.idle_timeout = TR_SEC(15),
};

static apr_time_t now_of(const struct caller *c)
{
	return tr_clock_now(loop_clock(c->listener->loop));
}

const char *status_text(int status)
{
	const char *text = http_status_str((enum http_status)status);

	return text ? text : "Unknown";
}

static void unlink_caller(struct caller *c)
{
	if (c->prev)
		c->prev->next = c->next;
	else
		c->listener->callers = c->next;
	if (c->next)
		c->next->prev = c->prev;
	c->listener->count--;
}

static void free_caller(struct caller *c)
{
	if (c->feeding) {
		c->dead = true;
		return;
	}
	loop_cancel(c->listener->loop, c->timer);
	stream_close(&c->stream);
	unlink_caller(c);
	message_free(&c->in);
	if (c->behind)
		g_byte_array_free(c->behind, TRUE);
	free(c);
}

static void hang_up(struct caller *c)
{
	bool handling = c->handling;

	c->handling = false;
	if (handling && c->listener->calls->gone)
		c->listener->calls->gone(c->listener->ctx, c);
	free_caller(c);
}

static apr_time_t closes_at(const struct caller *c)
{
	const struct tr_caller_limits *limits = &c->listener->limits;

	if (c->lingering)
		return c->active_at + LINGER;
	if (c->in.begun && !c->in.head_done)
		return c->began_at + limits->header_timeout;
	return c->active_at + limits->idle_timeout;
}

static void timed_out(void *ctx);

/*
 * The timer is left as it is while it fires early enough: most move later with
 * each request. A head that begins on an idle connection moves it earlier.
 */
static void set_timer(struct caller *c)
{
	apr_time_t at = closes_at(c);
	apr_time_t left = at - now_of(c);

	if (c->timer && c->timer_at <= at)
		return;
	loop_cancel(c->listener->loop, c->timer);
	c->timer_at = at;
	c->timer = loop_after(c->listener->loop, left > 0 ? left : 0, timed_out,
			      c);
}

static void refuse(struct caller *c, int status)
{
	struct caller_reply answer = { .status = status, .close = true };

	c->handling = true;
	caller_reply(c, &answer);
}

static void timed_out(void *ctx)
{
	struct caller *c = ctx;

	c->timer = NULL;
	if (c->handling || now_of(c) < closes_at(c)) {
		if (c->handling)
			c->active_at = now_of(c);
		set_timer(c);
		return;
	}
	/* A request that was begun is told why; an idle end needs no word. */
	if (c->in.begun && !c->lingering)
		refuse(c, 408);
	else
		free_caller(c);
}

static void say_continue(struct caller *c)
{
	static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";
	const char *expect = message_header(&c->in, "Expect");

	if (c->said_continue || !expect || strcasecmp(expect, "100-continue"))
		return;
	c->said_continue = true;
	stream_write(&c->stream, text, sizeof(text) - 1);
}

static int why_wrong(const struct caller *c)
{
	if (c->in.too_long_head)
		return 431;
	return c->in.too_long_body ? 413 : 400;
}

/* The bytes go to the request that is read; true when that is whole. */
static bool feed(struct caller *c, const char *data, size_t len, size_t *used)
{
	ssize_t n;

	if (!c->in.begun)
		c->began_at = now_of(c);
	n = message_feed(&c->in, data, len);
	if (n < 0) {
		refuse(c, why_wrong(c));
		*used = len;
		return false;
	}
	*used = (size_t)n;
	if (c->in.head_done && !c->in.complete)
		say_continue(c);
	return c->in.complete;
}

static void handle(struct caller *c)
{
	c->handling = true;
	c->close_after = !c->in.keep_alive;
	c->listener->calls->handle(c->listener->ctx, c);
}

static void keep_behind(struct caller *c, const char *data, size_t len)
{
	if (!len)
		return;
	if (!c->behind)
		c->behind = g_byte_array_new();
	g_byte_array_append(c->behind, (const guint8 *)data, (guint)len);
	if (c->behind->len > BEHIND_MOST)
		loop_unwatch(c->listener->loop, c->stream.fd);
}

static void received(void *ctx, const char *data, size_t len)
{
	struct caller *c = ctx;
	size_t used = 0;

	c->active_at = now_of(c);
	if (c->lingering || (c->close_after && !c->handling))
		return;
	/* What waits behind the last request comes first. */
	if (c->handling || c->behind) {
		keep_behind(c, data, len);
		return;
	}
	c->feeding = true;
	if (feed(c, data, len, &used)) {
		keep_behind(c, data + used, len - used);
		handle(c);
	}
	c->feeding = false;
	if (c->dead)
		free_caller(c);
	else
		set_timer(c);
}

static void linger(struct caller *c);

static void ended(void *ctx, enum stream_end why)
{
	(void)why;
	hang_up(ctx);
}

static void drained(void *ctx)
{
	struct caller *c = ctx;

	if (c->close_after && !c->handling && !c->lingering)
		linger(c);
}

static const struct stream_callbacks stream_callbacks = {
	.received = received,
	.ended = ended,
	.drained = drained,
};

/* Go on with what came behind the request that was answered. */
static void serve_behind(void *ctx)
{
	struct caller *c = ctx;
	GByteArray *behind = c->behind;

	c->timer = NULL;
	c->behind = NULL;
	if (behind->len > BEHIND_MOST)
		stream_resume(&c->stream);
	received(c, (const char *)behind->data, behind->len);
	g_byte_array_free(behind, TRUE);
}

/*
 * Nothing more will be sent. The peer closes first, where it will: closing
 * with bytes unread would reset the connection, and the answer could be lost.
 */
static void linger(struct caller *c)
{
	c->lingering = true;
	shutdown(c->stream.fd, SHUT_WR);
	loop_cancel(c->listener->loop, c->timer);
	c->timer = NULL;
	set_timer(c);
}

/* Answer the request that is being handled. The caller may be gone after. */
void caller_reply(struct caller *c, const struct caller_reply *a)
{
	bool close = a->close || c->close_after || c->listener->closing;
	GString *head = g_string_sized_new(512);

	g_string_append_printf(head, "HTTP/1.1 %d %s\r\n", a->status,
			       status_text(a->status));
	if (a->headers)
		g_string_append(head, a->headers);
	if (!a->no_body)
		g_string_append_printf(head, "Content-Length: %zu\r\n",
				       a->body_len);
	if (close)
		g_string_append(head, "Connection: close\r\n");
	g_string_append(head, "\r\n");
	if (a->body_len)
		g_string_append_len(head, a->body, (gssize)a->body_len);
	stream_write(&c->stream, head->str, head->len);
	g_string_free(head, TRUE);
	c->handling = false;
	c->close_after = close;
	c->active_at = now_of(c);
	message_reset(&c->in);
	c->said_continue = false;
	if (close) {
		if (stream_is_drained(&c->stream))
			linger(c);
		return;
	}
	if (!c->behind)
		return;
	loop_cancel(c->listener->loop, c->timer);
	c->timer_at = c->active_at;
	c->timer = loop_after(c->listener->loop, 0, serve_behind, c);
}

static void take(struct listener *listener, int fd)
{
	struct caller *c = calloc(1, sizeof(*c));

	if (!c) {
		close(fd);
		return;
	}
	c->listener = listener;
	c->next = listener->callers;
	if (c->next)
		c->next->prev = c;
	listener->callers = c;
	listener->count++;
	message_init(&c->in, HTTP_REQUEST, listener->limits.header_bytes,
		     listener->limits.body_bytes);
	stream_adopt(&c->stream, listener->loop, fd, &stream_callbacks, c);
	c->active_at = now_of(c);
	set_timer(c);
}

static void arrivals(void *ctx, int fd, int events)
{
	struct listener *listener = ctx;

	(void)events;
	for (int i = 0; i < ACCEPTS; i++) {
		int conn =
			accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (conn < 0)
			return;
		take(listener, conn);
	}
}

/* Listen. 0, or -1 with errno. */
int listener_open(struct listener *listener, struct loop *loop,
		  const char *address, const struct listener_callbacks *calls,
		  void *ctx)
{
	memset(listener, 0, sizeof(*listener));
	listener->loop = loop;
	listener->calls = calls;
	listener->ctx = ctx;
	listener->limits = first_limits;
	listener->fd = stream_listen(address);
	if (listener->fd < 0)
		return -1;
	return loop_watch(loop, listener->fd, LOOP_READ, arrivals, listener);
}

/* Take no new connections from here on. */
void listener_refuse_new(struct listener *listener)
{
	if (listener->fd < 0)
		return;
	loop_unwatch(listener->loop, listener->fd);
	close(listener->fd);
	listener->fd = -1;
}

/* Close the connections that wait for a request. */
void listener_close_idle(struct listener *listener)
{
	struct caller *next;

	for (struct caller *c = listener->callers; c; c = next) {
		next = c->next;
		if (!c->handling && !c->in.begun && !c->behind)
			free_caller(c);
	}
}

void listener_close(struct listener *listener)
{
	listener_refuse_new(listener);
	while (listener->callers)
		hang_up(listener->callers);
}
