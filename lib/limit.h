/*
 * Rate limits of organisations. The VMs of a group report what they admitted to
 * each other, and the groups divide a limit by the demand that they report.
 */
#ifndef TR_LIMIT_H
#define TR_LIMIT_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

#include "hash.h"
#include "index.h"
#include "report_age.h"

/*
 * The window is kept in this many parts, plus one that is being filled, so that
 * no span of the window's length holds more requests than are counted.
 */
#define TR_LIMIT_PARTS 20
#define TR_LIMIT_SLOTS (TR_LIMIT_PARTS + 1)

/*
 * By how much a limit may be overrun in any window, from the settings: a share
 * of what it allows, plus a number of requests.
 */
struct tr_limit_bound {
	apr_time_t window;
	double over;
	double slack;
};

/*
 * The share of the fleet that this VM receives reports from, and the number of
 * groups of VMs.
 */
struct tr_limit_fleet {
	double share;
	unsigned groups;
};

/*
 * Running totals of one VM for one organisation: requests that arrived, and
 * those of them that were admitted. They wrap around.
 */
struct tr_limit_totals {
	uint16_t arrived;
	uint16_t admitted;
};

/* The last rate reported by another group of VMs, in requests a second. */
struct tr_limit_group {
	uint64_t group;
	double rate;
	apr_time_t reported_at;
	/* Requests a second at this group at that time. */
	double own_rate;
};

/* The rate limit of one organisation, as one VM keeps it. */
struct tr_limit {
	/* Hash of the organisation's name, as messages carry it. */
	uint32_t name;
	/* Requests a second, and the burst allowed on top in each window. */
	double rate;
	double burst;
	/*
	 * Requests that the VMs of the group admitted, by part of the window.
	 */
	float used[TR_LIMIT_SLOTS];
	/* Number of the current part since time 0. */
	apr_time_t slot;
	/* When this process started counting, or was last suspended. */
	apr_time_t counting_since;
	/* Requests a second at the group, with three time constants. */
	double rate_fast;
	double rate_slow;
	double rate_window;
	/* The struct tr_limit_fleet of the last decision. */
	double heard;
	unsigned fleet_groups;
	apr_time_t decayed_at;
	/* How old the reports of the group's other VMs are. */
	struct tr_report_age reports;
	/*
	 * Arrivals at this VM and at the group, over a long time, and at this
	 * VM by part of the window.
	 */
	double long_own;
	double long_group;
	float own_arrived[TR_LIMIT_SLOTS];
	/* This group's part of the demand, kept while reports are late. */
	double kept_part;
	apr_time_t part_at;
	/*
	 * Requests that VMs that started earlier than this one received, and
	 * those that they admitted, of late.
	 */
	double elders_arrived;
	double elders_admitted;
	/* This VM's totals, to be reported to the others. */
	struct tr_limit_totals own;
	bool changed;
	struct tr_limit_group *groups;
	unsigned groups_count;
};

/* All limits that a VM keeps. */
struct tr_limits {
	struct tr_limit *rows;
	unsigned count;
	unsigned capacity;
	struct tr_index by_name;
	/* Rows at which the next messages continue. */
	uint32_t next_reported;
};

uint32_t tr_limit_name_hash(const char *organisation);
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
bool tr_limit_is_flooded(const struct tr_limit *l, apr_time_t now);
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
