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
/* Windows for which a VM that is silent counts as having sent what it had saved
 * up: it may run on behind a cut for one before that is sent. */
#define SILENT_WINDOWS 2
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

/* How many repeats the VM of the bucket may send in a window, by the pace at
 * which requests come to it in the long run: by those of the window alone VMs
 * would each spend when their own luck is best. */
static double own_most(const struct tr_repeat_bucket *p,
		       const struct tr_repeat_bound *bound, apr_time_t now)
{
	double steady_for = STEADY_WINDOWS * (double)bound->window;
	double counted =
		fmax((double)(now - p->first_at), (double)bound->window);
	double faded = exp(-(double)(now - p->faded_at) / steady_for);
	double requests = p->steady * faded / (1 - exp(-counted / steady_for)) /
			  STEADY_WINDOWS;

	return USED_SHARE * (bound->ratio * requests + own_slack(bound));
}

/* How many of these it may save up, and send at once. */
static double saved_most(double own)
{
	return fmax(SAVED_SHARE * own, fmin(1, SAVED_SHARE_FEW * own));
}

/* Requests have come to the VM of the bucket. */
static void add_requests(struct tr_repeat_bucket *p,
			 const struct tr_repeat_bound *bound, unsigned requests,
			 apr_time_t now)
{
	if (!p->first_at)
		p->first_at = now;
	p->steady *= exp(-(double)(now - p->faded_at) /
			 (STEADY_WINDOWS * (double)bound->window));
	p->steady += requests;
	p->faded_at = now;
}

static void earn(struct tr_repeat_bucket *p,
		 const struct tr_repeat_bound *bound, double repeats,
		 apr_time_t now)
{
	p->tokens = fmin(p->tokens + USED_SHARE * repeats,
			 saved_most(own_most(p, bound, now)));
}

/* Take the part of the slack for the time that has passed since it was last
 * taken. */
static double take_slack(struct tr_repeat_bucket *p,
			 const struct tr_repeat_bound *bound, apr_time_t now)
{
	double windows =
		fmin(1, (double)(now - p->earned_at) / (double)bound->window);

	p->earned_at = now;
	return windows * own_slack(bound);
}

/* Which part of what a request or time earns this VM gets: in its first window
 * not what an earlier process of it may have saved up and sent. */
static double earned_share(const struct tr_allowance *a,
			   const struct tr_repeat_bound *bound, apr_time_t now)
{
	double own = own_most(&a->bucket, bound, now);

	if (now - a->known_since >= bound->window || own <= 0)
		return 1;
	return 1 - saved_most(own) / own;
}

/* A caller's request for the service has come. */
void tr_allowance_request(struct tr_allowance *a,
			  const struct tr_repeat_bound *bound, apr_time_t now)
{
	turn(a, bound, now);
	a->requests[a->part % TR_ALLOWANCE_SLOTS]++;
	a->own_requests[a->part % TR_ALLOWANCE_SLOTS]++;
	a->own.requests++;
	add_requests(&a->bucket, bound, 1, now);
	earn(&a->bucket, bound, earned_share(a, bound, now) * bound->ratio,
	     now);
}

/* Another VM has told its totals; before is what it told last, at since.
 * Requests count when they came, by an even pace; repeats, of which none may be
 * forgotten too early, count now. */
void tr_allowance_reported(struct tr_allowance *a,
			   const struct tr_repeat_bound *bound,
			   const struct tr_work_totals *before,
			   const struct tr_work_totals *reported,
			   apr_time_t since, apr_time_t now)
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

/* Another VM has told its totals; before is what it told last. What it may have
 * saved up by now. */
void tr_repeat_bucket_reported(struct tr_repeat_bucket *bucket,
			       const struct tr_repeat_bound *bound,
			       const struct tr_work_totals *before,
			       const struct tr_work_totals *reported,
			       apr_time_t now)
{
	unsigned requests = (uint16_t)(reported->requests - before->requests);
	unsigned repeats = (uint16_t)(reported->repeats - before->repeats);
	double earned;

	if (!requests && !repeats)
		return;
	add_requests(bucket, bound, requests, now);
	earned = take_slack(bucket, bound, now) + bound->ratio * requests;
	earn(bucket, bound, earned - repeats / USED_SHARE, now);
	bucket->tokens = fmax(bucket->tokens, 0);
}

/* How many repeats another VM may have sent in the window since it was last
 * heard: what it had saved up, which it may have sent late, behind a cut. What
 * it earned since was by requests that are not heard of either. */
double tr_repeat_bucket_unreported(const struct tr_repeat_bucket *bucket,
				   const struct tr_repeat_bound *bound,
				   apr_time_t heard_at, apr_time_t now)
{
	apr_time_t silent = now - heard_at;

	return silent < SILENT_WINDOWS * bound->window ? bucket->tokens : 0;
}

/* Another VM, of which this is the bucket, has started anew: what its last
 * process may have sent and not told counts as sent. */
void tr_allowance_vm_restarted(struct tr_allowance *a,
			       const struct tr_repeat_bound *bound,
			       const struct tr_repeat_bucket *bucket,
			       apr_time_t heard_at, apr_time_t now)
{
	double unreported =
		tr_repeat_bucket_unreported(bucket, bound, heard_at, now);

	turn(a, bound, now);
	a->repeats[a->part % TR_ALLOWANCE_SLOTS] += (uint32_t)ceil(unreported);
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
			  own_most(&a->bucket, bound, now));
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
		a->repeats, a->part, 1 + a->unreported,
		USED_SHARE * (bound->ratio * (sums.requests - oldest) + slack));
}

/* May a request be sent to one more target? If so, it is counted. */
bool tr_allowance_spend(struct tr_allowance *a,
			const struct tr_repeat_bound *bound, apr_time_t now)
{
	double slack;
	unsigned at;

	turn(a, bound, now);
	if (!a->bucket.earned_at)
		a->bucket.earned_at = a->known_since;
	slack = take_slack(&a->bucket, bound, now);
	earn(&a->bucket, bound, earned_share(a, bound, now) * slack, now);
	if (a->bucket.tokens + a->ahead < 1 || !vm_keeps_pace(a, bound, now) ||
	    !fleet_keeps_pace(a, bound, now))
		return false;
	at = a->part % TR_ALLOWANCE_SLOTS;
	a->bucket.tokens--;
	a->spent[at]++;
	a->repeats[at]++;
	a->own.repeats++;
	return true;
}
