/*
 * Requests that crash the targets that run them (a query of death; Beyer et
 * al., Site Reliability Engineering, 2016, on cascading failures).
 *
 * What goes wrong: such a request comes again under a new id, at any VM; each
 * VM takes it for a new one and sends it on, and a whole service is gone within
 * a second, with all that its targets had in flight. One would notice by
 * targets that end one after the other, each with the same identity among what
 * broke off.
 *
 * Why this prevents it: a target that ended while it ran a request is evidence,
 * which all VMs add up; an answer, at any VM, voids it. From three targets on
 * the request is refused everywhere, and let through again after a while, each
 * time later, in case the targets were repaired.
 */
#include "fatal.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"

/* Targets that ended under a request until it is refused. */
#define ENDS_FATAL 3
/*
 * From so many targets on it is a suspect, of which one is sent at a time, as a
 * canary (Dean and Barroso, The Tail at Scale, 2013), and none is sent to a
 * second target for the same caller. The others wait for its answer, for so
 * long at most: where it waits for a slot, several would else be under way and
 * each take a target more.
 */
#define ENDS_SUSPECT 2
#define TRIAL_MOST   TR_SEC(1)
/* How long a request is refused until it is tried again, doubled after each
 * try up to the most, and the part of it by which VMs differ, so that one of
 * them tries and not all. */
#define TRY_FIRST  TR_SEC(60)
#define TRY_MOST   TR_SEC(1800)
#define TRY_SPREAD 0.25
/* How long evidence is kept, how long a refusal nobody tested, and how long an
 * answer that voids what others may still tell. */
#define EVIDENCE_KEPT TR_SEC(600)
#define REFUSAL_KEPT  TR_SEC(7200)
#define ANSWER_KEPT   TR_SEC(30)
/* How long news are told again, in case messages were lost. */
#define TOLD_FOR TR_SEC(10)
/* An answer or a trial that another VM tells is new when it is later by more
 * than times are late. */
#define LATER_GAP TR_MSEC(200)

/* Rows at first, doubled as they are needed. */
#define ROOM_FIRST 16

void tr_fatal_release(struct tr_fatals *fatals)
{
	free(fatals->rows);
	memset(fatals, 0, sizeof(*fatals));
}

/* What is known of the request; NULL when no target ended under it. */
const struct tr_fatal *tr_fatal_find(const struct tr_fatals *fatals,
				     uint64_t identity)
{
	for (unsigned i = 0; i < fatals->count; i++)
		if (fatals->rows[i].identity == identity)
			return &fatals->rows[i];
	return NULL;
}

/* The same, to be changed. */
static struct tr_fatal *find(struct tr_fatals *fatals, uint64_t identity)
{
	return (struct tr_fatal *)tr_fatal_find(fatals, identity);
}

static apr_time_t later(apr_time_t a, apr_time_t b)
{
	return a > b ? a : b;
}

static apr_time_t last_news(const struct tr_fatal *row)
{
	apr_time_t at = later(row->answered_at, row->tried_at);

	for (unsigned i = 0; i < row->ends_count; i++)
		at = later(at, row->ends[i].ended);
	return at;
}

/* Is it less of a loss to forget a than b? What is refused goes last, so that a
 * flood of requests with ever new bodies can't push it out. */
static bool is_lesser(const struct tr_fatal *a, const struct tr_fatal *b)
{
	if (!a->refused_since != !b->refused_since)
		return !a->refused_since;
	if (a->refused_since)
		return a->asked_at < b->asked_at;
	if (a->ends_count != b->ends_count)
		return a->ends_count < b->ends_count;
	return last_news(a) < last_news(b);
}

static struct tr_fatal *least(struct tr_fatals *fatals)
{
	struct tr_fatal *row = fatals->rows;

	for (unsigned i = 1; i < fatals->count; i++)
		if (is_lesser(&fatals->rows[i], row))
			row = &fatals->rows[i];
	return row;
}

static struct tr_fatal *new_row(struct tr_fatals *fatals)
{
	if (fatals->count == TR_FATAL_ROWS_MAX)
		return least(fatals);
	if (fatals->count == fatals->room) {
		fatals->room = fatals->room ? fatals->room * 2 : ROOM_FIRST;
		fatals->rows = realloc(fatals->rows,
				       fatals->room * sizeof(*fatals->rows));
		if (!fatals->rows)
			abort();
	}
	return &fatals->rows[fatals->count++];
}

static struct tr_fatal *find_or_make(struct tr_fatals *fatals,
				     uint64_t identity)
{
	struct tr_fatal *row = find(fatals, identity);

	if (row)
		return row;
	row = new_row(fatals);
	memset(row, 0, sizeof(*row));
	row->identity = identity;
	return row;
}

static bool has_end(const struct tr_fatal *row, uint32_t target)
{
	for (unsigned i = 0; i < row->ends_count; i++)
		if (row->ends[i].target == target)
			return true;
	return false;
}

/* Did the target end under another request that is refused for such ends? Then
 * this one only stood beside it. */
static bool is_explained(const struct tr_fatals *fatals,
			 const struct tr_fatal *row, uint32_t target)
{
	for (unsigned i = 0; i < fatals->count; i++) {
		const struct tr_fatal *other = &fatals->rows[i];

		if (other != row && other->refused_since &&
		    has_end(other, target))
			return true;
	}
	return false;
}

/* Ends are kept in the order of their times. */
static void add_end(struct tr_fatal *row, const struct tr_fatal_end *end)
{
	unsigned at;

	if (has_end(row, end->target) || end->ended <= row->answered_at)
		return;
	/* The last gives way: while none was sent after another's end was
	 * known, a later one tells more. */
	if (row->ends_count == TR_FATAL_ENDS_MAX)
		row->ends_count--;
	for (at = row->ends_count; at && row->ends[at - 1].ended > end->ended;
	     at--)
		row->ends[at] = row->ends[at - 1];
	row->ends[at] = *end;
	row->ends_count++;
}

/* Targets that ended under the request, and not under another one. */
static unsigned count_ends(const struct tr_fatals *fatals,
			   const struct tr_fatal *row)
{
	unsigned n = 0;

	for (unsigned i = 0; i < row->ends_count; i++)
		n += !is_explained(fatals, row, row->ends[i].target);
	return n;
}

/*
 * Targets that end at the same moment, as those of a data centre that loses its
 * power do, end under many requests that did them no harm, and under the same
 * one several times over where many callers ask for it. So one of the ends must
 * be of a run that was sent when another was known already.
 */
static bool is_fatal(const struct tr_fatals *fatals, const struct tr_fatal *row)
{
	bool again = false;

	for (unsigned i = 0; i < row->ends_count; i++)
		again |= row->ends[i].known > 0 &&
			 !is_explained(fatals, row, row->ends[i].target);
	return again && count_ends(fatals, row) >= ENDS_FATAL;
}

static void set_try(struct tr_fatal *row, struct tr_random *random)
{
	apr_time_t gap = TRY_FIRST;

	for (unsigned i = 0; i < row->tries && gap < TRY_MOST; i++)
		gap *= 2;
	if (gap > TRY_MOST)
		gap = TRY_MOST;
	gap += (apr_time_t)(TRY_SPREAD * (double)gap * tr_random_unit(random));
	row->try_at = later(row->refused_since, row->tried_at) + gap;
}

static enum tr_fatal_change refuse(struct tr_fatal *row, apr_time_t since,
				   struct tr_random *random, apr_time_t now)
{
	row->refused_since = since;
	row->asked_at = now;
	set_try(row, random);
	return TR_FATAL_REFUSED;
}

static enum tr_fatal_change judge(const struct tr_fatals *fatals,
				  struct tr_fatal *row,
				  struct tr_random *random, apr_time_t now)
{
	if (row->refused_since || !is_fatal(fatals, row))
		return TR_FATAL_SAME;
	return refuse(row, row->ends[row->ends_count - 1].ended, random, now);
}

/* The request was answered, so it need not end a target: drop what is older. */
static enum tr_fatal_change clear(struct tr_fatal *row, apr_time_t answered_at)
{
	bool was_refused = row->refused_since != 0;
	unsigned kept = 0;

	row->answered_at = answered_at;
	for (unsigned i = 0; i < row->ends_count; i++)
		if (row->ends[i].ended > answered_at)
			row->ends[kept++] = row->ends[i];
	row->ends_count = kept;
	row->refused_since = 0;
	row->tries = 0;
	row->tried_at = 0;
	row->trial_at = 0;
	return was_refused ? TR_FATAL_SERVED : TR_FATAL_SAME;
}

static enum tr_fatal_verdict admit_suspect(struct tr_fatal *row, apr_time_t now)
{
	if (row->trial_at && now < row->trial_at + TRIAL_MOST)
		return TR_FATAL_WAIT;
	row->trial_at = now;
	row->changed = true;
	return TR_FATAL_TRY;
}

/*
 * May the request be sent to a target? TR_FATAL_TRY: yes, as the fleet's only
 * one for some time, of which the other VMs are to be told at once.
 * TR_FATAL_WAIT: not while another one runs; ask again soon.
 */
enum tr_fatal_verdict tr_fatal_admit(struct tr_fatals *fatals,
				     uint64_t identity,
				     struct tr_random *random, apr_time_t now)
{
	struct tr_fatal *row = find(fatals, identity);

	if (!row)
		return TR_FATAL_PASS;
	if (!row->refused_since)
		return count_ends(fatals, row) < ENDS_SUSPECT
			       ? TR_FATAL_PASS
			       : admit_suspect(row, now);
	row->asked_at = now;
	if (now < row->try_at)
		return TR_FATAL_REFUSE;
	row->tries++;
	row->tried_at = now;
	row->changed = true;
	set_try(row, random);
	return TR_FATAL_TRY;
}

/* How many targets are known to have ended under the request. */
unsigned tr_fatal_count_ends(const struct tr_fatals *fatals, uint64_t identity)
{
	const struct tr_fatal *row = tr_fatal_find(fatals, identity);

	return row ? count_ends(fatals, row) : 0;
}

/* May the request be sent to one more target for the same caller? */
bool tr_fatal_may_repeat(const struct tr_fatals *fatals, uint64_t identity)
{
	return tr_fatal_count_ends(fatals, identity) < ENDS_SUSPECT;
}

/* When a caller that is refused may come back, in us from now. */
apr_time_t tr_fatal_retry_after(const struct tr_fatals *fatals,
				uint64_t identity, apr_time_t now)
{
	const struct tr_fatal *row = tr_fatal_find(fatals, identity);

	return row && row->try_at > now ? row->try_at - now : 0;
}

/* A target of this VM's ended while it ran the request. */
enum tr_fatal_change tr_fatal_ended(struct tr_fatals *fatals, uint64_t identity,
				    const struct tr_fatal_end *end,
				    struct tr_random *random, apr_time_t now)
{
	struct tr_fatal *row = find_or_make(fatals, identity);

	add_end(row, end);
	row->changed = true;
	return judge(fatals, row, random, now);
}

/* A target answered the request to this VM. */
enum tr_fatal_change tr_fatal_answered(struct tr_fatals *fatals,
				       uint64_t identity, apr_time_t now)
{
	struct tr_fatal *row = find(fatals, identity);

	if (!row || !row->ends_count)
		return TR_FATAL_SAME;
	row->changed = true;
	return clear(row, now);
}

/* Is it too old to be of use to any VM? */
static bool is_over(const struct tr_fatal *row, apr_time_t now)
{
	apr_time_t kept = row->ends_count ? EVIDENCE_KEPT : ANSWER_KEPT;

	if (row->refused_since)
		kept = REFUSAL_KEPT;
	return now - last_news(row) > kept;
}

/* Another VM has told what it knows, in this VM's time. */
enum tr_fatal_change tr_fatal_reported(struct tr_fatals *fatals,
				       const struct tr_fatal *reported,
				       struct tr_random *random, apr_time_t now)
{
	enum tr_fatal_change change = TR_FATAL_SAME;
	struct tr_fatal *row = find(fatals, reported->identity);

	if (!reported->identity || (!row && !reported->ends_count))
		return TR_FATAL_SAME;
	if (!row)
		row = find_or_make(fatals, reported->identity);
	if (reported->answered_at > row->answered_at + LATER_GAP)
		change = clear(row, reported->answered_at);
	if (reported->trial_at > row->trial_at + LATER_GAP)
		row->trial_at = reported->trial_at;
	for (unsigned i = 0; i < reported->ends_count; i++)
		add_end(row, &reported->ends[i]);
	/* It may know of targets that this VM never heard of. */
	if (!row->refused_since && reported->refused_since > row->answered_at)
		change = refuse(row, reported->refused_since, random, now);
	else if (judge(fatals, row, random, now) == TR_FATAL_REFUSED)
		change = TR_FATAL_REFUSED;
	if (row->refused_since && reported->tries > row->tries) {
		row->tries = reported->tries;
		row->tried_at = reported->tried_at;
		set_try(row, random);
	}
	return change;
}

static void forget_old(struct tr_fatals *fatals, apr_time_t now)
{
	for (unsigned i = 0; i < fatals->count;) {
		if (is_over(&fatals->rows[i], now))
			fatals->rows[i] = fatals->rows[--fatals->count];
		else
			i++;
	}
}

/*
 * News for the other VMs, which are then no news any more. Rows that nobody
 * needs any more are forgotten here. How many rows were written to told, which
 * has room for most.
 */
unsigned tr_fatal_collect_changed(struct tr_fatals *fatals,
				  struct tr_fatal *reported, unsigned most,
				  apr_time_t now)
{
	unsigned n = 0;

	forget_old(fatals, now);
	for (unsigned i = 0; i < fatals->count && n < most; i++) {
		struct tr_fatal *row = &fatals->rows[i];

		if (!row->changed)
			continue;
		row->changed = false;
		reported[n++] = *row;
	}
	return n;
}

/* What is refused or was news not long ago, in turn, since messages get lost
 * and VMs start. How many rows were written to told. */
unsigned tr_fatal_collect_recent(struct tr_fatals *fatals,
				 struct tr_fatal *reported, unsigned most,
				 apr_time_t now)
{
	unsigned n = 0;

	for (unsigned i = 0; i < fatals->count && n < most; i++) {
		const struct tr_fatal *row =
			&fatals->rows[fatals->next_reported++ % fatals->count];

		if (row->refused_since || now - last_news(row) < TOLD_FOR)
			reported[n++] = *row;
	}
	return n;
}
