/* Log lines on targets that serve and get no requests: what this VM believes of
 * them, which tells why none of the fleet's requests went there. */
#include "idle.h"

#include "eventlog.h"
#include "hash.h"

/* A target without a request for so long is worth a line: the span over which
 * operators look at the floor. */
#define IDLE_FOR TR_SEC(2)
/* How often all targets are looked at. */
#define LOOK_EVERY TR_MSEC(200)
/* VMs that write a line on the same target. */
#define WRITERS 2

/* Is this VM one of those that write on the target? They are drawn by hash, so
 * that the number of lines doesn't grow with the fleet. */
static bool is_writer(const struct tr_membership *m,
		      const struct tr_instance *row, apr_time_t now)
{
	uint64_t own = tr_hash_pair(m->nodes[0].ip, row->hash);
	unsigned before = 0;

	for (unsigned i = 1; i < m->count && before < WRITERS; i++) {
		const struct tr_node *node = &m->nodes[i];

		before += node->near &&
			  tr_hash_pair(node->ip, row->hash) < own &&
			  tr_node_alive(m, node, now);
	}
	return before < WRITERS;
}

/* How long ago, in ms; -1 for never. */
static long ms_ago(apr_time_t at, apr_time_t now)
{
	return at ? (long)((now - at) / 1000) : -1;
}

static void log_idle(const struct entry *e, const struct tr_instance *row,
		     apr_time_t now)
{
	eventlog(EVENT_BELIEF, "target-idle",
		 "id=%s service=%s risk=%.2f used_ms=%ld failed_ms=%ld "
		 "known_ms=%ld in_flight=%u others_in_flight=%u full=%d "
		 "unreachable=%d rests=%d limited=%d",
		 row->id, e->roster.services[row->service].name,
		 tr_gray_probability(&row->gray, now),
		 ms_ago(row->used_at, now), ms_ago(row->failed_at, now),
		 ms_ago(row->known_since, now), row->in_flight,
		 row->others_in_flight, row->full_until > now,
		 row->unreachable_until > now, row->rests_until > now,
		 tr_roster_limit(&e->roster, row) != NULL);
}

/* Look for targets of this group that have become idle. */
void idle_step(struct entry *e, apr_time_t now)
{
	if (now - e->idle_looked_at < LOOK_EVERY)
		return;
	e->idle_looked_at = now;
	for (unsigned i = 0; i < e->roster.count; i++) {
		struct tr_instance *row = &e->roster.rows[i];
		bool is_idle = row->used && !row->gone && !row->leaving &&
			       !row->away && now - row->used_at >= IDLE_FOR &&
			       now - row->known_since >= IDLE_FOR;

		if (is_idle && !row->idle_logged &&
		    is_writer(&e->members, row, now))
			log_idle(e, row, now);
		row->idle_logged = is_idle;
	}
}
