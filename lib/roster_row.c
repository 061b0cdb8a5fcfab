/* The state of single targets: whether they serve, and their limits. */
#include "clock.h"
#include "roster.h"

/* How long another group's report of requests in flight is valid: a few report
 * intervals, or the time that a request takes. */
#define REPORT_TTL TR_MSEC(1500)

/* Returns the limit that the target has set and that is in force, or NULL. */
struct tr_send_limit *tr_roster_limit(const struct tr_roster *roster,
				      const struct tr_instance *row)
{
	struct tr_send_limit *l;

	if (row->limit == TR_NO_ROW)
		return NULL;
	l = &roster->limits.rows[row->limit];
	return l->holds ? l : NULL;
}

/* Returns the index of the target's row among the limits, and adds it if there
 * is none. */
uint32_t tr_roster_limit_index(struct tr_roster *roster,
			       struct tr_instance *row)
{
	if (row->limit == TR_NO_ROW)
		row->limit = tr_send_limits_add(&roster->limits, row->hash);
	return row->limit;
}

/* Records that the target announced in an answer that it is leaving. Returns
 * true if it had not done so before. */
bool tr_roster_mark_leaving(struct tr_roster *roster, struct tr_instance *row)
{
	if (row->says_leaving)
		return false;
	row->says_leaving = true;
	roster->says_leaving_count++;
	return true;
}

/* Tells whether the target serves requests, though it may have asked this VM to
 * back off. */
bool tr_instance_serves(const struct tr_instance *row, apr_time_t now)
{
	return row->used && !row->gone && !row->leaving && !row->says_leaving &&
	       row->unreachable_until <= now;
}

/* Tells whether the target may be sent new requests. */
bool tr_instance_usable(const struct tr_instance *row, apr_time_t now)
{
	return tr_instance_serves(row, now) && row->backoff_until <= now;
}

/*
 * Returns how many requests are in flight at the target, as far as this VM
 * knows: those of its own group, or what the target's home group last reported
 * if that is more. They are not added, since the report includes this group's
 * requests. Attempts that have no connection yet count at this VM only.
 */
uint32_t tr_instance_in_flight(const struct tr_instance *row, apr_time_t now)
{
	uint32_t in_flight =
		row->in_flight + row->connecting + row->others_in_flight;

	if (row->remote && row->reported_in_flight > in_flight &&
	    now - row->reported_at < REPORT_TTL)
		return row->reported_in_flight;
	return in_flight;
}

/* Marks the target's state as changed, to be sent to other VMs. */
void tr_roster_mark_dirty(struct tr_roster *roster, struct tr_instance *row)
{
	row->dirty = true;
	row->dirty_remote = row->remote;
	roster->remote_changed |= row->remote;
}
