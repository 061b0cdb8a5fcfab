/* Decides which part of a service's requests leaves this VM's data centre. */
#ifndef TR_CROSSING_H
#define TR_CROSSING_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

#include "hash.h"
#include "roster.h"

/* Data centres of one service that are considered; further ones get nothing. */
#define TR_CROSSING_CENTRES 16

/* A data centre with targets of the service, as this VM sees it. */
struct tr_crossing_centre {
	char data_centre[TR_ID_MAX + 1];
	/* Requests a second that its usable targets can serve, and those that
	 * would keep as many in flight as there are. */
	double capacity;
	double load;
	/* The part of the load that the VMs of this data centre have sent, and
	 * the rest of it, smoothed for longer. */
	double sent;
	double others_load;
	/* Targets there are of another group, and the load that this VM's group
	 * has sent is known of each. */
	bool sent_known;
	/* Requests a second that may be sent there. */
	double room;
	/* Part of this data centre's requests that is to go there. */
	double fraction;
	/* When a VM there was last heard; never is 0. */
	apr_time_t heard_at;
	/* Mean time to connect to a target there, 0 if not known. */
	double connect_us;
	/* Connections in a row that this VM could not make itself. */
	unsigned failures;
	apr_time_t tried_at;
};

/* Arrival rates per second over a short and a long time. */
struct tr_crossing_demand {
	double fast;
	double slow;
	apr_time_t at;
};

/* One service's decision. Starts all zero. The first centre is the home. */
struct tr_crossing {
	struct tr_crossing_centre centres[TR_CROSSING_CENTRES];
	unsigned centres_count;
	/* Requests that callers send to the VMs of this data centre. */
	struct tr_crossing_demand demand;
	/* The same for all its groups, when last updated. */
	double demand_rate;
	/* Mean work time, smoothed. */
	double work_us;
	/* Targets at home have been full, and have not been idle since. */
	bool home_full;
	/* Home is short: a request stays there unless it is drawn to leave. */
	bool is_short;
	/* Part of the requests that leaves. */
	double fraction;
	/* Sum of the fractions of the requests since one left. */
	double position;
	bool position_drawn;
	/* Mean bytes of a request and its answer. */
	double usual_bytes;
	apr_time_t updated_at;
	double logged_fraction;
	apr_time_t logged_at;
};

/* What an update needs to know beside the roster. */
struct tr_crossing_input {
	uint32_t service;
	const char *data_centre;
	/* Mean work time without queueing, and the latency aim. */
	apr_time_t work;
	apr_time_t aim;
	/* VMs of this data centre, relative to those among them that report
	 * their arrivals to this VM. */
	double vms_per_heard;
};

void tr_crossing_arrived(struct tr_crossing *c, unsigned requests,
			 apr_time_t now);
void tr_crossing_answered(struct tr_crossing *c, uint64_t bytes);
void tr_crossing_heard(struct tr_crossing *c, const char *data_centre,
		       apr_time_t at);
void tr_crossing_connected(struct tr_crossing *c, const char *data_centre,
			   apr_time_t took, apr_time_t now);
void tr_crossing_unreached(struct tr_crossing *c, const char *data_centre,
			   apr_time_t now);
void tr_crossing_update(struct tr_crossing *c, const struct tr_roster *roster,
			const struct tr_crossing_input *in, apr_time_t now);
const char *tr_crossing_draw(struct tr_crossing *c, uint64_t body_bytes,
			     bool is_first, struct tr_random *random);
bool tr_crossing_log_due(struct tr_crossing *c, apr_time_t now);

#endif
