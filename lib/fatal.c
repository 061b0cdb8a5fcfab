/*
 * Requests that crash the targets that run them (queries of death; Beyer et
 * al., Site Reliability Engineering, 2016, on cascading failures).
 *
 * Failure that this prevents: such a request is sent again under a new id, to
 * any VM. Each VM treats it as a new request and forwards it, and within a
 * second all targets of the service have crashed, with everything they had in
 * flight. The symptom is targets that end one after the other, each with the
 * same request identity among the broken requests.
 *
 * Each target that ends while it runs a request is evidence, which VMs report
 * to each other; an answer, at any VM, voids earlier evidence. From three
 * targets on the request is refused everywhere. It is tried again after a time
 * that grows with each try, in case the targets were repaired.
 */
#include "fatal.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"

/* Targets that must end under a request before it is refused. */
#define ENDS_FATAL 3
/*
 * From this many targets on the request is a suspect: one is sent at a time, as
 * a canary (Dean and Barroso, The Tail at Scale, 2013), and none is sent to a
 * second target for the same caller. Others wait for the canary's answer, at
 * most for this long: as the canary may wait for a slot itself, several would
 * otherwise be in flight, each of which could crash another target.
 */
#define ENDS_SUSPECT  2
#define TRIAL_TIMEOUT TR_SEC(1)
/*
 * How long a request is refused before it is tried again; doubled after each
 * try, up to the maximum. The jitter makes VMs differ, so that only one of them
 * tries.
 */
#define TRY_BACKOFF_MIN	   TR_SEC(60)
#define TRY_BACKOFF_MAX	   TR_SEC(1800)
#define TRY_BACKOFF_JITTER 0.25
/*
 * How long evidence is kept; a refusal that was not tested again; and an
 * answer, which voids older evidence that other VMs may still report.
 */
#define EVIDENCE_TTL TR_SEC(600)
#define REFUSAL_TTL  TR_SEC(7200)
#define ANSWER_TTL   TR_SEC(30)
/* How long changes are reported again, in case messages were lost. */
#define REPORT_FOR TR_SEC(10)
/*
 * Times reported by other VMs are inexact by up to this much: an answer or a
 * canary is new only if it is later by more.
 */
#define CLOCK_TOLERANCE TR_MSEC(200)

/* Initial number of rows, doubled as needed. */
#define INITIAL_CAPACITY 16

void tr_fatal_release(struct tr_fatals *fatals)
{
	free(fatals->rows);
	memset(fatals, 0, sizeof(*fatals));
}

/* Returns what is known of the request, or NULL if no target ended under it. */
const struct tr_fatal *tr_fatal_find(const struct tr_fatals *fatals,
				     uint64_t identity)
{
	for (unsigned i = 0; i < fatals->count; i++)
		if (fatals->rows[i].identity == identity)
			return &fatals->rows[i];
	return NULL;
}

/* The same, for modification. */
static struct tr_fatal *find(struct tr_fatals *fatals, uint64_t identity)
{
	return (struct tr_fatal *)tr_fatal_find(fatals, identity);
}

static apr_time_t max_time(apr_time_t a, apr_time_t b)
{
	return a > b ? a : b;
}

static apr_time_t last_change(const struct tr_fatal *row)
{
	apr_time_t at = max_time(row->answered_at, row->tried_at);

	for (unsigned i = 0; i < row->ends_count; i++)
		at = max_time(at, row->ends[i].ended);
	return at;
}

/*
 * Whether row a should be evicted before row b. Refused requests are evicted
 * last, so that a flood of requests with ever new bodies cannot push them out.
 */
static bool evict_first(const struct tr_fatal *a, const struct tr_fatal *b)
{
	if (!a->refused_since != !b->refused_since)
		return !a->refused_since;
	if (a->refused_since)
		return a->last_requested_at < b->last_requested_at;
	if (a->ends_count != b->ends_count)
		return a->ends_count < b->ends_count;
	return last_change(a) < last_change(b);
}

static struct tr_fatal *eviction_candidate(struct tr_fatals *fatals)
{
	struct tr_fatal *row = fatals->rows;

	for (unsigned i = 1; i < fatals->count; i++)
		if (evict_first(&fatals->rows[i], row))
			row = &fatals->rows[i];
	return row;
}

static struct tr_fatal *new_row(struct tr_fatals *fatals)
{
	if (fatals->count == TR_FATAL_ROWS_MAX)
		return eviction_candidate(fatals);
	if (fatals->count == fatals->capacity) {
		fatals->capacity = fatals->capacity ? fatals->capacity * 2
						    : INITIAL_CAPACITY;
		fatals->rows = realloc(
			fatals->rows, fatals->capacity * sizeof(*fatals->rows));
		if (!fatals->rows)
			abort();
	}
	return &fatals->rows[fatals->count++];
}

static struct tr_fatal *find_or_add(struct tr_fatals *fatals, uint64_t identity)
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

/*
 * Whether the target also ended under another request that is refused because
 * of it. This request then just happened to run there.
 */
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

/* Adds an end. Ends are kept sorted by time. */
static void add_end(struct tr_fatal *row, const struct tr_fatal_end *end)
{
	unsigned at;

	if (has_end(row, end->target) || end->ended <= row->answered_at)
		return;
	/*
	 * Drop the latest stored end. As long as no end belongs to a request
	 * that was sent after another end was known, a newer one is stronger
	 * evidence.
	 */
	if (row->ends_count == TR_FATAL_ENDS_MAX)
		row->ends_count--;
	for (at = row->ends_count; at && row->ends[at - 1].ended > end->ended;
	     at--)
		row->ends[at] = row->ends[at - 1];
	row->ends[at] = *end;
	row->ends_count++;
}

/* Counts targets that ended under this request and no refused one. */
static unsigned count_ends(const struct tr_fatals *fatals,
			   const struct tr_fatal *row)
{
	unsigned n = 0;

	for (unsigned i = 0; i < row->ends_count; i++)
		n += !is_explained(fatals, row, row->ends[i].target);
	return n;
}

/*
 * Whether the request is to be refused. Targets that end at the same moment,
 * for example when a data centre loses power, end under many harmless requests,
 * and several of them under the same request if many callers send it. So at
 * least one end must belong to an attempt that was sent when another end was
 * already known.
 */
static bool is_fatal(const struct tr_fatals *fatals, const struct tr_fatal *row)
{
	bool sequential = false;

	for (unsigned i = 0; i < row->ends_count; i++)
		sequential |= row->ends[i].known > 0 &&
			      !is_explained(fatals, row, row->ends[i].target);
	return sequential && count_ends(fatals, row) >= ENDS_FATAL;
}

static void schedule_next_try(struct tr_fatal *row, struct tr_random *random)
{
	apr_time_t backoff = TRY_BACKOFF_MIN;

	for (unsigned i = 0; i < row->tries && backoff < TRY_BACKOFF_MAX; i++)
		backoff *= 2;
	if (backoff > TRY_BACKOFF_MAX)
		backoff = TRY_BACKOFF_MAX;
	backoff += (apr_time_t)(TRY_BACKOFF_JITTER * (double)backoff *
				tr_random_unit(random));
	row->next_try_at =
		max_time(row->refused_since, row->tried_at) + backoff;
}

static enum tr_fatal_change refuse(struct tr_fatal *row, apr_time_t since,
				   struct tr_random *random, apr_time_t now)
{
	row->refused_since = since;
	row->last_requested_at = now;
	schedule_next_try(row, random);
	return TR_FATAL_REFUSED;
}

static enum tr_fatal_change update_verdict(const struct tr_fatals *fatals,
					   struct tr_fatal *row,
					   struct tr_random *random,
					   apr_time_t now)
{
	if (row->refused_since || !is_fatal(fatals, row))
		return TR_FATAL_SAME;
	return refuse(row, row->ends[row->ends_count - 1].ended, random, now);
}

/*
 * The request was answered, so it does not always crash its target: drops the
 * evidence older than the answer.
 */
static enum tr_fatal_change clear_evidence(struct tr_fatal *row,
					   apr_time_t answered_at)
{
	bool was_refused = row->refused_since != 0;
	unsigned remaining = 0;

	row->answered_at = answered_at;
	for (unsigned i = 0; i < row->ends_count; i++)
		if (row->ends[i].ended > answered_at)
			row->ends[remaining++] = row->ends[i];
	row->ends_count = remaining;
	row->refused_since = 0;
	row->tries = 0;
	row->tried_at = 0;
	row->trial_at = 0;
	return was_refused ? TR_FATAL_SERVED : TR_FATAL_SAME;
}

static enum tr_fatal_verdict admit_suspect(struct tr_fatal *row, apr_time_t now)
{
	if (row->trial_at && now < row->trial_at + TRIAL_TIMEOUT)
		return TR_FATAL_WAIT;
	row->trial_at = now;
	row->changed = true;
	return TR_FATAL_TRY;
}

/*
 * Decides whether the request may be sent to a target. TR_FATAL_TRY: yes, as
 * the only one in the fleet for some time; the other VMs must be notified at
 * once. TR_FATAL_WAIT: not while another one is running; ask again soon.
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
	row->last_requested_at = now;
	if (now < row->next_try_at)
		return TR_FATAL_REFUSE;
	row->tries++;
	row->tried_at = now;
	row->changed = true;
	schedule_next_try(row, random);
	return TR_FATAL_TRY;
}

/* Returns how many targets are known to have ended under the request. */
unsigned tr_fatal_count_ends(const struct tr_fatals *fatals, uint64_t identity)
{
	const struct tr_fatal *row = tr_fatal_find(fatals, identity);

	return row ? count_ends(fatals, row) : 0;
}

/* Whether the request may be sent to one more target for the same caller. */
bool tr_fatal_may_repeat(const struct tr_fatals *fatals, uint64_t identity)
{
	return tr_fatal_count_ends(fatals, identity) < ENDS_SUSPECT;
}

/* Returns the Retry-After for a refused caller, in us. */
apr_time_t tr_fatal_retry_after(const struct tr_fatals *fatals,
				uint64_t identity, apr_time_t now)
{
	const struct tr_fatal *row = tr_fatal_find(fatals, identity);

	return row && row->next_try_at > now ? row->next_try_at - now : 0;
}

/* A target ended while it ran the request for this VM. */
enum tr_fatal_change tr_fatal_ended(struct tr_fatals *fatals, uint64_t identity,
				    const struct tr_fatal_end *end,
				    struct tr_random *random, apr_time_t now)
{
	struct tr_fatal *row = find_or_add(fatals, identity);

	add_end(row, end);
	row->changed = true;
	return update_verdict(fatals, row, random, now);
}

/* A target answered the request for this VM. */
enum tr_fatal_change tr_fatal_answered(struct tr_fatals *fatals,
				       uint64_t identity, apr_time_t now)
{
	struct tr_fatal *row = find(fatals, identity);

	if (!row || !row->ends_count)
		return TR_FATAL_SAME;
	row->changed = true;
	return clear_evidence(row, now);
}

/* Whether the row is too old to be of use to any VM. */
static bool is_expired(const struct tr_fatal *row, apr_time_t now)
{
	apr_time_t ttl = row->ends_count ? EVIDENCE_TTL : ANSWER_TTL;

	if (row->refused_since)
		ttl = REFUSAL_TTL;
	return now - last_change(row) > ttl;
}

/* Takes in another VM's row, with times converted to this VM's clock. */
enum tr_fatal_change tr_fatal_reported(struct tr_fatals *fatals,
				       const struct tr_fatal *reported,
				       struct tr_random *random, apr_time_t now)
{
	enum tr_fatal_change change = TR_FATAL_SAME;
	struct tr_fatal *row = find(fatals, reported->identity);

	if (!reported->identity || (!row && !reported->ends_count))
		return TR_FATAL_SAME;
	if (!row)
		row = find_or_add(fatals, reported->identity);
	if (reported->answered_at > row->answered_at + CLOCK_TOLERANCE)
		change = clear_evidence(row, reported->answered_at);
	if (reported->trial_at > row->trial_at + CLOCK_TOLERANCE)
		row->trial_at = reported->trial_at;
	for (unsigned i = 0; i < reported->ends_count; i++)
		add_end(row, &reported->ends[i]);
	/* The other VM may know of ends that this VM never received. */
	if (!row->refused_since && reported->refused_since > row->answered_at)
		change = refuse(row, reported->refused_since, random, now);
	else if (update_verdict(fatals, row, random, now) == TR_FATAL_REFUSED)
		change = TR_FATAL_REFUSED;
	if (row->refused_since && reported->tries > row->tries) {
		row->tries = reported->tries;
		row->tried_at = reported->tried_at;
		schedule_next_try(row, random);
	}
	return change;
}

static void remove_expired(struct tr_fatals *fatals, apr_time_t now)
{
	for (unsigned i = 0; i < fatals->count;) {
		if (is_expired(&fatals->rows[i], now))
			fatals->rows[i] = fatals->rows[--fatals->count];
		else
			i++;
	}
}

/*
 * Removes expired rows and copies changed rows to reported, up to max_rows, for
 * a message to the other VMs. The rows then count as unchanged. Returns the
 * number of rows copied.
 */
unsigned tr_fatal_collect_changed(struct tr_fatals *fatals,
				  struct tr_fatal *reported, unsigned max_rows,
				  apr_time_t now)
{
	unsigned n = 0;

	remove_expired(fatals, now);
	for (unsigned i = 0; i < fatals->count && n < max_rows; i++) {
		struct tr_fatal *row = &fatals->rows[i];

		if (!row->changed)
			continue;
		row->changed = false;
		reported[n++] = *row;
	}
	return n;
}

/*
 * Copies rows that are refused or changed recently, in rotation, because
 * messages get lost and VMs start. Returns the number of rows copied.
 */
unsigned tr_fatal_collect_recent(struct tr_fatals *fatals,
				 struct tr_fatal *reported, unsigned max_rows,
				 apr_time_t now)
{
	unsigned n = 0;

	for (unsigned i = 0; i < fatals->count && n < max_rows; i++) {
		const struct tr_fatal *row =
			&fatals->rows[fatals->next_reported++ % fatals->count];

		if (row->refused_since || now - last_change(row) < REPORT_FOR)
			reported[n++] = *row;
	}
	return n;
}
