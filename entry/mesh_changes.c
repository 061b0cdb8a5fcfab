/* Changes of the target list, sent by the VMs that read the store. */
#include "mesh_internal.h"

/* A change is sent for this long, through three reads by each reader, in case a
 * datagram is lost; a list that still differs after that is pulled whole. */
#define CHANGE_REPORT_TIME TR_MSEC(600)
#define DEPARTURE_BYTES	   16
#define RECORD_BYTES	   150

/* Rounded up, so that a target's grace period does not get longer by being told
 * from VM to VM. */
static uint32_t lapsed_flags(apr_time_t lapsed_for)
{
	apr_time_t units = (lapsed_for + LAPSED_UNIT - 1) / LAPSED_UNIT;

	if (units > RECORD_LAPSED_MAX)
		units = RECORD_LAPSED_MAX;
	return RECORD_LAPSED | (uint32_t)units << RECORD_LAPSED_SHIFT;
}

static uint32_t record_flags(const struct tr_target_record *r)
{
	return (r->leaving ? RECORD_LEAVING : 0) | (r->gone ? RECORD_GONE : 0) |
	       (r->stale_copy ? RECORD_STALE_COPY : 0) |
	       (r->lapsed ? lapsed_flags(r->lapsed_for) : 0) |
	       tr_revision_era(r->revision) << RECORD_ERA_SHIFT;
}

static void read_flags(uint32_t flags, struct tr_target_record *r)
{
	r->leaving = flags & RECORD_LEAVING;
	r->gone = flags & RECORD_GONE;
	r->stale_copy = flags & RECORD_STALE_COPY;
	r->lapsed = flags & RECORD_LAPSED;
	r->lapsed_for = LAPSED_UNIT *
			(flags >> RECORD_LAPSED_SHIFT & RECORD_LAPSED_MAX);
}

static void add_record(const struct mesh *mesh, struct mesh_message *msg,
		       struct mesh_changes *storage,
		       const struct tr_instance *row, apr_time_t now)
{
	unsigned n = msg->records.records_len++;
	struct tr_target_record *t = &storage->target_records[n];

	tr_roster_export_record(&mesh->e->roster, row, t, now);
	storage->records[n] = (struct mesh_record){
		.id = t->id,
		.service = t->service,
		.address = t->address,
		.data_centre = t->data_centre,
		.slots = t->slots,
		.flags = record_flags(t),
		.cold_ms = (uint32_t)(t->cold_for / 1000),
		.revision = tr_revision_number(t->revision),
		.born = t->born,
	};
}

static void add_departure(const struct mesh *mesh, struct mesh_message *msg,
			  struct mesh_changes *storage,
			  const struct tr_instance *row, apr_time_t now)
{
	struct tr_target_record r;

	tr_roster_export_record(&mesh->e->roster, row, &r, now);
	storage->departures[msg->departures.departures_len++] =
		(struct mesh_departure){
			.target = row->hash,
			.flags = record_flags(&r),
			.revision = tr_revision_number(r.revision),
		};
}

/* Size of the changes in the message, in bytes. */
size_t mesh_changes_size(const struct mesh_message *msg)
{
	return msg->records.records_len * RECORD_BYTES +
	       msg->departures.departures_len * DEPARTURE_BYTES;
}

/*
 * Adds changes of the rows from next on, as many as fit, and sets next to the
 * row to continue with. A known target that is leaving is sent by its hash
 * alone. With whole records, the changes of a hundred targets, sent to each VM
 * of a group, filled a link of 20 Mbit/s for half a second, datagrams were
 * lost, and two of 442 VMs still sent requests to a target that had started
 * leaving 3.2 s before.
 */
void mesh_add_changes(const struct mesh *mesh, struct mesh_message *msg,
		      struct mesh_changes *storage, uint32_t *next,
		      apr_time_t now)
{
	const struct tr_roster *roster = &mesh->e->roster;

	msg->records.records_val = storage->records;
	msg->departures.departures_val = storage->departures;
	for (; *next < roster->count; (*next)++) {
		const struct tr_instance *row = &roster->rows[*next];
		bool is_known = now - row->known_since > CHANGE_REPORT_TIME;
		bool leaves = row->leaving || row->gone || row->lapsed_at;

		if (!row->used || row->superseded || !row->changed_at ||
		    now - row->changed_at > CHANGE_REPORT_TIME)
			continue;
		if (HEADER_BYTES + mesh_changes_size(msg) + RECORD_BYTES >
			    DATAGRAM_MAX ||
		    msg->records.records_len == MESH_MAX_RECORDS ||
		    msg->departures.departures_len == MESH_MAX_DEPARTURES)
			return;
		if (is_known && leaves)
			add_departure(mesh, msg, storage, row, now);
		else
			add_record(mesh, msg, storage, row, now);
	}
}

static void apply_record(struct mesh *mesh, const struct mesh_record *in)
{
	struct tr_target_record r = {
		.slots = in->slots,
		.cold_for = TR_MSEC(in->cold_ms),
		.revision = tr_roster_peer_revision(
			&mesh->e->roster, in->flags >> RECORD_ERA_SHIFT,
			in->revision),
		.born = in->born,
	};

	read_flags(in->flags, &r);
	strncpy(r.id, in->id, TR_ID_MAX);
	strncpy(r.service, in->service, TR_ID_MAX);
	strncpy(r.address, in->address, TR_ADDRESS_MAX);
	strncpy(r.data_centre, in->data_centre, TR_ID_MAX);
	entry_apply_target(mesh->e, &r, "peer");
}

/* Unknown targets are skipped; they come with the list that is pulled. */
static void apply_departure(struct mesh *mesh, const struct mesh_departure *in)
{
	struct entry *e = mesh->e;
	struct tr_instance *row = tr_roster_by_hash(&e->roster, in->target);
	struct tr_target_record r;

	if (!row || row->superseded)
		return;
	tr_roster_export_record(&e->roster, row, &r, entry_now(e));
	read_flags(in->flags, &r);
	r.revision = tr_roster_peer_revision(
		&e->roster, in->flags >> RECORD_ERA_SHIFT, in->revision);
	entry_apply_target(e, &r, "peer");
}

/* Handles changes of the target list. */
void mesh_handle_changes(struct mesh *mesh, struct tr_node *node,
			 const struct mesh_message *msg, apr_time_t now)
{
	(void)node;
	(void)now;
	for (u_int i = 0; i < msg->records.records_len; i++)
		apply_record(mesh, &msg->records.records_val[i]);
	for (u_int i = 0; i < msg->departures.departures_len; i++)
		apply_departure(mesh, &msg->departures.departures_val[i]);
}
