/*
 * What this VM and the others of its group tell each other: that they live,
 * what they saw of targets, how many requests they have there, which
 * configuration they hold, and, from those that read the store, what has
 * changed in the list. A message is the same for all, and is encoded once.
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
/* Datagrams read at one wake-up, so that callers get their turn. */
#define DATAGRAMS_A_TURN 64
/* Shortest time between two messages that tell of outcomes, and a VM's part of
 * it: a thousand messages a second arrive at most, whatever the group's size.
 * With half of it 96 VMs spent 0.0141 of a core each on a quiet day, mostly on
 * messages, and the day lost 0.02 of its worth to that; with half as much again
 * 44 VMs let 0.0356 instead of 0.0348 fail. First failures don't wait for it.
 */
#define URGENT_GAP	TR_MSEC(40)
#define URGENT_GAP_A_VM 1000
#define NODES_TOLD	3
/* Lines a second, in the mean, of messages that can't be taken. */
#define REFUSAL_LINES_A_S 0.2
/* How often lost VMs are looked for, more often before this one is ready. */
#define CALL_EVERY TR_MSEC(100)

/* The changes of the list that did not fit into the first message. */
static void tell_more_changes(struct mesh *mesh, uint32_t next, apr_time_t now)
{
	struct mesh_changes changes;
	struct mesh_message msg;

	while (next < mesh->e->roster.count) {
		mesh_fill_head(mesh, &msg);
		msg.flags |= MESH_LISTS;
		mesh_add_changes(mesh, &msg, &changes, &next, now);
		if (mesh_bytes_of_changes(&msg))
			mesh_tell_near(mesh, &msg, now);
	}
}

static void tell_all(struct mesh *mesh)
{
	struct mesh_changes changes;
	struct mesh_row rows[MESH_MAX_ROWS];
	struct mesh_work work[MESH_MAX_WORK];
	struct mesh_use uses[MESH_MAX_USES];
	struct mesh_notices notices;
	struct mesh_fatals fatals;
	struct mesh_nodes nodes;
	apr_time_t now = entry_now(mesh->e);
	struct mesh_message msg;
	bool lists = mesh->lists;
	bool fatal_news = false;
	uint32_t next = 0;
	size_t used;

	mesh_fill_head(mesh, &msg);
	if (lists)
		mesh_add_changes(mesh, &msg, &changes, &next, now);
	mesh_add_nodes(mesh, &msg, &nodes, NULL, NODES_TOLD, now);
	mesh_add_work(mesh, &msg, work);
	mesh_add_uses(mesh, &msg, uses);
	used = BYTES_HEAD + mesh_bytes_of_changes(&msg) +
	       msg.uses.uses_len * sizeof(*uses);
	if (used < DATAGRAM_MOST)
		fatal_news = mesh_add_fatals(mesh, &msg, &fatals,
					     DATAGRAM_MOST - used, now);
	used += mesh_bytes_of_fatals(&msg);
	if (used < DATAGRAM_MOST)
		used += mesh_add_notices(mesh, &msg, &notices,
					 DATAGRAM_MOST - used, now);
	if (used < DATAGRAM_MOST)
		mesh_add_rows(mesh, &msg, rows, DATAGRAM_MOST - used);
	mesh->lists = false;
	mesh->soon = false;
	mesh->reported_at = now;
	mesh_tell_near(mesh, &msg, now);
	if (fatal_news)
		mesh_fatals_to_groups(mesh, &msg, now);
	if (lists)
		tell_more_changes(mesh, next, now);
}

/*
 * A message of another version, or nonsense. During an upgrade the VMs of each
 * version act together and not across; the lines say which VM to look at.
 */
static void refuse_message(struct mesh *mesh, const struct sockaddr_in *from)
{
	char ip[INET_ADDRSTRLEN] = "";

	mesh->e->counts.messages_refused++;
	if (!tr_pacer_allows(&mesh->refusal_lines, REFUSAL_LINES_A_S,
			     entry_now(mesh->e)))
		return;
	tr_pacer_consume(&mesh->refusal_lines, 1);
	inet_ntop(AF_INET, &from->sin_addr, ip, sizeof(ip));
	eventlog(EVENT_FAILURE, "message-refused",
		 "from=%s expected=\"a message of version %d of this fleet\"",
		 ip, MESH_VERSION);
}

static void readable(void *ctx, int fd, int events)
{
	struct mesh *mesh = ctx;
	struct mesh_message msg;
	rpcproc_t procedure;
	char buf[2048];

	(void)events;
	for (int i = 0; i < DATAGRAMS_A_TURN; i++) {
		struct sockaddr_in from = { 0 };
		socklen_t from_len = sizeof(from);
		ssize_t n = recvfrom(fd, buf, sizeof(buf), MSG_DONTWAIT,
				     (struct sockaddr *)&from, &from_len);

		if (n < 0)
			return;
		if (!mesh_decode(buf, (size_t)n, &msg, &procedure) ||
		    msg.fleet != mesh->fleet) {
			refuse_message(mesh, &from);
		} else {
			if (procedure == MESH_HAND_ON)
				mesh_hand_on(mesh, buf, (size_t)n);
			mesh_handle_message(mesh, &msg, msg.sender);
		}
		xdr_free((xdrproc_t)xdr_mesh_message, (char *)&msg);
	}
}

/* Something that others should know soon has changed. */
void mesh_schedule_report(struct mesh *mesh)
{
	mesh->soon = true;
}

/* The list was just read from the store: pass on what changed, and its age. */
void mesh_broadcast_list(struct mesh *mesh)
{
	mesh->lists = true;
	tell_all(mesh);
}

/* Tell at once, without regard to the pace. */
void mesh_broadcast_now(struct mesh *mesh)
{
	tell_all(mesh);
	mesh_away_tell(mesh, entry_now(mesh->e));
}

/* Find the homes of targets that are new, or of all when the groups that live
 * have changed. */
static void find_homes(struct mesh *mesh)
{
	struct tr_roster *roster = &mesh->e->roster;
	const struct tr_membership *m = &mesh->e->members;

	if (!roster->homes_stale && mesh->homes_of == m->generation)
		return;
	roster->homes_stale = false;
	mesh->homes_of = m->generation;
	for (unsigned i = 0; i < roster->count; i++) {
		struct tr_instance *row = &roster->rows[i];

		if (!row->used || row->home_generation == m->generation)
			continue;
		row->home = tr_groups_home(m, row->data_centre, row->hash);
		row->away = row->home != m->nodes[0].group;
		row->home_generation = m->generation;
	}
}

/* Another set of groups lives than before: their targets have other homes. */
static void log_groups(const struct tr_membership *m)
{
	unsigned alive = 0;

	for (unsigned g = 0; g < m->groups_count; g++)
		alive += m->groups[g].alive > 0;
	eventlog(EVENT_BELIEF, "groups",
		 "groups=%u alive=%u near=%u near_alive=%u fleet=%u",
		 m->groups_count, alive, m->near_count,
		 m->groups[m->nodes[0].group].alive, tr_membership_size(m));
}

/* Send what is due; call every 25 ms or so. */
void mesh_step(struct mesh *mesh)
{
	struct tr_membership *m = &mesh->e->members;
	apr_time_t now = entry_now(mesh->e);
	apr_time_t since = now - mesh->reported_at;
	apr_time_t gap = URGENT_GAP;

	if ((apr_time_t)m->near_count * URGENT_GAP_A_VM > gap)
		gap = (apr_time_t)m->near_count * URGENT_GAP_A_VM;
	if (tr_groups_count_alive(m, now) && m->groups_count > 1)
		log_groups(m);
	find_homes(mesh);
	if (!mesh->e->ready || now - mesh->probed_at >= CALL_EVERY) {
		mesh->probed_at = now;
		mesh_call_lost(mesh, now);
		mesh_forget_lost(mesh, now);
	}
	pull_step(&mesh->pull);
	mesh_ask_proof(mesh, now);
	if ((mesh->soon && since >= gap) ||
	    since >= tr_membership_period(m, now))
		tell_all(mesh);
	mesh_away_step(mesh, now);
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

/* Learn the seeds of the settings; they are called like lost VMs. */
void mesh_add_seeds(struct mesh *mesh)
{
	const struct entry_settings *s = mesh->e->settings;
	struct sockaddr_in seed;

	for (unsigned i = 0; i < s->seeds_count; i++)
		if (!stream_parse_address(s->seeds[i], &seed))
			tr_membership_find_or_add(&mesh->e->members,
						  seed.sin_addr.s_addr);
}

/* So that others of the group can ask this VM for what it has pulled. */
static void pulled(struct entry *e)
{
	mesh_broadcast_now(e->mesh);
}

/* Begin to listen and to call the seeds. NULL and err without the port. */
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
	if (pull_open(&mesh->pull, e, address, pulled)) {
		tr_error_set(err, TR_PORT_IN_USE, "peer_port", address,
			     "expected a free TCP port: %s", strerror(errno));
		close(mesh->fd);
		free(mesh);
		return NULL;
	}
	/* Keeps datagrams of another fleet out; it is no secret. */
	mesh->fleet = (uint32_t)tr_hash_string(s->store) ^ s->peer_port;
	mesh_add_seeds(mesh);
	loop_watch(e->loop, mesh->fd, LOOP_READ, readable, mesh);
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
