/*
 * Tells a fault of this VM's own path to targets from faults of the targets. A
 * target that another VM reaches and this VM does not is sound, so such a
 * detour is evidence against the path. A failure that other VMs share is none.
 */
#include "path.h"

#include "clock.h"

/* Detours in a row from which on the path counts as cut, and own connections in
 * a row from which on it no longer does. One may be a lost packet. */
#define DETOURS_UNTIL_CUT  2
#define DIRECT_UNTIL_WHOLE 2
/* Time between two checks: of a path that is cut, of one whose last connection
 * was a detour, and of one that is suspected. */
#define CHECK_INTERVAL		 TR_MSEC(200)
#define CHECK_INTERVAL_DETOUR	 TR_MSEC(25)
#define CHECK_INTERVAL_SUSPECTED TR_MSEC(500)
/* Time in which a check tells whether the path is cut: two detours in a row,
 * and some round trips. */
#define DOUBT_MAX TR_MSEC(300)

/* Records an own connection to a target. Returns true if the path is no longer
 * cut. */
bool tr_path_connected(struct tr_path *p, apr_time_t now)
{
	tr_path_heard(p, now);
	p->detours = 0;
	if (!p->cut || ++p->direct < DIRECT_UNTIL_WHOLE)
		return false;
	p->cut = false;
	return true;
}

/* Records that another VM connected to a target when an own attempt did not.
 * Returns true if the path counts as cut from now on. */
bool tr_path_detoured(struct tr_path *p)
{
	p->direct = 0;
	if (p->cut || ++p->detours < DETOURS_UNTIL_CUT)
		return false;
	p->cut = true;
	return true;
}

/* Records that something came from a target on an own connection. */
void tr_path_heard(struct tr_path *p, apr_time_t now)
{
	p->heard_at = now;
	p->suspected = false;
}

/*
 * Records that something has failed that may be due to the path, such as a late
 * answer, if nothing was heard on own connections since the given time.
 */
void tr_path_suspect(struct tr_path *p, apr_time_t since)
{
	if (p->heard_at <= since)
		p->suspected = true;
}

/* Returns whether the path is to be checked by a connection to a target. */
bool tr_path_check_due(const struct tr_path *p, apr_time_t now)
{
	if (p->cut)
		return now - p->checked_at >= CHECK_INTERVAL;
	if (p->detours)
		return now - p->checked_at >= CHECK_INTERVAL_DETOUR;
	return p->suspected && now - p->checked_at >= CHECK_INTERVAL_SUSPECTED;
}

/*
 * Returns whether what this VM noticed at a target at the given time must not
 * be told yet: it may be due to the path, which is being checked. Otherwise a
 * path that is cut would look like a fault of the targets until it is known.
 */
bool tr_path_must_wait(const struct tr_path *p, apr_time_t since,
		       apr_time_t now)
{
	return !p->cut && (p->suspected || p->detours) &&
	       now - since < DOUBT_MAX;
}
