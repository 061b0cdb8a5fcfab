/*
 * Picks the requests that keep a service above its floor: a minimum share of
 * its healthy targets must have had a request recently, even those suspected to
 * be gray, because most gray failures end by themselves and nobody reports
 * that.
 *
 * Operators leave out targets at which requests fail. If all VMs ended now,
 * that would be every target with a request in flight, so the share is kept
 * among the targets without one. While it is too small, each idle target has a
 * deadline of its own by which it must be sent a request.
 */
#include "floor.h"

#include <math.h>

#include "clock.h"
#include "hash.h"

/* Operators check windows of two seconds. A target counts as idle after
 * IDLE_AFTER and is sent a request within SEND_WITHIN, so that it arrives
 * before the window ends. */
#define IDLE_AFTER  TR_MSEC(1450)
#define SEND_WITHIN TR_MSEC(500)
/* Requests that may be repeated are sent to idle targets earlier, so that fewer
 * of those that must run once go to suspected targets. */
#define IDLE_AFTER_REPEATABLE TR_MSEC(800)
/* Operators count a target that failed as healthy again after this time. */
#define HEALTHY_AFTER TR_SEC(2)
/* A target that has just been listed need not be in use yet. */
#define NEW_FOR TR_SEC(2)
/* A target whose request hangs is not idle, but for no longer than this. */
#define HANGS_FOR TR_MSEC(3300)
/* Targets to keep active beyond the share: of few targets each one counts. */
#define MARGIN 1.25
/* Further targets to keep active for each one that has a request in flight.
 * Operators don't count those, and the idle ones may be a larger part of the
 * rest than of all targets. */
#define MARGIN_PER_IN_FLIGHT 0.05
/* From this failure ratio on, operators may count any subset of the targets. */
#define HIGH_FAILURE_RATIO 0.1
/* Recent outcomes per target from which on the failure ratio is reliable. */
#define MIN_WORK 1.0
/* A request is spread over this time, or until its deadline if that is sooner.
 */
#define SPREAD_OVER TR_MSEC(185)
/* An idle target is first left to some of the VMs, for TURN_DURATION. After
 * that any VM may send to it, so that it gets its request in time whichever VMs
 * have callers. If none did, the turn goes to the next VMs after TURN_PERIOD.
 */
#define TURN_DURATION TR_MSEC(350)
#define TURN_PERIOD   TR_MSEC(550)
/* Requests per second that come to the VMs of one turn together. */
#define TURN_RATE 10.0
/* The window of the operators' check, in seconds. */
#define WINDOW_S 2.0

/* Starts a check. may_repeat tells whether the request may be sent again if it
 * fails. */
void tr_floor_check_init(struct tr_floor_check *check, bool may_repeat)
{
	*check = (struct tr_floor_check){
		.idle_after = may_repeat ? IDLE_AFTER_REPEATABLE : IDLE_AFTER,
	};
}

/* Lets the VMs that send requests take turns with the floor's requests. */
void tr_floor_check_set_rotation(struct tr_floor_check *check,
				 const struct tr_floor_rotation *rotation)
{
	check->rotation = *rotation;
}

/* Sets the recent load of the service. Called before targets are added. */
void tr_floor_check_set_load(struct tr_floor_check *check,
			     const struct tr_floor_load *load)
{
	check->high_failure_rate = load->failure_ratio >= HIGH_FAILURE_RATIO;
}

/* Keeps the idle targets that are most probably healthy, sorted by risk. */
static void add_idle(struct tr_floor_check *check,
		     const struct tr_floor_idle *idle)
{
	unsigned i = check->idle_count;

	if (i < TR_FLOOR_IDLE_MAX)
		check->idle_count++;
	else if (idle->risk >= check->idle[--i].risk)
		return;
	for (; i && idle->risk < check->idle[i - 1].risk; i--)
		check->idle[i] = check->idle[i - 1];
	check->idle[i] = *idle;
}

/*
 * Returns since when the target has been idle. A failure counts as use, because
 * operators don't expect the target to serve right after it. To a VM a request
 * that hangs fails when its timeout ends; while many requests fail, it counts
 * as failed no later than HEALTHY_AFTER after it was sent.
 */
static apr_time_t idle_since(const struct tr_floor_check *check,
			     const struct tr_instance *row)
{
	apr_time_t failed_at = row->failed_at;
	apr_time_t healthy_at = row->hung_at + HEALTHY_AFTER;

	if (check->high_failure_rate && failed_at > healthy_at)
		failed_at = healthy_at;
	return failed_at > row->used_at ? failed_at : row->used_at;
}

/* Tells whether the target is idle, or else why it needs no request. */
enum tr_floor_target_state
tr_floor_target_state(const struct tr_floor_check *check,
		      const struct tr_instance *row, apr_time_t now)
{
	if (now - row->used_at < check->idle_after)
		return TR_FLOOR_ACTIVE;
	if (now - idle_since(check, row) < check->idle_after)
		return TR_FLOOR_FAILED_LATELY;
	if (now - row->known_since < NEW_FOR)
		return TR_FLOOR_NEW;
	if (tr_instance_in_flight(row, now) && now - row->used_at < HANGS_FOR &&
	    !tr_instance_answered_since_hang(row))
		return TR_FLOOR_IN_FLIGHT;
	return TR_FLOOR_IDLE;
}

/*
 * Adds one target of the service to the check. row_index is its row in the
 * roster, risk the probability that it is gray. can_send tells whether a
 * request could be sent to it now.
 */
void tr_floor_check_add(struct tr_floor_check *check,
			const struct tr_instance *row, uint32_t row_index,
			double risk, bool can_send, apr_time_t now)
{
	apr_time_t overdue = now - idle_since(check, row) - check->idle_after;
	enum tr_floor_target_state state =
		tr_floor_target_state(check, row, now);
	double healthy = 1 - risk;

	if (state == TR_FLOOR_ACTIVE) {
		check->active += healthy;
		check->active_unloaded +=
			tr_instance_in_flight(row, now) ? 0 : healthy;
		return;
	}
	if (state != TR_FLOOR_IDLE)
		return;
	check->idle_healthy += healthy;
	if (can_send)
		add_idle(check,
			 &(struct tr_floor_idle){
				 .row = row_index,
				 .risk = risk,
				 .remaining = overdue < SEND_WITHIN
						      ? SEND_WITHIN - overdue
						      : 0,
				 .idle_for = overdue,
				 .target = row->hash,
			 });
}

/* Tells whether enough requests ended recently for their failure ratio to be
 * reliable. */
static bool enough_outcomes(const struct tr_floor_check *check,
			    const struct tr_floor_load *load)
{
	return load->outcomes >=
	       MIN_WORK * (check->active + check->idle_healthy);
}

/* Returns how many more targets must be used. Those with a request in flight
 * are not counted. While the failure ratio is high, or not known, operators may
 * count any subset of the targets, so that no target may be idle. */
static double missing_targets(const struct tr_floor_check *check, double share,
			      const struct tr_floor_load *load)
{
	double counted = check->active_unloaded + check->idle_healthy;
	double in_flight = check->active - check->active_unloaded;
	double margin = MARGIN + MARGIN_PER_IN_FLIGHT * in_flight;

	if (load->failure_ratio >= HIGH_FAILURE_RATIO ||
	    !enough_outcomes(check, load) || counted < 1)
		return check->idle_healthy;
	return fmin(share * counted + margin, counted) - check->active_unloaded;
}

/* Tells whether enough requests come to meet the floor. When a service gets
 * requests again after a pause, the first ones have not ended yet, so their
 * rate counts too. */
static bool enough_requests(const struct tr_floor_check *check, double share,
			    const struct tr_floor_load *load)
{
	double targets = check->active + check->idle_healthy;

	return enough_outcomes(check, load) ||
	       load->rate * WINDOW_S >= share * targets;
}

/* Tells whether the service meets its floor. *missing is how many more targets
 * must be used. */
enum tr_floor_verdict tr_floor_verdict(const struct tr_floor_check *check,
				       double share,
				       const struct tr_floor_load *load,
				       double *missing)
{
	*missing = missing_targets(check, share, load);
	if (*missing <= 0)
		return TR_FLOOR_ENOUGH;
	if (!enough_requests(check, share, load))
		return TR_FLOOR_FEW_REQUESTS;
	return TR_FLOOR_SHORT;
}

/*
 * Tells whether it is this VM's turn to send a request to the target. All VMs
 * see the same idle targets and learn of each other's requests only later;
 * without turns all of them would send one.
 */
static bool has_turn(const struct tr_floor_rotation *rotation,
		     const struct tr_floor_idle *idle, double rate)
{
	uint64_t turn = (uint64_t)(idle->idle_for / TURN_PERIOD);
	unsigned first =
		(unsigned)(tr_hash_pair(idle->target, turn) % rotation->vms);

	return (rotation->rank + rotation->vms - first) % rotation->vms <
	       TURN_RATE / rate * rotation->vms;
}

/* Returns the probability with which each request must be chosen so that, of
 * those that come within remaining, one is. rate is in requests per second over
 * all VMs. */
static double spread_probability(double rate, apr_time_t remaining)
{
	double requests = rate * (double)remaining / 1e6;

	return requests > 1 ? 1 / requests : 1;
}

/* Returns the probability that this request is sent to the idle target. It
 * stays small for a target that had become idle long before the floor needed
 * it: otherwise all VMs would send to it at once. */
static double send_probability(const struct tr_floor_check *check,
			       const struct tr_floor_idle *idle, double rate)
{
	apr_time_t since = idle->idle_for % TURN_PERIOD;

	if (check->rotation.vms < 2)
		return spread_probability(rate, idle->remaining < SPREAD_OVER
							? idle->remaining
							: SPREAD_OVER);
	if (since < TURN_DURATION)
		return has_turn(&check->rotation, idle, rate);
	return spread_probability(
		rate, idle->idle_for > since ? SPREAD_OVER : idle->remaining);
}

/*
 * Returns the row of the idle target that this request must go to so that the
 * floor is met, or TR_NO_ROW. uniform is a random number from 0 to 1.
 *
 * VMs take turns. Between two turns, and if this VM knows of no other, each
 * request may be the one that is sent, with a probability that grows to 1.
 * Requests are thus spread evenly, and one is always sent before the deadline.
 * Targets past their deadline share the requests.
 */
uint32_t tr_floor_check_pick(const struct tr_floor_check *check, double share,
			     const struct tr_floor_load *load, double uniform)
{
	double missing;
	double sum = 0;
	unsigned n = 0;

	if (tr_floor_verdict(check, share, load, &missing) != TR_FLOOR_SHORT)
		return TR_NO_ROW;
	for (; n < check->idle_count && missing > 0; n++) {
		missing -= 1 - check->idle[n].risk;
		sum += send_probability(check, &check->idle[n], load->rate);
	}
	if (sum > 1)
		uniform *= sum;
	for (unsigned i = 0; i < n; i++) {
		uniform -= send_probability(check, &check->idle[i], load->rate);
		if (uniform < 0)
			return check->idle[i].row;
	}
	return TR_NO_ROW;
}
