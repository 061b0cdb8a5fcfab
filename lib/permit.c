/*
 * Election of a service's owner and the orders that it gives. Votes and orders
 * are leases that end at the receiver no later than at the sender, so VMs need
 * no synchronized clocks, and a VM that is cut off goes back to using every
 * target.
 */
#include "permit.h"

#include "detector.h"
#include "gossip.h"
#include "member.h"

#define HOLD_FIRST	    TR_SEC(10)
#define MAX_HOLD	    TR_SEC(300)
#define EJECT_COUNT_RESET   TR_SEC(300)
#define PROBATION_SUCCESSES 10
#define PROBATION_MAX	    TR_SEC(60)

/*
 * Returns the VM that should be the service's owner as seen from here: the one
 * with the highest rendezvous score among the VMs of the cell that are up and
 * receive this VM's messages. 0 if there is none.
 */
uint64_t tr_permit_owner_candidate(const struct tr_board *board,
				   const struct tr_service *svc, apr_time_t now)
{
	uint64_t best = board->leaving ? 0 : board->vm_id;
	uint64_t score = best ? tr_hash_pair(svc->id, best) : 0;

	for (unsigned i = 0; i < svc->peers_count; i++) {
		const struct tr_peer *peer = &svc->peers[i];
		uint64_t theirs = tr_hash_pair(svc->id, peer->vm_id);

		if (!peer->in_cell || !peer->up || peer->leaving ||
		    peer->suspects_itself || !tr_member_hears_us(peer, now))
			continue;
		if (!best || theirs > score) {
			best = peer->vm_id;
			score = theirs;
		}
	}
	return best;
}

static void clear_grants(struct tr_service *svc)
{
	for (unsigned i = 0; i < svc->targets_count; i++) {
		struct tr_grant *grant = &svc->targets[i].grant;

		grant->kind = TR_ORDER_NONE;
	}
}

static void lose_ownership(struct tr_board *board, struct tr_service *svc)
{
	svc->vote.owner = false;
	clear_grants(svc);
	tr_board_event(board, TR_EVENT_OWNER_LOST, svc->name, board->vm_name,
		       "%u of %zu votes", svc->vote.votes, svc->cell.count);
}

/*
 * Votes for for_vm if possible, and returns whether this VM's vote is for it. A
 * vote lasts TR_VOTE_TTL and does not move to another VM before then. A process
 * that has just started waits as long before its first vote, since an earlier
 * process on this VM may have voted.
 *
 * Without that wait, a VM could vote, be replaced and vote for another VM; two
 * owners would then each have three quarters of the votes and both use the
 * whole ejection budget, so that more targets are out than the floor allows.
 */
bool tr_permit_vote(struct tr_board *board, struct tr_service *svc,
		    uint64_t for_vm, apr_time_t now)
{
	struct tr_vote *vote = &svc->vote;

	if (now - board->started_at < TR_VOTE_TTL || !svc->in_cell)
		return false;
	if (vote->for_vm != for_vm && vote->until > now)
		return false;
	if (for_vm != tr_permit_owner_candidate(board, svc, now))
		return false;
	/* Voting for another VM ends this VM's ownership at once. */
	if (vote->owner && for_vm != board->vm_id)
		lose_ownership(board, svc);
	vote->for_vm = for_vm;
	vote->until = now + TR_VOTE_TTL;
	return true;
}

/*
 * Records whether a peer's message votes for this VM. The vote counts from the
 * time at which this VM sent the message that the peer echoes. That was before
 * the peer voted, so the vote ends here no later than there.
 */
void tr_permit_receive_vote(struct tr_service *svc, struct tr_peer *peer,
			    bool for_me, apr_time_t now)
{
	(void)svc;
	if (!for_me || !peer->last_echo_at || peer->last_echo_at > now)
		return;
	if (peer->vote_until < peer->last_echo_at + TR_VOTE_TTL)
		peer->vote_until = peer->last_echo_at + TR_VOTE_TTL;
}

/*
 * Three quarters of the cell: two such quorums share a member even if they are
 * of versions of the cell that differ in up to three of eight VMs.
 */
static unsigned votes_needed(const struct tr_service *svc)
{
	unsigned n = (unsigned)svc->cell.count;

	return (n * 3 + 3) / 4;
}

static void update_owner(struct tr_board *board, struct tr_service *svc,
			 apr_time_t now)
{
	struct tr_vote *vote = &svc->vote;
	bool was_owner = vote->owner;

	vote->needed = votes_needed(svc);
	vote->votes = tr_permit_vote(board, svc, board->vm_id, now);
	for (unsigned i = 0; i < svc->peers_count; i++)
		vote->votes +=
			svc->peers[i].in_cell && svc->peers[i].vote_until > now;
	vote->owner = svc->in_cell && vote->votes >= vote->needed &&
		      vote->needed > 0 && vote->for_vm == board->vm_id;
	if (vote->owner && !was_owner) {
		vote->quorum_since = now;
		tr_board_event(board, TR_EVENT_OWNER, svc->name, board->vm_name,
			       "%u of %zu votes", vote->votes, svc->cell.count);
	}
	if (!vote->owner && was_owner)
		lose_ownership(board, svc);
}

/*
 * Returns whether the target is listed, not leaving, not cold and reachable
 * from here.
 */
bool tr_target_is_serving(const struct tr_target *target, apr_time_t now)
{
	return target->listed && !target->leaving &&
	       target->cold_until <= now && target->unreachable_until <= now;
}

static bool may_be_out(const struct tr_target *target, apr_time_t now)
{
	return target->grant.kind != TR_ORDER_NONE ||
	       target->grant.lease_until > now;
}

/* Returns how many targets are certainly in use on every VM. */
static unsigned owner_in_use(const struct tr_service *svc, apr_time_t now)
{
	unsigned n = 0;

	for (unsigned i = 0; i < svc->targets_count; i++)
		n += tr_target_is_serving(&svc->targets[i], now) &&
		     !may_be_out(&svc->targets[i], now);
	return n;
}

/*
 * Returns how long the target is to stay ejected; doubles with each ejection.
 */
static apr_time_t hold_time(const struct tr_target *target)
{
	apr_time_t hold = HOLD_FIRST;

	for (unsigned i = 1; i < target->eject_count && hold < MAX_HOLD; i++)
		hold *= 2;
	return hold < MAX_HOLD ? hold : MAX_HOLD;
}

/*
 * Makes a message to every peer due, so that the cell learns of an order at
 * once.
 */
static void send_gossip_soon(struct tr_service *svc)
{
	for (unsigned i = 0; i < svc->peers_count; i++)
		svc->peers[i].last_sent_at = 0;
}

static void grant_eject(struct tr_board *board, struct tr_service *svc,
			struct tr_target *target, uint32_t vantages,
			apr_time_t now)
{
	if (now - target->last_ejected_at > EJECT_COUNT_RESET)
		target->eject_count = 0;
	target->eject_count++;
	target->last_ejected_at = now;
	target->grant.kind = TR_ORDER_EJECT;
	target->grant.vantages = vantages;
	target->grant.since = now;
	target->grant.hold_until = now + hold_time(target);
	send_gossip_soon(svc);
	tr_board_event(board, TR_EVENT_EJECT, svc->name, target->name,
		       "evidence %.1f of %.1f, vantages %x, held %ld s",
		       target->evidence.cell_sum, svc->rules.sick, vantages,
		       (long)(hold_time(target) / APR_USEC_PER_SEC));
}

/*
 * Orders targets by the evidence against them, and by id if equal, so that
 * cell_sum VMs choose alike.
 */
static bool has_more_evidence(const struct tr_target *a,
			      const struct tr_target *b)
{
	if (a->evidence.cell_sum != b->evidence.cell_sum)
		return a->evidence.cell_sum > b->evidence.cell_sum;
	return a->id < b->id;
}

/*
 * Returns whether every request to the target has failed for the detection time
 * of the document. Evidence alone cannot tell: it decays slowly, since an
 * avoided target gets few requests. Without this, a target that stalls for half
 * a second, and stalls again or fails once a second later, would be ejected for
 * the sum of the two though it answered in between. When a whole service breaks
 * at once, it also keeps a target from being ejected that stands out by chance
 * before the base rate has risen. The target is avoided meanwhile, which costs
 * no capacity.
 */
static bool fails_long_enough(const struct tr_service *svc,
			      const struct tr_target *target, uint32_t from)
{
	return from && tr_evidence_failing_duration(&target->evidence, from) >=
			       TR_MSEC(svc->document->ejection.detect_ms);
}

/* Returns the target with the most evidence that may be ejected, or NULL. */
static struct tr_target *sickest(struct tr_service *svc, apr_time_t now,
				 uint32_t *vantages)
{
	struct tr_target *best = NULL;

	for (unsigned i = 0; i < svc->targets_count; i++) {
		struct tr_target *target = &svc->targets[i];
		uint32_t from;

		if (!target->listed || target->grant.kind != TR_ORDER_NONE ||
		    target->floor_held_at == now)
			continue;
		from = tr_detector_sick_vantages(svc, target, now);
		if (!fails_long_enough(svc, target, from) ||
		    (best && !has_more_evidence(target, best)))
			continue;
		best = target;
		*vantages = from;
	}
	return best;
}

/* Notes that a target stays in use because of the floor. */
static void note_floor_held(struct tr_board *board, struct tr_service *svc,
			    struct tr_target *target, apr_time_t now)
{
	target->floor_held_at = now;
	if (svc->counts.floor_held++ % 100 == 0)
		tr_board_event(board, TR_EVENT_FLOOR, svc->name, target->name,
			       "not ejected: the floor is %u",
			       svc->document->floor);
}

/*
 * Returns how many targets would be in use without this one. Targets that may
 * still be out at some VM count as out.
 */
static unsigned in_use_without(const struct tr_service *svc,
			       const struct tr_target *target, apr_time_t now)
{
	unsigned in_use = owner_in_use(svc, now);

	return in_use -
	       (tr_target_is_serving(target, now) && !may_be_out(target, now));
}

static void grant_ejections(struct tr_board *board, struct tr_service *svc,
			    apr_time_t now)
{
	struct tr_target *target;
	uint32_t vantages;

	while ((target = sickest(svc, now, &vantages))) {
		if (in_use_without(svc, target, now) < svc->document->floor) {
			note_floor_held(board, svc, target, now);
			continue;
		}
		svc->counts.ejections++;
		grant_eject(board, svc, target, vantages, now);
	}
}

/* A target that was sick from some vantages may be sick from more now. */
static void extend_grant(const struct tr_service *svc, struct tr_target *target,
			 apr_time_t now)
{
	target->grant.vantages |= tr_detector_sick_vantages(svc, target, now);
}

static void start_probation(struct tr_board *board, struct tr_service *svc,
			    struct tr_target *target, apr_time_t now)
{
	target->grant.kind = TR_ORDER_PROBATION;
	target->grant.since = now;
	tr_evidence_clear(&target->evidence);
	tr_board_event(board, TR_EVENT_PROBATION, svc->name, target->name,
		       "after ejection %u", target->eject_count);
}

static void end_probation(struct tr_board *board, struct tr_service *svc,
			  struct tr_target *target)
{
	target->grant.kind = TR_ORDER_NONE;
	svc->counts.restores++;
	tr_board_event(board, TR_EVENT_RESTORE, svc->name, target->name,
		       "%.0f recent successes", target->evidence.recent_well);
}

static void review_probation(struct tr_board *board, struct tr_service *svc,
			     struct tr_target *target, apr_time_t now)
{
	const struct tr_evidence *ev = &target->evidence;

	if (ev->cell_sum >= svc->rules.avoid)
		grant_eject(board, svc, target, target->grant.vantages, now);
	else if (ev->recent_well >= PROBATION_SUCCESSES ||
		 now - target->grant.since > PROBATION_MAX)
		end_probation(board, svc, target);
}

static struct tr_target *weakest_grant(struct tr_service *svc)
{
	struct tr_target *weakest = NULL;

	for (unsigned i = 0; i < svc->targets_count; i++) {
		struct tr_target *target = &svc->targets[i];

		if (target->grant.kind == TR_ORDER_NONE)
			continue;
		if (!weakest || has_more_evidence(weakest, target))
			weakest = target;
	}
	return weakest;
}

/*
 * Revokes orders, those with the least evidence first, when the floor was
 * raised or other targets have left.
 */
static void revoke_grants(struct tr_board *board, struct tr_service *svc,
			  apr_time_t now)
{
	unsigned in_use = owner_in_use(svc, now);
	struct tr_target *weakest;

	for (; in_use < svc->document->floor; in_use++) {
		weakest = weakest_grant(svc);
		if (!weakest)
			return;
		weakest->grant.kind = TR_ORDER_NONE;
		tr_board_event(board, TR_EVENT_FLOOR, svc->name, weakest->name,
			       "order revoked: the floor is %u",
			       svc->document->floor);
	}
}

static void review_grants(struct tr_board *board, struct tr_service *svc,
			  apr_time_t now)
{
	for (unsigned i = 0; i < svc->targets_count; i++) {
		struct tr_target *target = &svc->targets[i];

		if (target->grant.kind == TR_ORDER_EJECT &&
		    now >= target->grant.hold_until)
			start_probation(board, svc, target, now);
		else if (target->grant.kind == TR_ORDER_EJECT)
			extend_grant(svc, target, now);
		else if (target->grant.kind == TR_ORDER_PROBATION)
			review_probation(board, svc, target, now);
	}
}

static void apply_own_grants(struct tr_service *svc, apr_time_t now)
{
	for (unsigned i = 0; i < svc->targets_count; i++) {
		struct tr_target *target = &svc->targets[i];

		target->order.kind = target->grant.kind;
		target->order.vantages = target->grant.vantages;
		target->order.until = now + TR_ORDER_TTL;
		if (target->grant.kind != TR_ORDER_NONE)
			target->grant.lease_until = now + TR_ORDER_TTL;
	}
}

/*
 * Renews the vote, and if this VM is the owner, gives, reviews and revokes
 * orders. A new owner gives none until every order of an earlier owner has
 * ended.
 */
void tr_permit_step(struct tr_board *board, struct tr_service *svc,
		    apr_time_t now)
{
	if (!svc->document || !svc->detector->fleet)
		return;
	update_owner(board, svc, now);
	if (!svc->vote.owner)
		return;
	revoke_grants(board, svc, now);
	review_grants(board, svc, now);
	if (now - svc->vote.quorum_since >= TR_ORDER_TTL)
		grant_ejections(board, svc, now);
	apply_own_grants(svc, now);
}

static const struct tr_gossip_order *find_order(const struct tr_gossip *msg,
						uint32_t target)
{
	for (uint32_t i = 0; i < msg->orders_count; i++)
		if (msg->orders[i].target == target)
			return &msg->orders[i];
	return NULL;
}

static void apply_order(struct tr_target *target,
			const struct tr_gossip_order *order, apr_time_t until)
{
	if (!order) {
		target->order.kind = TR_ORDER_NONE;
		return;
	}
	if (order->kind == TR_ORDER_PROBATION &&
	    target->order.kind == TR_ORDER_EJECT)
		tr_evidence_clear(&target->evidence);
	target->order.kind = (enum tr_order_kind)order->kind;
	target->order.vantages = order->vantages;
	target->order.until = until;
}

/*
 * Applies the owner's orders; a message always holds cell_sum of them. They
 * last until TR_ORDER_TTL after the time, on this VM's own clock, at which it
 * sent the message that the owner echoes. A datagram that was buffered while
 * this process was paused has therefore expired when it is read.
 */
void tr_permit_receive_orders(struct tr_board *board, struct tr_service *svc,
			      const struct tr_peer *peer,
			      const struct tr_gossip *msg, apr_time_t now)
{
	apr_time_t until = msg->echo + TR_ORDER_TTL;

	if (!(msg->flags & TR_GOSSIP_OWNER) || !msg->echo || msg->echo > now ||
	    until <= now)
		return;
	if (svc->vote.owner || svc->vote.for_vm != peer->vm_id)
		return;
	for (unsigned i = 0; i < svc->targets_count; i++)
		apply_order(&svc->targets[i],
			    find_order(msg, svc->targets[i].id), until);
	tr_floor_enforce(board, svc, now);
}

static bool order_applies(const struct tr_board *board,
			  const struct tr_service *svc,
			  const struct tr_target *target, apr_time_t now)
{
	int vantage = tr_board_vantage(board, svc);

	if (target->order.kind == TR_ORDER_NONE || target->order.until <= now)
		return false;
	if (vantage < 0)
		return target->order.vantages == TR_EVERY_VANTAGE;
	return target->order.vantages & 1U << vantage;
}

/* Returns whether this VM must not use the target now. */
bool tr_permit_in_effect(const struct tr_board *board,
			 const struct tr_service *svc,
			 const struct tr_target *target, apr_time_t now)
{
	return target->order.honoured && order_applies(board, svc, target, now);
}

/* Returns how many targets serve and are used by this VM. */
unsigned tr_floor_in_use(const struct tr_service *svc, apr_time_t now)
{
	unsigned n = 0;

	for (unsigned i = 0; i < svc->targets_count; i++) {
		const struct tr_target *target = &svc->targets[i];

		n += tr_target_is_serving(target, now) &&
		     !(target->order.honoured && target->order.until > now);
	}
	return n;
}

/*
 * Chooses which orders this VM follows: those with the most evidence first, and
 * none that would leave it with fewer targets than the floor of the document it
 * holds. This check needs no other VM. Sets honoured in each order.
 */
void tr_floor_enforce(struct tr_board *board, struct tr_service *svc,
		      apr_time_t now)
{
	unsigned in_use;

	if (!svc->document)
		return;
	for (unsigned i = 0; i < svc->targets_count; i++)
		svc->targets[i].order.honoured = false;
	in_use = tr_floor_in_use(svc, now);
	for (;;) {
		struct tr_target *best = NULL;

		for (unsigned i = 0; i < svc->targets_count; i++) {
			struct tr_target *target = &svc->targets[i];

			if (target->order.honoured ||
			    !order_applies(board, svc, target, now))
				continue;
			if (tr_target_is_serving(target, now) &&
			    in_use <= svc->document->floor)
				continue;
			if (!best || has_more_evidence(target, best))
				best = target;
		}
		if (!best)
			return;
		in_use -= tr_target_is_serving(best, now);
		best->order.honoured = true;
	}
}
