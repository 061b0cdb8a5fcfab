/*
 * Whether this VM's list of targets is that of the others: by a digest in each
 * message. One that is equal proves this VM's to be as young as the other's.
 *
 * What goes wrong without it: a change is lost on its way to one VM, which goes
 * on sending to a target that has left; one would notice by `target` lines that
 * are missing on single VMs, and a growing view_age_ms in their request lines.
 */
#include "list_check.h"

#include "clock.h"

/* How long two lists may differ before one is fetched whole, and at random up
 * to as much again: changes are told for 0.6 s, and what is on its way mends
 * most differences. */
#define DIFFERS_FOR TR_MSEC(700)

static void differs(struct tr_list_check *c, uint64_t as_of,
		    struct tr_random *random, apr_time_t now)
{
	if (!c->since)
		c->since = now + tr_random_below(random, DIFFERS_FOR);
	if (as_of > c->as_of)
		c->as_of = as_of;
}

/*
 * Another VM told of its list. True when it is to be fetched from there: it is
 * newer, and newer lists have differed for a while.
 *
 * That an older list is equal says nothing: two VMs that missed the same change
 * are no proof for each other. When they were taken for one, some of 442 VMs
 * kept the list of their start for 19 s, and a target got requests 9.7 s after
 * it had begun to leave.
 */
bool tr_list_check_compare(struct tr_list_check *c, struct tr_roster *roster,
			   const struct tr_list_report *reported,
			   struct tr_random *random, apr_time_t now)
{
	if (!reported->as_of)
		return false;
	if (reported->digest == tr_roster_digest(roster)) {
		tr_roster_confirm_from_peer(roster, reported->as_of,
					    reported->age, now);
		if (reported->as_of >= c->as_of)
			c->since = 0;
		return false;
	}
	if (!roster->as_of || reported->as_of < roster->as_of ||
	    (reported->as_of == roster->as_of &&
	     now - reported->age <= roster->confirmed_at))
		return false;
	differs(c, reported->as_of, random, now);
	return now - c->since > DIFFERS_FOR;
}
