/*
 * Mean time for which requests occupy a slot. A VM that sees one request in a
 * hundred has too few answers of its own to tell the mean of work whose times
 * spread widely; requests in flight and completions are reported by all VMs.
 */
#include "occupancy.h"

#include <math.h>

/* Time constant of the rate and of the requests in flight, in s. */
#define AVERAGE_S 2.0
/* Shortest counting time in s from which the averages are used. */
#define MIN_COUNTED_S 1.0
/* Fewest completions in the average that are used. */
#define MIN_ENDED 20
/*
 * Share of the slots in use up to which requests in flight are taken to be
 * worked on. With more in use some wait, and their wait is no work.
 */
#define UNCONTENDED_SHARE 0.5

/*
 * Time constant of the estimate, in s. As a peak begins, targets whose answers
 * are late are left out with what they hold, and for a moment work seems short.
 */
#define ESTIMATE_S 6.0

static double decay(apr_time_t since, apr_time_t now)
{
	return exp(-(double)(now - since) / 1e6 / AVERAGE_S);
}

/* Follows a new value of the estimate, which is valid for a time. */
static void follow(struct tr_occupancy *o, double work_us, apr_time_t elapsed)
{
	if (o->work_us <= 0)
		o->work_us = work_us;
	o->work_us += (work_us - o->work_us) *
		      (1 - exp(-(double)elapsed / 1e6 / ESTIMATE_S));
}

/* Adds completions, whichever VM reported them. */
void tr_occupancy_ended(struct tr_occupancy *o, unsigned n, apr_time_t now)
{
	if (!o->counting_since)
		o->counting_since = now;
	if (o->ended_at)
		o->rate *= decay(o->ended_at, now);
	o->rate += n / AVERAGE_S;
	o->ended_at = now;
}

/*
 * Takes in the requests in flight and the slots of the targets whose
 * completions are counted, and updates the estimate while few of the slots are
 * in use.
 */
void tr_occupancy_update(struct tr_occupancy *o, double in_flight, double slots,
			 apr_time_t now)
{
	double kept = o->updated_at ? decay(o->updated_at, now) : 0;
	double counted_s = (double)(now - o->counting_since) / 1e6;
	apr_time_t elapsed = now - o->updated_at;
	double rate;

	o->in_flight += (in_flight - o->in_flight) * (1 - kept);
	o->updated_at = now;
	if (!o->counting_since || counted_s < MIN_COUNTED_S ||
	    in_flight > slots * UNCONTENDED_SHARE)
		return;
	/* Counting for less than the time constant has seen a part only. */
	rate = o->rate * decay(o->ended_at, now) /
	       (1 - exp(-counted_s / AVERAGE_S));
	if (rate * AVERAGE_S >= MIN_ENDED)
		follow(o, o->in_flight / rate * 1e6, elapsed);
}

/* Returns the mean time in us, or unknown without an estimate. */
apr_time_t tr_occupancy_work(const struct tr_occupancy *o, apr_time_t unknown)
{
	return o->work_us > 0 ? (apr_time_t)o->work_us : unknown;
}
