/* What VMs tell each other of requests under which targets end; see
 * lib/fatal.c. */
#include "exchange.h"
#include "fatal.h"
#include "mesh_internal.h"

/* Rows told again in each message, in case an earlier one was lost. */
#define FATALS_AGAIN 2
/* As XDR writes them. */
#define BYTES_A_FATAL 32
#define BYTES_AN_END  12

_Static_assert(MESH_MAX_ENDS == TR_FATAL_ENDS_MAX,
	       "what a message tells of a request is what a row holds");

/* 0 is never, so what happened just now is 1 ms old. */
static uint32_t age_of(apr_time_t at, apr_time_t now)
{
	apr_time_t age = (now - at) / 1000;

	if (!at)
		return 0;
	return age < 1 ? 1 : (uint32_t)age;
}

static apr_time_t time_of(uint32_t age_ms, apr_time_t now)
{
	return age_ms ? now - TR_MSEC(age_ms) : 0;
}

static void fill(struct mesh_fatal *out, struct mesh_end *ends,
		 const struct tr_fatal *row, apr_time_t now)
{
	*out = (struct mesh_fatal){
		.identity = row->identity,
		.answered_ms = age_of(row->answered_at, now),
		.refused_ms = age_of(row->refused_since, now),
		.tried_ms = age_of(row->tried_at, now),
		.trial_ms = age_of(row->trial_at, now),
		.tries = row->tries,
		.ends = { .ends_len = row->ends_count, .ends_val = ends },
	};
	for (unsigned i = 0; i < row->ends_count; i++)
		ends[i] = (struct mesh_end){
			.target = row->ends[i].target,
			.known = row->ends[i].known,
			.ended_ms = age_of(row->ends[i].ended, now),
		};
}

static unsigned rows_in(size_t room)
{
	size_t most = room / (BYTES_A_FATAL + BYTES_AN_END * MESH_MAX_ENDS);

	return most < MESH_MAX_FATALS ? (unsigned)most : MESH_MAX_FATALS;
}

static void add(struct mesh_message *msg, struct mesh_fatals *lists,
		const struct tr_fatal *rows, unsigned n, apr_time_t now)
{
	for (unsigned i = 0; i < n; i++)
		fill(&lists->rows[i], lists->ends[i], &rows[i], now);
	msg->fatals.fatals_len = n;
	msg->fatals.fatals_val = lists->rows;
}

/* News, as many as there is room for in bytes, and a few that were told before.
 * True when there is news. */
bool mesh_add_fatals(struct mesh *mesh, struct mesh_message *msg,
		     struct mesh_fatals *lists, size_t room, apr_time_t now)
{
	struct tr_fatal rows[MESH_MAX_FATALS];
	unsigned most = rows_in(room);
	unsigned news =
		tr_fatal_collect_changed(&mesh->e->fatals, rows, most, now);
	unsigned again = most - news;

	if (again > FATALS_AGAIN)
		again = FATALS_AGAIN;
	again = tr_fatal_collect_recent(&mesh->e->fatals, &rows[news], again,
					now);
	add(msg, lists, rows, news + again, now);
	return news > 0;
}

/*
 * What one VM should know that may know nothing: one that has just started
 * serves as soon as it has a configuration, which it may have before any
 * routine message comes; and where VMs are restarted one right after the other
 * the last that knows would else be gone.
 */
void mesh_add_known_fatals(struct mesh *mesh, struct mesh_message *msg,
			   struct mesh_fatals *lists, size_t room,
			   apr_time_t now)
{
	struct tr_fatal rows[MESH_MAX_FATALS];

	add(msg, lists, rows,
	    tr_fatal_collect_recent(&mesh->e->fatals, rows, rows_in(room), now),
	    now);
}

size_t mesh_bytes_of_fatals(const struct mesh_message *msg)
{
	size_t bytes = 0;

	for (u_int i = 0; i < msg->fatals.fatals_len; i++)
		bytes += BYTES_A_FATAL +
			 msg->fatals.fatals_val[i].ends.ends_len * BYTES_AN_END;
	return bytes;
}

/*
 * Tell the other groups what this VM has just told its own. Callers of one
 * request come to VMs of all groups, and in each a target may have ended: the
 * three that are enough may be known to no group alone.
 */
void mesh_fatals_to_groups(struct mesh *mesh,
			   const struct mesh_message *reported, apr_time_t now)
{
	char buf[DATAGRAM_MOST];
	struct mesh_message msg;
	size_t len;

	mesh_fill_head(mesh, &msg);
	msg.fatals = reported->fatals;
	len = mesh_encode(&msg, MESH_HAND_ON, buf, sizeof(buf));
	if (len)
		mesh_to_other_groups(mesh, buf, len, now);
}

static void take(struct mesh *mesh, const struct mesh_fatal *in, apr_time_t now)
{
	struct entry *e = mesh->e;
	struct tr_fatal row = {
		.identity = in->identity,
		.answered_at = time_of(in->answered_ms, now),
		.refused_since = time_of(in->refused_ms, now),
		.tried_at = time_of(in->tried_ms, now),
		.trial_at = time_of(in->trial_ms, now),
		.tries = in->tries,
		.ends_count = in->ends.ends_len,
	};

	for (unsigned i = 0; i < row.ends_count; i++) {
		const struct mesh_end *end = &in->ends.ends_val[i];

		row.ends[i] = (struct tr_fatal_end){
			.target = end->target,
			.known = end->known,
			.ended = time_of(end->ended_ms, now),
		};
	}
	exchange_fatal_log(
		e, row.identity,
		tr_fatal_reported(&e->fatals, &row, &e->random, now));
}

/* Take in what another VM, of this group or another, tells. */
void mesh_handle_fatals(struct mesh *mesh, struct tr_node *node,
			const struct mesh_message *msg, apr_time_t now)
{
	(void)node;
	for (u_int i = 0; i < msg->fatals.fatals_len; i++)
		take(mesh, &msg->fatals.fatals_val[i], now);
}
