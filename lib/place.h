#ifndef TR_PLACE_H
#define TR_PLACE_H

#include "floor.h"
#include "hash.h"
#include "roster.h"
#include "route.h"

/*
 * What a request that looks for a target is like. usual and spread tell how
 * long its work takes, failure_age how old attempts are when they turn out to
 * have failed. may_repeat: if this attempt fails, another may be sent.
 * request_rate: requests a second that this VM's group gets for the service;
 * heard: the part of the fleet that this VM hears; turns: its place among the
 * VMs that send for the floor. standing_queue: work has been taking longer than
 * the aim for a while.
 */
struct tr_place_request {
	uint32_t service;
	apr_time_t usual;
	double spread;
	apr_time_t failure_age;
	apr_time_t aim_left;
	apr_time_t time_left;
	const char *data_centre;
	const uint32_t *tried;
	unsigned tried_count;
	uint64_t body_bytes;
	double floor_share;
	bool keeps;
	bool may_repeat;
	bool standing_queue;
	double request_rate;
	double heard;
	struct tr_floor_rotation turns;
};

struct tr_placement {
	uint32_t row;
	double cost;
	bool for_floor;
	double risk;
	apr_time_t wait;
	apr_time_t shortest_time;
};

enum tr_place_result {
	TR_PLACE_FOUND,
	TR_PLACE_NONE_KNOWN,
	TR_PLACE_ALL_TRIED,
	TR_PLACE_TOO_LATE,
	TR_PLACE_LIMITED,
	TR_PLACE_RESTING,
};

enum tr_place_result tr_place(const struct tr_roster *roster,
			      const struct tr_place_request *req,
			      struct tr_random *random, apr_time_t now,
			      struct tr_placement *placing);
apr_time_t tr_place_retry_after(const struct tr_roster *roster,
				const struct tr_place_request *req,
				struct tr_random *random, apr_time_t now);

#endif
