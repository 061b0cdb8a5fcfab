/* Building, scheduling and receiving gossip messages. */
#include "gossip.h"

#include <string.h>

#include "member.h"
#include "permit.h"
#include "service.h"

static bool is_urgent(const struct tr_service *svc,
		      const struct tr_target *target, apr_time_t now)
{
	return target->avoided || tr_target_is_suspect(svc, target, now) ||
	       target->grant.kind != TR_ORDER_NONE ||
	       target->order.kind != TR_ORDER_NONE;
}

static void add_row(struct tr_gossip *msg, const struct tr_target *target)
{
	struct tr_gossip_row *row = &msg->rows[msg->rows_count++];

	row->target = target->id;
	row->well = target->evidence.own.well;
	row->bad = target->evidence.own.bad;
	row->bad_run = target->evidence.own.bad_run;
}

/*
 * Adds the rows of suspect targets, and of up to a third of the others from a
 * random one on, to keep messages short.
 */
static void add_rows(const struct tr_service *svc, uint32_t start,
		     struct tr_gossip *msg, apr_time_t now)
{
	unsigned n = svc->targets_count;
	unsigned max_rows = (n + 2) / 3;

	for (unsigned i = 0; i < n && msg->rows_count < TR_GOSSIP_ROWS; i++)
		if (is_urgent(svc, &svc->targets[i], now))
			add_row(msg, &svc->targets[i]);
	for (unsigned i = 0; i < n && msg->rows_count < max_rows; i++) {
		const struct tr_target *target = &svc->targets[(start + i) % n];

		if (!is_urgent(svc, target, now))
			add_row(msg, target);
	}
}

static void add_orders(struct tr_service *svc, struct tr_gossip *msg,
		       apr_time_t now)
{
	for (unsigned i = 0; i < svc->targets_count; i++) {
		struct tr_target *target = &svc->targets[i];
		struct tr_gossip_order *order;

		if (target->grant.kind == TR_ORDER_NONE ||
		    msg->orders_count == TR_GOSSIP_ROWS)
			continue;
		order = &msg->orders[msg->orders_count++];
		order->target = target->id;
		order->kind = target->grant.kind;
		order->vantages = target->grant.vantages;
		target->grant.lease_until = now + TR_ORDER_TTL;
	}
}

/* Builds the message that the peer should get about the service now. */
void tr_gossip_build(struct tr_board *board, struct tr_service *svc,
		     struct tr_peer *peer, uint64_t sequence,
		     struct tr_gossip *msg)
{
	apr_time_t now = tr_clock_now(&board->clock);

	memset(msg, 0, sizeof(*msg));
	memcpy(msg->service, svc->name, sizeof(msg->service));
	msg->from = board->vm_id;
	msg->to = peer->vm_id;
	msg->boot = board->boot;
	msg->sequence = sequence;
	msg->sent_at = now;
	msg->echo = peer->peer_sent_at;
	if (board->events)
		msg->hlc = tr_hlc_tick(&board->events->clock,
				       board->wall(board->wall_ctx));
	msg->list_revision = board->fleet.revision;
	msg->document_revision = svc->document_revision;
	msg->targets_revision = svc->targets_revision;
	if (board->leaving)
		msg->flags |= TR_GOSSIP_LEAVING;
	if (svc->confirmed)
		msg->flags |= TR_GOSSIP_CONFIRMED;
	if (board->suspects_itself)
		msg->flags |= TR_GOSSIP_SUSPECTS_SELF;
	if (svc->document && tr_permit_vote(board, svc, peer->vm_id, now))
		msg->flags |= TR_GOSSIP_VOTES_FOR_YOU;
	add_rows(svc, tr_random_below(&board->random, svc->targets_count), msg,
		 now);
	if (svc->vote.owner) {
		msg->flags |= TR_GOSSIP_OWNER;
		add_orders(svc, msg, now);
	}
	peer->last_sent_at = now;
}

static void receive_rows(struct tr_service *svc, const struct tr_peer *peer,
			 const struct tr_gossip *msg, apr_time_t now)
{
	unsigned source = tr_member_source(svc, peer);

	for (uint32_t i = 0; i < msg->rows_count; i++) {
		const struct tr_gossip_row *row = &msg->rows[i];
		struct tr_target *target = tr_service_target(svc, row->target);
		struct tr_outcome_totals total = { row->well, row->bad,
						   row->bad_run };
		struct tr_outcome_batch batch = { .vantage = peer->vantage };

		if (!target || !tr_evidence_diff_totals(&target->evidence,
							source, total, &batch))
			continue;
		if (peer->suspects_itself)
			continue;
		tr_evidence_add(&target->evidence, &batch, svc->base_rate, now);
	}
}

/*
 * Applies a message of a peer. Returns TR_OK, TR_NO_SERVICE if it is for
 * another VM, this VM does not serve the service or the sender is not in its
 * cell, or TR_STALE_DATAGRAM if it is old.
 */
enum tr_result tr_gossip_receive(struct tr_board *board,
				 const struct tr_gossip *msg)
{
	struct tr_service *svc = tr_board_service(board, msg->service);
	apr_time_t now = tr_clock_now(&board->clock);
	struct tr_peer *peer;
	enum tr_result res;

	if (!svc || msg->to != board->vm_id)
		return TR_NO_SERVICE;
	peer = tr_member_find(svc, msg->from);
	if (!peer)
		return TR_NO_SERVICE;
	res = tr_member_receive(board, svc, peer, msg, now);
	if (res != TR_OK)
		return res;
	if (board->events)
		tr_hlc_merge(&board->events->clock, msg->hlc,
			     board->wall(board->wall_ctx));
	receive_rows(svc, peer, msg, now);
	tr_permit_receive_vote(svc, peer, msg->flags & TR_GOSSIP_VOTES_FOR_YOU,
			       now);
	tr_permit_receive_orders(board, svc, peer, msg, now);
	return TR_OK;
}

/*
 * Returns whether it is time to send to the peer. The period is short while
 * targets are suspect, shortest when one has just begun to fail, and
 * TR_GOSSIP_PERIOD_IDLE otherwise: faults are detected fast and traffic stays
 * low without any. within_budget: if false, the idle period applies.
 */
bool tr_gossip_due(const struct tr_service *svc, const struct tr_peer *peer,
		   bool within_budget, apr_time_t now)
{
	apr_time_t period = svc->has_suspects ? TR_GOSSIP_PERIOD_ALERT
					      : TR_GOSSIP_PERIOD_IDLE;

	if (svc->last_urgent_at > peer->last_sent_at)
		period = TR_GOSSIP_PERIOD_URGENT;
	if (!within_budget)
		period = TR_GOSSIP_PERIOD_IDLE;
	return now - peer->last_sent_at >= period;
}
