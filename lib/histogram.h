#ifndef TR_HISTOGRAM_H
#define TR_HISTOGRAM_H

/* A latency histogram with fixed bounds, for exported metrics. */
#include <apr_time.h>
#include <stdint.h>

#define TR_HISTOGRAM_BOUNDS 13

/* Starts all zero. */
struct tr_histogram {
	/* Requests per bucket; the last bucket has no upper bound. */
	uint32_t count[TR_HISTOGRAM_BOUNDS + 1];
	double sum_s;
};

void tr_histogram_add(struct tr_histogram *h, apr_time_t took);
double tr_histogram_bound(unsigned bucket);
uint64_t tr_histogram_cumulative(const struct tr_histogram *h, unsigned bucket);

#endif
