/*
 * Logs targets that serve but get no requests, with what this VM knows of them,
 * which shows why the fleet sent none there; and services that have fewer
 * targets in use than the floor requires; and slow targets.
 */
#include "idle.h"

#include <glib.h>
#include <math.h>

#include "floor.h"
#include "entry_settings.h"
#include "eventlog.h"
#include "hash.h"

/*
 * A target without a request for this long is logged: the span over which
 * operators measure the floor.
 */
#define IDLE_TIME TR_SEC(2)
/* How often all targets are checked. */
#define CHECK_INTERVAL TR_MSEC(200)
/* How often the floor of all services is checked. */
#define FLOOR_LOG_PERIOD TR_SEC(1)
/*
 * A target counts as slow from the first factor on until it is below the
 * second, so that noise in the estimate doesn't log it again and again.
 */
#define SLOW_FACTOR	1.5
#define NOT_SLOW_FACTOR 1.25
/* Log lines a second, on average, about targets that turn slow or recover. */
#define SLOW_LINES_PER_S 2.0
/* VMs that log the same target or service. */
#define LOGGING_VMS 2

/*
 * Returns whether this VM logs the target or service with this hash. VMs are
 * chosen by rendezvous hashing, so that the number of lines does not grow with
 * the fleet.
 */
static bool is_logging_vm(const struct tr_membership *m, uint64_t hash,
			  apr_time_t now)
{
	uint64_t own_rank = tr_hash_pair(m->nodes[0].ip, hash);
	unsigned ahead = 0;

	for (unsigned i = 1; i < m->count && ahead < LOGGING_VMS; i++) {
		const struct tr_node *node = &m->nodes[i];

		ahead += node->near &&
			 tr_hash_pair(node->ip, hash) < own_rank &&
			 tr_node_alive(m, node, now);
	}
	return ahead < LOGGING_VMS;
}

/* Returns the milliseconds since a time, or -1 if it never came. */
static long ms_ago(apr_time_t at, apr_time_t now)
{
	return at ? (long)((now - at) / 1000) : -1;
}

static const char *const target_state_names[] = {
	[TR_FLOOR_ACTIVE] = "at-work",
	[TR_FLOOR_FAILED_LATELY] = "failed-lately",
	[TR_FLOOR_NEW] = "new",
	[TR_FLOOR_IN_FLIGHT] = "in-flight",
	[TR_FLOOR_IDLE] = "idle",
};

/*
 * Targets of a service that had no request for IDLE_TIME, counted by their
 * state in the floor check.
 */
struct idle_targets {
	unsigned count[TR_FLOOR_IDLE + 1];
};

/* Returns the outcomes and the rate of the service's recent requests. */
static struct tr_floor_load load_of(struct entry *e, uint32_t service,
				    apr_time_t now)
{
	const struct tr_service_stats *svc = &e->roster.services[service];

	return (struct tr_floor_load){
		.outcomes = tr_service_stats_recent_outcomes(svc, now),
		.failure_ratio = tr_service_stats_failure_ratio(svc),
		.rate = tr_allowance_rate(entry_allowance(e, service),
					  &e->repeat_bound, now),
	};
}

/* Initialises a floor check as for requests that must run only once. */
static void init_check(struct tr_floor_check *check, struct entry *e,
		       uint32_t service, apr_time_t now)
{
	const struct tr_floor_load load = load_of(e, service, now);

	tr_floor_check_init(check, false);
	tr_floor_check_set_load(check, &load);
}

static void log_idle(struct entry *e, const struct tr_instance *row,
		     apr_time_t now)
{
	struct tr_floor_check check;

	init_check(&check, e, row->service, now);
	eventlog(EVENT_STATE, "target-idle",
		 "id=%s service=%s risk=%.2f used_ms=%ld failed_ms=%ld "
		 "known_ms=%ld in_flight=%u others_in_flight=%u full=%d "
		 "unreachable=%d rests=%d limited=%d floor=%s",
		 row->id, e->roster.services[row->service].name,
		 tr_gray_probability(&row->gray, now),
		 ms_ago(row->used_at, now), ms_ago(row->failed_at, now),
		 ms_ago(row->known_since, now), row->in_flight,
		 row->others_in_flight, row->full_until > now,
		 row->unreachable_until > now, row->backoff_until > now,
		 tr_roster_limit(&e->roster, row) != NULL,
		 target_state_names[tr_floor_target_state(&check, row, now)]);
}

static const char *const verdict_names[] = {
	[TR_FLOOR_ENOUGH] = "enough",
	[TR_FLOOR_FEW_REQUESTS] = "few-requests",
	[TR_FLOOR_SHORT] = "short",
};

static bool any_idle(const struct idle_targets *idle_targets)
{
	for (unsigned i = 0; i < G_N_ELEMENTS(idle_targets->count); i++)
		if (idle_targets->count[i])
			return true;
	return false;
}

/*
 * Logs what the floor asks for if the service is short of it or has idle
 * targets, with the reasons that keep those idle.
 */
static void log_floor(struct entry *e, uint32_t service,
		      const struct tr_floor_check *check,
		      const struct idle_targets *idle_targets, apr_time_t now)
{
	const struct tr_service_stats *svc = &e->roster.services[service];
	const struct tr_floor_load load = load_of(e, service, now);
	double missing;
	enum tr_floor_verdict verdict = tr_floor_verdict(
		check, e->settings->bounds.floor_share, &load, &missing);

	if ((verdict == TR_FLOOR_ENOUGH && !any_idle(idle_targets)) ||
	    !is_logging_vm(&e->members, tr_hash_string(svc->name), now))
		return;
	eventlog(EVENT_STATE,
		 verdict == TR_FLOOR_ENOUGH ? "floor-enough" : "floor-short",
		 "service=%s verdict=%s missing=%.1f at_work=%.1f at_rest=%.1f "
		 "idle=%.1f idle_fitting=%u ended=%.1f failing=%.3f rate=%.1f "
		 "unasked_idle=%u unasked_in_flight=%u unasked_failed=%u",
		 svc->name, verdict_names[verdict], missing, check->active,
		 check->active_unloaded, check->idle_healthy, check->idle_count,
		 load.outcomes, load.failure_ratio, load.rate,
		 idle_targets->count[TR_FLOOR_IDLE],
		 idle_targets->count[TR_FLOOR_IN_FLIGHT],
		 idle_targets->count[TR_FLOOR_FAILED_LATELY]);
}

/*
 * Checks the floor of all services as for requests that must run only once, and
 * logs those that need attention.
 */
static void log_floors(struct entry *e, apr_time_t now)
{
	struct tr_roster *roster = &e->roster;
	g_autofree struct tr_floor_check *checks =
		g_new0(struct tr_floor_check, roster->services_count);
	g_autofree struct idle_targets *idle_targets =
		g_new0(struct idle_targets, roster->services_count);

	for (uint32_t s = 0; s < roster->services_count; s++)
		init_check(&checks[s], e, s, now);
	for (uint32_t i = 0; i < roster->count; i++) {
		const struct tr_instance *row = &roster->rows[i];

		if (!tr_instance_usable(row, now) || row->remote ||
		    tr_roster_limit(roster, row))
			continue;
		tr_floor_check_add(&checks[row->service], row, i,
				   tr_gray_probability(&row->gray, now),
				   row->full_until <= now, now);
		if (now - row->used_at >= IDLE_TIME)
			idle_targets[row->service].count[tr_floor_target_state(
				&checks[row->service], row, now)]++;
	}
	for (uint32_t s = 0; s < roster->services_count; s++)
		log_floor(e, s, &checks[s], &idle_targets[s], now);
}

static void log_slow(struct entry *e, const struct tr_instance *row,
		     const struct tr_speed_factors *factors, apr_time_t now)
{
	if (!is_logging_vm(&e->members, row->hash, now) ||
	    !tr_pacer_allows(&e->slow_log_limiter, SLOW_LINES_PER_S, now))
		return;
	tr_pacer_consume(&e->slow_log_limiter, 1);
	eventlog(EVENT_STATE, "target-slow",
		 "id=%s service=%s factor=%.2f factor_full=%.2f answers=%.0f",
		 row->id, e->roster.services[row->service].name, factors->usual,
		 factors->full, tr_target_speed_answers(&row->speed, now));
}

/* Notes whether the target is slow, and logs it when that changes. */
static void check_slow(struct entry *e, struct tr_instance *row, apr_time_t now)
{
	const struct tr_service_stats *svc = &e->roster.services[row->service];
	struct tr_speed_factors factors;
	bool slow;

	if (!e->settings->learn_target_speed || !row->used || row->gone ||
	    row->remote)
		return;
	factors = tr_target_speed_factors(&row->speed,
					  tr_service_stats_spread(svc), now);
	slow = fmax(factors.usual, factors.full) >=
	       (row->slow ? NOT_SLOW_FACTOR : SLOW_FACTOR);
	if (slow != row->slow)
		log_slow(e, row, &factors, now);
	row->slow = slow;
}

/* Returns how many targets are slow as far as this VM knows. */
unsigned idle_count_slow(const struct entry *e)
{
	unsigned n = 0;

	for (unsigned i = 0; i < e->roster.count; i++) {
		const struct tr_instance *row = &e->roster.rows[i];

		n += row->used && !row->gone && row->slow;
	}
	return n;
}

/*
 * Logs each target of this group once when it becomes idle, when it turns slow
 * or recovers, and the floor of the services. Called at every step of the event
 * loop.
 */
void idle_step(struct entry *e, apr_time_t now)
{
	if (now - e->idle_checked_at < CHECK_INTERVAL)
		return;
	e->idle_checked_at = now;
	if (now - e->floors_logged_at >= FLOOR_LOG_PERIOD) {
		e->floors_logged_at = now;
		log_floors(e, now);
	}
	for (unsigned i = 0; i < e->roster.count; i++) {
		struct tr_instance *row = &e->roster.rows[i];
		bool is_idle = row->used && !row->gone && !row->leaving &&
			       !row->remote &&
			       now - row->used_at >= IDLE_TIME &&
			       now - row->known_since >= IDLE_TIME;

		if (is_idle && !row->idle_logged &&
		    is_logging_vm(&e->members, row->hash, now))
			log_idle(e, row, now);
		row->idle_logged = is_idle;
		check_slow(e, row, now);
	}
}
