/* Life of a proxied request, from its admission to its reply. */
#include "proxy.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config.h"
#include "error.h"
#include "headers.h"
#include "loop.h"
#include "server.h"

#define MAX_ATTEMPTS  8
#define MAX_REFUSALS  200
#define CALLER_IDLE_S 30

static apr_time_t now_of(const struct proxy *proxy)
{
	return tr_clock_now(loop_clock(proxy->loop));
}

static void count_result(struct proxy *proxy, struct tr_service *svc,
			 enum tr_result code)
{
	enum tr_outcome outcome = tr_result_outcome(code);

	proxy->counts.by_code[code]++;
	proxy->counts.answered += outcome == TR_OUTCOME_ANSWERED;
	proxy->counts.not_run += outcome == TR_OUTCOME_NOT_RUN;
	proxy->counts.unknown += outcome == TR_OUTCOME_UNKNOWN;
	if (!svc)
		return;
	svc->counts.answered += outcome == TR_OUTCOME_ANSWERED;
	svc->counts.not_run += outcome == TR_OUTCOME_NOT_RUN;
	svc->counts.unknown += outcome == TR_OUTCOME_UNKNOWN;
	svc->counts.shed += code == TR_QUEUE_FULL || code == TR_WOULD_BE_LATE;
}

/* JSON list of "address:port" of the VMs that serve the service. */
static json_t *cell_addresses(const struct request *r)
{
	const struct tr_board *board = r->proxy->board;
	uint32_t order[TR_MAX_CELL];
	json_t *list = json_array();
	size_t n;

	if (!r->svc)
		return list;
	n = tr_cell_lookup(&r->svc->cell, &board->fleet, board->data_centre,
			   (uint64_t)r->began, order, TR_MAX_CELL);
	for (size_t i = 0; i < n; i++) {
		const struct tr_vm *vm = &board->fleet.vms[order[i]];

		json_array_append_new(
			list, json_sprintf("%s:%u", vm->address, vm->port));
	}
	return list;
}

/* Retry-After in ms; 0 unless the status is 429 or 503. */
static uint32_t retry_after(const struct request *r, enum tr_result code)
{
	if (tr_result_http_status(code) != 503 &&
	    tr_result_http_status(code) != 429)
		return 0;
	if (r->svc && r->svc->queue.waiters)
		return tr_queue_retry_after_ms(&r->svc->queue);
	return 1000;
}

/* Body of a response that is generated here. */
static json_t *error_body(struct request *r, enum tr_result code)
{
	json_t *body =
		json_pack("{s:i, s:s, s:s, s:s, s:s}", "code", (int)code,
			  "word", tr_result_name(code), "outcome",
			  tr_outcome_name(tr_result_outcome(code)), "message",
			  tr_result_text(code), "service", r->service);
	char key[TR_KEY_TEXT];

	if (r->reply.retry_after_ms)
		json_object_set_new(body, "retry_after_ms",
				    json_integer(r->reply.retry_after_ms));
	if (code == TR_WRONG_VM)
		json_object_set_new(body, "addresses", cell_addresses(r));
	if (code == TR_KEY_NEEDED) {
		tr_dispatcher_mint(&r->proxy->board->dispatcher, r->svc->id,
				   now_of(r->proxy), key);
		json_object_set_new(body, "key", json_string(key));
		reply_add_header(&r->reply, HEADER_KEY, strlen(HEADER_KEY), key,
				 strlen(key));
	}
	return body;
}

/* Sets a reply that is generated here. Takes over the reference to json. */
void proxy_reply_json(struct request *r, enum tr_result code, int status,
		      void *json)
{
	char *text = json_dumps(json, JSON_INDENT(1));

	json_decref(json);
	r->reply.generated = true;
	r->reply.code = code;
	r->reply.status = status;
	reply_add_header(&r->reply, "Content-Type", 12, "application/json", 16);
	if (text)
		buffer_append(&r->reply.body, text, strlen(text));
	free(text);
}

/* Stores the outcome and the answer under the request's key. */
static void finish_record(struct request *r, enum tr_outcome outcome)
{
	const struct reply *reply = &r->reply;
	const char *type = NULL;
	size_t len = reply->body.len;

	if (r->record == TR_NO_RECORD)
		return;
	for (unsigned i = 0; i < reply->headers_count; i++)
		if (!strcasecmp(reply->headers[i].name, "Content-Type"))
			type = reply->headers[i].value;
	if (reply->streaming)
		len = reply->length > 0 ? (size_t)reply->length : 1;
	tr_dispatcher_finish(
		&r->proxy->board->dispatcher, r->record, outcome, reply->status,
		type, reply->streaming ? NULL : buffer_data(&reply->body), len);
	r->record = TR_NO_RECORD;
}

/*
 * Records whether the attempt may have executed the request. Once one may
 * have, the outcome is "unknown" even if a later attempt is provably not run;
 * otherwise a caller would be told "not-run" for a request in a target's
 * ledger.
 */
static void note_if_executed(struct request *r, enum tr_attempt_end end)
{
	if (end == TR_ATTEMPT_TARGET_REFUSED || end == TR_ATTEMPT_UNREACHED)
		return;
	r->maybe_executed = true;
	r->unknown_code =
		end == TR_ATTEMPT_ABANDONED || end == TR_ATTEMPT_FAILED_STATUS
			? TR_TIMED_OUT
			: tr_attempt_result(end);
}

/*
 * Ends the request with its result and answers the caller at once. With
 * TR_ANSWERED the reply is the target's; otherwise it is generated here.
 */
void proxy_finish(struct request *r, enum tr_result code)
{
	if (r->state == REQUEST_DONE)
		return;
	if (r->svc && r->waiter != TR_NO_WAITER)
		tr_queue_cancel(&r->svc->queue, r->waiter);
	r->waiter = TR_NO_WAITER;
	if (r->attempt_running && r->attempt.sends)
		note_if_executed(r, TR_ATTEMPT_ABANDONED);
	attempt_abandon(r, TR_ATTEMPT_ABANDONED);
	r->state = REQUEST_DONE;
	if (r->maybe_executed && tr_result_outcome(code) == TR_OUTCOME_NOT_RUN)
		code = r->unknown_code;
	r->reply.code = code;
	finish_record(r, tr_result_outcome(code));
	if (!r->attempt.forwarded)
		count_result(r->proxy, r->svc, code);
	if (code == TR_ANSWERED) {
		r->reply.complete = true;
	} else if (r->responded) {
		r->reply.cut_off = true;
	} else {
		reply_clear(&r->reply);
		r->reply.retry_after_ms = retry_after(r, code);
		proxy_reply_json(r, code, tr_result_http_status(code),
				 error_body(r, code));
	}
	if (r->conn)
		request_resume(r);
	else
		request_free(r);
}

/* Replies with the stored answer of an earlier request with the same key. */
static void replay(struct request *r, uint32_t record)
{
	const struct tr_dispatch_record *rec =
		&r->proxy->board->dispatcher.records[record];

	r->reply.status = rec->http_status;
	r->reply.replayed = true;
	if (*rec->content_type)
		reply_add_header(&r->reply, "Content-Type", 12,
				 rec->content_type, strlen(rec->content_type));
	if (rec->answer)
		buffer_append(&r->reply.body, rec->answer, rec->answer_len);
	r->proxy->counts.replayed++;
	proxy_finish(r, TR_ANSWERED);
}

/*
 * Hash of method, path and body, by which a key that is reused for another
 * request is detected. For a streamed body only its length is known.
 */
static uint64_t fingerprint(const struct request *r)
{
	uint64_t h = tr_hash_pair(tr_hash_string(r->method),
				  tr_hash_string(r->path));

	if (r->body_streamed)
		return tr_hash_pair(h, (uint64_t)r->body_length);
	return tr_hash_pair(h, tr_hash(buffer_data(&r->body), r->body.len));
}

/*
 * Whether the key was minted by another VM's process. Only that process knows
 * whether the key was used, so only it may send the request.
 */
static bool minted_by_other_vm(const struct request *r)
{
	const struct tr_dispatcher *d = &r->proxy->board->dispatcher;

	return memcmp(r->key.boot.id, d->boot.id, TR_BOOT_SIZE) != 0 &&
	       (r->key.address != d->address || r->key.port != d->port);
}

/* Forwards the request to the VM that minted its key, at most one hop. */
static void forward(struct request *r)
{
	struct in_addr ip = { htonl(r->key.address) };
	char text[INET_ADDRSTRLEN] = "";
	char authority[64];

	if (r->forwarded_in) {
		proxy_finish(r, TR_KEY_DEAD);
		return;
	}
	inet_ntop(AF_INET, &ip, text, sizeof(text));
	snprintf(authority, sizeof(authority), "%s:%u", text, r->key.port);
	r->forwarded_out = true;
	r->proxy->counts.forwarded++;
	r->state = REQUEST_AT_TARGET;
	if (attempt_forward(r, authority))
		proxy_finish(r, TR_KEY_DEAD);
}

/* True if the request may be sent; else it was answered or forwarded. */
static bool admit_key(struct request *r)
{
	enum tr_result res;
	uint32_t record;

	if (minted_by_other_vm(r)) {
		forward(r);
		return false;
	}
	res = tr_dispatcher_admit(
		&r->proxy->board->dispatcher, &r->key, r->svc->id,
		fingerprint(r), r->idempotency_key, now_of(r->proxy), &record);
	if (res == TR_OK) {
		r->record = record;
		return true;
	}
	if (res == TR_ANSWERED)
		replay(r, record);
	else
		proxy_finish(r, res);
	return false;
}

/* Queues the request, which may evict one of lower priority. */
static void enqueue(struct request *r)
{
	struct tr_waiter waiter = {
		.owner = r,
		.deadline = r->deadline,
		.organisation = r->organisation,
		.priority = r->priority,
	};
	void *evicted = NULL;
	enum tr_result res;

	r->tried.count = 0;
	r->state = REQUEST_QUEUED;
	res = tr_queue_push(&r->svc->queue, &waiter,
			    r->svc->document->share_percent,
			    tr_service_median_latency(r->svc, r->route),
			    now_of(r->proxy), &r->waiter, &evicted);
	if (evicted) {
		((struct request *)evicted)->waiter = TR_NO_WAITER;
		proxy_finish(evicted, TR_QUEUE_FULL);
	}
	if (res != TR_OK)
		proxy_finish(r, res);
}

static void send_to(struct request *r, struct tr_target *target,
		    enum tr_pick_kind kind)
{
	r->state = REQUEST_AT_TARGET;
	if (attempt_start(r, target, kind))
		proxy_finish(r, TR_UNREACHED);
}

/* Sends the request to a target, or queues it until one has a free slot. */
static void send_or_queue(struct request *r)
{
	struct tr_target *target;
	enum tr_pick_kind kind;

	if (r->svc->queue.length && !r->attempts) {
		enqueue(r);
		return;
	}
	target = tr_service_pick(r->proxy->board, r->svc, r->idempotent,
				 &r->tried, &kind);
	if (target)
		send_to(r, target, kind);
	else if (kind == TR_PICK_BUSY || r->tried.count)
		enqueue(r);
	else
		proxy_finish(r, TR_NO_TARGET);
}

/* Admits and sends a request whose body is complete or fills the buffer. */
void proxy_dispatch(struct request *r)
{
	if (r->idempotent || admit_key(r))
		send_or_queue(r);
}

/* Abandons the current attempt and sends the request to another target. */
void proxy_reroute(struct request *r)
{
	if (r->attempt.sends)
		note_if_executed(r, TR_ATTEMPT_ABANDONED);
	attempt_abandon(r, TR_ATTEMPT_ABANDONED);
	send_or_queue(r);
}

/* Sends queued requests for as long as targets have free slots. */
void proxy_serve_queue(struct proxy *proxy, struct tr_service *svc)
{
	while (svc->queue.length) {
		enum tr_pick_kind kind;
		struct tr_target *target =
			tr_service_pick(proxy->board, svc, false, NULL, &kind);
		struct request *r;

		if (!target)
			return;
		r = tr_queue_pop(&svc->queue, now_of(proxy));
		if (!r)
			return;
		r->waiter = TR_NO_WAITER;
		send_to(r, target, kind);
	}
}

static bool deadline_allows_retry(const struct request *r)
{
	return now_of(r->proxy) + tr_service_median_latency(r->svc, r->route) <
	       r->deadline;
}

/*
 * Whether the request may be retried after an attempt that ended this way. A
 * request that is not idempotent is retried only if it was provably not run;
 * others are retried within the retry budget.
 */
static bool may_retry(struct request *r, enum tr_attempt_end end)
{
	bool not_run =
		end == TR_ATTEMPT_TARGET_REFUSED || end == TR_ATTEMPT_UNREACHED;

	if (!r->conn || !attempt_can_resend(r) || r->forwarded_out ||
	    !deadline_allows_retry(r))
		return false;
	/*
	 * A refusal is cheap, and frequent while all targets are busy, so it
	 * does not count against MAX_ATTEMPTS: the request is retried until
	 * its deadline, or MAX_REFUSALS times.
	 */
	if (end == TR_ATTEMPT_TARGET_REFUSED)
		return ++r->refusals < MAX_REFUSALS;
	if (r->attempts - r->refusals >= MAX_ATTEMPTS)
		return false;
	if (not_run)
		return true;
	return r->idempotent && tr_retry_withdraw(&r->svc->retries);
}

static enum tr_result final_code(const struct request *r,
				 enum tr_attempt_end end)
{
	enum tr_result code = tr_attempt_result(end);

	/* The VM that minted the key may have sent the request. */
	if (r->forwarded_out && code != TR_ANSWERED)
		return TR_KEY_DEAD;
	return code;
}

/* Handles the end of an attempt: retries, or answers the caller. */
void proxy_attempt_done(struct request *r, enum tr_attempt_end end)
{
	struct proxy *proxy = r->proxy;
	struct tr_service *svc = r->svc;

	note_if_executed(r, end);
	if (end == TR_ATTEMPT_ANSWERED)
		tr_retry_deposit(&svc->retries, svc->document->retry_percent);
	if (end == TR_ATTEMPT_FAILED_STATUS && r->forwarded_out)
		end = TR_ATTEMPT_ANSWERED;
	if (end == TR_ATTEMPT_ANSWERED) {
		proxy_finish(r, TR_ANSWERED);
	} else if (may_retry(r, end)) {
		svc->counts.retries++;
		send_or_queue(r);
	} else {
		proxy_finish(r, final_code(r, end));
	}
	proxy_serve_queue(proxy, svc);
}

/* Buffers body data; returns how many bytes were consumed. */
static size_t buffer_body(struct request *r, const char *data, size_t len)
{
	size_t got;

	if (r->state == REQUEST_DONE)
		return len;
	r->body_seen += len;
	got = buffer_append(&r->body, data, len);
	r->body_seen -= len - got;
	r->proxy->counts.bytes_in += got;
	if (r->body_seen > r->body_max) {
		proxy_finish(r, TR_TOO_LARGE);
		return len;
	}
	return got;
}

static void body_received(struct request *r, const char *data, size_t *len)
{
	size_t got = buffer_body(r, data, *len);

	*len -= got;
	if (r->state == REQUEST_DONE) {
		*len = 0;
		return;
	}
	if (r->state == REQUEST_BODY && !buffer_space(&r->body)) {
		r->body_streamed = true;
		proxy_dispatch(r);
	}
	attempt_body_ready(r);
	if (*len && r->state != REQUEST_DONE && !buffer_space(&r->body))
		request_suspend(r);
}

static enum MHD_Result body_end_received(struct request *r)
{
	if (r->responded)
		return MHD_YES;
	if (!r->body_complete) {
		r->body_complete = true;
		if (r->state == REQUEST_BODY)
			proxy_dispatch(r);
		attempt_body_ready(r);
	}
	if (r->state == REQUEST_DONE || r->reply.streaming)
		return reply_queue(r);
	request_suspend(r);
	return MHD_YES;
}

static enum MHD_Result headers_received(struct request *r)
{
	if (!proxy_check_headers(r)) {
		request_suspend(r);
		return MHD_YES;
	}
	if (r->state == REQUEST_DONE)
		return reply_queue(r);
	r->state = REQUEST_BODY;
	return MHD_YES;
}

static enum MHD_Result handler(void *ctx, struct MHD_Connection *conn,
			       const char *url, const char *method,
			       const char *version, const char *upload,
			       size_t *upload_len, void **con_cls)
{
	struct request *r = *con_cls;

	(void)ctx;
	(void)url;
	(void)version;
	if (!r)
		return MHD_NO;
	r->conn = conn;
	if (r->state == REQUEST_NEW) {
		snprintf(r->method, sizeof(r->method), "%s", method);
		r->state = REQUEST_HEADERS;
	}
	if (r->state == REQUEST_HEADERS)
		return headers_received(r);
	if (r->state == REQUEST_DONE && r->reply.code == TR_CALLER_GONE)
		return MHD_NO;
	if (*upload_len) {
		body_received(r, upload, upload_len);
		return MHD_YES;
	}
	return body_end_received(r);
}

static void *request_begin(void *ctx, const char *uri,
			   struct MHD_Connection *conn)
{
	struct proxy *proxy = ctx;

	(void)conn;
	proxy->counts.requests++;
	return request_new(proxy, uri);
}

/*
 * The caller's connection ended. An idempotent request is cancelled at the
 * target. Any other continues, so that its outcome is known and stored for a
 * retry of the caller with the same key.
 */
static void request_completed(void *ctx, struct MHD_Connection *conn,
			      void **con_cls,
			      enum MHD_RequestTerminationCode code)
{
	struct request *r = *con_cls;

	(void)ctx;
	(void)conn;
	(void)code;
	*con_cls = NULL;
	if (!r)
		return;
	r->conn = NULL;
	r->suspended = false;
	if (r->state == REQUEST_DONE) {
		request_free(r);
		return;
	}
	if (r->state == REQUEST_AT_TARGET && r->record != TR_NO_RECORD &&
	    (!r->body_streamed || r->body_complete))
		return;
	proxy_finish(r, TR_CALLER_GONE);
}

/* Resumes the requests that wait for their service's document. */
void proxy_config_changed(void *ctx)
{
	struct proxy *proxy = ctx;

	for (struct request *r = proxy->requests; r; r = r->next)
		if (r->state == REQUEST_HEADERS)
			request_resume(r);
}

/* Starts to accept callers. NULL and err if the address can't be bound. */
struct proxy *proxy_new(struct loop *loop, struct client *client,
			struct tr_board *board, struct config *config,
			const struct tr_secret *secret,
			const struct proxy_options *o, struct tr_error *err)
{
	struct proxy *proxy = calloc(1, sizeof(*proxy));
	struct server_options server = {
		.ip = o->ip,
		.port = o->port,
		.field = "port",
		.connections = o->connections,
		.idle_s = CALLER_IDLE_S,
		.handler = handler,
		.request_completed = request_completed,
		.request_begin = request_begin,
		.ctx = proxy,
	};

	if (!proxy)
		return NULL;
	proxy->loop = loop;
	proxy->client = client;
	proxy->board = board;
	proxy->config = config;
	proxy->secret = secret;
	proxy->body_buffer = o->body_buffer;
	proxy->server = server_new(loop, &server, err);
	if (proxy->server)
		return proxy;
	free(proxy);
	return NULL;
}

void proxy_destroy(struct proxy *proxy)
{
	struct request *r;

	while ((r = proxy->requests)) {
		if (!r->conn) {
			proxy_finish(r, TR_CALLER_GONE);
			continue;
		}
		break;
	}
	for (r = proxy->requests; r; r = r->next)
		request_resume(r);
	server_destroy(proxy->server);
	free(proxy);
}
