/* Messages about what targets announce about themselves; see lib/send_limit.c.
 */
#include "eventlog.h"
#include "mesh_internal.h"
#include "notices.h"

/* Limits sent again in each message, in case an earlier one was lost. */
#define LIMITS_RESENT 2
/* How long the end of a limit is sent again; a limit is sent as long as it
 * holds. */
#define LIMIT_END_REPORT_TIME TR_SEC(5)
#define RATE_UNIT	      1000.0
#define RATE_MAX	      (MESH_NO_LIMIT - 1)

static void add_limit(struct mesh_message *msg, const struct tr_send_limit *l,
		      apr_time_t now)
{
	double rate = l->rate * RATE_UNIT;
	apr_time_t age = (now - l->named_at) / 1000;

	msg->limits.limits_val[msg->limits.limits_len++] = (struct mesh_limit){
		.target = l->target,
		.rate = !l->holds	  ? MESH_NO_LIMIT
			: rate < RATE_MAX ? (uint32_t)rate
					  : RATE_MAX,
		.age_ms = age < UINT32_MAX ? (uint32_t)age : UINT32_MAX,
		.sent = l->sent,
	};
}

static unsigned rows_that_fit(size_t room)
{
	size_t max = room / sizeof(struct mesh_limit);

	return max < MESH_MAX_LIMITS ? (unsigned)max : MESH_MAX_LIMITS;
}

static bool is_resent(const struct tr_send_limit *l, apr_time_t now)
{
	return l->used &&
	       (l->holds || now - l->named_at < LIMIT_END_REPORT_TIME);
}

/* Adds a few limits that were sent before, if they fit into room bytes. Returns
 * the size of all limits in the message. */
static size_t add_limits_again(struct mesh *mesh, struct mesh_message *msg,
			       struct mesh_limit *limits, size_t room,
			       apr_time_t now)
{
	struct tr_send_limits *all = &mesh->e->roster.limits;
	unsigned max = rows_that_fit(room);
	unsigned again = 0;

	msg->limits.limits_val = limits;
	for (unsigned i = 0; i < all->count && again < LIMITS_RESENT &&
			     msg->limits.limits_len < max;
	     i++) {
		const struct tr_send_limit *l =
			&all->rows[all->next_reported++ % all->count];

		if (!is_resent(l, now))
			continue;
		add_limit(msg, l, now);
		again++;
	}
	return msg->limits.limits_len * sizeof(*limits);
}

/* Adds changed limits, as many as fit into room bytes, and a few that were sent
 * before. Returns their size. */
static size_t add_limits(struct mesh *mesh, struct mesh_message *msg,
			 struct mesh_limit *limits, size_t room, apr_time_t now)
{
	struct tr_send_limits *all = &mesh->e->roster.limits;
	unsigned max = rows_that_fit(room);

	msg->limits.limits_val = limits;
	for (unsigned i = 0; i < all->count && msg->limits.limits_len < max;
	     i++) {
		struct tr_send_limit *l = &all->rows[i];

		if (!l->used || !l->changed)
			continue;
		l->changed = false;
		add_limit(msg, l, now);
	}
	return add_limits_again(mesh, msg, limits, room, now);
}

static void apply_limit(struct mesh *mesh, struct tr_node *node,
			const struct mesh_limit *in, apr_time_t now)
{
	struct entry *e = mesh->e;
	struct tr_roster *roster = &e->roster;
	struct tr_instance *row = tr_roster_by_hash(roster, in->target);
	apr_time_t named_at =
		tr_send_limit_report_time(TR_MSEC(in->age_ms), now);
	struct tr_sent_report *reported;
	uint32_t limit_index;

	if (!row || !row->used)
		return;
	limit_index = tr_roster_limit_index(roster, row);
	if (in->rate == MESH_NO_LIMIT)
		notices_log_limit(row, &roster->limits.rows[limit_index],
				  tr_send_limit_clear(&roster->limits,
						      limit_index, named_at),
				  "peer");
	else
		notices_log_limit(
			row, &roster->limits.rows[limit_index],
			tr_send_limit_set(&roster->limits, limit_index,
					  in->rate / RATE_UNIT, named_at, now),
			"peer");
	if (!node->near)
		return;
	reported = tr_node_sent_report(node, in->target);
	tr_send_limit_reported(&roster->limits.rows[limit_index],
			       (uint16_t)(in->sent - reported->sent),
			       tr_membership_recent_share(&e->members, now),
			       now);
	reported->sent = (uint16_t)in->sent;
}

/* Adds a few targets that have announced that they are leaving. They are sent
 * for as long as the platform lists them, so that the next message makes up for
 * a lost one. Returns their size. */
static size_t add_leaving(struct mesh *mesh, struct mesh_message *msg,
			  uint32_t *leaving, size_t room)
{
	const struct tr_roster *roster = &mesh->e->roster;
	unsigned max = (unsigned)(room / sizeof(*leaving));

	if (max > MESH_MAX_LEAVING)
		max = MESH_MAX_LEAVING;
	msg->leaving.leaving_val = leaving;
	for (unsigned i = 0; roster->says_leaving_count && i < roster->count &&
			     msg->leaving.leaving_len < max;
	     i++) {
		const struct tr_instance *row =
			&roster->rows[mesh->next_leaving++ % roster->count];

		if (row->used && row->says_leaving && !row->gone)
			leaving[msg->leaving.leaving_len++] = row->hash;
	}
	return msg->leaving.leaving_len * sizeof(*leaving);
}

/* Adds announcements that were sent before, in case they were lost and for a VM
 * that has just started. Returns their size. */
size_t mesh_add_repeated_notices(struct mesh *mesh, struct mesh_message *msg,
				 struct mesh_notices *storage, size_t room,
				 apr_time_t now)
{
	size_t used = add_leaving(mesh, msg, storage->leaving, room);

	return used +
	       add_limits_again(mesh, msg, storage->limits, room - used, now);
}

/* Adds changed limits, and some announcements that were sent before. Returns
 * their size. */
size_t mesh_add_notices(struct mesh *mesh, struct mesh_message *msg,
			struct mesh_notices *storage, size_t room,
			apr_time_t now)
{
	size_t used = add_leaving(mesh, msg, storage->leaving, room);

	return used + add_limits(mesh, msg, storage->limits, room - used, now);
}

/* Handles announcements of targets that another VM, of this group or another,
 * passes on. */
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
		apply_limit(mesh, node, &msg->limits.limits_val[i], now);
}

static void send_to_groups(struct mesh *mesh, struct mesh_message *msg,
			   apr_time_t now)
{
	char buf[DATAGRAM_MAX];
	size_t len = mesh_encode(msg, MESH_FORWARD, buf, sizeof(buf));

	if (len)
		mesh_send_to_other_groups(mesh, buf, len, now);
}

/* Broadcasts a limit that this VM has just heard of, also to the other groups,
 * whose VMs may send requests to the target as well. */
void mesh_broadcast_limit(struct mesh *mesh, uint32_t limit_index)
{
	apr_time_t now = entry_now(mesh->e);
	struct mesh_limit limit;
	struct mesh_message msg;

	mesh_fill_header(mesh, &msg);
	msg.limits.limits_val = &limit;
	add_limit(&msg, &mesh->e->roster.limits.rows[limit_index], now);
	mesh_broadcast_near(mesh, &msg, now);
	send_to_groups(mesh, &msg, now);
}

/* Broadcasts that a target has announced that it is leaving. */
void mesh_broadcast_leaving(struct mesh *mesh, uint32_t target)
{
	apr_time_t now = entry_now(mesh->e);
	struct mesh_message msg;

	mesh_fill_header(mesh, &msg);
	msg.leaving.leaving_val = &target;
	msg.leaving.leaving_len = 1;
	mesh_broadcast_near(mesh, &msg, now);
	send_to_groups(mesh, &msg, now);
}
