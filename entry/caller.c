/* HTTP/1.1 server: accepts connections, reads requests and sends replies. */
#include "caller.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"

/*
 * Pipelined bytes that are buffered while a request is handled. Beyond this,
 * the connection is not read until the request is answered.
 */
#define MAX_PIPELINED_BYTES 65536
/*
 * Connections accepted per wake-up, so that other descriptors get their turn.
 */
#define MAX_ACCEPTS_PER_WAKEUP 64
/* With a request that is refused for want of memory. */
#define OTHERS_MAY_HAVE_ROOM "Retry-After: 0.300\r\n"
/* Bodies of replies up to this size, in bytes, are sent together with the head.
 */
#define SMALL_REPLY 16384
/* Time for the peer to close after the last reply: a few round trips. */
#define LINGER_TIMEOUT TR_MSEC(500)

/* In force until a configuration sets limits. */
static const struct tr_caller_limits default_limits = {
	.header_bytes = 16384,
	.body_bytes = 1048576,
	.header_timeout = TR_SEC(5),
	.idle_timeout = TR_SEC(15),
};

static apr_time_t now_of(const struct caller *c)
{
	return tr_clock_now(loop_clock(c->listener->loop));
}

/* Returns the reason phrase of an HTTP status. */
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

/*
 * Frees the connection. While received() still uses it, the free is deferred
 * to the end of that callback.
 */
static void free_caller(struct caller *c)
{
	if (c->parsing) {
		c->free_pending = true;
		return;
	}
	loop_cancel_timer(c->listener->loop, c->timer);
	stream_close(&c->stream);
	tr_buffers_close(c->listener->buffers, &c->buffer);
	unlink_caller(c);
	message_free(&c->in);
	if (c->pipelined)
		g_byte_array_free(c->pipelined, TRUE);
	free(c);
}

/* Frees the connection and tells the request handler if one was at work. */
static void drop_caller(struct caller *c)
{
	bool handling = c->handling;

	c->handling = false;
	if (handling && c->listener->calls->disconnected)
		c->listener->calls->disconnected(c->listener->ctx, c);
	free_caller(c);
}

/*
 * Returns when the connection times out: lingering, reading a request head, or
 * idle.
 */
static apr_time_t timeout_at(const struct caller *c)
{
	const struct tr_caller_limits *limits = &c->listener->limits;

	if (c->lingering)
		return c->last_active_at + LINGER_TIMEOUT;
	if (c->in.begun && !c->in.head_done)
		return c->request_began_at + limits->header_timeout;
	return c->last_active_at + limits->idle_timeout;
}

static void on_timeout(void *ctx);

/*
 * Arms the timer for timeout_at(). A timer that fires earlier is left alone and
 * rearms itself, because each request moves the timeout later. Only a request
 * head that begins on an idle connection moves it earlier.
 */
static void set_timer(struct caller *c)
{
	apr_time_t at = timeout_at(c);
	apr_time_t left = at - now_of(c);

	if (c->timer && c->timer_due <= at)
		return;
	loop_cancel_timer(c->listener->loop, c->timer);
	c->timer_due = at;
	c->timer = loop_add_timer(c->listener->loop, left > 0 ? left : 0,
				  on_timeout, c);
}

/* Answers the request with an error status and closes the connection. */
static void reject(struct caller *c, int status, const char *headers)
{
	struct caller_reply reply = {
		.status = status,
		.headers = headers,
		.close = true,
	};

	c->handling = true;
	caller_reply(c, &reply);
}

/* Sets the size of what was read in the account. */
static void account_request(struct caller *c)
{
	tr_buffers_resize(c->listener->buffers, c->buffer,
			  c->in.body->len +
				  (c->pipelined ? c->pipelined->len : 0));
}

/* Hands the body of the request that is being handled over to the handler. */
GByteArray *caller_take_body(struct caller *c)
{
	GByteArray *body = c->in.body;

	c->in.body = g_byte_array_new();
	account_request(c);
	return body;
}

/*
 * Memory is short: refuses the request that is being read, or that the handler
 * holds. Once its body was handed over, only pipelined bytes are here, which
 * the caller sends again after the connection is closed.
 */
static void give_up_request(void *ctx)
{
	struct caller *c = ctx;

	if (c->handling && !c->in.body->len) {
		if (c->pipelined)
			g_byte_array_free(c->pipelined, TRUE);
		c->pipelined = NULL;
		c->close_after = true;
		return;
	}
	if (c->handling && c->listener->calls->disconnected)
		c->listener->calls->disconnected(c->listener->ctx, c);
	reject(c, 503, OTHERS_MAY_HAVE_ROOM);
}

/* Memory is short: ends the connection of a caller that does not read. */
static void give_up_reply(void *ctx)
{
	drop_caller(ctx);
}

static const struct tr_buffer_use request_use = {
	.kind = TR_BUFFER_REQUEST,
	.give_up = give_up_request,
};

static const struct tr_buffer_use reply_use = {
	.kind = TR_BUFFER_REPLY,
	.give_up = give_up_reply,
};

static void on_timeout(void *ctx)
{
	struct caller *c = ctx;

	c->timer = NULL;
	if (c->handling || now_of(c) < timeout_at(c)) {
		if (c->handling)
			c->last_active_at = now_of(c);
		set_timer(c);
		return;
	}
	/* A partial request gets 408; an idle connection is just closed. */
	if (c->in.begun && !c->lingering)
		reject(c, 408, NULL);
	else
		free_caller(c);
}

/* Sends 100 Continue, once per request, if the client expects it. */
static void send_continue(struct caller *c)
{
	static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";
	const char *expect = message_header(&c->in, "Expect");

	if (c->continue_sent || !expect || strcasecmp(expect, "100-continue"))
		return;
	c->continue_sent = true;
	stream_write(&c->stream, text, sizeof(text) - 1);
}

/* Returns the status for a request that the parser refused. */
static int parse_error_status(const struct caller *c)
{
	if (c->in.head_too_long)
		return 431;
	return c->in.body_too_long ? 413 : 400;
}

/*
 * Parses received bytes and stores in used how many belong to this request.
 * Returns true when the request is complete.
 */
static bool parse(struct caller *c, const char *data, size_t len, size_t *used)
{
	ssize_t n;

	if (!c->in.begun)
		c->request_began_at = now_of(c);
	n = message_feed(&c->in, data, len);
	if (n < 0) {
		reject(c, parse_error_status(c), NULL);
		*used = len;
		return false;
	}
	*used = (size_t)n;
	if (c->in.head_done && !c->in.complete)
		send_continue(c);
	return c->in.complete;
}

static void handle(struct caller *c)
{
	c->handling = true;
	c->close_after = !c->in.keep_alive;
	c->listener->calls->handle(c->listener->ctx, c);
}

/*
 * Buffers bytes that follow the current request. Stops reading from the
 * connection when the buffer exceeds its limit.
 */
static void save_pipelined(struct caller *c, const char *data, size_t len)
{
	if (!len)
		return;
	if (!c->pipelined)
		c->pipelined = g_byte_array_new();
	g_byte_array_append(c->pipelined, (const guint8 *)data, (guint)len);
	if (c->pipelined->len > MAX_PIPELINED_BYTES)
		loop_unwatch(c->listener->loop, c->stream.fd);
}

static void received(void *ctx, const char *data, size_t len)
{
	struct caller *c = ctx;
	size_t used = 0;

	c->last_active_at = now_of(c);
	if (c->lingering || (c->close_after && !c->handling))
		return;
	/* Bytes that were buffered earlier come first. */
	if (c->handling || c->pipelined) {
		save_pipelined(c, data, len);
		account_request(c);
		return;
	}
	c->parsing = true;
	if (parse(c, data, len, &used)) {
		save_pipelined(c, data + used, len - used);
		handle(c);
	}
	c->parsing = false;
	account_request(c);
	if (c->free_pending)
		free_caller(c);
	else
		set_timer(c);
}

static void begin_linger(struct caller *c);

static void ended(void *ctx, enum stream_end why)
{
	(void)why;
	drop_caller(ctx);
}

static void drained(void *ctx)
{
	struct caller *c = ctx;

	if (c->close_after && !c->handling && !c->lingering)
		begin_linger(c);
}

static const struct stream_callbacks stream_callbacks = {
	.received = received,
	.ended = ended,
	.drained = drained,
};

/* Processes the buffered bytes that followed the request just answered. */
static void serve_pipelined(void *ctx)
{
	struct caller *c = ctx;
	GByteArray *pipelined = c->pipelined;

	c->timer = NULL;
	c->pipelined = NULL;
	if (pipelined->len > MAX_PIPELINED_BYTES)
		stream_resume(&c->stream);
	received(c, (const char *)pipelined->data, pipelined->len);
	g_byte_array_free(pipelined, TRUE);
}

/*
 * Shuts down the sending side and waits for the peer to close. Closing with
 * unread bytes in the receive buffer would send a reset, and the reply could be
 * lost.
 */
static void begin_linger(struct caller *c)
{
	c->lingering = true;
	shutdown(c->stream.fd, SHUT_WR);
	loop_cancel_timer(c->listener->loop, c->timer);
	c->timer = NULL;
	set_timer(c);
}

/*
 * Sends the reply to the request being handled. The connection may be freed by
 * the time this returns.
 */
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
	if (a->body_len <= SMALL_REPLY)
		g_string_append_len(head, a->body, (gssize)a->body_len);
	stream_write(&c->stream, head->str, head->len);
	if (a->body_len > SMALL_REPLY)
		stream_write(&c->stream, a->body, a->body_len);
	g_string_free(head, TRUE);
	c->handling = false;
	c->close_after = close;
	c->last_active_at = now_of(c);
	message_reset(&c->in);
	account_request(c);
	c->continue_sent = false;
	if (close) {
		if (stream_is_drained(&c->stream))
			begin_linger(c);
		return;
	}
	if (!c->pipelined)
		return;
	loop_cancel_timer(c->listener->loop, c->timer);
	c->timer_due = c->last_active_at;
	c->timer = loop_add_timer(c->listener->loop, 0, serve_pipelined, c);
}

/*
 * Moves the connection of a request that is being handled to another owner,
 * which speaks another protocol on it, and frees the caller.
 */
void caller_detach(struct caller *c, struct stream *to,
		   const struct stream_callbacks *calls, void *ctx)
{
	c->handling = false;
	stream_move(to, &c->stream, calls, ctx);
	free_caller(c);
}

/* Starts to serve an accepted connection. Closes it when out of memory. */
static void accept_caller(struct listener *listener, int fd)
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
	stream_account(&c->stream, listener->buffers, &reply_use);
	c->buffer = tr_buffers_open(listener->buffers, &request_use, c);
	c->last_active_at = now_of(c);
	set_timer(c);
}

static void on_readable(void *ctx, int fd, int events)
{
	struct listener *listener = ctx;

	(void)events;
	for (int i = 0; i < MAX_ACCEPTS_PER_WAKEUP; i++) {
		int conn =
			accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (conn < 0)
			return;
		accept_caller(listener, conn);
	}
}

/*
 * Opens a listening socket at address, which is IP:PORT. What callers send and
 * are sent is counted in buffers. Returns 0, or -1 with errno set.
 */
int listener_open(struct listener *listener, struct loop *loop,
		  const char *address, struct tr_buffers *buffers,
		  const struct listener_callbacks *calls, void *ctx)
{
	memset(listener, 0, sizeof(*listener));
	listener->loop = loop;
	listener->buffers = buffers;
	listener->calls = calls;
	listener->ctx = ctx;
	listener->limits = default_limits;
	listener->fd = stream_listen(address);
	if (listener->fd < 0)
		return -1;
	return loop_watch(loop, listener->fd, LOOP_READ, on_readable, listener);
}

/* Closes the listening socket. Open connections are served on. */
void listener_stop_accepting(struct listener *listener)
{
	if (listener->fd < 0)
		return;
	loop_unwatch(listener->loop, listener->fd);
	close(listener->fd);
	listener->fd = -1;
}

/* Returns whether no request has begun, and the last reply is delivered. */
static bool is_idle(const struct caller *c)
{
	return !c->handling && !c->in.begun && !c->pipelined && !c->lingering &&
	       stream_is_drained(&c->stream);
}

/* Closes the connections that are idle. */
void listener_close_idle(struct listener *listener)
{
	struct caller *next;

	for (struct caller *c = listener->callers; c; c = next) {
		next = c->next;
		if (is_idle(c))
			free_caller(c);
	}
}

/* Closes the listener and all its connections. */
void listener_close(struct listener *listener)
{
	listener_stop_accepting(listener);
	while (listener->callers)
		drop_caller(listener->callers);
}
