#include "service.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "member.h"
#include "permit.h"

#define SLOW_TIMES	 4
#define SLOW_QUANTILE	 0.8
#define SLOW_LEAST	 TR_MSEC(30)
#define SLOW_LEAST_COUNT 30.0f
#define SLOW_SHARE	 2
#define EVIDENCE_DIFFERS 2.0
#define USUAL_QUANTILE	 0.5
#define FULL_HOME	 TR_MSEC(1)
#define FULL_LEAST	 TR_MSEC(2)
#define REPORT_FRESH	 TR_MSEC(100)
#define UNREACHED_FOR	 TR_SEC(1)
#define RAISED_FOR	 TR_SEC(2)
#define RAISED_SHARE	 0.25

/* Free what a document or row owns; the row can be used anew. */
void tr_service_release(struct tr_service *svc)
{
	tr_queue_release(&svc->queue);
	svc->used = false;
}

static struct tr_target *free_row(struct tr_service *svc)
{
	if (svc->targets_count < TR_MAX_TARGETS)
		return &svc->targets[svc->targets_count++];
	for (unsigned i = 0; i < svc->targets_count; i++)
		if (!svc->targets[i].listed && !svc->targets[i].in_flight)
			return &svc->targets[i];
	return NULL;
}

static void begin_leaving(struct tr_board *board, struct tr_service *svc,
			  struct tr_target *target, const char *source)
{
	if (target->leaving)
		return;
	target->leaving = true;
	target->leaving_since = tr_clock_now(&board->clock);
	tr_board_event(board, TR_EVENT_LEAVING, svc->name, target->name,
		       "first word from %s", source);
	tr_floor_enforce(board, svc, target->leaving_since);
}

static void take_entry(struct tr_board *board, struct tr_service *svc,
		       const struct tr_target_entry *entry, bool first,
		       const bool *was_listed)
{
	uint32_t id = (uint32_t)tr_hash_string(entry->name);
	struct tr_target *target = tr_service_target(svc, id);
	apr_time_t now = tr_clock_now(&board->clock);
	bool returned = target && !was_listed[target - svc->targets];

	if (!target) {
		target = free_row(svc);
		if (!target)
			return;
		memset(target, 0, sizeof(*target));
		target->id = id;
		target->probe_interval = TR_SEC(1);
		snprintf(target->name, sizeof(target->name), "%s", entry->name);
		returned = true;
	}
	if (returned && !first && !entry->leaving)
		target->cold_until =
			now + TR_SEC(svc->document ? svc->document->cold_s : 1);
	target->listed = true;
	target->vantage =
		svc->document
			? tr_document_vantage(svc->document, entry->data_centre)
			: -1;
	snprintf(target->address, sizeof(target->address), "%s",
		 entry->address);
	if (entry->leaving)
		begin_leaving(board, svc, target, "the published list");
	else
		target->leaving = false;
}

/* Put the published targets in force. Rows that are no longer listed stay
 * while requests are in flight on them, but get no new work. */
void tr_service_set_targets(struct tr_board *board, struct tr_service *svc,
			    const struct tr_target_entry *entries,
			    unsigned count, uint64_t revision)
{
	bool first = !svc->targets_revision;
	bool was_listed[TR_MAX_TARGETS] = { false };

	if (revision <= svc->targets_revision)
		return;
	for (unsigned i = 0; i < svc->targets_count; i++) {
		was_listed[i] = svc->targets[i].listed;
		svc->targets[i].listed = false;
	}
	svc->targets_revision = revision;
	for (unsigned i = 0; i < count; i++)
		take_entry(board, svc, &entries[i], first, was_listed);
	tr_member_update_cell(board, svc);
	tr_floor_enforce(board, svc, tr_clock_now(&board->clock));
	tr_board_event(board, TR_EVENT_LIST, svc->name, "targets",
		       "revision %lu, %u targets", (unsigned long)revision,
		       count);
}

static void targets_of_document(struct tr_board *board, struct tr_service *svc,
				uint64_t revision)
{
	const struct tr_document *doc = svc->document;
	struct tr_target_entry entries[TR_MAX_TARGETS];

	for (unsigned i = 0; i < doc->targets_count; i++) {
		const struct tr_listed_target *from = &doc->targets[i];

		memset(&entries[i], 0, sizeof(entries[i]));
		snprintf(entries[i].name, sizeof(entries[i].name), "%s",
			 from->name);
		snprintf(entries[i].address, sizeof(entries[i].address), "%s",
			 from->address);
		snprintf(entries[i].data_centre, sizeof(entries[i].data_centre),
			 "%s", from->data_centre);
	}
	tr_service_set_targets(board, svc, entries, doc->targets_count,
			       revision);
}

/*
 * Put a checked document in force, unless a newer one is. The row takes over
 * doc; the caller frees the one it replaces.
 */
void tr_service_set_document(struct tr_board *board, struct tr_service *svc,
			     struct tr_document *doc, uint64_t revision)
{
	apr_time_t now = tr_clock_now(&board->clock);

	if (revision <= svc->document_revision)
		return;
	svc->document = doc;
	svc->document_revision = revision;
	svc->detector = tr_detector(doc->ejection.detector);
	tr_evidence_rules_init(&svc->rules, &doc->ejection,
			       svc->outcomes_per_day);
	if (svc->base_rate < svc->rules.least_base)
		svc->base_rate = svc->rules.least_base;
	if (!svc->queue.waiters)
		tr_queue_init(&svc->queue, doc->queue);
	if (doc->targets_count)
		targets_of_document(board, svc, revision);
	tr_member_update_cell(board, svc);
	tr_floor_enforce(board, svc, now);
	tr_board_event(board, TR_EVENT_DOCUMENT, svc->name, "document",
		       "revision %lu, floor %u", (unsigned long)revision,
		       doc->floor);
}

/* Does something go wrong with the target that is not dealt with yet? */
bool tr_target_is_suspect(const struct tr_service *svc,
			  const struct tr_target *target, apr_time_t now)
{
	double least = svc->rules.sick * RAISED_SHARE;

	if (target->order.kind != TR_ORDER_NONE ||
	    now - target->evidence.last_failure_at > RAISED_FOR)
		return false;
	if (target->evidence.cell_sum > least)
		return true;
	for (int v = 0; v < TR_MAX_VANTAGES; v++)
		if (target->evidence.here[v] > least)
			return true;
	return false;
}

static bool is_raised(const struct tr_service *svc, apr_time_t now)
{
	for (unsigned i = 0; i < svc->targets_count; i++)
		if (tr_target_is_suspect(svc, &svc->targets[i], now))
			return true;
	return false;
}

/* Run the controllers of one service; call every 20 to 100 ms. */
void tr_service_step(struct tr_board *board, struct tr_service *svc,
		     apr_time_t now)
{
	if (!svc->document)
		return;
	tr_member_step(board, svc, now);
	svc->detector->step(board, svc, now);
	tr_permit_step(board, svc, now);
	tr_floor_enforce(board, svc, now);
	svc->raised = is_raised(svc, now);
	if (svc->in_cell)
		svc->needed_until =
			now + TR_SEC(2 * (apr_time_t)svc->document->keep_s);
}

static bool was_tried(const struct tr_tried *tried, uint32_t id)
{
	for (unsigned i = 0; tried && i < tried->count; i++)
		if (tried->ids[i] == id)
			return true;
	return false;
}

static uint32_t load_of(const struct tr_target *target, apr_time_t now)
{
	if (now - target->reported_at < REPORT_FRESH &&
	    target->reported_load > target->in_flight)
		return target->reported_load;
	return target->in_flight;
}

static uint32_t slots_of(const struct tr_service *svc,
			 const struct tr_target *target, apr_time_t now)
{
	return target->cold_until > now ? 1 : svc->document->slots;
}

static bool is_usable(const struct tr_board *board,
		      const struct tr_service *svc,
		      const struct tr_target *target, apr_time_t now)
{
	return target->listed && !target->leaving &&
	       target->unreachable_until <= now &&
	       target->local.ejected_until <= now &&
	       !tr_permit_in_effect(board, svc, target, now);
}

/*
 * Of two that are avoided the better is the one with less against it: in noise
 * many are avoided for a while, and the dead one must be the last of them.
 * Of two free targets the better: one where this VM has slots of its own left,
 * then the less loaded. Slots are dealt out over the cell by rendezvous, so
 * that VMs fill different targets first and seldom collide on three slots. The
 * baselines, which stand for proxies that each act alone, go by load only.
 */
static bool better(const struct tr_service *svc, const struct tr_target *a,
		   const struct tr_target *b, apr_time_t now)
{
	bool home_a = a->in_flight < a->home_slots;
	bool home_b = b->in_flight < b->home_slots;
	double more = a->evidence.cell_sum - b->evidence.cell_sum;

	if (a->avoided && b->avoided && fabs(more) > EVIDENCE_DIFFERS)
		return more < 0;
	if (svc->detector->fleet && home_a != home_b)
		return home_a;
	return load_of(a, now) < load_of(b, now);
}

struct choice {
	struct tr_target *best;
	bool any;
};

static struct choice choose(struct tr_board *board, struct tr_service *svc,
			    bool avoided, const struct tr_tried *tried,
			    apr_time_t now)
{
	struct choice choice = { NULL, false };
	unsigned n = svc->targets_count;
	unsigned start = tr_random_below(&board->random, n);

	for (unsigned i = 0; i < n; i++) {
		struct tr_target *target = &svc->targets[(start + i) % n];

		if (target->avoided != avoided ||
		    !is_usable(board, svc, target, now) ||
		    was_tried(tried, target->id))
			continue;
		choice.any = true;
		if (load_of(target, now) >= slots_of(svc, target, now) ||
		    target->full_until > now)
			continue;
		if (!choice.best || better(svc, target, choice.best, now))
			choice.best = target;
	}
	return choice;
}

static bool on_trickle(const struct tr_board *board,
		       const struct tr_service *svc,
		       const struct tr_target *target, apr_time_t now)
{
	if (target->order.kind == TR_ORDER_PROBATION &&
	    target->order.until > now)
		return true;
	return target->avoided && is_usable(board, svc, target, now);
}

/*
 * A target under suspicion that is due for one idempotent request: so that it
 * can prove itself by real work, at little cost while it can't.
 */
static struct tr_target *due_trickle(const struct tr_board *board,
				     struct tr_service *svc,
				     const struct tr_tried *tried,
				     apr_time_t now)
{
	for (unsigned i = 0; i < svc->targets_count; i++) {
		struct tr_target *target = &svc->targets[i];

		if (!target->listed || target->leaving || target->in_flight ||
		    target->unreachable_until > now ||
		    was_tried(tried, target->id))
			continue;
		if (on_trickle(board, svc, target, now) &&
		    now - target->last_probe_at >= target->probe_interval)
			return target;
	}
	return NULL;
}

/*
 * Choose a target for a request. Targets under suspicion that are not ejected
 * are used only when the others are full: avoiding them takes no capacity
 * away, so it needs nobody's leave. *kind tells how it was chosen, or, with
 * NULL, whether slots were full (BUSY) or no target may be used (NOTHING).
 */
struct tr_target *tr_service_pick(struct tr_board *board,
				  struct tr_service *svc, bool may_repeat,
				  const struct tr_tried *tried,
				  enum tr_pick_kind *kind)
{
	apr_time_t now = tr_clock_now(&board->clock);
	struct tr_target *trickle = NULL;
	struct choice first;
	struct choice second;

	if (may_repeat && !(tried && tried->count))
		trickle = due_trickle(board, svc, tried, now);
	if (trickle) {
		*kind = TR_PICK_PROBE;
		return trickle;
	}
	*kind = TR_PICK_NORMAL;
	first = choose(board, svc, false, tried, now);
	if (first.best)
		return first.best;
	second = choose(board, svc, true, tried, now);
	if (second.best)
		return second.best;
	*kind = first.any || second.any ? TR_PICK_BUSY : TR_PICK_NONE;
	return NULL;
}

/* An attempt at the target begins. */
void tr_attempt_begin(struct tr_service *svc, struct tr_target *target,
		      enum tr_pick_kind kind, apr_time_t now)
{
	target->in_flight++;
	target->sent++;
	if (kind == TR_PICK_PROBE) {
		target->last_probe_at = now;
		svc->counts.trickles++;
	}
}

/* How long an answer may take on a route before it counts as slow. */
apr_time_t tr_service_slow_threshold(const struct tr_service *svc,
				     unsigned route)
{
	const struct tr_latency *l = &svc->latency[route % TR_LATENCY_ROWS];
	apr_time_t deadline = TR_MSEC(svc->document->deadline_ms);
	apr_time_t slow;

	if (route < svc->document->routes_count)
		deadline = TR_MSEC(tr_document_deadline(
			svc->document, &svc->document->routes[route]));
	if (l->total < SLOW_LEAST_COUNT)
		return deadline / SLOW_SHARE;
	slow = tr_latency_quantile(l, SLOW_QUANTILE) * SLOW_TIMES;
	if (slow < SLOW_LEAST)
		return SLOW_LEAST;
	return slow < deadline / SLOW_SHARE ? slow : deadline / SLOW_SHARE;
}

/* How long work on a route usually takes. */
apr_time_t tr_service_median_latency(const struct tr_service *svc,
				     unsigned route)
{
	return tr_latency_quantile(&svc->latency[route % TR_LATENCY_ROWS],
				   USUAL_QUANTILE);
}

/*
 * Has a running attempt taken so long that it speaks against the target? Asked
 * while it runs, since a target that never answers would else be noticed only
 * after its deadline. Counts it at once when true; the end must then be told
 * with counted set. The baselines hear of ends only, as they do elsewhere.
 */
bool tr_attempt_overdue(struct tr_board *board, struct tr_service *svc,
			struct tr_target *target, unsigned route,
			apr_time_t began, apr_time_t now)
{
	if (!svc->detector->fleet ||
	    now - began < tr_service_slow_threshold(svc, route) ||
	    target->cold_until > now)
		return false;
	svc->detector->outcome(board, svc, target, TR_SIGNAL_FAILURE, now);
	return true;
}

static enum tr_signal sign_of(const struct tr_service *svc,
			      const struct tr_target *target, unsigned route,
			      enum tr_attempt_end how, apr_time_t took,
			      apr_time_t now)
{
	switch (how) {
	case TR_ATTEMPT_ANSWERED:
		return took > tr_service_slow_threshold(svc, route) &&
				       target->cold_until <= now
			       ? TR_SIGNAL_FAILURE
			       : TR_SIGNAL_SUCCESS;
	case TR_ATTEMPT_TARGET_REFUSED:
	case TR_ATTEMPT_ABANDONED:
		return TR_SIGNAL_NONE;
	case TR_ATTEMPT_TIMED_OUT:
		/* A caller with little patience is no proof of a slow target.
		 */
		return took < tr_service_slow_threshold(svc, route)
			       ? TR_SIGNAL_NONE
			       : TR_SIGNAL_FAILURE;
	case TR_ATTEMPT_FAILED_STATUS:
	case TR_ATTEMPT_UNREACHED:
	case TR_ATTEMPT_BROKEN:
	case TR_ATTEMPT_CUT_SHORT:
	case TR_ATTEMPT_GARBAGE:
		break;
	}
	return TR_SIGNAL_FAILURE;
}

/*
 * How long a target that refused is left alone: where this VM has slots of its
 * own, hardly; where it borrows, a good part of what work takes. Under
 * overload each VM then fills its own slots, and few attempts are refused.
 */
static apr_time_t full_for(struct tr_board *board, const struct tr_service *svc,
			   const struct tr_target *target, unsigned route)
{
	apr_time_t usual = tr_service_median_latency(svc, route);

	if (target->in_flight < target->home_slots)
		return FULL_HOME;
	if (usual < FULL_LEAST)
		return FULL_LEAST;
	return usual / 2 + tr_random_below(&board->random, (uint32_t)usual);
}

/*
 * An attempt ended. counted: it was overdue and has spoken already. Shedding,
 * the caller's own faults and abandoned attempts say nothing of the target's
 * health.
 */
void tr_attempt_end(struct tr_board *board, struct tr_service *svc,
		    struct tr_target *target, unsigned route,
		    enum tr_attempt_end how, apr_time_t began, bool counted,
		    apr_time_t now)
{
	enum tr_signal sign;

	if (target->in_flight)
		target->in_flight--;
	sign = sign_of(svc, target, route, how, now - began, now);
	if (how == TR_ATTEMPT_ANSWERED) {
		target->answered++;
		tr_latency_add(&svc->latency[route % TR_LATENCY_ROWS],
			       now - began, now);
	}
	if (how == TR_ATTEMPT_TARGET_REFUSED) {
		target->refused++;
		target->full_until = now + full_for(board, svc, target, route);
	}
	if (how == TR_ATTEMPT_UNREACHED) {
		target->unreachable_until = now + UNREACHED_FOR;
		tr_floor_enforce(board, svc, now);
	}
	if (!counted)
		svc->detector->outcome(board, svc, target, sign, now);
}

/* The target itself said that it is leaving: no new work from now on. */
void tr_target_announce_leaving(struct tr_board *board, struct tr_service *svc,
				struct tr_target *target)
{
	begin_leaving(board, svc, target, "the target");
}

/* The target told how many of its slots are busy. */
void tr_target_set_reported_load(struct tr_target *target, uint32_t load,
				 apr_time_t now)
{
	target->reported_load = load;
	target->reported_at = now;
}

/* The result code of a request whose last attempt ended so. */
enum tr_result tr_attempt_result(enum tr_attempt_end how)
{
	switch (how) {
	case TR_ATTEMPT_ANSWERED:
	case TR_ATTEMPT_FAILED_STATUS:
		return TR_ANSWERED;
	case TR_ATTEMPT_TARGET_REFUSED:
		return TR_TARGET_REFUSED;
	case TR_ATTEMPT_UNREACHED:
		return TR_UNREACHED;
	case TR_ATTEMPT_TIMED_OUT:
		return TR_TIMED_OUT;
	case TR_ATTEMPT_BROKEN:
		return TR_BROKEN;
	case TR_ATTEMPT_CUT_SHORT:
		return TR_CUT_SHORT;
	case TR_ATTEMPT_GARBAGE:
		return TR_GARBAGE;
	case TR_ATTEMPT_ABANDONED:
		break;
	}
	return TR_CALLER_GONE;
}
