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

#define MOST_ATTEMPTS 8
#define MOST_REFUSALS 200
#define IDLE_S	      30

static apr_time_t now_of(const struct proxy *proxy)
{
	return tr_clock_now(loop_clock(proxy->loop));
}

static void count_code(struct proxy *proxy, struct tr_service *svc,
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

/* The addresses that a caller of the service should use, as JSON. */
static json_t *addresses_of(const struct request *r)
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

static uint32_t retry_after(const struct request *r, enum tr_result code)
{
	if (tr_result_http_status(code) != 503 &&
	    tr_result_http_status(code) != 429)
		return 0;
	if (r->svc && r->svc->queue.waiters)
		return tr_queue_retry_after_ms(&r->svc->queue);
	return 1000;
}

static json_t *own_answer(struct request *r, enum tr_result code)
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
		json_object_set_new(body, "addresses", addresses_of(r));
	if (code == TR_KEY_NEEDED) {
		tr_dispatcher_mint(&r->proxy->board->dispatcher, r->svc->id,
				   now_of(r->proxy), key);
		json_object_set_new(body, "key", json_string(key));
		reply_put_header(&r->reply, HEADER_KEY, strlen(HEADER_KEY), key,
				 strlen(key));
	}
	return body;
}

/* Make the reply a JSON value of the system's own, which is given up. */
void proxy_answer_json(struct request *r, enum tr_result code, int status,
		       void *json)
{
	char *text = json_dumps(json, JSON_INDENT(1));

	json_decref(json);
	r->reply.own = true;
	r->reply.code = code;
	r->reply.status = status;
	reply_put_header(&r->reply, "Content-Type", 12, "application/json", 16);
	if (text)
		buffer_put(&r->reply.body, text, strlen(text));
	free(text);
}

static void close_record(struct request *r, enum tr_outcome outcome)
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
		type, reply->streaming ? NULL : buffer_bytes(&reply->body),
		len);
	r->record = TR_NO_RECORD;
}

/*
 * An attempt that was sent and did not end in a proof of not-run leaves the
 * request perhaps run, whatever a later attempt says. One would notice by a
 * "not-run" for a request that stands in a target's ledger.
 */
static void note_if_run(struct request *r, enum tr_attempt_end how)
{
	if (how == TR_ATTEMPT_TARGET_REFUSED || how == TR_ATTEMPT_UNREACHED)
		return;
	r->maybe_run = true;
	r->unknown_code =
		how == TR_ATTEMPT_ABANDONED || how == TR_ATTEMPT_FAILED_STATUS
			? TR_TIMED_OUT
			: tr_attempt_result(how);
}

/*
 * The request's fate is settled: answer the caller now, whatever is left of
 * its deadline. With ANSWERED the reply is the target's; else it is made here.
 */
void proxy_finish(struct request *r, enum tr_result code)
{
	if (r->state == REQUEST_DONE)
		return;
	if (r->svc && r->waiter != TR_NO_WAITER)
		tr_queue_cancel(&r->svc->queue, r->waiter);
	r->waiter = TR_NO_WAITER;
	if (r->attempt_running && r->attempt.issued)
		note_if_run(r, TR_ATTEMPT_ABANDONED);
	attempt_abandon(r, TR_ATTEMPT_ABANDONED);
	r->state = REQUEST_DONE;
	if (r->maybe_run && tr_result_outcome(code) == TR_OUTCOME_NOT_RUN)
		code = r->unknown_code;
	r->reply.code = code;
	close_record(r, tr_result_outcome(code));
	if (!r->attempt.forwarded)
		count_code(r->proxy, r->svc, code);
	if (code == TR_ANSWERED) {
		r->reply.complete = true;
	} else if (r->responded) {
		r->reply.broken = true;
	} else {
		request_reply_clear(&r->reply);
		r->reply.retry_after_ms = retry_after(r, code);
		proxy_answer_json(r, code, tr_result_http_status(code),
				  own_answer(r, code));
	}
	if (r->conn)
		request_resume(r);
	else
		request_free(r);
}

/* The answer of an earlier request with the same key. */
static void replay(struct request *r, uint32_t record)
{
	const struct tr_dispatch_record *rec =
		&r->proxy->board->dispatcher.records[record];

	r->reply.status = rec->http_status;
	r->reply.replayed = true;
	if (*rec->content_type)
		reply_put_header(&r->reply, "Content-Type", 12,
				 rec->content_type, strlen(rec->content_type));
	if (rec->answer)
		buffer_put(&r->reply.body, rec->answer, rec->answer_len);
	r->proxy->counts.replayed++;
	proxy_finish(r, TR_ANSWERED);
}

static uint64_t fingerprint(const struct request *r)
{
	uint64_t h = tr_hash_pair(tr_hash_string(r->method),
				  tr_hash_string(r->path));

	if (r->body_streamed)
		return tr_hash_pair(h, (uint64_t)r->body_length);
	return tr_hash_pair(h, tr_hash(buffer_bytes(&r->body), r->body.len));
}

/* Was the key minted by another process? Then only that one may send. */
static bool minted_elsewhere(const struct request *r)
{
	const struct tr_dispatcher *d = &r->proxy->board->dispatcher;

	return memcmp(r->key.boot.id, d->boot.id, TR_BOOT_SIZE) != 0 &&
	       (r->key.address != d->address || r->key.port != d->port);
}

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
	r->forward_out = true;
	r->proxy->counts.forwarded++;
	r->state = REQUEST_AT_TARGET;
	if (attempt_forward(r, authority))
		proxy_finish(r, TR_KEY_DEAD);
}

static bool admit_key(struct request *r)
{
	enum tr_result res;
	uint32_t record;

	if (minted_elsewhere(r)) {
		forward(r);
		return false;
	}
	res = tr_dispatcher_admit(&r->proxy->board->dispatcher, &r->key,
				  r->svc->id, fingerprint(r), r->own_key,
				  now_of(r->proxy), &record);
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

static void wait_for_slot(struct request *r)
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
	r->state = REQUEST_WAITING;
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

/* Send the request to a target, or let it wait for one. */
static void place(struct request *r)
{
	struct tr_target *target;
	enum tr_pick_kind kind;

	if (r->svc->queue.length && !r->attempts) {
		wait_for_slot(r);
		return;
	}
	target = tr_service_pick(r->proxy->board, r->svc, r->may_repeat,
				 &r->tried, &kind);
	if (target)
		send_to(r, target, kind);
	else if (kind == TR_PICK_BUSY || r->tried.count)
		wait_for_slot(r);
	else
		proxy_finish(r, TR_NO_TARGET);
}

/* The request is whole, or has filled the buffer: act on it. */
void proxy_dispatch(struct request *r)
{
	if (r->may_repeat || admit_key(r))
		place(r);
}

/* Take the request from its target and send it to another. */
void proxy_move(struct request *r)
{
	if (r->attempt.issued)
		note_if_run(r, TR_ATTEMPT_ABANDONED);
	attempt_abandon(r, TR_ATTEMPT_ABANDONED);
	place(r);
}

/* Give free slots to those that wait. */
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

static bool time_left(const struct request *r)
{
	return now_of(r->proxy) + tr_service_median_latency(r->svc, r->route) <
	       r->deadline;
}

/*
 * May the request be tried again after an attempt that ended so? What must
 * not repeat, only when it was provably not run; else within the budget.
 */
static bool may_retry(struct request *r, enum tr_attempt_end how)
{
	bool not_run =
		how == TR_ATTEMPT_TARGET_REFUSED || how == TR_ATTEMPT_UNREACHED;

	if (!r->conn || !attempt_may_replay(r) || r->forward_out ||
	    !time_left(r))
		return false;
	/* A full target costs little and refuses often when all are busy: what
	 * must get through is tried until its deadline, not eight times. */
	if (how == TR_ATTEMPT_TARGET_REFUSED)
		return ++r->refusals < MOST_REFUSALS;
	if (r->attempts - r->refusals >= MOST_ATTEMPTS)
		return false;
	if (not_run)
		return true;
	return r->may_repeat && tr_retry_withdraw(&r->svc->retries);
}

static enum tr_result final_code(const struct request *r,
				 enum tr_attempt_end how)
{
	enum tr_result code = tr_attempt_result(how);

	/* This VM did not send it, but the VM that minted the key may have. */
	if (r->forward_out && code != TR_ANSWERED)
		return TR_KEY_DEAD;
	return code;
}

/* An attempt ended: try again, or answer the caller. */
void proxy_attempt_over(struct request *r, enum tr_attempt_end how)
{
	struct proxy *proxy = r->proxy;
	struct tr_service *svc = r->svc;

	note_if_run(r, how);
	if (how == TR_ATTEMPT_ANSWERED)
		tr_retry_deposit(&svc->retries, svc->document->retry_percent);
	if (how == TR_ATTEMPT_FAILED_STATUS && r->forward_out)
		how = TR_ATTEMPT_ANSWERED;
	if (how == TR_ATTEMPT_ANSWERED) {
		proxy_finish(r, TR_ANSWERED);
	} else if (may_retry(r, how)) {
		svc->counts.retries++;
		place(r);
	} else {
		proxy_finish(r, final_code(r, how));
	}
	proxy_serve_queue(proxy, svc);
}

static size_t take_upload(struct request *r, const char *data, size_t len)
{
	size_t got;

	if (r->state == REQUEST_DONE)
		return len;
	r->body_seen += len;
	got = buffer_put(&r->body, data, len);
	r->body_seen -= len - got;
	r->proxy->counts.bytes_in += got;
	if (r->body_seen > r->body_max) {
		proxy_finish(r, TR_TOO_LARGE);
		return len;
	}
	return got;
}

static void uploading(struct request *r, const char *data, size_t *len)
{
	size_t got = take_upload(r, data, *len);

	*len -= got;
	if (r->state == REQUEST_DONE) {
		*len = 0;
		return;
	}
	if (r->state == REQUEST_READING && !buffer_room(&r->body)) {
		r->body_streamed = true;
		proxy_dispatch(r);
	}
	attempt_body_ready(r);
	if (*len && r->state != REQUEST_DONE && !buffer_room(&r->body))
		request_suspend(r);
}

static enum MHD_Result body_ended(struct request *r)
{
	if (r->responded)
		return MHD_YES;
	if (!r->body_complete) {
		r->body_complete = true;
		if (r->state == REQUEST_READING)
			proxy_dispatch(r);
		attempt_body_ready(r);
	}
	if (r->state == REQUEST_DONE || r->reply.streaming)
		return reply_queue(r);
	request_suspend(r);
	return MHD_YES;
}

static enum MHD_Result arriving(struct request *r)
{
	if (!proxy_arrive(r)) {
		request_suspend(r);
		return MHD_YES;
	}
	if (r->state == REQUEST_DONE)
		return reply_queue(r);
	r->state = REQUEST_READING;
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
		r->state = REQUEST_ARRIVING;
	}
	if (r->state == REQUEST_ARRIVING)
		return arriving(r);
	if (r->state == REQUEST_DONE && r->reply.code == TR_CALLER_GONE)
		return MHD_NO;
	if (*upload_len) {
		uploading(r, upload, upload_len);
		return MHD_YES;
	}
	return body_ended(r);
}

static void *begin(void *ctx, const char *uri, struct MHD_Connection *conn)
{
	struct proxy *proxy = ctx;

	(void)conn;
	proxy->counts.requests++;
	return request_new(proxy, uri);
}

/*
 * The caller's side is over. What may repeat is cancelled at the target; what
 * must not goes on without its caller, so that its outcome becomes known and
 * is there when the caller asks again with the same key.
 */
static void completed(void *ctx, struct MHD_Connection *conn, void **con_cls,
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

/* Requests that wait for a document look again. */
void proxy_config_changed(void *ctx)
{
	struct proxy *proxy = ctx;

	for (struct request *r = proxy->requests; r; r = r->next)
		if (r->state == REQUEST_ARRIVING)
			request_resume(r);
}

/* Serve callers. NULL and err when the address can't be bound. */
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
		.idle_s = IDLE_S,
		.handler = handler,
		.completed = completed,
		.begin = begin,
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
