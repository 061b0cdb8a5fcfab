/*
 * Admission control of callers' requests: tells lib/overload.c the load of each
 * service, asks it for a verdict on each request, and logs and counts what it
 * decides.
 */
#include "admission.h"

#include <inttypes.h>

#include "entry_settings.h"
#include "eventlog.h"
#include "exchange_internal.h"
#include "mesh.h"
#include "organisation.h"

/* Interval between two updates: about as often as VMs hear of each other. */
#define UPDATE_INTERVAL TR_MSEC(50)
static const char *const refusal_names[] = {
	[TR_OVERLOAD_RANK] = "overload-rank",
	[TR_OVERLOAD_SHARE] = "overload-share",
	[TR_OVERLOAD_BACKLOG] = "overload-backlog",
};

/*
 * Switches admission control on or off by the settings: by name, or by the
 * platform's term for it.
 */
void admission_apply_settings(struct entry *e)
{
	const struct entry_settings *s = e->settings;

	e->admission.enabled =
		s->overload_control ||
		entry_settings_has_term(s, e->dialect->overload_term);
}

static uint32_t service_hash(const struct entry *e, uint32_t service)
{
	return (uint32_t)tr_hash_string(e->roster.services[service].name);
}

static struct tr_overload *overload_of(struct entry *e, uint32_t service)
{
	struct admission *a = &e->admission;

	if (service >= a->services_count) {
		unsigned n = e->roster.services_count;

		a->services = g_realloc_n(a->services, n, sizeof(*a->services));
		memset(&a->services[a->services_count], 0,
		       (n - a->services_count) * sizeof(*a->services));
		a->services_count = n;
	}
	return &a->services[service];
}

/* The targets whose requests are all reported to this VM. */
struct home_load {
	double in_flight;
	double slots;
};

/* Adds what a target can serve and what it holds to its service's load. */
static void add_target(struct tr_overload_load *load, struct home_load *home,
		       const struct tr_instance *row, apr_time_t now)
{
	double risk = tr_gray_probability(&row->gray, now);

	if (!tr_instance_usable(row, now))
		return;
	load->capacity += (1 - risk) * row->slots;
	if (risk >= TR_SUSPECT_RISK)
		return;
	load->slots += row->slots;
	load->in_flight += tr_instance_in_flight(row, now);
	if (row->remote)
		return;
	home->slots += row->slots;
	home->in_flight += tr_instance_in_flight(row, now);
}

/* Returns the shortest latency aim of the routes that lead to the service. */
static apr_time_t service_aim(const struct entry *e, uint32_t service)
{
	const struct tr_routes *routes = e->routes;
	apr_time_t aim = 0;

	for (unsigned i = 0; routes && i < routes->routes_count; i++) {
		const struct tr_path_route *r = &routes->routes[i];

		for (unsigned k = 0; k < r->split_count; k++)
			if (routes->services[r->split[k].service].row_index ==
				    service &&
			    r->split[k].weight > 0 &&
			    (!aim || r->latency_aim < aim))
				aim = r->latency_aim;
	}
	return aim;
}

static void log_change(const struct entry *e, uint32_t service,
		       const struct tr_overload *o,
		       const struct tr_overload_load *load)
{
	eventlog(EVENT_STATE,
		 tr_overload_active(o) ? "overload-begins" : "overload-ends",
		 "service=%s demand=%.1f admitted=%.1f capacity=%.1f "
		 "in_flight=%.0f slots=%.0f usual_ms=%ld heard=%.3f",
		 e->roster.services[service].name, o->demand, o->admitted,
		 load->capacity, load->in_flight, load->slots,
		 (long)(load->usual_work / 1000), load->heard_share);
}

static void update_service(struct entry *e, uint32_t service, double heard,
			   apr_time_t now)
{
	struct tr_service_stats *svc = &e->roster.services[service];
	struct tr_overload *o = overload_of(e, service);
	bool was_active = tr_overload_active(o);
	struct tr_overload_load load = {
		.aim = service_aim(e, service),
		.heard_share = heard,
	};
	struct home_load home = { 0 };

	if (!load.aim)
		return;
	for (uint32_t i = 0; i < e->roster.count; i++)
		if (e->roster.rows[i].used &&
		    e->roster.rows[i].service == service)
			add_target(&load, &home, &e->roster.rows[i], now);
	tr_occupancy_update(&svc->occupancy, home.in_flight, home.slots, now);
	load.usual_work = tr_service_stats_uncontended_time(svc, load.aim);
	load.capacity *= 1e6 / (double)load.usual_work;
	tr_overload_update(o, &e->admission.flows, service_hash(e, service),
			   &load, now);
	if (tr_overload_active(o) != was_active)
		log_change(e, service, o, &load);
}

/* Updates the decisions from what is known of the services' load. */
void admission_step(struct entry *e, apr_time_t now)
{
	struct admission *a = &e->admission;
	double heard;

	if (!a->enabled || now - a->updated_at < UPDATE_INTERVAL)
		return;
	a->updated_at = now;
	heard = tr_membership_recent_share(&e->members, now);
	tr_flows_expire(&a->flows, now);
	for (uint32_t s = 0; s < e->roster.services_count; s++)
		update_service(e, s, heard, now);
}

/* Whether requests for the service are being refused. */
bool admission_is_active(const struct entry *e, uint32_t service)
{
	const struct admission *a = &e->admission;

	return a->enabled && service < a->services_count &&
	       tr_overload_active(&a->services[service]);
}

/*
 * Returns how many requests other VMs probably sent to the service of which
 * this one does not know yet, or 0 if it is not overloaded.
 */
double admission_unseen(const struct entry *e, uint32_t service)
{
	if (!admission_is_active(e, service))
		return 0;
	return tr_overload_unseen(&e->admission.services[service]);
}

/* The rank of the request: its organisation's, or that of its route. */
static uint32_t rank_of(const struct exchange *x)
{
	if (x->organisation && x->organisation->has_priority)
		return x->organisation->priority;
	return x->route->priority;
}

static struct admission_counts *counts_of(struct entry *e, uint32_t service,
					  uint32_t rank)
{
	const struct admission_counts new_row = {
		.service = service,
		.rank = rank,
	};
	GArray **counts = &e->admission.counts;

	if (!*counts)
		*counts = g_array_new(FALSE, FALSE,
				      sizeof(struct admission_counts));
	for (guint i = 0; i < (*counts)->len; i++) {
		struct admission_counts *c =
			&g_array_index(*counts, struct admission_counts, i);

		if (c->service == service && c->rank == rank)
			return c;
	}
	g_array_append_val(*counts, new_row);
	return &g_array_index(*counts, struct admission_counts,
			      (*counts)->len - 1);
}

static void count_verdict(struct entry *e, const struct exchange *x,
			  enum tr_overload_verdict verdict)
{
	struct admission_counts *c = counts_of(e, x->service, rank_of(x));

	switch (verdict) {
	case TR_OVERLOAD_ADMITTED:
		c->admitted++;
		break;
	case TR_OVERLOAD_RANK:
		c->refused_rank++;
		break;
	case TR_OVERLOAD_SHARE:
		c->refused_share++;
		break;
	case TR_OVERLOAD_BACKLOG:
		c->refused_backlog++;
		break;
	}
}

static void log_refusal(const struct entry *e, const struct exchange *x,
			const struct tr_overload *o, const struct tr_flow *flow,
			const struct admission_result *result)
{
	eventlog(EVENT_REQUEST, "overload-refused",
		 "id=%s why=%s service=%s rank=%" PRIu32
		 " organisation=%s flow_rate=%.1f flow_refused=%.3f "
		 "demand=%.1f admitted=%.1f capacity=%.1f backlog=%.0f "
		 "retry_ms=%ld",
		 x->id, result->why, e->roster.services[x->service].name,
		 flow->key.rank, x->organisation ? x->organisation->name : "-",
		 tr_flow_rate(flow, entry_now(e)), flow->refused, o->demand,
		 o->admitted, o->capacity, o->backlog,
		 (long)(result->retry_after / 1000));
}

/*
 * Decides whether a request that has just arrived is admitted. One that is not
 * has not been sent anywhere and never will be.
 */
struct admission_result admission_check(struct entry *e,
					const struct exchange *x)
{
	struct admission_result result = { .admitted = true };
	apr_time_t now = entry_now(e);
	const struct tr_flow_key key = {
		.service = service_hash(e, x->service),
		.organisation = x->organisation ? (uint32_t)tr_hash_string(
							  x->organisation->name)
						: 0,
		.rank = rank_of(x),
	};
	enum tr_overload_verdict verdict;
	struct tr_overload *o;
	struct tr_flow *flow;

	if (!e->admission.enabled)
		return result;
	flow = tr_flows_find_or_add(&e->admission.flows, &key, now);
	/* A full table refuses nobody; the targets' queues bound the rest. */
	if (!flow)
		return result;
	o = overload_of(e, x->service);
	tr_flow_arrived(flow, now);
	mesh_schedule_report(e->mesh);
	verdict = tr_overload_admit(o, flow, x->identity, &e->random, now);
	count_verdict(e, x, verdict);
	if (verdict == TR_OVERLOAD_ADMITTED) {
		tr_flow_admitted(flow, now);
		return result;
	}
	result.admitted = false;
	result.why = refusal_names[verdict];
	result.retry_after = tr_overload_retry_after(o, flow, &e->random, now);
	log_refusal(e, x, o, flow, &result);
	return result;
}

static void print_count(GString *text, const struct entry *e,
			const struct admission_counts *c, const char *verdict,
			uint64_t n)
{
	g_string_append_printf(
		text,
		"toucanreel_entry_admission_total{service=\"%s\",rank=\"%" PRIu32
		"\",verdict=\"%s\"} %" PRIu64 "\n",
		e->roster.services[c->service].name, c->rank, verdict, n);
}

/* Adds the counts by service and rank to the metrics. */
void admission_print(const struct entry *e, GString *text)
{
	const struct admission *a = &e->admission;

	for (guint i = 0; a->counts && i < a->counts->len; i++) {
		const struct admission_counts *c =
			&g_array_index(a->counts, struct admission_counts, i);

		print_count(text, e, c, "admitted", c->admitted);
		print_count(text, e, c, "rank", c->refused_rank);
		print_count(text, e, c, "share", c->refused_share);
		print_count(text, e, c, "backlog", c->refused_backlog);
	}
}

void admission_release(struct entry *e)
{
	struct admission *a = &e->admission;

	tr_flows_release(&a->flows);
	g_free(a->services);
	if (a->counts)
		g_array_free(a->counts, TRUE);
}
