/*
 * Choosing a target: the least expected loss, from what the whole fleet says
 * of each. The answer to a slot that is busy is a short wait at the target,
 * whose own queue keeps slots busy without a gap, where a queue here would
 * learn of a free slot a message later.
 */
#include "place.h"

#include <math.h>
#include <string.h>

#include "clock.h"
#include "floor.h"
#include "mechanism.h"

/* Costs are parts of what a request is worth that is answered within its aim.
 *
 * One that fails at a gray target is lost; three of four do. */
#define LOSS 0.75
/* One that may be sent once more costs its second attempt: a connection and
 * some of the fleet's bound on repeats, beside what makes its answer late. So
 * reads find out which targets are well again, and what must run once goes
 * where they were answered. */
#define REPEAT_COST 0.05
/* An answer after the aim is worth so much less. A failure costs more than its
 * credit, since operators count the nines of what is served at all: a wait,
 * also one a little beyond the aim, goes before a target that is known to be
 * gray.
 */
#define LATE_COST 0.45
/* Times of work are about log-normal; the logistic curve of this steepness
 * follows their distribution to 0.01. */
#define STEEPNESS 1.7
/* A target whose slots are all taken costs so much more than an idle one,
 * beside the wait: among alike targets the idle ones come first. */
#define BUSY_COST 0.05
/* A target to which a connection rests here costs so much less: more than the
 * blur, and less than a busy slot. */
#define KEPT_GAIN 0.03
/* The cost of crossing data centres, for the bytes that operators pay, and a
 * body that is moved adds to it. More than a busy slot. */
#define AWAY_COST      0.1
#define AWAY_BODY      300000.0
#define AWAY_COST_MOST 0.3
/* Costs are blurred by so much (the scale of a Gumbel variable, which makes the
 * choice a softmax): what other VMs have sent in the last tenth of a second is
 * not known yet, and if all took the one cheapest target a sudden hang there
 * would take several requests with it. */
#define BLUR 0.02
/* From here on a target counts as a suspect, whose queue says nothing of how
 * long work takes. */
#define SUSPECT 0.5
/* A wait that ends with less than this part of the usual time left for the
 * work is hopeless. */
#define LEAST_WORK 1.0
/* When callers come back whom no target can serve, and at most where limits are
 * so low that the next request may be long away, in us. */
#define RETURN_UNKNOWN 300e3
#define RETURN_MOST    3e6
/* Over how long callers come back once a target has rested, in us. */
#define RESTED_SPREAD 1e6

static double gumbel(struct tr_random *random)
{
	double u = tr_random_unit(random);

	return -log(-log(u > 1e-12 && u < 1 ? u : 0.5));
}

static bool was_tried(const struct tr_place_request *req, uint32_t row)
{
	for (unsigned i = 0; i < req->tried_count; i++)
		if (req->tried[i] == row)
			return true;
	return false;
}

/* How long until a slot is free, as far as the fleet's numbers tell. */
static apr_time_t expected_wait(const struct tr_instance *row, apr_time_t usual,
				uint32_t in_flight)
{

	if (in_flight < row->slots)
		return 0;
	return (apr_time_t)((in_flight - row->slots + 1) * (double)usual /
			    row->slots);
}

/* The chance that work which takes so long in the mean, with times that spread
 * so, takes longer than the limit. */
static double chance_beyond(double takes, apr_time_t limit, double spread)
{
	if (limit <= 0)
		return 1;
	return 1 / (1 + pow((double)limit / takes, STEEPNESS / spread));
}

static double late_cost(const struct tr_place_request *req, double takes)
{
	return LATE_COST * chance_beyond(takes, req->aim_left, req->spread);
}

/* What a failure costs: all, or that the answer comes from a second attempt,
 * which begins when the first one turns out to have failed. */
static double loss_of(const struct tr_place_request *req)
{
	double again = (double)(req->failure_age + req->usual);

	if (!req->may_repeat || !tr_mechanism_enabled(TR_MECH_SCOUTS))
		return LOSS;
	return REPEAT_COST + late_cost(req, again) -
	       late_cost(req, (double)req->usual);
}

static double away_cost(const struct tr_instance *row,
			const struct tr_place_request *req)
{
	double away = AWAY_COST + (double)req->body_bytes / AWAY_BODY;

	if (!strcmp(row->data_centre, req->data_centre) ||
	    !tr_mechanism_enabled(TR_MECH_CENTRE_PREFERENCE))
		return 0;
	return fmin(away, AWAY_COST_MOST);
}

static double kept_gain(const struct tr_instance *row,
			const struct tr_place_request *req)
{
	return req->keeps && row->kept ? KEPT_GAIN : 0;
}

static double cost_of(const struct tr_instance *row,
		      const struct tr_place_request *req, double loss,
		      apr_time_t now, struct tr_placement *p)
{
	uint32_t in_flight = tr_instance_in_flight(row, now);
	double takes = (double)req->usual;
	double share;

	p->wait = expected_wait(row, req->usual, in_flight);
	p->risk = tr_gray_probability(&row->gray, now);
	/* Work that is under way shares the target's speed to some extent; an
	 * idle one comes first. */
	share = (double)in_flight / row->slots;
	takes += (double)p->wait;
	return p->risk * loss + late_cost(req, takes) +
	       LOSS * chance_beyond(takes, req->time_left, req->spread) +
	       share * BUSY_COST + away_cost(row, req) - kept_gain(row, req);
}

/*
 * Would work that is sent now end in time? A queue that stands must not be
 * longer than the aim: else, at twice the load, every answer comes late and as
 * many are refused. For the length of a burst it may.
 */
static bool in_time(const struct tr_place_request *req,
		    const struct tr_placement *p)
{
	apr_time_t left = req->time_left;

	if (!tr_mechanism_enabled(TR_MECH_EARLY_REFUSAL))
		return true;
	if (req->standing_queue && req->aim_left > req->usual)
		left = req->aim_left;
	return (double)p->wait + (double)req->usual * LEAST_WORK <=
	       (double)left;
}

/* Can the request go to the target, if its limit allows? */
static bool is_candidate(const struct tr_instance *row, uint32_t at,
			 const struct tr_place_request *req, apr_time_t now)
{
	return row->used && row->service == req->service &&
	       tr_instance_usable(row, now) && !was_tried(req, at);
}

/*
 * Of the targets that have named a limit, the one to which this request may go:
 * drawn by what may be sent to each, and none mostly while little may. Those of
 * another group are left to that, which counts what is sent there.
 */
static uint32_t draw_limited(const struct tr_roster *roster,
			     const struct tr_place_request *req,
			     struct tr_random *random, apr_time_t now)
{
	uint32_t drawn = TR_NO_ROW;
	double sum = 0;

	if (!roster->limits.holding)
		return TR_NO_ROW;
	for (uint32_t i = 0; i < roster->count; i++) {
		const struct tr_instance *row = &roster->rows[i];
		const struct tr_send_limit *l = tr_roster_limit(roster, row);
		double tokens;

		if (!l || row->away || !is_candidate(row, i, req, now))
			continue;
		tokens = tr_send_limit_tokens(l, req->heard, now);
		if (tokens < 1)
			continue;
		sum += tokens;
		if (tr_random_unit(random) * sum < tokens)
			drawn = i;
	}
	if (!tr_send_limits_admit(sum, req->request_rate,
				  tr_random_unit(random)))
		return TR_NO_ROW;
	return drawn;
}

/* What came of the requests of the service that this one is for. */
static struct tr_floor_load load_of(const struct tr_roster *roster,
				    const struct tr_place_request *req,
				    apr_time_t now)
{
	const struct tr_service_stats *svc = &roster->services[req->service];

	return (struct tr_floor_load){
		.outcomes = tr_service_stats_recent_outcomes(svc, now),
		.failure_ratio = tr_service_stats_failure_ratio(svc),
		.rate = req->request_rate,
	};
}

/* The target that the floor asks this request for, or TR_NO_ROW. */
static uint32_t floor_pick(const struct tr_place_request *req,
			   const struct tr_floor_check *check,
			   const struct tr_floor_load *load,
			   struct tr_random *random)
{
	if (!tr_mechanism_enabled(TR_MECH_FLOOR) || !check->idle_count)
		return TR_NO_ROW;
	return tr_floor_check_pick(check, req->floor_share, load,
				   tr_random_unit(random));
}

/*
 * Choose a target for the request. TR_PLACE_TOO_LATE: there are targets, but
 * work sent now would not end in time at any of them. TR_PLACE_LIMITED: it
 * would, but these have as much as they take. TR_PLACE_RESTING: all that serve
 * have asked this VM for rest.
 */
enum tr_place_result tr_place(const struct tr_roster *roster,
			      const struct tr_place_request *req,
			      struct tr_random *random, apr_time_t now,
			      struct tr_placement *placing)
{
	unsigned known = 0;
	unsigned untried = 0;
	const struct tr_floor_load load = load_of(roster, req, now);
	struct tr_floor_check check;
	double loss = loss_of(req);
	unsigned fitting = 0;
	unsigned limited = 0;
	unsigned resting = 0;
	apr_time_t shortest_time = APR_INT64_MAX;
	uint32_t drawn = draw_limited(roster, req, random, now);
	uint32_t picked;

	tr_floor_check_init(&check, req->may_repeat && tr_mechanism_enabled(
							       TR_MECH_SCOUTS));
	tr_floor_check_set_rotation(&check, &req->turns);
	tr_floor_check_set_load(&check, &load);
	placing->row = TR_NO_ROW;
	placing->cost = INFINITY;
	for (uint32_t i = 0; i < roster->count; i++) {
		const struct tr_instance *row = &roster->rows[i];
		struct tr_placement p = { .row = i };
		apr_time_t takes;
		bool fits;

		if (row->service != req->service ||
		    !tr_instance_serves(row, now))
			continue;
		if (!tr_instance_usable(row, now)) {
			resting++;
			continue;
		}
		known++;
		if (was_tried(req, i))
			continue;
		untried++;
		p.cost = cost_of(row, req, loss, now, &p);
		takes = p.wait + req->usual;
		if (p.risk < SUSPECT && takes < shortest_time)
			shortest_time = takes;
		fits = row->full_until <= now && in_time(req, &p);
		if (tr_roster_limit(roster, row)) {
			limited += fits && i != drawn;
			fits &= i == drawn;
		} else if (!row->away) {
			/* Other groups keep theirs at work, and tell of it too
			 * late. */
			tr_floor_check_add(&check, row, i, p.risk, fits, now);
		}
		if (!fits)
			continue;
		fitting++;
		if (tr_mechanism_enabled(TR_MECH_BLUR))
			p.cost -= BLUR * gumbel(random);
		if (p.cost < placing->cost)
			*placing = p;
	}
	placing->for_floor = false;
	picked = floor_pick(req, &check, &load, random);
	if (picked != TR_NO_ROW) {
		placing->row = picked;
		placing->for_floor = true;
		placing->cost =
			cost_of(&roster->rows[picked], req, loss, now, placing);
	}
	placing->shortest_time = shortest_time;
	if (fitting)
		return TR_PLACE_FOUND;
	if (!known)
		return resting ? TR_PLACE_RESTING : TR_PLACE_NONE_KNOWN;
	if (limited)
		return TR_PLACE_LIMITED;
	return untried ? TR_PLACE_TOO_LATE : TR_PLACE_ALL_TRIED;
}

/* What the targets of a service can take, for callers that are refused. */
struct room {
	double in_flight;
	double slots;
	double limits;
	apr_time_t rested_at;
};

static void see_room(struct room *room, const struct tr_roster *roster,
		     const struct tr_instance *row,
		     const struct tr_place_request *req, apr_time_t now)
{
	const struct tr_send_limit *l = tr_roster_limit(roster, row);

	if (!tr_instance_usable(row, now)) {
		if (row->backoff_until < room->rested_at)
			room->rested_at = row->backoff_until;
	} else if (l) {
		room->limits += tr_send_limit_rate(l, req->heard);
	} else {
		room->in_flight += tr_instance_in_flight(row, now);
		room->slots += row->slots;
	}
}

/*
 * When a refused caller should come back: when the work that is there now
 * should be over, or where all targets have named limits when the next request
 * may be sent, or where all rest when the first has rested; spread so that they
 * do not all return at once.
 */
apr_time_t tr_place_retry_after(const struct tr_roster *roster,
				const struct tr_place_request *req,
				struct tr_random *random, apr_time_t now)
{
	struct room room = { .rested_at = APR_INT64_MAX };
	double spread = tr_random_unit(random);
	double after = RETURN_UNKNOWN;

	for (uint32_t i = 0; i < roster->count; i++) {
		const struct tr_instance *row = &roster->rows[i];

		if (row->service == req->service &&
		    tr_instance_serves(row, now))
			see_room(&room, roster, row, req, now);
	}
	if (room.slots > 0)
		after = (double)req->usual *
			fmax(0.25, room.in_flight / room.slots - 1);
	else if (room.limits > 0)
		after = fmin(1e6 / room.limits, RETURN_MOST);
	else if (room.rested_at != APR_INT64_MAX)
		return room.rested_at - now +
		       (apr_time_t)(RESTED_SPREAD * spread);
	return (apr_time_t)(after * (1 + spread));
}
