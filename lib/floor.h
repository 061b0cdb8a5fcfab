#ifndef TR_FLOOR_H
#define TR_FLOOR_H

/*
 * The floor of a service: the minimum share of its healthy targets that must
 * have had a request recently. A check looks at all targets of a service once
 * and picks the idle target, if any, that the next request must go to.
 */
#include "roster.h"

/* Idle targets that one check keeps at most. */
#define TR_FLOOR_IDLE_MAX 32

/* The rotation by which the VMs of a group send the floor's requests. */
struct tr_floor_rotation {
	/* This VM's number among the VMs that send requests, from 0. */
	unsigned rank;
	/* How many VMs send requests; 0 or 1 if this VM knows of no other. */
	unsigned vms;
};

/* An idle target that needs a request. */
struct tr_floor_idle {
	uint32_t row;
	uint32_t target;
	/* The probability that it is gray, from 0 to 1. */
	double risk;
	/* Time since it counts as idle, in us. */
	apr_time_t idle_for;
	/* Time until a request must have been sent to it, in us. */
	apr_time_t remaining;
};

/*
 * The state of one service's targets. The three sums count each target by its
 * probability of being healthy.
 */
struct tr_floor_check {
	struct tr_floor_rotation rotation;
	/* A target that had no request for so long is idle. */
	apr_time_t idle_after;
	/* So many requests fail that operators check the share in use. */
	bool high_failure_rate;
	/* Targets that had a request within idle_after. */
	double active;
	/* Those of them that have no request in flight. */
	double active_unloaded;
	/* Targets that are idle. */
	double idle_healthy;
	/* The idle targets that can take a request, the least risky first. */
	struct tr_floor_idle idle[TR_FLOOR_IDLE_MAX];
	unsigned idle_count;
};

/* Recent requests of a service. */
struct tr_floor_load {
	/* How many ended recently. */
	double outcomes;
	/* The share of these that failed, from 0 to 1. */
	double failure_ratio;
	/* Requests per second. */
	double rate;
};

/* Whether a target counts as idle, or why it doesn't. */
enum tr_floor_target_state {
	/* It had a request recently. */
	TR_FLOOR_ACTIVE,
	/* A request failed there recently. */
	TR_FLOOR_FAILED_LATELY,
	/* It was listed only just now. */
	TR_FLOOR_NEW,
	/* Its newest request is still in flight. */
	TR_FLOOR_IN_FLIGHT,
	TR_FLOOR_IDLE,
};

/* Whether a service meets its floor. */
enum tr_floor_verdict {
	TR_FLOOR_ENOUGH,
	/* It doesn't, but gets too few requests to meet it. */
	TR_FLOOR_FEW_REQUESTS,
	TR_FLOOR_SHORT,
};

void tr_floor_check_init(struct tr_floor_check *check, bool may_repeat);
void tr_floor_check_set_rotation(struct tr_floor_check *check,
				 const struct tr_floor_rotation *rotation);
void tr_floor_check_set_load(struct tr_floor_check *check,
			     const struct tr_floor_load *load);
enum tr_floor_target_state
tr_floor_target_state(const struct tr_floor_check *check,
		      const struct tr_instance *row, apr_time_t now);
void tr_floor_check_add(struct tr_floor_check *check,
			const struct tr_instance *row, uint32_t row_index,
			double risk, bool can_send, apr_time_t now);
enum tr_floor_verdict tr_floor_verdict(const struct tr_floor_check *check,
				       double share,
				       const struct tr_floor_load *load,
				       double *missing);
uint32_t tr_floor_check_pick(const struct tr_floor_check *check, double share,
			     const struct tr_floor_load *load, double uniform);

#endif
