/* Authentication of requests by API key, and the limits of organisations. */
#include <inttypes.h>

#include "eventlog.h"
#include "exchange_internal.h"
#include "mesh.h"
#include "organisation.h"

/*
 * Retry-After for a key that cannot be checked here: the caller's next
 * connection leads to another VM.
 */
#define UNPROVEN_RETRY_AFTER TR_MSEC(300)

/* Logs a refusal. Log lines name organisations and never keys. */
static void log_refused(const struct entry *e, const struct caller *caller,
			int status, const char *why, const char *organisation)
{
	eventlog(EVENT_REQUEST, "request",
		 "id=%s status=%d why=%s organisation=%s version=%" PRIu64,
		 message_header(&caller->in, e->dialect->request_id), status,
		 why, organisation, e->routes->version);
}

/* Counts the request against its organisation's limit, once. */
void exchange_count_request(struct entry *e, struct caller *caller)
{
	const struct tr_organisation *o;

	if (caller->counted_in_limit || !e->routes || !e->routes->organisations)
		return;
	o = tr_organisations_find(
		e->routes->organisations,
		message_header(&caller->in, e->dialect->api_key));
	if (!o)
		return;
	caller->counted_in_limit = true;
	tr_limit_arrived(&e->limits.rows[o->row_index], &e->limit_bound,
			 entry_now(e));
	mesh_schedule_report(e->mesh);
}

/*
 * Returns whether the organisation is within its limit; refuses the request if
 * not.
 */
static bool is_within_limit(struct entry *e, struct caller *caller,
			    const struct tr_organisation *organisation)
{
	struct tr_limit *l = &e->limits.rows[organisation->row_index];
	apr_time_t now = entry_now(e);
	const struct tr_limit_fleet heard = {
		.share = tr_membership_recent_share(&e->members, now),
		.groups = e->members.groups_count,
	};

	if (tr_limit_admit(l, &e->limit_bound, &heard, &e->random, now))
		return true;
	e->counts.over_limit++;
	eventlog(EVENT_REQUEST, "request",
		 "id=%s status=429 why=over-limit organisation=%s limit=%g "
		 "burst=%g group_rate=%.1f part=%.3f heard=%.3f used=%.1f",
		 message_header(&caller->in, e->dialect->request_id),
		 organisation->name, l->rate, l->burst, tr_limit_demand(l, now),
		 tr_limit_group_share(l, now), heard.share, tr_limit_used(l));
	exchange_refuse(caller, 429,
			tr_limit_retry_after(l, &e->limit_bound, &e->random));
	return false;
}

/*
 * Finds the organisation by the key of the request, and checks its limit.
 * Returns false if the request was refused. A key that is unknown here may be
 * in a newer configuration. Since 401 is final for callers, it is sent only by
 * a VM that knows of no newer one.
 */
bool exchange_authenticate(struct entry *e, struct caller *caller,
			   const struct tr_path_route *route,
			   const struct tr_organisation **organisation)
{
	const struct tr_organisations *all = e->routes->organisations;
	const char *name = e->dialect->api_key;

	*organisation = NULL;
	if (!all)
		return true;
	if (message_count(&caller->in, name) > 1) {
		exchange_refuse(caller, 400, 0);
		return false;
	}
	*organisation =
		tr_organisations_find(all, message_header(&caller->in, name));
	if (route->is_public)
		return true;
	if (!entry_may_use_keys(e) ||
	    (!*organisation && exchange_routes_outdated(e))) {
		e->counts.unproven++;
		log_refused(e, caller, 503, "unproven", "-");
		exchange_refuse(caller, 503, UNPROVEN_RETRY_AFTER);
		return false;
	}
	exchange_count_request(e, caller);
	if (*organisation)
		return is_within_limit(e, caller, *organisation);
	e->counts.keys_refused++;
	log_refused(e, caller, 401, "unknown-key", "-");
	exchange_refuse(caller, 401, 0);
	return false;
}
