/* Shared state of an entry VM: applies what the store or another VM reports. */
#include "entry.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "entry_settings.h"
#include "error.h"
#include "eventlog.h"
#include "mesh.h"
#include "organisation.h"
#include "spread.h"

/*
 * The event loop steps every 25 ms. A step that is this late means that the
 * process or its VM was paused.
 */
#define MIN_PAUSE TR_MSEC(700)
/*
 * How long requests are held for current data after a pause: an answer to the
 * reader or a message from another VM takes a tenth of that.
 */
#define MAX_HOLD TR_MSEC(300)
/*
 * How long a VM that has started waits for what other VMs hold. If the store
 * has just returned from a copy they learn it from this VM, fetch its list and
 * reply with the departures that it lacks.
 */
#define MAX_PEERS_WAIT TR_MSEC(400)
#define BYTES_PER_MB   (1024 * 1024)
/*
 * Share of the VM's memory that bytes in transit may take. A buffer that grows
 * takes twice its bytes, or three times while it is moved.
 */
#define BUFFERS_SHARE 0.25
/* Mean rate at which entries that cannot be read are logged. */
#define REFUSAL_LINES_PER_S 2

/*
 * Returns whether the process was paused since the last step of the loop, and
 * if so begins to hold requests.
 */
bool entry_check_pause(struct entry *e, apr_time_t now)
{
	if (!e->stepped_at || now - e->stepped_at <= MIN_PAUSE)
		return false;
	e->hold_until = now + MAX_HOLD;
	return true;
}

/* Applies the bounds of the settings. */
void entry_apply_bounds(struct entry *e)
{
	const struct entry_settings *s = e->settings;

	e->repeat_bound = (struct tr_repeat_bound){
		.ratio = s->bounds.repeat_ratio,
		.slack = s->bounds.repeat_slack,
		.window = s->repeat_window_us,
		.vms = e->repeat_bound.vms,
		.heard = e->repeat_bound.heard,
	};
	e->buffers.max =
		(size_t)((double)s->memory_mb * BYTES_PER_MB * BUFFERS_SHARE);
	e->limit_bound = (struct tr_limit_bound){
		.window = s->limit_window_us,
		.over = s->bounds.limit_over,
		.slack = s->bounds.limit_slack,
	};
	admission_apply_settings(e);
	e->roster.learn_target_speed = s->learn_target_speed;
}

/* Returns how long ago the list of targets was last known to be current. */
apr_time_t entry_view_age(const struct entry *e)
{
	return entry_now(e) - e->roster.confirmed_at;
}

/*
 * Returns whether this VM may accept callers' keys: it needs a proof that its
 * configuration is current, unless operators ask for none.
 */
bool entry_may_use_keys(const struct entry *e)
{
	const struct entry_settings *s = e->settings;

	if (!e->routes || !e->routes->organisations || !s->bounds.fail_closed)
		return true;
	return tr_proof_holds(&e->proof, s->key_proof_us, entry_now(e));
}

/* Returns whether another VM is known to hold what this one has not got. */
static bool lacks_what_peers_hold(const struct entry *e, apr_time_t now)
{
	uint64_t newest =
		tr_spread_newest_revision(&e->members, TR_RESOURCE_ROUTES, now);

	if (newest > entry_routes_order(e) && newest > e->refused_order)
		return true;
	return !e->list_fetched &&
	       tr_spread_newest_revision(&e->members, TR_RESOURCE_LIST, now);
}

/*
 * Returns whether this VM, since it started, has what other VMs hold, or has
 * waited long enough for it. The store alone may have returned from a copy, and
 * lack a configuration that is in force or that a target has left. VMs that
 * have just started too know no more than this one.
 */
bool entry_is_settled(struct entry *e)
{
	apr_time_t now = entry_now(e);

	if (!e->start_settled)
		e->start_settled =
			e->settings->first_start ||
			now - e->started_at >= MAX_PEERS_WAIT ||
			(tr_membership_hears_ready(&e->members, now) &&
			 !lacks_what_peers_hold(e, now));
	return e->start_settled;
}

/* Returns whether this VM is ready to serve callers. */
bool entry_takes_callers(const struct entry *e)
{
	return e->ready && !entry_is_leaving(e) && entry_may_use_keys(e);
}

static void set_limits(struct entry *e, struct tr_organisations *o)
{
	for (unsigned i = 0; o && i < o->count; i++) {
		struct tr_organisation *row = &o->rows[i];

		row->row_index = tr_limits_find_or_add(&e->limits, row->name);
		tr_limit_set(&e->limits.rows[row->row_index], row->rate,
			     row->burst, entry_now(e));
	}
}

/*
 * Returns the place of the configuration in force among those that VMs announce
 * to each other, 0 for none. Versions order configurations whatever the store
 * has lost. Places are even; the odd ones are for mesh_routes_order().
 */
uint64_t entry_routes_order(const struct entry *e)
{
	return e->routes ? 2 * (e->routes->version + 1) : 0;
}

/* Returns whether the last configuration that the store gave is not in force:
 * it is invalid, or the store has lost the one that is. */
bool entry_store_lacks_routes(const struct entry *e)
{
	return e->refused_revision > e->routes->revision ||
	       e->outdated_revision > e->routes->revision;
}

/*
 * Returns whether this VM has seen every configuration that the store had at
 * the revision of its list. One that it could not read may be valid for a VM of
 * another build.
 */
bool entry_knows_routes(const struct entry *e)
{
	return e->routes && e->roster.as_of &&
	       e->routes_view.as_of >= e->roster.as_of &&
	       e->refused_revision <= e->routes->revision;
}

/* Notes the era of a list's revision, and the least revision at which the store
 * is known to have been read in it. */
void entry_enter_era(struct entry *e, uint64_t as_of, uint64_t start,
		     const char *from)
{
	uint64_t before = e->roster.as_of;

	if (tr_roster_enter_era(&e->roster, as_of, tr_revision_number(start),
				entry_now(e)))
		eventlog(EVENT_STATE, "store-restored",
			 "era_before=%ld as_of_before=%" G_GUINT64_FORMAT
			 " era=%ld as_of=%" G_GUINT64_FORMAT " from=%s",
			 entry_era_number(before),
			 (guint64)tr_revision_number(before),
			 entry_era_number(as_of),
			 (guint64)tr_revision_number(as_of), from);
}

static void activate_routes(struct entry *e, struct tr_routes *routes,
			    const char *from)
{
	for (unsigned i = 0; i < routes->services_count; i++)
		routes->services[i].row_index =
			tr_roster_service(&e->roster, routes->services[i].name);
	eventlog(EVENT_STATE, "routes",
		 "version=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT
		 " era=%ld routes=%u from=%s",
		 (guint64)routes->version,
		 (guint64)tr_revision_number(routes->revision),
		 entry_era_number(routes->revision), routes->routes_count,
		 from);
	set_limits(e, routes->organisations);
	tr_routes_unref(e->routes);
	e->routes = routes;
	tr_routes_view_advance(&e->routes_view, routes->revision);
	e->members.nodes[0].held[TR_RESOURCE_ROUTES] = entry_routes_order(e);
	e->front.limits = routes->limits;
}

/*
 * Returns whether the configuration, once parsed, replaces the one in force: an
 * outdated reader, or a store that returns from a copy, must not bring back an
 * older version. One that is published again counts by its revision.
 */
static bool replaces_routes(struct entry *e, const struct tr_routes *routes,
			    const char *from)
{
	if (!e->routes || routes->version > e->routes->version)
		return true;
	if (routes->version == e->routes->version)
		return routes->revision > e->routes->revision;
	if (routes->revision > e->outdated_revision)
		e->outdated_revision = routes->revision;
	eventlog(EVENT_STATE, "routes-outdated",
		 "version=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT
		 " era=%ld in_force=%" G_GUINT64_FORMAT " from=%s",
		 (guint64)routes->version,
		 (guint64)tr_revision_number(routes->revision),
		 entry_era_number(routes->revision),
		 (guint64)e->routes->version, from);
	return false;
}

/* Returns whether the item was looked at before. One of an older revision may
 * still be a later version, which the store has lost and another VM holds. */
static bool was_looked_at(const struct entry *e, const struct store_item *item)
{
	return item->revision == e->refused_revision ||
	       item->revision == e->outdated_revision ||
	       (e->routes && item->revision == e->routes->revision);
}

/* Applies a configuration from the store or a peer. Returns false if it can't
 * be read; one that is older than the one in force can. */
bool entry_apply_routes(struct entry *e, const struct store_item *item,
			const char *from)
{
	struct tr_error err = { 0 };
	struct tr_routes *routes;

	if (item->removed || was_looked_at(e, item))
		return item->revision != e->refused_revision;
	routes = e->dialect->parse_routes(item, &err);
	if (!routes) {
		e->refused_revision = item->revision;
		eventlog(EVENT_FAILURE, "routes-refused",
			 "key=%s revision=%" G_GUINT64_FORMAT
			 " field=%s value=\"%s\" expected=\"%s\" from=%s",
			 item->key, (guint64)tr_revision_number(item->revision),
			 err.field, err.value, err.expected, from);
		return false;
	}
	if (replaces_routes(e, routes, from))
		activate_routes(e, routes, from);
	else
		tr_routes_unref(routes);
	return true;
}

/* Logs an event about something refused. The lines are limited in rate, so that
 * a writer of malformed entries does not displace the lines about requests. */
void entry_log_refusal(struct entry *e, const char *event, const char *format,
		       ...)
{
	apr_time_t now = entry_now(e);
	g_autofree char *text = NULL;
	va_list args;

	if (!tr_pacer_allows(&e->refusal_log_limiter, REFUSAL_LINES_PER_S, now))
		return;
	tr_pacer_consume(&e->refusal_log_limiter, 1);
	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	eventlog(EVENT_FAILURE, event, "%s", text);
}

/*
 * Ignores an entry that cannot be read; those of other targets hold.
 */
static void reject_target(struct entry *e, const struct store_item *item,
			  const struct tr_target_record *record,
			  const struct tr_error *err, const char *from)
{
	e->counts.targets_refused++;
	if (*record->id)
		tr_roster_reject_entry(&e->roster, record->id, item->revision,
				       entry_now(e));
	entry_log_refusal(e, "target-refused",
			  "key=%s revision=%" G_GUINT64_FORMAT
			  " field=%s expected=\"%s\" from=%s"
			  " refused=%" G_GUINT64_FORMAT,
			  item->key,
			  (guint64)tr_revision_number(item->revision),
			  err->field, err->expected, from,
			  (guint64)e->counts.targets_refused);
}

static const char *state_name(const struct tr_target_record *record)
{
	if (record->gone)
		return record->lapsed ? "lapsed" : "gone";
	return record->leaving ? "leaving" : "ready";
}

/* Reports the departure to the other VMs if the record, which the store's copy
 * has, would have undone it. */
static void report_departure(struct entry *e,
			     const struct tr_target_record *record,
			     const char *from)
{
	if (!e->roster.departures_due)
		return;
	e->roster.departures_due = false;
	mesh_report_departures(e->mesh);
	eventlog(EVENT_STATE, "target-kept-out",
		 "id=%s revision=%" G_GUINT64_FORMAT " era=%ld from=%s",
		 record->id, (guint64)tr_revision_number(record->revision),
		 entry_era_number(record->revision), from);
}

/* Applies a target's record of a list. Returns whether this changes what the VM
 * does. */
bool entry_apply_listed(struct entry *e, const struct tr_target_record *record,
			const char *from)
{
	bool changed = tr_roster_apply(&e->roster, record, entry_now(e));

	report_departure(e, record, from);
	return changed;
}

/* Applies a target's record from the store or a peer, and logs a change. */
void entry_apply_target(struct entry *e, const struct tr_target_record *record,
			const char *from)
{
	if (!entry_apply_listed(e, record, from))
		return;
	eventlog(EVENT_STATE, "target",
		 "id=%s born=%" G_GUINT64_FORMAT " service=%s address=%s "
		 "state=%s revision=%" G_GUINT64_FORMAT " era=%ld from=%s",
		 record->id, (guint64)record->born, record->service,
		 record->address, state_name(record),
		 (guint64)tr_revision_number(record->revision),
		 entry_era_number(record->revision), from);
}

/*
 * Applies one value of the store. Returns true, with the record filled in, if
 * it describes a target.
 */
bool entry_apply_item(struct entry *e, const struct store_item *item,
		      const char *from, struct tr_target_record *record)
{
	struct tr_error err = { 0 };

	if (e->dialect->is_routes_key(item->key)) {
		entry_apply_routes(e, item, from);
		return false;
	}
	if (!e->dialect->is_target_key(item->key))
		return false;
	if (e->dialect->parse_target(item, record, &err)) {
		reject_target(e, item, record, &err, from);
		return false;
	}
	entry_apply_target(e, record, from);
	return true;
}

/*
 * Returns the accounting of repeats for a service of the roster, which is
 * created if needed.
 */
struct tr_allowance *entry_allowance(struct entry *e, uint32_t service)
{
	if (service >= e->allowances_count) {
		unsigned n = e->roster.services_count;

		e->allowances =
			g_realloc_n(e->allowances, n, sizeof(*e->allowances));
		for (unsigned i = e->allowances_count; i < n; i++)
			tr_allowance_init(&e->allowances[i],
					  ntohl(e->members.nodes[0].ip),
					  (uint32_t)tr_hash_string(
						  e->roster.services[i].name),
					  e->repeats_known_since);
		e->allowances_count = n;
	}
	return &e->allowances[service];
}
