/* Which VMs forward a message within the other data centres of this group. */
#ifndef TR_FORWARDER_H
#define TR_FORWARDER_H

#include "hash.h"
#include "membership.h"

#define TR_FORWARDERS_MAX 64

unsigned tr_forwarders_draw(const struct tr_membership *m,
			    struct tr_random *random,
			    const struct tr_node *drawn[TR_FORWARDERS_MAX],
			    apr_time_t now);

#endif
