/*
 * Decides which part of a service's requests leaves the data centre, and where
 * it goes. The part follows from the arrivals and the capacity, which don't
 * depend on what VMs decide, rather than from the queues, which do: it neither
 * oscillates when updates are late nor grows because several VMs see the same
 * queue. All VMs of a data centre compute the same part and each sends that
 * part of its own requests.
 */
#include "crossing.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "clock.h"

/*
 * Time constants, in seconds, of the arrival rates. The long one keeps the
 * noise of a hundred requests a second below 0.06; the short one is used once
 * it differs by this many of its standard deviations, so that the end of a
 * shortage shows within a second.
 */
#define DEMAND_FAST_S	 0.4
#define DEMAND_SLOW_S	 1.6
#define DEMAND_DEVIATION 3.5
/* Time constant, in seconds, of the loads: a work time or two. */
#define LOAD_S 0.4
/*
 * Load relative to the capacity from which on home targets count as full, and
 * below which they no longer do. With 120 slots at three quarters of the
 * capacity, chance alone brings the load to all of it now and then.
 */
#define FULL_LOAD     1.1
#define NOT_FULL_LOAD 0.7
/*
 * Part of the requests that home must be short of for any to leave, and below
 * which all stay again. A smaller shortage costs less wait than leaving does,
 * and grows by its queue.
 */
#define SHORT_START 0.1
#define SHORT_END   0.02
/* Time constant, in seconds, of the work time: a VM that gets three requests a
 * second knows it to a tenth only, by its last 40 answers. */
#define WORK_S 20.0
/*
 * Part of the capacity at home that is used before requests leave: nearer to
 * all of it, chance alone builds up a queue.
 */
#define HOME_FILL 0.98
/*
 * Part of the time between the work and the aim that requests may wait at home
 * before more of them leave: their wait varies, and most are still to be in
 * time. With the second value they wait rather than leave where a request and
 * its answer have this many bytes, from which on choosing a target puts its
 * highest price on leaving.
 */
#define WAIT_USUAL 0.25
#define WAIT_DEAR  0.5
#define DEAR_BYTES 60000.0
/*
 * Part of the capacity elsewhere that may be used: requests there are not to
 * wait for those that came from here.
 */
#define OTHERS_FILL 0.7
/* Time constant, in seconds, of the load elsewhere that is not from here. What
 * is known of the two parts of that load differs in age; without this the part
 * that leaves would react to its own changes. */
#define OTHERS_S 2.0
/* Time, in seconds, in which a queue at home is worked off: longer
 * than updates are late, so that the queue doesn't oscillate. */
#define DRAIN_S 2.0
/* Time, in seconds, after which requests that leave show in the load there,
 * beside their work time. Used where the VMs there are of this VM's group, and
 * their requests can't be told from those of this data centre. */
#define REPORT_S 0.25
/*
 * Age of the last message from a data centre up to which its room counts in
 * full, and from which on it doesn't count. Updates are 1 s old at times.
 */
#define HEARD_FULL  TR_MSEC(1500)
#define HEARD_NEVER TR_MSEC(3000)
/*
 * Connections in a row that failed from which on the path counts as cut (one
 * may be a lost packet), and the time after which one more is tried.
 */
#define CUT_FAILURES 2
#define RETRY_AFTER  TR_MSEC(1000)
/* Weight of the newest connect time: the mean follows in a few connections. */
#define CONNECT_WEIGHT 0.3
/* Round trips of a request on a new connection. */
#define ROUND_TRIPS 2
/* Weight of the newest request in the mean bytes. */
#define BYTES_WEIGHT 0.05
/* A body larger than usual by this factor leaves only if none smaller came. */
#define LARGE_BODY 2
/* Change that is logged, and the least time between two lines. */
#define LOG_CHANGE 0.1
#define LOG_PERIOD TR_SEC(1)

static double decay(apr_time_t elapsed, double time_constant_s)
{
	return exp(-(double)elapsed / 1e6 / time_constant_s);
}

static void advance_demand(struct tr_crossing_demand *d, apr_time_t now)
{
	d->fast *= decay(now - d->at, DEMAND_FAST_S);
	d->slow *= decay(now - d->at, DEMAND_SLOW_S);
	d->at = now;
}

/*
 * Returns the arrival rate. The long mean starts from the short one whenever
 * the two differ by more than chance explains.
 */
static double demand_rate(struct tr_crossing_demand *d, apr_time_t now)
{
	double deviation;

	advance_demand(d, now);
	deviation = sqrt(fmax(d->fast, d->slow) / (2 * DEMAND_FAST_S));
	if (fabs(d->fast - d->slow) > DEMAND_DEVIATION * deviation)
		d->slow = d->fast;
	return d->slow;
}

/* Adds arrivals of callers' requests at this VM or at another one of its group
 * and data centre. */
void tr_crossing_arrived(struct tr_crossing *c, unsigned requests,
			 apr_time_t now)
{
	advance_demand(&c->demand, now);
	c->demand.fast += requests / DEMAND_FAST_S;
	c->demand.slow += requests / DEMAND_SLOW_S;
}

/* Adds an answered request with the bytes of its body and its answer. */
void tr_crossing_answered(struct tr_crossing *c, uint64_t bytes)
{
	c->usual_bytes += ((double)bytes - c->usual_bytes) * BYTES_WEIGHT;
}

/*
 * Returns the data centre's row, or NULL while there is none. Only an update
 * adds rows, the home first.
 */
static struct tr_crossing_centre *find_centre(struct tr_crossing *c,
					      const char *data_centre)
{
	for (unsigned i = 0; i < c->centres_count; i++)
		if (!strcmp(c->centres[i].data_centre, data_centre))
			return &c->centres[i];
	return NULL;
}

/* Returns the data centre's row, added if it is new; NULL if there are too
 * many. */
static struct tr_crossing_centre *find_or_add_centre(struct tr_crossing *c,
						     const char *data_centre)
{
	struct tr_crossing_centre *found = find_centre(c, data_centre);

	if (found || c->centres_count == TR_CROSSING_CENTRES)
		return found;
	found = &c->centres[c->centres_count++];
	memset(found, 0, sizeof(*found));
	snprintf(found->data_centre, sizeof(found->data_centre), "%s",
		 data_centre);
	return found;
}

/* Records when a VM of the data centre was heard. */
void tr_crossing_heard(struct tr_crossing *c, const char *data_centre,
		       apr_time_t at)
{
	struct tr_crossing_centre *centre = find_centre(c, data_centre);

	if (centre && at > centre->heard_at)
		centre->heard_at = at;
}

/* Records a connection that this VM made to a target there. */
void tr_crossing_connected(struct tr_crossing *c, const char *data_centre,
			   apr_time_t took, apr_time_t now)
{
	struct tr_crossing_centre *centre = find_centre(c, data_centre);

	if (!centre)
		return;
	centre->failures = 0;
	centre->tried_at = now;
	if (centre->connect_us <= 0)
		centre->connect_us = (double)took;
	centre->connect_us +=
		((double)took - centre->connect_us) * CONNECT_WEIGHT;
}

/* Records that this VM could not connect to a target there by itself, though
 * the target did not refuse it. */
void tr_crossing_unreached(struct tr_crossing *c, const char *data_centre,
			   apr_time_t now)
{
	struct tr_crossing_centre *centre = find_centre(c, data_centre);

	if (!centre)
		return;
	centre->failures++;
	centre->tried_at = now;
}

/* Loads of a data centre, in requests a second, as of now. */
struct loads {
	double all;
	double sent;
};

/*
 * Returns the requests in flight at the target by the last report of its group.
 * The greater of that and what this group has sent, which tr_instance_in_flight
 * returns, would on the sum of many targets be too high by a request or so for
 * each.
 */
static double in_flight(const struct tr_instance *row, apr_time_t now)
{
	if (!row->remote)
		return tr_instance_in_flight(row, now);
	return now - row->reported_at < HEARD_NEVER ? row->reported_in_flight
						    : 0;
}

/* Sums up the service's targets by data centre. */
static void add_up_targets(struct tr_crossing *c,
			   const struct tr_roster *roster,
			   const struct tr_crossing_input *in,
			   struct loads *loads, apr_time_t now)
{
	double work_s = c->work_us / 1e6;

	for (unsigned i = 0; i < c->centres_count; i++) {
		c->centres[i].capacity = 0;
		c->centres[i].sent_known = true;
	}
	for (uint32_t i = 0; i < roster->count; i++) {
		const struct tr_instance *row = &roster->rows[i];
		struct tr_crossing_centre *centre;
		struct loads *at;
		double sound;

		if (row->service != in->service ||
		    !tr_instance_usable(row, now))
			continue;
		centre = find_or_add_centre(c, row->data_centre);
		if (!centre)
			continue;
		sound = 1 - tr_gray_probability(&row->gray, now);
		centre->capacity += sound * row->slots / work_s;
		centre->sent_known &= row->remote;
		at = &loads[centre - c->centres];
		at->all += sound * in_flight(row, now) / work_s;
		at->sent += sound *
			    (row->in_flight + row->connecting +
			     row->others_in_flight) *
			    in->vms_per_heard / work_s;
	}
}

/*
 * Returns the part of the load there that is being worked on. The rest waits:
 * requests are not spread evenly over targets, so some wait before all targets
 * are busy. An approximation: with 1.4 times the slots in flight it takes 0.9
 * of them for busy, where 0.85 were.
 */
static double served_part(const struct tr_crossing_centre *centre)
{
	double busy =
		centre->capacity > 0 ? centre->load / centre->capacity : 0;

	return 1 / cbrt(1 + busy * busy * busy);
}

/* Smooths the loads of all data centres. */
static void update_loads(struct tr_crossing *c, const struct loads *loads,
			 apr_time_t elapsed)
{
	double keep = decay(elapsed, LOAD_S);
	double keep_others = decay(elapsed, OTHERS_S);

	for (unsigned i = 0; i < c->centres_count; i++) {
		struct tr_crossing_centre *centre = &c->centres[i];
		const struct loads *at = &loads[i];
		double rest;

		centre->load = at->all + (centre->load - at->all) * keep;
		if (centre->sent_known)
			centre->sent =
				at->sent + (centre->sent - at->sent) * keep;
		rest = fmax(0, centre->load - centre->sent) *
		       served_part(centre);
		centre->others_load =
			rest + (centre->others_load - rest) * keep_others;
	}
}

/* Returns the requests that may queue at home, in units of its load. */
static double tolerated_queue(const struct tr_crossing *c,
			      const struct tr_crossing_input *in)
{
	double dear = fmin(1, c->usual_bytes / DEAR_BYTES);
	double part = WAIT_USUAL + (WAIT_DEAR - WAIT_USUAL) * dear;
	double wait = part * fmax(0, (double)in->aim - c->work_us);

	return c->centres[0].capacity * wait / c->work_us;
}

/* Returns the requests a second that home can't serve in time. */
static double shortage(struct tr_crossing *c,
		       const struct tr_crossing_input *in)
{
	const struct tr_crossing_centre *home = &c->centres[0];
	double queue = home->load - home->capacity - tolerated_queue(c, in);
	double drain = fmax(0, queue) * c->work_us / 1e6 / DRAIN_S;
	double excess = c->demand_rate + drain - HOME_FILL * home->capacity;

	if (home->load >= FULL_LOAD * home->capacity)
		c->home_full = true;
	if (home->load < NOT_FULL_LOAD * home->capacity)
		c->home_full = false;
	if (!c->home_full)
		return 0;
	return fmin(c->demand_rate, fmax(0, excess));
}

/* Returns from 0 to 1 how far this VM's path to the data centre can be used. A
 * slow one uses up the time between the work and the aim. */
static double path_weight(const struct tr_crossing_centre *centre,
			  double spare_time, apr_time_t now)
{
	double weight = 1 - ROUND_TRIPS * centre->connect_us / spare_time;

	if (weight > 0 && centre->failures < CUT_FAILURES)
		return weight;
	return now - centre->tried_at >= RETRY_AFTER ? 1 : 0;
}

/* Returns from 0 to 1 how far what is known of the data centre's load holds. */
static double heard_weight(const struct tr_crossing_centre *centre,
			   apr_time_t now)
{
	apr_time_t age = now - centre->heard_at;

	if (!centre->heard_at)
		return 0;
	return fmin(1, fmax(0, (double)(HEARD_NEVER - age) /
				       (HEARD_NEVER - HEARD_FULL)));
}

/* Returns the requests a second that all VMs of this data centre may send to
 * another one. */
static double room(const struct tr_crossing_centre *centre, double spare_time,
		   apr_time_t now)
{
	/* Targets that have slowed down hold more than they can serve. */
	double over =
		centre->capacity > 0 ? centre->load / centre->capacity - 1 : 1;
	double spare = OTHERS_FILL * centre->capacity - centre->others_load;

	spare *= fmin(1, fmax(0, 1 - over));
	return fmax(0, spare) * path_weight(centre, spare_time, now) *
	       heard_weight(centre, now);
}

/* Sets the fractions by the shortage and the room elsewhere. */
static void share_out(struct tr_crossing *c, const struct tr_crossing_input *in,
		      double needed, apr_time_t elapsed, apr_time_t now)
{
	double keep = decay(elapsed, c->work_us / 1e6 + REPORT_S);
	double spare_time = fmax(1, (double)in->aim - c->work_us);
	double total = 0;
	double part;

	for (unsigned i = 1; i < c->centres_count; i++) {
		c->centres[i].room = room(&c->centres[i], spare_time, now);
		total += c->centres[i].room;
	}
	c->is_short = needed >
		      (c->is_short ? SHORT_END : SHORT_START) * c->demand_rate;
	part = total > 0 && c->is_short ? fmin(1, needed / total) : 0;
	c->fraction = 0;
	for (unsigned i = 1; i < c->centres_count; i++) {
		struct tr_crossing_centre *centre = &c->centres[i];
		double rate = centre->room * part;

		centre->fraction =
			c->demand_rate > 0 ? rate / c->demand_rate : 0;
		c->fraction += centre->fraction;
		if (!centre->sent_known)
			centre->sent = rate + (centre->sent - rate) * keep;
	}
}

/* Updates the decision. Called every 50 ms or so. */
void tr_crossing_update(struct tr_crossing *c, const struct tr_roster *roster,
			const struct tr_crossing_input *in, apr_time_t now)
{
	struct loads loads[TR_CROSSING_CENTRES] = { 0 };
	apr_time_t elapsed = now - c->updated_at;

	find_or_add_centre(c, in->data_centre);
	if (c->work_us <= 0)
		c->work_us = (double)in->work;
	c->work_us +=
		((double)in->work - c->work_us) * (1 - decay(elapsed, WORK_S));
	add_up_targets(c, roster, in, loads, now);
	update_loads(c, loads, elapsed);
	c->updated_at = now;
	c->demand_rate = demand_rate(&c->demand, now) * in->vms_per_heard;
	share_out(c, in, shortage(c, in), elapsed, now);
}

/*
 * Returns the data centre that a request is to be sent to, or NULL while home
 * is not short. Every so many requests of this VM one leaves, from a random
 * start on: a draw for each would vary more than the part itself. Further
 * attempts of a request are not drawn, as those that home refuses would leave
 * more often.
 */
const char *tr_crossing_draw(struct tr_crossing *c, uint64_t body_bytes,
			     bool is_first, struct tr_random *random)
{
	double at;

	if (!c || !c->is_short)
		return NULL;
	if (!is_first)
		return c->centres[0].data_centre;
	if (!c->position_drawn)
		c->position = tr_random_unit(random);
	c->position_drawn = true;
	c->position = fmin(2, c->position + c->fraction);
	if (c->position < 1 ||
	    (c->position < 2 &&
	     (double)body_bytes > LARGE_BODY * c->usual_bytes))
		return c->centres[0].data_centre;
	c->position -= 1;
	at = tr_random_unit(random) * c->fraction;
	for (unsigned i = 1; i < c->centres_count; i++) {
		at -= c->centres[i].fraction;
		if (at < 0)
			return c->centres[i].data_centre;
	}
	return c->centres[0].data_centre;
}

/* Returns whether a change of the part that leaves is to be logged now, and
 * counts it as logged. */
bool tr_crossing_log_due(struct tr_crossing *c, apr_time_t now)
{
	bool toggled = (c->fraction > 0) != (c->logged_fraction > 0);

	if (now - c->logged_at < LOG_PERIOD ||
	    (!toggled && fabs(c->fraction - c->logged_fraction) < LOG_CHANGE))
		return false;
	c->logged_fraction = c->fraction;
	c->logged_at = now;
	return true;
}
