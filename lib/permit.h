/*
 * Ejection orders. The VMs of a cell elect an owner for each service; only its
 * orders, which are leases, allow a VM to stop using a target, so that the cell
 * as a whole never goes below the service's floor.
 */
#ifndef TR_PERMIT_H
#define TR_PERMIT_H

#include "board.h"

struct tr_gossip;

uint64_t tr_permit_owner_candidate(const struct tr_board *board,
				   const struct tr_service *svc,
				   apr_time_t now);
bool tr_permit_vote(struct tr_board *board, struct tr_service *svc,
		    uint64_t for_vm, apr_time_t now);
void tr_permit_receive_vote(struct tr_service *svc, struct tr_peer *peer,
			    bool for_me, apr_time_t now);
void tr_permit_step(struct tr_board *board, struct tr_service *svc,
		    apr_time_t now);
void tr_permit_receive_orders(struct tr_board *board, struct tr_service *svc,
			      const struct tr_peer *peer,
			      const struct tr_gossip *msg, apr_time_t now);
bool tr_permit_in_effect(const struct tr_board *board,
			 const struct tr_service *svc,
			 const struct tr_target *target, apr_time_t now);
void tr_floor_enforce(struct tr_board *board, struct tr_service *svc,
		      apr_time_t now);
unsigned tr_floor_in_use(const struct tr_service *svc, apr_time_t now);
bool tr_target_is_serving(const struct tr_target *target, apr_time_t now);

#endif
