/*
 * Service configuration and target selection: applies documents and target
 * lists, picks a target for each request and records how attempts end.
 */
#include "service.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "member.h"
#include "permit.h"

#define SLOW_FACTOR	      4
#define SLOW_QUANTILE	      0.8
#define SLOW_MIN	      TR_MSEC(30)
#define SLOW_MIN_SAMPLES      30.0f
#define SLOW_DEADLINE_DIVISOR 2
#define EVIDENCE_MARGIN	      2.0
#define MEDIAN_QUANTILE	      0.5
#define FULL_BACKOFF_HOME     TR_MSEC(1)
#define FULL_BACKOFF_MIN      TR_MSEC(2)
#define LOAD_REPORT_MAX_AGE   TR_MSEC(100)
#define UNREACHED_BACKOFF     TR_SEC(1)
#define SUSPECT_WINDOW	      TR_SEC(2)
#define SUSPECT_SHARE	      0.25

/* Frees the queue and marks the service's row as unused. */
void tr_service_release(struct tr_service *svc)
{
	tr_queue_release(&svc->queue);
	svc->used = false;
}

/* Returns an unused or no longer listed row, or NULL when the table is full. */
static struct tr_target *alloc_target(struct tr_service *svc)
{
	if (svc->targets_count < TR_MAX_TARGETS)
		return &svc->targets[svc->targets_count++];
	for (unsigned i = 0; i < svc->targets_count; i++)
		if (!svc->targets[i].listed && !svc->targets[i].in_flight)
			return &svc->targets[i];
	return NULL;
}

static void mark_leaving(struct tr_board *board, struct tr_service *svc,
			 struct tr_target *target, const char *source)
{
	if (target->leaving)
		return;
	target->leaving = true;
	target->leaving_since = tr_clock_now(&board->clock);
	tr_board_event(board, TR_EVENT_LEAVING, svc->name, target->name,
		       "first announced by %s", source);
	tr_floor_enforce(board, svc, target->leaving_since);
}

static void apply_entry(struct tr_board *board, struct tr_service *svc,
			const struct tr_target_entry *entry, bool first,
			const bool *was_listed)
{
	uint32_t id = (uint32_t)tr_hash_string(entry->name);
	struct tr_target *target = tr_service_target(svc, id);
	apr_time_t now = tr_clock_now(&board->clock);
	bool returned = target && !was_listed[target - svc->targets];

	if (!target) {
		target = alloc_target(svc);
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
		mark_leaving(board, svc, target, "the published list");
	else
		target->leaving = false;
}

/*
 * Applies the published list of targets unless a newer revision is in force.
 * Rows that are no longer listed are kept while requests are in flight to them,
 * but get no new requests.
 */
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
		apply_entry(board, svc, &entries[i], first, was_listed);
	tr_member_update_cell(board, svc);
	tr_floor_enforce(board, svc, tr_clock_now(&board->clock));
	tr_board_event(board, TR_EVENT_LIST, svc->name, "targets",
		       "revision %lu, %u targets", (unsigned long)revision,
		       count);
}

static void apply_document_targets(struct tr_board *board,
				   struct tr_service *svc, uint64_t revision)
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
 * Applies a validated document unless a newer revision is in force. The service
 * keeps a pointer to doc; the caller frees the one it replaces.
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
	if (svc->base_rate < svc->rules.min_base_rate)
		svc->base_rate = svc->rules.min_base_rate;
	if (!svc->queue.waiters)
		tr_queue_init(&svc->queue, doc->queue);
	if (doc->targets_count)
		apply_document_targets(board, svc, revision);
	tr_member_update_cell(board, svc);
	tr_floor_enforce(board, svc, now);
	tr_board_event(board, TR_EVENT_DOCUMENT, svc->name, "document",
		       "revision %lu, floor %u", (unsigned long)revision,
		       doc->floor);
}

/*
 * Returns whether the target failed recently and has gathered a good part of
 * the evidence for an ejection, while no order for it is known. Gossip is more
 * frequent meanwhile.
 */
bool tr_target_is_suspect(const struct tr_service *svc,
			  const struct tr_target *target, apr_time_t now)
{
	double least = svc->rules.sick * SUSPECT_SHARE;

	if (target->order.kind != TR_ORDER_NONE ||
	    now - target->evidence.last_failure_at > SUSPECT_WINDOW)
		return false;
	if (target->evidence.cell_sum > least)
		return true;
	for (int v = 0; v < TR_MAX_VANTAGES; v++)
		if (target->evidence.vantage_sum[v] > least)
			return true;
	return false;
}

static bool any_suspect(const struct tr_service *svc, apr_time_t now)
{
	for (unsigned i = 0; i < svc->targets_count; i++)
		if (tr_target_is_suspect(svc, &svc->targets[i], now))
			return true;
	return false;
}

/* Runs the periodic work of one service; call every 20 to 100 ms. */
void tr_service_step(struct tr_board *board, struct tr_service *svc,
		     apr_time_t now)
{
	if (!svc->document)
		return;
	tr_member_step(board, svc, now);
	svc->detector->step(board, svc, now);
	tr_permit_step(board, svc, now);
	tr_floor_enforce(board, svc, now);
	svc->has_suspects = any_suspect(svc, now);
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
	if (now - target->reported_at < LOAD_REPORT_MAX_AGE &&
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
 * Returns whether a is the better choice. Of two avoided targets, that is the
 * one with less evidence against it: under noise many targets are avoided for a
 * while, and one that is really down must be chosen last. Otherwise a target
 * where this VM has a home slot left is preferred, then the less loaded one.
 * Home slots are assigned over the cell by rendezvous hashing, so that VMs fill
 * different targets first and seldom collide on a target with few slots. The
 * baseline detectors model proxies that do not cooperate, so they compare load
 * only.
 */
static bool is_better(const struct tr_service *svc, const struct tr_target *a,
		      const struct tr_target *b, apr_time_t now)
{
	bool a_has_home_slot = a->in_flight < a->home_slots;
	bool b_has_home_slot = b->in_flight < b->home_slots;
	double difference = a->evidence.cell_sum - b->evidence.cell_sum;

	if (a->avoided && b->avoided && fabs(difference) > EVIDENCE_MARGIN)
		return difference < 0;
	if (svc->detector->fleet && a_has_home_slot != b_has_home_slot)
		return a_has_home_slot;
	return load_of(a, now) < load_of(b, now);
}

struct choice {
	struct tr_target *best;
	bool any; /* some target may be used, even if it is full */
};

/* Chooses among the avoided or among the other targets, from a random start. */
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
		if (!choice.best || is_better(svc, target, choice.best, now))
			choice.best = target;
	}
	return choice;
}

/* Returns whether the target gets only occasional probe requests. */
static bool is_probed(const struct tr_board *board,
		      const struct tr_service *svc,
		      const struct tr_target *target, apr_time_t now)
{
	if (target->order.kind == TR_ORDER_PROBATION &&
	    target->order.until > now)
		return true;
	return target->avoided && is_usable(board, svc, target, now);
}

/*
 * Returns a suspect target that is due for one idempotent request, or NULL.
 * Such probes are real requests: they show whether the target has recovered
 * and cost little while it has not.
 */
static struct tr_target *due_probe(const struct tr_board *board,
				   struct tr_service *svc,
				   const struct tr_tried *tried, apr_time_t now)
{
	for (unsigned i = 0; i < svc->targets_count; i++) {
		struct tr_target *target = &svc->targets[i];

		if (!target->listed || target->leaving || target->in_flight ||
		    target->unreachable_until > now ||
		    was_tried(tried, target->id))
			continue;
		if (is_probed(board, svc, target, now) &&
		    now - target->last_probe_at >= target->probe_interval)
			return target;
	}
	return NULL;
}

/*
 * Chooses a target for a request. Avoided targets that are not ejected are used
 * only when all others are full; that removes no capacity, so it needs no order
 * of the owner. *kind says how the target was chosen; when NULL is returned, it
 * says whether all slots are taken (TR_PICK_BUSY) or no target may be used
 * (TR_PICK_NONE). may_repeat: the request is idempotent.
 */
struct tr_target *tr_service_pick(struct tr_board *board,
				  struct tr_service *svc, bool may_repeat,
				  const struct tr_tried *tried,
				  enum tr_pick_kind *kind)
{
	apr_time_t now = tr_clock_now(&board->clock);
	struct tr_target *probe = NULL;
	struct choice first;
	struct choice second;

	if (may_repeat && !(tried && tried->count))
		probe = due_probe(board, svc, tried, now);
	if (probe) {
		*kind = TR_PICK_PROBE;
		return probe;
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

/* Counts an attempt that is about to be sent to the target. */
void tr_attempt_begin(struct tr_service *svc, struct tr_target *target,
		      enum tr_pick_kind kind, apr_time_t now)
{
	target->in_flight++;
	target->sent++;
	if (kind == TR_PICK_PROBE) {
		target->last_probe_at = now;
		svc->counts.probes++;
	}
}

/*
 * Returns the time, in us, after which an answer on a route counts as slow: a
 * multiple of a high quantile of its latency, bounded by a part of the
 * deadline, which applies alone until there are enough samples.
 */
apr_time_t tr_service_slow_threshold(const struct tr_service *svc,
				     unsigned route)
{
	const struct tr_latency *l = &svc->latency[route % TR_LATENCY_ROWS];
	apr_time_t deadline = TR_MSEC(svc->document->deadline_ms);
	apr_time_t slow;

	if (route < svc->document->routes_count)
		deadline = TR_MSEC(tr_document_deadline(
			svc->document, &svc->document->routes[route]));
	if (l->total < SLOW_MIN_SAMPLES)
		return deadline / SLOW_DEADLINE_DIVISOR;
	slow = tr_latency_quantile(l, SLOW_QUANTILE) * SLOW_FACTOR;
	if (slow < SLOW_MIN)
		return SLOW_MIN;
	return slow < deadline / SLOW_DEADLINE_DIVISOR
		       ? slow
		       : deadline / SLOW_DEADLINE_DIVISOR;
}

/* Returns the median latency of a route, in us. */
apr_time_t tr_service_median_latency(const struct tr_service *svc,
				     unsigned route)
{
	return tr_latency_quantile(&svc->latency[route % TR_LATENCY_ROWS],
				   MEDIAN_QUANTILE);
}

/*
 * Returns whether a running attempt has taken long enough to count as a failure
 * of the target. Called while the attempt runs: otherwise a target that never
 * answers would be noticed only at the deadline. If true, the failure has been
 * counted, and tr_attempt_end() must be called with counted set. The baseline
 * detectors see only finished attempts, as in the proxies they model.
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

static enum tr_signal signal_of(const struct tr_service *svc,
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
		/* A short deadline of the caller is no sign of a slow target.
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
 * Returns how long to back off from a target that refused a request, in us.
 * Where this VM has a home slot free, that is short; elsewhere about half to
 * one and a half times the median latency. Under overload each VM then fills
 * its home slots, and few attempts are refused.
 */
static apr_time_t full_backoff(struct tr_board *board,
			       const struct tr_service *svc,
			       const struct tr_target *target, unsigned route)
{
	apr_time_t median = tr_service_median_latency(svc, route);

	if (target->in_flight < target->home_slots)
		return FULL_BACKOFF_HOME;
	if (median < FULL_BACKOFF_MIN)
		return FULL_BACKOFF_MIN;
	return median / 2 + tr_random_below(&board->random, (uint32_t)median);
}

/*
 * Records the end of an attempt. counted: tr_attempt_overdue() has already
 * counted it as a failure. Refusals for lack of a slot, errors of the caller
 * and abandoned attempts are not counted for or against the target.
 */
void tr_attempt_end(struct tr_board *board, struct tr_service *svc,
		    struct tr_target *target, unsigned route,
		    enum tr_attempt_end how, apr_time_t began, bool counted,
		    apr_time_t now)
{
	enum tr_signal signal;

	if (target->in_flight)
		target->in_flight--;
	signal = signal_of(svc, target, route, how, now - began, now);
	if (how == TR_ATTEMPT_ANSWERED) {
		target->answered++;
		tr_latency_add(&svc->latency[route % TR_LATENCY_ROWS],
			       now - began, now);
	}
	if (how == TR_ATTEMPT_TARGET_REFUSED) {
		target->refused++;
		target->full_until =
			now + full_backoff(board, svc, target, route);
	}
	if (how == TR_ATTEMPT_UNREACHED) {
		target->unreachable_until = now + UNREACHED_BACKOFF;
		tr_floor_enforce(board, svc, now);
	}
	if (!counted)
		svc->detector->outcome(board, svc, target, signal, now);
}

/* The target announced that it is leaving: it gets no new requests. */
void tr_target_announce_leaving(struct tr_board *board, struct tr_service *svc,
				struct tr_target *target)
{
	mark_leaving(board, svc, target, "the target");
}

/* Records the number of busy slots that the target reported. */
void tr_target_set_reported_load(struct tr_target *target, uint32_t load,
				 apr_time_t now)
{
	target->reported_load = load;
	target->reported_at = now;
}

/* Returns the result code of a request whose last attempt ended this way. */
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
