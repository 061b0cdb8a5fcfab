/* Changes of the list of targets, as readers of the store tell them to all. */
#include "mesh_internal.h"

/* A change of the list is told for so long, three readings by each reader, in
 * case a datagram is lost; a list that differs after that is pulled whole. */
#define RECORD_TOLD    TR_MSEC(600)
#define BYTES_A_MARK   16
#define BYTES_A_RECORD 150

static void add_record(const struct mesh *mesh, struct mesh_message *msg,
		       struct mesh_changes *lists,
		       const struct tr_instance *row, apr_time_t now)
{
	unsigned n = msg->records.records_len++;
	struct tr_target_record *t = &lists->typed[n];

	tr_roster_export_record(&mesh->e->roster, row, t, now);
	lists->records[n] = (struct mesh_record){
		.id = t->id,
		.service = t->service,
		.address = t->address,
		.data_centre = t->data_centre,
		.slots = t->slots,
		.flags = (t->leaving ? RECORD_LEAVING : 0) |
			 (t->gone ? RECORD_GONE : 0),
		.cold_ms = (uint32_t)(t->cold_for / 1000),
		.revision = t->revision,
		.born = t->born,
	};
}

static void add_mark(struct mesh_message *msg, struct mesh_changes *lists,
		     const struct tr_instance *row)
{
	bool gone = row->gone || row->lapsed_at;

	lists->marks[msg->marks.marks_len++] = (struct mesh_mark){
		.target = row->hash,
		.flags = (row->leaving ? RECORD_LEAVING : 0) |
			 (gone ? RECORD_GONE : 0),
		.revision = row->revision,
	};
}

/* Room that the changes in the message take, in bytes. */
size_t mesh_bytes_of_changes(const struct mesh_message *msg)
{
	return msg->records.records_len * BYTES_A_RECORD +
	       msg->marks.marks_len * BYTES_A_MARK;
}

/*
 * What has changed of the rows from the one at next on; next is then where to
 * go on. That a target leaves is told by its name alone where the others know
 * it: with whole records the changes of a hundred targets, told to each VM of a
 * group, filled a link of 20 Mbit/s for half a second, datagrams were lost, and
 * two of 442 VMs still sent to one that had begun to leave 3.2 s before.
 */
void mesh_add_changes(const struct mesh *mesh, struct mesh_message *msg,
		      struct mesh_changes *lists, uint32_t *next,
		      apr_time_t now)
{
	const struct tr_roster *roster = &mesh->e->roster;

	msg->records.records_val = lists->records;
	msg->marks.marks_val = lists->marks;
	for (; *next < roster->count; (*next)++) {
		const struct tr_instance *row = &roster->rows[*next];
		bool is_known = now - row->known_since > RECORD_TOLD;
		bool leaves = row->leaving || row->gone || row->lapsed_at;

		if (!row->used || row->superseded || !row->changed_at ||
		    now - row->changed_at > RECORD_TOLD)
			continue;
		if (BYTES_HEAD + mesh_bytes_of_changes(msg) + BYTES_A_RECORD >
			    DATAGRAM_MOST ||
		    msg->records.records_len == MESH_MAX_RECORDS ||
		    msg->marks.marks_len == MESH_MAX_MARKS)
			return;
		if (is_known && leaves)
			add_mark(msg, lists, row);
		else
			add_record(mesh, msg, lists, row, now);
	}
}

static void take_record(struct mesh *mesh, const struct mesh_record *in)
{
	struct tr_target_record r = {
		.slots = in->slots,
		.leaving = in->flags & RECORD_LEAVING,
		.gone = in->flags & RECORD_GONE,
		.cold_for = TR_MSEC(in->cold_ms),
		.revision = in->revision,
		.born = in->born,
	};

	strncpy(r.id, in->id, TR_ID_MAX);
	strncpy(r.service, in->service, TR_ID_MAX);
	strncpy(r.address, in->address, TR_ADDRESS_MAX);
	strncpy(r.data_centre, in->data_centre, TR_ID_MAX);
	entry_target(mesh->e, &r, "peer");
}

/* A target that is not known here is in the list that is pulled. */
static void take_mark(struct mesh *mesh, const struct mesh_mark *in)
{
	struct entry *e = mesh->e;
	struct tr_instance *row = tr_roster_by_hash(&e->roster, in->target);
	struct tr_target_record r;

	if (!row || row->superseded)
		return;
	tr_roster_export_record(&e->roster, row, &r, entry_now(e));
	r.leaving = in->flags & RECORD_LEAVING;
	r.gone = in->flags & RECORD_GONE;
	r.revision = in->revision;
	entry_target(e, &r, "peer");
}

/* Take in what has changed in the platform's list. */
void mesh_handle_changes(struct mesh *mesh, struct tr_node *node,
			 const struct mesh_message *msg, apr_time_t now)
{
	(void)node;
	(void)now;
	for (u_int i = 0; i < msg->records.records_len; i++)
		take_record(mesh, &msg->records.records_val[i]);
	for (u_int i = 0; i < msg->marks.marks_len; i++)
		take_mark(mesh, &msg->marks.marks_val[i]);
}
