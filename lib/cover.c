/*
 * The share of a service's targets that must be kept at work. Suspicion alone
 * could empty a service: gray spells end by themselves, and with a third of the
 * targets under suspicion the others get all the work. One would notice by
 * sound targets that get no request for seconds. So when too few are at work,
 * one more is due, whatever is suspected of it.
 */
#include "cover.h"

#include "clock.h"
#include "hash.h"

/* The span in which operators look is two seconds; a little less, so that the
 * request that is due is on its way before it ends. */
#define USED_SPAN TR_MSEC(1450)
/* A request that may be sent once more is due sooner, so that suspects get it
 * rather than one that must run once: at a service where one in five may, 0.043
 * instead of 0.045 of all requests failed (18 paired days). Half of the other
 * span gained no more. */
#define SCOUT_SPAN TR_MSEC(800)
/* What VMs wait beyond that, each by another part: all see the same target
 * unused, and without it two or three sent to it within the 40 ms in which they
 * hear of each other; what is sent to a gray target is mostly lost. */
#define WAIT_MOST_MS 500
/* A target that has failed is no sound one for so long (the operators' rule).
 * Nearly half of the suspects are so at any time, so it halves what must be
 * sent to them. */
#define UNSOUND_FOR TR_SEC(2)
/* Above the share that the operators demand, in targets: this VM's view of
 * which are sound is not theirs. */
#define MARGIN_LEAST 0.6
/* While fewer of a service's requests fail, nobody looks at how many of its
 * targets are at work: operators do from one in ten on. A quarter less leaves
 * room for what they see and this VM does not yet. From half of it on, small
 * services, which often are there by chance, lose 0.002 of worth more. */
#define FAILING 0.075
/* Requests a target within the last seconds from which on each can have its
 * own: below it chance leaves some out, and that says nothing. */
#define LEAST_WORK 2.5

/* Begin to look at a service. salt tells VMs apart; scout tells that the
 * request may be sent once more. */
void tr_cover_init(struct tr_cover *cover, uint32_t salt, bool scout)
{
	*cover = (struct tr_cover){
		.salt = salt,
		.span = scout ? SCOUT_SPAN : USED_SPAN,
		.row = TR_NO_ROW,
	};
}

/* How long this VM lets others go first, in us; anew after each use. */
static apr_time_t own_wait(const struct tr_cover *cover,
			   const struct tr_instance *row)
{
	uint64_t mixed =
		tr_hash_pair(cover->salt, row->hash ^ (uint64_t)row->used_at);

	return TR_MSEC(mixed % WAIT_MOST_MS);
}

/*
 * Look at one target of the service, with its chance of being gray; fits tells
 * whether a request could be sent to it now.
 */
void tr_cover_see(struct tr_cover *cover, const struct tr_instance *row,
		  uint32_t at, double risk, bool fits, apr_time_t now)
{
	apr_time_t idle = now - row->used_at;

	if (idle < cover->span) {
		cover->sound++;
		cover->used++;
		return;
	}
	if ((row->failed_at && now - row->failed_at < UNSOUND_FOR) ||
	    now - row->known_since < UNSOUND_FOR)
		return;
	cover->sound++;
	if (!fits || idle < cover->span + own_wait(cover, row))
		return;
	if (cover->row == TR_NO_ROW || risk < cover->risk) {
		cover->row = at;
		cover->risk = risk;
	}
}

/*
 * The target that is due for a request so that the share is at work, or
 * TR_NO_ROW. outcomes is how many of the service's requests ended lately,
 * failing the part of them that failed.
 *
 * Operators leave out the targets that are disturbed, and nobody tells which
 * they are: with seven in ten of all at work, 10 of 15 of 201 were, and 6 of 9
 * of 28. So while they look, all that have not just failed have to be.
 */
uint32_t tr_cover_due(const struct tr_cover *cover, double share,
		      double outcomes, double failing)
{
	double wanted = share * cover->sound + MARGIN_LEAST;

	if (failing >= FAILING)
		wanted = cover->sound;
	if (outcomes < LEAST_WORK * cover->sound || cover->used >= wanted)
		return TR_NO_ROW;
	return cover->row;
}
