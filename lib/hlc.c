#include "hlc.h"

/* Advances the clock for a local event and returns its time. */
struct tr_hlc tr_hlc_tick(struct tr_hlc *clock, uint64_t wall)
{
	if (wall > clock->wall) {
		clock->wall = wall;
		clock->count = 0;
	} else {
		clock->count++;
	}
	return *clock;
}

/* Advances the clock past the time in a message and returns its time. */
struct tr_hlc tr_hlc_merge(struct tr_hlc *clock, struct tr_hlc heard,
			   uint64_t wall)
{
	if (tr_hlc_compare(heard, *clock) > 0)
		*clock = heard;
	return tr_hlc_tick(clock, wall);
}

/*
 * Returns a negative number, 0 or a positive number if a is before, equal to or
 * after b.
 */
int tr_hlc_compare(struct tr_hlc a, struct tr_hlc b)
{
	if (a.wall != b.wall)
		return a.wall < b.wall ? -1 : 1;
	if (a.count != b.count)
		return a.count < b.count ? -1 : 1;
	return 0;
}
