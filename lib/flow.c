/*
 * Demand by flow. A VM sees about one request in a hundred, so it adds what the
 * other VMs of its group report as running totals, and the rates that other
 * groups report. Two time constants are kept: the fast rate notices the start
 * and the end of a peak, the smooth one is steady enough to compare
 * organisations of a few requests a second.
 */
#include "flow.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "hash.h"

/* Time constant of the smooth rates, in s. */
#define SMOOTH_S 0.5
/*
 * Time over which the usual rate is averaged: several times a peak of 3 to 7 s.
 */
#define USUAL_TIME TR_SEC(30)
/* Rows without a request for this long are dropped. */
#define IDLE_TTL TR_SEC(30)
/*
 * Age from which a group's last rate counts as not heard: three of its reports
 * were missed.
 */
#define GROUP_HEARD_TTL TR_MSEC(750)
/*
 * A group's last rate is kept for this long, as its VMs count as alive without
 * another message; then it halves with each further second.
 */
#define GROUP_REPORT_TTL TR_MSEC(2000)
/*
 * Most requests that one report can add. More means that the sender has dropped
 * the row or restarted, and counts from zero again.
 */
#define REPORT_MAX 4096
#define MIN_ROWS   32

static uint32_t key_hash(const struct tr_flow_key *key)
{
	return (uint32_t)tr_hash(key, sizeof(*key));
}

static bool same_key(const struct tr_flow_key *a, const struct tr_flow_key *b)
{
	return a->service == b->service && a->organisation == b->organisation &&
	       a->rank == b->rank;
}

static struct tr_flow *find(const struct tr_flows *flows,
			    const struct tr_flow_key *key, uint32_t hash)
{
	uint32_t at;
	uint32_t i = tr_index_first(&flows->by_key, hash, &at);

	while (i != TR_NO_ROW && !same_key(&flows->rows[i].key, key))
		i = tr_index_next(&flows->by_key, hash, &at);
	return i == TR_NO_ROW ? NULL : &flows->rows[i];
}

static void grow(struct tr_flows *flows)
{
	unsigned capacity = flows->capacity ? flows->capacity * 2 : MIN_ROWS;
	struct tr_flow *rows = realloc(flows->rows, capacity * sizeof(*rows));

	if (!rows)
		abort();
	flows->rows = rows;
	flows->capacity = capacity;
}

/*
 * Returns the row of a flow, which is added if it is missing, or NULL if the
 * table is full. The row stays in place until the next call that adds rows or
 * tr_flows_expire.
 */
struct tr_flow *tr_flows_find_or_add(struct tr_flows *flows,
				     const struct tr_flow_key *key,
				     apr_time_t now)
{
	uint32_t hash = key_hash(key);
	struct tr_flow *f = find(flows, key, hash);

	if (f)
		return f;
	if (flows->count >= TR_FLOWS_MAX)
		return NULL;
	if (!flows->rows || flows->count == flows->capacity)
		grow(flows);
	f = &flows->rows[flows->count];
	memset(f, 0, sizeof(*f));
	f->key = *key;
	f->used_at = now;
	f->decayed_at = now;
	f->usual_since = now;
	f->usual_at = now;
	tr_index_add(&flows->by_key, hash, flows->count++);
	return f;
}

/* Removes a row; the last row takes its place. */
static void drop(struct tr_flows *flows, uint32_t i)
{
	struct tr_flow *last = &flows->rows[--flows->count];

	free(flows->rows[i].groups);
	tr_index_remove(&flows->by_key, key_hash(&flows->rows[i].key), i);
	if (i == flows->count)
		return;
	tr_index_remove(&flows->by_key, key_hash(&last->key), flows->count);
	flows->rows[i] = *last;
	tr_index_add(&flows->by_key, key_hash(&last->key), i);
}

/* Drops the rows of which nothing was heard for IDLE_TTL. */
void tr_flows_expire(struct tr_flows *flows, apr_time_t now)
{
	for (uint32_t i = flows->count; i-- > 0;)
		if (now - flows->rows[i].used_at > IDLE_TTL)
			drop(flows, i);
}

void tr_flows_release(struct tr_flows *flows)
{
	for (unsigned i = 0; i < flows->count; i++)
		free(flows->rows[i].groups);
	free(flows->rows);
	tr_index_release(&flows->by_key);
	memset(flows, 0, sizeof(*flows));
}

/* Returns a rate decayed to the present. */
static double decayed(const struct tr_flow *f, double rate, double constant_s,
		      apr_time_t now)
{
	double s = (double)(now - f->decayed_at) / 1e6;

	return s > 0 ? rate * exp(-s / constant_s) : rate;
}

static void count(struct tr_flow *f, unsigned arrived, apr_time_t now)
{
	f->rate_fast = decayed(f, f->rate_fast, TR_FLOW_FAST_S, now) +
		       arrived / TR_FLOW_FAST_S;
	f->rate_smooth =
		decayed(f, f->rate_smooth, SMOOTH_S, now) + arrived / SMOOTH_S;
	f->decayed_at = now;
	f->used_at = now;
}

/* Counts a request that arrived at this VM, whether it is admitted or not. */
void tr_flow_arrived(struct tr_flow *f, apr_time_t now)
{
	count(f, 1, now);
	f->own.arrived++;
	f->changed = true;
}

/* Counts a request that this VM admitted. */
void tr_flow_admitted(struct tr_flow *f, apr_time_t now)
{
	f->used_at = now;
	f->own.admitted++;
	f->changed = true;
}

/*
 * Takes in the totals reported by another VM of the group; before is its
 * previous report.
 */
void tr_flow_reported(struct tr_flow *f, const struct tr_flow_totals *before,
		      const struct tr_flow_totals *reported, apr_time_t now)
{
	uint16_t arrived = (uint16_t)(reported->arrived - before->arrived);

	if (arrived > REPORT_MAX)
		arrived = reported->arrived;
	if (arrived && arrived <= REPORT_MAX)
		count(f, arrived, now);
}

static struct tr_flow_group *find_or_add_group(struct tr_flow *f,
					       uint64_t group)
{
	struct tr_flow_group *g;

	for (unsigned i = 0; i < f->groups_count; i++)
		if (f->groups[i].group == group)
			return &f->groups[i];
	g = realloc(f->groups, (f->groups_count + 1) * sizeof(*g));
	if (!g)
		return NULL;
	f->groups = g;
	g += f->groups_count++;
	memset(g, 0, sizeof(*g));
	g->group = group;
	return g;
}

/* Takes in the rate reported by another group, in requests a second. */
void tr_flow_group_reported(struct tr_flow *f, uint64_t group, double rate,
			    apr_time_t now)
{
	struct tr_flow_group *g = find_or_add_group(f, group);
	double s;

	if (!g)
		return;
	s = (double)(now - g->reported_at) / 1e6;
	if (!g->reported_at)
		g->rate_smooth = rate;
	else if (s > 0)
		g->rate_smooth +=
			(rate - g->rate_smooth) * (1 - exp(-s / SMOOTH_S));
	g->rate = rate;
	g->reported_at = now;
	if (rate > 0)
		f->used_at = now;
}

/*
 * Part of a group's last rate that is assumed now. While only a part of the
 * fleet is heard, the demand of a group whose reports are missing goes to the
 * VMs that it hears itself. The square leaves next to nothing of it for a VM
 * that is cut off, and nearly all where a single VM is lost.
 */
static double group_weight(const struct tr_flow_group *g, double heard_share,
			   apr_time_t now)
{
	apr_time_t age = now - g->reported_at;
	double weight = age > GROUP_HEARD_TTL ? heard_share * heard_share : 1;

	if (age > GROUP_REPORT_TTL)
		weight *= exp2(-(double)(age - GROUP_REPORT_TTL) / 1e6);
	return weight;
}

/* Requests a second that arrive at this VM's group, for the other groups. */
double tr_flow_group_rate(const struct tr_flow *f, apr_time_t now)
{
	return decayed(f, f->rate_fast, TR_FLOW_FAST_S, now);
}

/* Requests a second that arrive at the fleet. */
double tr_flow_rate(const struct tr_flow *f, apr_time_t now)
{
	return tr_flow_rate_smooth(f, 1, now);
}

/* The same for a VM that hears this share of the fleet. */
double tr_flow_rate_smooth(const struct tr_flow *f, double heard_share,
			   apr_time_t now)
{
	double rate = decayed(f, f->rate_smooth, SMOOTH_S, now);

	for (unsigned i = 0; i < f->groups_count; i++)
		rate += f->groups[i].rate_smooth *
			group_weight(&f->groups[i], heard_share, now);
	return rate;
}

/* The same by the fast rates. */
double tr_flow_rate_fast(const struct tr_flow *f, double heard_share,
			 apr_time_t now)
{
	double rate = decayed(f, f->rate_fast, TR_FLOW_FAST_S, now);

	for (unsigned i = 0; i < f->groups_count; i++)
		rate += f->groups[i].rate *
			group_weight(&f->groups[i], heard_share, now);
	return rate;
}

/*
 * Updates and returns the usual rate of the fleet: the mean since the row was
 * added, or over USUAL_TIME.
 */
double tr_flow_rate_usual(struct tr_flow *f, apr_time_t now)
{
	apr_time_t elapsed = now - f->usual_at;
	apr_time_t span = now - f->usual_since;

	if (span > USUAL_TIME)
		span = USUAL_TIME;
	if (elapsed > span)
		elapsed = span;
	if (elapsed > 0)
		f->rate_usual += (tr_flow_rate(f, now) - f->rate_usual) *
				 (double)elapsed / (double)span;
	f->usual_at = now;
	return f->rate_usual;
}
