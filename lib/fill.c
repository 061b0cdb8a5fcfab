/*
 * Choice among targets whose load is known late (load interpretation, Dahlin
 * 2000). Targets are drawn in proportion to what each lacks to a common level,
 * such that the requests that the others sent meanwhile fill all up to it.
 *
 * Failure that this prevents: VMs that all choose the targets with the fewest
 * requests as known send a tenth of a second's requests to the same few. Of 120
 * targets at their capacity some then shed while others are idle.
 */
#include "fill.h"

#include <math.h>

/*
 * Lowest level, in requests for each slot: targets with a free slot are equally
 * good, so that a sudden peak is not sent to the few that were idle before it.
 */
#define LEVEL_MIN 1.0
/* Bisection steps; the level is then exact to a thousandth of the highest. */
#define LEVEL_STEPS 12

/* Requests that the target lacks to the level. */
static double room_below(const struct tr_fill *t, double level)
{
	double room = level * t->slots - t->in_flight;

	return room > 0 ? room : 0;
}

/*
 * Returns the level, in requests for each slot, to which as many requests as
 * are unseen fill the targets.
 */
double tr_fill_level(const struct tr_fill *targets, unsigned count,
		     double unseen)
{
	double low = LEVEL_MIN;
	double high = LEVEL_MIN;
	double slots = 0;

	for (unsigned i = 0; i < count; i++) {
		slots += targets[i].slots;
		high = fmax(high, targets[i].in_flight / targets[i].slots);
	}
	/* One request more, so that the lowest target always has room. */
	unseen += 1;
	high += unseen / fmax(slots, 1);
	for (int step = 0; step < LEVEL_STEPS; step++) {
		double level = (low + high) / 2;
		double room = 0;

		for (unsigned i = 0; i < count; i++)
			room += room_below(&targets[i], level);
		if (room > unseen)
			high = level;
		else
			low = level;
	}
	return high;
}

/* Draws one of the targets below the level. Returns count if there is none. */
unsigned tr_fill_draw(const struct tr_fill *targets, unsigned count,
		      double level, struct tr_random *random)
{
	unsigned chosen = count;
	double sum = 0;

	for (unsigned i = 0; i < count; i++) {
		double room = room_below(&targets[i], level);

		sum += room;
		if (tr_random_unit(random) * sum < room)
			chosen = i;
	}
	return chosen;
}
