#include "revision.h"

/*
 * What is an offered revision to a VM that holds this? Revisions only rise: a
 * platform that serves an old copy, or a peer that was away, must not take a
 * team's accepted document back. One would notice by a floor or a route of
 * yesterday.
 */
enum tr_revision_order tr_revision_compare(const struct tr_revision_state *held,
					   uint64_t revision)
{
	if (revision < held->revision)
		return TR_REVISION_OLDER;
	if (revision == held->revision)
		return TR_REVISION_CURRENT;
	return revision == held->refused ? TR_REVISION_REFUSED
					 : TR_REVISION_NEWER;
}

/* The value of that revision is in force now. */
void tr_revision_accept(struct tr_revision_state *held, uint64_t revision)
{
	if (revision <= held->revision)
		return;
	held->revision = revision;
	held->refused = 0;
}

/* The value of that revision did not pass its check; the held one stays. */
void tr_revision_refuse(struct tr_revision_state *held, uint64_t revision)
{
	if (revision > held->revision)
		held->refused = revision;
}
