/* Checks of a request's headers, before its body is read. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config.h"
#include "headers.h"
#include "loop.h"
#include "proxy.h"

#define DOCUMENT_WAIT TR_MSEC(1000)
#define SERVICE_PATH  "/s/"
#define MIN_DEADLINE  TR_MSEC(1)

/* The headers that determine the length of the body. */
struct framing {
	unsigned lengths;
	unsigned encodings;
	bool malformed;
	int64_t length;
};

static int check_framing_header(void *ctx, enum MHD_ValueKind kind,
				const char *name, const char *value)
{
	struct framing *f = ctx;
	size_t len = value ? strlen(value) : 0;

	(void)kind;
	if (!strcasecmp(name, "Content-Length")) {
		f->lengths++;
		f->malformed |=
			!len || strspn(value, "0123456789") != len || len > 15;
		f->length = len ? strtoll(value, NULL, 10) : 0;
	}
	if (!strcasecmp(name, "Transfer-Encoding")) {
		f->encodings++;
		f->malformed |= !value || strcasecmp(value, "chunked") != 0;
	}
	if (strchr(name, ' ') || (value && strpbrk(value, "\r\n")))
		f->malformed = true;
	return MHD_YES;
}

/*
 * Rejects ambiguous framing, against request smuggling: a request hidden in
 * the body of another would run without a route, a key or a ledger entry.
 */
static bool check_framing(struct request *r)
{
	struct framing f = { 0 };

	MHD_get_connection_values(r->conn, MHD_HEADER_KIND,
				  (MHD_KeyValueIterator)check_framing_header,
				  &f);
	if (f.malformed || f.lengths > 1 || f.encodings > 1 ||
	    (f.lengths && f.encodings))
		return false;
	r->has_body = f.encodings || f.length > 0;
	r->body_length = f.encodings ? -1 : f.length;
	return true;
}

static bool set_service_name(struct request *r, const char *name, size_t len)
{
	if (!len || len > TR_NAME_MAX)
		return false;
	memcpy(r->service, name, len);
	r->service[len] = 0;
	return strspn(r->service, "abcdefghijklmnopqrstuvwxyz0123456789-.") ==
	       len;
}

/*
 * Reads the service's name from the path /s/NAME/..., or from the first label
 * of the Host header.
 */
static bool parse_service_name(struct request *r)
{
	const char *host = request_header(r, "Host");
	size_t prefix_len = strlen(SERVICE_PATH);
	size_t len;

	if (!strncmp(r->uri, SERVICE_PATH, prefix_len)) {
		len = strcspn(r->uri + prefix_len, "/?");
		if (!set_service_name(r, r->uri + prefix_len, len))
			return false;
		r->path = r->uri + prefix_len + len;
		if (*r->path != '/')
			r->path = "/";
		return true;
	}
	return host && set_service_name(r, host, strcspn(host, ".:"));
}

/* The caller may shorten the route's deadline but not extend it. */
static void set_deadline(struct request *r)
{
	const struct tr_document *doc = r->svc->document;
	const char *text = request_header(r, HEADER_DEADLINE);
	apr_time_t max_deadline =
		TR_MSEC(tr_document_deadline(doc, &doc->routes[r->route]));
	apr_time_t requested =
		text ? TR_MSEC(strtol(text, NULL, 10)) : max_deadline;

	if (requested < MIN_DEADLINE)
		requested = MIN_DEADLINE;
	r->deadline = r->began +
		      (requested < max_deadline ? requested : max_deadline);
}

static enum tr_result read_key(struct request *r)
{
	const char *text = request_header(r, HEADER_KEY);
	const char *caller_key = request_header(r, HEADER_IDEMPOTENCY_KEY);

	if (caller_key && *caller_key)
		r->idempotency_key =
			tr_hash_pair(r->svc->id, tr_hash_string(caller_key));
	if (!text)
		return TR_KEY_NEEDED;
	if (tr_key_read(&r->key, r->proxy->secret, text) ||
	    r->key.service != r->svc->id)
		return TR_KEY_MALFORMED;
	return TR_OK;
}

static enum tr_result match_route(struct request *r)
{
	const struct tr_document *doc = r->svc->document;
	const struct tr_route *route =
		tr_document_route(doc, r->method, r->path);
	const char *org = request_header(r, HEADER_ORGANISATION);

	if (!route)
		return TR_NO_ROUTE;
	r->route = (unsigned)(route - doc->routes);
	r->idempotent = route->repeat == TR_REPEAT_IDEMPOTENT;
	r->priority = route->priority;
	r->organisation = org && *org ? tr_hash_string(org) : 0;
	r->body_max = (uint64_t)doc->max_body_mb * 1024 * 1024;
	set_deadline(r);
	if (r->body_length > 0 && (uint64_t)r->body_length > r->body_max)
		return TR_TOO_LARGE;
	return r->idempotent ? TR_OK : read_key(r);
}

/* A VM that left the cell still serves the callers that use its address. */
static bool is_served_here(const struct request *r, apr_time_t now)
{
	const struct tr_service *svc = r->svc;

	return svc->in_cell || (svc->was_in_cell && now < svc->needed_until) ||
	       r->forwarded_in;
}

static enum tr_result missing_document(const struct request *r)
{
	if (r->svc && !r->svc->document && r->svc->platform_has_none)
		return TR_NO_SERVICE;
	return TR_NOT_READY;
}

/*
 * Checks a request's headers. False if the service's document has not arrived
 * yet; call again. True otherwise: a reply is ready if the state is
 * REQUEST_DONE, else the body can be read.
 */
bool proxy_check_headers(struct request *r)
{
	apr_time_t now = tr_clock_now(loop_clock(r->proxy->loop));
	enum tr_result res = TR_BAD_REQUEST;

	reply_clear(&r->reply);
	if (!check_framing(r)) {
		proxy_finish(r, TR_BAD_REQUEST);
		return true;
	}
	if (!strncmp(r->uri, "/v1/", 4))
		return api_handle(r);
	r->forwarded_in = request_header(r, HEADER_FORWARDED) != NULL;
	if (!parse_service_name(r)) {
		proxy_finish(r, TR_NO_SERVICE);
		return true;
	}
	r->svc = config_add_service(r->proxy->config, r->service);
	if (!r->svc || !r->svc->document || !r->svc->confirmed) {
		if (now - r->began < DOCUMENT_WAIT && r->svc &&
		    !r->svc->platform_has_none)
			return false;
		res = missing_document(r);
	} else if (!is_served_here(r, now)) {
		res = TR_WRONG_VM;
	} else {
		r->svc->counts.requests++;
		r->svc->users++;
		r->service_referenced = true;
		res = match_route(r);
	}
	if (res != TR_OK)
		proxy_finish(r, res);
	return true;
}
