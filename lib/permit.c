#include "permit.h"

#include "detector.h"
#include "gossip.h"
#include "member.h"

#define HOLD_FIRST	   TR_SEC(10)
#define HOLD_MOST	   TR_SEC(300)
#define STRIKES_FADE	   TR_SEC(300)
#define PROBATION_WELL	   10
#define PROBATION_PATIENCE TR_SEC(60)

/*
 * The VM that should hand out a service's orders, as seen from here: the
 * first by rendezvous among the cell's VMs that are up and hear this one.
 */
uint64_t tr_permit_candidate(const struct tr_board *board,
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

static void drop_grants(struct tr_service *svc)
{
	for (unsigned i = 0; i < svc->targets_count; i++) {
		struct tr_grant *grant = &svc->targets[i].grant;

		grant->kind = TR_ORDER_NONE;
	}
}

static void lose_owner(struct tr_board *board, struct tr_service *svc)
{
	svc->vote.owner = false;
	drop_grants(svc);
	tr_board_event(board, TR_EVENT_OWNER_LOST, svc->name, board->vm_name,
		       "%u of %zu votes", svc->vote.votes, svc->cell.count);
}

/*
 * Does this VM's vote go to for_vm now? A vote stands for TR_VOTE_TTL and is
 * not given to a second VM before that. A process that has just started may
 * have voted in its earlier life, so it waits as long before its first vote.
 *
 * What goes wrong without the wait: a VM votes, is replaced, and votes for
 * another; both candidates count three quarters of the cell and both spend
 * the whole ejection budget, seen as more targets out than the floor allows.
 */
bool tr_permit_vote(struct tr_board *board, struct tr_service *svc,
		    uint64_t for_vm, apr_time_t now)
{
	struct tr_vote *vote = &svc->vote;

	if (now - board->started_at < TR_VOTE_TTL || !svc->in_cell)
		return false;
	if (vote->for_vm != for_vm && vote->until > now)
		return false;
	if (for_vm != tr_permit_candidate(board, svc, now))
		return false;
	/* Who votes for another gives no more orders, from this very moment. */
	if (vote->owner && for_vm != board->vm_id)
		lose_owner(board, svc);
	vote->for_vm = for_vm;
	vote->until = now + TR_VOTE_TTL;
	return true;
}

/*
 * A peer's message says whether its vote is this VM's. The vote counts from
 * the time at which this VM sent what the peer echoes, which was before the
 * peer gave it: so it ends here no later than there.
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

/* Three quarters of the cell: two such parts of cells that differ in up to
 * three of eight VMs still share a member. */
static unsigned votes_needed(const struct tr_service *svc)
{
	unsigned n = (unsigned)svc->cell.count;

	return (n * 3 + 3) / 4;
}

static void update_owner(struct tr_board *board, struct tr_service *svc,
			 apr_time_t now)
{
	struct tr_vote *vote = &svc->vote;
	bool was = vote->owner;

	vote->needed = votes_needed(svc);
	vote->votes = tr_permit_vote(board, svc, board->vm_id, now);
	for (unsigned i = 0; i < svc->peers_count; i++)
		vote->votes +=
			svc->peers[i].in_cell && svc->peers[i].vote_until > now;
	vote->owner = svc->in_cell && vote->votes >= vote->needed &&
		      vote->needed > 0 && vote->for_vm == board->vm_id;
	if (vote->owner && !was) {
		vote->quorum_since = now;
		tr_board_event(board, TR_EVENT_OWNER, svc->name, board->vm_name,
			       "%u of %zu votes", vote->votes, svc->cell.count);
	}
	if (!vote->owner && was)
		lose_owner(board, svc);
}

/* Is the target listed, not leaving, warm, and reached from here? */
bool tr_target_is_serving(const struct tr_target *target, apr_time_t now)
{
	return target->listed && !target->leaving &&
	       target->cold_until <= now && target->unreachable_until <= now;
}

static bool maybe_out(const struct tr_target *target, apr_time_t now)
{
	return target->grant.kind != TR_ORDER_NONE ||
	       target->grant.lease_until > now;
}

/* Targets that are in use everywhere, as the owner must count them. */
static unsigned owner_in_use(const struct tr_service *svc, apr_time_t now)
{
	unsigned n = 0;

	for (unsigned i = 0; i < svc->targets_count; i++)
		n += tr_target_is_serving(&svc->targets[i], now) &&
		     !maybe_out(&svc->targets[i], now);
	return n;
}

static apr_time_t hold_time(const struct tr_target *target)
{
	apr_time_t hold = HOLD_FIRST;

	for (unsigned i = 1; i < target->eject_count && hold < HOLD_MOST; i++)
		hold *= 2;
	return hold < HOLD_MOST ? hold : HOLD_MOST;
}

/* Let the cell hear of an order at once. */
static void hurry(struct tr_service *svc)
{
	for (unsigned i = 0; i < svc->peers_count; i++)
		svc->peers[i].last_sent_at = 0;
}

static void grant_eject(struct tr_board *board, struct tr_service *svc,
			struct tr_target *target, uint32_t vantages,
			apr_time_t now)
{
	if (now - target->last_ejected_at > STRIKES_FADE)
		target->eject_count = 0;
	target->eject_count++;
	target->last_ejected_at = now;
	target->grant.kind = TR_ORDER_EJECT;
	target->grant.vantages = vantages;
	target->grant.since = now;
	target->grant.hold_until = now + hold_time(target);
	hurry(svc);
	tr_board_event(board, TR_EVENT_EJECT, svc->name, target->name,
		       "evidence %.1f of %.1f, vantages %x, held %ld s",
		       target->evidence.cell_sum, svc->rules.sick, vantages,
		       (long)(hold_time(target) / APR_USEC_PER_SEC));
}

/* Targets in the order in which they deserve to be out: strongest evidence
 * first, ties by id, so that cell_sum VMs choose alike. */
static bool stronger(const struct tr_target *a, const struct tr_target *b)
{
	if (a->evidence.cell_sum != b->evidence.cell_sum)
		return a->evidence.cell_sum > b->evidence.cell_sum;
	return a->id < b->id;
}

/*
 * Has cell_sum that the target got failed, for as long as the team lets
 * detection take? Evidence alone can't tell: it stands until it fades, since an
 * avoided target gets little work to prove itself. What goes wrong: a target
 * stalls for half a second, and stalls again or fails once a second later; the
 * sums of the two would eject it. One would notice by ejections of targets that
 * answered in between. And when a whole service breaks cell_sum at once, some
 * target may stand out by chance before the base rate has followed. Avoiding
 * costs nothing meanwhile.
 */
static bool stays_accused(const struct tr_service *svc,
			  const struct tr_target *target, uint32_t from)
{
	return from && tr_evidence_failing_duration(&target->evidence, from) >=
			       TR_MSEC(svc->document->ejection.detect_ms);
}

static struct tr_target *sickest(struct tr_service *svc, apr_time_t now,
				 uint32_t *vantages)
{
	struct tr_target *best = NULL;

	for (unsigned i = 0; i < svc->targets_count; i++) {
		struct tr_target *target = &svc->targets[i];
		uint32_t from;

		if (!target->listed || target->grant.kind != TR_ORDER_NONE ||
		    target->held_at == now)
			continue;
		from = tr_detector_sick_vantages(svc, target, now);
		if (!stays_accused(svc, target, from) ||
		    (best && !stronger(target, best)))
			continue;
		best = target;
		*vantages = from;
	}
	return best;
}

static void hold_floor(struct tr_board *board, struct tr_service *svc,
		       struct tr_target *target, apr_time_t now)
{
	target->held_at = now;
	if (svc->counts.floor_held++ % 100 == 0)
		tr_board_event(board, TR_EVENT_FLOOR, svc->name, target->name,
			       "not ejected: the floor is %u",
			       svc->document->floor);
}

/* A target that may still be out somewhere is counted as out already. */
static unsigned left_without(const struct tr_service *svc,
			     const struct tr_target *target, apr_time_t now)
{
	unsigned left = owner_in_use(svc, now);

	return left -
	       (tr_target_is_serving(target, now) && !maybe_out(target, now));
}

static void give_grants(struct tr_board *board, struct tr_service *svc,
			apr_time_t now)
{
	struct tr_target *target;
	uint32_t vantages;

	while ((target = sickest(svc, now, &vantages))) {
		if (left_without(svc, target, now) < svc->document->floor) {
			hold_floor(board, svc, target, now);
			continue;
		}
		svc->counts.ejections++;
		grant_eject(board, svc, target, vantages, now);
	}
}

/* What was sick from some vantages may have become so from more. */
static void widen_grant(const struct tr_service *svc, struct tr_target *target,
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
		       "strike %u", target->eject_count);
}

static void end_probation(struct tr_board *board, struct tr_service *svc,
			  struct tr_target *target)
{
	target->grant.kind = TR_ORDER_NONE;
	svc->counts.restores++;
	tr_board_event(board, TR_EVENT_RESTORE, svc->name, target->name,
		       "%.0f well of late", target->evidence.recent_well);
}

static void review_probation(struct tr_board *board, struct tr_service *svc,
			     struct tr_target *target, apr_time_t now)
{
	const struct tr_evidence *ev = &target->evidence;

	if (ev->cell_sum >= svc->rules.avoid)
		grant_eject(board, svc, target, target->grant.vantages, now);
	else if (ev->recent_well >= PROBATION_WELL ||
		 now - target->grant.since > PROBATION_PATIENCE)
		end_probation(board, svc, target);
}

static struct tr_target *weakest_grant(struct tr_service *svc)
{
	struct tr_target *weak = NULL;

	for (unsigned i = 0; i < svc->targets_count; i++) {
		struct tr_target *target = &svc->targets[i];

		if (target->grant.kind == TR_ORDER_NONE)
			continue;
		if (!weak || stronger(weak, target))
			weak = target;
	}
	return weak;
}

/* The floor was raised or other targets went: take orders back. */
static void revoke_grants(struct tr_board *board, struct tr_service *svc,
			  apr_time_t now)
{
	unsigned left = owner_in_use(svc, now);
	struct tr_target *weak;

	for (; left < svc->document->floor; left++) {
		weak = weakest_grant(svc);
		if (!weak)
			return;
		weak->grant.kind = TR_ORDER_NONE;
		tr_board_event(board, TR_EVENT_FLOOR, svc->name, weak->name,
			       "taken back: the floor is %u",
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
			widen_grant(svc, target, now);
		else if (target->grant.kind == TR_ORDER_PROBATION)
			review_probation(board, svc, target, now);
	}
}

static void honour_own_grants(struct tr_service *svc, apr_time_t now)
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
 * Keep the vote, and as owner hand out, review and take back orders. A new
 * owner waits until every order of an earlier one must have lapsed.
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
		give_grants(board, svc, now);
	honour_own_grants(svc, now);
}

static const struct tr_gossip_order *find_order(const struct tr_gossip *msg,
						uint32_t target)
{
	for (uint32_t i = 0; i < msg->orders_count; i++)
		if (msg->orders[i].target == target)
			return &msg->orders[i];
	return NULL;
}

static void take_order(struct tr_target *target,
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
 * Take in the owner's orders, which are always the whole set. They hold until
 * TR_ORDER_TTL after the time, on this VM's own clock, at which it sent what
 * the owner echoes: a datagram that lay in a buffer while this process was
 * paused is void on arrival.
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
		take_order(&svc->targets[i],
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

/* Is this VM to keep work from the target at this moment? */
bool tr_permit_in_effect(const struct tr_board *board,
			 const struct tr_service *svc,
			 const struct tr_target *target, apr_time_t now)
{
	return target->order.honoured && order_applies(board, svc, target, now);
}

/* Targets that serve and are in use here. */
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
 * Choose which orders this VM honours: the strongest evidence first, and never
 * one that would leave it with fewer targets than the floor of the document
 * it holds. This guard needs nobody else. Writes the orders' honoured.
 */
void tr_floor_enforce(struct tr_board *board, struct tr_service *svc,
		      apr_time_t now)
{
	unsigned left;

	if (!svc->document)
		return;
	for (unsigned i = 0; i < svc->targets_count; i++)
		svc->targets[i].order.honoured = false;
	left = tr_floor_in_use(svc, now);
	for (;;) {
		struct tr_target *best = NULL;

		for (unsigned i = 0; i < svc->targets_count; i++) {
			struct tr_target *target = &svc->targets[i];

			if (target->order.honoured ||
			    !order_applies(board, svc, target, now))
				continue;
			if (tr_target_is_serving(target, now) &&
			    left <= svc->document->floor)
				continue;
			if (!best || stronger(target, best))
				best = target;
		}
		if (!best)
			return;
		left -= tr_target_is_serving(best, now);
		best->order.honoured = true;
	}
}
