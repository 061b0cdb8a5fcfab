/*
 * Membership of the fleet of entry VMs, learned from their messages, and what
 * each VM last reported.
 */
#ifndef TR_MEMBERSHIP_H
#define TR_MEMBERSHIP_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

#include "allowance.h"
#include "flow.h"
#include "gray.h"
#include "index.h"
#include "limit.h"
#include "roster.h"

#define TR_RETIRED_BOOTS 2
#define TR_SEEDS_MAX	 8
#define TR_NO_GROUP	 UINT16_MAX

/* Data that a VM may hold and that others fetch from it. */
enum tr_resource {
	TR_RESOURCE_ROUTES,
	TR_RESOURCE_LIST,
	TR_RESOURCES,
};

/* What a VM last reported about one target: outcomes and requests in flight. */
struct tr_report {
	uint32_t target;
	struct tr_symptom_totals totals;
	uint16_t in_flight;
	/* Requests that it reported as overdue and that have not ended. */
	uint16_t overdue;
	/* When it last reported a new request there, and what used_at of the
	 * target was before. */
	apr_time_t started_at;
	apr_time_t used_before;
};

/*
 * How many requests a VM last reported to have sent to a rate-limited target.
 */
struct tr_sent_report {
	uint32_t target;
	uint16_t sent;
};

/* What a VM last reported that its requests hold at a target. */
struct tr_held_report {
	uint32_t target;
	uint32_t kilobytes;
};

/*
 * What a VM last reported about the requests for one service, and when. bucket:
 * the repeats that it may have saved up since.
 */
struct tr_work_report {
	uint32_t service;
	struct tr_work_totals totals;
	struct tr_repeat_bucket bucket;
	apr_time_t at;
};

/* What a VM last reported about the requests of one organisation. */
struct tr_limit_report {
	uint32_t name;
	struct tr_limit_totals totals;
};

/* What a VM last reported about the requests of one flow. */
struct tr_flow_report {
	struct tr_flow_key key;
	struct tr_flow_totals totals;
	bool known;
};

/* An entry VM, identified by its address. */
struct tr_node {
	uint32_t ip;
	uint16_t group;
	bool near;     /* in this VM's group */
	bool here;     /* in this VM's data centre */
	uint64_t boot; /* random, new at every start */
	uint64_t retired[TR_RETIRED_BOOTS];
	unsigned retired_next;
	uint64_t sequence;
	uint64_t first_sequence;
	uint64_t missed; /* messages lost before the last one */
	apr_time_t boot_heard_at;
	char data_centre[TR_ID_MAX + 1];
	apr_time_t heard_at;
	apr_time_t gap; /* mean time between two of its messages */
	apr_time_t probed_at;
	bool seed;
	bool ready;
	bool leaving;
	bool cannot_read; /* its last read of the store failed */
	/* The store left its reads unanswered, and nobody is known to have had
	 * an answer since. */
	bool sees_outage;
	bool cut_off; /* it can't connect to targets */
	/* The place of the routes in force among all, which rises with their
	 * version; 1 if it has a list of targets. */
	uint64_t held[TR_RESOURCES];
	apr_time_t proven_at; /* its configuration was current then */
	bool reports_work;    /* it may have requests in flight */
	uint32_t capacity;    /* in thousandths of a core; 0: not reported */
	uint32_t in_hand;     /* its requests in hand, as of load_at */
	apr_time_t load_at;
	struct tr_report *reported;
	unsigned reported_count;
	unsigned reported_capacity;
	struct tr_work_report *work;
	unsigned work_count;
	struct tr_limit_report *limits;
	unsigned limits_count;
	unsigned limits_capacity;
	struct tr_sent_report *sent;
	unsigned sent_count;
	struct tr_flow_report *flows;
	unsigned flows_count;
	unsigned flows_capacity;
	struct tr_held_report *held_at;
	unsigned held_at_count;
};

/*
 * The state of the sender in one message; reports about requests and targets
 * are passed separately.
 */
struct tr_node_status {
	uint32_t ip;
	uint64_t boot;
	uint64_t sequence;
	const char *data_centre;
	bool ready;
	bool leaving;
	bool cannot_read;
	bool sees_outage;
	bool cut_off;
	uint64_t held[TR_RESOURCES];
	uint32_t capacity;
	uint32_t in_hand;
	unsigned fleet_size;
	apr_time_t proof_age; /* below 0: no proof */
};

/*
 * VMs of one data centre that report everything they see to each other; see
 * group.c.
 */
struct tr_group {
	char data_centre[TR_ID_MAX + 1];
	unsigned part;
	uint64_t name;
	unsigned count;
	unsigned alive;
	unsigned alive_before;
};

/* Every VM ever heard of; row 0 is this one. */
struct tr_membership {
	struct tr_node *nodes;
	unsigned count;
	unsigned capacity;
	struct tr_index by_ip;
	struct tr_group *groups;
	unsigned groups_count;
	unsigned near_count;
	unsigned size_reported; /* largest fleet size that any VM reported */
	bool heard_any;
	uint32_t generation; /* changes with the groups and which are alive */
	apr_time_t alive_counted_at;
};

int tr_membership_init(struct tr_membership *m, uint32_t ip, uint64_t boot,
		       const char *data_centre);
void tr_membership_release(struct tr_membership *m);
struct tr_node *tr_membership_find_or_add(struct tr_membership *m, uint32_t ip);
struct tr_node *tr_membership_find_or_add_at(struct tr_membership *m,
					     uint32_t ip,
					     const char *data_centre);
void tr_membership_receive_indirect(struct tr_membership *m,
				    const struct tr_node_status *status,
				    apr_time_t now);
unsigned tr_membership_size(const struct tr_membership *m);
struct tr_report *tr_node_report(struct tr_node *node, uint32_t target);
struct tr_sent_report *tr_node_sent_report(struct tr_node *node,
					   uint32_t target);
struct tr_held_report *tr_node_held_report(struct tr_node *node,
					   uint32_t target);
struct tr_limit_report *tr_node_limit_report(struct tr_node *node,
					     uint32_t name);
struct tr_flow_report *tr_node_flow_report(struct tr_node *node,
					   const struct tr_flow_key *key);
struct tr_node *tr_membership_receive(struct tr_membership *m,
				      const struct tr_node_status *status,
				      apr_time_t now, bool *restarted);
apr_time_t tr_membership_period(const struct tr_membership *m, apr_time_t now);
bool tr_node_alive(const struct tr_membership *m, const struct tr_node *node,
		   apr_time_t now);
bool tr_node_heard_recently(const struct tr_membership *m,
			    const struct tr_node *node, apr_time_t now);
bool tr_membership_has_heard(const struct tr_membership *m, uint32_t ip);
bool tr_membership_hears(const struct tr_membership *m, uint32_t ip,
			 apr_time_t now);
bool tr_node_heard_from_start(const struct tr_node *node, apr_time_t now);
bool tr_node_takes_callers(const struct tr_membership *m,
			   const struct tr_node *node, apr_time_t now);
bool tr_membership_hears_ready(const struct tr_membership *m, apr_time_t now);
struct tr_node *tr_membership_next_lost(struct tr_membership *m,
					apr_time_t now);
unsigned tr_membership_alive(const struct tr_membership *m, apr_time_t now);
double tr_membership_recent_share(const struct tr_membership *m,
				  apr_time_t now);
unsigned tr_membership_rank(const struct tr_membership *m, apr_time_t now,
			    unsigned *vms);
unsigned tr_membership_read_rank(const struct tr_membership *m, apr_time_t now);
bool tr_membership_is_reader(const struct tr_membership *m, apr_time_t now);
bool tr_membership_sees_outage(const struct tr_membership *m,
			       apr_time_t last_answer);

#endif
