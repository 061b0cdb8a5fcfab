#include "member.h"

#include <stdio.h>
#include <string.h>

#include "gossip.h"

/* The peer with that VM id, or NULL. */
struct tr_peer *tr_member_find(struct tr_service *svc, uint64_t vm_id)
{
	for (unsigned i = 0; i < svc->peers_count; i++)
		if (svc->peers[i].vm_id == vm_id)
			return &svc->peers[i];
	return NULL;
}

/* The slot of a peer's outcomes in each target's evidence. */
unsigned tr_member_source(const struct tr_service *svc,
			  const struct tr_peer *peer)
{
	return (unsigned)(peer - svc->peers) + 1;
}

static void forget_source(struct tr_service *svc, const struct tr_peer *peer)
{
	unsigned source = tr_member_source(svc, peer);

	for (unsigned i = 0; i < svc->targets_count; i++)
		tr_evidence_forget_source(&svc->targets[i].evidence, source);
}

static struct tr_peer *slot_for(struct tr_service *svc)
{
	if (svc->peers_count < TR_MAX_CELL)
		return &svc->peers[svc->peers_count++];
	for (unsigned i = 0; i < svc->peers_count; i++)
		if (!svc->peers[i].in_cell)
			return &svc->peers[i];
	return NULL;
}

static void add_peer(struct tr_service *svc, const struct tr_vm *vm)
{
	struct tr_peer *peer = tr_member_find(svc, vm->id);

	if (!peer) {
		peer = slot_for(svc);
		if (!peer)
			return;
		memset(peer, 0, sizeof(*peer));
		peer->vm_id = vm->id;
		snprintf(peer->name, sizeof(peer->name), "%s", vm->name);
		forget_source(svc, peer);
	}
	peer->in_cell = true;
	peer->vantage = tr_document_vantage(svc->document, vm->data_centre);
}

static void share_out_slots(struct tr_board *board, struct tr_service *svc)
{
	for (unsigned t = 0; t < svc->targets_count; t++) {
		struct tr_target *target = &svc->targets[t];

		target->home_slots = 0;
		for (uint32_t s = 0; s < svc->document->slots; s++) {
			uint64_t slot = tr_hash_pair(target->id, s);
			uint64_t best = 0;
			uint64_t home = 0;

			for (size_t m = 0; m < svc->cell.count; m++) {
				uint64_t id =
					board->fleet.vms[svc->cell.members[m]]
						.id;
				uint64_t score = tr_hash_pair(slot, id);

				if (score >= best) {
					best = score;
					home = id;
				}
			}
			target->home_slots += home == board->vm_id;
		}
	}
}

/*
 * Work out the cell anew, after the list, the document or the targets have
 * changed. A VM that leaves the cell keeps its row while callers may still
 * hold an address of it. Writes the cell and the peers.
 */
void tr_member_update_cell(struct tr_board *board, struct tr_service *svc)
{
	if (!svc->document)
		return;
	tr_cell_choose(&svc->cell, &board->fleet, svc->document);
	svc->in_cell = tr_cell_has(&svc->cell, &board->fleet, board->vm_id);
	svc->was_in_cell |= svc->in_cell;
	for (unsigned i = 0; i < svc->peers_count; i++)
		svc->peers[i].in_cell = false;
	for (size_t i = 0; i < svc->cell.count; i++) {
		const struct tr_vm *vm =
			&board->fleet.vms[svc->cell.members[i]];

		if (vm->id != board->vm_id)
			add_peer(svc, vm);
	}
	share_out_slots(board, svc);
}

static bool is_retired(const struct tr_peer *peer, const struct tr_boot *boot)
{
	for (int i = 0; i < TR_RETIRED_PEER_BOOTS; i++)
		if (!memcmp(&peer->retired[i], boot, sizeof(*boot)))
			return true;
	return false;
}

/*
 * Another process speaks for the peer's VM. There is neither disk nor clock
 * to tell which is the newer, so the first change is believed and the old
 * incarnation retired: a late datagram of it can't bring it back.
 */
static void replace_boot(struct tr_board *board, struct tr_service *svc,
			 struct tr_peer *peer, const struct tr_boot *boot)
{
	if (peer->known) {
		peer->retired[peer->retired_count++ % TR_RETIRED_PEER_BOOTS] =
			peer->boot;
		tr_board_event(board, TR_EVENT_PEER_REPLACED, svc->name,
			       peer->name, "a new process answers for it");
	}
	peer->boot = *boot;
	peer->known = true;
	peer->sequence = 0;
	peer->last_echo_at = 0;
	peer->vote_until = 0;
	peer->peer_sent_at = 0;
	forget_source(svc, peer);
}

/*
 * Take in who sent a message and when. TR_OK, or TR_STALE_DATAGRAM for one
 * that is older than what is known.
 */
enum tr_result tr_member_receive(struct tr_board *board, struct tr_service *svc,
				 struct tr_peer *peer,
				 const struct tr_gossip *msg, apr_time_t now)
{
	if (!peer->known ||
	    memcmp(&peer->boot, &msg->boot, sizeof(msg->boot)) != 0) {
		if (is_retired(peer, &msg->boot))
			return TR_STALE_DATAGRAM;
		replace_boot(board, svc, peer, &msg->boot);
	}
	if (msg->sequence <= peer->sequence)
		return TR_STALE_DATAGRAM;
	peer->sequence = msg->sequence;
	peer->heard_at = now;
	peer->peer_sent_at = msg->sent_at;
	/* An echo of before this process started is of an earlier one here. */
	if (msg->echo > peer->last_echo_at && msg->echo <= now &&
	    msg->echo >= board->started_at)
		peer->last_echo_at = msg->echo;
	peer->leaving = msg->flags & TR_GOSSIP_LEAVING;
	peer->suspects_itself = msg->flags & TR_GOSSIP_SUSPECTS_SELF;
	peer->confirmed = msg->flags & TR_GOSSIP_CONFIRMED;
	peer->document_revision = msg->document_revision;
	peer->targets_revision = msg->targets_revision;
	return TR_OK;
}

/*
 * Does the peer hear this VM? Hearing it is not enough: in a one-way
 * partition one side hears the other and is not heard. The echo of what this
 * VM sent a short while ago proves the way there.
 */
bool tr_member_hears_us(const struct tr_peer *peer, apr_time_t now)
{
	return peer->known && peer->last_echo_at &&
	       now - peer->last_echo_at <= TR_PEER_TTL;
}

/* Mark peers up or down by what was heard of them. Writes peers' up. */
void tr_member_step(struct tr_board *board, struct tr_service *svc,
		    apr_time_t now)
{
	for (unsigned i = 0; i < svc->peers_count; i++) {
		struct tr_peer *peer = &svc->peers[i];
		bool up = peer->known && now - peer->heard_at <= TR_PEER_TTL;

		if (up == peer->up)
			continue;
		peer->up = up;
		tr_board_event(board,
			       up ? TR_EVENT_PEER_UP : TR_EVENT_PEER_DOWN,
			       svc->name, peer->name, "%s",
			       up ? "heard again" : "silent");
	}
}
