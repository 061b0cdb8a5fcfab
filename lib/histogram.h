#ifndef TR_HISTOGRAM_H
#define TR_HISTOGRAM_H

#include <apr_time.h>
#include <stdint.h>

#define TR_HISTOGRAM_BOUNDS 13

/* How many requests took how long; the last bucket has no bound. All zero is a
 * beginning. */
struct tr_histogram {
	uint32_t count[TR_HISTOGRAM_BOUNDS + 1];
	double sum_s;
};

void tr_histogram_add(struct tr_histogram *h, apr_time_t took);
double tr_histogram_bound(unsigned bucket);
uint64_t tr_histogram_cumulative(const struct tr_histogram *h, unsigned bucket);

#endif
