/*
 * A latency histogram with fixed bounds, so that scrapers can add up the
 * buckets of all VMs. HdrHistogram, the usual library, is packaged here for
 * Java and Go only, and keeps thousands of buckets where dashboards need a
 * dozen that are the same on all VMs.
 */
#include "histogram.h"

/* Upper bounds in seconds, from a round trip within a data centre to the
 * longest deadline, each about twice the one before. */
static const double bounds[TR_HISTOGRAM_BOUNDS] = {
	0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10,
};

/* Counts a request that took so many us. */
void tr_histogram_add(struct tr_histogram *h, apr_time_t took)
{
	double s = (double)took / 1e6;
	unsigned i = 0;

	while (i < TR_HISTOGRAM_BOUNDS && s > bounds[i])
		i++;
	h->count[i]++;
	h->sum_s += s;
}

/* Returns the upper bound of a bucket, in seconds. */
double tr_histogram_bound(unsigned bucket)
{
	return bounds[bucket];
}

/* Returns the number of requests in the bucket and those before it. With
 * TR_HISTOGRAM_BOUNDS it is the number of all requests. */
uint64_t tr_histogram_cumulative(const struct tr_histogram *h, unsigned bucket)
{
	uint64_t n = 0;

	for (unsigned i = 0; i <= bucket; i++)
		n += h->count[i];
	return n;
}
