/* HTTP client for single GET requests on the event loop. */
#include "fetch.h"

#include <arpa/inet.h>
#include <string.h>

#define HEAD_MAX 16384
/* Times that the timeout may run while data keeps coming: a megabyte on a link
 * of 10 Mbit/s takes 0.9 s. */
#define TIMEOUT_EXTENSIONS 8

static void close_connection(struct fetcher *f)
{
	if (f->open)
		stream_close(&f->stream);
	f->open = false;
}

static void finish_request(struct fetcher *f, const struct message *answer)
{
	fetch_done_fn done = f->done;

	loop_cancel_timer(f->loop, f->timer);
	f->timer = NULL;
	f->busy = false;
	if (!answer || !answer->keep_alive)
		close_connection(f);
	done(f->ctx, answer);
}

static void received(void *ctx, const char *data, size_t len)
{
	struct fetcher *f = ctx;
	ssize_t used = f->busy ? message_feed(&f->answer, data, len) : -1;

	tr_buffers_resize(f->buffers, f->buffer, f->answer.body->len);
	if (used < 0) {
		close_connection(f);
		if (f->busy)
			finish_request(f, NULL);
		return;
	}
	if (!f->answer.complete) {
		f->progressed = true;
		return;
	}
	if ((size_t)used != len)
		f->answer.keep_alive = false;
	finish_request(f, &f->answer);
}

static int send_request(struct fetcher *f);

static void ended(void *ctx, enum stream_end why)
{
	struct fetcher *f = ctx;
	bool no_bytes = !f->answer.begun;

	f->open = false;
	if (!f->busy)
		return;
	/* The server closed the reused connection before it read the request.
	 */
	if (f->reused && no_bytes) {
		f->reused = false;
		if (!send_request(f))
			return;
	}
	if (why == STREAM_CLOSED && message_end_of_stream(&f->answer))
		finish_request(f, &f->answer);
	else
		finish_request(f, NULL);
}

static const struct stream_callbacks calls = {
	.received = received,
	.ended = ended,
};

static void timed_out(void *ctx)
{
	struct fetcher *f = ctx;

	f->timer = NULL;
	if (f->progressed && --f->extensions_left) {
		f->progressed = false;
		f->timer = loop_add_timer(f->loop, f->timeout, timed_out, f);
		return;
	}
	close_connection(f);
	finish_request(f, NULL);
}

static int send_request(struct fetcher *f)
{
	message_reset(&f->answer);
	f->reused = f->open;
	if (!f->open &&
	    stream_connect(&f->stream, f->loop, &f->to, f->from_ip, &calls, f))
		return -1;
	f->open = true;
	stream_write(&f->stream, f->request, strlen(f->request));
	return 0;
}

static const struct tr_buffer_use answer_use = { .kind = TR_BUFFER_FIXED };

void fetcher_init(struct fetcher *f, struct loop *loop, const char *from_ip,
		  struct tr_buffers *buffers)
{
	memset(f, 0, sizeof(*f));
	f->buffers = buffers;
	f->buffer = tr_buffers_open(buffers, &answer_use, f);
	f->loop = loop;
	f->from_ip = from_ip;
	message_init(&f->answer, HTTP_RESPONSE, HEAD_MAX, FETCH_BODY_MAX);
}

/* Starts a GET. Returns 0, and calls done later, or -1 if it can't be started.
 * timeout is the longest time without any data, in us. */
int fetcher_get(struct fetcher *f, const struct sockaddr_in *to,
		const char *path, apr_time_t timeout, fetch_done_fn done,
		void *ctx)
{
	char ip[INET_ADDRSTRLEN] = "";

	if (f->busy)
		return -1;
	if (memcmp(&f->to, to, sizeof(*to)) != 0)
		close_connection(f);
	f->to = *to;
	f->done = done;
	f->ctx = ctx;
	inet_ntop(AF_INET, &to->sin_addr, ip, sizeof(ip));
	g_free(f->request);
	f->request = g_strdup_printf("GET %s HTTP/1.1\r\nHost: %s:%u\r\n\r\n",
				     path, ip, ntohs(to->sin_port));
	if (send_request(f))
		return -1;
	f->busy = true;
	f->progressed = false;
	f->extensions_left = TIMEOUT_EXTENSIONS;
	f->timeout = timeout;
	f->timer = loop_add_timer(f->loop, timeout, timed_out, f);
	return 0;
}

/* Aborts the running request without calling done. */
void fetcher_cancel(struct fetcher *f)
{
	if (!f->busy)
		return;
	loop_cancel_timer(f->loop, f->timer);
	f->timer = NULL;
	f->busy = false;
	close_connection(f);
}

void fetcher_release(struct fetcher *f)
{
	fetcher_cancel(f);
	close_connection(f);
	tr_buffers_close(f->buffers, &f->buffer);
	message_free(&f->answer);
	g_free(f->request);
	f->request = NULL;
}
