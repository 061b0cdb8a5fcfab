/* What VMs tell each other of organisations' requests; see lib/limit.c. */
#include "limit.h"
#include "mesh_internal.h"

/* Totals of organisations that have changed since they were told last, going
 * on where the last message ended. */
void mesh_add_uses(struct mesh *mesh, struct mesh_message *msg,
		   struct mesh_use *uses)
{
	struct tr_limits *limits = &mesh->e->limits;

	msg->uses.uses_val = uses;
	for (unsigned i = 0;
	     i < limits->count && msg->uses.uses_len < MESH_MAX_USES; i++) {
		struct tr_limit *l =
			&limits->rows[limits->next_reported++ % limits->count];

		if (!l->changed)
			continue;
		l->changed = false;
		uses[msg->uses.uses_len++] = (struct mesh_use){
			.organisation = l->name,
			.totals = (uint32_t)l->own.arrived << 16 |
				  l->own.admitted,
		};
	}
}

/* Requests a second of this group, as many as there is room for. */
void mesh_add_demands(struct mesh *mesh, struct mesh_message *msg,
		      struct mesh_demand *demands, size_t room, apr_time_t now)
{
	struct tr_limits *limits = &mesh->e->limits;
	unsigned most = (unsigned)(room / sizeof(*demands));

	if (most > MESH_MAX_DEMANDS)
		most = MESH_MAX_DEMANDS;
	msg->demands.demands_val = demands;
	for (unsigned i = 0;
	     i < limits->count && msg->demands.demands_len < most; i++) {
		const struct tr_limit *l =
			&limits->rows[limits->next_demand++ % limits->count];

		if (l->rate <= 0)
			continue;
		demands[msg->demands.demands_len++] = (struct mesh_demand){
			.organisation = l->name,
			.rate = (uint32_t)(tr_limit_demand(l, now) * 100),
		};
	}
}

static void take_use(struct mesh *mesh, struct tr_node *node,
		     const struct mesh_use *in, apr_time_t now)
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
	/* What it counted before this VM listened is old. */
	if (reported->name || tr_node_heard_from_start(node, now))
		tr_limit_reported(l, &mesh->e->limit_bound, &reported->totals,
				  &totals, now);
	reported->name = in->organisation;
	reported->totals = totals;
}

static void take_demand(struct mesh *mesh, const struct tr_node *node,
			const struct mesh_demand *in, apr_time_t now)
{
	struct tr_limit *l = tr_limits_find(&mesh->e->limits, in->organisation);

	if (l)
		tr_limit_group_reported(l, node->group, in->rate / 100.0, now);
}

/* Take in what another VM, or another group, says of organisations. */
void mesh_handle_limits(struct mesh *mesh, struct tr_node *node,
			const struct mesh_message *msg, apr_time_t now)
{
	for (u_int i = 0; node->near && i < msg->uses.uses_len; i++)
		take_use(mesh, node, &msg->uses.uses_val[i], now);
	for (u_int i = 0; !node->near && i < msg->demands.demands_len; i++)
		take_demand(mesh, node, &msg->demands.demands_val[i], now);
}
