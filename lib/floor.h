#ifndef TR_FLOOR_H
#define TR_FLOOR_H

#include "roster.h"

/* Targets that may be due at the same time. */
#define TR_FLOOR_IDLE_MAX 32

/* This VM's rank among those of its group that send requests, and how many
 * there are, 0 or 1 where it knows of no other. */
struct tr_floor_rotation {
	unsigned rank;
	unsigned vms;
};

/* A target that has had no request for a while: for how long one has been due,
 * and how much time is left until it must have one. */
struct tr_floor_idle {
	uint32_t row;
	uint32_t target;
	double risk;
	apr_time_t due_for;
	apr_time_t left;
};

/*
 * How much of a service is at work: its targets, each by the chance that it is
 * well; those that had a request within idle_after, of them those at rest,
 * which have none in flight; and those that are idle, the one with the least
 * time left first. high_failure_rate: so many requests fail that operators look
 * at which targets are at work.
 */
struct tr_floor_check {
	struct tr_floor_rotation turns;
	apr_time_t idle_after;
	bool high_failure_rate;
	double active;
	double active_unloaded;
	double idle_healthy;
	struct tr_floor_idle idle[TR_FLOOR_IDLE_MAX];
	unsigned idle_count;
};

/* What came of a service's requests lately: how many ended, the part of them
 * that failed, and how many a second come. */
struct tr_floor_load {
	double outcomes;
	double failure_ratio;
	double rate;
};

/* How a target stands with the floor: it had a request lately, or got none and
 * is not asked for one since it failed lately, has just come or has a request
 * in flight, or it is idle. */
enum tr_floor_target_state {
	TR_FLOOR_ACTIVE,
	TR_FLOOR_FAILED_LATELY,
	TR_FLOOR_NEW,
	TR_FLOOR_IN_FLIGHT,
	TR_FLOOR_IDLE,
};

/* What the floor asks for of a service. */
enum tr_floor_verdict {
	TR_FLOOR_ENOUGH,
	TR_FLOOR_FEW_REQUESTS,
	TR_FLOOR_SHORT,
};

void tr_floor_check_init(struct tr_floor_check *check, bool may_repeat);
void tr_floor_check_set_rotation(struct tr_floor_check *check,
				 const struct tr_floor_rotation *turns);
void tr_floor_check_set_load(struct tr_floor_check *check,
			     const struct tr_floor_load *load);
enum tr_floor_target_state
tr_floor_target_state(const struct tr_floor_check *check,
		      const struct tr_instance *row, apr_time_t now);
void tr_floor_check_add(struct tr_floor_check *check,
			const struct tr_instance *row, uint32_t at, double risk,
			bool fits, apr_time_t now);
enum tr_floor_verdict tr_floor_verdict(const struct tr_floor_check *check,
				       double share,
				       const struct tr_floor_load *load,
				       double *missing);
uint32_t tr_floor_check_pick(const struct tr_floor_check *check, double share,
			     const struct tr_floor_load *load, double drawn);

#endif
