/*
 * Compares this VM's list of targets with those of others, by a digest in every
 * message. An equal digest proves that this VM's list is as recent as the
 * other's.
 *
 * Without this, when a change is lost on its way to one VM, that VM goes on
 * sending to a target that has left. It would show in `target` lines that are
 * missing on single VMs and a growing view_age_ms in their request lines.
 */
#include "list_check.h"

#include "clock.h"
#include "revision.h"

/*
 * How long lists may differ before a whole one is fetched, with up to as much
 * again of random delay. Changes are sent for 0.6 s, and those under way
 * resolve most differences.
 */
#define FETCH_DELAY TR_MSEC(700)
/* The same after the store has returned from a copy: what was lost with it is
 * not sent as a change. */
#define FETCH_DELAY_ERA TR_MSEC(60)

/* Time between two reports of the departures that a copy of the store lacks,
 * while lists differ: more than a message takes, so that it is known that the
 * last one was not enough. */
#define REPEAT_INTERVAL TR_MSEC(250)

/* Returns how long the lists may differ. */
static apr_time_t fetch_delay(const struct tr_roster *roster,
			      const struct tr_list_report *reported)
{
	uint32_t era = tr_revision_era(roster->as_of);

	return (era || roster->store_returned) &&
			       tr_revision_era(reported->as_of) > era
		       ? FETCH_DELAY_ERA
		       : FETCH_DELAY;
}

static void note_difference(struct tr_list_check *c, uint64_t as_of,
			    apr_time_t delay, struct tr_random *random,
			    apr_time_t now)
{
	if (!c->since || c->since > now + delay)
		c->since = now + tr_random_below(random, (uint32_t)delay);
	if (as_of > c->as_of)
		c->as_of = as_of;
}

/*
 * Reports again what this VM remembers and the store has lost. Lists as of the
 * same revision can differ in that only, and a VM that reads the store takes no
 * other list for newer than its own.
 */
static void repeat_departures(struct tr_list_check *c, struct tr_roster *roster,
			      const struct tr_list_report *reported,
			      apr_time_t now)
{
	if (!roster->era || tr_revision_era(reported->as_of) != roster->era ||
	    now - c->repeated_at < REPEAT_INTERVAL)
		return;
	c->repeated_at = now;
	tr_roster_repeat_departures(roster, now);
}

/*
 * Compares with the list that another VM reported. Returns true if that list
 * should be fetched: it is newer, and newer lists have differed for a while.
 *
 * An equal digest of an older list does not end a difference: two VMs that
 * missed the same change would confirm each other. When that was accepted, some
 * of 442 VMs kept their first list for 19 s, and a target got requests 9.7 s
 * after it had begun to leave.
 */
bool tr_list_check_compare(struct tr_list_check *c, struct tr_roster *roster,
			   const struct tr_list_report *reported,
			   struct tr_random *random, apr_time_t now)
{
	apr_time_t delay;

	if (reported->as_of)
		tr_roster_note_peer(roster, reported->age, now);
	/* A list of a former era says nothing of what the store has now. */
	if (!reported->as_of || tr_revision_era(reported->as_of) < roster->era)
		return false;
	if (reported->digest == tr_roster_digest(roster)) {
		tr_roster_confirm_from_peer(roster, reported->as_of,
					    reported->age, now);
		if (reported->as_of >= c->as_of)
			c->since = 0;
		return false;
	}
	repeat_departures(c, roster, reported, now);
	if (!roster->as_of || reported->as_of < roster->as_of ||
	    (reported->as_of == roster->as_of &&
	     now - reported->age <= roster->confirmed_at))
		return false;
	delay = fetch_delay(roster, reported);
	note_difference(c, reported->as_of, delay, random, now);
	return now - c->since > delay;
}
