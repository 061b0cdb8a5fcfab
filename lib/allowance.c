/*
 * The fleet's bound on repeats. VMs tell each other what they took and what
 * they repeated, so that one that meets a fault may use what others leave:
 * split evenly, a VM that sees three requests a second would have a repeat or
 * two a window, and three quarters of the bound stayed unused while reads
 * failed.
 */
#include "allowance.h"

#include <math.h>

/* Part of the bound that is used: the rest is for what the news of requests and
 * repeats are late by. */
#define USED_SHARE 0.94
/* What is left of the bound is spent over no less than so long, several times
 * what news take, so that VMs that all meet refusals at once hear of each
 * other's repeats before the bound is reached. */
#define SPENT_OVER_S 0.5
/* Of its own part of what is left a VM may send so much at once. */
#define AT_ONCE 0.25

static void turn(struct tr_allowance *a, const struct tr_repeat_bound *bound,
		 apr_time_t now)
{
	apr_time_t part = now / (bound->window / TR_ALLOWANCE_PARTS);
	apr_time_t passed = part - a->part;

	if (passed > TR_ALLOWANCE_SLOTS)
		passed = TR_ALLOWANCE_SLOTS;
	for (apr_time_t i = 0; i < passed; i++) {
		apr_time_t at = (part - i) % TR_ALLOWANCE_SLOTS;

		a->requests[at] = 0;
		a->repeats[at] = 0;
		a->own_requests[at] = 0;
	}
	a->part = part;
}

/* A caller's request for the service has come. */
void tr_allowance_request(struct tr_allowance *a,
			  const struct tr_repeat_bound *bound, apr_time_t now)
{
	turn(a, bound, now);
	a->requests[a->part % TR_ALLOWANCE_SLOTS]++;
	a->own_requests[a->part % TR_ALLOWANCE_SLOTS]++;
	a->own.requests++;
}

/* Another VM has told its totals; before is what it told last. */
void tr_allowance_heard(struct tr_allowance *a,
			const struct tr_repeat_bound *bound,
			const struct tr_work_totals *before,
			const struct tr_work_totals *reported, apr_time_t now)
{
	turn(a, bound, now);
	a->requests[a->part % TR_ALLOWANCE_SLOTS] +=
		(uint16_t)(reported->requests - before->requests);
	a->repeats[a->part % TR_ALLOWANCE_SLOTS] +=
		(uint16_t)(reported->repeats - before->repeats);
}

/* Requests a second that the VMs heard get for the service: over the window, or
 * lately if that are more. */
double tr_allowance_rate(struct tr_allowance *a,
			 const struct tr_repeat_bound *bound, apr_time_t now)
{
	double part_s = (double)bound->window / 1e6 / TR_ALLOWANCE_PARTS;
	double all = 0;
	double lately;

	turn(a, bound, now);
	for (int i = 0; i < TR_ALLOWANCE_SLOTS; i++)
		all += a->requests[i];
	lately = a->requests[a->part % TR_ALLOWANCE_SLOTS] +
		 a->requests[(a->part + TR_ALLOWANCE_PARTS) %
			     TR_ALLOWANCE_SLOTS];
	return fmax(all / (part_s * TR_ALLOWANCE_PARTS), lately / part_s);
}

/* Add up the parts of the window, as they were when last turned. */
void tr_allowance_sum(const struct tr_allowance *a,
		      struct tr_allowance_sums *sums)
{
	*sums = (struct tr_allowance_sums){ 0 };
	for (int i = 0; i < TR_ALLOWANCE_SLOTS; i++) {
		sums->requests += a->requests[i];
		sums->repeats += a->repeats[i];
		sums->own_requests += a->own_requests[i];
	}
}

/* Fill this VM's bucket by its own part of the repeats that are left. */
static void refill(struct tr_allowance *a, double left, double own_part,
		   apr_time_t now)
{
	double passed_s = (double)(now - a->filled_at) / 1e6;
	double most = fmax(1, left * own_part * AT_ONCE);

	if (a->filled_at)
		a->tokens += passed_s * left * own_part / SPENT_OVER_S;
	else
		a->tokens = most;
	a->tokens = fmin(a->tokens, most);
	a->filled_at = now;
}

/*
 * May a request be sent to one more target? If so, it is counted. heard_share
 * is the part of the known VMs that are heard: in a fleet that is split each
 * side has only its part of the slack.
 */
bool tr_allowance_spend(struct tr_allowance *a,
			const struct tr_repeat_bound *bound, double heard_share,
			apr_time_t now)
{
	struct tr_allowance_sums sums;
	double own_part = 1;
	double left;

	turn(a, bound, now);
	tr_allowance_sum(a, &sums);
	left = USED_SHARE * (bound->ratio * sums.requests +
			     bound->slack * heard_share) -
	       sums.repeats;
	if (sums.requests)
		own_part = (double)sums.own_requests / sums.requests;
	refill(a, fmax(left, 0), own_part, now);
	if (left < 1 || a->tokens < 1)
		return false;
	a->tokens--;
	a->repeats[a->part % TR_ALLOWANCE_SLOTS]++;
	a->own.repeats++;
	return true;
}
