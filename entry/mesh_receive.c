/* Handling of messages from other VMs. */
#include "mesh_internal.h"

static void check_list(struct mesh *mesh, struct tr_node *node,
		       const struct mesh_message *msg, apr_time_t now)
{
	const struct tr_list_report reported = {
		.as_of = tr_roster_peer_revision(&mesh->e->roster,
						 msg->flags >> MESH_ERA_SHIFT,
						 msg->as_of),
		.digest = msg->digest,
		.age = TR_MSEC(msg->age_ms),
	};

	if (tr_list_check_compare(&mesh->list_check, &mesh->e->roster,
				  &reported, &mesh->e->random, now))
		pull_targets(&mesh->pull, node->ip);
	if (mesh->e->roster.departures_due)
		mesh_report_departures(mesh);
	mesh->e->roster.departures_due = false;
}

/* Takes over up to where the sender knows the configuration. Only builds that
 * name eras say so, so an era that is missing is not known to the sender. */
static void check_routes(struct mesh *mesh, struct tr_node *node,
			 const struct mesh_message *msg, apr_time_t now)
{
	struct entry *e = mesh->e;
	const struct tr_routes_report reported = {
		.as_of = tr_revision_make(msg->flags >> MESH_ERA_SHIFT,
					  msg->as_of),
		.order = msg->config_order,
	};

	(void)node;
	(void)now;
	if (msg->flags & MESH_KNOWS_ROUTES &&
	    msg->flags >> MESH_ERA_SHIFT <= TR_ERA_MAX &&
	    msg->as_of <= TR_REVISION_NUMBER_MAX)
		tr_routes_view_compare(&e->routes_view, entry_routes_order(e),
				       &reported);
}

/*
 * Returns the place of the sender's configuration among those that VMs
 * announce, 0 for none. A VM of a build that doesn't tell it may hold a later
 * version if its revision is larger, unless the store has returned from a copy.
 */
uint64_t mesh_routes_order(const struct entry *e,
			   const struct mesh_message *msg)
{
	if (msg->config_order || !msg->config_revision ||
	    e->roster.store_returned)
		return msg->config_order;
	if (e->routes &&
	    msg->config_revision <= tr_revision_number(e->routes->revision))
		return 0;
	return entry_routes_order(e) + 1;
}

/* Handlers of the parts of a message, in the order in which they are called.
 * mesh_handle_nodes may move the sender's row, so the handlers after it must
 * not use node. */
static mesh_handler_fn *const handlers[] = {
	mesh_handle_changes, mesh_handle_rows,	 mesh_handle_held,
	mesh_handle_fatals,  mesh_handle_limits, mesh_handle_flows,
	mesh_handle_notices, mesh_handle_proof,	 check_list,
	check_routes,	     mesh_handle_nodes,	 mesh_handle_summary,
};

/* Handles a message of the VM with the address. */
void mesh_handle_message(struct mesh *mesh, const struct mesh_message *msg,
			 uint32_t ip)
{
	struct entry *e = mesh->e;
	struct tr_node_status status = {
		.ip = ip,
		.boot = msg->boot,
		.sequence = msg->sequence,
		.data_centre = msg->data_centre,
		.ready = msg->flags & MESH_READY,
		.leaving = msg->flags & MESH_LEAVING,
		.cannot_read = msg->flags & MESH_CANNOT_READ,
		.sees_outage = msg->flags & MESH_SEES_OUTAGE,
		.cut_off = msg->flags & MESH_CUT_OFF,
		.held = { mesh_routes_order(e, msg), msg->as_of > 0 },
		.capacity = msg->capacity,
		.in_hand = msg->in_hand,
		.fleet_size = msg->fleet_size,
		.proof_age = msg->proof_age_ms == UINT32_MAX
				     ? -1
				     : TR_MSEC(msg->proof_age_ms),
	};
	uint64_t as_of = tr_roster_peer_revision(
		&e->roster, msg->flags >> MESH_ERA_SHIFT, msg->as_of);
	apr_time_t now = entry_now(e);
	struct tr_node *node;
	bool restarted;

	e->counts.messages_in++;
	node = tr_membership_receive(&e->members, &status, now, &restarted);
	if (!node)
		return;
	if (msg->era_start)
		entry_enter_era(e, as_of, msg->era_start, "peer");
	if (restarted) {
		mesh_forget_node(mesh, node, now);
		if (!(msg->flags & MESH_REPLY))
			mesh_contact_node(mesh, ip, true);
	}
	for (size_t i = 0; i < sizeof(handlers) / sizeof(*handlers); i++)
		handlers[i](mesh, node, msg, now);
}
