/* Messages to single VMs: to those that are lost, and the reply to a VM that
 * has just started. */
#include "mesh_internal.h"

/* VMs contacted in one step. A VM that has just started and knows the addresses
 * of its group contacts a hundred in half a second. */
#define CONTACTS_PER_STEP 20

/* Sends a message to one VM. It lists the live VMs of that VM's group, by which
 * a VM that has just started finds it, requests that it must not pass on
 * because they made targets end, and announcements of targets. */
void mesh_contact_node(struct mesh *mesh, uint32_t ip, bool answer)
{
	const struct tr_node *node =
		tr_membership_find_or_add(&mesh->e->members, ip);
	apr_time_t now = entry_now(mesh->e);
	struct mesh_notices notices;
	struct mesh_fatals fatals;
	struct mesh_nodes storage;
	struct mesh_message msg;
	size_t room;

	mesh_fill_header(mesh, &msg);
	msg.flags |= answer ? MESH_REPLY : 0;
	mesh_add_nodes(mesh, &msg, &storage,
		       node->near ? NULL : node->data_centre, MESH_MAX_NODES,
		       now);
	room = DATAGRAM_MAX - HEADER_BYTES - mesh_nodes_size(&msg);
	mesh_add_known_fatals(mesh, &msg, &fatals, room, now);
	room -= mesh_fatals_size(&msg);
	mesh_add_repeated_notices(mesh, &msg, &notices, room, now);
	mesh_send_message(mesh, ip, &msg, MESH_REPORT);
}

/* Contacts some of the VMs that are lost. */
void mesh_contact_lost(struct mesh *mesh, apr_time_t now)
{
	for (int i = 0; i < CONTACTS_PER_STEP; i++) {
		struct tr_node *lost =
			tr_membership_next_lost(&mesh->e->members, now);

		if (!lost)
			return;
		lost->probed_at = now;
		mesh_contact_node(mesh, lost->ip, false);
	}
}
