/* Messages about requests that make targets end; see lib/fatal.c. */
#include "exchange.h"
#include "fatal.h"
#include "mesh_internal.h"

/* Rows sent again in each message, in case an earlier one was lost. */
#define FATALS_RESENT 2
/* Sizes in XDR bytes. */
#define FATAL_BYTES 32
#define END_BYTES   12

_Static_assert(MESH_MAX_ENDS == TR_FATAL_ENDS_MAX,
	       "what a message tells of a request is what a row holds");

/* Age in ms, at least 1, since 0 stands for never. */
static uint32_t age_ms_of(apr_time_t at, apr_time_t now)
{
	apr_time_t age = (now - at) / 1000;

	if (!at)
		return 0;
	return age < 1 ? 1 : (uint32_t)age;
}

static apr_time_t time_of_age(uint32_t age_ms, apr_time_t now)
{
	return age_ms ? now - TR_MSEC(age_ms) : 0;
}

static void fill_row(struct mesh_fatal *out, struct mesh_end *ends,
		     const struct tr_fatal *row, apr_time_t now)
{
	*out = (struct mesh_fatal){
		.identity = row->identity,
		.answered_ms = age_ms_of(row->answered_at, now),
		.refused_ms = age_ms_of(row->refused_since, now),
		.tried_ms = age_ms_of(row->tried_at, now),
		.trial_ms = age_ms_of(row->trial_at, now),
		.tries = row->tries,
		.ends = { .ends_len = row->ends_count, .ends_val = ends },
	};
	for (unsigned i = 0; i < row->ends_count; i++)
		ends[i] = (struct mesh_end){
			.target = row->ends[i].target,
			.known = row->ends[i].known,
			.ended_ms = age_ms_of(row->ends[i].ended, now),
		};
}

static unsigned rows_that_fit(size_t room)
{
	size_t max = room / (FATAL_BYTES + END_BYTES * MESH_MAX_ENDS);

	return max < MESH_MAX_FATALS ? (unsigned)max : MESH_MAX_FATALS;
}

static void add_rows(struct mesh_message *msg, struct mesh_fatals *storage,
		     const struct tr_fatal *rows, unsigned n, apr_time_t now)
{
	for (unsigned i = 0; i < n; i++)
		fill_row(&storage->rows[i], storage->ends[i], &rows[i], now);
	msg->fatals.fatals_len = n;
	msg->fatals.fatals_val = storage->rows;
}

/* Adds new information, as much as fits into room bytes, and a few rows that
 * were sent before. Returns true if there was anything new. */
bool mesh_add_fatals(struct mesh *mesh, struct mesh_message *msg,
		     struct mesh_fatals *storage, size_t room, apr_time_t now)
{
	struct tr_fatal rows[MESH_MAX_FATALS];
	unsigned max = rows_that_fit(room);
	unsigned added =
		tr_fatal_collect_changed(&mesh->e->fatals, rows, max, now);
	unsigned again = max - added;

	if (again > FATALS_RESENT)
		again = FATALS_RESENT;
	again = tr_fatal_collect_recent(&mesh->e->fatals, &rows[added], again,
					now);
	add_rows(msg, storage, rows, added + again, now);
	return added > 0;
}

/*
 * Adds what a single VM may not know yet. A VM that has just started accepts
 * requests as soon as it has a configuration, which may be before the first
 * periodic message arrives; and where VMs are restarted one right after the
 * other, the information would be lost with the last VM that has it.
 */
void mesh_add_known_fatals(struct mesh *mesh, struct mesh_message *msg,
			   struct mesh_fatals *storage, size_t room,
			   apr_time_t now)
{
	struct tr_fatal rows[MESH_MAX_FATALS];

	add_rows(msg, storage, rows,
		 tr_fatal_collect_recent(&mesh->e->fatals, rows,
					 rows_that_fit(room), now),
		 now);
}

size_t mesh_fatals_size(const struct mesh_message *msg)
{
	size_t bytes = 0;

	for (u_int i = 0; i < msg->fatals.fatals_len; i++)
		bytes += FATAL_BYTES +
			 msg->fatals.fatals_val[i].ends.ends_len * END_BYTES;
	return bytes;
}

/*
 * Sends the other groups what this VM has just sent its own. Copies of one
 * request reach VMs of all groups, and targets may have ended in each: no group
 * alone may know of the three ends that suffice.
 */
void mesh_send_fatals_to_groups(struct mesh *mesh,
				const struct mesh_message *reported,
				apr_time_t now)
{
	char buf[DATAGRAM_MAX];
	struct mesh_message msg;
	size_t len;

	mesh_fill_header(mesh, &msg);
	msg.fatals = reported->fatals;
	len = mesh_encode(&msg, MESH_FORWARD, buf, sizeof(buf));
	if (len)
		mesh_send_to_other_groups(mesh, buf, len, now);
}

static void apply_fatal(struct mesh *mesh, const struct mesh_fatal *in,
			apr_time_t now)
{
	struct entry *e = mesh->e;
	struct tr_fatal row = {
		.identity = in->identity,
		.answered_at = time_of_age(in->answered_ms, now),
		.refused_since = time_of_age(in->refused_ms, now),
		.tried_at = time_of_age(in->tried_ms, now),
		.trial_at = time_of_age(in->trial_ms, now),
		.tries = in->tries,
		.ends_count = in->ends.ends_len,
	};

	for (unsigned i = 0; i < row.ends_count; i++) {
		const struct mesh_end *end = &in->ends.ends_val[i];

		row.ends[i] = (struct tr_fatal_end){
			.target = end->target,
			.known = end->known,
			.ended = time_of_age(end->ended_ms, now),
		};
	}
	exchange_fatal_log(
		e, row.identity,
		tr_fatal_reported(&e->fatals, &row, &e->random, now));
}

/* Handles the rows of another VM, of this group or another. */
void mesh_handle_fatals(struct mesh *mesh, struct tr_node *node,
			const struct mesh_message *msg, apr_time_t now)
{
	(void)node;
	for (u_int i = 0; i < msg->fatals.fatals_len; i++)
		apply_fatal(mesh, &msg->fatals.fatals_val[i], now);
}
