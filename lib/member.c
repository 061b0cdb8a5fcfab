/* Tracking the peers of a service's cell by their messages. */
#include "member.h"

#include <stdio.h>
#include <string.h>

#include "gossip.h"

/* Returns the peer with that VM id, or NULL. */
struct tr_peer *tr_member_find(struct tr_service *svc, uint64_t vm_id)
{
	for (unsigned i = 0; i < svc->peers_count; i++)
		if (svc->peers[i].vm_id == vm_id)
			return &svc->peers[i];
	return NULL;
}

/* Returns the index of the peer's outcomes in each target's evidence. */
unsigned tr_member_source(const struct tr_service *svc,
			  const struct tr_peer *peer)
{
	return (unsigned)(peer - svc->peers) + 1;
}

/*
 * Forgets a peer's outcomes at every target, when another process sends them.
 */
static void forget_source(struct tr_service *svc, const struct tr_peer *peer)
{
	unsigned source = tr_member_source(svc, peer);

	for (unsigned i = 0; i < svc->targets_count; i++)
		tr_evidence_forget_source(&svc->targets[i].evidence, source);
}

/*
 * Returns a row that is unused or of a VM outside the cell, or NULL if there is
 * none.
 */
static struct tr_peer *alloc_peer(struct tr_service *svc)
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
		peer = alloc_peer(svc);
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

/*
 * Assigns every slot of every target to one VM of the cell, by rendezvous
 * hashing, and counts those of this VM.
 */
static void assign_home_slots(struct tr_board *board, struct tr_service *svc)
{
	for (unsigned t = 0; t < svc->targets_count; t++) {
		struct tr_target *target = &svc->targets[t];

		target->home_slots = 0;
		for (uint32_t s = 0; s < svc->document->slots; s++) {
			uint64_t slot = tr_hash_pair(target->id, s);
			uint64_t best = 0;
			uint64_t best_vm = 0;

			for (size_t m = 0; m < svc->cell.count; m++) {
				uint64_t id =
					board->fleet.vms[svc->cell.members[m]]
						.id;
				uint64_t score = tr_hash_pair(slot, id);

				if (score >= best) {
					best = score;
					best_vm = id;
				}
			}
			target->home_slots += best_vm == board->vm_id;
		}
	}
}

/*
 * Recomputes the cell after the list of VMs, the document or the targets have
 * changed. A VM that leaves the cell keeps serving the service while callers
 * may still hold its address. Updates the cell, the peers and the home slots.
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
	assign_home_slots(board, svc);
}

static bool is_retired(const struct tr_peer *peer, const struct tr_boot *boot)
{
	for (int i = 0; i < TR_RETIRED_PEER_BOOTS; i++)
		if (!memcmp(&peer->retired[i], boot, sizeof(*boot)))
			return true;
	return false;
}

/*
 * Switches to a new process that sends for the peer's VM. Processes store
 * nothing on disk and clocks are not trusted, so nothing says which is newer:
 * the first change is believed and the old process retired, so that its late
 * datagrams are ignored.
 */
static void replace_boot(struct tr_board *board, struct tr_service *svc,
			 struct tr_peer *peer, const struct tr_boot *boot)
{
	if (peer->known) {
		peer->retired[peer->retired_count++ % TR_RETIRED_PEER_BOOTS] =
			peer->boot;
		tr_board_event(board, TR_EVENT_PEER_REPLACED, svc->name,
			       peer->name, "messages come from a new process");
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
 * Updates the peer from the header of its message. Returns TR_OK, or
 * TR_STALE_DATAGRAM if the message is from a retired process or not newer than
 * the last.
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
	/* An older echo is of a message of an earlier process here. */
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
 * Returns whether the peer receives this VM's messages. That it can be heard is
 * not enough: in a one-way partition, messages pass in one direction only. Its
 * echo of a recent message proves the other direction.
 */
bool tr_member_hears_us(const struct tr_peer *peer, apr_time_t now)
{
	return peer->known && peer->last_echo_at &&
	       now - peer->last_echo_at <= TR_PEER_TTL;
}

/* Marks peers as up or down by when their last message came. */
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
