/* Handles what targets announce about themselves in their responses: rate
 * limits, that they are leaving, and times to back off. */
#include "notices.h"

#include "eventlog.h"
#include "mesh.h"

/* Log lines a second, on average, about unreadable announcements. */
#define REFUSAL_LINES_PER_S 0.2
/* Longer back-off times are clamped to this one: nothing else ends a back-off
 * that a target asked for by mistake. */
#define BACKOFF_MAX TR_SEC(600)

static void log_refused_notice(struct entry *e, const struct tr_instance *row,
			       const char *field, const char *expected)
{
	apr_time_t now = entry_now(e);

	e->counts.notices_refused++;
	if (!tr_pacer_allows(&e->notice_log_limiter, REFUSAL_LINES_PER_S, now))
		return;
	tr_pacer_consume(&e->notice_log_limiter, 1);
	eventlog(EVENT_FAILURE, "notice-refused",
		 "id=%s field=%s expected=\"%s\" refused=%" G_GUINT64_FORMAT,
		 row->id, field, expected, (guint64)e->counts.notices_refused);
}

/* Logs that a target's limit began, changed or ended. */
void notices_log_limit(const struct tr_instance *row,
		       const struct tr_send_limit *limit,
		       enum tr_send_limit_change change, const char *from)
{
	static const char *const words[] = {
		[TR_SEND_LIMIT_BEGAN] = "began",
		[TR_SEND_LIMIT_CHANGED] = "changed",
		[TR_SEND_LIMIT_ENDED] = "ended",
	};

	if (change != TR_SEND_LIMIT_SAME)
		eventlog(EVENT_STATE, "target-limit",
			 "id=%s state=%s limit=%g from=%s", row->id,
			 words[change], limit->rate, from);
}

/*
 * The response names a limit, or it is a success without one, which ends the
 * limit; an error response without a limit means nothing. A limit that begins
 * or ends is broadcast at once, since other VMs keep sending until they know.
 */
static void apply_limit(struct entry *e, struct tr_instance *row,
			const struct tr_notice *notice, int status)
{
	struct tr_send_limits *limits = &e->roster.limits;
	enum tr_send_limit_change change;
	apr_time_t now = entry_now(e);
	struct tr_send_limit *l;
	uint32_t place;

	if (notice->limit_state == TR_NOTICE_GIVEN) {
		place = tr_roster_limit_index(&e->roster, row);
		change = tr_send_limit_set(limits, place, notice->limit, now,
					   now);
	} else if (row->limit != TR_NO_ROW && status < 300) {
		place = row->limit;
		change = tr_send_limit_absent(limits, place, now);
	} else {
		return;
	}
	l = &limits->rows[place];
	l->changed |= change != TR_SEND_LIMIT_SAME;
	notices_log_limit(row, l, change, "answer");
	if (change == TR_SEND_LIMIT_BEGAN || change == TR_SEND_LIMIT_ENDED)
		mesh_broadcast_limit(e->mesh, place);
}

/* Records that the target has announced that it is leaving, to this VM or
 * another. Returns true if that was not known here. */
bool notices_mark_leaving(struct entry *e, struct tr_instance *row,
			  const char *from)
{
	if (!tr_roster_mark_leaving(&e->roster, row))
		return false;
	eventlog(EVENT_STATE, "target-leaving", "id=%s from=%s", row->id, from);
	return true;
}

/*
 * Sends the target nothing for a while. It has asked only this VM for that, so
 * the other VMs continue. Logged when a back-off begins, not when it is
 * extended.
 */
static void apply_backoff(struct tr_instance *row, apr_time_t backoff,
			  apr_time_t now)
{
	if (backoff > BACKOFF_MAX)
		backoff = BACKOFF_MAX;
	if (row->backoff_until <= now)
		eventlog(EVENT_STATE, "target-rests", "id=%s rest_ms=%ld",
			 row->id, (long)(backoff / 1000));
	if (row->backoff_until < now + backoff)
		row->backoff_until = now + backoff;
}

/*
 * Handles the announcements in a response's headers. hash identifies the target
 * that sent it: a target that has since taken over the row has announced
 * nothing.
 */
void notices_handle(struct entry *e, uint32_t at, uint32_t hash,
		    const struct message *answer)
{
	struct tr_instance *row = &e->roster.rows[at];
	struct tr_notice notice;

	if (!row->used || row->hash != hash)
		return;
	e->dialect->parse_notice(answer, &notice);
	if (notice.limit_state == TR_NOTICE_INVALID)
		log_refused_notice(e, row, "limit", "requests a second");
	else
		apply_limit(e, row, &notice, answer->parser.status_code);
	if (notice.leaving && notices_mark_leaving(e, row, "answer"))
		mesh_broadcast_leaving(e->mesh, row->hash);
	if (notice.backoff_state == TR_NOTICE_INVALID)
		log_refused_notice(e, row, "rest", "seconds");
	else if (notice.backoff_state == TR_NOTICE_GIVEN)
		apply_backoff(row, notice.backoff, entry_now(e));
}
