/* What an attempt shows of its target and of the path to it. */
#include "upstream_report.h"

#include "crossing_watch.h"
#include "eventlog.h"
#include "mechanism.h"
#include "mesh.h"
#include "path_watch.h"

/*
 * How long this VM sends nothing to a target that it could not reach, and to
 * one whose address now belongs to another (status 421).
 */
#define UNREACHABLE_FOR TR_MSEC(1000)
/* The same where no other VM could tell whether the target is to blame. */
#define UNCONFIRMED_FOR TR_MSEC(250)
#define MISDIRECTED_FOR TR_SEC(3)
/*
 * From this chance of being gray on, a target's latencies say nothing about the
 * spread of its service's. And a single latency counts as at most this many
 * times the expected one, since a target that has turned slow would otherwise
 * move the mean for long.
 */
#define MAX_LEARN_RISK	   0.3
#define MAX_LEARNED_FACTOR 4
/* How often it is checked whether the path is still in doubt. */
#define DOUBT_POLL TR_MSEC(25)
/*
 * A failure of a target with a lower chance of being gray is reported at once.
 */
#define GRAY_THRESHOLD 0.5

/* Returns the target's row in the roster, or NULL if the row was reused. */
struct tr_instance *upstream_row(const struct upstream *u)
{
	struct tr_instance *row = &u->e->roster.rows[u->row];

	return row->used && row->hash == u->hash ? row : NULL;
}

/*
 * Records a symptom of the target. A first failure is reported to the other VMs
 * at once and not with the next message: until they know, they keep sending
 * there. This gained 0.003 of the operators' score (18 pairs of runs with 44
 * VMs and 36 targets).
 */
static void report_symptom(struct upstream *u, struct tr_instance *row,
			   enum tr_symptom symptom)
{
	apr_time_t now = entry_now(u->e);
	bool is_first_failure =
		symptom == TR_SYMPTOM_FAILED &&
		tr_mechanism_enabled(TR_MECH_FIRST_FAILURE_REPORT) &&
		tr_gray_probability(&row->gray, now) < GRAY_THRESHOLD;

	row->own.count[symptom]++;
	tr_roster_mark_dirty(&u->e->roster, row);
	tr_roster_add_outcome(&u->e->roster, row, symptom, 1, now);
	if (symptom == TR_SYMPTOM_FAILED || symptom == TR_SYMPTOM_OVERDUE)
		tr_service_stats_add_failure(
			&u->e->roster.services[row->service], now - u->sent_at);
	if (is_first_failure)
		mesh_broadcast_now(u->e->mesh);
	else
		mesh_schedule_report(u->e->mesh);
}

/*
 * Returns whether the attempt uses a connection of this VM itself although its
 * path is cut, or goes through a VM that has fallen silent. Its failure tells
 * nothing of the target.
 */
bool upstream_is_on_cut_path(const struct upstream *u)
{
	const struct entry *e = u->e;

	if (u->path_failed)
		return true;
	return u->peer ? !tr_membership_hears(&e->members, u->peer,
					      entry_now(e))
		       : path_is_cut(e, u->row);
}

/*
 * Records a symptom that may be due to this VM's path, unless it is known to
 * be. What one VM that is cut off reports would make all VMs avoid sound
 * targets.
 */
static void report_failure(struct upstream *u, struct tr_instance *row,
			   enum tr_symptom symptom)
{
	if (!upstream_is_on_cut_path(u))
		report_symptom(u, row, symptom);
}

/*
 * Takes back that the request is in flight at the target and that the target
 * was used: on a path that is cut it may never arrive there, or has mostly
 * ended, and only its answer is missing.
 */
static void withdraw(struct upstream *u, struct tr_instance *row)
{
	if (!u->in_flight)
		return;
	u->in_flight = false;
	row->in_flight--;
	row->connecting++;
	if (row->used_at == u->started_at)
		row->used_at = u->used_before;
	tr_roster_mark_dirty(&u->e->roster, row);
	mesh_schedule_report(u->e->mesh);
}

/* Reports the next stage that the request has reached, unless its path is cut.
 */
static void settle_stage(struct upstream *u, struct tr_instance *row)
{
	u->settled = (enum tr_request_stage)(u->settled + 1);
	if (!upstream_is_on_cut_path(u)) {
		u->reported = u->settled;
		report_symptom(u, row, tr_gray_stage_symptom(u->settled));
	} else if (u->settled == TR_STAGE_OVERDUE) {
		withdraw(u, row);
	}
}

static void settle_stages(struct upstream *u, struct tr_instance *row)
{
	while (u->settled < u->stage)
		settle_stage(u, row);
}

static void report_answered(struct upstream *u, struct tr_instance *row)
{
	struct tr_roster *roster = &u->e->roster;
	apr_time_t now = entry_now(u->e);
	apr_time_t took = now - u->sent_at;
	apr_time_t max = u->expected * MAX_LEARNED_FACTOR;
	bool uncontended = !u->queued && tr_gray_probability(&row->gray, now) <
						 MAX_LEARN_RISK;

	report_symptom(u, row, tr_gray_answer_symptom(u->reported));
	if (row->cold_until < now)
		tr_service_stats_add_answer(&roster->services[row->service],
					    took < max ? took : max,
					    uncontended);
}

/*
 * A refusal by a target that by the fleet's knowledge has a free slot is a
 * symptom. A full target is only avoided for a little while.
 */
static void report_refused(struct upstream *u, struct tr_instance *row)
{
	apr_time_t now = entry_now(u->e);
	apr_time_t backoff = u->expected / row->slots;

	if (u->misdirected) {
		row->unreachable_until = now + MISDIRECTED_FOR;
		return;
	}
	row->full_until = now + backoff / 2 +
			  tr_random_below(&u->e->random, (uint32_t)backoff);
	if (row->in_flight + row->others_in_flight < row->slots)
		report_symptom(u, row, TR_SYMPTOM_LATE);
}

/*
 * Reports a response that exceeds a limit. It came from the target itself, so
 * it counts against the target whatever the path.
 */
static void report_oversized(struct upstream *u, struct tr_instance *row)
{
	const struct message *msg = &u->response;

	u->e->counts.oversized++;
	eventlog(EVENT_FAILURE, "response-oversized",
		 "id=%s service=%s request=%s head_bytes=%zu body_bytes=%u "
		 "interim_bytes=%zu other_bytes=%zu took_ms=%ld",
		 row->id, u->e->roster.services[row->service].name,
		 u->request_id, msg->head_bytes, msg->body->len,
		 msg->skipped_interim, msg->skipped_others,
		 (long)((entry_now(u->e) - u->sent_at) / 1000));
	if (u->reported != TR_STAGE_OVERDUE)
		report_symptom(u, row, TR_SYMPTOM_FAILED);
	else
		tr_roster_end_hang(row, entry_now(u->e));
}

/* Reports how the attempt ended. */
void upstream_report_end(struct upstream *u, struct tr_instance *row,
			 enum upstream_end how)
{
	if (how != UPSTREAM_ABANDONED)
		settle_stages(u, row);
	switch (how) {
	case UPSTREAM_ANSWERED:
		report_answered(u, row);
		crossing_note_answered(u->e, u->row, u->body->len,
				       u->response.body->len);
		break;
	case UPSTREAM_REFUSED:
		report_refused(u, row);
		break;
	case UPSTREAM_UNREACHED:
		row->unreachable_until =
			entry_now(u->e) + (dial_failure_is_confirmed(&u->dial)
						   ? UNREACHABLE_FOR
						   : UNCONFIRMED_FOR);
		/* Nothing was sent: for the floor it was not used. */
		if (row->used_at == u->started_at)
			row->used_at = u->used_before;
		u->e->counts.unreached++;
		if (!u->dial.refused)
			crossing_note_unreached(u->e, u->row);
		if (dial_failure_is_confirmed(&u->dial))
			report_failure(u, row,
				       tr_gray_connect_failure_symptom(
					       u->dial.refused));
		break;
	case UPSTREAM_OVERSIZED:
		report_oversized(u, row);
		break;
	case UPSTREAM_FAILED:
	case UPSTREAM_BROKEN:
	case UPSTREAM_TIMED_OUT:
		if (how == UPSTREAM_BROKEN &&
		    (u->target_exited || !u->connected))
			row->unreachable_until =
				entry_now(u->e) + UNREACHABLE_FOR;
		/* An overdue attempt has been reported already. */
		if (how == UPSTREAM_FAILED && u->reported != TR_STAGE_OVERDUE)
			report_symptom(u, row, TR_SYMPTOM_FAILED);
		else if (u->reported != TR_STAGE_OVERDUE)
			report_failure(u, row, TR_SYMPTOM_FAILED);
		else if (!upstream_is_on_cut_path(u))
			tr_roster_end_hang(row, entry_now(u->e));
		break;
	case UPSTREAM_ABANDONED:
		break;
	}
}

/* The attempt has reached a later stage. */
void upstream_reach_stage(struct upstream *u, enum tr_request_stage stage)
{
	if (u->settled == u->stage)
		u->waits_since = entry_now(u->e);
	u->stage = stage;
	if (stage >= TR_STAGE_LATE && !u->peer)
		path_late(u->e, u->row, u->sent_at);
}

/*
 * Reports the stages that the attempt has reached, or lets them wait while they
 * may be due to the path. Returns when to check again.
 */
apr_time_t upstream_report_stages(struct upstream *u, apr_time_t now)
{
	struct tr_instance *row = upstream_row(u);

	while (row && u->settled < u->stage) {
		if (!u->peer && path_must_wait(u->e, u->row, u->waits_since))
			return now + DOUBT_POLL;
		settle_stage(u, row);
	}
	return APR_INT64_MAX;
}

/*
 * The path is known to be cut. What the attempt showed on a connection of this
 * VM itself is not reported.
 */
void upstream_withdraw(struct upstream *u)
{
	struct tr_instance *row = upstream_row(u);

	if (!row || !u->active || !u->connected || u->peer)
		return;
	u->settled = u->stage;
	withdraw(u, row);
}
