/* One attempt at a target: the request as libcurl sends it, and its answer. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "cleanup.h"
#include "client.h"
#include "field.h"
#include "headers.h"
#include "loop.h"
#include "request.h"

#define HEADERS_MAX (32 * 1024)

static apr_time_t now_of(const struct request *r)
{
	return tr_clock_now(loop_clock(r->proxy->loop));
}

/*
 * libcurl resends a request by itself when a reused connection is closed
 * before the first byte of the answer. For a request that is not idempotent
 * that would be a second execution, visible only in the target's ledger.
 * libcurl calls this before each send; the second of an attempt is refused.
 */
/* NOLINTNEXTLINE(readability-non-const-parameter): libcurl's callback type */
static int before_send(void *ctx, char *to_ip, char *from_ip, int to_port,
		       int from_port)
{
	struct request *r = ctx;

	(void)to_ip;
	(void)from_ip;
	(void)to_port;
	(void)from_port;
	if (r->attempt.sends++)
		return CURL_PREREQFUNC_ABORT;
	if (r->record != TR_NO_RECORD)
		tr_dispatcher_mark_sent(&r->proxy->board->dispatcher,
					r->record);
	return CURL_PREREQFUNC_OK;
}

static size_t send_body(char *out, size_t size, size_t n, void *ctx)
{
	struct request *r = ctx;
	struct attempt *a = &r->attempt;
	size_t want = size * n;
	size_t got;

	if (!r->body_streamed) {
		got = r->body.len - a->body_offset;
		if (got > want)
			got = want;
		memcpy(out, buffer_data(&r->body) + a->body_offset, got);
		a->body_offset += got;
		return got;
	}
	got = buffer_consume(&r->body, out, want);
	if (!got && !r->body_complete) {
		a->read_paused = true;
		return CURL_READFUNC_PAUSE;
	}
	if (got && !r->body_complete)
		request_resume(r);
	return got;
}

/* Keeps libcurl from resending a body after a rewind. */
static int refuse_rewind(void *ctx, curl_off_t offset, int origin)
{
	(void)ctx;
	(void)offset;
	(void)origin;
	return CURL_SEEKFUNC_FAIL;
}

static size_t receive_body(char *data, size_t size, size_t n, void *ctx)
{
	struct request *r = ctx;
	struct reply *reply = &r->reply;
	size_t len = size * n;

	if (r->state == REQUEST_DONE && !reply->streaming)
		return 0;
	if (!r->conn && buffer_space(&reply->body) < len) {
		/* The caller is gone: discard the body, await its end. */
		reply->streaming = true;
		reply->body.len = 0;
		reply->body.start = 0;
	}
	if (buffer_space(&reply->body) < len) {
		r->attempt.write_paused = true;
		reply->streaming = true;
		request_resume(r);
		return CURL_WRITEFUNC_PAUSE;
	}
	buffer_append(&reply->body, data, len);
	if (!r->attempt.first_data_at)
		r->attempt.first_data_at = now_of(r);
	if (reply->body.len > r->proxy->body_buffer)
		reply->streaming = true;
	if (reply->streaming)
		request_resume(r);
	return len;
}

static bool is_header(const char *line, size_t len, const char *name,
		      const char **value, size_t *value_len)
{
	size_t n = strlen(name);

	if (len <= n || strncasecmp(line, name, n) != 0 || line[n] != ':')
		return false;
	line += n + 1;
	len -= n + 1;
	while (len && (*line == ' ' || *line == '\t')) {
		line++;
		len--;
	}
	*value = line;
	*value_len = len;
	return true;
}

/*
 * Reads the headers by which a target reports its state to the proxy. They
 * are not passed on to the caller.
 */
static bool read_target_state(struct request *r, const char *line, size_t len)
{
	const char *value;
	size_t n;

	if (is_header(line, len, HEADER_NOT_RUN, &value, &n)) {
		r->attempt.refused = true;
		return true;
	}
	if (is_header(line, len, HEADER_LOAD, &value, &n)) {
		r->attempt.load = strtol(value, NULL, 10);
		return true;
	}
	if (is_header(line, len, HEADER_TARGET_STATE, &value, &n)) {
		r->attempt.target_leaving =
			n >= 7 && !strncasecmp(value, "leaving", 7);
		return true;
	}
	return false;
}

/* Hop-by-hop headers, and the proxy's own unless another VM set them. */
static bool is_hop_header(const char *line, size_t len, bool forwarded)
{
	static const char *const names[] = {
		"Connection",	     "Keep-Alive", "Proxy-Authenticate",
		"Transfer-Encoding", "Trailer",	   "Upgrade",
	};
	const char *value;
	size_t n;

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (is_header(line, len, names[i], &value, &n))
			return true;
	return !forwarded && len > strlen(HEADER_PREFIX) &&
	       !strncasecmp(line, HEADER_PREFIX, strlen(HEADER_PREFIX));
}

/* Returns whether the status is valid: libcurl takes any of three digits. */
static bool read_status_line(struct request *r, const char *line)
{
	r->attempt.header_bytes = 0;
	r->attempt.length_known = false;
	reply_clear(&r->reply);
	sscanf(line, "HTTP/%*s %d", &r->reply.status);
	return r->reply.status >= 100 && r->reply.status <= 599;
}

static size_t receive_header(char *data, size_t size, size_t n, void *ctx)
{
	struct request *r = ctx;
	struct attempt *a = &r->attempt;
	size_t total = size * n;
	size_t len = total;
	const char *value;
	const char *colon;
	size_t value_len;

	while (len && (data[len - 1] == '\r' || data[len - 1] == '\n'))
		len--;
	if (len > 5 && !strncmp(data, "HTTP/", 5))
		return read_status_line(r, data) ? total : 0;
	if (!len)
		return total;
	a->header_bytes += len;
	/* libcurl passes on any line. */
	if (a->header_bytes > HEADERS_MAX || !field_is_line(data, len))
		return 0;
	if (is_header(data, len, "Content-Length", &value, &value_len)) {
		r->reply.length = strtoll(value, NULL, 10);
		a->length_known = true;
		return total;
	}
	if (is_header(data, len, "Transfer-Encoding", &value, &value_len))
		a->length_known = true;
	if (read_target_state(r, data, len) ||
	    is_hop_header(data, len, a->forwarded))
		return total;
	colon = memchr(data, ':', len);
	value = colon + 1;
	value_len = len - (size_t)(value - data);
	while (value_len && *value == ' ') {
		value++;
		value_len--;
	}
	reply_add_header(&r->reply, data, (size_t)(colon - data), value,
			 value_len);
	return total;
}

static bool has_no_body(const struct request *r)
{
	return !strcmp(r->method, "HEAD") || r->reply.status == 204 ||
	       r->reply.status == 304;
}

/* Maps libcurl's result and the status to how the attempt ended. */
static enum tr_attempt_end classify(const struct request *r, CURLcode code)
{
	const struct attempt *a = &r->attempt;

	if (code != CURLE_OK && !a->sends)
		return TR_ATTEMPT_UNREACHED;
	switch (code) {
	case CURLE_OK:
		break;
	case CURLE_OPERATION_TIMEDOUT:
		return TR_ATTEMPT_TIMED_OUT;
	case CURLE_PARTIAL_FILE:
		return TR_ATTEMPT_CUT_SHORT;
	case CURLE_WEIRD_SERVER_REPLY:
	case CURLE_UNSUPPORTED_PROTOCOL:
	case CURLE_OUT_OF_MEMORY:
	case CURLE_WRITE_ERROR:
		return TR_ATTEMPT_GARBAGE;
	default:
		return TR_ATTEMPT_BROKEN;
	}
	/* Without a length a truncated answer looks complete. */
	if (!a->length_known && !has_no_body(r))
		return TR_ATTEMPT_CUT_SHORT;
	if (r->reply.status == 503 && a->refused)
		return TR_ATTEMPT_TARGET_REFUSED;
	return r->reply.status >= 500 ? TR_ATTEMPT_FAILED_STATUS
				      : TR_ATTEMPT_ANSWERED;
}

static struct tr_target *target_of(const struct request *r)
{
	return r->attempt.forwarded
		       ? NULL
		       : tr_service_target(r->svc, r->attempt.target);
}

static void release_transfer(struct request *r)
{
	struct attempt *a = &r->attempt;

	if (a->easy)
		client_easy_release(r->proxy->client, a->easy);
	curl_slist_free_all(a->headers);
	a->easy = NULL;
	a->headers = NULL;
	r->attempt_running = false;
}

static void report_end(struct request *r, enum tr_attempt_end end)
{
	struct tr_target *target = target_of(r);
	struct tr_board *board = r->proxy->board;
	apr_time_t now = now_of(r);

	if (!target)
		return;
	if (r->attempt.load >= 0)
		tr_target_set_reported_load(target, (uint32_t)r->attempt.load,
					    now);
	if (r->attempt.target_leaving)
		tr_target_announce_leaving(board, r->svc, target);
	/*
	 * The duration of a streamed body depends on the caller, not on the
	 * target, so the median latency is recorded instead.
	 */
	tr_attempt_end(
		board, r->svc, target, r->route, end,
		r->body_streamed && end == TR_ATTEMPT_ANSWERED
			? now - tr_service_median_latency(r->svc, r->route)
			: r->attempt.began,
		r->attempt.overdue_reported, now);
}

static void transfer_done(void *owner, CURLcode code)
{
	struct request *r = owner;
	enum tr_attempt_end end = classify(r, code);

	release_transfer(r);
	report_end(r, end);
	proxy_attempt_done(r, end);
}

/* Cancels a running attempt and closes its connection. */
void attempt_abandon(struct request *r, enum tr_attempt_end end)
{
	if (!r->attempt_running)
		return;
	release_transfer(r);
	report_end(r, end);
}

static int copy_header(void *ctx, enum MHD_ValueKind kind, const char *name,
		       const char *value)
{
	static const char *const not_copied[] = {
		"Connection", "Keep-Alive",	"Proxy-Authorization",
		"TE",	      "Trailer",	"Transfer-Encoding",
		"Upgrade",    "Content-Length", "Expect",
		"Host",
	};
	struct request *r = ctx;
	char line[8192];

	(void)kind;
	for (size_t i = 0; i < sizeof(not_copied) / sizeof(not_copied[0]); i++)
		if (!strcasecmp(name, not_copied[i]))
			return MHD_YES;
	if (!r->attempt.forwarded &&
	    !strncasecmp(name, HEADER_PREFIX, strlen(HEADER_PREFIX)))
		return MHD_YES;
	if (value && *value)
		snprintf(line, sizeof(line), "%s: %s", name, value);
	else
		snprintf(line, sizeof(line), "%s;", name);
	r->attempt.headers = curl_slist_append(r->attempt.headers, line);
	return MHD_YES;
}

static void set_headers(struct request *r, apr_time_t left)
{
	struct attempt *a = &r->attempt;
	char line[128];

	if (r->conn)
		MHD_get_connection_values(r->conn, MHD_HEADER_KIND,
					  (MHD_KeyValueIterator)copy_header, r);
	snprintf(line, sizeof(line), "Host: %s", r->service);
	a->headers = curl_slist_append(a->headers, line);
	a->headers = curl_slist_append(a->headers, "Expect:");
	if (a->probe)
		a->headers =
			curl_slist_append(a->headers, HEADER_TRICKLE ": 1");
	snprintf(line, sizeof(line), "%s: %ld",
		 a->forwarded ? HEADER_FORWARDED : HEADER_TARGET_DEADLINE,
		 a->forwarded ? 1L : (long)(left / 1000));
	a->headers = curl_slist_append(a->headers, line);
	curl_easy_setopt(a->easy, CURLOPT_HTTPHEADER, a->headers);
}

static void set_method(struct request *r)
{
	CURL *easy = r->attempt.easy;

	if (r->has_body) {
		curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
				 r->body_streamed ? (curl_off_t)r->body_length
						  : (curl_off_t)r->body.len);
		curl_easy_setopt(easy, CURLOPT_READFUNCTION, send_body);
		curl_easy_setopt(easy, CURLOPT_READDATA, r);
		curl_easy_setopt(easy, CURLOPT_SEEKFUNCTION, refuse_rewind);
	} else if (!strcmp(r->method, "HEAD")) {
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	} else if (strcmp(r->method, "GET") != 0) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "");
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, 0L);
	}
	if (strcmp(r->method, "GET") != 0 && strcmp(r->method, "HEAD") != 0)
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, r->method);
}

static int start(struct request *r, const char *authority)
{
	struct attempt *a = &r->attempt;
	apr_time_t now = now_of(r);
	apr_time_t left = r->deadline - now;
	auto_free char *url = NULL;

	reply_clear(&r->reply);
	a->began = now;
	a->load = -1;
	a->easy = client_easy_new(r->proxy->client, transfer_done, r);
	if (!a->easy || asprintf(&url, "http://%s%s", authority, r->path) < 0)
		return -1;
	curl_easy_setopt(a->easy, CURLOPT_URL, url);
	curl_easy_setopt(a->easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(a->easy, CURLOPT_TIMEOUT_MS,
			 left > 1000 ? (long)(left / 1000) : 1L);
	curl_easy_setopt(a->easy, CURLOPT_PREREQFUNCTION, before_send);
	curl_easy_setopt(a->easy, CURLOPT_PREREQDATA, r);
	curl_easy_setopt(a->easy, CURLOPT_WRITEFUNCTION, receive_body);
	curl_easy_setopt(a->easy, CURLOPT_WRITEDATA, r);
	curl_easy_setopt(a->easy, CURLOPT_HEADERFUNCTION, receive_header);
	curl_easy_setopt(a->easy, CURLOPT_HEADERDATA, r);
	/*
	 * The target may be closing an idle connection, and then it is unknown
	 * whether the request was run. A new connection costs a millisecond.
	 */
	curl_easy_setopt(a->easy, CURLOPT_FRESH_CONNECT,
			 r->idempotent ? 0L : 1L);
	set_method(r);
	set_headers(r, left);
	r->attempt_running = true;
	r->attempts++;
	return client_easy_start(r->proxy->client, a->easy);
}

/* Sends the request to the target. Returns 0, or -1 if it can't be started. */
int attempt_start(struct request *r, struct tr_target *target,
		  enum tr_pick_kind kind)
{
	memset(&r->attempt, 0, sizeof(r->attempt));
	r->attempt.target = target->id;
	r->attempt.probe = kind == TR_PICK_PROBE;
	if (r->tried.count < sizeof(r->tried.ids) / sizeof(r->tried.ids[0]))
		r->tried.ids[r->tried.count++] = target->id;
	tr_attempt_begin(r->svc, target, kind, now_of(r));
	if (!start(r, target->address))
		return 0;
	attempt_abandon(r, TR_ATTEMPT_ABANDONED);
	return -1;
}

/* Forwards the request to the VM at authority. 0, or -1 as attempt_start. */
int attempt_forward(struct request *r, const char *authority)
{
	memset(&r->attempt, 0, sizeof(r->attempt));
	r->attempt.forwarded = true;
	if (!start(r, authority))
		return 0;
	release_transfer(r);
	return -1;
}

/* Resumes sending after more of the caller's body has been received. */
void attempt_body_ready(struct request *r)
{
	if (!r->attempt_running || !r->attempt.read_paused)
		return;
	r->attempt.read_paused = false;
	curl_easy_pause(r->attempt.easy, r->attempt.write_paused
						 ? CURLPAUSE_RECV
						 : CURLPAUSE_CONT);
}

/* Resumes reading from the target once half of the buffer is free. */
void attempt_reply_drained(struct request *r)
{
	if (!r->attempt_running || !r->attempt.write_paused)
		return;
	if (buffer_space(&r->reply.body) < r->reply.body.max / 2)
		return;
	r->attempt.write_paused = false;
	curl_easy_pause(r->attempt.easy, r->attempt.read_paused
						 ? CURLPAUSE_SEND
						 : CURLPAUSE_CONT);
}

/*
 * Whether the request can be sent again: its body is still buffered, and the
 * caller has received no part of an answer.
 */
bool attempt_can_resend(const struct request *r)
{
	return !r->body_streamed && !r->reply.streaming && !r->responded;
}
