#include "latency.h"

#include <math.h>

#define LEAST	     64.0
#define PER_DOUBLING 6.0
#define HALF_LIFE    8000000.0
#define DECAY_STEP   250000

static int bucket_of(apr_time_t took)
{
	double b = took > LEAST ? log2((double)took / LEAST) * PER_DOUBLING : 0;

	return b >= TR_LATENCY_BUCKETS ? TR_LATENCY_BUCKETS - 1 : (int)b;
}

static void decay(struct tr_latency *l, apr_time_t now)
{
	float keep;

	if (now - l->decayed_at < DECAY_STEP)
		return;
	keep = (float)exp2(-(double)(now - l->decayed_at) / HALF_LIFE);
	for (int i = 0; i < TR_LATENCY_BUCKETS; i++)
		l->counts[i] *= keep;
	l->total *= keep;
	l->decayed_at = now;
}

/* Count one answer that took that many microseconds. */
void tr_latency_add(struct tr_latency *l, apr_time_t took, apr_time_t now)
{
	decay(l, now);
	l->counts[bucket_of(took)] += 1;
	l->total += 1;
}

/* The upper bound, in us, of the bucket that holds quantile q; 0 if empty. */
apr_time_t tr_latency_quantile(const struct tr_latency *l, double q)
{
	double want = l->total * q;
	double sum = 0;

	if (l->total < 1)
		return 0;
	for (int i = 0; i < TR_LATENCY_BUCKETS; i++) {
		sum += l->counts[i];
		if (sum >= want)
			return (apr_time_t)(LEAST *
					    exp2((i + 1) / PER_DOUBLING));
	}
	return (apr_time_t)(LEAST * exp2(TR_LATENCY_BUCKETS / PER_DOUBLING));
}
