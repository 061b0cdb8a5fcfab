/*
 * The floor: a share of a service's sound targets must be at work, whatever is
 * suspected of them, since what is wrong with them mostly ends by itself and
 * nobody tells. Operators leave out the targets at which requests fail. So the
 * share is kept among those that would be counted if all VMs ended now, which
 * are those without a request in flight; while it is too small, each idle
 * target is due for a request by a deadline of its own.
 */
#include "floor.h"

#include <math.h>

#include "clock.h"
#include "hash.h"

/* Operators look at spans of two seconds. A target counts as idle after the
 * first of these times, and is sent a request within the second, so that it
 * arrives before the span is over. */
#define IDLE_AFTER  TR_MSEC(1450)
#define SENT_WITHIN TR_MSEC(500)
/* Requests that may be sent once more find out earlier, so that those that must
 * run once are sent to fewer suspects. */
#define IDLE_AFTER_REPEATABLE TR_MSEC(800)
/* To operators a target that failed is sound again after so long. */
#define SOUND_AFTER TR_SEC(2)
/* A target that has just come is not expected to be at work. */
#define NEW_FOR TR_SEC(2)
/* A target at which a request hangs is at work, for so long at most. */
#define HANGS_FOR TR_MSEC(3300)
/* So many targets more than the share are kept at work: of few each one counts.
 */
#define SPARE 1.25
/* And so many for each that has a request in flight: operators don't count
 * these, and of those at rest only a part, in which more can be idle than in
 * all. */
#define SPARE_IN_FLIGHT 0.05
/* From this share of failure_ratio requests on any part of the targets may be
 * counted.
 */
#define FAILING 0.1
/* Requests a target that ended within the last seconds, from which on the part
 * that failed is known. */
#define LEAST_WORK 1.0
/* Over so long a request is spread where VMs know of no other, or up to the
 * deadline. */
#define SPREAD_OVER TR_MSEC(185)
/* A target that is due is left to some of the VMs for so long; then any VM may
 * send there, so that it is sent its request in time whichever VMs have
 * callers; and if nobody has sent for some time, the next ones have their turn.
 */
#define TURN_LASTS	TR_MSEC(350)
#define NEXT_TURN_AFTER TR_MSEC(550)
/* So many requests a second come to the VMs whose turn it is together. */
#define TURN_RATE 10.0
/* The span in which the share of the targets must be at work, in seconds. */
#define SPAN_S 2.0

/* Begin to look at a service. may_repeat: the request may be sent once more. */
void tr_floor_check_init(struct tr_floor_check *check, bool may_repeat)
{
	*check = (struct tr_floor_check){
		.idle_after = may_repeat ? IDLE_AFTER_REPEATABLE : IDLE_AFTER,
	};
}

/* Of the VMs that send requests only some do so for the floor at a time. */
void tr_floor_check_set_rotation(struct tr_floor_check *check,
				 const struct tr_floor_rotation *turns)
{
	check->turns = *turns;
}

/* What came of the service's requests lately, before targets are added. */
void tr_floor_check_set_load(struct tr_floor_check *check,
			     const struct tr_floor_load *load)
{
	check->high_failure_rate = load->failure_ratio >= FAILING;
}

/* Keep those that are most probably well, in order. */
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
 * Since when the target has been idle: a failure counts as work, because
 * operators don't expect it to serve so soon after. For a VM a request that
 * hangs fails when its wait ends; while many requests fail that counts as no
 * later than SOUND_AFTER from when it was sent.
 */
static apr_time_t idle_since(const struct tr_floor_check *check,
			     const struct tr_instance *row)
{
	apr_time_t failed_at = row->failed_at;
	apr_time_t sound_at = row->hung_at + SOUND_AFTER;

	if (check->high_failure_rate && failed_at > sound_at)
		failed_at = sound_at;
	return failed_at > row->used_at ? failed_at : row->used_at;
}

/* How the target stands with the floor. */
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
 * Look at one target of the service, with its chance of being gray; fits tells
 * whether a request could be sent to it now.
 */
void tr_floor_check_add(struct tr_floor_check *check,
			const struct tr_instance *row, uint32_t at, double risk,
			bool fits, apr_time_t now)
{
	apr_time_t late = now - idle_since(check, row) - check->idle_after;
	enum tr_floor_target_state stands =
		tr_floor_target_state(check, row, now);
	double well = 1 - risk;

	if (stands == TR_FLOOR_ACTIVE) {
		check->active += well;
		check->active_unloaded +=
			tr_instance_in_flight(row, now) ? 0 : well;
		return;
	}
	if (stands != TR_FLOOR_IDLE)
		return;
	check->idle_healthy += well;
	if (fits)
		add_idle(check,
			 &(struct tr_floor_idle){
				 .row = at,
				 .risk = risk,
				 .left = late < SENT_WITHIN ? SENT_WITHIN - late
							    : 0,
				 .due_for = late,
				 .target = row->hash,
			 });
}

/* Have so many requests ended lately that the part of them that failed tells
 * anything? */
static bool many_ended(const struct tr_floor_check *check,
		       const struct tr_floor_load *load)
{
	return load->outcomes >=
	       LEAST_WORK * (check->active + check->idle_healthy);
}

/* How many of the targets that would be counted now must be put to work. While
 * many requests fail, or may as far as is known, any part may be counted. */
static double missing_of(const struct tr_floor_check *check, double share,
			 const struct tr_floor_load *load)
{
	double counted = check->active_unloaded + check->idle_healthy;
	double in_flight = check->active - check->active_unloaded;
	double spare = SPARE + SPARE_IN_FLIGHT * in_flight;

	if (load->failure_ratio >= FAILING || !many_ended(check, load) ||
	    counted < 1)
		return check->idle_healthy;
	return fmin(share * counted + spare, counted) - check->active_unloaded;
}

/* Do so many requests come that the share can be kept? Where a service gets
 * requests again after a while, those that came have not ended yet. */
static bool can_reach(const struct tr_floor_check *check, double share,
		      const struct tr_floor_load *load)
{
	double targets = check->active + check->idle_healthy;

	return many_ended(check, load) ||
	       load->rate * SPAN_S >= share * targets;
}

/* Does the floor ask for requests? missing: how many targets must be put to
 * work. */
enum tr_floor_verdict tr_floor_verdict(const struct tr_floor_check *check,
				       double share,
				       const struct tr_floor_load *load,
				       double *missing)
{
	*missing = missing_of(check, share, load);
	if (*missing <= 0)
		return TR_FLOOR_ENOUGH;
	if (!can_reach(check, share, load))
		return TR_FLOOR_FEW_REQUESTS;
	return TR_FLOOR_SHORT;
}

/*
 * Is it this VM's turn to send a request to the target? All VMs see the same
 * targets idle, and hear of each other's requests only later: until then all
 * would send there.
 */
static bool has_turn(const struct tr_floor_rotation *turns,
		     const struct tr_floor_idle *idle, double rate)
{
	uint64_t turn = (uint64_t)(idle->due_for / NEXT_TURN_AFTER);
	unsigned first =
		(unsigned)(tr_hash_pair(idle->target, turn) % turns->vms);

	return (turns->rank + turns->vms - first) % turns->vms <
	       TURN_RATE / rate * turns->vms;
}

/* The chance of a request that may come to any VM to be the one that is sent
 * within the time that is left. */
static double spread_chance(double rate, apr_time_t left)
{
	double requests = rate * (double)left / 1e6;

	return requests > 1 ? 1 / requests : 1;
}

/* The chance that this request is the one to be sent to the target. It stays
 * small for one that was not asked for before its time was over: there all VMs
 * would send at once. */
static double chance_of(const struct tr_floor_check *check,
			const struct tr_floor_idle *idle, double rate)
{
	apr_time_t since = idle->due_for % NEXT_TURN_AFTER;

	if (check->turns.vms < 2)
		return spread_chance(rate, idle->left < SPREAD_OVER
						   ? idle->left
						   : SPREAD_OVER);
	if (since < TURN_LASTS)
		return has_turn(&check->turns, idle, rate);
	return spread_chance(rate,
			     idle->due_for > since ? SPREAD_OVER : idle->left);
}

/*
 * The target that is due for this request so that the share is at work, or
 * TR_NO_ROW. drawn is a number drawn evenly from 0 to 1.
 *
 * VMs take turns. Between two turns, and where a VM knows of no other, each
 * request may be the one, by a chance that grows to 1: it is spread evenly, and
 * sent at last whatever is drawn. Targets whose time is over share the
 * requests.
 */
uint32_t tr_floor_check_pick(const struct tr_floor_check *check, double share,
			     const struct tr_floor_load *load, double drawn)
{
	double lacking;
	double sum = 0;
	unsigned n = 0;

	if (tr_floor_verdict(check, share, load, &lacking) != TR_FLOOR_SHORT)
		return TR_NO_ROW;
	for (; n < check->idle_count && lacking > 0; n++) {
		lacking -= 1 - check->idle[n].risk;
		sum += chance_of(check, &check->idle[n], load->rate);
	}
	if (sum > 1)
		drawn *= sum;
	for (unsigned i = 0; i < n; i++) {
		drawn -= chance_of(check, &check->idle[i], load->rate);
		if (drawn < 0)
			return check->idle[i].row;
	}
	return TR_NO_ROW;
}
