#ifndef TR_LATENCY_H
#define TR_LATENCY_H

/* A latency histogram whose older counts decay. */
#include <apr_time.h>
#include <stdint.h>

#define TR_LATENCY_BUCKETS 96

/* Six buckets per power of two, from 64 us. Starts all zero. */
struct tr_latency {
	float counts[TR_LATENCY_BUCKETS];
	float total;
	apr_time_t decayed_at;
};

void tr_latency_add(struct tr_latency *l, apr_time_t took, apr_time_t now);
apr_time_t tr_latency_quantile(const struct tr_latency *l, double q);

#endif
