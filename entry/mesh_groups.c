/*
 * Messages between the groups of a large fleet. A few times a second one VM of
 * a group, in turn, sends every other group a summary: the VMs of its group,
 * and the state of its targets. A VM that has sent requests to another group's
 * target also reports them to that group, which counts them like its own. Each
 * message goes to one random VM of the other group, which forwards it within
 * its data centre; so no VM represents its group, and none has to be replaced.
 */
#include <string.h>

#include "entry_settings.h"
#include "group.h"
#include "mesh_internal.h"

/* Interval between two summaries from one group to another, so that the state
 * of another group's targets is no older than a request takes. The cost grows
 * with the number of groups: each of 12 groups receives 44 summaries a second,
 * of 1,300 bytes. */
#define SUMMARY_INTERVAL TR_MSEC(250)
/* Minimum time between two reports on requests at other groups' targets. */
#define GROUP_REPORT_INTERVAL TR_MSEC(50)
/* Size of the entries of a summary, in XDR bytes. */
#define MEMBER_BYTES 4
#define STATE_BYTES  8
/* Rows that fit into a report together with the bytes held at their targets. */
#define ROWS_WITH_HELD                   \
	((DATAGRAM_MAX - HEADER_BYTES) / \
	 (sizeof(struct mesh_row) + sizeof(struct mesh_held)))
/* VMs of the receiving group that a summary lists, for VMs of that group that
 * have just started and know only the receiver. */
#define SUMMARY_NODES 8

static void add_members(const struct mesh *mesh, struct mesh_message *msg,
			uint32_t *members, struct mesh_member *not_ready,
			apr_time_t now)
{
	const struct tr_membership *m = &mesh->e->members;

	msg->members.members_val = members;
	msg->not_ready.not_ready_val = not_ready;
	for (unsigned i = 0; i < m->count; i++) {
		const struct tr_node *node = &m->nodes[i];

		if (!node->near || !tr_node_alive(m, node, now))
			continue;
		if (tr_node_takes_callers(m, node, now) && !node->cannot_read &&
		    !node->cut_off) {
			if (msg->members.members_len < MESH_MAX_MEMBERS)
				members[msg->members.members_len++] = node->ip;
		} else if (msg->not_ready.not_ready_len < MESH_MAX_MEMBERS) {
			not_ready[msg->not_ready.not_ready_len++] =
				(struct mesh_member){
					.ip = node->ip,
					.flags = (node->leaving ? MESH_LEAVING
								: 0) |
						 (node->cannot_read
							  ? MESH_CANNOT_READ
							  : 0) |
						 (node->cut_off ? MESH_CUT_OFF
								: 0),
				};
		}
	}
}

/* Adds the state of as many of the group's targets as fit, continuing where the
 * last message ended. */
static void add_states(struct mesh *mesh, struct mesh_message *msg,
		       struct mesh_state *states, size_t room, apr_time_t now)
{
	const struct tr_roster *roster = &mesh->e->roster;
	unsigned max = (unsigned)(room / STATE_BYTES);

	if (max > MESH_MAX_STATES)
		max = MESH_MAX_STATES;
	msg->states.states_val = states;
	for (unsigned i = 0; i < roster->count && msg->states.states_len < max;
	     i++) {
		const struct tr_instance *row =
			&roster->rows[mesh->next_state++ % roster->count];
		double risk = tr_gray_probability(&row->gray, now);

		if (row->remote || !tr_instance_serves(row, now))
			continue;
		states[msg->states.states_len++] = (struct mesh_state){
			.target = row->hash,
			.risk_and_in_flight =
				(uint32_t)(risk * 1000) << 16 |
				(tr_instance_in_flight(row, now) & UINT16_MAX),
		};
	}
}

static void list_nodes(struct mesh *mesh, struct mesh_message *msg,
		       unsigned group, struct mesh_data_centre *dc,
		       uint32_t *nodes, apr_time_t now)
{
	const struct tr_membership *m = &mesh->e->members;

	*dc = (struct mesh_data_centre){
		.name = m->groups[group].data_centre,
		.nodes = { .nodes_val = nodes },
	};
	for (int i = 0; i < SUMMARY_NODES; i++) {
		const struct tr_node *node =
			mesh_pick_node(mesh, group, true, now);

		if (node)
			nodes[dc->nodes.nodes_len++] = node->ip;
	}
	msg->data_centres.data_centres_val = dc;
	msg->data_centres.data_centres_len = 1;
}

/*
 * Sends a summary to each other group. A group without a live VM is contacted
 * through any VM that it had: that way VMs that return without a seed are
 * found.
 */
static void send_summaries(struct mesh *mesh, apr_time_t now)
{
	const struct tr_membership *m = &mesh->e->members;
	struct mesh_member not_ready[MESH_MAX_MEMBERS];
	struct mesh_state states[MESH_MAX_STATES];
	struct mesh_demand demands[MESH_MAX_DEMANDS];
	struct mesh_notices notices;
	struct mesh_fatals fatals;
	uint32_t members[MESH_MAX_MEMBERS];
	uint32_t nodes[SUMMARY_NODES];
	struct mesh_data_centre dc;
	struct mesh_message msg;
	size_t used;

	mesh_fill_header(mesh, &msg);
	add_members(mesh, &msg, members, not_ready, now);
	used = HEADER_BYTES + DATA_CENTRE_BYTES + SUMMARY_NODES * MEMBER_BYTES +
	       msg.members.members_len * MEMBER_BYTES +
	       msg.not_ready.not_ready_len * sizeof(struct mesh_member);
	if (used < DATAGRAM_MAX)
		mesh_add_demands(mesh, &msg, demands, (DATAGRAM_MAX - used) / 2,
				 now);
	used += msg.demands.demands_len * sizeof(*demands);
	if (used < DATAGRAM_MAX)
		mesh_add_fatals(mesh, &msg, &fatals, DATAGRAM_MAX - used, now);
	used += mesh_fatals_size(&msg);
	if (used < DATAGRAM_MAX)
		used += mesh_add_repeated_notices(mesh, &msg, &notices,
						  DATAGRAM_MAX - used, now);
	if (used < DATAGRAM_MAX)
		add_states(mesh, &msg, states, DATAGRAM_MAX - used, now);
	for (unsigned g = 0; g < m->groups_count; g++) {
		const struct tr_node *to;

		if (g == m->nodes[0].group)
			continue;
		to = mesh_pick_node(mesh, g, m->groups[g].alive > 0, now);
		if (!to)
			continue;
		list_nodes(mesh, &msg, g, &dc, nodes, now);
		mesh_send_message(mesh, to->ip, &msg, MESH_FORWARD);
	}
	/* After the summary: VMs drop a message with an earlier sequence number
	 * than the last one. */
	mesh_send_flow_rates(mesh, now);
}

/* Reports the outcomes and requests in flight at a group's targets to it. */
static void report_to_group(struct mesh *mesh, unsigned group, apr_time_t now)
{
	struct tr_roster *roster = &mesh->e->roster;
	const struct tr_node *to = mesh_pick_node(mesh, group, true, now);
	struct mesh_row rows[MESH_MAX_ROWS];
	struct mesh_held held[MESH_MAX_HELD];
	struct mesh_message msg;

	unsigned max = MESH_MAX_ROWS;

	mesh_fill_header(mesh, &msg);
	if (mesh->e->settings->bound_target_bytes)
		max = ROWS_WITH_HELD;
	msg.rows.rows_val = rows;
	for (unsigned i = 0; i < roster->count && msg.rows.rows_len < max;
	     i++) {
		struct tr_instance *row = &roster->rows[i];

		if (!row->used || !row->dirty_remote || row->home != group)
			continue;
		row->dirty_remote = false;
		mesh_fill_row(&rows[msg.rows.rows_len++], row);
		mesh_add_held_at(mesh, &msg, held, row);
	}
	if (to && msg.rows.rows_len)
		mesh_send_message(mesh, to->ip, &msg, MESH_FORWARD);
}

/* Reports to the groups whose targets this VM has sent requests to. */
void mesh_report_to_groups(struct mesh *mesh, apr_time_t now)
{
	struct tr_roster *roster = &mesh->e->roster;

	if (!roster->remote_changed)
		return;
	roster->remote_changed = false;
	mesh->groups_reported_at = now;
	for (unsigned i = 0; i < roster->count; i++) {
		const struct tr_instance *row = &roster->rows[i];

		if (row->used && row->remote && row->dirty_remote)
			report_to_group(mesh, row->home, now);
	}
}

/* Sends what is due to other groups. */
void mesh_groups_step(struct mesh *mesh, apr_time_t now)
{
	const struct tr_membership *m = &mesh->e->members;
	unsigned near;
	apr_time_t turn;

	if (m->groups_count == 1)
		return;
	if (now - mesh->groups_reported_at >= GROUP_REPORT_INTERVAL)
		mesh_report_to_groups(mesh, now);
	if (now < mesh->summary_at)
		return;
	near = m->groups[m->nodes[0].group].alive;
	turn = SUMMARY_INTERVAL * (near ? near : 1);
	/* Random between half and one and a half of the usual time, so that the
	 * VMs' turns spread out. */
	if (mesh->summary_at)
		send_summaries(mesh, now);
	mesh->summary_at =
		now + turn / 2 +
		(apr_time_t)((double)turn * tr_random_unit(&mesh->e->random));
}

static void apply_member(struct mesh *mesh, const struct mesh_message *msg,
			 uint32_t ip, bool ready, uint32_t flags,
			 apr_time_t now)
{
	const struct tr_node_status status = {
		.ip = ip,
		.data_centre = msg->data_centre,
		.ready = ready,
		.leaving = flags & MESH_LEAVING,
		.cannot_read = flags & MESH_CANNOT_READ,
		.cut_off = flags & MESH_CUT_OFF,
	};

	tr_membership_receive_indirect(&mesh->e->members, &status, now);
}

/* Handles another group's summary of its VMs and targets. */
void mesh_handle_summary(struct mesh *mesh, struct tr_node *node,
			 const struct mesh_message *msg, apr_time_t now)
{
	(void)node;
	for (u_int i = 0; i < msg->members.members_len; i++)
		apply_member(mesh, msg, msg->members.members_val[i], true, 0,
			     now);
	for (u_int i = 0; i < msg->not_ready.not_ready_len; i++) {
		const struct mesh_member *o = &msg->not_ready.not_ready_val[i];

		apply_member(mesh, msg, o->ip, false, o->flags, now);
	}
	for (u_int i = 0; i < msg->states.states_len; i++) {
		const struct mesh_state *s = &msg->states.states_val[i];
		struct tr_instance *row =
			tr_roster_by_hash(&mesh->e->roster, s->target);

		if (row && row->remote)
			tr_roster_apply_report(
				row, (s->risk_and_in_flight >> 16) / 1000.0,
				s->risk_and_in_flight & UINT16_MAX, now);
	}
}
