/*
 * Demand on services by flow: the requests of one organisation for one service
 * at one rank. The VMs of a group report running totals to each other, and the
 * groups of VMs report rates.
 */
#ifndef TR_FLOW_H
#define TR_FLOW_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

#include "index.h"

/* Most flows that a VM keeps. */
#define TR_FLOWS_MAX 4096

/*
 * Time constant of the fast rates, in s. It is below the usual age of what VMs
 * know of each other, so that averaging adds little to that delay.
 */
#define TR_FLOW_FAST_S 0.05

/* Names as hashes; organisation 0 means none. Rank 0 is the most urgent. */
struct tr_flow_key {
	uint32_t service;
	uint32_t organisation;
	uint32_t rank;
};

/*
 * Running totals of one VM for one flow: requests that arrived, and those of
 * them that were admitted. They wrap around.
 */
struct tr_flow_totals {
	uint16_t arrived;
	uint16_t admitted;
};

/* Rates reported by another group of VMs, in requests a second. */
struct tr_flow_group {
	uint64_t group;
	double rate;
	/* The same, averaged over some reports. */
	double rate_smooth;
	apr_time_t reported_at;
};

/* One flow, as one VM keeps it. */
struct tr_flow {
	struct tr_flow_key key;
	/* This VM's totals, to be reported to the others. */
	struct tr_flow_totals own;
	bool changed;
	/* Arrivals a second at the group, with two time constants. */
	double rate_fast;
	double rate_smooth;
	apr_time_t decayed_at;
	/* Requests a second of the fleet over the last half minute. */
	double rate_usual;
	apr_time_t usual_since;
	apr_time_t usual_at;
	/* When a request of the flow was last heard of. */
	apr_time_t used_at;
	struct tr_flow_group *groups;
	unsigned groups_count;
	/*
	 * Part of the flow's requests that is refused, from 0 to 1, by the last
	 * tr_overload_update, and the verdict that they get (enum
	 * tr_overload_verdict).
	 */
	double refused;
	int refused_as;
};

/* All flows that a VM keeps. */
struct tr_flows {
	struct tr_flow *rows;
	unsigned count;
	unsigned capacity;
	struct tr_index by_key;
	/* Rows at which the next messages continue. */
	uint32_t next_reported;
	uint32_t next_rate;
};

struct tr_flow *tr_flows_find_or_add(struct tr_flows *flows,
				     const struct tr_flow_key *key,
				     apr_time_t now);
void tr_flows_expire(struct tr_flows *flows, apr_time_t now);
void tr_flows_release(struct tr_flows *flows);
void tr_flow_arrived(struct tr_flow *f, apr_time_t now);
void tr_flow_admitted(struct tr_flow *f, apr_time_t now);
void tr_flow_reported(struct tr_flow *f, const struct tr_flow_totals *before,
		      const struct tr_flow_totals *reported, apr_time_t now);
void tr_flow_group_reported(struct tr_flow *f, uint64_t group, double rate,
			    apr_time_t now);
double tr_flow_group_rate(const struct tr_flow *f, apr_time_t now);
double tr_flow_rate(const struct tr_flow *f, apr_time_t now);
double tr_flow_rate_smooth(const struct tr_flow *f, double heard_share,
			   apr_time_t now);
double tr_flow_rate_usual(struct tr_flow *f, apr_time_t now);
double tr_flow_rate_fast(const struct tr_flow *f, double heard_share,
			 apr_time_t now);

#endif
