#include "upstream.h"

#include <stdlib.h>
#include <string.h>

#include "entry_settings.h"
#include "mechanism.h"
#include "mesh.h"
#include "notices.h"
#include "repeat.h"

#define ANSWER_HEAD_MAX 32768
#define ANSWER_BODY_MAX (16 * 1024 * 1024)
/* A connection takes a round trip and a millisecond; the opening packet of one
 * whose packet was lost is sent again after a second, when another target is
 * the better choice. */
#define CONNECT_TIMEOUT TR_MSEC(300)
/* How long a target that could not be reached from here gets nothing from this
 * VM, and one whose address another has. */
#define UNREACHABLE_FOR TR_MSEC(1000)
#define REUSED_FOR	TR_SEC(3)
/* From this chance of being gray on, a target's times do not tell how even the
 * service's are; and a single one counts as so many times the expected at most,
 * since a target that has turned slow would else move the mean for long. */
#define LEARN_RISK 0.3
#define TOOK_MOST  4
/* A target that does not say how long connections may rest. */
#define REST_UNSAID TR_SEC(1)
/* A failure is news at a target that was held to be well. */
#define KNOWN_GRAY 0.5

static const char *const words[] = {
	"answered", "failed",	 "refused",   "unreached",
	"broken",   "timed-out", "abandoned",
};

const char *upstream_end_name(enum upstream_end how)
{
	return words[how];
}

static struct tr_instance *row_of(const struct upstream *u)
{
	struct tr_instance *row = &u->e->roster.rows[u->row];

	return row->used && row->hash == u->hash ? row : NULL;
}

/*
 * Say what was seen. A first failure is told at once and not at the next turn:
 * until the others know, they send on. It gains 0.003 of worth (18 paired days
 * of 44 VMs before 36 targets).
 */
static void say(struct upstream *u, struct tr_instance *row,
		enum tr_symptom symptom)
{
	apr_time_t now = entry_now(u->e);
	bool is_news = symptom == TR_SYMPTOM_FAILED &&
		       tr_mechanism_enabled(TR_MECH_FIRST_FAILURE_NEWS) &&
		       tr_gray_probability(&row->gray, now) < KNOWN_GRAY;

	row->own.count[symptom]++;
	tr_roster_mark_dirty(&u->e->roster, row);
	tr_roster_add_outcome(&u->e->roster, row, symptom, 1, now);
	if (symptom == TR_SYMPTOM_FAILED || symptom == TR_SYMPTOM_OVERDUE)
		tr_service_stats_add_failure(
			&u->e->roster.services[row->service], now - u->sent_at);
	if (is_news)
		mesh_broadcast_now(u->e->mesh);
	else
		mesh_schedule_report(u->e->mesh);
}

static void say_answered(struct upstream *u, struct tr_instance *row)
{
	struct tr_roster *roster = &u->e->roster;
	apr_time_t now = entry_now(u->e);
	apr_time_t took = now - u->sent_at;
	apr_time_t most = u->expected * TOOK_MOST;
	bool calm =
		!u->queued && tr_gray_probability(&row->gray, now) < LEARN_RISK;

	say(u, row, tr_gray_answer_symptom(u->stage));
	if (row->cold_until < now)
		tr_service_stats_add_answer(&roster->services[row->service],
					    took < most ? took : most, calm);
}

/*
 * A refusal by a target that should have a slot free, by what the fleet knows,
 * is a symptom; by a full one it only says to stay away a little.
 */
static void say_refused(struct upstream *u, struct tr_instance *row)
{
	apr_time_t now = entry_now(u->e);
	apr_time_t away = u->expected / row->slots;

	if (u->refused_421) {
		row->unreachable_until = now + REUSED_FOR;
		return;
	}
	row->full_until =
		now + away / 2 + tr_random_below(&u->e->random, (uint32_t)away);
	if (row->in_flight + row->others_in_flight < row->slots)
		say(u, row, TR_SYMPTOM_LATE);
}

static void say_ended(struct upstream *u, struct tr_instance *row,
		      enum upstream_end how)
{
	switch (how) {
	case UPSTREAM_ANSWERED:
		say_answered(u, row);
		break;
	case UPSTREAM_REFUSED:
		say_refused(u, row);
		break;
	case UPSTREAM_UNREACHED:
		row->unreachable_until = entry_now(u->e) + UNREACHABLE_FOR;
		say(u, row, tr_gray_connect_failure_symptom(u->stream.refused));
		break;
	case UPSTREAM_FAILED:
	case UPSTREAM_BROKEN:
	case UPSTREAM_TIMED_OUT:
		if (how == UPSTREAM_BROKEN &&
		    (u->target_exited || !u->connected))
			row->unreachable_until =
				entry_now(u->e) + UNREACHABLE_FOR;
		/* What was said while it ran is not said again. */
		if (u->stage != TR_STAGE_OVERDUE)
			say(u, row, TR_SYMPTOM_FAILED);
		else
			tr_roster_end_hang(row, entry_now(u->e));
		break;
	case UPSTREAM_ABANDONED:
		break;
	}
}

/* End it; done is not called. */
void upstream_stop(struct upstream *u, enum upstream_end how)
{
	struct tr_instance *row;

	if (!u->active)
		return;
	u->active = false;
	stream_close(&u->stream);
	loop_cancel(u->e->loop, u->probe_timer);
	u->probe_timer = NULL;
	if (u->head)
		g_string_free(u->head, TRUE);
	u->head = NULL;
	u->e->roster.rows[u->row].in_flight--;
	row = row_of(u);
	if (!row)
		return;
	tr_roster_mark_dirty(&u->e->roster, row);
	mesh_schedule_report(u->e->mesh);
	say_ended(u, row, how);
}

/* How long the target lets the connection rest, in us; 0 when it can't be kept.
 */
static apr_time_t rest_of(const struct upstream *u)
{
	const char *text = message_header(&u->answer, "Keep-Alive");
	const char *timeout = text ? strstr(text, "timeout=") : NULL;

	if (!u->keeps || !u->answer.complete || !u->answer.keep_alive ||
	    !u->answer.framed || !stream_is_drained(&u->stream))
		return 0;
	if (!timeout)
		return REST_UNSAID;
	return TR_SEC(strtoll(timeout + strlen("timeout="), NULL, 10));
}

/* The whole answer has come, and nothing after it: keep the connection. */
static void keep(struct upstream *u)
{
	apr_time_t rest = rest_of(u);

	if (rest > 0)
		conn_pool_put(u->e, &u->stream, u->row, u->hash, rest);
}

static void over(struct upstream *u, enum upstream_end how)
{
	upstream_stop(u, how);
	u->done(u->ctx, u, how);
}

static enum upstream_end judge(struct upstream *u)
{
	const struct dialect *d = u->e->dialect;
	int status = u->answer.parser.status_code;
	bool stamped = message_header(&u->answer, d->stamp) != NULL;

	u->refused_421 = status == 421;
	if (message_header(&u->answer, d->not_run) || status == 421)
		return UPSTREAM_REFUSED;
	if (!stamped)
		return UPSTREAM_BROKEN;
	return status >= 500 ? UPSTREAM_FAILED : UPSTREAM_ANSWERED;
}

/* An answer to another request may stand before this one's: its id tells. */
static bool is_ours(const struct upstream *u)
{
	const char *id = message_header(&u->answer, u->e->dialect->request_id);

	return !id || !strcmp(id, u->request_id);
}

/* Take in what the target says of itself, as soon as the head of this request's
 * answer is there: the rest of it may never come. */
static void read_notice(struct upstream *u)
{
	if (u->notice_read || !u->answer.head_done ||
	    u->answer.parser.status_code < 200 || !is_ours(u))
		return;
	u->notice_read = true;
	notices_handle(u->e, u->row, u->hash, &u->answer);
}

static void received(void *ctx, const char *data, size_t len)
{
	struct upstream *u = ctx;

	while (len) {
		ssize_t used = message_feed(&u->answer, data, len);

		read_notice(u);
		if (used < 0) {
			over(u, UPSTREAM_BROKEN);
			return;
		}
		if (!u->answer.complete)
			return;
		if (u->answer.parser.status_code >= 200 && is_ours(u)) {
			if ((size_t)used == len)
				keep(u);
			over(u, judge(u));
			return;
		}
		message_reset(&u->answer);
		data += used;
		len -= (size_t)used;
	}
}

static void send_it(struct upstream *u)
{
	u->connected = true;
	u->sent_at = entry_now(u->e);
	stream_write(&u->stream, u->head->str, u->head->len);
	if (u->body->len)
		stream_write(&u->stream, u->body->data, u->body->len);
}

/*
 * The target can't be reached. After a dead kept connection the request may
 * have run on that one: a target that ends under it closes the connection just
 * so, and then refuses the next. Taken for a request that never left, it would
 * go on to the next target without counting as an attempt or a repeat; one
 * would notice by reads at which more targets end than their route allows.
 */
static enum upstream_end unreached(const struct upstream *u)
{
	return u->reconnected ? UPSTREAM_BROKEN : UPSTREAM_UNREACHED;
}

/* May a target have begun to run it? */
bool upstream_may_have_run(const struct upstream *u)
{
	return u->connected || u->reconnected;
}

static int connect_to(struct upstream *u, const struct stream_callbacks *calls);

static const struct stream_callbacks calls;

static double heard(const struct entry *e)
{
	return tr_membership_recent_share(&e->members, entry_now(e));
}

/* The target is sent one more request: what it takes is less for it. */
static void count_sent(const struct upstream *u, const struct tr_instance *row)
{
	struct tr_send_limit *l = tr_roster_limit(&u->e->roster, row);

	if (l)
		tr_send_limit_sent(l, heard(u->e), entry_now(u->e));
}

static bool limit_allows(const struct upstream *u,
			 const struct tr_instance *row)
{
	const struct tr_send_limit *l = tr_roster_limit(&u->e->roster, row);

	return !l || tr_send_limit_tokens(l, heard(u->e), entry_now(u->e)) >= 1;
}

/*
 * The kept connection may have carried the request to the target before it
 * ended: to operators what is sent again is a repeat, and counts as one.
 */
static bool may_send_again(const struct upstream *u)
{
	const struct tr_instance *row = row_of(u);
	struct entry *e = u->e;
	apr_time_t now = entry_now(e);

	return row && tr_instance_usable(row, now) && limit_allows(u, row) &&
	       repeat_admit(e, row->service);
}

static void check_connected(void *ctx)
{
	over(ctx, UPSTREAM_BROKEN);
}

static void check_ended(void *ctx, enum stream_end why)
{
	struct upstream *u = ctx;

	(void)why;
	u->target_exited = u->stream.refused;
	over(u, UPSTREAM_BROKEN);
}

static void check_late(void *ctx)
{
	struct upstream *u = ctx;

	u->probe_timer = NULL;
	over(u, UPSTREAM_BROKEN);
}

static const struct stream_callbacks check_calls = {
	.connected = check_connected,
	.ended = check_ended,
};

/*
 * The connection broke off. Did the target end, or only the connection, as
 * those of gray targets and of harmed links do? Another one tells: where the
 * process is gone it is refused. Before that is known the request isn't sent
 * on, for the next target might end under it too.
 */
static void check_end(struct upstream *u)
{
	u->broken_at = entry_now(u->e);
	if (!row_of(u)) {
		over(u, UPSTREAM_BROKEN);
		return;
	}
	if (connect_to(u, &check_calls)) {
		u->target_exited = u->stream.refused;
		over(u, UPSTREAM_BROKEN);
		return;
	}
	u->probe_timer = loop_after(u->e->loop, CONNECT_TIMEOUT, check_late, u);
}

/* The kept connection was dead: the same on a new one. Nothing is said of the
 * target, which has mostly not seen the request, unless it must not be sent
 * again: then only a look tells whether the target has ended under it. */
static void begin_again(struct upstream *u)
{
	u->e->counts.reused_dead++;
	conn_pool_report_dead(u->e, u->kept_idle_time);
	u->kept_idle_time = 0;
	u->reconnected = true;
	u->connected = false;
	u->started_at = entry_now(u->e);
	u->broken_at = u->started_at;
	if (!may_send_again(u)) {
		check_end(u);
		return;
	}
	count_sent(u, row_of(u));
	if (connect_to(u, &calls)) {
		u->target_exited = u->stream.refused;
		over(u, unreached(u));
	}
}

static void ended(void *ctx, enum stream_end why)
{
	struct upstream *u = ctx;

	if (!u->connected) {
		u->target_exited = u->reconnected && u->stream.refused;
		over(u, unreached(u));
		return;
	}
	if (u->kept_idle_time && !u->answer.begun) {
		begin_again(u);
		return;
	}
	if (why == STREAM_CLOSED && u->answer.head_done && !u->answer.framed &&
	    message_end_of_stream(&u->answer) && is_ours(u))
		over(u, judge(u));
	else
		check_end(u);
}

static void connected(void *ctx)
{
	send_it(ctx);
}

static const struct stream_callbacks calls = {
	.connected = connected,
	.received = received,
	.ended = ended,
};

static int connect_to(struct upstream *u, const struct stream_callbacks *with)
{
	const struct tr_instance *row = &u->e->roster.rows[u->row];
	struct sockaddr_in to;

	if (stream_parse_address(row->address, &to))
		return -1;
	return stream_connect(&u->stream, u->e->loop, &to, u->e->settings->ip,
			      with, u);
}

/* Go on with a kept connection, if there is one. */
static bool take_kept(struct upstream *u)
{
	if (!u->keeps || !conn_pool_get(u->e, u->row, u->hash, &u->stream,
					&calls, u, &u->kept_idle_time))
		return false;
	u->e->counts.reused++;
	send_it(u);
	return true;
}

/* Send the request to the target. 0; or -1 when it could not be begun. */
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
	u->stage = TR_STAGE_NORMAL;
	u->started_at = entry_now(e);
	u->sent_at = u->started_at;
	u->expected = request->expected;
	u->spread = request->spread;
	u->queued = request->queued;
	u->keeps = request->keeps;
	u->kept_idle_time = 0;
	u->reconnected = false;
	u->probe_timer = NULL;
	u->target_exited = false;
	u->notice_read = false;
	u->known_exits = request->known_exits;
	u->request_id = request->request_id;
	u->head = request->head;
	u->body = request->body;
	u->done = done;
	u->ctx = ctx;
	message_init(&u->answer, HTTP_RESPONSE, ANSWER_HEAD_MAX,
		     ANSWER_BODY_MAX);
	u->answer.head_only = request->head_only;
	row->in_flight++;
	count_sent(u, row);
	row->used_at = u->started_at;
	tr_roster_mark_dirty(&u->e->roster, row);
	mesh_schedule_report(e->mesh);
	u->active = true;
	if (take_kept(u) || !connect_to(u, &calls))
		return 0;
	upstream_stop(u, UPSTREAM_UNREACHED);
	return -1;
}

/*
 * Look at a running attempt: say what its age tells of the target. When to
 * look again; an attempt that could not connect in time is over.
 */
apr_time_t upstream_check_age(struct upstream *u, apr_time_t now)
{
	struct tr_instance *row = row_of(u);

	if (u->probe_timer)
		return APR_INT64_MAX;
	if (!u->connected && now >= u->started_at + CONNECT_TIMEOUT) {
		over(u, unreached(u));
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

		if (now < at)
			return at;
		u->stage = next;
		if (row)
			say(u, row, tr_gray_stage_symptom(next));
	}
	return APR_INT64_MAX;
}

void upstream_release(struct upstream *u)
{
	upstream_stop(u, UPSTREAM_ABANDONED);
	message_free(&u->answer);
}
