/* Chooses the target that a request is sent to. */
#ifndef TR_PLACE_H
#define TR_PLACE_H

#include "crossing.h"
#include "floor.h"
#include "hash.h"
#include "roster.h"
#include "route.h"

/* What the choice of a target needs to know of a request. */
struct tr_place_request {
	uint32_t service;
	/* Expected work time, and the spread of its logarithm. */
	apr_time_t expected_work;
	double spread;
	/* Age at which failures of attempts are usually detected. */
	apr_time_t failure_age;
	/* Time left until the latency aim and until the deadline. */
	apr_time_t aim_left;
	apr_time_t time_left;
	const char *data_centre;
	/* Says which requests leave the data centre; NULL if each is decided
	 * for itself. */
	struct tr_crossing *crossing;
	/* Rows of the targets that were tried before. */
	const uint32_t *tried;
	unsigned tried_count;
	uint64_t body_bytes;
	double floor_share;
	/* Whether a pooled idle connection to the target may be used. */
	bool use_pool;
	/* Whether another attempt may be sent if this one fails. */
	bool may_repeat;
	/* The chance, from 0 to 1, that the fleet's bound denies it then. */
	double repeat_denied;
	/* Work has taken longer than the latency aim for a while. */
	bool standing_queue;
	/* In an overload, the requests that other VMs probably sent and that
	 * this VM does not know of yet; otherwise 0. */
	double unseen;
	/* Requests a second that this VM's group gets for the service. */
	double request_rate;
	/* Share of the fleet that this VM receives messages from. */
	double heard_share;
	/* Expected times follow the learned speed of each target. */
	bool learn_target_speed;
	/* The body is sent only where it can be held. */
	bool bound_target_bytes;
	/* This VM's position among the VMs that send requests for the floor. */
	struct tr_floor_rotation rotation;
};

/* The chosen target and what was expected of it. */
struct tr_placement {
	uint32_t row;
	double cost;
	bool for_floor;
	/* The probability that the target is gray. */
	double risk;
	/* Expected time until a slot of the target is free. */
	apr_time_t wait;
	/* Expected work time at the target. */
	apr_time_t work;
	/*
	 * Shortest expected wait and work of all targets that are not suspects.
	 */
	apr_time_t shortest_time;
};

enum tr_place_result {
	TR_PLACE_FOUND,
	TR_PLACE_NONE_KNOWN,
	TR_PLACE_ALL_TRIED,
	TR_PLACE_TOO_LATE,
	TR_PLACE_LIMITED,
	/* All targets that serve have asked this VM to pause. */
	TR_PLACE_BACKING_OFF,
	/* No target with time can hold the body. */
	TR_PLACE_BODY_TOO_LARGE,
};

enum tr_place_result tr_place(const struct tr_roster *roster,
			      const struct tr_place_request *req,
			      struct tr_random *random, apr_time_t now,
			      struct tr_placement *placement);
apr_time_t tr_place_retry_after(const struct tr_roster *roster,
				const struct tr_place_request *req,
				struct tr_random *random, apr_time_t now);

#endif
