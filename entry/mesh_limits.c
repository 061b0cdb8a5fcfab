/* Messages about organisations' requests; see lib/limit.c. */
#include "limit.h"
#include "mesh_internal.h"

/* Adds the totals of organisations that have changed since they were last sent,
 * continuing where the last message ended. */
void mesh_add_usage(struct mesh *mesh, struct mesh_message *msg,
		    struct mesh_usage *usage)
{
	struct tr_limits *limits = &mesh->e->limits;

	msg->usage.usage_val = usage;
	for (unsigned i = 0;
	     i < limits->count && msg->usage.usage_len < MESH_MAX_USAGE; i++) {
		struct tr_limit *l =
			&limits->rows[limits->next_reported++ % limits->count];

		if (!l->changed)
			continue;
		l->changed = false;
		usage[msg->usage.usage_len++] = (struct mesh_usage){
			.organisation = l->name,
			.totals = (uint32_t)l->own.arrived << 16 |
				  l->own.admitted,
		};
	}
}

static void add_demand(struct mesh_message *msg, struct mesh_demand *demands,
		       const struct tr_limit *l, apr_time_t now)
{
	demands[msg->demands.demands_len++] = (struct mesh_demand){
		.organisation = l->name,
		.rate = (uint32_t)(tr_limit_demand(l, now) * 100),
	};
}

/*
 * Adds this group's request rates, as many as fit into room bytes: those of
 * organisations that ask for more than their limit, then others from a random
 * row on. The VMs of a group take turns that are seconds apart, so a row at
 * which each VM would continue says nothing of what the others sent: rates of
 * some organisations were not told for seconds, and each group then took the
 * whole limit.
 */
void mesh_add_demands(struct mesh *mesh, struct mesh_message *msg,
		      struct mesh_demand *demands, size_t room, apr_time_t now)
{
	const struct tr_limits *limits = &mesh->e->limits;
	unsigned max = (unsigned)(room / sizeof(*demands));
	unsigned first;

	if (max > MESH_MAX_DEMANDS)
		max = MESH_MAX_DEMANDS;
	msg->demands.demands_val = demands;
	if (!limits->count)
		return;
	first = tr_random_below(&mesh->e->random, limits->count);
	for (int pass = 0; pass < 2; pass++) {
		for (unsigned i = 0;
		     i < limits->count && msg->demands.demands_len < max; i++) {
			const struct tr_limit *l =
				&limits->rows[(first + i) % limits->count];
			bool floods = tr_limit_is_flooded(l, now);

			if (l->rate > 0 && floods == !pass)
				add_demand(msg, demands, l, now);
		}
	}
}

static void apply_usage(struct mesh *mesh, struct tr_node *node,
			const struct mesh_usage *in, apr_time_t now)
{
	struct tr_limit *l = tr_limits_find(&mesh->e->limits, in->organisation);
	const struct tr_limit_totals totals = {
		.arrived = (uint16_t)(in->totals >> 16),
		.admitted = (uint16_t)in->totals,
	};
	struct tr_limit_report *reported;

	if (!l)
		return;
	reported = tr_node_limit_report(node, in->organisation);
	/* Totals from before this VM first heard the sender are not new. */
	if (reported->name || tr_node_heard_from_start(node, now))
		tr_limit_reported(l, &mesh->e->limit_bound, &reported->totals,
				  &totals, now);
	reported->name = in->organisation;
	reported->totals = totals;
}

static void apply_demand(struct mesh *mesh, const struct tr_node *node,
			 const struct mesh_demand *in, apr_time_t now)
{
	struct tr_limit *l = tr_limits_find(&mesh->e->limits, in->organisation);

	if (l)
		tr_limit_group_reported(l, node->group, in->rate / 100.0, now);
}

/* Takes note that a VM of the group has reported, also for the organisations
 * whose totals are not in its message. */
static void note_report(struct mesh *mesh, const struct tr_node *node,
			apr_time_t now)
{
	struct tr_limits *limits = &mesh->e->limits;

	for (unsigned i = 0; i < limits->count; i++) {
		struct tr_report_age *reports = &limits->rows[i].reports;

		if (reports->heard_at != now)
			tr_report_age_heard(reports, now);
		tr_report_age_missed(reports, node->missed);
	}
}

/* Handles organisations' requests: totals from VMs of this group, rates from
 * other groups. */
void mesh_handle_limits(struct mesh *mesh, struct tr_node *node,
			const struct mesh_message *msg, apr_time_t now)
{
	for (u_int i = 0; node->near && i < msg->usage.usage_len; i++)
		apply_usage(mesh, node, &msg->usage.usage_val[i], now);
	if (node->near)
		note_report(mesh, node, now);
	for (u_int i = 0; !node->near && i < msg->demands.demands_len; i++)
		apply_demand(mesh, node, &msg->demands.demands_val[i], now);
}
