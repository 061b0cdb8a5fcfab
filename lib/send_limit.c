/*
 * Limits that targets name: so many requests a second from all VMs together.
 * Each VM keeps a token bucket a target, and VMs tell each other what they sent
 * as running totals, so that the buckets agree but for what is on its way.
 *
 * A share of the limit for each VM would serve nobody where the limit is below
 * one request a second for each. With totals alone all VMs see the same token
 * at once and each spends it; so a VM takes one only by a chance, by which all
 * VMs together spend what is there in several times what news takes.
 */
#include "send_limit.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"

/* What may be saved up, in s of the limit, beside one request. */
#define SAVED_S 0.5
/* Time in which what is there is spent, in s. */
#define SMOOTHING_S 0.35
/* What was sent beyond the limit is made up for, but for no longer than this,
 * in s: what a VM hears of another for the first time may be long ago. */
#define DEBT_MOST_S 4
/* Least rate for a target whose limit is 0, in requests a second: only its
 * answers tell that the limit has ended. */
#define RATE_LEAST 0.1
/* An answer without a limit counts from so long after the last that named one
 * on: answers overtake each other. */
#define ENDS_AFTER TR_SEC(1)
/* A limit that has moved by less than this part is no news. */
#define SAME_PART 0.25
/* How long what another group's target said holds here without being told
 * again: that group tells it some times a second. */
#define AWAY_HOLDS TR_SEC(10)
/* What a message between two VMs takes at most, with the turn of a busy loop.
 */
#define WAY_MOST TR_MSEC(100)

/* A row for the target, by its place. */
uint32_t tr_send_limits_add(struct tr_send_limits *limits, uint32_t target)
{
	uint32_t place = 0;

	while (place < limits->count && limits->rows[place].used)
		place++;
	if (place == limits->room) {
		unsigned room = limits->room ? limits->room * 2 : 8;
		void *grown =
			realloc(limits->rows, room * sizeof(*limits->rows));

		if (!grown)
			abort();
		limits->rows = grown;
		limits->room = room;
	}
	if (place == limits->count)
		limits->count++;
	limits->rows[place] = (struct tr_send_limit){
		.used = true,
		.target = target,
	};
	return place;
}

/* The target is gone. */
void tr_send_limits_remove(struct tr_send_limits *limits, uint32_t place)
{
	limits->holding -= limits->rows[place].holds;
	memset(&limits->rows[place], 0, sizeof(*limits->rows));
}

void tr_send_limits_release(struct tr_send_limits *limits)
{
	free(limits->rows);
	memset(limits, 0, sizeof(*limits));
}

/* Requests a second that go to the target; share is the part of the fleet that
 * is heard, since others that can't be heard have their part. */
double tr_send_limit_rate(const struct tr_send_limit *l, double share)
{
	return fmax(l->rate, RATE_LEAST) * share;
}

/* How many requests may be sent now; below 0, too many were. */
double tr_send_limit_tokens(const struct tr_send_limit *l, double share,
			    apr_time_t now)
{
	double rate = tr_send_limit_rate(l, share);
	double s = (double)(now - l->at) / 1e6;

	return fmin(1 + rate * SAVED_S, l->tokens + fmax(s, 0) * rate);
}

static void spend(struct tr_send_limit *l, unsigned n, double share,
		  apr_time_t now)
{
	double debt_most = tr_send_limit_rate(l, share) * DEBT_MOST_S + 1;

	l->tokens = fmax(tr_send_limit_tokens(l, share, now) - n, -debt_most);
	l->at = now;
}

/*
 * When the target named what another VM reports of it, with the report's age.
 * The longest usual delivery time is added: without it each report would look
 * younger than the last, and VMs would refresh each other's for ever.
 */
apr_time_t tr_send_limit_report_time(apr_time_t reported_age, apr_time_t now)
{
	return now - reported_age - WAY_MOST;
}

/* An answer to this VM or another named a limit, at a time by this VM's clock.
 */
enum tr_send_limit_change tr_send_limit_set(struct tr_send_limits *limits,
					    uint32_t place, double rate,
					    apr_time_t named_at, apr_time_t now)
{
	struct tr_send_limit *l = &limits->rows[place];
	bool held = l->holds;

	if (named_at <= l->named_at)
		return TR_SEND_LIMIT_SAME;
	l->named_at = named_at;
	l->rate = rate;
	if (held &&
	    fabs(rate - l->rate_reported) <= SAME_PART * l->rate_reported)
		return TR_SEND_LIMIT_SAME;
	l->rate_reported = rate;
	if (held)
		return TR_SEND_LIMIT_CHANGED;
	limits->holding++;
	l->holds = true;
	l->tokens = 0;
	l->at = now;
	return TR_SEND_LIMIT_BEGAN;
}

/* Another VM has told that the limit had ended at a time. */
enum tr_send_limit_change tr_send_limit_clear(struct tr_send_limits *limits,
					      uint32_t place,
					      apr_time_t named_at)
{
	struct tr_send_limit *l = &limits->rows[place];

	if (!l->holds || named_at <= l->named_at)
		return TR_SEND_LIMIT_SAME;
	limits->holding--;
	l->holds = false;
	l->named_at = named_at;
	return TR_SEND_LIMIT_ENDED;
}

/* No longer hold to it, which is no word of the target's. */
void tr_send_limits_deactivate(struct tr_send_limits *limits, uint32_t place)
{
	struct tr_send_limit *l = &limits->rows[place];

	limits->holding -= l->holds;
	l->holds = false;
}

/* Has nobody told of the limit of another group's target for long? */
bool tr_send_limit_is_stale(const struct tr_send_limit *l, apr_time_t now)
{
	return l->holds && now - l->named_at > AWAY_HOLDS;
}

/* An answer to this VM named none. */
enum tr_send_limit_change tr_send_limit_absent(struct tr_send_limits *limits,
					       uint32_t place,
					       apr_time_t named_at)
{
	if (named_at < limits->rows[place].named_at + ENDS_AFTER)
		return TR_SEND_LIMIT_SAME;
	return tr_send_limit_clear(limits, place, named_at);
}

/* This VM sends a request to the target. */
void tr_send_limit_sent(struct tr_send_limit *l, double share, apr_time_t now)
{
	l->sent++;
	l->changed = true;
	spend(l, 1, share, now);
}

/* Other VMs have sent so many. */
void tr_send_limit_reported(struct tr_send_limit *l, uint16_t sent,
			    double share, apr_time_t now)
{
	if (sent)
		spend(l, sent, share, now);
}

/*
 * May a request go to a target with a limit at all? tokens are those of all
 * such targets of its service, wanted the requests a second that all VMs get
 * for it, drawn a number drawn evenly from 0 to 1.
 */
bool tr_send_limits_admit(double tokens, double wanted, double drawn)
{
	return drawn * wanted * SMOOTHING_S <= tokens;
}
