#include "revision.h"

/*
 * What is an offered revision to a VM that holds this? Revisions only rise: a
 * platform that serves an old copy, or a peer that was away, must not take a
 * team's accepted document back. One would notice by a floor or a route of
 * yesterday.
 */
enum tr_offer tr_held_offer(const struct tr_held *held, uint64_t revision)
{
	if (revision < held->revision)
		return TR_OFFER_OLD;
	if (revision == held->revision)
		return TR_OFFER_SAME;
	return revision == held->refused ? TR_OFFER_REFUSED_BEFORE
					 : TR_OFFER_NEWS;
}

/* The value of that revision is in force now. */
void tr_held_accept(struct tr_held *held, uint64_t revision)
{
	if (revision <= held->revision)
		return;
	held->revision = revision;
	held->refused = 0;
}

/* The value of that revision did not pass its check; the held one stays. */
void tr_held_refuse(struct tr_held *held, uint64_t revision)
{
	if (revision > held->revision)
		held->refused = revision;
}
