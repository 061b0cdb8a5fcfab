/*
 * Allocation of capacity: by rank, and within a rank by max-min fairness
 * between organisations. All VMs compute the same allocation from the demand
 * that they report to each other.
 */
#include "shares.h"

#include <math.h>
#include <stdbool.h>
#include <stddef.h>

/*
 * Part of the capacity that each less urgent rank gets even if more urgent ones
 * could use all of it, so that none starves for longer than a deadline of some
 * seconds. With three ranks this costs the most urgent one 0.01, half of what
 * it may lose.
 */
#define RANK_MIN 0.005
/*
 * An organisation gets at least this part of its usual share of what its rank
 * gets. With max-min fairness alone, one that always needs much more than the
 * others would be refused nearly everything. The guarantee does not grow with a
 * burst, so that a burst costs the others nothing.
 */
#define USUAL_MIN 0.5
/* Bisection steps; the level is then exact to a millionth of the capacity. */
#define LEVEL_STEPS 30

/* One rank's part of the table. */
struct rank {
	uint32_t rank;
	double demand;
	double usual;
};

/*
 * Finds the next rank after the given one, and its demand. Returns false if
 * there is none.
 */
static bool next_rank(const struct tr_share *shares, unsigned count,
		      const struct rank *after, struct rank *next)
{
	bool found = false;

	*next = (struct rank){ 0 };
	for (unsigned i = 0; i < count; i++) {
		if (shares[i].demand <= 0 ||
		    (after && shares[i].rank <= after->rank))
			continue;
		if (!found || shares[i].rank < next->rank)
			*next = (struct rank){ .rank = shares[i].rank };
		found = true;
		if (shares[i].rank != next->rank)
			continue;
		next->demand += shares[i].demand;
		next->usual += shares[i].usual;
	}
	return found;
}

/* Requests a second that an organisation gets of its rank in any case. */
static double guaranteed(const struct tr_share *share, const struct rank *r,
			 double capacity)
{
	double part = r->usual > 0 ? share->usual / r->usual
				   : share->demand / r->demand;

	return fmin(share->demand, USUAL_MIN * capacity * part);
}

/* Requests a second that an organisation gets at this level of the rank. */
static double at_level(const struct tr_share *share, const struct rank *r,
		       double capacity, double level)
{
	return fmin(share->demand, fmax(level, guaranteed(share, r, capacity)));
}

/* Divides a rank's capacity, which is less than its demand. */
static void divide(struct tr_share *shares, unsigned count,
		   const struct rank *r, double capacity)
{
	double low = 0;
	double high = capacity;

	for (int step = 0; step < LEVEL_STEPS; step++) {
		double level = (low + high) / 2;
		double sum = 0;

		for (unsigned i = 0; i < count; i++)
			if (shares[i].rank == r->rank && shares[i].demand > 0)
				sum += at_level(&shares[i], r, capacity, level);
		if (sum > capacity)
			high = level;
		else
			low = level;
	}
	for (unsigned i = 0; i < count; i++)
		if (shares[i].rank == r->rank && shares[i].demand > 0)
			shares[i].admitted =
				at_level(&shares[i], r, capacity, low) /
				shares[i].demand;
}

/* Sums what is kept for all ranks after the given one. */
static double kept_for_later(const struct tr_share *shares, unsigned count,
			     const struct rank *after, double least)
{
	struct rank r = *after;
	struct rank next;
	double sum = 0;

	while (next_rank(shares, count, &r, &next)) {
		sum += fmin(next.demand, least);
		r = next;
	}
	return sum;
}

/*
 * Sets the part of each demand that is admitted, so that the sum is the
 * capacity, in requests a second, or the whole demand. Entries have different
 * ranks or organisations; organisation 0 (none) counts as one.
 */
void tr_shares_allocate(struct tr_share *shares, unsigned count,
			double capacity)
{
	double left = fmax(capacity, 0);
	double least = left * RANK_MIN;
	struct rank r;
	struct rank next;
	bool found = next_rank(shares, count, NULL, &r);

	for (unsigned i = 0; i < count; i++)
		shares[i].admitted = 1;
	while (found) {
		double kept = kept_for_later(shares, count, &r, least);
		double part = fmax(left - kept, fmin(least, left));

		if (r.demand > part)
			divide(shares, count, &r, part);
		left = fmax(left - fmin(r.demand, part), 0);
		found = next_rank(shares, count, &r, &next);
		r = next;
	}
}
