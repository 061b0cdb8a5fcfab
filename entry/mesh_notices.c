/* What VMs tell each other of what targets say of themselves; see
 * lib/send_limit.c. */
#include "eventlog.h"
#include "mesh_internal.h"
#include "notices.h"

/* Limits told again in each message, in case an earlier one was lost. */
#define LIMITS_AGAIN 2
/* An end is told again for so long, and a limit while it holds. */
#define END_TOLD_FOR TR_SEC(5)
#define RATE_UNIT    1000.0
#define RATE_MOST    (MESH_NO_LIMIT - 1)

static void add_limit(struct mesh_message *msg, const struct tr_send_limit *l,
		      apr_time_t now)
{
	double rate = l->rate * RATE_UNIT;
	apr_time_t age = (now - l->named_at) / 1000;

	msg->limits.limits_val[msg->limits.limits_len++] = (struct mesh_limit){
		.target = l->target,
		.rate = !l->holds	   ? MESH_NO_LIMIT
			: rate < RATE_MOST ? (uint32_t)rate
					   : RATE_MOST,
		.age_ms = age < UINT32_MAX ? (uint32_t)age : UINT32_MAX,
		.sent = l->sent,
	};
}

static unsigned rows_in(size_t room)
{
	size_t most = room / sizeof(struct mesh_limit);

	return most < MESH_MAX_LIMITS ? (unsigned)most : MESH_MAX_LIMITS;
}

static bool is_reported_again(const struct tr_send_limit *l, apr_time_t now)
{
	return l->used && (l->holds || now - l->named_at < END_TOLD_FOR);
}

/* A few limits that were told before, if there is room for them in bytes.
 * Returns the bytes that all limits of the message take. */
static size_t add_limits_again(struct mesh *mesh, struct mesh_message *msg,
			       struct mesh_limit *limits, size_t room,
			       apr_time_t now)
{
	struct tr_send_limits *all = &mesh->e->roster.limits;
	unsigned most = rows_in(room);
	unsigned again = 0;

	msg->limits.limits_val = limits;
	for (unsigned i = 0; i < all->count && again < LIMITS_AGAIN &&
			     msg->limits.limits_len < most;
	     i++) {
		const struct tr_send_limit *l =
			&all->rows[all->next_reported++ % all->count];

		if (!is_reported_again(l, now))
			continue;
		add_limit(msg, l, now);
		again++;
	}
	return msg->limits.limits_len * sizeof(*limits);
}

/* Limits that have changed, as many as there is room for in bytes, and a few
 * that were told before. Returns the bytes that they take. */
static size_t add_limits(struct mesh *mesh, struct mesh_message *msg,
			 struct mesh_limit *limits, size_t room, apr_time_t now)
{
	struct tr_send_limits *all = &mesh->e->roster.limits;
	unsigned most = rows_in(room);

	msg->limits.limits_val = limits;
	for (unsigned i = 0; i < all->count && msg->limits.limits_len < most;
	     i++) {
		struct tr_send_limit *l = &all->rows[i];

		if (!l->used || !l->changed)
			continue;
		l->changed = false;
		add_limit(msg, l, now);
	}
	return add_limits_again(mesh, msg, limits, room, now);
}

static void take_limit(struct mesh *mesh, struct tr_node *node,
		       const struct mesh_limit *in, apr_time_t now)
{
	struct entry *e = mesh->e;
	struct tr_roster *roster = &e->roster;
	struct tr_instance *row = tr_roster_by_hash(roster, in->target);
	apr_time_t named_at =
		tr_send_limit_report_time(TR_MSEC(in->age_ms), now);
	struct tr_sent_report *reported;
	uint32_t place;

	if (!row || !row->used)
		return;
	place = tr_roster_limit_index(roster, row);
	if (in->rate == MESH_NO_LIMIT)
		notices_log_limit(
			row, &roster->limits.rows[place],
			tr_send_limit_clear(&roster->limits, place, named_at),
			"peer");
	else
		notices_log_limit(row, &roster->limits.rows[place],
				  tr_send_limit_set(&roster->limits, place,
						    in->rate / RATE_UNIT,
						    named_at, now),
				  "peer");
	if (!node->near)
		return;
	reported = tr_node_sent_report(node, in->target);
	tr_send_limit_reported(&roster->limits.rows[place],
			       (uint16_t)(in->sent - reported->sent),
			       tr_membership_recent_share(&e->members, now),
			       now);
	reported->sent = (uint16_t)in->sent;
}

/* A few targets that have said that they leave. It is told for as long as the
 * platform lists them: what one message loses comes with the next. */
static size_t add_leaving(struct mesh *mesh, struct mesh_message *msg,
			  uint32_t *leaving, size_t room)
{
	const struct tr_roster *roster = &mesh->e->roster;
	unsigned most = (unsigned)(room / sizeof(*leaving));

	if (most > MESH_MAX_LEAVING)
		most = MESH_MAX_LEAVING;
	msg->leaving.leaving_val = leaving;
	for (unsigned i = 0; roster->says_leaving_count && i < roster->count &&
			     msg->leaving.leaving_len < most;
	     i++) {
		const struct tr_instance *row =
			&roster->rows[mesh->leaving_again++ % roster->count];

		if (row->used && row->says_leaving && !row->gone)
			leaving[msg->leaving.leaving_len++] = row->hash;
	}
	return msg->leaving.leaving_len * sizeof(*leaving);
}

/* What was told before, in case it was lost, and for a VM that has just
 * started. Returns the bytes that it takes. */
size_t mesh_add_notices_again(struct mesh *mesh, struct mesh_message *msg,
			      struct mesh_notices *lists, size_t room,
			      apr_time_t now)
{
	size_t used = add_leaving(mesh, msg, lists->leaving, room);

	return used +
	       add_limits_again(mesh, msg, lists->limits, room - used, now);
}

/* What targets said of themselves: limits that have changed, and some of what
 * was told before. Returns the bytes that it takes. */
size_t mesh_add_notices(struct mesh *mesh, struct mesh_message *msg,
			struct mesh_notices *lists, size_t room, apr_time_t now)
{
	size_t used = add_leaving(mesh, msg, lists->leaving, room);

	return used + add_limits(mesh, msg, lists->limits, room - used, now);
}

/* Take in what another VM, of this group or another, tells. */
void mesh_handle_notices(struct mesh *mesh, struct tr_node *node,
			 const struct mesh_message *msg, apr_time_t now)
{
	for (u_int i = 0; i < msg->leaving.leaving_len; i++) {
		struct tr_instance *row = tr_roster_by_hash(
			&mesh->e->roster, msg->leaving.leaving_val[i]);

		if (row && row->used)
			notices_mark_leaving(mesh->e, row, "peer");
	}
	for (u_int i = 0; i < msg->limits.limits_len; i++)
		take_limit(mesh, node, &msg->limits.limits_val[i], now);
}

static void to_groups(struct mesh *mesh, struct mesh_message *msg,
		      apr_time_t now)
{
	char buf[DATAGRAM_MOST];
	size_t len = mesh_encode(msg, MESH_HAND_ON, buf, sizeof(buf));

	if (len)
		mesh_to_other_groups(mesh, buf, len, now);
}

/* Tell all, and the other groups, whose VMs may send there as well, what this
 * VM has just heard of a target's limit. */
void mesh_broadcast_limit(struct mesh *mesh, uint32_t place)
{
	apr_time_t now = entry_now(mesh->e);
	struct mesh_limit limit;
	struct mesh_message msg;

	mesh_fill_head(mesh, &msg);
	msg.limits.limits_val = &limit;
	add_limit(&msg, &mesh->e->roster.limits.rows[place], now);
	mesh_tell_near(mesh, &msg, now);
	to_groups(mesh, &msg, now);
}

/* The same where a target has said that it leaves. */
void mesh_broadcast_leaving(struct mesh *mesh, uint32_t target)
{
	apr_time_t now = entry_now(mesh->e);
	struct mesh_message msg;

	mesh_fill_head(mesh, &msg);
	msg.leaving.leaving_val = &target;
	msg.leaving.leaving_len = 1;
	mesh_tell_near(mesh, &msg, now);
	to_groups(mesh, &msg, now);
}
