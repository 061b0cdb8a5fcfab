/* Calls to single VMs: to those that are not heard, and the answer to a VM that
 * has just started. */
#include "mesh_internal.h"

/* VMs called at once: one that has just started and was told of its group calls
 * a hundred in half a second. */
#define CALLS_A_STEP 20

/* Call one VM, with those that this one hears in the other's group, by which a
 * VM that has just started finds it, with the requests that it must not send
 * on, and with what targets said of themselves. */
void mesh_call_one(struct mesh *mesh, uint32_t ip, bool answer)
{
	const struct tr_node *node =
		tr_membership_find_or_add(&mesh->e->members, ip);
	apr_time_t now = entry_now(mesh->e);
	struct mesh_notices notices;
	struct mesh_fatals fatals;
	struct mesh_nodes lists;
	struct mesh_message msg;
	size_t room;

	mesh_fill_head(mesh, &msg);
	msg.flags |= answer ? MESH_ANSWER : 0;
	mesh_add_nodes(mesh, &msg, &lists,
		       node->near ? NULL : node->data_centre, MESH_MAX_NODES,
		       now);
	room = DATAGRAM_MOST - BYTES_HEAD - mesh_bytes_of_nodes(&msg);
	mesh_add_known_fatals(mesh, &msg, &fatals, room, now);
	room -= mesh_bytes_of_fatals(&msg);
	mesh_add_notices_again(mesh, &msg, &notices, room, now);
	mesh_send_message(mesh, ip, &msg, MESH_TELL);
}

/* Call some of the VMs that are lost. */
void mesh_call_lost(struct mesh *mesh, apr_time_t now)
{
	for (int i = 0; i < CALLS_A_STEP; i++) {
		struct tr_node *lost =
			tr_membership_next_lost(&mesh->e->members, now);

		if (!lost)
			return;
		lost->probed_at = now;
		mesh_call_one(mesh, lost->ip, false);
	}
}
