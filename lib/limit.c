/*
 * Fleet-wide rate limit of an organisation, of whose requests each VM sees only
 * a small share. The VMs of a group report to each other, as running totals,
 * the requests that arrived and those that they admitted; groups report their
 * request rates to each other and divide the limit accordingly. While there is
 * room in the window all requests are admitted; while there is none, each VM
 * admits the same share of its requests.
 *
 * Failures that this prevents: with a fixed share for each VM, one that gets
 * three requests of an organisation at once refuses two of them, though the
 * fleet is far below the limit. With totals alone, all VMs see the same free
 * request and each admits one. A VM that is cut off sees no use by others; so
 * its admission rate follows the arrival rate it last knew, which decays
 * slowly, and its share of the limit falls as VMs stop reporting. While reports
 * are late (report_age.h), nobody sees a flood in time: room is then used over
 * a longer time, and a VM judges the group's arrivals by its own.
 */
#include "limit.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"

/*
 * Shares of the permitted overrun that are used on purpose, so that random
 * variation refuses nothing just below the limit. The rest covers what VMs
 * admit before they receive each other's reports: with 0.18, and room used
 * over 0.1 s, a fleet of 110 VMs exceeded it in a flood.
 */
#define USED_OVERRUN_SHARE 0.02
#define USED_SLACK_SHARE   0.8
/*
 * The same until a VM has counted for a whole window, since what was admitted
 * before is an estimate.
 */
#define USED_OVERRUN_AT_START 0.02
/*
 * The same share of the slack just after a VM has started: enough for one
 * request of a small organisation.
 */
#define USED_SLACK_AT_START 0.3
/*
 * Time over which room is used, in s: more than the usual age of reports, also
 * of those between groups, so that VMs do not all admit the same requests.
 * Longer in the first window of a VM.
 */
#define SMOOTHING_S	  0.25
#define SMOOTHING_START_S 0.5
/*
 * By how much that time grows with the age of the reports beyond the usual one.
 * With 2.0 a flood gets 1.12 of what operators tolerate while reports are 2 s
 * late.
 */
#define SMOOTHING_BY_AGE 2.9
/* Time for which requests that expire now are admitted anew in advance, in s.
 */
#define EXPIRY_AHEAD_S 0.35
/*
 * Reports up to this old, in s, are fresh: the overrun is used, and groups use
 * what others leave. Both fall as reports grow older, the second by a power, as
 * several groups may use the same room.
 */
#define FRESH_S	      0.1
#define LENDING_POWER 2.5
/* Age of reports from which on a group keeps the share that it had, in s. */
#define KEEP_SHARE_S 0.15
/*
 * Time constants of the share that is kept, and of the rates of groups that
 * report no more, in s.
 */
#define SHARE_S	       0.5
#define SILENT_GROUP_S 10.0
/*
 * Part of a limit that a group asks for from which on its rate is told in every
 * summary: the usual rates of a few groups add up to less.
 */
#define FLOODED_PART 0.4
/*
 * How much of the fast rate counts as demand, so that other groups see a flood
 * within half a second, and how many requests it must exceed, so that single
 * requests of a small organisation are no flood.
 */
#define FLOOD_SHARE    0.5
#define FLOOD_REQUESTS 3
/*
 * Time constant at which a group's rate falls at most, in s. A VM that has just
 * started reports too low a rate for its group.
 */
#define GROUP_FALL_S 2.0
/*
 * Weight, in requests, of the reported rate against this VM's own arrivals: it
 * falls with the square of the age of the reports.
 */
#define REPORTED_WEIGHT	    0.02
#define REPORTED_WEIGHT_MIN 0.05
/*
 * Time constants of this VM's part of the group's requests, which only shifts
 * with connections, and of what VMs that started earlier admitted, in s.
 */
#define OWN_PART_S 30.0
#define ELDERS_S   2.0
/*
 * By how many requests, at least, the totals of a VM must exceed those of this
 * one to show that it started earlier.
 */
#define ELDER_REQUESTS 6
/*
 * Time constants of the measured rates, in s. The fast one notices a flood; the
 * slow one keeps its value while a VM is cut off, for as long as it takes to
 * notice that.
 */
#define FAST_S 0.7
#define SLOW_S 1.5
/*
 * Time constant for a group's share of the limit. It equals the window over
 * which admitted requests are counted, so that both follow callers that move.
 */
#define STEADY_S 5.0
/*
 * Time after the start of counting until the other VMs' rates are known, in s.
 */
#define WARMUP_S 1
/* Shortest counting time from which a rate is computed, in s. */
#define MIN_COUNTED_S 0.2
/*
 * How long a group's reported rate is used: as long as its VMs count as alive
 * without another message.
 */
#define GROUP_REPORT_TTL TR_MSEC(2000)
/* Bounds of the Retry-After sent with a refusal. */
#define RETRY_AFTER_MIN_US TR_MSEC(200)
#define RETRY_AFTER_MAX_US TR_MSEC(3000)
/* Interval over which callers that were refused together come back. */
#define RETRY_JITTER_MS 1000

/* Returns the number by which messages identify an organisation. */
uint32_t tr_limit_name_hash(const char *organisation)
{
	return (uint32_t)tr_hash_string(organisation);
}

static struct tr_limit *add_row(struct tr_limits *limits, uint32_t name)
{
	struct tr_limit *row;

	if (!limits->rows || limits->count == limits->capacity) {
		unsigned capacity =
			limits->capacity ? limits->capacity * 2 : 32;

		row = realloc(limits->rows, capacity * sizeof(*row));
		if (!row)
			abort();
		limits->rows = row;
		limits->capacity = capacity;
	}
	row = &limits->rows[limits->count];
	memset(row, 0, sizeof(*row));
	row->name = name;
	row->heard = 1;
	tr_index_add(&limits->by_name, name, limits->count++);
	return row;
}

/* Returns the organisation's row, or NULL. */
struct tr_limit *tr_limits_find(struct tr_limits *limits, uint32_t name)
{
	uint32_t at;
	uint32_t i = tr_index_first(&limits->by_name, name, &at);

	return i == TR_NO_ROW ? NULL : &limits->rows[i];
}

/*
 * Returns the index of the organisation's row, which is added if it is missing.
 */
uint32_t tr_limits_find_or_add(struct tr_limits *limits,
			       const char *organisation)
{
	uint32_t name = tr_limit_name_hash(organisation);
	struct tr_limit *row = tr_limits_find(limits, name);

	if (!row)
		row = add_row(limits, name);
	return (uint32_t)(row - limits->rows);
}

static void restart(struct tr_limit *l, apr_time_t now)
{
	l->counting_since = now;
	memset(&l->reports, 0, sizeof(l->reports));
}

/*
 * This VM was suspended: as after a restart, it does not know what the others
 * admitted meanwhile.
 */
void tr_limits_restart(struct tr_limits *limits, apr_time_t now)
{
	for (unsigned i = 0; i < limits->count; i++)
		restart(&limits->rows[i], now);
}

void tr_limits_release(struct tr_limits *limits)
{
	for (unsigned i = 0; i < limits->count; i++)
		free(limits->rows[i].groups);
	free(limits->rows);
	tr_index_release(&limits->by_name);
	memset(limits, 0, sizeof(*limits));
}

/* Decays the rates to the present. */
static void decay_rates(struct tr_limit *l, apr_time_t now)
{
	double s = l->decayed_at ? (double)(now - l->decayed_at) / 1e6 : 0;

	if (s > 0) {
		l->rate_fast *= exp(-s / FAST_S);
		l->rate_slow *= exp(-s / SLOW_S);
		l->rate_window *= exp(-s / STEADY_S);
		l->elders_arrived *= exp(-s / ELDERS_S);
		l->elders_admitted *= exp(-s / ELDERS_S);
		l->long_own *= exp(-s / OWN_PART_S);
		l->long_group *= exp(-s / OWN_PART_S);
	}
	l->decayed_at = now;
}

/*
 * Requests a second that this VM's group gets, over the window or since
 * counting began, or by the fast rate in a flood. Without the correction for
 * the time counted each group would assume after a restart of all VMs that the
 * other groups want nothing.
 */
static double window_rate(const struct tr_limit *l, apr_time_t now)
{
	double s = (double)(now - l->counting_since) / 1e6;
	double counted = 1 - exp(-fmax(s, MIN_COUNTED_S) / STEADY_S);
	double flood = l->rate_fast - FLOOD_REQUESTS / FAST_S;

	return fmax(l->rate_window / counted, flood * FLOOD_SHARE);
}

/* The same by the higher of the fast and the slow rate. */
static double group_rate(const struct tr_limit *l)
{
	return fmax(l->rate_fast, l->rate_slow);
}

/* How fresh the reports are: 1 if as usual, less as they grow older. */
static double freshness(const struct tr_limit *l, apr_time_t now)
{
	return fmin(1, FRESH_S / tr_report_age_s(&l->reports, now));
}

/*
 * Requests of the other groups: their rate, and how many come for each one of
 * this group.
 */
struct others {
	double rate;
	double ratio;
};

/*
 * The share of the limit beside these other groups. While reports are late, it
 * is the one that the group had, since its own rate is known sooner than those
 * of the others.
 */
static double share_beside(const struct tr_limit *l,
			   const struct others *others, double own_rate,
			   apr_time_t now)
{
	double remaining = (l->rate - others->rate) / l->rate;
	double lent = pow(freshness(l, now), LENDING_POWER);
	double part = 1 / (1 + others->ratio);

	if (own_rate <= 0)
		return fmax(remaining, 0);
	if (l->part_at && tr_report_age_s(&l->reports, now) > KEEP_SHARE_S)
		part = l->kept_part;
	return fmax(part, part + lent * (remaining - part));
}

/*
 * Requests that the other group gets for each one of this group. Both rates are
 * of the same time: with its own newer rate each group would take a larger
 * share in a flood that begins, and the shares would add up to more than 1.
 */
static double demand_ratio(const struct tr_limit_group *g, double own_rate)
{
	double own = g->own_rate > 0 ? g->own_rate : own_rate;

	return own > 0 ? g->rate / own : 0;
}

static void add_group(struct others *others, const struct tr_limit_group *g,
		      double own_rate, double weight)
{
	others->rate += g->rate * weight;
	others->ratio += demand_ratio(g, own_rate) * weight;
}

/*
 * This group's share of the limit: what the other groups leave over, or, if
 * together they want more than the limit, in proportion to demand. So a group
 * that happens to get no requests for a moment keeps a share. Groups that have
 * been silent for long are left out, and the share is scaled by the share of
 * the fleet that is heard; it is no larger than beside the rates that they last
 * reported, which decay, as their VMs may only be late. A group that has
 * reported nothing yet is assumed to have as much demand as this one; otherwise
 * each group would take the whole limit after a restart of all VMs.
 */
double tr_limit_group_share(const struct tr_limit *l, apr_time_t now)
{
	double own_rate = window_rate(l, now);
	struct others alive = { 0 };
	struct others known = { 0 };

	if (l->rate <= 0)
		return l->heard;
	if (l->fleet_groups > l->groups_count + 1)
		return l->heard / l->fleet_groups;
	for (unsigned i = 0; i < l->groups_count; i++) {
		const struct tr_limit_group *g = &l->groups[i];
		apr_time_t silent = now - g->reported_at - GROUP_REPORT_TTL;

		if (silent < 0)
			add_group(&alive, g, own_rate, 1);
		add_group(&known, g, own_rate,
			  exp(-fmax((double)silent / 1e6, 0) / SILENT_GROUP_S));
	}
	return fmin(l->heard * share_beside(l, &alive, own_rate, now),
		    share_beside(l, &known, own_rate, now));
}

/* Requests that the limit allows in a window. */
static double window_limit(const struct tr_limit *l,
			   const struct tr_limit_bound *bound)
{
	return l->rate * (double)bound->window / 1e6 + l->burst;
}

/*
 * Advances the window to the current part and clears the parts that have
 * expired.
 */
static void advance_window(struct tr_limit *l,
			   const struct tr_limit_bound *bound, apr_time_t now)
{
	apr_time_t slot = now / (bound->window / TR_LIMIT_PARTS);
	apr_time_t passed = slot - l->slot;

	if (passed > TR_LIMIT_SLOTS)
		passed = TR_LIMIT_SLOTS;
	for (apr_time_t i = 0; i < passed; i++) {
		l->used[(slot - i) % TR_LIMIT_SLOTS] = 0;
		l->own_arrived[(slot - i) % TR_LIMIT_SLOTS] = 0;
	}
	l->slot = slot;
}

/*
 * Requests that the group admitted in the window. Of the oldest part, those
 * that have expired are left out; without that, room that a past burst gives
 * back is used a quarter of a second late.
 */
static double window_use(const struct tr_limit *l,
			 const struct tr_limit_bound *bound, apr_time_t now)
{
	apr_time_t part = bound->window / TR_LIMIT_PARTS;
	double expired = (double)(now % part) / (double)part;

	return tr_limit_used(l) -
	       l->used[(l->slot + 1) % TR_LIMIT_SLOTS] * expired;
}

/* Whether this VM has counted for less than a window. */
static bool is_first_window(const struct tr_limit *l,
			    const struct tr_limit_bound *bound, apr_time_t now)
{
	return now - l->counting_since < bound->window;
}

static bool is_warming_up(const struct tr_limit *l, apr_time_t now)
{
	return now - l->counting_since < TR_SEC(WARMUP_S);
}

/*
 * Requests a second that arrive at the group. A VM that has just started has
 * counted for a part of the time constant only.
 */
static double arrival_rate(const struct tr_limit *l, apr_time_t now)
{
	double s = (double)(now - l->counting_since) / 1e6;

	if (!is_warming_up(l, now))
		return group_rate(l);
	return l->rate_fast / (1 - exp(-fmax(s, MIN_COUNTED_S) / FAST_S));
}

/*
 * Estimates what the group admitted in the part of the window before this VM
 * started. It is assumed to equal the present arrival rate, up to the limit: an
 * organisation that floods is held to its limit, and one that keeps to it is
 * not refused. When the window was assumed to be full instead, 270 of 1,264
 * requests were refused in the two seconds after a loss of all VMs.
 */
static double estimate_unknown_use(const struct tr_limit *l,
				   const struct tr_limit_bound *bound,
				   double group_share, apr_time_t now)
{
	apr_time_t remaining = bound->window - (now - l->counting_since);
	double window_s = (double)bound->window / 1e6;

	if (remaining <= 0)
		return 0;
	return fmin(window_limit(l, bound) * group_share,
		    arrival_rate(l, now) * window_s) *
	       (double)remaining / (double)bound->window;
}

static void count(struct tr_limit *l, unsigned arrived, unsigned admitted)
{
	l->rate_fast += arrived / FAST_S;
	l->rate_slow += arrived / SLOW_S;
	l->rate_window += arrived / STEADY_S;
	l->long_group += arrived;
	l->used[l->slot % TR_LIMIT_SLOTS] += (float)admitted;
}

/*
 * Arrivals a second at the group by this VM's own arrivals since the time of
 * the last reports, with the rate that was reported as prior. known is that
 * rate.
 */
static double unreported_rate(const struct tr_limit *l,
			      const struct tr_limit_bound *bound, double known,
			      apr_time_t now)
{
	double age = tr_report_age_s(&l->reports, now);
	double weight =
		fmax(REPORTED_WEIGHT / (age * age), REPORTED_WEIGHT_MIN);
	apr_time_t part_us = bound->window / TR_LIMIT_PARTS;
	int parts = (int)fmin(age * 1e6 / (double)part_us, TR_LIMIT_PARTS - 1);
	double counted_s = (double)(parts * part_us + now % part_us) / 1e6;
	double recent = 0;
	double own_part;
	double usual;

	for (int i = 0; i <= parts; i++)
		recent += l->own_arrived[(l->slot + TR_LIMIT_SLOTS - i) %
					 TR_LIMIT_SLOTS];
	own_part = (fmax(l->long_own - recent, 0) + 1) /
		   (l->long_group - recent + 1);
	usual = known * own_part;
	if (usual <= 0 || own_part > 1)
		return known;
	/* The request to decide on is no sign of others. */
	return (weight + fmax(recent - 1, 0)) / (weight / usual + counted_s) /
	       own_part;
}

/* Requests that the group admitted in the window. */
double tr_limit_used(const struct tr_limit *l)
{
	double sum = 0;

	for (int i = 0; i < TR_LIMIT_SLOTS; i++)
		sum += l->used[i];
	return sum;
}

/*
 * Requests a second that expire from the window now. Those admitted before this
 * VM started may expire later.
 */
static double expiry_rate(const struct tr_limit *l,
			  const struct tr_limit_bound *bound, apr_time_t now)
{
	double part_s = (double)bound->window / 1e6 / TR_LIMIT_PARTS;

	if (is_warming_up(l, now))
		return 0;
	return l->used[(l->slot + 1) % TR_LIMIT_SLOTS] / part_s;
}

/* Sets the limit from a configuration. A lower limit applies at once. */
void tr_limit_set(struct tr_limit *l, double rate, double burst, apr_time_t now)
{
	if (!l->counting_since)
		l->counting_since = now;
	l->rate = rate;
	l->burst = burst;
}

/*
 * Whether the totals of another VM show that it started earlier than this one:
 * they are larger than chance explains.
 */
static bool has_started_earlier(const struct tr_limit *l,
				const struct tr_limit_totals *reported)
{
	double own = l->own.arrived;

	return reported->arrived > own + ELDER_REQUESTS + 3 * sqrt(own);
}

/*
 * Takes in the totals reported by another VM of the group; before is its
 * previous report.
 */
void tr_limit_reported(struct tr_limit *l, const struct tr_limit_bound *bound,
		       const struct tr_limit_totals *before,
		       const struct tr_limit_totals *reported, apr_time_t now)
{
	uint16_t arrived = (uint16_t)(reported->arrived - before->arrived);
	uint16_t admitted = (uint16_t)(reported->admitted - before->admitted);

	tr_report_age_heard(&l->reports, now);
	advance_window(l, bound, now);
	decay_rates(l, now);
	count(l, arrived, admitted);
	if (!has_started_earlier(l, reported))
		return;
	l->elders_arrived += arrived;
	l->elders_admitted += admitted;
}

/*
 * Follows this group's part of the demand: within half a second while reports
 * are fresh, and by the square of their age more slowly.
 */
static void update_part(struct tr_limit *l, double own_rate, apr_time_t now)
{
	double fresh = freshness(l, now);
	double s = (double)(now - l->part_at) / 1e6;
	double keep = l->part_at ? exp(-s * fresh * fresh / SHARE_S) : 0;
	double ratio = 0;

	if (own_rate <= 0)
		return;
	for (unsigned i = 0; i < l->groups_count; i++)
		ratio += demand_ratio(&l->groups[i], own_rate);
	l->kept_part = keep * l->kept_part + (1 - keep) / (1 + ratio);
	l->part_at = now;
}

/* Takes in the rate reported by another group, in requests a second. */
void tr_limit_group_reported(struct tr_limit *l, uint64_t group, double rate,
			     apr_time_t now)
{
	struct tr_limit_group *g = l->groups;
	struct tr_limit_group *end = l->groups + l->groups_count;

	while (g < end && g->group != group)
		g++;
	if (g == end) {
		g = realloc(l->groups, (l->groups_count + 1) * sizeof(*g));
		if (!g)
			return;
		l->groups = g;
		g += l->groups_count++;
		*g = (struct tr_limit_group){ .group = group };
	}
	g->rate = fmax(rate, g->rate * exp(-(double)(now - g->reported_at) /
					   1e6 / GROUP_FALL_S));
	g->reported_at = now;
	g->own_rate = tr_limit_demand(l, now);
	if (l->fleet_groups <= l->groups_count + 1)
		update_part(l, g->own_rate, now);
}

/* Requests a second that this VM's group gets now. */
double tr_limit_demand(const struct tr_limit *l, apr_time_t now)
{
	struct tr_limit decayed = *l;

	decay_rates(&decayed, now);
	return window_rate(&decayed, now);
}

/*
 * Whether the group gets a large part of the limit now, so that what the other
 * groups may use depends on it.
 */
bool tr_limit_is_flooded(const struct tr_limit *l, apr_time_t now)
{
	return tr_limit_demand(l, now) > FLOODED_PART * l->rate;
}

/*
 * Counts an arriving request. Requests that wait until this VM can decide on
 * them are counted on arrival, so that all VMs know the load to expect. When
 * they were counted at the decision instead, 104 VMs that restarted together
 * in a flood admitted all requests that had waited, 1.08 times what operators
 * allow (the load test).
 */
void tr_limit_arrived(struct tr_limit *l, const struct tr_limit_bound *bound,
		      apr_time_t now)
{
	advance_window(l, bound, now);
	decay_rates(l, now);
	count(l, 1, 0);
	l->own_arrived[l->slot % TR_LIMIT_SLOTS]++;
	l->long_own += 1;
	l->own.arrived++;
	l->changed = true;
}

/* Requests by which the limit is overrun on purpose. */
static double used_overrun(const struct tr_limit *l,
			   const struct tr_limit_bound *bound,
			   double group_share, double slack, apr_time_t now)
{
	double share = is_first_window(l, bound, now) ? USED_OVERRUN_AT_START
						      : USED_OVERRUN_SHARE;

	if (is_warming_up(l, now))
		return USED_SLACK_AT_START * slack;
	return freshness(l, now) *
	       (share * bound->over * window_limit(l, bound) * group_share +
		USED_SLACK_SHARE * slack);
}

/*
 * The part of its requests that a VM admits in its first window: the part that
 * VMs admit that started earlier and so know what was admitted before, if that
 * is less than its own. VMs that only followed each other would hold no limit
 * that was lowered. When each relied on its own estimate, a flood got
 * 1.19 of what operators tolerate as VMs restarted in turn.
 */
static double as_elders(const struct tr_limit *l, double part)
{
	double own = fmin(part, 1);

	return fmin(own, (l->elders_admitted + own) / (l->elders_arrived + 1));
}

/* The part of the requests that is admitted now; 1 or more for all. */
static double admitted_part(const struct tr_limit *l,
			    const struct tr_limit_bound *bound, double slack,
			    apr_time_t now)
{
	double share = tr_limit_group_share(l, now);
	double rate = arrival_rate(l, now);
	double late = tr_report_age_s(&l->reports, now) - TR_REPORT_AGE_USUAL_S;
	bool is_first = is_first_window(l, bound, now);
	double smoothing = (is_first ? SMOOTHING_START_S : SMOOTHING_S) +
			   SMOOTHING_BY_AGE * fmax(late, 0);
	double room = window_limit(l, bound) * share -
		      window_use(l, bound, now) -
		      estimate_unknown_use(l, bound, share, now) +
		      used_overrun(l, bound, share, slack, now);
	double part = expiry_rate(l, bound, now) *
			      fmin(1, EXPIRY_AHEAD_S / smoothing) +
		      room / smoothing;

	part /= fmax(rate, unreported_rate(l, bound, rate, now));
	return is_first ? as_elders(l, part) : part;
}

/*
 * Whether a request that was counted on arrival is admitted. In a partitioned
 * fleet each side has only its share of the limit.
 */
bool tr_limit_admit(struct tr_limit *l, const struct tr_limit_bound *bound,
		    const struct tr_limit_fleet *heard,
		    struct tr_random *random, apr_time_t now)
{
	double slack = bound->slack * heard->share / heard->groups;

	/* VMs that have not reported yet are not lost. */
	l->heard = is_warming_up(l, now) ? 1 : heard->share;
	l->fleet_groups = heard->groups;
	advance_window(l, bound, now);
	decay_rates(l, now);
	if (l->rate > 0 &&
	    tr_random_unit(random) >= admitted_part(l, bound, slack, now))
		return false;
	l->changed = true;
	l->own.admitted++;
	l->used[l->slot % TR_LIMIT_SLOTS]++;
	return true;
}

/*
 * Retry-After in us for a refused caller: the time until the requests admitted
 * beyond the limit are made up for, plus jitter.
 */
apr_time_t tr_limit_retry_after(const struct tr_limit *l,
				const struct tr_limit_bound *bound,
				struct tr_random *random)
{
	double excess = tr_limit_used(l) - window_limit(l, bound) * l->heard;
	apr_time_t after = RETRY_AFTER_MIN_US;

	if (l->rate > 0 && excess > 0)
		after += (apr_time_t)(excess / l->rate * 1e6);
	after += TR_MSEC(tr_random_below(random, RETRY_JITTER_MS));
	return after < RETRY_AFTER_MAX_US ? after : RETRY_AFTER_MAX_US;
}
