#include "evidence.h"

#include <math.h>
#include <string.h>

#define HALF_LIFE_US	 6000000.0
#define FAILING_LEAST_US 2000000
#define FAILING_US	 10000000
#define LATEST_US	 700000.0
#define FRESH_US	 700000
#define ACTIVE_US	 10000000
#define RATE_PRIOR	 4.0
#define MOST_BASE	 0.5
#define STRICT_FALSE	 1.0
#define RISEN		 0.5
#define LEAST_SICK	 6.0
#define SECOND_OPINION	 0.125
#define AVOID_SHARE	 0.45
#define CAUTIOUS_BASE	 0.02
#define EAGER_BASE	 0.01
#define SECONDS_PER_DAY	 86400.0
#define LEAST_PER_DAY	 86400.0

/*
 * Thresholds for what a team asks for. A CUSUM with threshold h raises a false
 * alarm about once in e^h outcomes (Lorden 1971), so the accepted false
 * ejections a day and the outcomes a day of one target give h. A team that
 * accepts less than one a day is also slower to take a failure for more than
 * the noise that healthy targets show.
 */
void tr_evidence_rules_init(struct tr_evidence_rules *rules,
			    const struct tr_ejection_rules *team,
			    double outcomes_per_day)
{
	double a_day = outcomes_per_day > LEAST_PER_DAY ? outcomes_per_day
							: LEAST_PER_DAY;
	bool cautious = team->false_per_day < STRICT_FALSE;

	rules->sick = log(a_day / team->false_per_day);
	if (rules->sick < LEAST_SICK)
		rules->sick = LEAST_SICK;
	rules->avoid = rules->sick * AVOID_SHARE;
	rules->least_base = cautious ? CAUTIOUS_BASE : EAGER_BASE;
}

/* What one good, and one bad, outcome adds to the sum. */
struct steps {
	double well;
	double bad;
};

static struct steps steps_of(double base)
{
	double sick = MOST_BASE + base / 2;

	return (struct steps){ log((1 - sick) / (1 - base)), log(sick / base) };
}

/* Good outcomes first: of a batch, what failed is what happened last. */
static double cusum(double sum, double well_step, double bad_step)
{
	double next = sum + well_step;

	return (next > 0 ? next : 0) + bad_step;
}

/*
 * Has cell_sum that the target was sent for some seconds failed? Its evidence
 * then stays: an avoided target gets a request a second or less, and what these
 * add would else fade as fast, so that a dead target is avoided for ever and
 * never ejected. A stall that is over sooner fades as ever.
 */
static bool failing_still(const struct tr_evidence *ev, apr_time_t now)
{
	apr_time_t last_success_at = 0;

	for (int i = 0; i < TR_MAX_VANTAGES; i++)
		if (ev->last_success_at[i] > last_success_at)
			last_success_at = ev->last_success_at[i];
	return ev->last_failure_at && now - ev->last_failure_at < FAILING_US &&
	       ev->last_failure_at - last_success_at > FAILING_LEAST_US;
}

/*
 * How much of a source's outcomes is news. In calm times they are told some
 * seconds late; the good ones of before a fault would else arrive after its
 * first failures and cancel them, seen as a dead target that is used for
 * seconds more whenever load is low. Bad ones since the last good one are news
 * in any case.
 */
static double freshness(const struct tr_evidence *ev, unsigned source,
			apr_time_t now)
{
	apr_time_t gap = now - ev->source_at[source];

	if (source == TR_SOURCE_SELF || gap <= FRESH_US)
		return 1;
	return (double)FRESH_US / (double)gap;
}

static bool has_vantage(const struct tr_outcome_batch *batch)
{
	return batch->vantage >= 0 && batch->vantage < TR_MAX_VANTAGES;
}

/*
 * Since when has cell_sum failed? A good outcome ends that, unless it may be
 * older than the failures: it was told late, by a VM that had said nothing
 * since they began.
 */
static void note_failing(struct tr_evidence *ev,
			 const struct tr_outcome_batch *batch, double fresh,
			 apr_time_t now)
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

/* When the sum began to rise, and from where good outcomes came since. */
static void note_times(struct tr_evidence *ev,
		       const struct tr_outcome_batch *batch, double fresh,
		       apr_time_t now)
{
	if (batch->bad && ev->cell_sum < RISEN)
		ev->rising_since = now;
	if (batch->well && !batch->bad_run && fresh >= 1 && has_vantage(batch))
		ev->last_success_at[batch->vantage] = now;
}

/*
 * Add a batch of outcomes. base_rate is the share of bad outcomes that the
 * target's own peers show now: a fault that cell_sum share is no evidence
 * against one of them.
 */
void tr_evidence_add(struct tr_evidence *ev,
		     const struct tr_outcome_batch *batch, double base_rate,
		     apr_time_t now)
{
	struct steps steps = steps_of(base_rate);
	double fresh = freshness(ev, batch->source, now);
	double well = batch->well * fresh * steps.well;
	uint32_t before = batch->bad - batch->bad_run;
	double bad_now = batch->bad_run + before * fresh;
	double bad = bad_now * steps.bad;

	note_times(ev, batch, fresh, now);
	note_failing(ev, batch, fresh, now);
	ev->cell_sum = cusum(ev->cell_sum, well, bad);
	if (has_vantage(batch))
		ev->here[batch->vantage] =
			cusum(ev->here[batch->vantage], well, bad);
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
 * Turn a source's running totals into what is new of them. Totals make lost,
 * doubled and reordered messages harmless: a smaller total is an old message
 * and gives false.
 */
bool tr_evidence_diff_totals(struct tr_evidence *ev, unsigned source,
			     struct tr_outcome_totals total,
			     struct tr_outcome_batch *batch)
{
	struct tr_outcome_totals *last = &ev->heard[source];

	if (total.well < last->well || total.bad < last->bad)
		return false;
	if (!ev->heard_before[source]) {
		/* What it counted before this VM listened is old news. */
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
 * Let evidence fade, so that nothing is out for ever on the strength of what
 * was seen long ago.
 */
void tr_evidence_decay(struct tr_evidence *ev, apr_time_t now)
{
	double keep = exp2(-(double)(now - ev->decayed_at) / HALF_LIFE_US);

	double keep_sums;
	double keep_latest = exp2(-(double)(now - ev->decayed_at) / LATEST_US);

	if (!ev->decayed_at)
		keep = keep_latest = 1;
	keep_sums = failing_still(ev, now) ? 1 : keep;
	ev->decayed_at = now;
	ev->cell_sum *= keep_sums;
	for (int i = 0; i < TR_MAX_VANTAGES; i++)
		ev->here[i] *= keep_sums;
	for (int i = 0; i < TR_SOURCES; i++)
		ev->by_source[i] *= (float)keep_sums;
	ev->recent_well *= keep;
	ev->recent_bad *= keep;
	ev->last_second_well *= keep_latest;
	ev->last_second_bad *= keep_latest;
}

/* Drop the sums but not the totals, when a target is given another chance. */
void tr_evidence_clear(struct tr_evidence *ev)
{
	ev->cell_sum = 0;
	memset(ev->here, 0, sizeof(ev->here));
	memset(ev->by_source, 0, sizeof(ev->by_source));
	ev->recent_well = 0;
	ev->recent_bad = 0;
	ev->last_second_well = 0;
	ev->last_second_bad = 0;
}

/* A source was replaced by another process, whose totals start at zero. */
void tr_evidence_forget_source(struct tr_evidence *ev, unsigned source)
{
	memset(&ev->heard[source], 0, sizeof(ev->heard[source]));
	ev->heard_before[source] = false;
	ev->by_source[source] = 0;
	ev->source_at[source] = 0;
}

/*
 * How long cell_sum that the target got from these vantages had failed when the
 * last of it did, in us; 0 when something went well since. A vantage that began
 * later does not make it shorter.
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

/* The share of recent outcomes that were bad, drawn to 0 while few. */
double tr_evidence_rate(const struct tr_evidence *ev)
{
	return ev->recent_bad / (ev->recent_bad + ev->recent_well + RATE_PRIOR);
}

/* The same over the last second or so, for what breaks out cell_sum at once. */
double tr_evidence_latest_rate(const struct tr_evidence *ev)
{
	return ev->last_second_bad /
	       (ev->last_second_bad + ev->last_second_well + RATE_PRIOR);
}

/* How many VMs have spoken of a target lately, and how many against it. */
struct tally {
	unsigned active;
	unsigned accusing;
};

static void count_sources(const struct tr_evidence *ev,
			  const struct tr_evidence_rules *rules, apr_time_t now,
			  struct tally by_vantage[TR_MAX_VANTAGES])
{
	for (int i = 0; i < TR_SOURCES; i++) {
		int v = ev->vantage_of[i];

		if (!ev->source_at[i] || now - ev->source_at[i] > ACTIVE_US ||
		    v < 0 || v >= TR_MAX_VANTAGES)
			continue;
		by_vantage[v].active++;
		by_vantage[v].accusing +=
			ev->by_source[i] > rules->sick * SECOND_OPINION;
	}
}

/*
 * From which vantages is the target sick? 0: from none. All of them when more
 * speak against it than have seen it do well since the trouble began. Those
 * that have sent it nothing since do not count: a target that the whole cell
 * avoids after the first few failures has few vantages to speak against it.
 *
 * One VM's word is never enough where another VM of the same vantage uses the
 * target too: what breaks the path of one VM fails many of its requests at
 * once, and they are then not drawn apart, as the sums take them to be. One
 * would notice by healthy targets ejected whenever one VM has trouble.
 */
uint32_t tr_evidence_sick_vantages(const struct tr_evidence *ev,
				   const struct tr_evidence_rules *rules,
				   apr_time_t now)
{
	struct tally by_vantage[TR_MAX_VANTAGES] = { { 0, 0 } };
	unsigned active = 0;
	unsigned accusing = 0;
	unsigned against = 0;
	unsigned refuting = 0;
	uint32_t sick_from = 0;

	count_sources(ev, rules, now, by_vantage);
	for (int v = 0; v < TR_MAX_VANTAGES; v++) {
		const struct tally *t = &by_vantage[v];

		active += t->active;
		accusing += t->accusing;
		against += t->accusing > 0;
		refuting += !t->accusing &&
			    ev->last_success_at[v] > ev->rising_since;
		if (ev->here[v] >= rules->sick &&
		    (t->accusing >= 2 || t->active < 2))
			sick_from |= 1U << v;
	}
	if (ev->cell_sum >= rules->sick && (accusing >= 2 || active < 2) &&
	    (against > refuting || failing_still(ev, now)))
		return TR_EVERY_VANTAGE;
	return sick_from;
}

/*
 * The share of bad outcomes to hold a target against: the median of the rates
 * of its service's targets, within bounds. The median moves only when half of
 * them do, which is a fault of the path or the service and not of a target.
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
	return median > MOST_BASE ? MOST_BASE : median;
}
