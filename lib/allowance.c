/*
 * The fleet's bound on repeats. Each VM earns repeats by the requests that come
 * to it and by its part of the slack, and saves up few of them, so that all
 * together keep the bound even if no VM hears of another: a request is counted
 * by one VM, wherever its caller goes, and what a process that ends had saved
 * up is lost.
 *
 * VMs also tell each other what came and what they repeated. By that they stop
 * earlier, where callers have moved away from VMs that had already spent.
 */
#include "allowance.h"

#include <math.h>

/* Part of the bound that is used: the rest is for what arrives in another
 * window than it was counted in. */
#define USED_SHARE 0.96
/* Part of a window's repeats that a VM saves up. */
#define SAVED_SHARE 0.7
/* The same where that is less than one repeat. */
#define SAVED_SHARE_FEW 0.9
/* Windows over which the requests that come to a VM are evened out. */
#define STEADY_WINDOWS 3
/* Consecutive addresses times this, less whole numbers, are spread evenly. */
#define GOLDEN 0.6180339887498949

/* Begin to count. Which VM of which service it is decides how it rounds. */
void tr_allowance_init(struct tr_allowance *a, uint32_t vm, uint32_t service,
		       apr_time_t now)
{
	double whole;

	*a = (struct tr_allowance){ .known_since = now };
	a->ahead = modf(((double)vm + service % 1024) * GOLDEN, &whole);
}

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
		a->spent[at] = 0;
	}
	a->part = part;
}

/* This VM's part of what the bound allows beside requests, a window. */
static double own_slack(const struct tr_repeat_bound *bound)
{
	return bound->vms ? bound->slack / bound->vms : 0;
}

/* How many repeats this VM may send in a window, by the pace at which requests
 * come to it in the long run: by those of the window alone VMs would each spend
 * when their own luck is best. */
static double own_most(const struct tr_allowance *a,
		       const struct tr_repeat_bound *bound, apr_time_t now)
{
	double steady_for = STEADY_WINDOWS * (double)bound->window;
	double counted =
		fmax((double)(now - a->first_at), (double)bound->window);
	double faded = exp(-(double)(now - a->faded_at) / steady_for);
	double requests = a->steady * faded / (1 - exp(-counted / steady_for)) /
			  STEADY_WINDOWS;

	return USED_SHARE * (bound->ratio * requests + own_slack(bound));
}

/* How many of these it may save up, and send at once. */
static double saved_most(double own)
{
	return fmax(SAVED_SHARE * own, fmin(1, SAVED_SHARE_FEW * own));
}

/*
 * Earn repeats, less what an earlier process of this VM may have saved up and
 * sent in the part of the window before this one began.
 */
static void earn(struct tr_allowance *a, const struct tr_repeat_bound *bound,
		 double repeats, apr_time_t now)
{
	double own = own_most(a, bound, now);
	double earned = USED_SHARE * repeats;

	if (now - a->known_since < bound->window && own > 0)
		earned *= 1 - saved_most(own) / own;
	a->tokens = fmin(a->tokens + earned, saved_most(own));
}

/* Earn the part of the slack for the time that has passed. */
static void earn_slack(struct tr_allowance *a,
		       const struct tr_repeat_bound *bound, apr_time_t now)
{
	apr_time_t since = a->earned_at ? a->earned_at : a->known_since;
	double windows = fmin(1, (double)(now - since) / (double)bound->window);

	a->earned_at = now;
	earn(a, bound, windows * own_slack(bound), now);
}

/* A caller's request for the service has come. */
void tr_allowance_request(struct tr_allowance *a,
			  const struct tr_repeat_bound *bound, apr_time_t now)
{
	turn(a, bound, now);
	a->requests[a->part % TR_ALLOWANCE_SLOTS]++;
	a->own_requests[a->part % TR_ALLOWANCE_SLOTS]++;
	a->own.requests++;
	if (!a->first_at)
		a->first_at = now;
	a->steady *= exp(-(double)(now - a->faded_at) /
			 (STEADY_WINDOWS * (double)bound->window));
	a->steady++;
	a->faded_at = now;
	earn(a, bound, bound->ratio, now);
}

/* Another VM has told its totals; before is what it told last, at since.
 * Requests count when they came, by an even pace; repeats, of which none may be
 * forgotten too early, count now. */
void tr_allowance_heard(struct tr_allowance *a,
			const struct tr_repeat_bound *bound,
			const struct tr_work_totals *before,
			const struct tr_work_totals *reported, apr_time_t since,
			apr_time_t now)
{
	unsigned requests = (uint16_t)(reported->requests - before->requests);
	apr_time_t parts;

	turn(a, bound, now);
	a->repeats[a->part % TR_ALLOWANCE_SLOTS] +=
		(uint16_t)(reported->repeats - before->repeats);
	parts = a->part - since / (bound->window / TR_ALLOWANCE_PARTS) + 1;
	if (parts > TR_ALLOWANCE_SLOTS) {
		requests = (unsigned)(requests * TR_ALLOWANCE_SLOTS / parts);
		parts = TR_ALLOWANCE_SLOTS;
	}
	for (apr_time_t i = parts; i > 0; i--) {
		unsigned part = requests / (unsigned)i;

		requests -= part;
		a->requests[(a->part - i + 1) % TR_ALLOWANCE_SLOTS] += part;
	}
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
		sums->own_repeats += a->spent[i];
	}
}

/* Do so many repeats in each part, and sent beside them now, keep to the pace:
 * what may be saved up at once, the rest as time passes? */
static bool keeps_pace(const uint32_t *repeats, apr_time_t part, double sent,
		       double most)
{
	double saved = saved_most(most);

	for (int i = 0; i < TR_ALLOWANCE_SLOTS; i++) {
		sent += repeats[(part + TR_ALLOWANCE_SLOTS - i) %
				TR_ALLOWANCE_SLOTS];
		if (sent > saved + (most - saved) * i / TR_ALLOWANCE_PARTS)
			return false;
	}
	return true;
}

/*
 * Would one more repeat be within this VM's part of the bound, in the window
 * and at every moment of it? A process that took over in the window from one
 * that ended can't know what that had sent, and earns the rest only.
 */
static bool vm_keeps_pace(const struct tr_allowance *a,
			  const struct tr_repeat_bound *bound, apr_time_t now)
{
	return keeps_pace(a->spent, a->part, 1 - a->ahead,
			  own_most(a, bound, now));
}

/*
 * The same of the fleet, as far as it is heard, so that what a process that
 * starts earns is left. Of the part of the window before this VM began, the
 * slack counts as used. Of the oldest part, which is in the window no longer
 * than this one is filled, the repeats count and the requests don't.
 */
static bool fleet_keeps_pace(const struct tr_allowance *a,
			     const struct tr_repeat_bound *bound,
			     apr_time_t now)
{
	double known =
		fmin(1, (double)(now - a->known_since) / (double)bound->window);
	double slack = own_slack(bound) * bound->heard * known;
	struct tr_allowance_sums sums;
	unsigned oldest = a->requests[(a->part + 1) % TR_ALLOWANCE_SLOTS];

	tr_allowance_sum(a, &sums);
	return keeps_pace(
		a->repeats, a->part, 1,
		USED_SHARE * (bound->ratio * (sums.requests - oldest) + slack));
}

/* May a request be sent to one more target? If so, it is counted. */
bool tr_allowance_spend(struct tr_allowance *a,
			const struct tr_repeat_bound *bound, apr_time_t now)
{
	unsigned at;

	turn(a, bound, now);
	earn_slack(a, bound, now);
	if (a->tokens + a->ahead < 1 || !vm_keeps_pace(a, bound, now) ||
	    !fleet_keeps_pace(a, bound, now))
		return false;
	at = a->part % TR_ALLOWANCE_SLOTS;
	a->tokens--;
	a->spent[at]++;
	a->repeats[at]++;
	a->own.repeats++;
	return true;
}
