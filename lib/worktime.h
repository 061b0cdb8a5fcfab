#ifndef TR_WORKTIME_H
#define TR_WORKTIME_H

#include <apr_time.h>

/*
 * How long a kind of work takes: the mean with the waits there were, and how
 * the logarithm of the work itself spreads. All zero is a beginning.
 */
struct tr_worktime {
	double mean_us;
	double weight;
	double log_mean;
	double log_variance;
	double log_weight;
};

void tr_worktime_add(struct tr_worktime *w, apr_time_t took);
void tr_worktime_add_uncontended(struct tr_worktime *w, apr_time_t took);
apr_time_t tr_worktime_mean(const struct tr_worktime *w, apr_time_t guess);
double tr_worktime_spread(const struct tr_worktime *w);

#endif
