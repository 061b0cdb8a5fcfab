/* Sending of messages: to one VM, to this group, and to one VM of each other
 * group. */
#include <arpa/inet.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/socket.h>

#include "entry_settings.h"
#include "forwarder.h"
#include "mechanism.h"
#include "mesh_internal.h"
#include "reader.h"
#include "vm_capacity.h"

/* Offset of the procedure number in an encoded call (RFC 5531). */
#define PROCEDURE_OFFSET 20

/* Age of the proof in ms, or UINT32_MAX without one. Rounded up, since a proof
 * must never look more recent than it is. */
uint32_t mesh_proof_age(const struct entry *e)
{
	apr_time_t age = tr_proof_age(&e->proof, entry_now(e));

	if (!e->routes || age > TR_MSEC((apr_time_t)UINT32_MAX - 1))
		return UINT32_MAX;
	return (uint32_t)((age + 999) / 1000);
}

static uint32_t own_flags(const struct entry *e, const struct mesh *mesh)
{
	return (e->ready && entry_may_use_keys(e) ? MESH_READY : 0) |
	       (entry_is_leaving(e) ? MESH_LEAVING : 0) |
	       (e->members.nodes[0].cannot_read ? MESH_CANNOT_READ : 0) |
	       (e->members.nodes[0].cut_off ? MESH_CUT_OFF : 0) |
	       (entry_knows_routes(e) ? MESH_KNOWS_ROUTES : 0) |
	       (reader_sees_outage(e->reader) ? MESH_SEES_OUTAGE : 0) |
	       (mesh->list_update ? MESH_LIST_UPDATE : 0);
}

/* Fills in the fields that describe the sender. */
void mesh_fill_header(struct mesh *mesh, struct mesh_message *msg)
{
	struct entry *e = mesh->e;
	uint32_t era = tr_revision_era(e->roster.as_of);

	memset(msg, 0, sizeof(*msg));
	msg->fleet = mesh->fleet;
	msg->sender = e->members.nodes[0].ip;
	msg->boot = e->members.nodes[0].boot;
	msg->sequence = ++mesh->sequence;
	msg->data_centre = e->members.nodes[0].data_centre;
	msg->flags = own_flags(e, mesh) | era << MESH_ERA_SHIFT;
	msg->config_revision =
		e->routes ? tr_revision_number(e->routes->revision) : 0;
	msg->config_order = entry_routes_order(e);
	msg->as_of = tr_revision_number(e->roster.as_of);
	msg->era_start = era == e->roster.era ? e->roster.era_start : 0;
	msg->age_ms = (uint32_t)(entry_view_age(e) / 1000);
	msg->digest = tr_roster_digest(&e->roster);
	msg->fleet_size = tr_membership_size(&e->members);
	msg->proof_age_ms = mesh_proof_age(e);
	msg->capacity =
		tr_vm_capacity(e->settings->cpu_share, e->settings->link_mbps);
	msg->in_hand = e->exchanges_count;
}

/* A datagram that can't be sent is treated as lost. */
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
	char buf[DATAGRAM_MAX];
	size_t len = mesh_encode(msg, procedure, buf, sizeof(buf));

	if (len)
		mesh_send(mesh, ip, buf, len);
}

/* Sends to all other VMs of this group that are in this data centre, or to
 * those in other data centres. */
static void send_in_data_centre(struct mesh *mesh, bool here, const char *buf,
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

/* Sends to one VM of each other data centre of this group, which forwards the
 * message there. */
static void send_to_other_data_centres(struct mesh *mesh, const char *buf,
				       size_t len, apr_time_t now)
{
	struct entry *e = mesh->e;
	const struct tr_node *drawn[TR_FORWARDERS_MAX];
	unsigned n = tr_forwarders_draw(&e->members, &e->random, drawn, now);

	for (unsigned i = 0; i < n; i++)
		mesh_send(mesh, drawn[i]->ip, buf, len);
}

/* Sends to all VMs of this group, and changes of the target list to the other
 * groups too. */
void mesh_broadcast_near(struct mesh *mesh, struct mesh_message *msg,
			 apr_time_t now)
{
	char buf[DATAGRAM_MAX];
	size_t len = mesh_encode(msg, MESH_REPORT, buf, sizeof(buf));

	if (!len)
		return;
	send_in_data_centre(mesh, true, buf, len, now);
	if (!tr_mechanism_enabled(TR_MECH_CENTRE_RELAY)) {
		send_in_data_centre(mesh, false, buf, len, now);
		return;
	}
	len = mesh_encode(msg, MESH_FORWARD, buf, sizeof(buf));
	send_to_other_data_centres(mesh, buf, len, now);
	if (msg->flags & MESH_LIST_UPDATE)
		mesh_send_to_other_groups(mesh, buf, len, now);
}

/* Forwards a message within this data centre, with only the procedure number
 * changed. */
void mesh_forward(struct mesh *mesh, char *buf, size_t len)
{
	uint32_t procedure = htonl(MESH_REPORT);

	memcpy(buf + PROCEDURE_OFFSET, &procedure, sizeof(procedure));
	send_in_data_centre(mesh, true, buf, len, entry_now(mesh->e));
}

/* Returns a random VM of the group, or NULL if there is none; with alive set
 * only VMs that are alive count. */
const struct tr_node *mesh_pick_node(struct mesh *mesh, unsigned group,
				     bool alive, apr_time_t now)
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

/* Sends to one VM of each other live group. */
void mesh_send_to_other_groups(struct mesh *mesh, const char *buf, size_t len,
			       apr_time_t now)
{
	const struct tr_membership *m = &mesh->e->members;

	for (unsigned g = 0; g < m->groups_count; g++) {
		const struct tr_node *node;

		if (g == m->nodes[0].group)
			continue;
		node = mesh_pick_node(mesh, g, true, now);
		if (node)
			mesh_send(mesh, node->ip, buf, len);
	}
}
