#ifndef TR_LIMIT_H
#define TR_LIMIT_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

#include "hash.h"
#include "index.h"

/* The window is kept in so many parts, and one that is being filled, so that no
 * span of the window's length holds more than is counted. */
#define TR_LIMIT_PARTS 20
#define TR_LIMIT_SLOTS (TR_LIMIT_PARTS + 1)

/* By how much operators let a limit be overrun, from the settings: in any
 * window, by a part of what it allows and so many requests. */
struct tr_limit_bound {
	apr_time_t window;
	double over;
	double slack;
};

/* The part of the fleet that is heard, and into how many groups it is split. */
struct tr_limit_fleet {
	double share;
	unsigned groups;
};

/* Running totals of one VM for one organisation: requests that came, and those
 * of them that were let through; they wrap around. */
struct tr_limit_totals {
	uint16_t came;
	uint16_t admitted;
};

/* What another group of VMs told last: requests a second it gets. */
struct tr_limit_group {
	uint64_t group;
	double rate;
	apr_time_t reported_at;
};

/*
 * The limit of one organisation, as one VM keeps it: rate requests a second and
 * a burst on top in each window. used is what the VMs of its group let through,
 * by parts of the window; fast, slow and steady are requests a second that they
 * get, over different spans; heard and groups_all are what of the fleet was
 * heard when this VM looked last. own is what it adds, to be told to the
 * others.
 */
struct tr_limit {
	uint32_t name;
	double rate;
	double burst;
	float used[TR_LIMIT_SLOTS];
	apr_time_t slot;
	apr_time_t known_since;
	double fast;
	double slow;
	double steady;
	double heard;
	unsigned groups_all;
	apr_time_t at;
	struct tr_limit_totals own;
	bool changed;
	struct tr_limit_group *groups;
	unsigned groups_count;
};

/* All limits that a VM keeps. next_told and next_demand: where the next message
 * goes on. */
struct tr_limits {
	struct tr_limit *rows;
	unsigned count;
	unsigned room;
	struct tr_index by_name;
	uint32_t next_reported;
	uint32_t next_demand;
};

uint32_t tr_limit_name(const char *organisation);
struct tr_limit *tr_limits_find(struct tr_limits *limits, uint32_t name);
uint32_t tr_limits_find_or_add(struct tr_limits *limits,
			       const char *organisation);
void tr_limits_restart(struct tr_limits *limits, apr_time_t now);
void tr_limits_release(struct tr_limits *limits);
void tr_limit_set(struct tr_limit *l, double rate, double burst,
		  apr_time_t now);
void tr_limit_reported(struct tr_limit *l, const struct tr_limit_bound *bound,
		       const struct tr_limit_totals *before,
		       const struct tr_limit_totals *reported, apr_time_t now);
void tr_limit_group_reported(struct tr_limit *l, uint64_t group, double rate,
			     apr_time_t now);
double tr_limit_group_share(const struct tr_limit *l, apr_time_t now);
double tr_limit_demand(const struct tr_limit *l, apr_time_t now);
void tr_limit_arrived(struct tr_limit *l, const struct tr_limit_bound *bound,
		      apr_time_t now);
bool tr_limit_admit(struct tr_limit *l, const struct tr_limit_bound *bound,
		    const struct tr_limit_fleet *heard,
		    struct tr_random *random, apr_time_t now);
double tr_limit_used(const struct tr_limit *l);
apr_time_t tr_limit_retry_after(const struct tr_limit *l,
				const struct tr_limit_bound *bound,
				struct tr_random *random);

#endif
