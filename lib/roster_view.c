/*
 * How current the list of targets is: the era and the revision it is of, and
 * when the store last confirmed it to this VM or to another one.
 */
#include "clock.h"
#include "hash.h"
#include "revision.h"
#include "roster.h"

/* The longest usual delay of a message between two VMs: some milliseconds on
 * the network and one turn of an event loop that is busy with callers. */
#define MAX_MESSAGE_DELAY TR_MSEC(30)

/*
 * Notes the era of a list's revision, and the least number at which the store
 * is known to have been read in it. Returns whether the store has returned from
 * a copy: what it accepted since is lost, targets that are missing get the time
 * to write their entries again, and older eras count no more. A store that
 * names its first era has returned if its revisions have gone back.
 */
bool tr_roster_enter_era(struct tr_roster *roster, uint64_t as_of,
			 uint64_t start, apr_time_t now)
{
	uint32_t era = tr_revision_era(as_of);
	bool returned =
		era > roster->era &&
		(roster->era ||
		 tr_revision_number(as_of) < tr_revision_number(roster->as_of));

	if (era > roster->era ||
	    (era == roster->era && start < roster->era_start))
		roster->era_start = start;
	if (era > roster->era)
		roster->era = era;
	if (!returned)
		return false;
	roster->store_returned = true;
	roster->resumed_at = now;
	return true;
}

/*
 * Returns the revision that another VM named, or 0 if it is out of range. A VM
 * of a build without eras means the present one; once the store has returned
 * from a copy it may as well mean a former one, and the revision counts as
 * older than any other.
 */
uint64_t tr_roster_peer_revision(const struct tr_roster *roster, uint64_t era,
				 uint64_t number)
{
	if (era > TR_ERA_MAX || number > TR_REVISION_NUMBER_MAX)
		return 0;
	if (!era && !roster->store_returned)
		era = roster->era;
	return tr_revision_make((uint32_t)era, number);
}

/* Returns when the last read was sent that the store has answered, to this VM
 * or, as far as this VM has heard, to another one; 0 if there is none. */
apr_time_t tr_roster_last_answer(const struct tr_roster *roster)
{
	return roster->confirmed_at > roster->peers_confirmed_at
		       ? roster->confirmed_at
		       : roster->peers_confirmed_at;
}

/*
 * Records that the store has answered a read that was sent at asked_at, after
 * an outage that this VM or another one has seen. If neither had an answer for
 * a while before that, entries may have expired meanwhile, and their targets
 * get a grace period. Of a VM that alone had none, the others know which
 * targets left. Call before what the answer says is applied. Returns whether a
 * grace period begins.
 */
bool tr_roster_note_answer(struct tr_roster *roster, apr_time_t asked_at,
			   apr_time_t now)
{
	apr_time_t last = tr_roster_last_answer(roster);

	/* The list may have several pages. */
	if (!roster->confirmed_at || roster->resumed_at > last ||
	    asked_at - last <= TR_INTERRUPTION_MIN)
		return false;
	roster->resumed_at = now;
	return true;
}

/* Records that another VM has confirmed its list, age ago. */
void tr_roster_note_peer(struct tr_roster *roster, apr_time_t age,
			 apr_time_t now)
{
	if (now - age > roster->peers_confirmed_at)
		roster->peers_confirmed_at = now - age;
}

/* Records that the list was complete and current, as of a revision, age ago. */
void tr_roster_confirm(struct tr_roster *roster, uint64_t as_of, apr_time_t age,
		       apr_time_t now)
{
	apr_time_t at = now - age;

	/* The store's answer may be newer than a confirmation that came after
	 * the request was sent. Without this its reader would fetch the same
	 * changes again and announce a revision that the other VMs have. */
	if (as_of > roster->as_of)
		roster->as_of = as_of;
	if (at > roster->confirmed_at)
		roster->confirmed_at = at;
}

/*
 * Records that another VM has the same list, and how old its list was. The
 * longest usual delay of a message is added to that age. Without it VMs kept
 * each other's lists young: each adopted the least age it was sent, a few
 * milliseconds late, and passed it on. With 100 VMs a list that nobody had read
 * for three seconds counted as 45 ms old, so that no VM took over from the
 * readers, and targets that had left still got requests.
 */
void tr_roster_confirm_from_peer(struct tr_roster *roster, uint64_t as_of,
				 apr_time_t reported_age, apr_time_t now)
{
	tr_roster_confirm(roster, as_of, reported_age + MAX_MESSAGE_DELAY, now);
}

static uint64_t compute_digest(const struct tr_roster *roster)
{
	uint64_t sum = 0;

	for (unsigned i = 0; i < roster->count; i++) {
		const struct tr_instance *row = &roster->rows[i];
		uint64_t h;

		if (!row->used || row->gone || row->lapsed_at)
			continue;
		h = tr_hash_string(row->id);
		h = tr_hash_pair(h, tr_hash_string(row->address));
		h = tr_hash_pair(h, row->born);
		sum += tr_hash_pair(h, row->slots * 2 + row->leaving);
	}
	return sum;
}

/*
 * Returns a digest of the list that is equal on VMs with the same list, in
 * whatever order it was received. It is cached until the list changes:
 * computing it for each message was most of a message's cost with 183 targets.
 */
uint64_t tr_roster_digest(struct tr_roster *roster)
{
	if (!roster->digest_known)
		roster->digest = compute_digest(roster);
	roster->digest_known = true;
	return roster->digest;
}
