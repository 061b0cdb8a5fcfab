/*
 * Revisions of published values, so that an older one never replaces a newer.
 *
 * A store that returns from a copy gives out its revisions again, in a new era.
 * So a revision is a pair of the era and the store's number, in one integer:
 * of two revisions the larger integer is the newer one, in every comparison.
 */
#ifndef TR_REVISION_H
#define TR_REVISION_H

#include <stdint.h>

/* The era that is not known: the platform, or the VM that names the revision,
 * has no eras. */
#define TR_ERA_UNKNOWN 0U
#define TR_ERA_MAX     ((UINT32_C(1) << 16) - 1)
/* 190 years of 46,000 writes a second. */
#define TR_REVISION_NUMBER_MAX ((UINT64_C(1) << 48) - 1)

/* Revisions of one published value at a VM; the platform assigns them. */
struct tr_revision_state {
	uint64_t revision; /* in force */
	uint64_t refused;  /* newer, but failed validation; 0 for none */
};

/* How an offered revision compares with the one in force. */
enum tr_revision_order {
	TR_REVISION_NEWER,
	TR_REVISION_CURRENT,
	TR_REVISION_OLDER,
	TR_REVISION_REFUSED,
};

uint64_t tr_revision_make(uint32_t era, uint64_t number);
uint32_t tr_revision_era(uint64_t revision);
uint64_t tr_revision_number(uint64_t revision);
enum tr_revision_order tr_revision_compare(const struct tr_revision_state *held,
					   uint64_t revision);
void tr_revision_accept(struct tr_revision_state *held, uint64_t revision);
void tr_revision_refuse(struct tr_revision_state *held, uint64_t revision);

#endif
