/* Admission control of a service whose demand exceeds its capacity. */
#ifndef TR_OVERLOAD_H
#define TR_OVERLOAD_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

#include "flow.h"
#include "hash.h"

/* What a VM knows of a service's load, over the whole fleet. */
struct tr_overload_load {
	/* Requests a second that the usable targets can serve. */
	double capacity;
	/* Requests in flight at them, and those that they serve at a time. */
	double in_flight;
	double slots;
	apr_time_t usual_work;
	/* Response time wanted. */
	apr_time_t aim;
	/* Share of the fleet that this VM receives messages from. */
	double heard_share;
};

/* Admission control of one service. All zero is a valid start. */
struct tr_overload {
	/* Requests are refused. */
	bool active;
	/* Since when more is demanded than is to be admitted, or 0. */
	apr_time_t over_since;
	/* Requests a second: of the fleet, and those that are to be admitted.
	 */
	double demand;
	double admitted;
	/* Of the load at the last update. */
	double in_flight;
	double slots;
	/* Growth of the requests in flight, a second. */
	double growth;
	double capacity;
	double backlog;
	apr_time_t aim;
	apr_time_t updated_at;
};

enum tr_overload_verdict {
	TR_OVERLOAD_ADMITTED,
	/* More urgent ranks need the capacity. */
	TR_OVERLOAD_RANK,
	/* The organisation exceeds its share of its rank's capacity. */
	TR_OVERLOAD_SHARE,
	/* More work waits, or arrives at this rank, than can be served. */
	TR_OVERLOAD_BACKLOG,
};

void tr_overload_update(struct tr_overload *o, struct tr_flows *flows,
			uint32_t service, const struct tr_overload_load *load,
			apr_time_t now);
enum tr_overload_verdict tr_overload_admit(struct tr_overload *o,
					   struct tr_flow *f, uint64_t identity,
					   struct tr_random *random,
					   apr_time_t now);
apr_time_t tr_overload_retry_after(const struct tr_overload *o,
				   const struct tr_flow *f,
				   struct tr_random *random, apr_time_t now);
double tr_overload_unseen(const struct tr_overload *o);
bool tr_overload_active(const struct tr_overload *o);

#endif
