/* How messages go out: to one VM, to this group, to one of each other group. */
#include <arpa/inet.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/socket.h>

#include "entry_settings.h"
#include "mechanism.h"
#include "mesh_internal.h"

#define CENTRES_MOST 64
/* Where the procedure's number stands in an encoded call (RFC 5531). */
#define PROCEDURE_AT 20

/* In ms, rounded up, since a proof must never look younger than it is;
 * UINT32_MAX is none. */
uint32_t mesh_proof_age(const struct entry *e)
{
	apr_time_t age = tr_proof_age(&e->proof, entry_now(e));

	if (!e->routes || age > TR_MSEC((apr_time_t)UINT32_MAX - 1))
		return UINT32_MAX;
	return (uint32_t)((age + 999) / 1000);
}

static uint32_t own_flags(const struct entry *e, const struct mesh *mesh)
{
	return (e->ready && entry_vouches(e) ? MESH_READY : 0) |
	       (e->leaving ? MESH_LEAVING : 0) |
	       (e->members.nodes[0].cannot_read ? MESH_CANNOT_READ : 0) |
	       (mesh->lists ? MESH_LISTS : 0);
}

/* What every message says of its sender. */
void mesh_fill_head(struct mesh *mesh, struct mesh_message *msg)
{
	struct entry *e = mesh->e;

	memset(msg, 0, sizeof(*msg));
	msg->fleet = mesh->fleet;
	msg->sender = e->members.nodes[0].ip;
	msg->boot = e->members.nodes[0].boot;
	msg->sequence = ++mesh->sequence;
	msg->data_centre = e->members.nodes[0].data_centre;
	msg->flags = own_flags(e, mesh);
	msg->config_revision = e->routes ? e->routes->revision : 0;
	msg->as_of = e->roster.as_of;
	msg->age_ms = (uint32_t)(entry_view_age(e) / 1000);
	msg->digest = tr_roster_digest(&e->roster);
	msg->fleet_size = tr_membership_size(&e->members);
	msg->proof_age_ms = mesh_proof_age(e);
}

/* A datagram that can't be sent is one that is lost. */
void mesh_send(struct mesh *mesh, uint32_t ip, const char *buf, size_t len)
{
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)mesh->e->settings->peer_port),
		.sin_addr.s_addr = ip,
	};

	if (sendto(mesh->fd, buf, len, 0, (struct sockaddr *)&to, sizeof(to)) >
	    0)
		mesh->e->counts.messages_out++;
}

void mesh_send_message(struct mesh *mesh, uint32_t ip, struct mesh_message *msg,
		       rpcproc_t procedure)
{
	char buf[DATAGRAM_MOST];
	size_t len = mesh_encode(msg, procedure, buf, sizeof(buf));

	if (len)
		mesh_send(mesh, ip, buf, len);
}

/* To all other VMs of this group that are in this data centre, or in others. */
static void tell_where(struct mesh *mesh, bool here, const char *buf,
		       size_t len, apr_time_t now)
{
	const struct tr_membership *m = &mesh->e->members;

	for (unsigned i = 1; i < m->count; i++) {
		const struct tr_node *node = &m->nodes[i];

		if (node->near && node->here == here &&
		    tr_node_alive(m, node, now))
			mesh_send(mesh, node->ip, buf, len);
	}
}

/*
 * To one VM of each other data centre of this group, which hands it on there:
 * bytes between data centres are dear, and fall by the number of VMs in one.
 * Which VM is drawn anew each time, so that one that is dead or frozen costs a
 * message of many, and totals make up for it.
 */
static void tell_other_centres(struct mesh *mesh, const char *buf, size_t len,
			       apr_time_t now)
{
	const struct tr_membership *m = &mesh->e->members;
	const struct tr_node *drawn[CENTRES_MOST];
	unsigned seen[CENTRES_MOST];
	unsigned n = 0;

	for (unsigned i = 1; i < m->count; i++) {
		const struct tr_node *node = &m->nodes[i];
		unsigned c = 0;

		if (!node->near || node->here || !tr_node_alive(m, node, now))
			continue;
		while (c < n &&
		       strcmp(drawn[c]->data_centre, node->data_centre) != 0)
			c++;
		if (c == CENTRES_MOST)
			continue;
		if (c == n) {
			drawn[n] = node;
			seen[n++] = 0;
		}
		if (!tr_random_below(&mesh->e->random, ++seen[c]))
			drawn[c] = node;
	}
	for (unsigned c = 0; c < n; c++)
		mesh_send(mesh, drawn[c]->ip, buf, len);
}

/* To all VMs of this group; a list's changes to the other groups too. */
void mesh_tell_near(struct mesh *mesh, struct mesh_message *msg, apr_time_t now)
{
	char buf[DATAGRAM_MOST];
	size_t len = mesh_encode(msg, MESH_TELL, buf, sizeof(buf));

	if (!len)
		return;
	tell_where(mesh, true, buf, len, now);
	if (!tr_mechanism_enabled(TR_MECH_CENTRE_RELAY)) {
		tell_where(mesh, false, buf, len, now);
		return;
	}
	len = mesh_encode(msg, MESH_HAND_ON, buf, sizeof(buf));
	tell_other_centres(mesh, buf, len, now);
	if (msg->flags & MESH_LISTS)
		mesh_to_other_groups(mesh, buf, len, now);
}

/* A message to be handed on, as it came but for the procedure. */
void mesh_hand_on(struct mesh *mesh, char *buf, size_t len)
{
	uint32_t procedure = htonl(MESH_TELL);

	memcpy(buf + PROCEDURE_AT, &procedure, sizeof(procedure));
	tell_where(mesh, true, buf, len, entry_now(mesh->e));
}

/* One VM of the group; alive: one that is heard of. NULL if there is none. */
const struct tr_node *mesh_draw(struct mesh *mesh, unsigned group, bool alive,
				apr_time_t now)
{
	const struct tr_membership *m = &mesh->e->members;
	const struct tr_node *found = NULL;
	unsigned seen = 0;

	for (unsigned i = 1; i < m->count; i++) {
		const struct tr_node *node = &m->nodes[i];

		if (node->group != group ||
		    (alive && !tr_node_alive(m, node, now)))
			continue;
		if (!tr_random_below(&mesh->e->random, ++seen))
			found = node;
	}
	return found;
}

/* To one VM of each other group that lives. */
void mesh_to_other_groups(struct mesh *mesh, const char *buf, size_t len,
			  apr_time_t now)
{
	const struct tr_membership *m = &mesh->e->members;

	for (unsigned g = 0; g < m->groups_count; g++) {
		const struct tr_node *node;

		if (g == m->nodes[0].group)
			continue;
		node = mesh_draw(mesh, g, true, now);
		if (node)
			mesh_send(mesh, node->ip, buf, len);
	}
}
