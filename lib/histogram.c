/*
 * Latencies by fixed bounds, as scrapers of metrics add them up over VMs.
 * HdrHistogram, the usual library, is packaged for Java and Go only here, and
 * keeps thousands of buckets where a fleet's dashboards need a dozen that are
 * the same on all VMs.
 */
#include "histogram.h"

/* In seconds, from a round trip inside a data centre to the longest deadline,
 * each about twice the one before. */
static const double bounds[TR_HISTOGRAM_BOUNDS] = {
	0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10,
};

/* Count one that took so long, in us. */
void tr_histogram_add(struct tr_histogram *h, apr_time_t took)
{
	double s = (double)took / 1e6;
	unsigned i = 0;

	while (i < TR_HISTOGRAM_BOUNDS && s > bounds[i])
		i++;
	h->count[i]++;
	h->sum_s += s;
}

/* The upper bound of a bucket, in seconds. */
double tr_histogram_bound(unsigned bucket)
{
	return bounds[bucket];
}

/* How many are in the bucket or in one before it; of TR_HISTOGRAM_BOUNDS: how
 * many there are. */
uint64_t tr_histogram_cumulative(const struct tr_histogram *h, unsigned bucket)
{
	uint64_t n = 0;

	for (unsigned i = 0; i <= bucket; i++)
		n += h->count[i];
	return n;
}
