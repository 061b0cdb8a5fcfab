/*
 * An organisation's limit over all VMs, of which each sees a small part of the
 * organisation's requests. VMs of a group tell each other what came and what
 * they let through, as running totals; groups tell each other how many requests
 * a second they get, and share the limit by that. While more comes than is
 * allowed, each VM lets the same part of it through.
 *
 * What goes wrong with a share for each VM: one that gets three requests of an
 * organisation at once refuses two, though the fleet is far below the limit.
 * What goes wrong with totals alone: all VMs see the same request become free,
 * and each lets one through. And a VM that is cut off sees nobody else use
 * anything; so the part that it lets through follows the rate it last knew,
 * which fades slowly, and its part of the limit falls as VMs fall silent.
 */
#include "limit.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"

/* Parts of what may be overrun that are used on purpose, so that chance refuses
 * nothing just below the limit. The rest is for what VMs let through before
 * they hear of each other's: a part of what is allowed, where a flood of five
 * times as much is noticed after a tenth of a second; hardly any of the number
 * that is free for the smallest organisation too. */
#define USED_OVER  0.02
#define USED_SLACK 0.8
/* The same of the number while a VM has just begun: as much as one request of a
 * small organisation needs. */
#define USED_AT_START 0.3
/* Time in which what is saved up is let through, in s. Several times what news
 * takes, so that VMs do not all let through the same. */
#define EVEN_S 0.35
/* Spans over which rates are measured, in s: a flood is noticed by the first;
 * the second holds on while a VM is cut off, for as long as it takes to notice
 * that. */
#define FAST_S 0.7
#define SLOW_S 1.5
/* The same for a group's part of the limit: as long as the window in which what
 * it let through is counted, so that both follow callers that move. */
#define STEADY_S 5.0
/* How long callers may have found no VM when all were lost, in s. */
#define DOWN_S 1.0
/* How long a VM has just begun, in s: until it has heard the others' rates. */
#define BEGINS_S 1
/* A shorter count says nothing, in s. */
#define LEAST_S 0.2
/* How long another group's word on its rate counts: as long as its VMs count
 * as there without a new one. */
#define GROUP_HOLDS TR_MSEC(2000)
/* What a caller is told to wait at least and at most when it is refused. */
#define RETRY_AFTER_MIN_US TR_MSEC(200)
#define RETRY_AFTER_MAX_US TR_MSEC(3000)
/* Callers that are refused together come back over so long. */
#define RETRY_JITTER_MS 1000

/* How messages name an organisation. */
uint32_t tr_limit_name(const char *organisation)
{
	return (uint32_t)tr_hash_string(organisation);
}

static struct tr_limit *add_row(struct tr_limits *limits, uint32_t name)
{
	struct tr_limit *row;

	if (!limits->rows || limits->count == limits->room) {
		unsigned room = limits->room ? limits->room * 2 : 32;

		row = realloc(limits->rows, room * sizeof(*row));
		if (!row)
			abort();
		limits->rows = row;
		limits->room = room;
	}
	row = &limits->rows[limits->count];
	memset(row, 0, sizeof(*row));
	row->name = name;
	row->heard = 1;
	tr_index_add(&limits->by_name, name, limits->count++);
	return row;
}

/* The row of the name, or NULL. */
struct tr_limit *tr_limits_find(struct tr_limits *limits, uint32_t name)
{
	uint32_t at;
	uint32_t i = tr_index_first(&limits->by_name, name, &at);

	return i == TR_NO_ROW ? NULL : &limits->rows[i];
}

/* The organisation's row, made when its name is new, by its place. */
uint32_t tr_limits_find_or_add(struct tr_limits *limits,
			       const char *organisation)
{
	uint32_t name = tr_limit_name(organisation);
	struct tr_limit *row = tr_limits_find(limits, name);

	if (!row)
		row = add_row(limits, name);
	return (uint32_t)(row - limits->rows);
}

/* This VM has stood still: what others did meanwhile is not known, as after a
 * start. */
void tr_limits_restart(struct tr_limits *limits, apr_time_t now)
{
	for (unsigned i = 0; i < limits->count; i++)
		limits->rows[i].known_since = now;
}

void tr_limits_release(struct tr_limits *limits)
{
	for (unsigned i = 0; i < limits->count; i++)
		free(limits->rows[i].groups);
	free(limits->rows);
	tr_index_release(&limits->by_name);
	memset(limits, 0, sizeof(*limits));
}

/* Let the rates fade to now. */
static void fade(struct tr_limit *l, apr_time_t now)
{
	double s = l->at ? (double)(now - l->at) / 1e6 : 0;

	if (s > 0) {
		l->fast *= exp(-s / FAST_S);
		l->slow *= exp(-s / SLOW_S);
		l->steady *= exp(-s / STEADY_S);
	}
	l->at = now;
}

/* Requests a second that this VM's group gets, over a window or since it has
 * counted: while all VMs start anew each group would else take the others to
 * want nothing. */
static double steady_rate(const struct tr_limit *l, apr_time_t now)
{
	double s = (double)(now - l->known_since) / 1e6;

	return l->steady / (1 - exp(-fmax(s, LEAST_S) / STEADY_S));
}

/* The same by the highest count, that of a moment or that of a while. */
static double near_rate(const struct tr_limit *l)
{
	return fmax(l->fast, l->slow);
}

/*
 * The part of the limit that is this group's, as far as the fleet is heard:
 * what the others leave, or where all want more than there is, by what each
 * wants. A group that happens to get nothing for a moment has a part so all the
 * same. One that has told nothing yet is taken to want as much as this one:
 * while all VMs start anew, each group would else take the whole limit for its
 * own.
 */
double tr_limit_group_share(const struct tr_limit *l, apr_time_t now)
{
	double near = steady_rate(l, now);
	double others = 0;
	double left;

	if (l->rate <= 0)
		return l->heard;
	if (l->groups_all > l->groups_count + 1)
		return l->heard / l->groups_all;
	for (unsigned i = 0; i < l->groups_count; i++)
		if (now - l->groups[i].reported_at < GROUP_HOLDS)
			others += l->groups[i].rate;
	left = (l->rate - others) / l->rate;
	if (near > 0)
		left = fmax(left, near / (near + others));
	return l->heard * fmax(left, 0);
}

/* What is allowed in a window. */
static double whole(const struct tr_limit *l,
		    const struct tr_limit_bound *bound)
{
	return l->rate * (double)bound->window / 1e6 + l->burst;
}

/* Turn to the part of the window that it is now. */
static void turn(struct tr_limit *l, const struct tr_limit_bound *bound,
		 apr_time_t now)
{
	apr_time_t slot = now / (bound->window / TR_LIMIT_PARTS);
	apr_time_t passed = slot - l->slot;

	if (passed > TR_LIMIT_SLOTS)
		passed = TR_LIMIT_SLOTS;
	for (apr_time_t i = 0; i < passed; i++)
		l->used[(slot - i) % TR_LIMIT_SLOTS] = 0;
	l->slot = slot;
}

static bool has_just_begun(const struct tr_limit *l, apr_time_t now)
{
	return now - l->known_since < TR_SEC(BEGINS_S);
}

/* Requests a second that the group gets. A VM that has just begun has counted
 * for a part of the span only; callers may have waited for it for so long. */
static double coming_rate(const struct tr_limit *l, double waited_s,
			  apr_time_t now)
{
	double s = (double)(now - l->known_since) / 1e6 + waited_s;

	if (!has_just_begun(l, now))
		return near_rate(l);
	return l->fast / (1 - exp(-fmax(s, LEAST_S) / FAST_S));
}

/*
 * What the group let through in the part of the window before this VM began:
 * nobody knows that after the loss of all VMs. It is taken to have been as much
 * as what comes now, up to the limit: an organisation that floods is held to
 * it, and one that keeps to it is not refused. With a window that was taken to
 * be full 270 of 1,264 requests were refused in the two seconds after such a
 * loss, 76 with this (104 VMs).
 */
static double used_before(const struct tr_limit *l,
			  const struct tr_limit_bound *bound, double part,
			  apr_time_t now)
{
	apr_time_t left = bound->window - (now - l->known_since);
	double window_s = (double)bound->window / 1e6;

	if (left <= 0)
		return 0;
	return fmin(whole(l, bound) * part,
		    coming_rate(l, DOWN_S, now) * window_s) *
	       (double)left / (double)bound->window;
}

static void count(struct tr_limit *l, unsigned came, unsigned admitted)
{
	l->fast += came / FAST_S;
	l->slow += came / SLOW_S;
	l->steady += came / STEADY_S;
	l->used[l->slot % TR_LIMIT_SLOTS] += (float)admitted;
}

/* What the group let through in the window. */
double tr_limit_used(const struct tr_limit *l)
{
	double sum = 0;

	for (int i = 0; i < TR_LIMIT_SLOTS; i++)
		sum += l->used[i];
	return sum;
}

/* Requests a second that leave the window now. What was let through before this
 * VM began may leave it later. */
static double leaving_rate(const struct tr_limit *l,
			   const struct tr_limit_bound *bound, apr_time_t now)
{
	double part_s = (double)bound->window / 1e6 / TR_LIMIT_PARTS;

	if (has_just_begun(l, now))
		return 0;
	return l->used[(l->slot + 1) % TR_LIMIT_SLOTS] / part_s;
}

/* The limit as a configuration sets it. A lower one binds at once. */
void tr_limit_set(struct tr_limit *l, double rate, double burst, apr_time_t now)
{
	if (!l->known_since)
		l->known_since = now;
	l->rate = rate;
	l->burst = burst;
}

/* Another VM of the group has told its totals; before is what it told last. */
void tr_limit_reported(struct tr_limit *l, const struct tr_limit_bound *bound,
		       const struct tr_limit_totals *before,
		       const struct tr_limit_totals *reported, apr_time_t now)
{
	turn(l, bound, now);
	fade(l, now);
	count(l, (uint16_t)(reported->came - before->came),
	      (uint16_t)(reported->admitted - before->admitted));
}

/* Another group has told its rate, in requests a second. */
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
		g->group = group;
	}
	g->rate = rate;
	g->reported_at = now;
}

/* Requests a second that this VM's group gets now. */
double tr_limit_demand(const struct tr_limit *l, apr_time_t now)
{
	struct tr_limit faded = *l;

	fade(&faded, now);
	return steady_rate(&faded, now);
}

/*
 * A request of the organisation has come. Those that wait until this VM can
 * judge them are counted when they come, so that all know what they will meet:
 * counted when they were judged, 104 VMs that came back together in a flood let
 * all through that had waited, 1.08 of what operators allow (the load test).
 */
void tr_limit_arrived(struct tr_limit *l, const struct tr_limit_bound *bound,
		      apr_time_t now)
{
	turn(l, bound, now);
	fade(l, now);
	count(l, 1, 0);
	l->own.came++;
	l->changed = true;
}

/*
 * May a request of the organisation that has come go on? In a fleet of which
 * only a part is heard each side has only its part of the limit.
 */
bool tr_limit_admit(struct tr_limit *l, const struct tr_limit_bound *bound,
		    const struct tr_limit_fleet *heard,
		    struct tr_random *random, apr_time_t now)
{
	double slack = bound->slack * heard->share / heard->groups;
	double part;
	double spare;
	bool admitted = true;

	/* VMs that are not heard yet are not lost. */
	l->heard = has_just_begun(l, now) ? 1 : heard->share;
	l->groups_all = heard->groups;
	part = tr_limit_group_share(l, now);
	turn(l, bound, now);
	fade(l, now);
	if (l->rate > 0) {
		spare = whole(l, bound) * part - tr_limit_used(l) -
			used_before(l, bound, part, now);
		if (has_just_begun(l, now))
			spare += USED_AT_START * slack;
		else
			spare += USED_OVER * bound->over * whole(l, bound) *
					 part +
				 USED_SLACK * slack;
		admitted = tr_random_unit(random) * coming_rate(l, 0, now) <
			   leaving_rate(l, bound, now) + spare / EVEN_S;
	}
	if (!admitted)
		return false;
	l->changed = true;
	l->own.admitted++;
	l->used[l->slot % TR_LIMIT_SLOTS]++;
	return true;
}

/* When a caller that was refused should come back, in us: when what was let
 * through beyond the limit is made up for, and not all at once. */
apr_time_t tr_limit_retry_after(const struct tr_limit *l,
				const struct tr_limit_bound *bound,
				struct tr_random *random)
{
	double beyond = tr_limit_used(l) - whole(l, bound) * l->heard;
	apr_time_t after = RETRY_AFTER_MIN_US;

	if (l->rate > 0 && beyond > 0)
		after += (apr_time_t)(beyond / l->rate * 1e6);
	after += TR_MSEC(tr_random_below(random, RETRY_JITTER_MS));
	return after < RETRY_AFTER_MAX_US ? after : RETRY_AFTER_MAX_US;
}
