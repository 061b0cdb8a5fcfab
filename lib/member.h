/*
 * The peers of a service's cell: which VMs they are, and whether they are up
 * and hear this VM.
 */
#ifndef TR_MEMBER_H
#define TR_MEMBER_H

#include "board.h"

struct tr_gossip;

void tr_member_update_cell(struct tr_board *board, struct tr_service *svc);
void tr_member_step(struct tr_board *board, struct tr_service *svc,
		    apr_time_t now);
struct tr_peer *tr_member_find(struct tr_service *svc, uint64_t vm_id);
unsigned tr_member_source(const struct tr_service *svc,
			  const struct tr_peer *peer);
enum tr_result tr_member_receive(struct tr_board *board, struct tr_service *svc,
				 struct tr_peer *peer,
				 const struct tr_gossip *msg, apr_time_t now);
bool tr_member_hears_us(const struct tr_peer *peer, apr_time_t now);

#endif
