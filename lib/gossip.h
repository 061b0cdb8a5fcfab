/*
 * Messages in which the VMs of a cell exchange, for one service, outcomes at
 * its targets, votes and orders.
 */
#ifndef TR_GOSSIP_H
#define TR_GOSSIP_H

#include "board.h"

/* Flags of a message. */
#define TR_GOSSIP_LEAVING	0x01
#define TR_GOSSIP_SUSPECTS_SELF 0x02
#define TR_GOSSIP_VOTES_FOR_YOU 0x04
#define TR_GOSSIP_OWNER		0x08
#define TR_GOSSIP_CONFIRMED	0x10

/* Most rows, and most orders, in one message. */
#define TR_GOSSIP_ROWS 32

/* Running totals of the sender's outcomes at one target, see evidence.h. */
struct tr_gossip_row {
	uint32_t target;
	uint32_t well;
	uint32_t bad;
	uint32_t bad_run;
};

/* An order of the service's owner for one target, see board.h. */
struct tr_gossip_order {
	uint32_t target;
	uint32_t kind;
	uint32_t vantages;
};

/*
 * A message from one VM to another about one service. Counts are running
 * totals, so that lost, duplicated and late messages do no harm. It names its
 * receiver: otherwise it could be replayed to another VM, whose leases its echo
 * would extend.
 */
struct tr_gossip {
	char service[TR_NAME_MAX + 1];
	uint64_t from;
	uint64_t to;
	struct tr_boot boot;
	uint64_t sequence;
	apr_time_t sent_at; /* on the sender's clock */
	apr_time_t echo; /* newest sent_at the sender has from the receiver */
	struct tr_hlc hlc;
	uint32_t flags;
	uint64_t list_revision;
	uint64_t document_revision;
	uint64_t targets_revision;
	uint32_t rows_count;
	struct tr_gossip_row rows[TR_GOSSIP_ROWS];
	uint32_t orders_count;
	struct tr_gossip_order orders[TR_GOSSIP_ROWS];
};

void tr_gossip_build(struct tr_board *board, struct tr_service *svc,
		     struct tr_peer *peer, uint64_t sequence,
		     struct tr_gossip *msg);
enum tr_result tr_gossip_receive(struct tr_board *board,
				 const struct tr_gossip *msg);
bool tr_gossip_due(const struct tr_service *svc, const struct tr_peer *peer,
		   bool within_budget, apr_time_t now);

#endif
