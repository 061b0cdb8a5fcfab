/*
 * What the groups of a large fleet tell each other. Some times a second one VM
 * of a group, each in its turn, tells every other group a summary: which of its
 * VMs are there, and what it knows of its targets. And a VM that has sent work
 * to another group's target tells that group, which adds it up like its own.
 * Each message goes to one VM of the other group, drawn anew, which hands it on
 * there; so no VM speaks for its group, and none has to be replaced.
 */
#include <string.h>

#include "group.h"
#include "mesh_internal.h"

/* Time between two summaries from one group to another, so that what is known
 * of another group's targets is as old as work takes. What they cost grows with
 * the number of groups: each of 12 hears 44 a second, of 1,300 bytes. */
#define SUMMARY_GAP TR_MSEC(250)
/* Shortest time between two messages on work at other groups' targets. */
#define AWAY_GAP TR_MSEC(50)
/* What the parts of a summary take at most, in bytes as XDR writes them. */
#define BYTES_A_MEMBER 4
#define BYTES_A_STATE  8
/* VMs of the other group that a summary names to it, for those of it that have
 * just started and know only this one. */
#define NODES_NAMED 8

static void add_members(const struct mesh *mesh, struct mesh_message *msg,
			uint32_t *members, struct mesh_member *others,
			apr_time_t now)
{
	const struct tr_membership *m = &mesh->e->members;

	msg->members.members_val = members;
	msg->others.others_val = others;
	for (unsigned i = 0; i < m->count; i++) {
		const struct tr_node *node = &m->nodes[i];

		if (!node->near || !tr_node_alive(m, node, now))
			continue;
		if (tr_node_takes_callers(m, node, now) && !node->cannot_read) {
			if (msg->members.members_len < MESH_MAX_MEMBERS)
				members[msg->members.members_len++] = node->ip;
		} else if (msg->others.others_len < MESH_MAX_MEMBERS) {
			others[msg->others.others_len++] = (struct mesh_member){
				.ip = node->ip,
				.flags = (node->leaving ? MESH_LEAVING : 0) |
					 (node->cannot_read ? MESH_CANNOT_READ
							    : 0),
			};
		}
	}
}

/* As many of the group's targets as there is room for, going on next time. */
static void add_states(struct mesh *mesh, struct mesh_message *msg,
		       struct mesh_state *states, size_t room, apr_time_t now)
{
	const struct tr_roster *roster = &mesh->e->roster;
	unsigned most = (unsigned)(room / BYTES_A_STATE);

	if (most > MESH_MAX_STATES)
		most = MESH_MAX_STATES;
	msg->states.states_val = states;
	for (unsigned i = 0; i < roster->count && msg->states.states_len < most;
	     i++) {
		const struct tr_instance *row =
			&roster->rows[mesh->state_next++ % roster->count];
		double risk = tr_gray_probability(&row->gray, now);

		if (row->away || !tr_instance_serves(row, now))
			continue;
		states[msg->states.states_len++] = (struct mesh_state){
			.target = row->hash,
			.risk_and_in_flight =
				(uint32_t)(risk * 1000) << 16 |
				(tr_instance_in_flight(row, now) & UINT16_MAX),
		};
	}
}

static void name_nodes(struct mesh *mesh, struct mesh_message *msg,
		       unsigned group, struct mesh_centre *centre,
		       uint32_t *nodes, apr_time_t now)
{
	const struct tr_membership *m = &mesh->e->members;

	*centre = (struct mesh_centre){
		.name = m->groups[group].data_centre,
		.nodes = { .nodes_val = nodes },
	};
	for (int i = 0; i < NODES_NAMED; i++) {
		const struct tr_node *node = mesh_draw(mesh, group, true, now);

		if (node)
			nodes[centre->nodes.nodes_len++] = node->ip;
	}
	msg->centres.centres_val = centre;
	msg->centres.centres_len = 1;
}

/*
 * A summary to each other group. One of which nobody is heard is told through
 * any of its VMs: those that come back without a seed are found so.
 */
static void tell_summary(struct mesh *mesh, apr_time_t now)
{
	const struct tr_membership *m = &mesh->e->members;
	struct mesh_member others[MESH_MAX_MEMBERS];
	struct mesh_state states[MESH_MAX_STATES];
	struct mesh_demand demands[MESH_MAX_DEMANDS];
	struct mesh_notices notices;
	struct mesh_fatals fatals;
	uint32_t members[MESH_MAX_MEMBERS];
	uint32_t nodes[NODES_NAMED];
	struct mesh_centre centre;
	struct mesh_message msg;
	size_t used;

	mesh_fill_head(mesh, &msg);
	add_members(mesh, &msg, members, others, now);
	used = BYTES_HEAD + BYTES_CENTRE + NODES_NAMED * BYTES_A_MEMBER +
	       msg.members.members_len * BYTES_A_MEMBER +
	       msg.others.others_len * sizeof(struct mesh_member);
	if (used < DATAGRAM_MOST)
		mesh_add_demands(mesh, &msg, demands,
				 (DATAGRAM_MOST - used) / 2, now);
	used += msg.demands.demands_len * sizeof(*demands);
	if (used < DATAGRAM_MOST)
		mesh_add_fatals(mesh, &msg, &fatals, DATAGRAM_MOST - used, now);
	used += mesh_bytes_of_fatals(&msg);
	if (used < DATAGRAM_MOST)
		used += mesh_add_notices_again(mesh, &msg, &notices,
					       DATAGRAM_MOST - used, now);
	if (used < DATAGRAM_MOST)
		add_states(mesh, &msg, states, DATAGRAM_MOST - used, now);
	for (unsigned g = 0; g < m->groups_count; g++) {
		const struct tr_node *to;

		if (g == m->nodes[0].group)
			continue;
		to = mesh_draw(mesh, g, m->groups[g].alive > 0, now);
		if (!to)
			continue;
		name_nodes(mesh, &msg, g, &centre, nodes, now);
		mesh_send_message(mesh, to->ip, &msg, MESH_HAND_ON);
	}
}

/* Tell a group what has become of the work at its targets. */
static void tell_group(struct mesh *mesh, unsigned group, apr_time_t now)
{
	struct tr_roster *roster = &mesh->e->roster;
	const struct tr_node *to = mesh_draw(mesh, group, true, now);
	struct mesh_row rows[MESH_MAX_ROWS];
	struct mesh_message msg;

	mesh_fill_head(mesh, &msg);
	msg.rows.rows_val = rows;
	for (unsigned i = 0;
	     i < roster->count && msg.rows.rows_len < MESH_MAX_ROWS; i++) {
		struct tr_instance *row = &roster->rows[i];

		if (!row->used || !row->dirty_away || row->home != group)
			continue;
		row->dirty_away = false;
		mesh_fill_row(&rows[msg.rows.rows_len++], row);
	}
	if (to && msg.rows.rows_len)
		mesh_send_message(mesh, to->ip, &msg, MESH_HAND_ON);
}

/* Tell the groups whose targets this VM has sent work to, if there are any. */
void mesh_away_tell(struct mesh *mesh, apr_time_t now)
{
	struct tr_roster *roster = &mesh->e->roster;

	if (!roster->away_changed)
		return;
	roster->away_changed = false;
	mesh->away_reported_at = now;
	for (unsigned i = 0; i < roster->count; i++) {
		const struct tr_instance *row = &roster->rows[i];

		if (row->used && row->away && row->dirty_away)
			tell_group(mesh, row->home, now);
	}
}

/* Send what is due to other groups. */
void mesh_away_step(struct mesh *mesh, apr_time_t now)
{
	const struct tr_membership *m = &mesh->e->members;
	unsigned near;
	apr_time_t turn;

	if (m->groups_count == 1)
		return;
	if (now - mesh->away_reported_at >= AWAY_GAP)
		mesh_away_tell(mesh, now);
	if (now < mesh->summary_at)
		return;
	near = m->groups[m->nodes[0].group].alive;
	turn = SUMMARY_GAP * (near ? near : 1);
	/* Half a turn to one and a half: the VMs' turns fall apart. */
	if (mesh->summary_at)
		tell_summary(mesh, now);
	mesh->summary_at =
		now + turn / 2 +
		(apr_time_t)((double)turn * tr_random_unit(&mesh->e->random));
}

static void take_member(struct mesh *mesh, const struct mesh_message *msg,
			uint32_t ip, bool ready, uint32_t flags, apr_time_t now)
{
	const struct tr_node_status news = {
		.ip = ip,
		.data_centre = msg->data_centre,
		.ready = ready,
		.leaving = flags & MESH_LEAVING,
		.cannot_read = flags & MESH_CANNOT_READ,
	};

	tr_membership_receive_indirect(&mesh->e->members, &news, now);
}

/* Take in what another group says of its VMs and targets. */
void mesh_handle_summary(struct mesh *mesh, struct tr_node *node,
			 const struct mesh_message *msg, apr_time_t now)
{
	(void)node;
	for (u_int i = 0; i < msg->members.members_len; i++)
		take_member(mesh, msg, msg->members.members_val[i], true, 0,
			    now);
	for (u_int i = 0; i < msg->others.others_len; i++) {
		const struct mesh_member *o = &msg->others.others_val[i];

		take_member(mesh, msg, o->ip, false, o->flags, now);
	}
	for (u_int i = 0; i < msg->states.states_len; i++) {
		const struct mesh_state *s = &msg->states.states_val[i];
		struct tr_instance *row =
			tr_roster_by_hash(&mesh->e->roster, s->target);

		if (row && row->away)
			tr_roster_apply_report(
				row, (s->risk_and_in_flight >> 16) / 1000.0,
				s->risk_and_in_flight & UINT16_MAX, now);
	}
}
