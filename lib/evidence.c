#include "evidence.h"

#include <math.h>
#include <string.h>

#define HALF_LIFE_US	6000000.0
#define ACTIVE_US	5000000
#define RATE_PRIOR	4.0
#define MOST_BASE	0.5
#define STRICT_FALSE	1.0
#define LEAST_SICK	6.0
#define SECOND_OPINION	0.125
#define AVOID_SHARE	0.4
#define CAUTIOUS_BASE	0.02
#define EAGER_BASE	0.01
#define SECONDS_PER_DAY 86400.0
#define LEAST_PER_DAY	1000.0

/*
 * Thresholds for a team's wish. A CUSUM with threshold h raises a false alarm
 * about once in e^h outcomes (Lorden 1971), so the accepted false ejections a
 * day and the outcomes a day of one target give h. A team that accepts less
 * than one a day also asks that two VMs agree, since what breaks the path of
 * one VM fails many of its requests at once and they are then not drawn apart.
 */
void tr_evidence_rules(struct tr_evidence_rules *rules,
		       const struct tr_ejection_rules *team,
		       double outcomes_per_day)
{
	double a_day = outcomes_per_day > LEAST_PER_DAY ? outcomes_per_day :
							  LEAST_PER_DAY;
	bool cautious = team->false_per_day < STRICT_FALSE;

	rules->sick = log(a_day / team->false_per_day);
	if (rules->sick < LEAST_SICK)
		rules->sick = LEAST_SICK;
	rules->avoid = rules->sick * AVOID_SHARE;
	rules->least_base = cautious ? CAUTIOUS_BASE : EAGER_BASE;
	rules->corroborate = cautious;
}

static double log_likelihood(uint32_t well, uint32_t bad, double base)
{
	double sick = MOST_BASE + base / 2;

	return bad * log(sick / base) +
	       well * log((1 - sick) / (1 - base));
}

static double cusum(double sum, double step)
{
	double next = sum + step;

	return next > 0 ? next : 0;
}

/*
 * Add a batch of outcomes. base_rate is the share of bad outcomes that the
 * target's own peers show now: a fault that all share is no evidence against
 * one of them.
 */
void tr_evidence_add(struct tr_evidence *ev, const struct tr_batch *batch,
		     double base_rate, apr_time_t now)
{
	double step = log_likelihood(batch->well, batch->bad, base_rate);
	double source = cusum(ev->by_source[batch->source], step);

	ev->all = cusum(ev->all, step);
	if (batch->vantage >= 0 && batch->vantage < TR_MAX_VANTAGES)
		ev->here[batch->vantage] =
			cusum(ev->here[batch->vantage], step);
	ev->by_source[batch->source] = (float)source;
	ev->source_at[batch->source] = now;
	ev->recent_well += batch->well;
	ev->recent_bad += batch->bad;
}

/*
 * Turn a source's running totals into what is new of them. Totals make lost,
 * doubled and reordered messages harmless: a smaller total is an old message
 * and gives false.
 */
bool tr_evidence_heard(struct tr_evidence *ev, unsigned source,
		       struct tr_counts total, struct tr_batch *batch)
{
	struct tr_counts *last = &ev->heard[source];

	if (total.well < last->well || total.bad < last->bad)
		return false;
	batch->source = source;
	batch->well = total.well - last->well;
	batch->bad = total.bad - last->bad;
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

	if (!ev->decayed_at)
		keep = 1;
	ev->decayed_at = now;
	ev->all *= keep;
	for (int i = 0; i < TR_MAX_VANTAGES; i++)
		ev->here[i] *= keep;
	for (int i = 0; i < TR_SOURCES; i++)
		ev->by_source[i] *= (float)keep;
	ev->recent_well *= keep;
	ev->recent_bad *= keep;
}

/* Drop the sums but not the totals, when a target is given another chance. */
void tr_evidence_clear(struct tr_evidence *ev)
{
	ev->all = 0;
	memset(ev->here, 0, sizeof(ev->here));
	memset(ev->by_source, 0, sizeof(ev->by_source));
	ev->recent_well = 0;
	ev->recent_bad = 0;
}

/* A source was replaced by another process, whose totals start at zero. */
void tr_evidence_forget_source(struct tr_evidence *ev, unsigned source)
{
	memset(&ev->heard[source], 0, sizeof(ev->heard[source]));
	ev->by_source[source] = 0;
	ev->source_at[source] = 0;
}

/* The share of recent outcomes that were bad, drawn to 0 while few. */
double tr_evidence_rate(const struct tr_evidence *ev)
{
	return ev->recent_bad /
	       (ev->recent_bad + ev->recent_well + RATE_PRIOR);
}

static bool agreed(const struct tr_evidence *ev,
		   const struct tr_evidence_rules *rules, apr_time_t now)
{
	unsigned active = 0;
	unsigned accusing = 0;

	for (int i = 0; i < TR_SOURCES; i++) {
		if (!ev->source_at[i] || now - ev->source_at[i] > ACTIVE_US)
			continue;
		active++;
		accusing += ev->by_source[i] >
			    rules->sick * SECOND_OPINION;
	}
	return accusing >= 2 || active < 2;
}

/*
 * Is the sum (ev->all, or one of ev->here) enough to call the target sick?
 * Where the team is cautious, one VM's word is not, unless it is alone.
 */
bool tr_evidence_sick(const struct tr_evidence *ev,
		      const struct tr_evidence_rules *rules, double sum,
		      apr_time_t now)
{
	if (sum < rules->sick)
		return false;
	return !rules->corroborate || agreed(ev, rules, now);
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
