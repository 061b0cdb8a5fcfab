/*
 * The revisions of a published value, so that an older one never replaces a
 * newer.
 */
#ifndef TR_REVISION_H
#define TR_REVISION_H

#include <stdint.h>

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

enum tr_revision_order tr_revision_compare(const struct tr_revision_state *held,
					   uint64_t revision);
void tr_revision_accept(struct tr_revision_state *held, uint64_t revision);
void tr_revision_refuse(struct tr_revision_state *held, uint64_t revision);

#endif
