/*
 * Applies the fleet's bound on repeats to requests that are sent to one more
 * target, for whatever reason, and logs this VM's share of the bound.
 */
#include "repeat.h"

#include "eventlog.h"
#include "mesh.h"

/* How often a service with new repeats is logged. */
#define LOG_PERIOD TR_SEC(1)
/* A VM that starts knows the size of the fleet after this time. */
#define FLEET_SIZE_KNOWN_AFTER TR_SEC(1)

/*
 * Returns how long ago the live VM of this group that has been silent longest
 * was last heard, or 0.
 */
static apr_time_t longest_silence(const struct tr_membership *m, apr_time_t now)
{
	apr_time_t longest = 0;

	for (unsigned i = 1; i < m->count; i++) {
		const struct tr_node *node = &m->nodes[i];

		if (node->near && tr_node_alive(m, node, now) &&
		    now - node->heard_at > longest)
			longest = now - node->heard_at;
	}
	return longest;
}

/*
 * Returns whether the bound allows one more repeat for the service, and counts
 * it if so.
 */
bool repeat_admit(struct entry *e, uint32_t service)
{
	apr_time_t now = entry_now(e);
	struct tr_allowance *a = entry_allowance(e, service);

	a->unreported = mesh_unreported_repeats(e, service, now);
	if (tr_allowance_spend(a, &e->repeat_bound, now)) {
		e->counts.resent++;
		return true;
	}
	a->denied++;
	e->counts.repeats_denied++;
	return false;
}

static void log_allowance(const struct entry *e, uint32_t service,
			  const struct tr_allowance *a, apr_time_t now)
{
	const struct tr_membership *m = &e->members;
	struct tr_allowance_sums sums;

	tr_allowance_sum(a, &sums);
	eventlog(EVENT_STATE, "repeats",
		 "service=%s sent=%u denied=%u window_requests=%u "
		 "window_repeats=%u own_requests=%u own_repeats=%u "
		 "tokens=%.2f untold=%.2f vms=%u heard_lately=%.2f "
		 "oldest_news_ms=%ld up_ms=%ld",
		 e->roster.services[service].name, a->own.repeats, a->denied,
		 sums.requests, sums.repeats, sums.own_requests,
		 sums.own_repeats, a->bucket.tokens, a->unreported,
		 e->repeat_bound.vms, tr_membership_recent_share(m, now),
		 (long)(longest_silence(m, now) / 1000),
		 (long)((now - e->started_at) / 1000));
}

/*
 * Returns the number of VMs that share the slack of the bound, or 0 until this
 * VM has heard others and can know it.
 */
static unsigned slack_vms(const struct entry *e, apr_time_t now)
{
	const struct tr_membership *m = &e->members;

	if (m->count > 1 &&
	    (!m->heard_any || now - e->started_at < FLEET_SIZE_KNOWN_AFTER))
		return 0;
	return tr_membership_size(m);
}

/*
 * Updates the bound with the size of the fleet, and logs each service for which
 * repeats were sent or denied since its last line.
 */
void repeat_step(struct entry *e, apr_time_t now)
{
	e->repeat_bound.vms = slack_vms(e, now);
	e->repeat_bound.heard = e->members.near_count;
	if (now - e->repeats_logged_at < LOG_PERIOD)
		return;
	e->repeats_logged_at = now;
	for (uint32_t i = 0; i < e->allowances_count; i++) {
		struct tr_allowance *a = &e->allowances[i];
		unsigned wanted = a->own.repeats + a->denied;

		if (wanted != a->logged_attempts)
			log_allowance(e, i, a, now);
		a->logged_attempts = wanted;
	}
}
