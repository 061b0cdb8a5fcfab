/* Sends the reply to the caller through libmicrohttpd (MHD). */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "headers.h"
#include "request.h"

#define STREAM_BLOCK (32 * 1024)

/* Adds a header to the reply; dropped if memory runs out. */
void reply_add_header(struct reply *reply, const char *name, size_t name_len,
		      const char *value, size_t value_len)
{
	struct header *grown;
	struct header *h;

	grown = realloc(reply->headers,
			(reply->headers_count + 1) * sizeof(*grown));
	if (!grown)
		return;
	reply->headers = grown;
	h = &grown[reply->headers_count];
	h->name = strndup(name, name_len);
	h->value = strndup(value, value_len);
	if (h->name && h->value)
		reply->headers_count++;
}

/*
 * MHD's callback for the next bytes of a streamed body. If the target's answer
 * was cut off, the caller's connection is closed with an error, so that the
 * caller does not take the part for the whole.
 */
static ssize_t read_body(void *ctx, uint64_t pos, char *buf, size_t max)
{
	struct request *r = ctx;
	size_t got = buffer_consume(&r->reply.body, buf, max);

	(void)pos;
	if (got) {
		r->proxy->counts.bytes_out += got;
		attempt_reply_drained(r);
		return (ssize_t)got;
	}
	if (r->reply.cut_off)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (r->reply.complete)
		return MHD_CONTENT_READER_END_OF_STREAM;
	request_suspend(r);
	return 0;
}

static struct MHD_Response *make_response(struct request *r)
{
	struct reply *reply = &r->reply;
	bool head = !strcmp(r->method, "HEAD");

	if (!reply->streaming && !head) {
		r->proxy->counts.bytes_out += reply->body.len;
		return MHD_create_response_from_buffer(
			reply->body.len, (void *)buffer_data(&reply->body),
			MHD_RESPMEM_MUST_COPY);
	}
	return MHD_create_response_from_callback(
		reply->length >= 0 ? (uint64_t)reply->length : MHD_SIZE_UNKNOWN,
		STREAM_BLOCK, read_body, r, NULL);
}

/* Headers with the outcome; a forwarded answer already has them. */
static void add_result_headers(struct request *r, struct MHD_Response *response)
{
	struct reply *reply = &r->reply;
	char text[64];

	if (r->attempt.forwarded && !reply->generated)
		return;
	MHD_add_response_header(
		response, HEADER_OUTCOME,
		tr_outcome_name(tr_result_outcome(reply->code)));
	snprintf(text, sizeof(text), "%d %s", (int)reply->code,
		 tr_result_name(reply->code));
	MHD_add_response_header(response, HEADER_CODE, text);
	if (reply->replayed)
		MHD_add_response_header(response, HEADER_REPLAYED, "1");
	if (!reply->retry_after_ms)
		return;
	snprintf(text, sizeof(text), "%u", reply->retry_after_ms);
	MHD_add_response_header(response, HEADER_RETRY_AFTER, text);
	snprintf(text, sizeof(text), "%u",
		 (reply->retry_after_ms + 999) / 1000);
	MHD_add_response_header(response, "Retry-After", text);
}

/* Queues the reply with MHD, which reads a streamed body through r later. */
enum MHD_Result reply_queue(struct request *r)
{
	struct MHD_Response *response = make_response(r);
	enum MHD_Result ret;

	if (!response)
		return MHD_NO;
	for (unsigned i = 0; i < r->reply.headers_count; i++)
		MHD_add_response_header(response, r->reply.headers[i].name,
					r->reply.headers[i].value);
	add_result_headers(r, response);
	ret = MHD_queue_response(r->conn, (unsigned)r->reply.status, response);
	MHD_destroy_response(response);
	r->responded = true;
	return ret;
}
