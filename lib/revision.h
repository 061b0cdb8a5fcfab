#ifndef TR_REVISION_H
#define TR_REVISION_H

#include <stdint.h>

/* What a VM holds of one published value. Revisions are the platform's. */
struct tr_revision_state {
	uint64_t revision;
	uint64_t refused;
};

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
