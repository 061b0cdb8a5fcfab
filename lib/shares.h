/* Division of a service's capacity between ranks and organisations. */
#ifndef TR_SHARES_H
#define TR_SHARES_H

#include <stdint.h>

/*
 * The demand of one organisation at one rank, in requests a second, the part of
 * it that is admitted, from 0 to 1, and its usual demand; if that is 0 for all
 * of a rank, the present one is taken for usual.
 */
struct tr_share {
	uint32_t rank;
	uint32_t organisation;
	double demand;
	double admitted;
	double usual;
};

void tr_shares_allocate(struct tr_share *shares, unsigned count,
			double capacity);

#endif
