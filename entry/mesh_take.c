/* What is done with another VM's message. */
#include "mesh_internal.h"

static void take_list(struct mesh *mesh, struct tr_node *node,
		      const struct mesh_message *msg, apr_time_t now)
{
	const struct tr_list_report reported = {
		.as_of = msg->as_of,
		.digest = msg->digest,
		.age = TR_MSEC(msg->age_ms),
	};

	if (tr_list_check_compare(&mesh->list_check, &mesh->e->roster,
				  &reported, &mesh->e->random, now))
		pull_targets(&mesh->pull, node->ip);
}

/* What the parts of a message are taken in by, in this order: with the VMs that
 * it names the sender's row may move, so what follows must not look at it. */
static mesh_handler_fn *const takers[] = {
	mesh_handle_changes, mesh_handle_rows,	  mesh_handle_fatals,
	mesh_handle_limits,  mesh_handle_notices, mesh_handle_proof,
	take_list,	     mesh_handle_nodes,	  mesh_handle_summary,
};

/* Take in a message of the VM at the address. */
void mesh_handle_message(struct mesh *mesh, const struct mesh_message *msg,
			 uint32_t ip)
{
	struct entry *e = mesh->e;
	struct tr_node_status news = {
		.ip = ip,
		.boot = msg->boot,
		.sequence = msg->sequence,
		.data_centre = msg->data_centre,
		.ready = msg->flags & MESH_READY,
		.leaving = msg->flags & MESH_LEAVING,
		.cannot_read = msg->flags & MESH_CANNOT_READ,
		.held = { msg->config_revision, msg->as_of > 0 },
		.fleet_size = msg->fleet_size,
		.proof_age = msg->proof_age_ms == UINT32_MAX
				     ? -1
				     : TR_MSEC(msg->proof_age_ms),
	};
	apr_time_t now = entry_now(e);
	struct tr_node *node;
	bool restarted;

	e->counts.messages_in++;
	node = tr_membership_receive(&e->members, &news, now, &restarted);
	if (!node)
		return;
	if (restarted) {
		mesh_forget_node(mesh, node, now);
		if (!(msg->flags & MESH_ANSWER))
			mesh_call_one(mesh, ip, true);
	}
	for (size_t i = 0; i < sizeof(takers) / sizeof(*takers); i++)
		takers[i](mesh, node, msg, now);
}
