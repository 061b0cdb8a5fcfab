/*
 * Overload control of a service. Every VM computes the same allocation from the
 * demand of the whole fleet and the capacity of the service's targets, and
 * refuses the same part of each flow by a random draw; so the fleet admits what
 * the targets can serve, though each VM sees about one request in a hundred.
 *
 * The rate to admit is the capacity, corrected by the work that waits at the
 * targets: errors of the capacity and of the demand, and what was admitted
 * before the others were heard, show there and are made up for.
 */
#include "overload.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "shares.h"

/*
 * Wait that is allowed at the targets, as a part of the time that the aim
 * leaves beside usual work. With less, targets run out of work before the next
 * request comes; with more, too many answers are late.
 */
#define WAIT_PART 0.3
/*
 * Time over which the work that waits is brought to what is allowed, as a part
 * of the aim. At an aim of 1 s it is three times the usual age of what VMs know
 * of each other, which keeps the correction from oscillating.
 */
#define CORRECTION_PART 0.3
/* Its least value, in s: the usual age of what VMs know of each other. */
#define CORRECTION_MIN_S 0.1
/*
 * How far ahead the requests in flight are extrapolated, in s: reports are
 * usually 0.1 s old, and another 0.1 s passes until all VMs have updated.
 */
#define AHEAD_S 0.2
/* Time constant of the growth that is extrapolated, in s: below an update. */
#define GROWTH_S 0.03
/*
 * Time in s during which the VMs have sent requests that the others do not know
 * of: the usual age of reports, and the way to the target.
 */
#define REPORT_AGE_S 0.12
/*
 * Least part of the capacity that is admitted whatever the backlog, as reports
 * of it may be late.
 */
#define ADMITTED_MIN 0.1
/*
 * Refusals begin when demand exceeds what is to be admitted by this part, or
 * for this long. At 0.9 of the capacity, chance alone lets single VMs see some
 * more demand than that for a moment.
 */
#define BEGIN_PART 0.25
#define BEGIN_TIME TR_MSEC(200)
/* Least share of the fleet that is heard: this VM itself, of a large fleet. */
#define HEARD_MIN 1e-3
/* Bounds of the Retry-After sent with a refusal. */
#define RETRY_AFTER_MIN TR_MSEC(200)
#define RETRY_AFTER_MAX TR_MSEC(3000)
/*
 * The same request gets the same draw for this long, so that repeating it at
 * once gains nothing; one that returns after its Retry-After gets a new one.
 */
#define DRAW_PERIOD RETRY_AFTER_MIN
/* Admitted parts that differ by less than this are equal. */
#define PART_EPSILON 1e-3

/* Requests that may wait at all targets together. */
static double allowed_backlog(const struct tr_overload_load *load)
{
	double spare_s = (double)(load->aim - load->usual_work) / 1e6;

	return load->capacity * WAIT_PART * fmax(spare_s, 0);
}

/*
 * Follows how fast the requests in flight grow. It starts anew when targets
 * come or go, as their requests come or go with them.
 */
static void follow_growth(struct tr_overload *o,
			  const struct tr_overload_load *load, apr_time_t now)
{
	double s = (double)(now - o->updated_at) / 1e6;

	if (load->slots != o->slots)
		o->growth = 0;
	else if (s > 0)
		o->growth +=
			((load->in_flight - o->in_flight) / s - o->growth) *
			(1 - exp(-s / GROWTH_S));
	o->slots = load->slots;
	o->in_flight = load->in_flight;
}

/*
 * Requests a second that this VM and those it hears may admit. What the others
 * have in flight is estimated by the share that is heard, and corrected for by
 * that share only, as a single VM's requests say little of all.
 */
static double rate_to_admit(const struct tr_overload *o,
			    const struct tr_overload_load *load)
{
	double heard = fmax(load->heard_share, HEARD_MIN);
	double expected = load->in_flight + o->growth * AHEAD_S;
	double room = load->slots + allowed_backlog(load) - expected / heard;
	double over_s = fmax((double)load->aim / 1e6 * CORRECTION_PART,
			     CORRECTION_MIN_S);

	return heard * fmax(load->capacity + heard * room / over_s,
			    load->capacity * ADMITTED_MIN);
}

/*
 * Requests a second by the smooth rates, corrected by the fast ones as far as
 * their difference exceeds what is due to chance.
 */
static double likely_demand(double smooth, double fast)
{
	double difference = fast - smooth;
	double square = difference * difference;
	double chance = smooth / (2 * TR_FLOW_FAST_S);

	return square > 0 ? smooth + difference * square / (square + chance)
			  : smooth;
}

/*
 * Moves the demands, which are the smooth rates, to the total. Flows whose fast
 * rate (in admitted) differs in this direction take part accordingly.
 */
static void move_demand(struct tr_share *shares, unsigned count, double by)
{
	double sign = by < 0 ? -1 : 1;
	double sum = 0;

	for (unsigned i = 0; i < count; i++) {
		double d = (shares[i].admitted - shares[i].demand) * sign;

		shares[i].admitted = fmax(d, 0);
		sum += shares[i].admitted;
	}
	for (unsigned i = 0; i < count && sum > 0; i++)
		shares[i].demand += by * shares[i].admitted / sum;
}

/* Collects the service's flows. Returns their number. */
static unsigned collect(struct tr_flows *flows, uint32_t service,
			double heard_share, struct tr_share *shares,
			double *demand, apr_time_t now)
{
	unsigned n = 0;
	double smooth = 0;
	double fast = 0;

	for (unsigned i = 0; i < flows->count; i++) {
		struct tr_flow *f = &flows->rows[i];

		if (f->key.service != service)
			continue;
		shares[n] = (struct tr_share){
			.rank = f->key.rank,
			.organisation = f->key.organisation,
			.demand = tr_flow_rate_smooth(f, heard_share, now),
			.usual = tr_flow_rate_usual(f, now),
			.admitted = tr_flow_rate_fast(f, heard_share, now),
		};
		smooth += shares[n].demand;
		fast += shares[n++].admitted;
	}
	*demand = likely_demand(smooth, fast);
	move_demand(shares, n, *demand - smooth);
	return n;
}

/*
 * Allocates what is to be admitted. Flows that get all they want of the whole
 * capacity keep it while work that waits is made up for: the others do that.
 */
static void allocate(struct tr_share *shares, unsigned count, double capacity,
		     double rate)
{
	struct tr_share *rest = calloc(count + 1, sizeof(*rest));
	unsigned n = 0;

	tr_shares_allocate(shares, count, fmax(capacity, rate));
	if (!rest || rate >= capacity) {
		free(rest);
		return;
	}
	for (unsigned i = 0; i < count; i++) {
		if (shares[i].admitted < 1)
			rest[n++] = shares[i];
		else
			rate -= shares[i].demand;
	}
	tr_shares_allocate(rest, n, rate);
	for (unsigned i = count; i-- > 0;)
		if (shares[i].admitted < 1)
			shares[i].admitted = rest[--n].admitted;
	free(rest);
}

/* Finds the most urgent rank after the given one (-1: of all), or returns -1.
 */
static int64_t next_rank(const struct tr_share *shares, unsigned count,
			 int64_t after)
{
	int64_t rank = -1;

	for (unsigned i = 0; i < count; i++)
		if (shares[i].demand > 0 && shares[i].rank > after &&
		    (rank < 0 || shares[i].rank < rank))
			rank = shares[i].rank;
	return rank;
}

/* The highest part admitted of any flow of the rank. */
static double best_part(const struct tr_share *shares, unsigned count,
			uint32_t rank)
{
	double part = 0;

	for (unsigned i = 0; i < count; i++)
		if (shares[i].rank == rank)
			part = fmax(part, shares[i].admitted);
	return part;
}

static void admit_all(struct tr_flows *flows, uint32_t service)
{
	for (unsigned i = 0; i < flows->count; i++)
		if (flows->rows[i].key.service == service)
			flows->rows[i].refused = 0;
}

/*
 * Sets the part of each of a rank's flows that is refused, and why: others of
 * the rank get more, or more urgent ranks do, or there is too much of all.
 */
static void apply_rank(struct tr_flows *flows, uint32_t service,
		       const struct tr_share *shares, unsigned count,
		       uint32_t rank, bool is_first)
{
	double best = best_part(shares, count, rank);
	unsigned n = 0;

	for (unsigned i = 0; i < flows->count; i++) {
		struct tr_flow *f = &flows->rows[i];

		if (f->key.service != service)
			continue;
		if (f->key.rank == rank) {
			f->refused = 1 - shares[n].admitted;
			if (shares[n].admitted + PART_EPSILON < best)
				f->refused_as = TR_OVERLOAD_SHARE;
			else if (is_first)
				f->refused_as = TR_OVERLOAD_BACKLOG;
			else
				f->refused_as = TR_OVERLOAD_RANK;
		}
		n++;
	}
}

/* Sets the part of each of the service's flows that is refused. */
static void apply(struct tr_flows *flows, uint32_t service,
		  const struct tr_share *shares, unsigned count)
{
	bool is_first = true;

	admit_all(flows, service);
	for (int64_t rank = next_rank(shares, count, -1); rank >= 0;
	     rank = next_rank(shares, count, rank)) {
		apply_rank(flows, service, shares, count, (uint32_t)rank,
			   is_first);
		is_first = false;
	}
}

/*
 * Whether requests are to be refused. Where no target is known, that is left to
 * the choice of a target.
 */
static bool is_overloaded(struct tr_overload *o, apr_time_t now)
{
	if (o->capacity <= 0 || o->demand <= o->admitted) {
		o->over_since = 0;
		return false;
	}
	if (!o->over_since)
		o->over_since = now;
	return o->active || now - o->over_since >= BEGIN_TIME ||
	       o->demand > o->admitted * (1 + BEGIN_PART);
}

/* Computes how much of each flow to admit. Called every 50 ms or so. */
void tr_overload_update(struct tr_overload *o, struct tr_flows *flows,
			uint32_t service, const struct tr_overload_load *load,
			apr_time_t now)
{
	struct tr_share *shares = calloc(flows->count + 1, sizeof(*shares));
	unsigned n;

	if (!shares)
		return;
	n = collect(flows, service, load->heard_share, shares, &o->demand, now);
	follow_growth(o, load, now);
	o->admitted = rate_to_admit(o, load);
	o->capacity = load->capacity;
	o->backlog = fmax(load->in_flight - load->slots, 0);
	o->aim = load->aim;
	o->updated_at = now;
	o->active = is_overloaded(o, now);
	if (o->active) {
		allocate(shares, n, load->capacity * load->heard_share,
			 o->admitted);
		apply(flows, service, shares, n);
	} else {
		admit_all(flows, service);
	}
	free(shares);
}

/*
 * Draws for a request, from 0 to 1. identity: a hash that the same request has
 * each time it comes, or 0. Each request's period begins at another time.
 */
static double draw(uint64_t identity, struct tr_random *random, apr_time_t now)
{
	struct tr_random own;
	uint64_t period;

	if (!identity)
		return tr_random_unit(random);
	period = ((uint64_t)now + identity % DRAW_PERIOD) / DRAW_PERIOD;
	own.state = tr_hash_pair(identity, period);
	return tr_random_unit(&own);
}

/*
 * Whether a request is admitted, or why not. The caller counts it by
 * tr_flow_arrived before and by tr_flow_admitted after.
 */
enum tr_overload_verdict tr_overload_admit(struct tr_overload *o,
					   struct tr_flow *f, uint64_t identity,
					   struct tr_random *random,
					   apr_time_t now)
{
	if (!o->active || f->refused <= 0)
		return TR_OVERLOAD_ADMITTED;
	if (draw(identity, random, now) >= f->refused)
		return TR_OVERLOAD_ADMITTED;
	return (enum tr_overload_verdict)f->refused_as;
}

/*
 * Retry-After in us for a refused caller: until the work that waits is done,
 * then spread over as many aims as the flow has requests for one that is
 * admitted, so that those who return are not more than come anyway.
 */
apr_time_t tr_overload_retry_after(const struct tr_overload *o,
				   const struct tr_flow *f,
				   struct tr_random *random, apr_time_t now)
{
	double after = 0;
	double spread = fmax((double)o->aim, (double)RETRY_AFTER_MIN);

	if (o->capacity > 0)
		after = o->backlog / o->capacity * 1e6 -
			(double)(now - o->updated_at);
	after = fmin((double)RETRY_AFTER_MIN + fmax(after, 0),
		     (double)RETRY_AFTER_MAX / 2);
	if (f->refused < 1)
		spread /= 1 - f->refused;
	else
		spread = (double)RETRY_AFTER_MAX;
	spread = fmin(spread, (double)RETRY_AFTER_MAX - after);
	return (apr_time_t)(after + tr_random_unit(random) * spread);
}

/*
 * Requests that the fleet probably sent and that this VM does not know of yet,
 * for tr_fill_level.
 */
double tr_overload_unseen(const struct tr_overload *o)
{
	return fmin(o->demand, o->admitted) * REPORT_AGE_S;
}

/* Whether requests are refused. */
bool tr_overload_active(const struct tr_overload *o)
{
	return o->active;
}
