#ifndef TR_SPREAD_H
#define TR_SPREAD_H

#include "hash.h"
#include "membership.h"

/* Where a VM that lacks the newest of what it asks for stands in getting it. */
struct tr_spread {
	enum tr_resource what;
	uint64_t wanted;
	uint64_t held_before;
	apr_time_t lacking_since;
	apr_time_t ask_at;
	uint32_t turned_away_by;
};

/* What a VM may hand out: its link, and until when that is taken. */
struct tr_spread_link {
	double bytes_a_second;
	apr_time_t taken_until;
};

uint64_t tr_spread_newest_revision(const struct tr_membership *m,
				   enum tr_resource what, apr_time_t now);
const struct tr_node *tr_spread_choose_source(struct tr_spread *s,
					      const struct tr_membership *m,
					      uint64_t held, uint64_t refused,
					      struct tr_random *random,
					      apr_time_t now);
void tr_spread_failed(struct tr_spread *s, uint32_t holder,
		      struct tr_random *random, apr_time_t now);
bool tr_spread_link_reserve(struct tr_spread_link *link, size_t bytes,
			    apr_time_t now);

#endif
