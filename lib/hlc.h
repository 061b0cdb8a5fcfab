#ifndef TR_HLC_H
#define TR_HLC_H

#include <stdint.h>

/*
 * Hybrid logical clock (Kulkarni et al. 2014): wall time in microseconds that
 * never falls behind a time that was received, and a counter for equal times.
 */
struct tr_hlc {
	uint64_t wall;
	uint32_t count;
};

struct tr_hlc tr_hlc_tick(struct tr_hlc *clock, uint64_t wall);
struct tr_hlc tr_hlc_merge(struct tr_hlc *clock, struct tr_hlc heard,
			   uint64_t wall);
int tr_hlc_compare(struct tr_hlc a, struct tr_hlc b);

#endif
