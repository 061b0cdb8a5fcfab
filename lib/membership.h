#ifndef TR_MEMBERSHIP_H
#define TR_MEMBERSHIP_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

#include "allowance.h"
#include "gray.h"
#include "index.h"
#include "limit.h"
#include "roster.h"

#define TR_RETIRED_BOOTS 2
#define TR_SEEDS_MAX	 8
#define TR_NO_GROUP	 UINT16_MAX

/* What a VM may hold that others fetch from it. */
enum tr_resource {
	TR_RESOURCE_ROUTES,
	TR_RESOURCE_LIST,
	TR_RESOURCES,
};

/* What a VM last told of one target: its outcomes and what it has there. */
struct tr_report {
	uint32_t target;
	struct tr_symptom_totals totals;
	uint16_t in_flight;
};

/* How many requests a VM last told that it had sent to a target with a limit.
 */
struct tr_sent_report {
	uint32_t target;
	uint16_t sent;
};

/* What a VM last told of the requests for one service, and when; purse: the
 * repeats that it may have saved up since. */
struct tr_work_report {
	uint32_t service;
	struct tr_work_totals totals;
	struct tr_repeat_purse purse;
	apr_time_t at;
};

/* What a VM last told of the requests of one organisation. */
struct tr_limit_report {
	uint32_t name;
	struct tr_limit_totals totals;
};

/*
 * An entry VM, by its address. boot is drawn anew at each start. near: it is of
 * this VM's group. here: of its data centre. held: the revision of the routes
 * that it has in force, and 1 where it has a list of targets. gap: the usual
 * time between two of its messages. proven_at: until when its configuration is
 * proven, as it said in passing. reports_work: it may have requests in flight.
 */
struct tr_node {
	uint32_t ip;
	uint16_t group;
	bool near;
	bool here;
	uint64_t boot;
	uint64_t retired[TR_RETIRED_BOOTS];
	unsigned retired_next;
	uint64_t sequence;
	uint64_t first_sequence;
	apr_time_t boot_heard_at;
	char data_centre[TR_ID_MAX + 1];
	apr_time_t heard_at;
	apr_time_t gap;
	apr_time_t called_at;
	bool seed;
	bool ready;
	bool leaving;
	bool cannot_read;
	uint64_t held[TR_RESOURCES];
	apr_time_t proven_at;
	bool reports_work;
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
};

/* What one message says of its sender; requests and targets come apart. A
 * proof_age below 0: there is no proof. */
struct tr_node_status {
	uint32_t ip;
	uint64_t boot;
	uint64_t sequence;
	const char *data_centre;
	bool ready;
	bool leaving;
	bool cannot_read;
	uint64_t held[TR_RESOURCES];
	unsigned fleet_size;
	apr_time_t proof_age;
};

/* VMs of one data centre that tell each other all they see; see group.c. */
struct tr_group {
	char data_centre[TR_ID_MAX + 1];
	unsigned part;
	uint64_t name;
	unsigned count;
	unsigned alive;
	unsigned alive_before;
};

/*
 * All VMs ever heard of; row 0 is this one. size_reported is the largest size
 * of the fleet that any VM told. generation changes with the groups and with
 * which of them have VMs that live.
 */
struct tr_membership {
	struct tr_node *nodes;
	unsigned count;
	unsigned room;
	struct tr_index by_ip;
	struct tr_group *groups;
	unsigned groups_count;
	unsigned near_count;
	unsigned size_reported;
	bool heard_any;
	uint32_t generation;
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
				    const struct tr_node_status *news,
				    apr_time_t now);
unsigned tr_membership_size(const struct tr_membership *m);
struct tr_report *tr_node_report(struct tr_node *node, uint32_t target);
struct tr_sent_report *tr_node_sent_report(struct tr_node *node,
					   uint32_t target);
struct tr_limit_report *tr_node_limit_report(struct tr_node *node,
					     uint32_t name);
struct tr_node *tr_membership_receive(struct tr_membership *m,
				      const struct tr_node_status *news,
				      apr_time_t now, bool *restarted);
apr_time_t tr_membership_period(const struct tr_membership *m, apr_time_t now);
bool tr_node_alive(const struct tr_membership *m, const struct tr_node *node,
		   apr_time_t now);
bool tr_node_heard_recently(const struct tr_membership *m,
			    const struct tr_node *node, apr_time_t now);
bool tr_node_heard_from_start(const struct tr_node *node, apr_time_t now);
bool tr_node_takes_callers(const struct tr_membership *m,
			   const struct tr_node *node, apr_time_t now);
struct tr_node *tr_membership_next_lost(struct tr_membership *m,
					apr_time_t now);
unsigned tr_membership_alive(const struct tr_membership *m, apr_time_t now);
double tr_membership_recent_share(const struct tr_membership *m,
				  apr_time_t now);
unsigned tr_membership_rank(const struct tr_membership *m, apr_time_t now,
			    unsigned *vms);
unsigned tr_membership_read_rank(const struct tr_membership *m, apr_time_t now);
bool tr_membership_is_reader(const struct tr_membership *m, apr_time_t now);

#endif
