#ifndef TR_WORKTIME_H
#define TR_WORKTIME_H

/* Estimates how long one kind of work takes: the mean and the spread. */
#include <apr_time.h>

/* Starts all zero. */
struct tr_worktime {
	/* Mean of the response times, with the time spent in queues, and the
	 * number of answers, up to a limit. */
	double mean_us;
	double weight;
	/* Mean and variance of the logarithm of the time without queueing, and
	 * their number of answers, up to the same limit. */
	double log_mean;
	double log_variance;
	double log_weight;
};

void tr_worktime_add(struct tr_worktime *w, apr_time_t took);
void tr_worktime_add_uncontended(struct tr_worktime *w, apr_time_t took);
apr_time_t tr_worktime_mean(const struct tr_worktime *w, apr_time_t prior);
apr_time_t tr_worktime_uncontended_mean(const struct tr_worktime *w,
					apr_time_t prior);
double tr_worktime_spread(const struct tr_worktime *w);

#endif
