#include "worktime.h"

#include <math.h>

/* Weight of the newest time once the means have settled: 1 in 40. */
#define SPAN 40.0
/* How many answers the first guess weighs as much as. */
#define GUESS_WEIGHT 3.0
/* Standard deviation of the logarithm before there are answers: between work
 * that takes nearly constant time (0.3) and work with an exponential tail
 * (about 1). It weighs as much as ten answers, since a variance takes that
 * many to settle within a half. */
#define FIRST_SPREAD  0.7
#define SPREAD_WEIGHT 10.0
/* Below this a request that met a lost packet would look like a hang. */
#define LEAST_SPREAD 0.15

/* An answer took so long in all, in us. */
void tr_worktime_add(struct tr_worktime *w, apr_time_t took)
{
	if (w->weight < SPAN)
		w->weight += 1;
	w->mean_us += ((double)took - w->mean_us) / w->weight;
}

/* One that found a slot free, at a target that is probably well. */
void tr_worktime_add_uncontended(struct tr_worktime *w, apr_time_t took)
{
	double us = took > 1000 ? (double)took : 1000;
	double off = log(us) - w->log_mean;

	if (w->log_weight < SPAN)
		w->log_weight += 1;
	w->log_mean += off / w->log_weight;
	off *= log(us) - w->log_mean;
	w->log_variance += (off - w->log_variance) / w->log_weight;
}

/* The mean, in us; guess counts until there are answers. */
apr_time_t tr_worktime_mean(const struct tr_worktime *w, apr_time_t guess)
{
	return (apr_time_t)((w->mean_us * w->weight +
			     (double)guess * GUESS_WEIGHT) /
			    (w->weight + GUESS_WEIGHT));
}

/* Standard deviation of the logarithm of the time. */
double tr_worktime_spread(const struct tr_worktime *w)
{
	double first = FIRST_SPREAD * FIRST_SPREAD * SPREAD_WEIGHT;
	double variance = (w->log_variance * w->log_weight + first) /
			  (w->log_weight + SPREAD_WEIGHT);

	return fmax(LEAST_SPREAD, sqrt(variance));
}
