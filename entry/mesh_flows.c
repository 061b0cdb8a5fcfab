/* Messages about flows of requests; see lib/flow.c. */
#include "flow.h"
#include "mesh_internal.h"

/* Messages about rates in one turn: 256 flows. */
#define RATE_MESSAGES_MAX 8
/*
 * Most arrivals of a flow at one VM between two of its reports: a VM serves
 * some hundred requests a second and reports several times a second.
 */
#define ARRIVALS_MAX 2000
/* The same of a flow that the VM reports for the first time. */
#define FIRST_ARRIVALS_MAX 50
/* Rates below this, in hundredths of a request a second, are not told. */
#define MIN_RATE 10

/*
 * Adds the totals of flows that have changed since they were last sent, as many
 * as fit into room bytes, continuing where the last message ended.
 */
void mesh_add_flows(struct mesh *mesh, struct mesh_message *msg,
		    struct mesh_flow *rows, size_t room)
{
	struct tr_flows *flows = &mesh->e->admission.flows;
	unsigned max = (unsigned)(room / sizeof(*rows));

	if (max > MESH_MAX_FLOWS)
		max = MESH_MAX_FLOWS;
	msg->flows.flows_val = rows;
	for (unsigned i = 0; i < flows->count && msg->flows.flows_len < max;
	     i++) {
		struct tr_flow *f =
			&flows->rows[flows->next_reported++ % flows->count];

		if (!f->changed)
			continue;
		f->changed = false;
		rows[msg->flows.flows_len++] = (struct mesh_flow){
			.service = f->key.service,
			.organisation = f->key.organisation,
			.rank = f->key.rank,
			.totals = (uint32_t)f->own.arrived << 16 |
				  f->own.admitted,
		};
	}
}

/*
 * Fills in the rates of this group's flows from row first on. Returns the row
 * that the next message continues at.
 */
static unsigned add_rates(const struct tr_flows *flows, unsigned first,
			  struct mesh_message *msg, struct mesh_flow_rate *rows,
			  apr_time_t now)
{
	unsigned i = first;

	msg->flow_rates.flow_rates_val = rows;
	for (; i < flows->count &&
	       msg->flow_rates.flow_rates_len < MESH_MAX_FLOW_RATES;
	     i++) {
		const struct tr_flow *f = &flows->rows[i];
		uint32_t rate = (uint32_t)(tr_flow_group_rate(f, now) * 100);

		if (rate < MIN_RATE)
			continue;
		rows[msg->flow_rates.flow_rates_len++] =
			(struct mesh_flow_rate){
				.service = f->key.service,
				.organisation = f->key.organisation,
				.rank = f->key.rank,
				.rate = rate,
			};
	}
	return i;
}

/* Sends the rates of this group's flows to the other groups. */
void mesh_send_flow_rates(struct mesh *mesh, apr_time_t now)
{
	const struct tr_flows *flows = &mesh->e->admission.flows;
	struct mesh_flow_rate rows[MESH_MAX_FLOW_RATES];
	char buf[DATAGRAM_MAX];
	struct mesh_message msg;
	unsigned next = 0;

	for (int n = 0; n < RATE_MESSAGES_MAX && next < flows->count; n++) {
		size_t len;

		mesh_fill_header(mesh, &msg);
		next = add_rates(flows, next, &msg, rows, now);
		if (!msg.flow_rates.flow_rates_len)
			return;
		len = mesh_encode(&msg, MESH_FORWARD, buf, sizeof(buf));
		if (len)
			mesh_send_to_other_groups(mesh, buf, len, now);
	}
}

/*
 * Whether the difference to the last report can have come since then. Totals
 * from before this VM first heard the sender, and those of a row that the
 * sender has dropped and counts anew, are not new.
 */
static bool is_plausible(const struct tr_flow_report *reported,
			 const struct tr_flow_totals *totals)
{
	uint16_t arrived =
		(uint16_t)(totals->arrived - reported->totals.arrived);

	return arrived <= (reported->known ? ARRIVALS_MAX : FIRST_ARRIVALS_MAX);
}

static void apply_flow(struct mesh *mesh, struct tr_node *node,
		       const struct mesh_flow *in, apr_time_t now)
{
	const struct tr_flow_key key = {
		.service = in->service,
		.organisation = in->organisation,
		.rank = in->rank,
	};
	const struct tr_flow_totals totals = {
		.arrived = (uint16_t)(in->totals >> 16),
		.admitted = (uint16_t)in->totals,
	};
	struct tr_flow_report *reported = tr_node_flow_report(node, &key);
	struct tr_flow *f =
		tr_flows_find_or_add(&mesh->e->admission.flows, &key, now);

	if (f && is_plausible(reported, &totals))
		tr_flow_reported(f, &reported->totals, &totals, now);
	reported->known = true;
	reported->totals = totals;
}

static void apply_rate(struct mesh *mesh, const struct tr_node *node,
		       const struct mesh_flow_rate *in, apr_time_t now)
{
	const struct tr_flow_key key = {
		.service = in->service,
		.organisation = in->organisation,
		.rank = in->rank,
	};
	struct tr_flow *f =
		tr_flows_find_or_add(&mesh->e->admission.flows, &key, now);

	if (f)
		tr_flow_group_reported(f, node->group, in->rate / 100.0, now);
}

/*
 * Handles flows of requests: totals from VMs of this group, rates from other
 * groups.
 */
void mesh_handle_flows(struct mesh *mesh, struct tr_node *node,
		       const struct mesh_message *msg, apr_time_t now)
{
	if (!mesh->e->admission.enabled)
		return;
	for (u_int i = 0; node->near && i < msg->flows.flows_len; i++)
		apply_flow(mesh, node, &msg->flows.flows_val[i], now);
	for (u_int i = 0; !node->near && i < msg->flow_rates.flow_rates_len;
	     i++)
		apply_rate(mesh, node, &msg->flow_rates.flow_rates_val[i], now);
}
