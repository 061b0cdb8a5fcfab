#ifndef TR_PLACE_H
#define TR_PLACE_H

#include "hash.h"
#include "roster.h"
#include "route.h"

/* What a request that looks for a target is like. */
struct tr_wish {
	uint32_t service;
	enum tr_kind kind;
	apr_time_t usual;
	apr_time_t aim;
	apr_time_t aim_left;
	apr_time_t time_left;
	const char *data_centre;
	const uint32_t *tried;
	unsigned tried_count;
	uint64_t body_bytes;
	double floor_share;
	uint32_t salt;
};

struct tr_placing {
	uint32_t row;
	double cost;
	bool due;
	double risk;
	apr_time_t wait;
};

enum tr_place_result {
	TR_PLACE_FOUND,
	TR_PLACE_NONE_KNOWN,
	TR_PLACE_ALL_TRIED,
	TR_PLACE_TOO_LATE,
};

enum tr_place_result tr_place(const struct tr_roster *roster,
			      const struct tr_wish *wish,
			      struct tr_random *random, apr_time_t now,
			      struct tr_placing *placing);
apr_time_t tr_place_return_after(const struct tr_roster *roster,
				 uint32_t service, apr_time_t usual,
				 struct tr_random *random, apr_time_t now);

#endif
