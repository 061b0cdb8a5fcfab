/* Allocation of requests, and suspension of their connections. */
#include "request.h"

#include <stdlib.h>
#include <string.h>

#include "client.h"
#include "loop.h"
#include "server.h"

/* Creates the state of a request whose request line has been read. */
struct request *request_new(struct proxy *proxy, const char *uri)
{
	struct request *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->uri = strdup(uri);
	if (!r->uri) {
		free(r);
		return NULL;
	}
	r->proxy = proxy;
	r->path = r->uri;
	r->began = tr_clock_now(loop_clock(proxy->loop));
	r->waiter = TR_NO_WAITER;
	r->record = TR_NO_RECORD;
	r->body.max = proxy->body_buffer;
	r->reply.body.max = proxy->body_buffer * 2;
	r->next = proxy->requests;
	if (r->next)
		r->next->prev = r;
	proxy->requests = r;
	proxy->in_flight++;
	return r;
}

/* Empties the reply but keeps the limit of its body. */
void reply_clear(struct reply *reply)
{
	size_t max = reply->body.max;

	for (unsigned i = 0; i < reply->headers_count; i++) {
		free(reply->headers[i].name);
		free(reply->headers[i].value);
	}
	free(reply->headers);
	buffer_free(&reply->body);
	memset(reply, 0, sizeof(*reply));
	reply->body.max = max;
	reply->length = -1;
}

void request_free(struct request *r)
{
	if (r->next)
		r->next->prev = r->prev;
	if (r->prev)
		r->prev->next = r->next;
	else
		r->proxy->requests = r->next;
	r->proxy->in_flight--;
	if (r->service_referenced)
		r->svc->users--;
	reply_clear(&r->reply);
	buffer_free(&r->body);
	free(r->uri);
	free(r);
}

/* Stops reading from and writing to the caller until request_resume. */
void request_suspend(struct request *r)
{
	if (!r->conn || r->suspended)
		return;
	r->suspended = true;
	MHD_suspend_connection(r->conn);
}

void request_resume(struct request *r)
{
	if (!r->conn || !r->suspended)
		return;
	r->suspended = false;
	MHD_resume_connection(r->conn);
	server_wake(r->proxy->server);
}

/* Value of a header of the caller's request, or NULL. */
const char *request_header(const struct request *r, const char *name)
{
	if (!r->conn)
		return NULL;
	return MHD_lookup_connection_value(r->conn, MHD_HEADER_KIND, name);
}
