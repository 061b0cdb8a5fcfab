/*
 * Departures of targets that the copy lacks from which the store has returned.
 * See docs/design/019-eras-of-the-store.md.
 */
#include "revision.h"
#include "roster_internal.h"

/* Tells whether the revision may be that of an entry in the copy from which the
 * store has returned. */
static bool may_be_from_copy(const struct tr_roster *roster, uint64_t revision)
{
	return tr_revision_era(revision) == roster->era &&
	       tr_revision_number(revision) <= roster->era_start;
}

/* Tells whether the record is what a copy of the store says of a target that
 * has left or ended since. A target that leaves does so until it starts anew;
 * one that has ended is back when it writes its entry again. */
bool tr_roster_is_undone_by_copy(const struct tr_roster *roster,
				 const struct tr_instance *row,
				 const struct tr_target_record *record)
{
	uint32_t era = tr_revision_era(row->revision);
	bool later_era = (era || roster->store_returned) &&
			 tr_revision_era(record->revision) > era;

	if (record->gone || record->leaving)
		return false;
	return (row->gone && later_era &&
		may_be_from_copy(roster, record->revision)) ||
	       (row->leaving && (later_era || row->stale_copy));
}

/* Keeps what is known of a target against what the copy says, and reports it to
 * VMs that may not know. */
void tr_roster_keep_departure(struct tr_roster *roster, struct tr_instance *row,
			      apr_time_t now)
{
	row->stale_copy = true;
	row->changed_at = now;
	roster->departures_due = true;
}

/* Tells whether the record is of a departure in a former era that is missing
 * from the copy, of which this VM's entry is. */
bool tr_roster_is_missing_from_copy(const struct tr_roster *roster,
				    const struct tr_instance *row,
				    const struct tr_target_record *record)
{
	uint64_t revision = record->revision;

	if (record->born != row->born || row->gone || record->lapsed ||
	    (!record->gone && (!record->leaving || row->leaving)))
		return false;
	return tr_revision_era(revision) < tr_revision_era(row->revision) &&
	       tr_revision_number(revision) >=
		       tr_revision_number(row->revision) &&
	       may_be_from_copy(roster, row->revision);
}

/* Tells whether another VM knows of a departure that this VM's entry of the
 * same revision lacks. */
bool tr_roster_is_departure_to_keep(const struct tr_roster *roster,
				    const struct tr_instance *row,
				    const struct tr_target_record *record)
{
	if (!record->stale_copy || record->born != row->born || row->gone)
		return false;
	return record->gone ? may_be_from_copy(roster, record->revision)
			    : record->leaving && !row->leaving;
}

/* Reports the departures that this VM keeps against the copy once more. */
void tr_roster_repeat_departures(struct tr_roster *roster, apr_time_t now)
{
	for (unsigned i = 0; i < roster->count; i++) {
		struct tr_instance *row = &roster->rows[i];

		if (row->used && !row->superseded && row->stale_copy)
			tr_roster_keep_departure(roster, row, now);
	}
}
