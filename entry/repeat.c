/* Repeats of requests, of whatever cause: whether the fleet's bound allows one
 * more, and log lines on what this VM holds of the bound. */
#include "repeat.h"

#include "eventlog.h"
#include "mesh.h"

/* How often a service that wants repeats is logged. */
#define LOG_EVERY TR_SEC(1)
/* How long after its start a VM knows how many there are. */
#define SIZE_KNOWN_AFTER TR_SEC(1)

/* How long ago the VM of the group that has been silent longest was heard. */
static apr_time_t oldest_news(const struct tr_membership *m, apr_time_t now)
{
	apr_time_t oldest = 0;

	for (unsigned i = 1; i < m->count; i++) {
		const struct tr_node *node = &m->nodes[i];

		if (node->near && tr_node_alive(m, node, now) &&
		    now - node->heard_at > oldest)
			oldest = now - node->heard_at;
	}
	return oldest;
}

/* May a request be sent to one more target? If so, it is counted. */
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
	eventlog(EVENT_BELIEF, "repeats",
		 "service=%s sent=%u denied=%u window_requests=%u "
		 "window_repeats=%u own_requests=%u own_repeats=%u "
		 "tokens=%.2f untold=%.2f vms=%u heard_lately=%.2f "
		 "oldest_news_ms=%ld up_ms=%ld",
		 e->roster.services[service].name, a->own.repeats, a->denied,
		 sums.requests, sums.repeats, sums.own_requests,
		 sums.own_repeats, a->bucket.tokens, a->unreported,
		 e->repeat_bound.vms, tr_membership_recent_share(m, now),
		 (long)(oldest_news(m, now) / 1000),
		 (long)((now - e->started_at) / 1000));
}

/* Among how many VMs the slack is divided. Until this VM has heard others it
 * can't know. */
static unsigned slack_vms(const struct entry *e, apr_time_t now)
{
	const struct tr_membership *m = &e->members;

	if (m->count > 1 &&
	    (!m->heard_any || now - e->started_at < SIZE_KNOWN_AFTER))
		return 0;
	return tr_membership_size(m);
}

/* Follow the size of the fleet, and log what this VM holds of the bound for
 * services that wanted repeats since the last line. */
void repeat_step(struct entry *e, apr_time_t now)
{
	e->repeat_bound.vms = slack_vms(e, now);
	e->repeat_bound.heard = e->members.near_count;
	if (now - e->repeats_logged_at < LOG_EVERY)
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
