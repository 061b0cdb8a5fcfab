/*
 * Messages between this VM and the other VMs of its group: that it is alive,
 * what it has observed at targets, its requests in flight there, which
 * configuration it holds, and, from VMs that read the store, changes of the
 * target list. All VMs get the same message, which is encoded once.
 */
#include "mesh.h"

#include <arpa/inet.h>
#include <errno.h>
#include <rpc/rpc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "entry_settings.h"
#include "error.h"
#include "eventlog.h"
#include "group.h"
#include "mesh_internal.h"

#define SOCKET_BUFFER (512 * 1024)
/* Datagrams read per wake-up, so that requests of callers are not delayed. */
#define DATAGRAMS_PER_WAKEUP 64
/* Minimum time between two messages about outcomes, as a constant and per VM of
 * the group: at most a thousand messages a second arrive, whatever the group's
 * size. With half of the time, 96 VMs at low load spent 0.0141 of a core each,
 * mostly on messages, which cost 0.02 of the operators' score; with half as
 * much again, 0.0356 instead of 0.0348 of the requests failed with 44 VMs. The
 * first failure of a target is sent without this delay. */
#define URGENT_GAP	  TR_MSEC(40)
#define URGENT_GAP_PER_VM 1000
#define NODES_ADVERTISED  3
/* Log lines a second, on average, about messages that are rejected. */
#define REFUSAL_LINES_PER_S 0.2
/* Interval at which lost VMs are contacted; a VM that is not ready yet does so
 * in every step. */
#define CONTACT_INTERVAL TR_MSEC(100)

/* Sends the list changes that did not fit into the first message. */
static void broadcast_more_changes(struct mesh *mesh, uint32_t next,
				   apr_time_t now)
{
	struct mesh_changes changes;
	struct mesh_message msg;

	while (next < mesh->e->roster.count) {
		mesh_fill_header(mesh, &msg);
		msg.flags |= MESH_LIST_UPDATE;
		mesh_add_changes(mesh, &msg, &changes, &next, now);
		if (mesh_changes_size(&msg))
			mesh_broadcast_near(mesh, &msg, now);
	}
}

static void broadcast(struct mesh *mesh)
{
	struct mesh_changes changes;
	struct mesh_row rows[MESH_MAX_ROWS];
	struct mesh_work work[MESH_MAX_WORK];
	struct mesh_usage usage[MESH_MAX_USAGE];
	struct mesh_flow flows[MESH_MAX_FLOWS];
	struct mesh_notices notices;
	struct mesh_held held[MESH_MAX_HELD];
	struct mesh_fatals fatals;
	struct mesh_nodes nodes;
	apr_time_t now = entry_now(mesh->e);
	struct mesh_message msg;
	bool list_update = mesh->list_update;
	bool fatal_news = false;
	uint32_t next = 0;
	size_t used;

	mesh_fill_header(mesh, &msg);
	if (list_update)
		mesh_add_changes(mesh, &msg, &changes, &next, now);
	mesh_add_nodes(mesh, &msg, &nodes, NULL, NODES_ADVERTISED, now);
	mesh_add_work(mesh, &msg, work);
	mesh_add_usage(mesh, &msg, usage);
	used = HEADER_BYTES + mesh_changes_size(&msg) +
	       msg.usage.usage_len * sizeof(*usage);
	if (used < DATAGRAM_MAX)
		fatal_news = mesh_add_fatals(mesh, &msg, &fatals,
					     DATAGRAM_MAX - used, now);
	used += mesh_fatals_size(&msg);
	if (used < DATAGRAM_MAX)
		used += mesh_add_notices(mesh, &msg, &notices,
					 DATAGRAM_MAX - used, now);
	if (used < DATAGRAM_MAX)
		mesh_add_flows(mesh, &msg, flows, (DATAGRAM_MAX - used) / 2);
	used += msg.flows.flows_len * sizeof(*flows);
	if (used < DATAGRAM_MAX)
		used += mesh_add_held(mesh, &msg, held, DATAGRAM_MAX - used);
	if (used < DATAGRAM_MAX)
		mesh_add_rows(mesh, &msg, rows, DATAGRAM_MAX - used);
	mesh->list_update = false;
	mesh->report_due = false;
	mesh->reported_at = now;
	mesh_broadcast_near(mesh, &msg, now);
	if (fatal_news)
		mesh_send_fatals_to_groups(mesh, &msg, now);
	if (list_update)
		broadcast_more_changes(mesh, next, now);
}

/*
 * Counts and logs a message of another version or fleet, or a malformed one.
 * During an upgrade the VMs of each version form a mesh of their own; the log
 * lines show which VMs have the other version.
 */
static void reject_message(struct mesh *mesh, const struct sockaddr_in *from)
{
	char ip[INET_ADDRSTRLEN] = "";

	mesh->e->counts.messages_refused++;
	if (!tr_pacer_allows(&mesh->rejection_log_pacer, REFUSAL_LINES_PER_S,
			     entry_now(mesh->e)))
		return;
	tr_pacer_consume(&mesh->rejection_log_pacer, 1);
	inet_ntop(AF_INET, &from->sin_addr, ip, sizeof(ip));
	eventlog(EVENT_FAILURE, "message-refused",
		 "from=%s expected=\"a message of version %d of this fleet\"",
		 ip, MESH_VERSION);
}

static void handle_readable(void *ctx, int fd, int events)
{
	struct mesh *mesh = ctx;
	struct mesh_message msg;
	rpcproc_t procedure;
	char buf[2048 + MESH_TAIL_BYTES];

	(void)events;
	for (int i = 0; i < DATAGRAMS_PER_WAKEUP; i++) {
		struct sockaddr_in from = { 0 };
		socklen_t from_len = sizeof(from);
		ssize_t n = recvfrom(fd, buf, sizeof(buf) - MESH_TAIL_BYTES,
				     MSG_DONTWAIT, (struct sockaddr *)&from,
				     &from_len);

		if (n < 0)
			return;
		if (!mesh_decode(buf, (size_t)n, &msg, &procedure) ||
		    msg.fleet != mesh->fleet) {
			reject_message(mesh, &from);
		} else {
			if (procedure == MESH_FORWARD)
				mesh_forward(mesh, buf, (size_t)n);
			mesh_handle_message(mesh, &msg, msg.sender);
		}
		xdr_free((xdrproc_t)xdr_mesh_message, (char *)&msg);
	}
}

/* Schedules a broadcast, subject to the minimum gap between messages. */
void mesh_schedule_report(struct mesh *mesh)
{
	mesh->report_due = true;
}

/* Broadcasts the changes and the age of a list just read from the store. */
void mesh_broadcast_list(struct mesh *mesh)
{
	mesh->list_update = true;
	broadcast(mesh);
}

/* Schedules a broadcast of recent changes of the list, which this VM knows
 * though it did not read them from the store. */
void mesh_report_departures(struct mesh *mesh)
{
	mesh->list_update = true;
	mesh_schedule_report(mesh);
}

/* Broadcasts without regard to the minimum gap, and reports to other groups. */
void mesh_broadcast_now(struct mesh *mesh)
{
	broadcast(mesh);
	mesh_report_to_groups(mesh, entry_now(mesh->e));
}

/* Assigns each new target to its home group, or all targets once the set of
 * live groups has changed. */
static void assign_homes(struct mesh *mesh)
{
	struct tr_roster *roster = &mesh->e->roster;
	const struct tr_membership *m = &mesh->e->members;

	if (!roster->homes_stale && mesh->homes_generation == m->generation)
		return;
	roster->homes_stale = false;
	mesh->homes_generation = m->generation;
	for (unsigned i = 0; i < roster->count; i++) {
		struct tr_instance *row = &roster->rows[i];

		if (!row->used || row->home_generation == m->generation)
			continue;
		row->home = tr_groups_home(m, row->data_centre, row->hash);
		row->remote = row->home != m->nodes[0].group;
		row->home_generation = m->generation;
	}
}

/* Logged when the set of live groups has changed, and with it the home groups
 * of targets. */
static void log_groups(const struct tr_membership *m)
{
	unsigned alive = 0;

	for (unsigned g = 0; g < m->groups_count; g++)
		alive += m->groups[g].alive > 0;
	eventlog(EVENT_STATE, "groups",
		 "groups=%u alive=%u near=%u near_alive=%u fleet=%u",
		 m->groups_count, alive, m->near_count,
		 m->groups[m->nodes[0].group].alive, tr_membership_size(m));
}

/* Sends what is due. To be called every 25 ms or so. */
void mesh_step(struct mesh *mesh)
{
	struct tr_membership *m = &mesh->e->members;
	apr_time_t now = entry_now(mesh->e);
	apr_time_t since = now - mesh->reported_at;
	apr_time_t gap = URGENT_GAP;

	if ((apr_time_t)m->near_count * URGENT_GAP_PER_VM > gap)
		gap = (apr_time_t)m->near_count * URGENT_GAP_PER_VM;
	if (tr_groups_count_alive(m, now) && m->groups_count > 1)
		log_groups(m);
	assign_homes(mesh);
	if (!mesh->e->ready || now - mesh->contacted_at >= CONTACT_INTERVAL) {
		mesh->contacted_at = now;
		mesh_contact_lost(mesh, now);
		mesh_forget_lost(mesh, now);
	}
	pull_step(&mesh->pull);
	mesh_request_proof(mesh, now);
	if ((mesh->report_due && since >= gap) ||
	    since >= tr_membership_period(m, now))
		broadcast(mesh);
	mesh_groups_step(mesh, now);
}

static int open_socket(const struct entry_settings *s)
{
	struct sockaddr_in addr = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)s->peer_port),
	};
	int size = SOCKET_BUFFER;
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	inet_pton(AF_INET, s->ip, &addr.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (!bind(fd, (struct sockaddr *)&addr, sizeof(addr)))
		return fd;
	close(fd);
	return -1;
}

/* Adds the seeds of the settings, which are contacted like lost VMs. */
void mesh_add_seeds(struct mesh *mesh)
{
	const struct entry_settings *s = mesh->e->settings;
	struct sockaddr_in seed;

	for (unsigned i = 0; i < s->seeds_count; i++)
		if (!stream_parse_address(s->seeds[i], &seed))
			tr_membership_find_or_add(&mesh->e->members,
						  seed.sin_addr.s_addr);
}

/* Announces what was pulled, so that others of the group can fetch it here. */
static void handle_pulled(struct entry *e)
{
	mesh_broadcast_now(e->mesh);
}

/* Opens the sockets and adds the seeds. Returns NULL and sets err if a port is
 * in use. */
struct mesh *mesh_open(struct entry *e, struct tr_error *err)
{
	struct mesh *mesh = calloc(1, sizeof(*mesh));
	const struct entry_settings *s = e->settings;
	char address[64];

	mesh->e = e;
	mesh->fd = open_socket(s);
	if (mesh->fd < 0) {
		free(mesh);
		tr_error_set(err, TR_PORT_IN_USE, "peer_port", s->ip,
			     "expected a free UDP port %u: %s", s->peer_port,
			     strerror(errno));
		return NULL;
	}
	snprintf(address, sizeof(address), "%s:%u", s->ip, s->peer_port);
	if (pull_open(&mesh->pull, e, address, handle_pulled)) {
		tr_error_set(err, TR_PORT_IN_USE, "peer_port", address,
			     "expected a free TCP port: %s", strerror(errno));
		close(mesh->fd);
		free(mesh);
		return NULL;
	}
	/* Rejects datagrams of another fleet; not a secret. */
	mesh->fleet = (uint32_t)tr_hash_string(s->store) ^ s->peer_port;
	mesh_add_seeds(mesh);
	loop_watch(e->loop, mesh->fd, LOOP_READ, handle_readable, mesh);
	return mesh;
}

void mesh_close(struct mesh *mesh)
{
	if (!mesh)
		return;
	loop_unwatch(mesh->e->loop, mesh->fd);
	close(mesh->fd);
	pull_release(&mesh->pull);
	free(mesh);
}
