/* One attempt at a target: connecting, sending, and what its end shows. */
#include "upstream.h"

#include <stdlib.h>
#include <string.h>

#include "crossing_watch.h"
#include "entry_settings.h"
#include "mechanism.h"
#include "mesh.h"
#include "notices.h"
#include "path_watch.h"
#include "repeat.h"
#include "upstream_report.h"

#define MAX_RESPONSE_HEAD 32768
#define MAX_RESPONSE_BODY (16 * 1024 * 1024)
/*
 * Connecting takes a round trip and a millisecond. If the SYN is lost, it is
 * sent again only after a second, when another target is the better choice.
 */
#define CONNECT_TIMEOUT TR_MSEC(300)
/* For a target that names no Keep-Alive timeout. */
#define DEFAULT_KEEP_ALIVE TR_SEC(1)

static const char *const end_names[] = {
	"answered", "failed",	 "refused",   "unreached",
	"broken",   "oversized", "timed-out", "abandoned",
};

const char *upstream_end_name(enum upstream_end how)
{
	return end_names[how];
}

static double heard_share(const struct entry *e)
{
	return tr_membership_recent_share(&e->members, entry_now(e));
}

/* Takes a token of the target's limit, if it has one. */
static void reserve_token(struct upstream *u, const struct tr_instance *row)
{
	struct tr_send_limit *l = tr_roster_limit(&u->e->roster, row);

	if (!l || u->reserved)
		return;
	tr_send_limit_reserve(l, heard_share(u->e), entry_now(u->e));
	u->reserved = true;
}

/* Counts the request, which is sent now, against the target's limit. */
static void count_sent(struct upstream *u, const struct tr_instance *row)
{
	struct tr_send_limit *l = tr_roster_limit(&u->e->roster, row);

	reserve_token(u, row);
	if (l)
		tr_send_limit_sent(l);
	u->reserved = false;
}

/* Gives back the token of a request that was not sent. */
static void give_back_token(struct upstream *u, const struct tr_instance *row)
{
	struct tr_send_limit *l = tr_roster_limit(&u->e->roster, row);

	if (l && u->reserved)
		tr_send_limit_give_back(l);
	u->reserved = false;
}

/* Moves the attempt's request from those that are connecting to those in
 * flight, once. */
static void count_in_flight(struct upstream *u)
{
	struct tr_instance *row = &u->e->roster.rows[u->row];

	if (u->in_flight)
		return;
	u->in_flight = true;
	row->connecting--;
	row->in_flight++;
	tr_held_bytes_report_again(&row->held);
	tr_roster_mark_dirty(&u->e->roster, row);
	mesh_schedule_report(u->e->mesh);
}

/* The request no longer counts as in flight at the target. */
static void uncount(struct upstream *u, enum upstream_end how)
{
	struct tr_instance *row = &u->e->roster.rows[u->row];

	tr_held_bytes_remove(&row->held, u->held_bytes,
			     how == UPSTREAM_ANSWERED);
	if (u->in_flight)
		row->in_flight--;
	else
		row->connecting--;
	u->in_flight = false;
}

/* Ends the attempt and reports its outcome. The done callback is not called. */
void upstream_stop(struct upstream *u, enum upstream_end how)
{
	struct tr_instance *row;

	if (!u->active)
		return;
	u->active = false;
	dial_cancel(&u->dial);
	stream_close(&u->stream);
	loop_cancel_timer(u->e->loop, u->probe_timer);
	u->probe_timer = NULL;
	if (u->head)
		g_string_free(u->head, TRUE);
	u->head = NULL;
	tr_buffers_close(&u->e->buffers, &u->buffer);
	uncount(u, how);
	row = upstream_row(u);
	if (!row)
		return;
	give_back_token(u, row);
	tr_roster_mark_dirty(&u->e->roster, row);
	mesh_schedule_report(u->e->mesh);
	upstream_report_end(u, row, how);
}

/*
 * Returns how long the target keeps the idle connection open, in microseconds,
 * or 0 if it cannot be reused.
 */
static apr_time_t keep_alive_time(const struct upstream *u)
{
	const char *text = message_header(&u->response, "Keep-Alive");
	const char *timeout = text ? strstr(text, "timeout=") : NULL;

	if (!u->use_pool || u->peer || !u->response.complete ||
	    !u->response.keep_alive || !u->response.framed ||
	    !stream_is_drained(&u->stream) || u->stream.write_failed)
		return 0;
	if (!timeout)
		return DEFAULT_KEEP_ALIVE;
	return TR_SEC(strtoll(timeout + strlen("timeout="), NULL, 10));
}

/*
 * Keeps the connection for reuse. The response is complete, and nothing
 * followed it.
 */
static void keep_connection(struct upstream *u)
{
	apr_time_t idle_limit = keep_alive_time(u);

	if (idle_limit > 0)
		conn_pool_put(u->e, &u->stream, u->row, u->hash, idle_limit);
}

/* Ends the attempt and calls its done callback. The response is not needed
 * after that. */
static void finish(struct upstream *u, enum upstream_end how)
{
	upstream_stop(u, how);
	u->done(u->ctx, u, how);
	if (!u->active)
		message_free(&u->response);
}

/* Memory is short: ends an attempt whose response takes the most. */
static void give_up_response(void *ctx)
{
	finish(ctx, UPSTREAM_OVERSIZED);
}

/* Memory is short: ends an attempt at a target that does not read. */
static void give_up_request(void *ctx)
{
	finish(ctx, UPSTREAM_BROKEN);
}

static const struct tr_buffer_use response_use = {
	.kind = TR_BUFFER_RESPONSE,
	.give_up = give_up_response,
};

static const struct tr_buffer_use request_use = {
	.kind = TR_BUFFER_SENT,
	.give_up = give_up_request,
};

/* Returns the outcome by the response. One without a stamp counts as broken. */
static enum upstream_end classify_response(struct upstream *u)
{
	const struct dialect *d = u->e->dialect;
	int status = u->response.parser.status_code;
	bool stamped = message_header(&u->response, d->stamp) != NULL;

	u->misdirected = status == 421;
	if (message_header(&u->response, d->not_run) || status == 421)
		return UPSTREAM_REFUSED;
	if (!stamped)
		return UPSTREAM_BROKEN;
	return status >= 500 ? UPSTREAM_FAILED : UPSTREAM_ANSWERED;
}

/*
 * Returns whether the response is to this request, by the request id. A
 * response to another request may precede it.
 */
static bool is_own_response(const struct upstream *u)
{
	const char *id =
		message_header(&u->response, u->e->dialect->request_id);

	return !id || !strcmp(id, u->request_id);
}

/*
 * Processes what the target reports about itself as soon as the head of this
 * request's response is there: the rest may never come.
 */
static void read_notice(struct upstream *u)
{
	if (u->notice_read || !u->response.head_done ||
	    u->response.parser.status_code < 200 || !is_own_response(u))
		return;
	u->notice_read = true;
	notices_handle(u->e, u->row, u->hash, &u->response);
}

static void received(void *ctx, const char *data, size_t len)
{
	struct upstream *u = ctx;

	if (!u->peer)
		path_heard(u->e, u->row);
	while (len) {
		ssize_t used = message_feed(&u->response, data, len);

		read_notice(u);
		tr_buffers_resize(&u->e->buffers, u->buffer,
				  u->response.body->len);
		if (used < 0) {
			finish(u, message_exceeds_limit(&u->response)
					  ? UPSTREAM_OVERSIZED
					  : UPSTREAM_BROKEN);
			return;
		}
		if (!u->response.complete)
			return;
		if (u->response.parser.status_code >= 200 &&
		    is_own_response(u)) {
			if ((size_t)used == len)
				keep_connection(u);
			finish(u, classify_response(u));
			return;
		}
		/* What follows would be of another protocol, which this VM
		 * has not asked for. */
		if (u->response.parser.status_code == 101) {
			finish(u, UPSTREAM_BROKEN);
			return;
		}
		if (!message_skip(&u->response)) {
			finish(u, UPSTREAM_OVERSIZED);
			return;
		}
		data += used;
		len -= (size_t)used;
	}
}

static void send_request(struct upstream *u)
{
	u->connected = true;
	u->sent_at = entry_now(u->e);
	count_in_flight(u);
	count_sent(u, &u->e->roster.rows[u->row]);
	u->e->counts.via_peer += u->peer != 0;
	crossing_note_sent(u->e, u->row, u->head->len + u->body->len);
	stream_account(&u->stream, &u->e->buffers, &request_use);
	if (u->announces)
		mesh_broadcast_now(u->e->mesh);
	stream_write(&u->stream, u->head->str, u->head->len);
	if (u->body->len)
		stream_write(&u->stream, u->body->data, u->body->len);
}

/*
 * The target cannot be reached. After an idle connection turned out to be dead,
 * the request may have run on that one: a target that crashes under it closes
 * the connection in just this way, and then refuses the next. If that counted
 * as never sent, the request would go to the next target without counting as an
 * attempt or a repeat, and a read could crash more targets than its route
 * allows attempts.
 */
static enum upstream_end connect_failed_end(const struct upstream *u)
{
	return u->reconnected ? UPSTREAM_BROKEN : UPSTREAM_UNREACHED;
}

/* Returns whether a target may have begun to run the request. */
bool upstream_may_have_run(const struct upstream *u)
{
	return u->connected || u->reconnected;
}

static int connect_to(struct upstream *u,
		      const struct dial_callbacks *callbacks);

static const struct dial_callbacks dial_callbacks;

static bool limit_allows(const struct upstream *u,
			 const struct tr_instance *row)
{
	const struct tr_send_limit *l = tr_roster_limit(&u->e->roster, row);

	return !l ||
	       tr_send_limit_tokens(l, heard_share(u->e), entry_now(u->e)) >= 1;
}

/*
 * Returns whether the request may be sent on a new connection after an idle one
 * was dead. The target may have received it on the old one: operators count
 * what is sent again as a repeat, and so does this VM.
 */
static bool may_send_again(const struct upstream *u)
{
	const struct tr_instance *row = upstream_row(u);
	struct entry *e = u->e;
	apr_time_t now = entry_now(e);

	return row && tr_instance_usable(row, now) && limit_allows(u, row) &&
	       repeat_admit(e, row->service);
}

static void probe_connected(void *ctx, struct stream *s, uint32_t peer)
{
	struct upstream *u = ctx;

	stream_close(s);
	u->path_failed = peer && !u->peer;
	finish(u, UPSTREAM_BROKEN);
}

static void probe_failed(void *ctx)
{
	struct upstream *u = ctx;

	u->target_exited = u->dial.refused;
	finish(u, UPSTREAM_BROKEN);
}

static void probe_timed_out(void *ctx)
{
	struct upstream *u = ctx;

	u->probe_timer = NULL;
	finish(u, UPSTREAM_BROKEN);
}

static const struct dial_callbacks probe_callbacks = {
	.connected = probe_connected,
	.failed = probe_failed,
};

/*
 * The connection broke off. A probe connection tells whether the target exited,
 * in which case it is refused, or only the connection failed, as happens with
 * gray targets and faulty links. The request is not sent on before this is
 * known, because the next target might exit under it too.
 */
static void probe_target(struct upstream *u)
{
	u->broken_at = entry_now(u->e);
	if (!upstream_row(u)) {
		finish(u, UPSTREAM_BROKEN);
		return;
	}
	if (connect_to(u, &probe_callbacks)) {
		u->target_exited = u->dial.refused;
		finish(u, UPSTREAM_BROKEN);
		return;
	}
	u->probe_timer =
		loop_add_timer(u->e->loop, CONNECT_TIMEOUT, probe_timed_out, u);
}

/*
 * The reused idle connection was dead: sends the request on a new one. Nothing
 * is reported of the target, which has mostly not seen the request. If the
 * request must not be sent again, only a probe tells whether the target has
 * exited under it.
 */
static void reconnect(struct upstream *u)
{
	u->e->counts.reused_dead++;
	conn_pool_report_dead(u->e, u->pool_idle_time);
	u->pool_idle_time = 0;
	u->reconnected = true;
	u->connected = false;
	u->started_at = entry_now(u->e);
	u->broken_at = u->started_at;
	if (!may_send_again(u)) {
		probe_target(u);
		return;
	}
	reserve_token(u, upstream_row(u));
	if (connect_to(u, &dial_callbacks)) {
		u->target_exited = u->dial.refused;
		finish(u, connect_failed_end(u));
	}
}

static void ended(void *ctx, enum stream_end why)
{
	struct upstream *u = ctx;

	if (u->pool_idle_time && !u->response.begun) {
		reconnect(u);
		return;
	}
	if (why == STREAM_CLOSED && u->response.head_done &&
	    !u->response.framed && message_end_of_stream(&u->response) &&
	    is_own_response(u))
		finish(u, classify_response(u));
	else
		probe_target(u);
}

/* Unpacks what the target sent from the frames of the other VM. */
static void received_via_peer(void *ctx, const char *data, size_t len)
{
	struct upstream *u = ctx;
	unsigned attempt = u->attempt;
	const char *payload;
	size_t payload_len;

	while ((payload = frame_next(&u->frames, &data, &len, &payload_len))) {
		received(u, payload, payload_len);
		/* It may have ended, and another one begun. */
		if (!u->active || u->attempt != attempt || u->stream.fd < 0)
			return;
	}
	if (!u->frames.ended && !u->frames.broken)
		return;
	stream_close(&u->stream);
	ended(u, u->frames.ended ? STREAM_CLOSED : STREAM_RESET);
}

/* The connection to the other VM was lost, which tells nothing of the target.
 */
static void ended_via_peer(void *ctx, enum stream_end why)
{
	struct upstream *u = ctx;

	(void)why;
	u->path_failed = true;
	finish(u, UPSTREAM_BROKEN);
}

static const struct stream_callbacks callbacks = {
	.received = received,
	.ended = ended,
};

static const struct stream_callbacks peer_callbacks = {
	.received = received_via_peer,
	.ended = ended_via_peer,
};

static void connected(void *ctx, struct stream *s, uint32_t peer)
{
	struct upstream *u = ctx;

	u->peer = peer;
	memset(&u->frames, 0, sizeof(u->frames));
	stream_move(&u->stream, s, peer ? &peer_callbacks : &callbacks, u);
	send_request(u);
}

static void connect_failed(void *ctx)
{
	struct upstream *u = ctx;

	u->target_exited = u->reconnected && u->dial.refused;
	finish(u, connect_failed_end(u));
}

static const struct dial_callbacks dial_callbacks = {
	.connected = connected,
	.failed = connect_failed,
};

static int connect_to(struct upstream *u, const struct dial_callbacks *with)
{
	return dial_start(&u->dial, u->e, u->row, with, u);
}

/*
 * Sends the request on an idle connection, if there is one. While the path is
 * in doubt a new connection is made instead, since an idle one can't tell that
 * it is dead.
 */
static bool reuse_connection(struct upstream *u)
{
	if (!u->use_pool || path_is_doubtful(u->e, u->row) ||
	    !conn_pool_get(u->e, u->row, u->hash, &u->stream, &callbacks, u,
			   &u->pool_idle_time))
		return false;
	u->e->counts.reused++;
	send_request(u);
	return true;
}

/* Starts the attempt. Returns 0, or -1 if no connection could be begun. */
int upstream_start(struct upstream *u, struct entry *e, uint32_t at,
		   const struct upstream_request *request,
		   upstream_done_fn done, void *ctx)
{
	struct tr_instance *row = &e->roster.rows[at];

	upstream_release(u);
	u->e = e;
	u->row = at;
	u->hash = row->hash;
	u->connected = false;
	u->stage = u->settled = u->reported = TR_STAGE_NORMAL;
	u->started_at = entry_now(e);
	u->sent_at = u->started_at;
	u->expected = request->expected;
	u->spread = request->spread;
	u->queued = request->queued;
	u->use_pool = request->use_pool;
	u->pool_idle_time = 0;
	u->reconnected = false;
	u->probe_timer = NULL;
	u->target_exited = false;
	u->notice_read = false;
	u->known_exits = request->known_exits;
	u->announces = request->announces;
	u->attempt++;
	u->in_flight = false;
	u->peer = 0;
	u->path_failed = false;
	u->stream.fd = -1;
	memset(&u->dial, 0, sizeof(u->dial));
	u->request_id = request->request_id;
	u->head = request->head;
	u->body = request->body;
	u->done = done;
	u->ctx = ctx;
	message_init(&u->response, HTTP_RESPONSE, MAX_RESPONSE_HEAD,
		     MAX_RESPONSE_BODY);
	u->response.head_only = request->head_only;
	u->buffer = tr_buffers_open(&e->buffers, &response_use, u);
	row->connecting++;
	u->held_bytes = u->body->len;
	tr_held_bytes_add(&row->held, u->held_bytes);
	tr_usual_body_add(&e->roster.services[row->service].usual_body,
			  u->held_bytes);
	u->reserved = false;
	reserve_token(u, row);
	u->used_before = row->used_at;
	row->used_at = u->started_at;
	tr_roster_mark_dirty(&u->e->roster, row);
	mesh_schedule_report(e->mesh);
	u->active = true;
	if (reuse_connection(u) || !connect_to(u, &dial_callbacks))
		return 0;
	upstream_stop(u, UPSTREAM_UNREACHED);
	return -1;
}

/*
 * Checks the age of a running attempt and reports what it tells of the target.
 * Returns when to check again. Ends an attempt that could not connect in time.
 */
apr_time_t upstream_check_age(struct upstream *u, apr_time_t now)
{
	apr_time_t again;

	if (u->probe_timer)
		return APR_INT64_MAX;
	if (!u->connected && now >= u->started_at + CONNECT_TIMEOUT) {
		finish(u, connect_failed_end(u));
		return now;
	}
	if (!u->connected)
		return u->started_at + CONNECT_TIMEOUT;
	while (u->stage < TR_STAGE_OVERDUE &&
	       tr_mechanism_enabled(TR_MECH_RUNNING_AGE)) {
		enum tr_request_stage next =
			(enum tr_request_stage)(u->stage + 1);
		apr_time_t at =
			u->sent_at +
			tr_gray_stage_start(next, u->expected, u->spread);

		if (now < at) {
			again = upstream_report_stages(u, now);
			return again < at ? again : at;
		}
		upstream_reach_stage(u, next);
	}
	return upstream_report_stages(u, now);
}

/* Cancels the attempt if it runs, and frees its memory. */
void upstream_release(struct upstream *u)
{
	upstream_stop(u, UPSTREAM_ABANDONED);
	message_free(&u->response);
}
