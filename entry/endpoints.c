/* HTTP endpoints of this VM: lookups of entry VMs, readiness and metrics. */
#include "endpoints.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "cleanup.h"
#include "entry_settings.h"
#include "eventlog.h"
#include "idle.h"
#include "mesh.h"
#include "path_watch.h"
#include "spread.h"
#include "times.h"
#include "vm_capacity.h"

#define MAX_ADDRESSES TR_VM_ANSWER_MAX
/*
 * A lookup lists only VMs of the caller's data centre if it has at least this
 * many: the loss of one then leaves others, and bodies do not cross between
 * data centres twice.
 */
#define MIN_OWN_CENTRE 2
/*
 * VMs that are cut off from all targets are left out if at least this share of
 * the VMs has a path: fewer would not bear all callers.
 */
#define MIN_SHARE_WITH_PATH 0.5

static void reply_text(struct caller *caller, int status, const char *type,
		       const char *text)
{
	g_autofree char *headers =
		g_strdup_printf("Content-Type: %s\r\n", type);
	struct caller_reply reply = {
		.status = status,
		.headers = headers,
		.body = text,
		.body_len = strlen(text),
	};

	caller_reply(caller, &reply);
}

static bool path_is(const struct caller *caller, const char *path)
{
	const char *target = message_target(&caller->in);
	size_t len = strcspn(target, "?");

	return len == strlen(path) && !strncmp(target, path, len);
}

/*
 * Returns the unescaped value of a query parameter, or NULL if it is absent.
 * The caller frees it with g_free.
 */
static char *query_value(const struct caller *caller, const char *name)
{
	const char *at = strchr(message_target(&caller->in), '?');
	size_t len = strlen(name);

	while (at && *at) {
		const char *end = at + 1 + strcspn(at + 1, "&");

		if (!strncmp(at + 1, name, len) && at[1 + len] == '=')
			return g_uri_unescape_segment(at + 2 + len, end, NULL);
		at = end;
	}
	return NULL;
}

/* VMs that a lookup may list. */
struct selection {
	const char *centre;	/* NULL for any */
	bool includes_cut_off;	/* also those without a path to targets */
	unsigned cut_off_count; /* how many of these there are */
};

static bool may_list(const struct tr_membership *m, const struct tr_node *node,
		     const struct selection *from, apr_time_t now)
{
	return tr_node_takes_callers(m, node, now) &&
	       (!from->centre || !strcmp(node->data_centre, from->centre));
}

static char *address_of(const struct tr_node *node, const char *port)
{
	char ip[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &node->ip, ip, sizeof(ip));
	return g_strdup_printf("%s%s", ip, port);
}

/*
 * Lists up to max addresses of VMs that take callers. Returns how many; the
 * caller frees each address.
 */
static unsigned list_vms(struct entry *e, struct selection *from, char **out,
			 unsigned max)
{
	const struct tr_membership *m = &e->members;
	const char *port = strrchr(e->settings->front, ':');
	/*
	 * Start at random, since there may be more VMs than fit into the list.
	 */
	unsigned start = tr_random_below(&e->random, m->count);
	apr_time_t now = entry_now(e);
	unsigned n = 0;

	for (unsigned i = 0; i < m->count && n < max; i++) {
		const struct tr_node *node = &m->nodes[(start + i) % m->count];

		if (!may_list(m, node, from, now))
			continue;
		from->cut_off_count += node->cut_off;
		if (node->cut_off && !from->includes_cut_off)
			continue;
		out[n++] = address_of(node, port);
	}
	return n;
}

static void free_addresses(char **out, unsigned n)
{
	for (unsigned i = 0; i < n; i++)
		g_free(out[i]);
}

/* VMs that an answer may name, and what is known of each. */
struct candidates {
	const struct tr_node **nodes;
	struct tr_vm_load *loads;
	double *weights;
	unsigned *drawn;
	unsigned count;
};

static void collect(struct entry *e, const struct selection *from,
		    struct candidates *c)
{
	struct tr_membership *m = &e->members;
	apr_time_t now = entry_now(e);

	/* This VM receives no messages of its own. */
	m->nodes[0].capacity =
		tr_vm_capacity(e->settings->cpu_share, e->settings->link_mbps);
	m->nodes[0].in_hand = e->exchanges_count;
	m->nodes[0].load_at = now;
	c->nodes = g_new(const struct tr_node *, m->count);
	c->loads = g_new(struct tr_vm_load, m->count);
	c->weights = g_new(double, m->count);
	c->drawn = g_new(unsigned, m->count);
	for (unsigned i = 0; i < m->count; i++) {
		const struct tr_node *node = &m->nodes[i];

		if (!may_list(m, node, from, now) ||
		    (node->cut_off && !from->includes_cut_off))
			continue;
		c->nodes[c->count] = node;
		c->loads[c->count++] = tr_vm_load_of(node, now);
	}
}

static void release_candidates(struct candidates *c)
{
	g_free(c->nodes);
	g_free(c->loads);
	g_free(c->weights);
	g_free(c->drawn);
}

/*
 * Replaces the n addresses of an answer by a draw among the VMs of the
 * selection by weight, unless their weights are equal. Returns how many
 * addresses the answer has.
 */
static unsigned draw_by_weight(struct entry *e, const struct selection *from,
			       char **out, unsigned n)
{
	const char *port = strrchr(e->settings->front, ':');
	struct candidates c = { 0 };

	collect(e, from, &c);
	if (tr_vm_weigh(c.loads, c.count, c.weights)) {
		unsigned size = tr_vm_answer_size(c.weights, c.count);

		free_addresses(out, n);
		n = tr_vm_draw(c.weights, c.count, size, &e->random, c.drawn);
		for (unsigned i = 0; i < n; i++)
			out[i] = address_of(c.nodes[c.drawn[i]], port);
		e->counts.lookups_weighted++;
	}
	release_candidates(&c);
	return n;
}

/*
 * Lists VMs for callers of a data centre: of that one or, if these are too few,
 * of any, and with a path to targets if there are enough of them.
 */
static unsigned list_vms_for(struct entry *e, const char *centre, char **out)
{
	struct selection tries[] = {
		{ .centre = centre },
		{ .centre = NULL },
		{ .centre = centre, .includes_cut_off = true },
		{ .centre = NULL, .includes_cut_off = true },
	};
	struct selection *s = tries;
	unsigned n = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(tries); i++) {
		s = &tries[i];
		free_addresses(out, n);
		n = list_vms(e, s, out, MAX_ADDRESSES);
		if ((!s->centre || n >= MIN_OWN_CENTRE) &&
		    (s->includes_cut_off ||
		     n >= MIN_SHARE_WITH_PATH * (n + s->cut_off_count)))
			break;
	}
	return e->settings->weigh_vms ? draw_by_weight(e, s, out, n) : n;
}

static void lookup(void *ctx, struct caller *caller)
{
	struct entry *e = ctx;
	char *out[MAX_ADDRESSES];
	g_autofree char *centre = NULL;
	auto_free char *text = NULL;
	unsigned n;

	if (!path_is(caller, e->dialect->lookup_path)) {
		reply_text(caller, 404, "text/plain", "no such call\n");
		return;
	}
	e->counts.lookups++;
	centre = query_value(caller, e->dialect->lookup_data_centre_param);
	n = list_vms_for(e, centre, out);
	/* A VM that knows of no other lists itself rather than nothing. */
	if (!n)
		out[n++] = g_strdup(e->settings->front);
	text = e->dialect->format_lookup_reply(out, n,
					       e->settings->keep_most_us);
	free_addresses(out, n);
	reply_text(caller, 200, "application/json", text);
}

static void readiness(void *ctx, struct caller *caller)
{
	struct entry *e = ctx;

	if (!path_is(caller, e->dialect->readiness_path))
		reply_text(caller, 404, "text/plain", "no such call\n");
	else if (entry_takes_callers(e))
		reply_text(caller, 200, "text/plain", "ready\n");
	else
		reply_text(caller, 503, "text/plain", "not ready\n");
}

static void metrics(void *ctx, struct caller *caller)
{
	const struct entry *e = ctx;
	const struct entry_counts *c = &e->counts;
	const struct {
		const char *name;
		uint64_t value;
	} rows[] = {
		{ "requests_total", c->requests },
		{ "answered_total", c->answered },
		{ "refused_total", c->refused },
		{ "failed_total", c->failed },
		{ "repeats_total", c->repeats },
		{ "resent_total", c->resent },
		{ "repeats_denied_total", c->repeats_denied },
		{ "callers_gone_total", c->callers_gone },
		{ "lookups_total", c->lookups },
		{ "lookups_weighted_total", c->lookups_weighted },
		{ "store_calls_total", c->store_calls },
		{ "store_failures_total", c->store_failures },
		{ "peer_messages_in_total", c->messages_in },
		{ "peer_messages_out_total", c->messages_out },
		{ "peer_messages_refused_total", c->messages_refused },
		{ "peer_pulls_total", c->pulls },
		{ "peer_pulls_failed_total", c->pulls_failed },
		{ "routes_late",
		  tr_spread_newest_revision(&e->members, TR_RESOURCE_ROUTES,
					    entry_now(e)) >
			  entry_routes_order(e) },
		{ "store_targets_refused_total", c->targets_refused },
		{ "fleet_vms", tr_membership_size(&e->members) },
		{ "groups", e->members.groups_count },
		{ "group_vms", e->members.near_count },
		{ "in_hand", e->exchanges_count },
		{ "view_age_ms", (uint64_t)entry_view_age(e) / 1000 },
		{ "routes_version", e->routes ? e->routes->version : 0 },
		{ "connections_reused_total", c->reused },
		{ "connections_dead_total", c->reused_dead },
		{ "keys_refused_total", c->keys_refused },
		{ "unproven_total", c->unproven },
		{ "over_limit_total", c->over_limit },
		{ "fatal_requests_refused_total", c->fatal },
		{ "fatal_requests_known", e->fatals.count },
		{ "targets_saying_leaving", e->roster.says_leaving_count },
		{ "targets_limited", e->roster.limits.active_count },
		{ "notices_refused_total", c->notices_refused },
		{ "targets_slow", idle_count_slow(e) },
		{ "kept_for_bytes_total", c->kept_for_bytes },
		{ "paths_cut", path_count_cut(e) },
		{ "oversized_total", c->oversized },
		{ "buffered_bytes", e->buffers.bytes },
		{ "buffered_bytes_peak", e->buffers.peak },
		{ "buffers_given_up_total", e->buffers.given_up },
		{ "unreached_total", c->unreached },
		{ "via_peer_total", c->via_peer },
		{ "detours_total", c->detours },
		{ "tunnels", e->tunnels_count },
		{ "tunnels_total", c->tunnels },
		{ "left_data_centre_total", c->left_data_centre },
		{ "bytes_left_data_centre_total", c->bytes_left_data_centre },
		{ "proof_age_ms", mesh_proof_age(e) },
		{ "log_lines_left_out_total", eventlog_dropped(EVENT_REQUEST) },
	};
	GString *text = g_string_new(NULL);

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		g_string_append_printf(text,
				       "toucanreel_entry_%s %" PRIu64 "\n",
				       rows[i].name, rows[i].value);
	admission_print(e, text);
	times_print(e, text);
	reply_text(caller, 200, "text/plain", text->str);
	g_string_free(text, TRUE);
}

const struct listener_callbacks endpoints_directory = { lookup, NULL };
const struct listener_callbacks endpoints_readiness = { readiness, NULL };
const struct listener_callbacks endpoints_metrics = { metrics, NULL };
