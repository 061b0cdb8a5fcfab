/* Messages about the bytes in flight at targets; see lib/held_bytes.c. */
#include "held_bytes.h"

#include "entry_settings.h"
#include "mesh_internal.h"

static void add_held(struct mesh_message *msg, const struct tr_instance *row)
{
	msg->held.held_val[msg->held.held_len++] = (struct mesh_held){
		.target = row->hash,
		.kilobytes = tr_held_bytes_kilobytes(&row->held),
	};
}

/*
 * Adds what this VM's requests hold at targets where that has changed, as far
 * as it fits into room bytes, continuing where the last message ended. Returns
 * the bytes used.
 */
size_t mesh_add_held(struct mesh *mesh, struct mesh_message *msg,
		     struct mesh_held *held, size_t room)
{
	struct tr_roster *roster = &mesh->e->roster;
	unsigned max = (unsigned)(room / sizeof(*held));

	if (!mesh->e->settings->bound_target_bytes)
		return 0;
	if (max > MESH_MAX_HELD)
		max = MESH_MAX_HELD;
	msg->held.held_val = held;
	for (unsigned i = 0; i < roster->count && msg->held.held_len < max;
	     i++) {
		struct tr_instance *row =
			&roster->rows[mesh->next_held++ % roster->count];

		if (!row->used || !row->held.reports_due)
			continue;
		row->held.reports_due--;
		add_held(msg, row);
	}
	return msg->held.held_len * sizeof(*held);
}

/*
 * Adds what this VM's requests hold at another group's target to a report to
 * that group, in which the target's row is due to a change.
 */
void mesh_add_held_at(const struct mesh *mesh, struct mesh_message *msg,
		      struct mesh_held *held, const struct tr_instance *row)
{
	if (!mesh->e->settings->bound_target_bytes || !row->held.used ||
	    msg->held.held_len == MESH_MAX_HELD)
		return;
	msg->held.held_val = held;
	add_held(msg, row);
}

static void set_held(struct mesh *mesh, struct tr_held_report *reported,
		     uint32_t kilobytes)
{
	struct tr_instance *row =
		tr_roster_by_hash(&mesh->e->roster, reported->target);

	if (row)
		tr_held_bytes_reported(&row->held, reported->kilobytes,
				       kilobytes);
	reported->kilobytes = kilobytes;
}

/* Drops what the VM's requests hold at the target: none is in flight there. */
void mesh_forget_held_at(struct mesh *mesh, struct tr_node *node,
			 uint32_t target)
{
	for (unsigned i = 0; i < node->held_at_count; i++)
		if (node->held_at[i].target == target)
			set_held(mesh, &node->held_at[i], 0);
}

/* Drops what the requests of a VM hold that is lost or has restarted. */
void mesh_forget_held(struct mesh *mesh, struct tr_node *node)
{
	for (unsigned i = 0; i < node->held_at_count; i++)
		set_held(mesh, &node->held_at[i], 0);
}

/* Handles what another VM's requests hold at targets. */
void mesh_handle_held(struct mesh *mesh, struct tr_node *node,
		      const struct mesh_message *msg, apr_time_t now)
{
	(void)now;
	for (u_int i = 0; i < msg->held.held_len; i++) {
		const struct mesh_held *in = &msg->held.held_val[i];

		if (!tr_roster_by_hash(&mesh->e->roster, in->target))
			continue;
		set_held(mesh, tr_node_held_report(node, in->target),
			 in->kilobytes);
		node->reports_work = true;
	}
}
