/*
 * Target selection. Each candidate target gets an expected cost from what the
 * fleet reports of it, and the cheapest one is chosen. A request for a target
 * whose slots are all busy is sent anyway if the expected wait is short: the
 * target's own queue refills a slot without a gap, whereas a queue in the proxy
 * would learn of a free slot one message later.
 */
#include "place.h"

#include <math.h>
#include <string.h>

#include "clock.h"
#include "fill.h"
#include "floor.h"
#include "mechanism.h"

/*
 * Costs are fractions of the value of a request that is answered within its
 * latency aim.
 *
 * A request sent to a gray target is lost in three of four cases.
 */
#define FAILURE_COST 0.75
/*
 * A failed request that may be retried costs its second attempt: a connection
 * and a part of the fleet's bound on repeats, besides the cost of the later
 * answer. With this low cost reads probe whether a suspect has recovered, while
 * requests that must run only once go to targets where reads were answered.
 */
#define RETRY_COST 0.05
/*
 * Chance that a repeat is denied up to which a request may probe a suspect like
 * one that is sure to be repeated.
 */
#define PROBE_MAX_DENIED 0.5
/*
 * Cost of an answer later than the latency aim. It is lower than the cost of a
 * failure, since operators count the share of requests that are served at all:
 * a wait, even one slightly longer than the aim, is preferred to a target that
 * is known to be gray.
 */
#define LATE_COST 0.45
/*
 * Work times are roughly log-normal; a logistic curve with this steepness
 * approximates their distribution within 0.01.
 */
#define LOGISTIC_STEEPNESS 1.7
/*
 * Extra cost of a target whose slots are all busy, beside the wait: among
 * otherwise equal targets idle ones are preferred.
 */
#define BUSY_COST 0.05
/*
 * Discount for a target to which this VM has an idle connection: more than the
 * noise, less than a busy slot.
 */
#define REUSE_GAIN 0.03
/*
 * Cost of sending a request to another data centre, because operators pay for
 * these bytes. The size of the body adds to it. Higher than the cost of a busy
 * slot.
 */
#define CROSS_DC_COST	    0.1
#define CROSS_DC_BODY_BYTES 300000.0
#define CROSS_DC_COST_MAX   0.3
/*
 * Cost of a target that this VM reached only through another VM: a connection
 * more and some milliseconds.
 */
#define DETOUR_COST 0.1
/*
 * Scale of the Gumbel noise that is added to costs, which makes the choice a
 * softmax. What other VMs sent in the last tenth of a second is not known yet;
 * if all chose the single cheapest target, a sudden hang there would affect
 * several requests.
 */
#define COST_NOISE 0.02
/*
 * Cost of using a target beyond the point from which it slows down: as much as
 * leaving the data centre, and several times the noise and the cost of a busy
 * slot, so that any other target with room is preferred. Half of it is the cost
 * of the last request below that point: what other VMs sent in the last tenth
 * of a second is not known yet.
 */
#define SLOWED_COST	 0.1
#define ALMOST_SLOW_COST (SLOWED_COST / 2)
/* Share of the expected work time that must be left after the wait. */
#define MIN_WORK 1.0
/*
 * Retry-After in us when no target is known, and its maximum when targets have
 * set rate limits so low that the next request may be far off.
 */
#define RETRY_AFTER_DEFAULT_US 300e3
#define RETRY_AFTER_MAX_US     3e6
/* Interval in us over which callers return after a target's requested pause. */
#define BACKOFF_JITTER_US 1e6

/*
 * Chance of being gray up to which targets are as good as another in an
 * overload, when load decides: twice that of a target that has just answered.
 */
#define SOUND_RISK 0.06
/*
 * Requests for each slot that a target in another data centre counts as holding
 * in addition, so that the request's own data centre is filled first.
 */
#define CROSS_DC_HELD 0.4
/* Most targets that one request is spread over in an overload. */
#define SPREAD_MAX 512

/* Targets that a request may be spread over in an overload. */
struct spread {
	struct tr_fill targets[SPREAD_MAX];
	struct tr_placement placements[SPREAD_MAX];
	unsigned count;
};

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

/*
 * Estimates the time until a slot is free from the load that the fleet reports.
 */
static apr_time_t expected_wait(const struct tr_instance *row,
				apr_time_t expected_work, uint32_t in_flight)
{

	if (in_flight < row->slots)
		return 0;
	return (apr_time_t)((in_flight - row->slots + 1) *
			    (double)expected_work / row->slots);
}

/*
 * The probability that work with this mean and log-scale spread takes longer
 * than the limit.
 */
static double probability_over(double takes, apr_time_t limit, double spread)
{
	if (limit <= 0)
		return 1;
	return 1 /
	       (1 + pow((double)limit / takes, LOGISTIC_STEEPNESS / spread));
}

static double late_cost(const struct tr_place_request *req, double takes)
{
	return LATE_COST * probability_over(takes, req->aim_left, req->spread);
}

/*
 * The cost of a failure: the whole request, or, if it may be retried, a second
 * attempt that starts when the first one is known to have failed. Where the
 * bound on repeats leaves little room a retry is worth that much less: targets
 * that reset connections at once look idle, and with cheap failures they drew
 * half of the reads of an overloaded service.
 */
static double expected_failure_cost(const struct tr_place_request *req)
{
	double retry_time = (double)(req->failure_age + req->expected_work);
	double retry_cost;

	if (!req->may_repeat || !tr_mechanism_enabled(TR_MECH_SUSPECT_PROBES))
		return FAILURE_COST;
	retry_cost = RETRY_COST + late_cost(req, retry_time) -
		     late_cost(req, (double)req->expected_work);
	return (1 - req->repeat_denied) * retry_cost +
	       req->repeat_denied * FAILURE_COST;
}

/*
 * The cost of sending the request outside the data centre that it is to stay
 * in. drawn is the one that was drawn for it, or NULL if none was: home then. A
 * request goes elsewhere than drawn only where that one can hardly serve it.
 */
static double cross_dc_cost(const struct tr_instance *row,
			    const struct tr_place_request *req,
			    const char *drawn)
{
	double cost =
		CROSS_DC_COST + (double)req->body_bytes / CROSS_DC_BODY_BYTES;

	if (!strcmp(row->data_centre, drawn ? drawn : req->data_centre) ||
	    !tr_mechanism_enabled(TR_MECH_CENTRE_PREFERENCE))
		return 0;
	return drawn ? CROSS_DC_COST_MAX : fmin(cost, CROSS_DC_COST_MAX);
}

static double reuse_gain(const struct tr_instance *row,
			 const struct tr_place_request *req)
{
	return req->use_pool && row->idle_conns ? REUSE_GAIN : 0;
}

/*
 * Sets the expected work time at the target. Returns the cost of using it near
 * or beyond the point from which it slows down, if it does.
 */
static double apply_speed(const struct tr_instance *row,
			  const struct tr_place_request *req,
			  uint32_t in_flight, apr_time_t now,
			  struct tr_placement *p)
{
	uint32_t room = tr_target_speed_room(row->slots);
	bool nearly_full = in_flight >= room;
	struct tr_speed_factors factors;

	p->work = req->expected_work;
	if (!req->learn_target_speed)
		return 0;
	factors = tr_target_speed_factors(&row->speed, req->spread, now);
	p->work = (apr_time_t)((double)req->expected_work *
			       (nearly_full ? factors.full : factors.usual));
	if (!factors.slows || in_flight + 1 < room)
		return 0;
	return nearly_full ? SLOWED_COST : ALMOST_SLOW_COST;
}

static double target_cost(const struct tr_instance *row,
			  const struct tr_place_request *req, const char *drawn,
			  double loss, apr_time_t now, struct tr_placement *p)
{
	uint32_t in_flight = tr_instance_in_flight(row, now);
	double slowed_cost = apply_speed(row, req, in_flight, now, p);
	double takes = (double)p->work;
	double share;

	p->wait = expected_wait(row, p->work, in_flight);
	p->risk = tr_gray_probability(&row->gray, now);
	/*
	 * Requests in flight share the target's capacity to some extent, so an
	 * idle target is preferred.
	 */
	share = (double)in_flight / row->slots;
	takes += (double)p->wait;
	return p->risk * loss + late_cost(req, takes) +
	       FAILURE_COST *
		       probability_over(takes, req->time_left, req->spread) +
	       share * BUSY_COST + cross_dc_cost(row, req, drawn) +
	       (row->detour_until > now ? DETOUR_COST : 0) -
	       reuse_gain(row, req) + slowed_cost;
}

/*
 * Whether work that is sent now would end in time. A standing queue must not be
 * longer than the latency aim: at twice the load every answer would otherwise
 * be late and as many requests refused. A queue may exceed the aim for the
 * length of a burst.
 */
static bool meets_deadline(const struct tr_place_request *req,
			   const struct tr_placement *p)
{
	apr_time_t left = req->time_left;

	if (!tr_mechanism_enabled(TR_MECH_EARLY_REFUSAL))
		return true;
	if (req->standing_queue && req->aim_left > p->work)
		left = req->aim_left;
	return (double)p->wait + (double)p->work * MIN_WORK <= (double)left;
}

/* Whether the target can hold the request's body beside what it holds now. */
static bool can_hold(const struct tr_roster *roster,
		     const struct tr_instance *row,
		     const struct tr_place_request *req)
{
	return !req->bound_target_bytes ||
	       tr_held_bytes_can_take(
		       &row->held, &roster->services[req->service].usual_body,
		       row->slots, req->body_bytes);
}

/*
 * Whether the request can go to the target, apart from the target's rate limit.
 */
static bool is_candidate(const struct tr_instance *row, uint32_t at,
			 const struct tr_place_request *req, apr_time_t now)
{
	return row->used && row->service == req->service &&
	       tr_instance_usable(row, now) && !was_tried(req, at);
}

/*
 * Draws one of the targets with a rate limit, weighted by the tokens that are
 * available for each; usually none while few tokens are left. Targets of
 * another group are left to that group, which counts the requests sent there.
 */
static uint32_t draw_limited_target(const struct tr_roster *roster,
				    const struct tr_place_request *req,
				    struct tr_random *random, apr_time_t now)
{
	uint32_t limited_choice = TR_NO_ROW;
	double sum = 0;

	if (!roster->limits.active_count)
		return TR_NO_ROW;
	for (uint32_t i = 0; i < roster->count; i++) {
		const struct tr_instance *row = &roster->rows[i];
		const struct tr_send_limit *l = tr_roster_limit(roster, row);
		double tokens;

		if (!l || row->remote || !is_candidate(row, i, req, now) ||
		    !can_hold(roster, row, req))
			continue;
		tokens = tr_send_limit_tokens(l, req->heard_share, now);
		if (tokens < 1)
			continue;
		sum += tokens;
		if (tr_random_unit(random) * sum < tokens)
			limited_choice = i;
	}
	if (!tr_send_limits_admit(sum, req->request_rate,
				  tr_random_unit(random)))
		return TR_NO_ROW;
	return limited_choice;
}

/* Adds a target that fits to those that the request is spread over. */
static void spread_add(struct spread *s, const struct tr_instance *row,
		       const struct tr_place_request *req,
		       const struct tr_placement *p, apr_time_t now)
{
	bool here = !strcmp(row->data_centre, req->data_centre);

	if (p->risk > SOUND_RISK || s->count == SPREAD_MAX)
		return;
	s->targets[s->count] = (struct tr_fill){
		.slots = row->slots,
		.in_flight = tr_instance_in_flight(row, now) +
			     (here ? 0 : CROSS_DC_HELD * row->slots),
	};
	s->placements[s->count++] = *p;
}

/*
 * Draws a target by the room that each has. In an overload VMs that all choose
 * the cheapest target as known send a tenth of a second's requests to the same
 * few.
 */
static void spread_draw(const struct spread *s, double unseen,
			struct tr_random *random,
			struct tr_placement *placement)
{
	double level;
	unsigned drawn;

	if (!s->count)
		return;
	level = tr_fill_level(s->targets, s->count, unseen);
	drawn = tr_fill_draw(s->targets, s->count, level, random);
	if (drawn < s->count)
		*placement = s->placements[drawn];
}

/* The recent outcomes and the rate of the service's requests. */
static struct tr_floor_load service_load(const struct tr_roster *roster,
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

/*
 * Returns the target that this request should go to for the floor, or
 * TR_NO_ROW.
 */
static uint32_t pick_for_floor(const struct tr_place_request *req,
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
 * Chooses a target for the request. TR_PLACE_TOO_LATE: there are targets, but
 * work sent now would end in time at none of them. TR_PLACE_LIMITED: it would,
 * but those targets have reached their rate limits. TR_PLACE_BACKING_OFF: all
 * targets that serve have asked this VM to pause. TR_PLACE_BODY_TOO_LARGE: it
 * would end in time, but those targets can't hold its body now.
 */
enum tr_place_result tr_place(const struct tr_roster *roster,
			      const struct tr_place_request *req,
			      struct tr_random *random, apr_time_t now,
			      struct tr_placement *placement)
{
	unsigned known = 0;
	unsigned untried = 0;
	const struct tr_floor_load load = service_load(roster, req, now);
	struct tr_floor_check check;
	struct spread spread;
	double loss = expected_failure_cost(req);
	unsigned fitting = 0;
	unsigned limited = 0;
	unsigned too_large = 0;
	unsigned backing_off = 0;
	apr_time_t shortest_time = APR_INT64_MAX;
	uint32_t limited_choice = draw_limited_target(roster, req, random, now);
	const char *drawn = tr_crossing_draw(req->crossing, req->body_bytes,
					     !req->tried_count, random);
	uint32_t picked;

	tr_floor_check_init(
		&check, req->may_repeat &&
				req->repeat_denied <= PROBE_MAX_DENIED &&
				tr_mechanism_enabled(TR_MECH_SUSPECT_PROBES));
	tr_floor_check_set_rotation(&check, &req->rotation);
	tr_floor_check_set_load(&check, &load);
	placement->row = TR_NO_ROW;
	placement->cost = INFINITY;
	spread.count = 0;
	for (uint32_t i = 0; i < roster->count; i++) {
		const struct tr_instance *row = &roster->rows[i];
		struct tr_placement p = { .row = i };
		apr_time_t takes;
		bool fits;

		if (row->service != req->service ||
		    !tr_instance_serves(row, now))
			continue;
		if (!tr_instance_usable(row, now)) {
			backing_off++;
			continue;
		}
		known++;
		if (was_tried(req, i))
			continue;
		untried++;
		p.cost = target_cost(row, req, drawn, loss, now, &p);
		takes = p.wait + p.work;
		if (p.risk < TR_SUSPECT_RISK && takes < shortest_time)
			shortest_time = takes;
		fits = row->full_until <= now && meets_deadline(req, &p);
		if (fits && !can_hold(roster, row, req)) {
			too_large++;
			fits = false;
		}
		if (tr_roster_limit(roster, row)) {
			limited += fits && i != limited_choice;
			fits &= i == limited_choice;
		} else if (!row->remote) {
			/*
			 * Other groups keep their own targets in use and report
			 * it too late for the floor.
			 */
			tr_floor_check_add(&check, row, i, p.risk, fits, now);
		}
		if (!fits)
			continue;
		fitting++;
		if (req->unseen > 0)
			spread_add(&spread, row, req, &p, now);
		if (tr_mechanism_enabled(TR_MECH_COST_NOISE))
			p.cost -= COST_NOISE * gumbel(random);
		if (p.cost < placement->cost)
			*placement = p;
	}
	if (req->unseen > 0)
		spread_draw(&spread, req->unseen, random, placement);
	placement->for_floor = false;
	picked = pick_for_floor(req, &check, &load, random);
	if (picked != TR_NO_ROW) {
		placement->row = picked;
		placement->for_floor = true;
		placement->cost = target_cost(&roster->rows[picked], req, drawn,
					      loss, now, placement);
	}
	placement->shortest_time = shortest_time;
	if (fitting)
		return TR_PLACE_FOUND;
	if (!known)
		return backing_off ? TR_PLACE_BACKING_OFF : TR_PLACE_NONE_KNOWN;
	if (limited)
		return TR_PLACE_LIMITED;
	if (too_large)
		return TR_PLACE_BODY_TOO_LARGE;
	return untried ? TR_PLACE_TOO_LATE : TR_PLACE_ALL_TRIED;
}

/* Capacity of a service's targets, for the Retry-After of refused callers. */
struct capacity {
	double in_flight;
	double slots;
	double limits;
	apr_time_t backoff_ends_at;
};

static void add_capacity(struct capacity *capacity,
			 const struct tr_roster *roster,
			 const struct tr_instance *row,
			 const struct tr_place_request *req, apr_time_t now)
{
	const struct tr_send_limit *l = tr_roster_limit(roster, row);

	if (!tr_instance_usable(row, now)) {
		if (row->backoff_until < capacity->backoff_ends_at)
			capacity->backoff_ends_at = row->backoff_until;
	} else if (l) {
		capacity->limits += tr_send_limit_rate(l, req->heard_share);
	} else {
		capacity->in_flight += tr_instance_in_flight(row, now);
		capacity->slots += row->slots;
	}
}

/*
 * Returns how long a refused caller should wait, in us: until the work in
 * flight should be done; or, if all targets have rate limits, until the next
 * request may be sent; or, if all targets have asked for a pause, until the
 * first pause ends. The result is randomised so that callers do not all return
 * at once.
 */
apr_time_t tr_place_retry_after(const struct tr_roster *roster,
				const struct tr_place_request *req,
				struct tr_random *random, apr_time_t now)
{
	struct capacity capacity = { .backoff_ends_at = APR_INT64_MAX };
	double spread = tr_random_unit(random);
	double after = RETRY_AFTER_DEFAULT_US;

	for (uint32_t i = 0; i < roster->count; i++) {
		const struct tr_instance *row = &roster->rows[i];

		if (row->service == req->service &&
		    tr_instance_serves(row, now))
			add_capacity(&capacity, roster, row, req, now);
	}
	if (capacity.slots > 0)
		after = (double)req->expected_work *
			fmax(0.25, capacity.in_flight / capacity.slots - 1);
	else if (capacity.limits > 0)
		after = fmin(1e6 / capacity.limits, RETRY_AFTER_MAX_US);
	else if (capacity.backoff_ends_at != APR_INT64_MAX)
		return capacity.backoff_ends_at - now +
		       (apr_time_t)(BACKOFF_JITTER_US * spread);
	return (apr_time_t)(after * (1 + spread));
}
