/*
 * The fleet's bound on repeats, that is on requests that are sent to one more
 * target. Each VM has a token bucket per service, which is filled by the
 * requests that the VM receives and by its share of the slack. The buckets are
 * small, so that all VMs together keep within the bound even if no VM receives
 * messages from another: each request is counted by one VM, whichever VM the
 * caller uses next, and tokens saved by a process that ends are lost.
 *
 * VMs also report to each other the requests and repeats that they counted.
 * With these reports they stop earlier if callers have moved away from VMs that
 * have already used their tokens.
 */
#include "allowance.h"

#include <math.h>

/*
 * Share of the bound that is used. The rest covers what arrives in another
 * window than the one it is counted in.
 */
#define USABLE_SHARE 0.96
/*
 * Size of the bucket as a share of the repeats that a VM may send in a window.
 */
#define BURST_SHARE 0.7
/* The same if that would be less than one repeat. */
#define BURST_SHARE_SMALL 0.9
/* Averaging time of the requests that a VM receives, in windows. */
#define AVERAGE_WINDOWS 3
/*
 * For how many windows a silent VM counts as having sent the repeats it had
 * saved: a partitioned VM may run for one window before it sends them.
 */
#define SILENT_WINDOWS 2
/* Multiples of this, modulo 1, spread consecutive addresses evenly. */
#define GOLDEN 0.6180339887498949

/*
 * Starts counting. The VM's address and the service determine how fractions of
 * a token are rounded.
 */
void tr_allowance_init(struct tr_allowance *a, uint32_t vm, uint32_t service,
		       apr_time_t now)
{
	double whole;

	*a = (struct tr_allowance){ .counting_since = now };
	a->overdraft = modf(((double)vm + service % 1024) * GOLDEN, &whole);
}

static void advance_window(struct tr_allowance *a,
			   const struct tr_repeat_bound *bound, apr_time_t now)
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
		a->repeats_sent[at] = 0;
	}
	a->part = part;
}

/* This VM's share of the slack, in repeats per window. */
static double own_slack(const struct tr_repeat_bound *bound)
{
	return bound->vms ? bound->slack / bound->vms : 0;
}

/*
 * How many repeats the VM that owns the bucket may send in a window, from its
 * average request rate. With the requests of the current window alone each VM
 * would send most in the windows in which it happens to get most requests.
 */
static double vm_budget(const struct tr_repeat_bucket *bucket,
			const struct tr_repeat_bound *bound, apr_time_t now)
{
	double averaging_us = AVERAGE_WINDOWS * (double)bound->window;
	double counted = fmax((double)(now - bucket->first_request_at),
			      (double)bound->window);
	double decay = exp(-(double)(now - bucket->averaged_at) / averaging_us);
	double requests = bucket->average_requests * decay /
			  (1 - exp(-counted / averaging_us)) / AVERAGE_WINDOWS;

	return USABLE_SHARE * (bound->ratio * requests + own_slack(bound));
}

/* How many of these may be saved up and sent at once. */
static double bucket_size(double budget)
{
	return fmax(BURST_SHARE * budget, fmin(1, BURST_SHARE_SMALL * budget));
}

/* Counts requests that the VM that owns the bucket received. */
static void add_requests(struct tr_repeat_bucket *bucket,
			 const struct tr_repeat_bound *bound, unsigned requests,
			 apr_time_t now)
{
	if (!bucket->first_request_at)
		bucket->first_request_at = now;
	bucket->average_requests *=
		exp(-(double)(now - bucket->averaged_at) /
		    (AVERAGE_WINDOWS * (double)bound->window));
	bucket->average_requests += requests;
	bucket->averaged_at = now;
}

static void add_tokens(struct tr_repeat_bucket *bucket,
		       const struct tr_repeat_bound *bound, double repeats,
		       apr_time_t now)
{
	bucket->tokens = fmin(bucket->tokens + USABLE_SHARE * repeats,
			      bucket_size(vm_budget(bucket, bound, now)));
}

/*
 * Returns the share of the slack for the time since the last call, in repeats.
 */
static double accrue_slack(struct tr_repeat_bucket *bucket,
			   const struct tr_repeat_bound *bound, apr_time_t now)
{
	double windows = fmin(1, (double)(now - bucket->slack_accrued_at) /
					 (double)bound->window);

	bucket->slack_accrued_at = now;
	return windows * own_slack(bound);
}

/*
 * Which share of the tokens this VM gets. In its first window it leaves out
 * those that an earlier process on this VM may have saved up and sent.
 */
static double earned_share(const struct tr_allowance *a,
			   const struct tr_repeat_bound *bound, apr_time_t now)
{
	double budget = vm_budget(&a->bucket, bound, now);

	if (now - a->counting_since >= bound->window || budget <= 0)
		return 1;
	return 1 - bucket_size(budget) / budget;
}

/* Counts a request for the service from a caller. */
void tr_allowance_request(struct tr_allowance *a,
			  const struct tr_repeat_bound *bound, apr_time_t now)
{
	advance_window(a, bound, now);
	a->requests[a->part % TR_ALLOWANCE_SLOTS]++;
	a->own_requests[a->part % TR_ALLOWANCE_SLOTS]++;
	a->own.requests++;
	add_requests(&a->bucket, bound, 1, now);
	add_tokens(&a->bucket, bound,
		   earned_share(a, bound, now) * bound->ratio, now);
}

/*
 * Takes in the totals reported by another VM. before is its previous report,
 * received at since. Its requests are distributed evenly over the time between
 * the reports; its repeats count as sent now, so that none leaves the window
 * too early.
 */
void tr_allowance_reported(struct tr_allowance *a,
			   const struct tr_repeat_bound *bound,
			   const struct tr_work_totals *before,
			   const struct tr_work_totals *reported,
			   apr_time_t since, apr_time_t now)
{
	unsigned requests = (uint16_t)(reported->requests - before->requests);
	apr_time_t parts;

	advance_window(a, bound, now);
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

/*
 * Updates the tokens that another VM may have saved up, from its reported
 * totals; before is its previous report.
 */
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
	earned = accrue_slack(bucket, bound, now) + bound->ratio * requests;
	add_tokens(bucket, bound, earned - repeats / USABLE_SHARE, now);
	bucket->tokens = fmax(bucket->tokens, 0);
}

/*
 * How many repeats another VM may have sent since its last report: those that
 * it had saved up, which it may have sent late behind a partition. What it
 * gained since then came from requests that have not been reported either.
 */
double tr_repeat_bucket_unreported(const struct tr_repeat_bucket *bucket,
				   const struct tr_repeat_bound *bound,
				   apr_time_t heard_at, apr_time_t now)
{
	apr_time_t silent = now - heard_at;

	return silent < SILENT_WINDOWS * bound->window ? bucket->tokens : 0;
}

/*
 * Another VM, which owns this bucket, has restarted: repeats that its previous
 * process may have sent without reporting them count as sent.
 */
void tr_allowance_vm_restarted(struct tr_allowance *a,
			       const struct tr_repeat_bound *bound,
			       const struct tr_repeat_bucket *bucket,
			       apr_time_t heard_at, apr_time_t now)
{
	double unreported =
		tr_repeat_bucket_unreported(bucket, bound, heard_at, now);

	advance_window(a, bound, now);
	a->repeats[a->part % TR_ALLOWANCE_SLOTS] += (uint32_t)ceil(unreported);
}

/*
 * Requests a second for the service at all VMs that report: the average over
 * the window, or the current rate if that is higher.
 */
double tr_allowance_rate(struct tr_allowance *a,
			 const struct tr_repeat_bound *bound, apr_time_t now)
{
	double part_s = (double)bound->window / 1e6 / TR_ALLOWANCE_PARTS;
	double all = 0;
	double recent;

	advance_window(a, bound, now);
	for (int i = 0; i < TR_ALLOWANCE_SLOTS; i++)
		all += a->requests[i];
	recent = a->requests[a->part % TR_ALLOWANCE_SLOTS] +
		 a->requests[(a->part + TR_ALLOWANCE_PARTS) %
			     TR_ALLOWANCE_SLOTS];
	return fmax(all / (part_s * TR_ALLOWANCE_PARTS), recent / part_s);
}

/* Sums the parts of the window, as of the last call that advanced it. */
void tr_allowance_sum(const struct tr_allowance *a,
		      struct tr_allowance_sums *sums)
{
	*sums = (struct tr_allowance_sums){ 0 };
	for (int i = 0; i < TR_ALLOWANCE_SLOTS; i++) {
		sums->requests += a->requests[i];
		sums->repeats += a->repeats[i];
		sums->own_requests += a->own_requests[i];
		sums->own_repeats += a->repeats_sent[i];
	}
}

/*
 * Whether these repeats per part of the window, plus sent more now, stay within
 * the pace: a burst up to the bucket size at once, the rest as time passes.
 */
static bool keeps_pace(const uint32_t *repeats, apr_time_t part, double sent,
		       double budget)
{
	double burst = bucket_size(budget);

	for (int i = 0; i < TR_ALLOWANCE_SLOTS; i++) {
		sent += repeats[(part + TR_ALLOWANCE_SLOTS - i) %
				TR_ALLOWANCE_SLOTS];
		if (sent > burst + (budget - burst) * i / TR_ALLOWANCE_PARTS)
			return false;
	}
	return true;
}

/*
 * Whether one more repeat stays within this VM's share of the bound, over the
 * window and at every point in it. A process that replaced another one during
 * the window cannot know what that one sent, so it uses only newly earned
 * tokens.
 */
static bool vm_keeps_pace(const struct tr_allowance *a,
			  const struct tr_repeat_bound *bound, apr_time_t now)
{
	return keeps_pace(a->repeats_sent, a->part, 1 - a->overdraft,
			  vm_budget(&a->bucket, bound, now));
}

/*
 * The same for all VMs that report, so that a process that has just started can
 * still use what it earns. For the part of the window before this VM started
 * counting, the slack counts as used. Of the oldest part of the window, which
 * leaves it while the current part is filled, repeats count and requests do
 * not.
 */
static bool fleet_keeps_pace(const struct tr_allowance *a,
			     const struct tr_repeat_bound *bound,
			     apr_time_t now)
{
	double known = fmin(1, (double)(now - a->counting_since) /
				       (double)bound->window);
	double slack = own_slack(bound) * bound->heard * known;
	struct tr_allowance_sums sums;
	unsigned oldest = a->requests[(a->part + 1) % TR_ALLOWANCE_SLOTS];

	tr_allowance_sum(a, &sums);
	return keeps_pace(
		a->repeats, a->part, 1 + a->unreported,
		USABLE_SHARE *
			(bound->ratio * (sums.requests - oldest) + slack));
}

/* Adds the tokens of the slack for the time since the last call. */
static void accrue_tokens(struct tr_allowance *a,
			  const struct tr_repeat_bound *bound, apr_time_t now)
{
	double slack;

	if (!a->bucket.slack_accrued_at)
		a->bucket.slack_accrued_at = a->counting_since;
	slack = accrue_slack(&a->bucket, bound, now);
	add_tokens(&a->bucket, bound, earned_share(a, bound, now) * slack, now);
}

/*
 * Estimates the chance, from 0 to 1, that a repeat would be allowed a while
 * after now, in us. Tokens are earned meanwhile, but what the fleet has sent
 * stays in the window for longer than any request lasts.
 */
double tr_allowance_chance(struct tr_allowance *a,
			   const struct tr_repeat_bound *bound,
			   apr_time_t after, apr_time_t now)
{
	double windows = (double)after / (double)bound->window;
	double earned;

	advance_window(a, bound, now);
	accrue_tokens(a, bound, now);
	if (!vm_keeps_pace(a, bound, now) || !fleet_keeps_pace(a, bound, now))
		return 0;
	earned = windows * vm_budget(&a->bucket, bound, now);
	return fmin(1, fmax(0, a->bucket.tokens + a->overdraft + earned));
}

/*
 * Whether a request may be sent to one more target. If so, the repeat is
 * counted.
 */
bool tr_allowance_spend(struct tr_allowance *a,
			const struct tr_repeat_bound *bound, apr_time_t now)
{
	unsigned at;

	advance_window(a, bound, now);
	accrue_tokens(a, bound, now);
	if (a->bucket.tokens + a->overdraft < 1 ||
	    !vm_keeps_pace(a, bound, now) || !fleet_keeps_pace(a, bound, now))
		return false;
	at = a->part % TR_ALLOWANCE_SLOTS;
	a->bucket.tokens--;
	a->repeats_sent[at]++;
	a->repeats[at]++;
	a->own.repeats++;
	return true;
}
