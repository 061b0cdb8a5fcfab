/* What targets say of themselves in their answers, as this VM takes it in. */
#include "notices.h"

#include "eventlog.h"

/* Lines a second, in the mean, of notices that can't be read. */
#define REFUSAL_LINES_A_S 0.2

static void log_unreadable(struct entry *e, const struct tr_instance *row,
			   const char *field, const char *expected)
{
	apr_time_t now = entry_now(e);

	e->counts.notices_refused++;
	if (!tr_pacer_has(&e->notice_lines, REFUSAL_LINES_A_S, now))
		return;
	tr_pacer_spend(&e->notice_lines, 1);
	eventlog(EVENT_FAILURE, "notice-refused",
		 "id=%s field=%s expected=\"%s\" refused=%" G_GUINT64_FORMAT,
		 row->id, field, expected, (guint64)e->counts.notices_refused);
}

static void take_limit(struct tr_instance *row, const struct tr_notice *notice)
{
	double limit = notice->limit_is == TR_NOTICE_GIVEN ? notice->limit : -1;

	if (limit == row->limit)
		return;
	eventlog(EVENT_BELIEF, "target-limit", "id=%s limit=%g was=%g", row->id,
		 limit, row->limit);
	row->limit = limit;
}

static void take_leaving(struct tr_instance *row)
{
	if (row->says_leaving)
		return;
	row->says_leaving = true;
	eventlog(EVENT_BELIEF, "target-leaving", "id=%s", row->id);
}

/* A line where a rest begins, not where it is named once more. */
static void take_rest(struct tr_instance *row, apr_time_t rest, apr_time_t now)
{
	if (row->rests_until <= now)
		eventlog(EVENT_BELIEF, "target-rests", "id=%s rest_ms=%ld",
			 row->id, (long)(rest / 1000));
	if (row->rests_until < now + rest)
		row->rests_until = now + rest;
}

/*
 * Take in what the target in the row says in an answer's head. hash tells its
 * start: another one, which has the row by now, has said nothing.
 */
void notices_heard(struct entry *e, uint32_t at, uint32_t hash,
		   const struct message *answer)
{
	struct tr_instance *row = &e->roster.rows[at];
	struct tr_notice notice;

	if (!row->used || row->hash != hash)
		return;
	e->dialect->read_notice(answer, &notice);
	if (notice.limit_is == TR_NOTICE_UNREADABLE)
		log_unreadable(e, row, "limit", "requests a second");
	else
		take_limit(row, &notice);
	if (notice.leaving)
		take_leaving(row);
	if (notice.rest_is == TR_NOTICE_UNREADABLE)
		log_unreadable(e, row, "rest", "seconds");
	else if (notice.rest_is == TR_NOTICE_GIVEN)
		take_rest(row, notice.rest, entry_now(e));
}
