/*
 * The capacity model: from the sizes of a fleet and the measured cost of each
 * thing it computes the load and the costs per VM, and compares the costs with
 * the budgets.
 */
#include "capacity.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "cleanup.h"
#include "error.h"
#include "yamlfile.h"

#define SECONDS_IN_DAY 86400.0
/* Interval of gossip messages to a peer, and while a suspicion is raised. */
#define GOSSIP_PERIOD_S		2.0
#define RAISED_GOSSIP_PERIOD_S	0.5
#define STEPS_PER_S		20.0
#define WATCH_PERIOD_S		20.0
#define READERS			2.0 /* per service */
#define LIST_READERS_PER_CENTRE 3.0
/* Target rate of the polls of all VMs together, from which the poll period of a
 * VM that does not watch follows, and the least period. */
#define POLLS_PER_S	  1000.0
#define MIN_POLL_PERIOD_S 2.0
/* Time until a watch returns and a peer has pulled the document. */
#define WATCH_AND_PULL_S 1.0
/* One percent of a core, in microseconds of processor time per second. */
#define US_PER_S_PER_PERCENT 1e4

#define SIZE   struct capacity_sizes
#define SLOPE  struct capacity_slopes
#define BUDGET struct capacity_budgets
#define REQ    CYAML_FLAG_DEFAULT

static const cyaml_schema_field_t size_fields[] = {
	CYAML_FIELD_FLOAT("vms", REQ, SIZE, vms),
	CYAML_FIELD_FLOAT("servers", REQ, SIZE, servers),
	CYAML_FIELD_FLOAT("services", REQ, SIZE, services),
	CYAML_FIELD_FLOAT("routes", REQ, SIZE, routes),
	CYAML_FIELD_FLOAT("organisations", REQ, SIZE, organisations),
	CYAML_FIELD_FLOAT("requests_a_second", REQ, SIZE, requests_a_second),
	CYAML_FIELD_FLOAT("changes_a_day", REQ, SIZE, changes_a_day),
	CYAML_FIELD_FLOAT("restarts_a_day", REQ, SIZE, restarts_a_day),
	CYAML_FIELD_FLOAT("data_centres", REQ, SIZE, data_centres),
	CYAML_FIELD_FLOAT("cell", REQ, SIZE, cell),
	CYAML_FIELD_FLOAT("document_bytes", REQ, SIZE, document_bytes),
	CYAML_FIELD_FLOAT("list_row_bytes", REQ, SIZE, list_row_bytes),
	CYAML_FIELD_FLOAT("keys_share", REQ, SIZE, keys_share),
	CYAML_FIELD_FLOAT("key_lifetime_s", REQ, SIZE, key_lifetime_s),
	CYAML_FIELD_FLOAT("raised_share", REQ, SIZE, raised_share),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t slope_fields[] = {
	CYAML_FIELD_FLOAT("base_mb", REQ, SLOPE, base_mb),
	CYAML_FIELD_FLOAT("service_kb", REQ, SLOPE, service_kb),
	CYAML_FIELD_FLOAT("route_kb", REQ, SLOPE, route_kb),
	CYAML_FIELD_FLOAT("record_bytes", REQ, SLOPE, record_bytes),
	CYAML_FIELD_FLOAT("message_bytes", REQ, SLOPE, message_bytes),
	CYAML_FIELD_FLOAT("row_bytes", REQ, SLOPE, row_bytes),
	CYAML_FIELD_FLOAT("message_us", REQ, SLOPE, message_us),
	CYAML_FIELD_FLOAT("row_us", REQ, SLOPE, row_us),
	CYAML_FIELD_FLOAT("step_us", REQ, SLOPE, step_us),
	CYAML_FIELD_FLOAT("step_target_us", REQ, SLOPE, step_target_us),
	CYAML_FIELD_FLOAT("idle_percent", REQ, SLOPE, idle_percent),
	CYAML_FIELD_FLOAT("cell_us_a_vm", REQ, SLOPE, cell_us_a_vm),
	CYAML_FIELD_FLOAT("document_us", REQ, SLOPE, document_us),
	CYAML_FIELD_FLOAT("request_us", REQ, SLOPE, request_us),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t budget_fields[] = {
	CYAML_FIELD_FLOAT("core_percent", REQ, BUDGET, core_percent),
	CYAML_FIELD_FLOAT("mb", REQ, BUDGET, mb),
	CYAML_FIELD_FLOAT("bytes_a_second", REQ, BUDGET, bytes_a_second),
	CYAML_FIELD_FLOAT("force_s", REQ, BUDGET, force_s),
	CYAML_FIELD_FLOAT("platform_calls_a_second", REQ, BUDGET,
			  platform_calls_a_second),
	CYAML_FIELD_END,
};

static const cyaml_schema_field_t fields[] = {
	CYAML_FIELD_MAPPING("sizes", REQ, struct capacity_model, sizes,
			    size_fields),
	CYAML_FIELD_MAPPING("slopes", REQ, struct capacity_model, slopes,
			    slope_fields),
	CYAML_FIELD_MAPPING("budgets", REQ, struct capacity_model, budgets,
			    budget_fields),
	CYAML_FIELD_END,
};

static const cyaml_schema_value_t schema = {
	CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct capacity_model, fields),
};

/* Reads the model from a YAML file. Returns NULL and sets err if it is not
 * valid. */
struct capacity_model *capacity_load(const char *path, struct tr_error *err)
{
	size_t len = 0;
	auto_free char *text = yamlfile_read(path, &len, err);
	struct capacity_model *m;

	if (!text)
		return NULL;
	m = yamlfile_load(text, len, &schema, err);
	if (m &&
	    (m->sizes.vms < 1 || m->sizes.services < 1 || m->sizes.cell < 1)) {
		tr_error_set(
			err, TR_OUT_OF_RANGE, "sizes", "",
			"expected vms, services and cell to be at least 1");
		capacity_free(m);
		return NULL;
	}
	return m;
}

void capacity_free(struct capacity_model *model)
{
	yamlfile_free(&schema, model);
}

/* The load of one VM, as it follows from the sizes. */
struct vm_load {
	double services;
	double targets;
	double links;	 /* pairs of a service and a peer */
	double messages; /* per second */
	double rows;	 /* target rows per message */
	double requests; /* per second */
	double records;	 /* keys remembered until they expire */
	double poll_period_s;
};

static struct vm_load compute_load(const struct capacity_model *m)
{
	const struct capacity_sizes *z = &m->sizes;
	struct vm_load l;

	l.services = z->services * z->cell / z->vms;
	l.targets = z->servers / z->services;
	l.links = l.services * (z->cell - 1);
	l.messages = l.links * (z->raised_share / RAISED_GOSSIP_PERIOD_S +
				(1 - z->raised_share) / GOSSIP_PERIOD_S);
	l.rows = l.targets / 3;
	l.requests = z->requests_a_second / z->vms;
	l.records = l.requests * z->keys_share * z->key_lifetime_s;
	l.poll_period_s = l.services * z->vms / POLLS_PER_S;
	if (l.poll_period_s < MIN_POLL_PERIOD_S)
		l.poll_period_s = MIN_POLL_PERIOD_S;
	return l;
}

/* Costs of one VM, but for calls, which all VMs make together. Bytes and calls
 * are per second, percentages are of one core. */
struct costs {
	double gossip_bytes;
	double document_bytes;
	double list_bytes;
	double gossip_percent;
	double step_percent;
	double list_percent;
	double document_percent;
	double memory_mb;
	double calls;	/* to the platform */
	double force_s; /* until a change is in force in its cell */
};

static struct costs compute_costs(const struct capacity_model *m,
				  const struct vm_load *l)
{
	const struct capacity_sizes *z = &m->sizes;
	const struct capacity_slopes *s = &m->slopes;
	double changes =
		z->changes_a_day * l->services / z->services / SECONDS_IN_DAY;
	double list_changes = 2 * z->restarts_a_day / SECONDS_IN_DAY;
	struct costs c = { 0 };

	c.gossip_bytes =
		l->messages * (s->message_bytes + s->row_bytes * l->rows);
	c.document_bytes = changes * z->document_bytes;
	c.list_bytes = list_changes * z->vms * z->list_row_bytes;
	/* A VM receives as many messages as it sends. */
	c.gossip_percent = l->messages * (s->message_us + s->row_us * l->rows) /
			   US_PER_S_PER_PERCENT;
	c.step_percent = s->idle_percent +
			 l->services * STEPS_PER_S *
				 (s->step_us + s->step_target_us * l->targets) /
				 US_PER_S_PER_PERCENT;
	c.list_percent = list_changes * l->services * s->cell_us_a_vm * z->vms /
			 US_PER_S_PER_PERCENT;
	c.document_percent = changes * s->document_us / US_PER_S_PER_PERCENT;
	c.memory_mb =
		s->base_mb + l->services * s->service_kb / 1024 +
		z->routes / z->services * l->services * s->route_kb / 1024 +
		l->records * s->record_bytes / 1048576 +
		z->vms * z->list_row_bytes * 2 / 1048576;
	c.calls = z->services * READERS / WATCH_PERIOD_S +
		  z->services * z->cell / l->poll_period_s +
		  LIST_READERS_PER_CENTRE * z->data_centres *
			  (1 / WATCH_PERIOD_S + list_changes);
	c.force_s = RAISED_GOSSIP_PERIOD_S + WATCH_AND_PULL_S;
	return c;
}

static void add_row(GString *out, const char *what, double value,
		    const char *unit, double budget, const char *mechanism)
{
	g_string_append_printf(out, "| %s | %.4g %s | ", what, value, unit);
	if (budget > 0)
		g_string_append_printf(out, "%.4g | %s", budget,
				       value <= budget ? "met" : "**not met**");
	else
		g_string_append(out, "- | -");
	g_string_append_printf(out, " | %s |\n", mechanism);
}

static void add_totals(GString *out, const struct capacity_model *m,
		       const struct costs *c)
{
	const struct capacity_budgets *b = &m->budgets;

	add_row(out, "control bytes sent, without the list of VMs",
		c->gossip_bytes + c->document_bytes, "B/s", b->bytes_a_second,
		"gossip inside cells; documents pulled once a change");
	add_row(out, "control bytes, with whole lists of VMs",
		c->gossip_bytes + c->document_bytes + c->list_bytes, "B/s",
		b->bytes_a_second, "the list is pulled whole at each change");
	add_row(out, "control processor time",
		c->gossip_percent + c->step_percent + c->list_percent +
			c->document_percent,
		"% of a core", b->core_percent,
		"steps, messages, cells worked out anew");
	add_row(out, "memory", c->memory_mb, "MB", b->mb,
		"fixed rows a service, records of keys, the list");
	add_row(out, "calls to the platform, all VMs", c->calls, "1/s",
		b->platform_calls_a_second,
		"two watching readers a service, slow polls of the others");
	add_row(out, "a change in force in its cell", c->force_s, "s",
		b->force_s, "watch, then one hop of gossip and a pull");
}

/* Returns the tables of docs/CAPACITY.md as Markdown; the caller frees the
 * text. */
char *capacity_page(const struct capacity_model *model)
{
	struct vm_load l = compute_load(model);
	struct costs c = compute_costs(model, &l);
	GString *out = g_string_new(NULL);
	char *text;

	g_string_append(out, "| per VM | value | budget | verdict | mechanism "
			     "|\n|---|---|---|---|---|\n");
	add_totals(out, model, &c);
	g_string_append(out, "\n| part | value | budget | verdict | mechanism "
			     "|\n|---|---|---|---|---|\n");
	add_row(out, "services served", l.services, "", 0,
		"cells by rendezvous hashing");
	add_row(out, "targets known", l.services * l.targets, "", 0,
		"only those of its services");
	add_row(out, "peers spoken to", l.links, "", 0, "cells");
	add_row(out, "messages sent", l.messages, "1/s", 0,
		"one to each peer in 2 s, in 0.5 s while raised");
	add_row(out, "gossip", c.gossip_bytes, "B/s", 0,
		"a third of the rows in turn, and those under suspicion");
	add_row(out, "documents pulled", c.document_bytes, "B/s", 0,
		"by revision");
	add_row(out, "lists of VMs pulled", c.list_bytes, "B/s", 0,
		"whole; deltas are the change that would meet the budget");
	add_row(out, "processor: messages", c.gossip_percent, "%", 0,
		"XDR, BLAKE2b");
	add_row(out, "processor: steps", c.step_percent, "%", 0,
		"20 a second and service");
	add_row(out, "processor: lists", c.list_percent, "%", 0,
		"every cell chosen anew at each change");
	add_row(out, "requests", l.requests, "1/s", 0, "proxied");
	add_row(out, "processor: requests, not control",
		l.requests * model->slopes.request_us / US_PER_S_PER_PERCENT,
		"%", 0, "one loop, one thread");
	add_row(out, "keys remembered", l.records, "", 0,
		"till their expiry; a full table refuses");
	add_row(out, "poll of a VM that does not watch", l.poll_period_s, "s",
		0, "the period grows with the fleet");
	text = strdup(out->str);
	g_string_free(out, TRUE);
	return text;
}
