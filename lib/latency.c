/* Decaying latency histogram with exponential buckets. */
#include "latency.h"

#include <math.h>

#define MIN_TIME_US	     64.0
#define BUCKETS_PER_DOUBLING 6.0
#define HALF_LIFE_US	     8000000.0
#define DECAY_INTERVAL_US    250000

static int bucket_of(apr_time_t took)
{
	double bucket = took > MIN_TIME_US ? log2((double)took / MIN_TIME_US) *
						     BUCKETS_PER_DOUBLING
					   : 0;

	return bucket >= TR_LATENCY_BUCKETS ? TR_LATENCY_BUCKETS - 1
					    : (int)bucket;
}

static void decay(struct tr_latency *l, apr_time_t now)
{
	float keep;

	if (now - l->decayed_at < DECAY_INTERVAL_US)
		return;
	keep = (float)exp2(-(double)(now - l->decayed_at) / HALF_LIFE_US);
	for (int i = 0; i < TR_LATENCY_BUCKETS; i++)
		l->counts[i] *= keep;
	l->total *= keep;
	l->decayed_at = now;
}

/* Counts one answer, which took so many us. */
void tr_latency_add(struct tr_latency *l, apr_time_t took, apr_time_t now)
{
	decay(l, now);
	l->counts[bucket_of(took)] += 1;
	l->total += 1;
}

/* Returns the upper bound, in us, of the bucket that holds quantile q, which is
 * between 0 and 1; 0 if there are no answers. */
apr_time_t tr_latency_quantile(const struct tr_latency *l, double q)
{
	double rank = l->total * q;
	double sum = 0;

	if (l->total < 1)
		return 0;
	for (int i = 0; i < TR_LATENCY_BUCKETS; i++) {
		sum += l->counts[i];
		if (sum >= rank)
			return (apr_time_t)(MIN_TIME_US *
					    exp2((i + 1) /
						 BUCKETS_PER_DOUBLING));
	}
	return (apr_time_t)(MIN_TIME_US *
			    exp2(TR_LATENCY_BUCKETS / BUCKETS_PER_DOUBLING));
}
