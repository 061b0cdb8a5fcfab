#ifndef TR_MEMBERSHIP_H
#define TR_MEMBERSHIP_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

#include "allowance.h"
#include "gray.h"
#include "roster.h"

#define TR_RETIRED_BOOTS 2
#define TR_SEEDS_MAX	 8

/* What a VM last told of one target: its outcomes and what it has there. */
struct tr_told {
	uint32_t target;
	struct tr_symptom_totals totals;
	uint16_t in_flight;
};

/* What a VM last told of the requests for one service. */
struct tr_told_work {
	uint32_t service;
	struct tr_work_totals totals;
};

/* An entry VM, by its address. boot is drawn anew at each start. */
struct tr_node {
	uint32_t ip;
	uint64_t boot;
	uint64_t retired[TR_RETIRED_BOOTS];
	unsigned retired_next;
	uint64_t sequence;
	uint64_t first_sequence;
	apr_time_t heard_since;
	char data_centre[TR_ID_MAX + 1];
	apr_time_t heard_at;
	apr_time_t called_at;
	bool seed;
	bool ready;
	bool leaving;
	bool cannot_read;
	uint64_t config_revision;
	struct tr_told *told;
	unsigned told_count;
	struct tr_told_work *work;
	unsigned work_count;
};

/* What one message says of its sender; requests and targets come apart. */
struct tr_node_news {
	uint32_t ip;
	uint64_t boot;
	uint64_t sequence;
	const char *data_centre;
	bool ready;
	bool leaving;
	bool cannot_read;
	uint64_t config_revision;
};

/* All VMs ever heard of; row 0 is this one. */
struct tr_membership {
	struct tr_node *nodes;
	unsigned count;
	unsigned room;
};

int tr_membership_init(struct tr_membership *m, uint32_t ip, uint64_t boot,
		       const char *data_centre);
void tr_membership_release(struct tr_membership *m);
struct tr_node *tr_membership_learn(struct tr_membership *m, uint32_t ip);
struct tr_node *tr_membership_heard(struct tr_membership *m,
				    const struct tr_node_news *news,
				    apr_time_t now, bool *restarted);
apr_time_t tr_membership_period(const struct tr_membership *m, apr_time_t now);
bool tr_node_alive(const struct tr_membership *m, const struct tr_node *node,
		   apr_time_t now);
bool tr_node_heard_from_start(const struct tr_node *node, apr_time_t now);
bool tr_node_takes_callers(const struct tr_membership *m,
			   const struct tr_node *node, apr_time_t now);
struct tr_node *tr_membership_lost(struct tr_membership *m, apr_time_t now);
unsigned tr_membership_alive(const struct tr_membership *m, apr_time_t now);
double tr_membership_heard_share(const struct tr_membership *m, apr_time_t now);
unsigned tr_membership_rank(const struct tr_membership *m, apr_time_t now);
bool tr_membership_reads(const struct tr_membership *m, apr_time_t now);

#endif
