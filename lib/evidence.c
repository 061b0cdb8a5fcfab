/*
 * A CUSUM test for sick targets: outcomes of this VM and of its peers are added
 * to sums that decay over time, and thresholds decide when these suffice.
 */
#include "evidence.h"

#include <math.h>
#include <string.h>

#define EVIDENCE_HALF_LIFE_US	 6000000.0
#define FAILING_MIN_US		 2000000
#define FAILING_US		 10000000
#define LAST_SECOND_HALF_LIFE_US 700000.0
#define FRESH_MAX_AGE_US	 700000
#define SOURCE_ACTIVE_US	 10000000
#define RATE_PRIOR		 4.0
#define MAX_BASE_RATE		 0.5
#define STRICT_FALSE_PER_DAY	 1.0
#define RISING_MIN		 0.5
#define MIN_SICK_THRESHOLD	 6.0
#define ACCUSING_SHARE		 0.125
#define AVOID_SHARE		 0.45
#define MIN_BASE_RATE_STRICT	 0.02
#define MIN_BASE_RATE		 0.01
#define SECONDS_PER_DAY		 86400.0
#define MIN_OUTCOMES_PER_DAY	 86400.0

/*
 * Computes the thresholds. A CUSUM test with threshold h raises a false alarm
 * about once in e^h outcomes (Lorden 1971), so h follows from the accepted
 * false ejections a day and the outcomes a day of one target. A team that
 * accepts less than one a day also gets a higher minimum base rate, so that
 * failures are less readily taken for more than the noise of healthy targets.
 */
void tr_evidence_rules_init(struct tr_evidence_rules *rules,
			    const struct tr_ejection_rules *team,
			    double outcomes_per_day)
{
	double per_day = outcomes_per_day > MIN_OUTCOMES_PER_DAY
				 ? outcomes_per_day
				 : MIN_OUTCOMES_PER_DAY;
	bool strict = team->false_per_day < STRICT_FALSE_PER_DAY;

	rules->sick = log(per_day / team->false_per_day);
	if (rules->sick < MIN_SICK_THRESHOLD)
		rules->sick = MIN_SICK_THRESHOLD;
	rules->avoid = rules->sick * AVOID_SHARE;
	rules->min_base_rate = strict ? MIN_BASE_RATE_STRICT : MIN_BASE_RATE;
}

/* What one success and one failure add to a sum. */
struct steps {
	double well;
	double bad;
};

/*
 * Returns the steps for a base rate, the share of failures at a healthy target.
 * A sick target is assumed to fail at a rate halfway between the base rate and
 * 1.
 */
static struct steps steps_for(double base)
{
	double sick = MAX_BASE_RATE + base / 2;

	return (struct steps){ log((1 - sick) / (1 - base)), log(sick / base) };
}

/* Adds a batch to a sum. Successes first: the failures in a batch came last. */
static double cusum(double sum, double well_step, double bad_step)
{
	double next = sum + well_step;

	return (next > 0 ? next : 0) + bad_step;
}

/*
 * Returns whether every request to the target has failed for some seconds. Its
 * evidence does not decay then: an avoided target gets a request a second or
 * less, whose failures would otherwise decay as fast as they add up, and a
 * target that is down would be avoided for ever and never ejected. After a
 * shorter stall the evidence decays as usual.
 */
static bool is_still_failing(const struct tr_evidence *ev, apr_time_t now)
{
	apr_time_t last_success_at = 0;

	for (int i = 0; i < TR_MAX_VANTAGES; i++)
		if (ev->last_success_at[i] > last_success_at)
			last_success_at = ev->last_success_at[i];
	return ev->last_failure_at && now - ev->last_failure_at < FAILING_US &&
	       ev->last_failure_at - last_success_at > FAILING_MIN_US;
}

/*
 * Returns the weight of a source's outcomes, from 0 to 1, by how long it had
 * reported none. When nothing is wrong, outcomes are reported some seconds
 * late; successes from before a fault would then arrive after its first
 * failures and cancel them, and at low load a target that is down would be used
 * for some seconds more. Failures since the last success always count in full.
 */
static double freshness(const struct tr_evidence *ev, unsigned source,
			apr_time_t now)
{
	apr_time_t gap = now - ev->source_at[source];

	if (source == TR_SOURCE_SELF || gap <= FRESH_MAX_AGE_US)
		return 1;
	return (double)FRESH_MAX_AGE_US / (double)gap;
}

static bool has_vantage(const struct tr_outcome_batch *batch)
{
	return batch->vantage >= 0 && batch->vantage < TR_MAX_VANTAGES;
}

/*
 * Updates since when all requests have failed. A success resets it, unless it
 * may be older than the failures: a VM that had reported nothing since they
 * began may report it late.
 */
static void update_failing_since(struct tr_evidence *ev,
				 const struct tr_outcome_batch *batch,
				 double fresh, apr_time_t now)
{
	bool is_newer =
		fresh >= 1 || ev->source_at[batch->source] >= ev->failing_since;
	apr_time_t *from = NULL;

	if (has_vantage(batch))
		from = &ev->failing_since_from[batch->vantage];
	if (batch->well && is_newer) {
		ev->failing_since = 0;
		if (from)
			*from = 0;
	}
	if (!batch->bad_run)
		return;
	if (!ev->failing_since)
		ev->failing_since = now;
	if (from && !*from)
		*from = now;
}

/* Updates when the sum began to rise and the last success from each vantage. */
static void update_times(struct tr_evidence *ev,
			 const struct tr_outcome_batch *batch, double fresh,
			 apr_time_t now)
{
	if (batch->bad && ev->cell_sum < RISING_MIN)
		ev->rising_since = now;
	if (batch->well && !batch->bad_run && fresh >= 1 && has_vantage(batch))
		ev->last_success_at[batch->vantage] = now;
}

/*
 * Adds a batch of outcomes. base_rate is the share of failures that the targets
 * of the service currently show: a fault that they all share is no evidence
 * against one of them.
 */
void tr_evidence_add(struct tr_evidence *ev,
		     const struct tr_outcome_batch *batch, double base_rate,
		     apr_time_t now)
{
	struct steps steps = steps_for(base_rate);
	double fresh = freshness(ev, batch->source, now);
	double well = batch->well * fresh * steps.well;
	uint32_t before = batch->bad - batch->bad_run;
	double bad_now = batch->bad_run + before * fresh;
	double bad = bad_now * steps.bad;

	update_times(ev, batch, fresh, now);
	update_failing_since(ev, batch, fresh, now);
	ev->cell_sum = cusum(ev->cell_sum, well, bad);
	if (has_vantage(batch))
		ev->vantage_sum[batch->vantage] =
			cusum(ev->vantage_sum[batch->vantage], well, bad);
	ev->by_source[batch->source] =
		(float)cusum(ev->by_source[batch->source], well, bad);
	ev->source_at[batch->source] = now;
	ev->vantage_of[batch->source] = batch->vantage;
	if (batch->bad)
		ev->last_failure_at = now;
	ev->recent_well += batch->well;
	ev->recent_bad += batch->bad;
	ev->last_second_well += batch->well * fresh;
	ev->last_second_bad += bad_now;
}

/*
 * Computes what is new in a source's running totals and stores it in batch.
 * Totals make lost, duplicated and reordered messages harmless: smaller totals
 * than the last are from an old message. Returns false if there is nothing new,
 * and for the first totals of a source, which may be old.
 */
bool tr_evidence_diff_totals(struct tr_evidence *ev, unsigned source,
			     struct tr_outcome_totals total,
			     struct tr_outcome_batch *batch)
{
	struct tr_outcome_totals *last = &ev->heard[source];

	if (total.well < last->well || total.bad < last->bad)
		return false;
	if (!ev->heard_before[source]) {
		/* These outcomes may be older than this VM's first message. */
		ev->heard_before[source] = true;
		*last = total;
		return false;
	}
	batch->source = source;
	batch->well = total.well - last->well;
	batch->bad = total.bad - last->bad;
	batch->bad_run =
		total.bad_run < batch->bad ? total.bad_run : batch->bad;
	*last = total;
	return batch->well || batch->bad;
}

/*
 * Lets evidence decay, so that no target is avoided for ever because of old
 * failures.
 */
void tr_evidence_decay(struct tr_evidence *ev, apr_time_t now)
{
	double keep =
		exp2(-(double)(now - ev->decayed_at) / EVIDENCE_HALF_LIFE_US);

	double keep_sums;
	double keep_last_second = exp2(-(double)(now - ev->decayed_at) /
				       LAST_SECOND_HALF_LIFE_US);

	if (!ev->decayed_at)
		keep = keep_last_second = 1;
	keep_sums = is_still_failing(ev, now) ? 1 : keep;
	ev->decayed_at = now;
	ev->cell_sum *= keep_sums;
	for (int i = 0; i < TR_MAX_VANTAGES; i++)
		ev->vantage_sum[i] *= keep_sums;
	for (int i = 0; i < TR_SOURCES; i++)
		ev->by_source[i] *= (float)keep_sums;
	ev->recent_well *= keep;
	ev->recent_bad *= keep;
	ev->last_second_well *= keep_last_second;
	ev->last_second_bad *= keep_last_second;
}

/* Resets the sums but keeps the totals; called when a target is tried again. */
void tr_evidence_clear(struct tr_evidence *ev)
{
	ev->cell_sum = 0;
	memset(ev->vantage_sum, 0, sizeof(ev->vantage_sum));
	memset(ev->by_source, 0, sizeof(ev->by_source));
	ev->recent_well = 0;
	ev->recent_bad = 0;
	ev->last_second_well = 0;
	ev->last_second_bad = 0;
}

/*
 * Forgets a source that was replaced by a new process, whose totals start at 0.
 */
void tr_evidence_forget_source(struct tr_evidence *ev, unsigned source)
{
	memset(&ev->heard[source], 0, sizeof(ev->heard[source]));
	ev->heard_before[source] = false;
	ev->by_source[source] = 0;
	ev->source_at[source] = 0;
}

/*
 * Returns the time, in us, between the first and the last of the failures since
 * the last success, over the vantages in the mask from; 0 if the last outcome
 * was a success. It counts from the vantage that began to fail first.
 */
apr_time_t tr_evidence_failing_duration(const struct tr_evidence *ev,
					uint32_t from)
{
	apr_time_t since = 0;

	if (from == TR_EVERY_VANTAGE)
		since = ev->failing_since;
	for (int v = 0; v < TR_MAX_VANTAGES && from != TR_EVERY_VANTAGE; v++) {
		apr_time_t at = from & 1U << v ? ev->failing_since_from[v] : 0;

		if (at && (!since || at < since))
			since = at;
	}
	return since && ev->last_failure_at > since
		       ? ev->last_failure_at - since
		       : 0;
}

/*
 * Returns the share of failures in recent outcomes; close to 0 while these are
 * few.
 */
double tr_evidence_rate(const struct tr_evidence *ev)
{
	return ev->recent_bad / (ev->recent_bad + ev->recent_well + RATE_PRIOR);
}

/* The same over about the last second, to detect a sudden common fault. */
double tr_evidence_latest_rate(const struct tr_evidence *ev)
{
	return ev->last_second_bad /
	       (ev->last_second_bad + ev->last_second_well + RATE_PRIOR);
}

/*
 * Number of VMs that recently used a target, and of those with evidence against
 * it.
 */
struct vote_count {
	unsigned active;
	unsigned accusing;
};

static void count_sources(const struct tr_evidence *ev,
			  const struct tr_evidence_rules *rules, apr_time_t now,
			  struct vote_count by_vantage[TR_MAX_VANTAGES])
{
	for (int i = 0; i < TR_SOURCES; i++) {
		int v = ev->vantage_of[i];

		if (!ev->source_at[i] ||
		    now - ev->source_at[i] > SOURCE_ACTIVE_US || v < 0 ||
		    v >= TR_MAX_VANTAGES)
			continue;
		by_vantage[v].active++;
		by_vantage[v].accusing +=
			ev->by_source[i] > rules->sick * ACCUSING_SHARE;
	}
}

/*
 * Returns the vantages from which the target is sick, as a bit mask; 0 for
 * none. All of them if the target has failed every request for some seconds, or
 * if more vantages have evidence against it than have seen it succeed since its
 * sum began to rise. Vantages that have sent it nothing since do not count:
 * when the whole cell avoids a target after its first few failures, few
 * vantages have evidence against it.
 *
 * The evidence of one VM never suffices if another VM of the same vantage uses
 * the target too. A broken path of one VM fails many of its requests at once,
 * which are not independent, as the sums assume. Without this rule, healthy
 * targets are ejected whenever one VM has network trouble.
 */
uint32_t tr_evidence_sick_vantages(const struct tr_evidence *ev,
				   const struct tr_evidence_rules *rules,
				   apr_time_t now)
{
	struct vote_count by_vantage[TR_MAX_VANTAGES] = { { 0, 0 } };
	unsigned active = 0;
	unsigned accusing = 0;
	unsigned accusing_vantages = 0;
	unsigned refuting_vantages = 0;
	uint32_t sick_from = 0;

	count_sources(ev, rules, now, by_vantage);
	for (int v = 0; v < TR_MAX_VANTAGES; v++) {
		const struct vote_count *t = &by_vantage[v];

		active += t->active;
		accusing += t->accusing;
		accusing_vantages += t->accusing > 0;
		refuting_vantages += !t->accusing &&
				     ev->last_success_at[v] > ev->rising_since;
		if (ev->vantage_sum[v] >= rules->sick &&
		    (t->accusing >= 2 || t->active < 2))
			sick_from |= 1U << v;
	}
	if (ev->cell_sum >= rules->sick && (accusing >= 2 || active < 2) &&
	    (accusing_vantages > refuting_vantages ||
	     is_still_failing(ev, now)))
		return TR_EVERY_VANTAGE;
	return sick_from;
}

/*
 * Returns the base rate to compare targets with: the median of the failure
 * rates of the service's targets, bounded by least and MAX_BASE_RATE. The
 * median rises only if half of them fail, which is a fault of the path or of
 * the service and not of a target.
 */
double tr_evidence_base_rate(const double *rates, unsigned count, double least)
{
	double sorted[TR_MAX_TARGETS];
	double median;
	unsigned n = 0;

	for (unsigned i = 0; i < count && n < TR_MAX_TARGETS; i++) {
		unsigned at = n++;

		for (; at > 0 && sorted[at - 1] > rates[i]; at--)
			sorted[at] = sorted[at - 1];
		sorted[at] = rates[i];
	}
	median = n ? sorted[n / 2] : 0;
	if (median < least)
		return least;
	return median > MAX_BASE_RATE ? MAX_BASE_RATE : median;
}
