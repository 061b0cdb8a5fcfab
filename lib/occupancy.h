/*
 * Estimates how long a service's requests occupy a slot, over all VMs that
 * report, from requests in flight and completions (Little's law).
 */
#ifndef TR_OCCUPANCY_H
#define TR_OCCUPANCY_H

#include <apr_time.h>

/* Starts all zero. */
struct tr_occupancy {
	/* Completions a second, decayed, as of ended_at. */
	double rate;
	apr_time_t ended_at;
	/* When counting began, and the mean requests in flight since. */
	apr_time_t counting_since;
	double in_flight;
	apr_time_t updated_at;
	/* The estimate in us; 0 until there is one. */
	double work_us;
};

void tr_occupancy_ended(struct tr_occupancy *o, unsigned n, apr_time_t now);
void tr_occupancy_update(struct tr_occupancy *o, double in_flight, double slots,
			 apr_time_t now);
apr_time_t tr_occupancy_work(const struct tr_occupancy *o, apr_time_t unknown);

#endif
