#include "fetch.h"

#include <arpa/inet.h>
#include <string.h>

#define HEAD_MAX 16384
/* An answer may take so many times its time-out while bytes keep coming: a
 * megabyte on a link of 10 Mbit/s takes 0.9 s. */
#define PATIENCE 8

static void shut(struct fetcher *f)
{
	if (f->open)
		stream_close(&f->stream);
	f->open = false;
}

static void finish(struct fetcher *f, const struct message *answer)
{
	fetch_done_fn done = f->done;

	loop_cancel(f->loop, f->timer);
	f->timer = NULL;
	f->busy = false;
	if (!answer || !answer->keep_alive)
		shut(f);
	done(f->ctx, answer);
}

static void received(void *ctx, const char *data, size_t len)
{
	struct fetcher *f = ctx;
	ssize_t used = f->busy ? message_feed(&f->answer, data, len) : -1;

	if (used < 0) {
		shut(f);
		if (f->busy)
			finish(f, NULL);
		return;
	}
	if (!f->answer.complete) {
		f->progressed = true;
		return;
	}
	if ((size_t)used != len)
		f->answer.keep_alive = false;
	finish(f, &f->answer);
}

static int send_request(struct fetcher *f);

static void ended(void *ctx, enum stream_end why)
{
	struct fetcher *f = ctx;
	bool untouched = !f->answer.begun;

	f->open = false;
	if (!f->busy)
		return;
	/* A kept connection that was closed meanwhile has read nothing. */
	if (f->reused && untouched) {
		f->reused = false;
		if (!send_request(f))
			return;
	}
	if (why == STREAM_CLOSED && message_end_of_stream(&f->answer))
		finish(f, &f->answer);
	else
		finish(f, NULL);
}

static const struct stream_calls calls = {
	.received = received,
	.ended = ended,
};

static void timed_out(void *ctx)
{
	struct fetcher *f = ctx;

	f->timer = NULL;
	if (f->progressed && --f->patience) {
		f->progressed = false;
		f->timer = loop_after(f->loop, f->timeout, timed_out, f);
		return;
	}
	shut(f);
	finish(f, NULL);
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

void fetcher_init(struct fetcher *f, struct loop *loop, const char *from_ip)
{
	memset(f, 0, sizeof(*f));
	f->loop = loop;
	f->from_ip = from_ip;
	message_init(&f->answer, HTTP_RESPONSE, HEAD_MAX, FETCH_BODY_MAX);
}

/* Ask. 0, and done will be called, later; or -1 when that can't begin. timeout
 * is how long no byte need come. */
int fetcher_get(struct fetcher *f, const struct sockaddr_in *to,
		const char *path, apr_time_t timeout, fetch_done_fn done,
		void *ctx)
{
	char ip[INET_ADDRSTRLEN] = "";

	if (f->busy)
		return -1;
	if (memcmp(&f->to, to, sizeof(*to)) != 0)
		shut(f);
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
	f->patience = PATIENCE;
	f->timeout = timeout;
	f->timer = loop_after(f->loop, timeout, timed_out, f);
	return 0;
}

/* Give up what runs; done is not called. */
void fetcher_cancel(struct fetcher *f)
{
	if (!f->busy)
		return;
	loop_cancel(f->loop, f->timer);
	f->timer = NULL;
	f->busy = false;
	shut(f);
}

void fetcher_release(struct fetcher *f)
{
	fetcher_cancel(f);
	shut(f);
	message_free(&f->answer);
	g_free(f->request);
	f->request = NULL;
}
