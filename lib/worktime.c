/* Running mean and log-normal spread of response times. */
#include "worktime.h"

#include <math.h>

/* Largest weight of the means: once settled, the newest time counts 1 in 40. */
#define MAX_WEIGHT 40.0
/* The number of answers that the caller's prior mean weighs as much as. */
#define PRIOR_WEIGHT 3.0
/* Prior standard deviation of the logarithm: between work that takes nearly
 * constant time (0.3) and work with an exponential tail (about 1). It weighs as
 * much as ten answers, since a variance takes that many to settle within a
 * half. */
#define PRIOR_SPREAD	    0.7
#define PRIOR_SPREAD_WEIGHT 10.0
/* With a smaller spread a request delayed by a lost packet would look like a
 * hang. */
#define MIN_SPREAD 0.15

/* Adds the response time of an answer, in us, with any time it was queued. */
void tr_worktime_add(struct tr_worktime *w, apr_time_t took)
{
	if (w->weight < MAX_WEIGHT)
		w->weight += 1;
	w->mean_us += ((double)took - w->mean_us) / w->weight;
}

/* Adds the response time, in us, of a request that was not queued, at a target
 * that is probably healthy. */
void tr_worktime_add_uncontended(struct tr_worktime *w, apr_time_t took)
{
	double time_us = took > 1000 ? (double)took : 1000;
	double deviation = log(time_us) - w->log_mean;

	if (w->log_weight < MAX_WEIGHT)
		w->log_weight += 1;
	w->log_mean += deviation / w->log_weight;
	deviation *= log(time_us) - w->log_mean;
	w->log_variance += (deviation - w->log_variance) / w->log_weight;
}

/* Returns the mean response time in us. prior, a first estimate in us, counts
 * less the more answers there are. */
apr_time_t tr_worktime_mean(const struct tr_worktime *w, apr_time_t prior)
{
	return (apr_time_t)((w->mean_us * w->weight +
			     (double)prior * PRIOR_WEIGHT) /
			    (w->weight + PRIOR_WEIGHT));
}

/* Returns the mean response time in us without queueing, of a log-normal
 * distribution. prior is a first estimate as above. */
apr_time_t tr_worktime_uncontended_mean(const struct tr_worktime *w,
					apr_time_t prior)
{
	double mean_us = exp(w->log_mean + w->log_variance / 2);

	return (apr_time_t)((mean_us * w->log_weight +
			     (double)prior * PRIOR_WEIGHT) /
			    (w->log_weight + PRIOR_WEIGHT));
}

/* Returns the standard deviation of the logarithm of the response time. */
double tr_worktime_spread(const struct tr_worktime *w)
{
	double prior_variance =
		PRIOR_SPREAD * PRIOR_SPREAD * PRIOR_SPREAD_WEIGHT;
	double variance = (w->log_variance * w->log_weight + prior_variance) /
			  (w->log_weight + PRIOR_SPREAD_WEIGHT);

	return fmax(MIN_SPREAD, sqrt(variance));
}
