/*
 * Passes on to the decision about leaving the data centre what this VM sees of
 * arrivals, connections and other VMs, and logs the decision.
 */
#include "crossing_watch.h"

#include <string.h>

#include "entry_settings.h"
#include "eventlog.h"

/* How often the decision is updated: as often as VMs of a group tell each other
 * of their requests. */
#define UPDATE_PERIOD TR_MSEC(50)
/* Text of a data centre in the log line. */
#define CENTRE_CHARS 128

/* When the VMs of another data centre were last heard. */
struct heard_centre {
	const char *data_centre;
	apr_time_t at;
};

/* What this VM knows of the others, the same for all services. */
struct heard {
	struct heard_centre centres[TR_CROSSING_CENTRES];
	unsigned count;
	/* VMs of this data centre, and those of them in this VM's group. */
	unsigned here;
	unsigned near_here;
};

/* Returns the service's decision, or NULL if the setting is off. */
struct tr_crossing *crossing_of(struct entry *e, uint32_t service)
{
	unsigned n = e->roster.services_count;

	if (!e->settings->leave_data_centre || service >= n)
		return NULL;
	if (e->crossings_count < n) {
		e->crossings = g_renew(struct tr_crossing, e->crossings, n);
		memset(e->crossings + e->crossings_count, 0,
		       (n - e->crossings_count) * sizeof(*e->crossings));
		e->crossings_count = n;
	}
	return &e->crossings[service];
}

/* Records requests of callers at this VM, or at another one of its group and
 * data centre. */
void crossing_note_arrivals(struct entry *e, uint32_t service,
			    unsigned requests)
{
	struct tr_crossing *c = crossing_of(e, service);

	if (c)
		tr_crossing_arrived(c, requests, entry_now(e));
}

/* Returns whether the target is in another data centre than this VM. */
static bool is_elsewhere(const struct entry *e, uint32_t row)
{
	return strcmp(e->roster.rows[row].data_centre,
		      e->members.nodes[0].data_centre) != 0;
}

/* Records a connection of this VM itself to the target. */
void crossing_note_connected(struct entry *e, uint32_t row, apr_time_t took)
{
	const struct tr_instance *target = &e->roster.rows[row];
	struct tr_crossing *c = crossing_of(e, target->service);

	if (c)
		tr_crossing_connected(c, target->data_centre, took,
				      entry_now(e));
}

/* Records that this VM itself could not connect to the target. */
void crossing_note_unreached(struct entry *e, uint32_t row)
{
	const struct tr_instance *target = &e->roster.rows[row];
	struct tr_crossing *c = crossing_of(e, target->service);

	if (c)
		tr_crossing_unreached(c, target->data_centre, entry_now(e));
}

/* Counts a request that is sent to the target. */
void crossing_note_sent(struct entry *e, uint32_t row, size_t bytes)
{
	if (!is_elsewhere(e, row))
		return;
	e->counts.left_data_centre++;
	e->counts.bytes_left_data_centre += bytes;
}

/* Counts the target's answer and learns the usual bytes of a request and its
 * answer. */
void crossing_note_answered(struct entry *e, uint32_t row, size_t request_bytes,
			    size_t answer_bytes)
{
	struct tr_crossing *c = crossing_of(e, e->roster.rows[row].service);

	if (is_elsewhere(e, row))
		e->counts.bytes_left_data_centre += answer_bytes;
	if (c)
		tr_crossing_answered(c, request_bytes + answer_bytes);
}

static void add_heard(struct heard *heard, const struct tr_node *node)
{
	struct heard_centre *centre;

	for (unsigned i = 0; i < heard->count; i++) {
		centre = &heard->centres[i];
		if (strcmp(centre->data_centre, node->data_centre) != 0)
			continue;
		if (node->heard_at > centre->at)
			centre->at = node->heard_at;
		return;
	}
	if (heard->count < TR_CROSSING_CENTRES)
		heard->centres[heard->count++] = (struct heard_centre){
			.data_centre = node->data_centre,
			.at = node->heard_at,
		};
}

/* Sums up which VMs are heard. */
static struct heard sum_up_heard(const struct tr_membership *m, apr_time_t now)
{
	struct heard heard = { .here = 1, .near_here = 1 };

	for (unsigned i = 1; i < m->count; i++) {
		const struct tr_node *node = &m->nodes[i];

		if (!node->here) {
			add_heard(&heard, node);
		} else if (tr_node_takes_callers(m, node, now)) {
			heard.here++;
			heard.near_here += node->near;
		}
	}
	return heard;
}

/* Returns the shortest latency aim of the routes to the service, or 0 if there
 * is no route. */
static apr_time_t aim_of(const struct tr_routes *routes, uint32_t service)
{
	apr_time_t shortest = 0;

	for (unsigned i = 0; routes && i < routes->routes_count; i++) {
		const struct tr_path_route *route = &routes->routes[i];

		for (unsigned k = 0; k < route->split_count; k++)
			if (routes->services[route->split[k].service]
					    .row_index == service &&
			    (!shortest || route->latency_aim < shortest))
				shortest = route->latency_aim;
	}
	return shortest;
}

/* Returns where requests are to go, as text. The caller frees it. */
static GString *format_centres(const struct tr_crossing *c)
{
	GString *text = g_string_sized_new(CENTRE_CHARS);

	for (unsigned i = 1; i < c->centres_count; i++) {
		const struct tr_crossing_centre *centre = &c->centres[i];

		g_string_append_printf(
			text, "%s%s:%.2f,room=%.1f,connect_ms=%.1f,failures=%u",
			i > 1 ? ";" : "", centre->data_centre, centre->fraction,
			centre->room, centre->connect_us / 1000,
			centre->failures);
	}
	return text;
}

static void log_change(const struct entry *e, uint32_t service,
		       const struct tr_crossing *c)
{
	const struct tr_crossing_centre *home = &c->centres[0];
	GString *to = format_centres(c);

	eventlog(EVENT_STATE, "leaving-data-centre",
		 "service=%s part=%.2f demand=%.1f capacity=%.1f load=%.1f "
		 "work_ms=%.0f bytes=%.0f to=\"%s\"",
		 e->roster.services[service].name, c->fraction, c->demand_rate,
		 home->capacity, home->load, c->work_us / 1000, c->usual_bytes,
		 to->str);
	g_string_free(to, TRUE);
}

static void update(struct entry *e, uint32_t service, const struct heard *heard,
		   apr_time_t now)
{
	struct tr_crossing *c = crossing_of(e, service);
	apr_time_t aim = aim_of(e->routes, service);
	struct tr_crossing_input in = {
		.service = service,
		.data_centre = e->members.nodes[0].data_centre,
		.work = tr_service_stats_uncontended_time(
			&e->roster.services[service], aim),
		.aim = aim,
		.vms_per_heard = (double)heard->here / heard->near_here,
	};

	if (!c || !aim)
		return;
	for (unsigned i = 0; i < heard->count; i++)
		tr_crossing_heard(c, heard->centres[i].data_centre,
				  heard->centres[i].at);
	tr_crossing_update(c, &e->roster, &in, now);
	if (tr_crossing_log_due(c, now))
		log_change(e, service, c);
}

/* Updates the decision for each service. Called at every step of the event
 * loop. */
void crossing_step(struct entry *e, apr_time_t now)
{
	struct heard heard;

	if (!e->settings->leave_data_centre ||
	    now - e->crossings_updated_at < UPDATE_PERIOD)
		return;
	e->crossings_updated_at = now;
	heard = sum_up_heard(&e->members, now);
	for (uint32_t i = 0; i < e->roster.services_count; i++)
		update(e, i, &heard, now);
}
