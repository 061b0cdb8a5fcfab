/*
 * The fleet's bound on repeats, split so that nobody has to ask: a VM may
 * repeat the bound's ratio of its own requests, and its part of the slack.
 */
#include "allowance.h"

#include <string.h>

/* Part of the bound that is used. The rest is for requests that a target
 * counts and this VM does not, and for VMs that differ in their windows. */
#define USED_SHARE 0.85

static void turn(struct tr_allowance *a, const struct tr_repeat_bound *bound,
		 apr_time_t now)
{
	apr_time_t part = now / (bound->window / TR_ALLOWANCE_PARTS);
	apr_time_t passed = part - a->part;

	if (passed > TR_ALLOWANCE_PARTS)
		passed = TR_ALLOWANCE_PARTS;
	for (apr_time_t i = 0; i < passed; i++) {
		apr_time_t at = (part - i) % TR_ALLOWANCE_PARTS;

		a->requests[at] = 0;
		a->repeats[at] = 0;
	}
	a->part = part;
}

/* A caller's request for the service has come. */
void tr_allowance_request(struct tr_allowance *a,
			  const struct tr_repeat_bound *bound, apr_time_t now)
{
	turn(a, bound, now);
	a->requests[a->part % TR_ALLOWANCE_PARTS]++;
}

/* May a request be sent to one more target? If so, it is counted. */
bool tr_allowance_spend(struct tr_allowance *a,
			const struct tr_repeat_bound *bound, unsigned vms,
			apr_time_t now)
{
	double requests = 0;
	double repeats = 0;
	double most;

	turn(a, bound, now);
	for (int i = 0; i < TR_ALLOWANCE_PARTS; i++) {
		requests += a->requests[i];
		repeats += a->repeats[i];
	}
	most = USED_SHARE *
	       (bound->ratio * requests + bound->slack / (vms ? vms : 1));
	/* A part of a repeat is rounded up for a few VMs only by their own
	 * requests; below one, the first is allowed. */
	if (repeats + 1 > (most < 1 ? 1 : most))
		return false;
	a->repeats[a->part % TR_ALLOWANCE_PARTS]++;
	return true;
}
