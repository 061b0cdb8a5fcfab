/* Choice of the VM through which a target is reached. */
#ifndef TR_RELAY_H
#define TR_RELAY_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

#include "hash.h"
#include "membership.h"

/* VMs that are asked for one connection at most: with four in five cut off, one
 * in fifty of such series finds none. */
#define TR_RELAY_MAX_ASKED 18
/* VMs that are remembered as having no path to some service. */
#define TR_RELAY_DECLINED 64

/* VMs that recently did not connect to a service's targets. */
struct tr_relay_memory {
	struct {
		uint32_t ip;
		uint32_t service;
		apr_time_t until;
	} declined[TR_RELAY_DECLINED];
	unsigned next;
};

struct tr_relay_request {
	uint32_t service;
	const char *target_data_centre;
	/* The VMs asked before, by address. */
	const uint32_t *asked;
	unsigned asked_count;
};

bool tr_relay_is_alone(const struct tr_membership *m, apr_time_t up_for,
		       apr_time_t now);
void tr_relay_declined(struct tr_relay_memory *memory, uint32_t ip,
		       uint32_t service, apr_time_t now);
const struct tr_node *tr_relay_choose(const struct tr_membership *m,
				      const struct tr_relay_memory *memory,
				      const struct tr_relay_request *req,
				      struct tr_random *random, apr_time_t now);

#endif
