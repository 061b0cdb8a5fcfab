/*
 * Spreads the routes and the list of targets between VMs, so that few VMs read
 * them from the platform.
 */
#ifndef TR_SPREAD_H
#define TR_SPREAD_H

#include "hash.h"
#include "membership.h"

/* State of fetching the newest revision of one kind of data from another VM. */
struct tr_spread {
	enum tr_resource what;
	/*
	 * Newest revision that other VMs were known to have, at the last check.
	 */
	uint64_t newest_seen;
	/* Revision that this VM held at the last check. */
	uint64_t last_held;
	apr_time_t outdated_since;
	/* Earliest time of the next request. */
	apr_time_t next_request_at;
	/* Address of the VM that last failed to serve the revision, or 0. */
	uint32_t refused_by;
};

/* Outgoing link on which this VM serves copies, and how far it is booked. */
struct tr_spread_link {
	double bytes_a_second;
	apr_time_t busy_until;
};

uint64_t tr_spread_newest_revision(const struct tr_membership *m,
				   enum tr_resource what, apr_time_t now);
const struct tr_node *tr_spread_choose_source(struct tr_spread *s,
					      const struct tr_membership *m,
					      uint64_t held, uint64_t refused,
					      struct tr_random *random,
					      apr_time_t now);
bool tr_spread_should_abandon(const struct tr_spread *s,
			      const struct tr_membership *m, uint32_t source,
			      uint64_t held, apr_time_t now);
void tr_spread_failed(struct tr_spread *s, uint32_t source,
		      struct tr_random *random, apr_time_t now);
bool tr_spread_link_reserve(struct tr_spread_link *link, size_t bytes,
			    apr_time_t now);

#endif
