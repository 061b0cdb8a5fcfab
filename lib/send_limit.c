/*
 * Rate limits that targets set: a number of requests a second from all VMs
 * together. Each VM keeps a token bucket per target, and VMs report to each
 * other, as running totals, how many requests they sent, so that the buckets
 * agree apart from reports still in flight.
 *
 * A fixed share of the limit for each VM would serve nobody if the limit is
 * below one request a second per VM. With totals alone all VMs see the same
 * token at once and each spends it; so a VM takes a token only with a
 * probability by which all VMs together spend the available tokens in several
 * times the delay of a report.
 */
#include "send_limit.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"

/* Size of the bucket, in s of the limit, beside one request. */
#define BURST_S 0.5
/* Time in which the available tokens are spent, in s. */
#define SMOOTHING_S 0.35
/*
 * Requests sent beyond the limit are made up for, up to this many s of the
 * limit: the first total that a VM receives from another may cover a long time.
 */
#define MAX_DEBT_S 4
/*
 * Lowest rate, in requests a second, for a target whose limit is 0: only its
 * responses tell that the limit has been lifted.
 */
#define MIN_LIMIT_RATE 0.1
/*
 * A response without a limit clears it only this long after the last one that
 * set it, since responses may overtake each other.
 */
#define CLEAR_DELAY TR_SEC(1)
/* Relative change of a limit below which it is not logged or reported. */
#define MIN_CHANGE 0.25
/*
 * How long the limit of another group's target is kept without another report:
 * that group reports it several times a second.
 */
#define REMOTE_TTL TR_SEC(10)
/*
 * Longest delivery time of a message between two VMs, with the delay of a busy
 * event loop.
 */
#define MAX_DELIVERY_TIME TR_MSEC(100)

/* Adds a row for the target and returns its index. */
uint32_t tr_send_limits_add(struct tr_send_limits *limits, uint32_t target)
{
	uint32_t row_index = 0;

	while (row_index < limits->count && limits->rows[row_index].used)
		row_index++;
	if (row_index == limits->capacity) {
		unsigned capacity = limits->capacity ? limits->capacity * 2 : 8;
		void *grown =
			realloc(limits->rows, capacity * sizeof(*limits->rows));

		if (!grown)
			abort();
		limits->rows = grown;
		limits->capacity = capacity;
	}
	if (row_index == limits->count)
		limits->count++;
	limits->rows[row_index] = (struct tr_send_limit){
		.used = true,
		.target = target,
	};
	return row_index;
}

/* Removes the row of a target that is gone. */
void tr_send_limits_remove(struct tr_send_limits *limits, uint32_t row_index)
{
	limits->active_count -= limits->rows[row_index].holds;
	memset(&limits->rows[row_index], 0, sizeof(*limits->rows));
}

void tr_send_limits_release(struct tr_send_limits *limits)
{
	free(limits->rows);
	memset(limits, 0, sizeof(*limits));
}

/*
 * Requests a second that may be sent to the target. heard_share is the share of
 * the fleet that this VM receives reports from; the rest is left to the VMs
 * that it does not.
 */
double tr_send_limit_rate(const struct tr_send_limit *l, double heard_share)
{
	return fmax(l->rate, MIN_LIMIT_RATE) * heard_share;
}

/* Requests that may be sent now; negative if too many were sent. */
double tr_send_limit_tokens(const struct tr_send_limit *l, double heard_share,
			    apr_time_t now)
{
	double rate = tr_send_limit_rate(l, heard_share);
	double s = (double)(now - l->refilled_at) / 1e6;

	return fmin(1 + rate * BURST_S, l->tokens + fmax(s, 0) * rate);
}

static void take_tokens(struct tr_send_limit *l, unsigned n, double heard_share,
			apr_time_t now)
{
	double max_debt = tr_send_limit_rate(l, heard_share) * MAX_DEBT_S + 1;

	l->tokens =
		fmax(tr_send_limit_tokens(l, heard_share, now) - n, -max_debt);
	l->refilled_at = now;
}

/*
 * Converts the age of another VM's report into the time at which the target set
 * the limit. The longest usual delivery time is added: without it each report
 * would look younger than the last, and VMs would refresh each other's for
 * ever.
 */
apr_time_t tr_send_limit_report_time(apr_time_t reported_age, apr_time_t now)
{
	return now - reported_age - MAX_DELIVERY_TIME;
}

/*
 * A response to this VM or to another one set the limit, at named_at by this
 * VM's clock.
 */
enum tr_send_limit_change tr_send_limit_set(struct tr_send_limits *limits,
					    uint32_t row_index, double rate,
					    apr_time_t named_at, apr_time_t now)
{
	struct tr_send_limit *l = &limits->rows[row_index];
	bool was_active = l->holds;

	if (named_at <= l->named_at)
		return TR_SEND_LIMIT_SAME;
	l->named_at = named_at;
	l->rate = rate;
	if (was_active &&
	    fabs(rate - l->rate_reported) <= MIN_CHANGE * l->rate_reported)
		return TR_SEND_LIMIT_SAME;
	l->rate_reported = rate;
	if (was_active)
		return TR_SEND_LIMIT_CHANGED;
	limits->active_count++;
	l->holds = true;
	l->tokens = 0;
	l->refilled_at = now;
	return TR_SEND_LIMIT_BEGAN;
}

/* The limit ended at named_at, as a response or another VM reports. */
enum tr_send_limit_change tr_send_limit_clear(struct tr_send_limits *limits,
					      uint32_t row_index,
					      apr_time_t named_at)
{
	struct tr_send_limit *l = &limits->rows[row_index];

	if (!l->holds || named_at <= l->named_at)
		return TR_SEND_LIMIT_SAME;
	limits->active_count--;
	l->holds = false;
	l->named_at = named_at;
	return TR_SEND_LIMIT_ENDED;
}

/* Stops applying the limit, though the target has not lifted it. */
void tr_send_limits_deactivate(struct tr_send_limits *limits,
			       uint32_t row_index)
{
	struct tr_send_limit *l = &limits->rows[row_index];

	limits->active_count -= l->holds;
	l->holds = false;
}

/* Whether no VM has reported this limit of another group's target for long. */
bool tr_send_limit_is_stale(const struct tr_send_limit *l, apr_time_t now)
{
	return l->holds && now - l->named_at > REMOTE_TTL;
}

/* A response to this VM carried no limit. */
enum tr_send_limit_change tr_send_limit_absent(struct tr_send_limits *limits,
					       uint32_t row_index,
					       apr_time_t named_at)
{
	if (named_at < limits->rows[row_index].named_at + CLEAR_DELAY)
		return TR_SEND_LIMIT_SAME;
	return tr_send_limit_clear(limits, row_index, named_at);
}

/* Takes the token of a request that this VM is about to send. */
void tr_send_limit_reserve(struct tr_send_limit *l, double heard_share,
			   apr_time_t now)
{
	take_tokens(l, 1, heard_share, now);
}

/* Gives the token back: no connection was made, and nothing was sent. */
void tr_send_limit_give_back(struct tr_send_limit *l)
{
	l->tokens++;
}

/* Counts a request that this VM has sent, for which it took a token. */
void tr_send_limit_sent(struct tr_send_limit *l)
{
	l->sent++;
	l->changed = true;
}

/* Counts requests that other VMs have reported as sent. */
void tr_send_limit_reported(struct tr_send_limit *l, uint16_t sent,
			    double heard_share, apr_time_t now)
{
	if (sent)
		take_tokens(l, sent, heard_share, now);
}

/*
 * Whether a request may go to a target with a limit at all. tokens is the sum
 * over all such targets of the service, request_rate the requests a second for
 * the service at all VMs, point a uniform random number from 0 to 1.
 */
bool tr_send_limits_admit(double tokens, double request_rate, double point)
{
	return point * request_rate * SMOOTHING_S <= tokens;
}
