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
#define USED_OVER  0.15
#define USED_SLACK 0.8
/* Time in which what is saved up is let through, in s. Several times what news
 * takes, so that VMs do not all let through the same. */
#define EVEN_S 0.35
/* Spans over which rates are measured, in s: a flood is noticed by the first;
 * the second holds on while a VM is cut off, for as long as it takes to notice
 * that. */
#define FAST_S 0.7
#define SLOW_S 1.5
/* How long another group's word on its rate counts: as long as its VMs count
 * as there without a new one. */
#define GROUP_HOLDS TR_MSEC(2000)
/* Debts are kept for so long at most, in s of the rate: the window in which
 * operators look. */
#define DEBT_S 5.0
/* What a caller is told to wait at least and at most when it is refused. */
#define RETURN_LEAST TR_MSEC(200)
#define RETURN_MOST  TR_MSEC(3000)
/* Callers that are refused together come back over so long. */
#define RETURN_SPREAD_MS 1000

/* How messages name an organisation. */
uint32_t tr_limit_name(const char *organisation)
{
	return (uint32_t)tr_hash_string(organisation);
}

static struct tr_limit *add_row(struct tr_limits *limits, uint32_t name)
{
	struct tr_limit *row;

	if (limits->count == limits->room) {
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
struct tr_limit *tr_limits_row(struct tr_limits *limits, uint32_t name)
{
	uint32_t at;
	uint32_t i = tr_index_first(&limits->by_name, name, &at);

	return i == TR_NO_ROW ? NULL : &limits->rows[i];
}

/* The organisation's row, made when its name is new, by its place. */
uint32_t tr_limits_place(struct tr_limits *limits, const char *organisation)
{
	uint32_t name = tr_limit_name(organisation);
	struct tr_limit *row = tr_limits_row(limits, name);

	if (!row)
		row = add_row(limits, name);
	return (uint32_t)(row - limits->rows);
}

void tr_limits_release(struct tr_limits *limits)
{
	for (unsigned i = 0; i < limits->count; i++)
		free(limits->rows[i].groups);
	free(limits->rows);
	tr_index_release(&limits->by_name);
	memset(limits, 0, sizeof(*limits));
}

/* Let the rates fade to now. Tokens are filled up when they are asked for,
 * since the part of the limit may have changed by then. */
static void fade(struct tr_limit *l, apr_time_t now)
{
	double s = l->at ? (double)(now - l->at) / 1e6 : 0;

	if (s > 0) {
		l->fast *= exp(-s / FAST_S);
		l->slow *= exp(-s / SLOW_S);
	}
}

/* Requests a second that this VM's group gets. */
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
static double own_part(const struct tr_limit *l, apr_time_t now)
{
	double near = near_rate(l);
	double others = 0;
	double left;

	if (l->rate <= 0)
		return l->heard;
	if (l->groups_all > l->groups_count + 1)
		return l->heard / l->groups_all;
	for (unsigned i = 0; i < l->groups_count; i++)
		if (now - l->groups[i].told_at < GROUP_HOLDS)
			others += l->groups[i].rate;
	left = (l->rate - others) / l->rate;
	if (near > 0)
		left = fmax(left, near / (near + others));
	return l->heard * fmax(left, 0);
}

/* This VM has just started. It takes a burst to have gone through a moment ago:
 * after the loss of all VMs that may be so, and none of them knows. */
static void begin(struct tr_limit *l, double part)
{
	if (l->begun)
		return;
	l->begun = true;
	l->tokens -= l->burst * part;
}

static void step(struct tr_limit *l, double part, apr_time_t now)
{
	double s = l->at ? (double)(now - l->at) / 1e6 : 0;
	double most;

	begin(l, part);
	fade(l, now);
	if (s > 0)
		l->tokens += l->rate * part * s;
	most = l->groups_all ? l->heard / l->groups_all : part;
	l->tokens = fmin(l->tokens, l->burst * fmax(part, most));
	l->at = now;
}

static void count(struct tr_limit *l, unsigned came, unsigned admitted)
{
	l->fast += came / FAST_S;
	l->slow += came / SLOW_S;
	l->tokens -= admitted;
}

/* The limit as a configuration sets it. A lower one binds at once. */
void tr_limit_set(struct tr_limit *l, double rate, double burst, apr_time_t now)
{
	if (l->begun)
		step(l, own_part(l, now), now);
	if (!l->at)
		l->at = now;
	l->rate = rate;
	l->burst = burst;
	l->tokens = fmin(l->tokens, burst);
}

/* Another VM of the group has told its totals; before is what it told last. */
void tr_limit_heard(struct tr_limit *l, const struct tr_limit_totals *before,
		    const struct tr_limit_totals *told, apr_time_t now)
{
	step(l, own_part(l, now), now);
	count(l, (uint16_t)(told->came - before->came),
	      (uint16_t)(told->admitted - before->admitted));
}

/* Another group has told its rate, in requests a second. */
void tr_limit_group_told(struct tr_limit *l, uint64_t group, double rate,
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
	g->told_at = now;
}

/* Requests a second that this VM's group gets now. */
double tr_limit_demand(const struct tr_limit *l, apr_time_t now)
{
	struct tr_limit faded = *l;

	fade(&faded, now);
	return near_rate(&faded);
}

/*
 * A request of the organisation has come: may it go on? In a fleet of which
 * only a part is heard each side has only its part of the limit.
 */
bool tr_limit_admit(struct tr_limit *l, const struct tr_limit_bound *bound,
		    const struct tr_limit_fleet *heard,
		    struct tr_random *random, apr_time_t now)
{
	double window_s = (double)bound->window / 1e6;
	double over = bound->over * (l->rate * window_s + l->burst);
	double slack = bound->slack * heard->share / heard->groups;
	double part;
	double spare;
	bool admitted = true;

	l->heard = heard->share;
	l->groups_all = heard->groups;
	part = own_part(l, now);
	step(l, part, now);
	count(l, 1, 0);
	if (l->rate > 0) {
		spare = USED_OVER * over * part + USED_SLACK * slack;
		l->tokens = fmax(l->tokens, -spare - DEBT_S * l->rate * part);
		spare += l->tokens;
		admitted = tr_random_unit(random) * near_rate(l) <
			   l->rate * part + spare / EVEN_S;
	}
	l->own.came++;
	l->changed = true;
	if (!admitted)
		return false;
	l->own.admitted++;
	l->tokens--;
	return true;
}

/* When a caller that was refused should come back, in us: when what was let
 * through beyond the limit is made up for, and not all at once. */
apr_time_t tr_limit_return_after(const struct tr_limit *l,
				 struct tr_random *random)
{
	apr_time_t after = RETURN_LEAST;

	if (l->rate > 0 && l->tokens < 0)
		after += (apr_time_t)(-l->tokens / l->rate * 1e6);
	after += TR_MSEC(tr_random_below(random, RETURN_SPREAD_MS));
	return after < RETURN_MOST ? after : RETURN_MOST;
}
