#ifndef TR_REVISION_H
#define TR_REVISION_H

#include <stdint.h>

/* What a VM holds of one published value. Revisions are the platform's. */
struct tr_held {
	uint64_t revision;
	uint64_t refused;
};

enum tr_offer {
	TR_OFFER_NEWS,
	TR_OFFER_SAME,
	TR_OFFER_OLD,
	TR_OFFER_REFUSED_BEFORE,
};

enum tr_offer tr_held_offer(const struct tr_held *held, uint64_t revision);
void tr_held_accept(struct tr_held *held, uint64_t revision);
void tr_held_refuse(struct tr_held *held, uint64_t revision);

#endif
