#include "revision.h"

#define ERA_SHIFT 48

/* Returns the revision with that number in the era. */
uint64_t tr_revision_make(uint32_t era, uint64_t number)
{
	return (uint64_t)era << ERA_SHIFT | number;
}

uint32_t tr_revision_era(uint64_t revision)
{
	return (uint32_t)(revision >> ERA_SHIFT);
}

/* Returns the number that the store gave the revision. */
uint64_t tr_revision_number(uint64_t revision)
{
	return revision & TR_REVISION_NUMBER_MAX;
}

/*
 * Compares an offered revision with the one in force. Revisions only rise: a
 * platform that serves an old copy, or a peer that was cut off, must not
 * replace the document that a team has had accepted. Otherwise an old floor or
 * route would come back.
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

/* Records that the value of that revision is in force now. */
void tr_revision_accept(struct tr_revision_state *held, uint64_t revision)
{
	if (revision <= held->revision)
		return;
	held->revision = revision;
	held->refused = 0;
}

/*
 * Records that the value of that revision failed validation; the one in force
 * stays.
 */
void tr_revision_refuse(struct tr_revision_state *held, uint64_t revision)
{
	if (revision > held->revision)
		held->refused = revision;
}
