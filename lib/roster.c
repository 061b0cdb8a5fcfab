/*
 * The targets that the platform lists, and what this VM and its peers observed
 * of each.
 */
#include "roster.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "hash.h"
#include "revision.h"
#include "roster_internal.h"

/* The platform promises that entries which expired during an interruption are
 * registered again within about two seconds of its end; an entry that is still
 * missing then is gone. A little less than that, so that the last request ends
 * in time. */
#define LAPSE_GRACE TR_MSEC(1700)
/* How long the row of a target that is gone is kept, so that older records
 * don't bring the target back. */
#define TOMBSTONE_TTL TR_SEC(60)
/* The most rows and services, half as many again as the plan's 69,000 targets
 * and 2,900 services: entries with which another writer floods the store must
 * not use up the memory for callers' requests. */
#define MAX_ROWS     100000
#define MAX_SERVICES 4096

void tr_roster_release(struct tr_roster *roster)
{
	free(roster->rows);
	free(roster->services);
	tr_send_limits_release(&roster->limits);
	tr_index_release(&roster->by_hash);
	tr_index_release(&roster->by_id);
	memset(roster, 0, sizeof(*roster));
}

static bool has_service(const struct tr_roster *roster, const char *name)
{
	for (unsigned i = 0; i < roster->services_count; i++)
		if (!strcmp(roster->services[i].name, name))
			return true;
	return false;
}

/* Returns the index of the service, and adds it if the name is new. */
uint32_t tr_roster_service(struct tr_roster *roster, const char *name)
{
	struct tr_service_stats *grown;

	for (unsigned i = 0; i < roster->services_count; i++)
		if (!strcmp(roster->services[i].name, name))
			return i;
	grown = realloc(roster->services,
			(roster->services_count + 1) * sizeof(*grown));
	if (!grown)
		abort();
	roster->services = grown;
	grown += roster->services_count;
	tr_service_stats_init(grown, name);
	return roster->services_count++;
}

static uint32_t id_key(const char *id)
{
	return (uint32_t)tr_hash_string(id);
}

static uint32_t row_index(const struct tr_roster *roster,
			  const struct tr_instance *row)
{
	return (uint32_t)(row - roster->rows);
}

/* Returns the row of the latest start of the target, or NULL. */
static struct tr_instance *find_latest(struct tr_roster *roster, const char *id)
{
	uint32_t at;
	uint32_t i = tr_index_first(&roster->by_id, id_key(id), &at);

	while (i != TR_NO_ROW && strcmp(roster->rows[i].id, id) != 0)
		i = tr_index_next(&roster->by_id, id_key(id), &at);
	return i == TR_NO_ROW ? NULL : &roster->rows[i];
}

/* Returns the hash by which VMs refer to this start of the target. */
static uint32_t instance_hash(const struct tr_target_record *record)
{
	uint64_t h = tr_hash_string(record->id);

	return (uint32_t)(record->born ? tr_hash_pair(h, record->born) : h);
}

/* Returns a cleared row: a free one without requests in flight, or a new one.
 */
static struct tr_instance *new_row(struct tr_roster *roster)
{
	struct tr_instance *grown;

	for (unsigned i = 0; i < roster->count; i++)
		if (!roster->rows[i].used && !roster->rows[i].in_flight &&
		    !roster->rows[i].connecting)
			return memset(&roster->rows[i], 0, sizeof(*grown));
	if (roster->count == roster->capacity) {
		unsigned capacity =
			roster->capacity ? roster->capacity * 2 : 32;

		grown = realloc(roster->rows, capacity * sizeof(*grown));
		if (!grown)
			abort();
		roster->rows = grown;
		roster->capacity = capacity;
	}
	return memset(&roster->rows[roster->count++], 0, sizeof(*grown));
}

/* Tells whether an interruption of the list ended so recently that entries of
 * running targets may be missing. */
static bool in_registration_grace(const struct tr_roster *roster,
				  apr_time_t now)
{
	return roster->resumed_at && now - roster->resumed_at < LAPSE_GRACE;
}

/* Removes a target that is no longer listed: at once, or after a grace period
 * if the list was interrupted recently and the target may only have lapsed. */
static void mark_gone_or_lapsed(struct tr_roster *roster,
				struct tr_instance *row, apr_time_t now)
{
	if (row->gone || row->lapsed_at)
		return;
	if (in_registration_grace(roster, now) && !row->leaving &&
	    !row->says_leaving) {
		row->lapsed_at = roster->resumed_at;
		row->changed_at = now;
		return;
	}
	row->gone = true;
	row->gone_at = now;
	row->changed_at = now;
}

static void apply_record(struct tr_roster *roster, struct tr_instance *row,
			 const struct tr_target_record *record, apr_time_t now)
{
	/* It has started anew, perhaps on another machine. */
	if (row->gone) {
		memset(&row->speed, 0, sizeof(row->speed));
		memset(&row->held_history, 0, sizeof(row->held_history));
		row->slow = false;
		row->held.borne = 0;
	}
	row->gone = false;
	row->lapsed_at = 0;
	row->service = tr_roster_service(roster, record->service);
	row->slots = record->slots ? record->slots : 1;
	memcpy(row->address, record->address, sizeof(row->address));
	if (strcmp(row->data_centre, record->data_centre) != 0) {
		row->home_generation = 0;
		roster->homes_stale = true;
	}
	memcpy(row->data_centre, record->data_centre, sizeof(row->data_centre));
	if (record->leaving && !row->leaving)
		row->leaving_since = now;
	row->leaving = record->leaving;
	row->stale_copy = record->stale_copy;
	row->cold_until = record->cold_for ? now + record->cold_for : 0;
}

/* Tells whether a row can be added for the record. */
static bool can_add(const struct tr_roster *roster,
		    const struct tr_target_record *record)
{
	if (roster->count >= MAX_ROWS)
		return false;
	return roster->services_count < MAX_SERVICES ||
	       has_service(roster, record->service);
}

/* Adds a row for this start of the target, with no evidence on it. */
static bool add_row(struct tr_roster *roster,
		    const struct tr_target_record *record, apr_time_t now)
{
	struct tr_instance *row;

	if (!can_add(roster, record))
		return false;
	roster->digest_known = false;
	row = new_row(roster);
	row->used = true;
	roster->homes_stale = true;
	row->known_since = now;
	row->limit = TR_NO_ROW;
	memcpy(row->id, record->id, sizeof(row->id));
	row->born = record->born;
	row->hash = instance_hash(record);
	tr_index_add(&roster->by_id, id_key(row->id), row_index(roster, row));
	tr_index_add(&roster->by_hash, row->hash, row_index(roster, row));
	row->revision = record->revision;
	if (record->gone) {
		row->stale_copy = record->stale_copy;
		row->gone = true;
		row->gone_at = now;
		return false;
	}
	apply_record(roster, row, record, now);
	row->changed_at = now;
	return true;
}

static void set_gone(struct tr_instance *row, apr_time_t now)
{
	row->lapsed_at = 0;
	row->changed_at = now;
	if (row->gone)
		return;
	row->gone = true;
	row->gone_at = now;
}

/*
 * Retires the row of an earlier start of a target that has started again under
 * the same id. The new process knows nothing of the requests sent to the
 * earlier one, which keeps its row only until these have ended. With a shared
 * row the new process would count as gray, cold or full for what the earlier
 * one did.
 */
static void supersede(struct tr_roster *roster, struct tr_instance *row,
		      apr_time_t now)
{
	set_gone(row, now);
	roster->digest_known = false;
	tr_index_remove(&roster->by_id, id_key(row->id),
			row_index(roster, row));
	row->superseded = true;
	row->changed_at = 0;
}

/*
 * Handles an entry that is unreadable or was written by another writer: the
 * target known under its id is no longer listed.
 */
void tr_roster_reject_entry(struct tr_roster *roster, const char *id,
			    uint64_t revision, apr_time_t now)
{
	struct tr_instance *row = find_latest(roster, id);

	if (!row || revision <= row->revision)
		return;
	row->revision = revision;
	roster->digest_known = false;
	set_gone(row, now);
}

/* Applies a departure that is missing from the copy. */
static void apply_missing_departure(struct tr_roster *roster,
				    struct tr_instance *row, bool gone,
				    apr_time_t now)
{
	roster->digest_known = false;
	if (gone) {
		set_gone(row, now);
	} else {
		row->leaving = true;
		row->leaving_since = now;
	}
	tr_roster_keep_departure(roster, row, now);
}

/* Applies that the target's entry is missing since an interruption, which this
 * VM may not have noticed. */
static bool apply_lapse(struct tr_roster *roster, struct tr_instance *row,
			apr_time_t lapsed_for, apr_time_t now)
{
	if (row->gone || row->lapsed_at)
		return false;
	roster->digest_known = false;
	if (row->leaving || row->says_leaving || lapsed_for >= LAPSE_GRACE) {
		set_gone(row, now);
		return true;
	}
	row->lapsed_at = now - lapsed_for;
	row->changed_at = now;
	if (row->lapsed_at > roster->resumed_at)
		roster->resumed_at = row->lapsed_at;
	return true;
}

static bool update_row(struct tr_roster *roster, struct tr_instance *row,
		       const struct tr_target_record *record, apr_time_t now)
{
	bool undone = tr_roster_is_undone_by_copy(roster, row, record);
	bool changed;

	row->revision = record->revision;
	if (undone) {
		tr_roster_keep_departure(roster, row, now);
		return false;
	}
	if (record->gone && record->stale_copy) {
		changed = !row->gone;
		roster->digest_known &= !changed;
		set_gone(row, now);
		row->stale_copy = true;
		return changed;
	}
	if (record->lapsed)
		return apply_lapse(roster, row, record->lapsed_for, now);
	if (record->gone) {
		row->stale_copy = false;
		changed = !row->gone && !row->lapsed_at;
		roster->digest_known &= !changed;
		mark_gone_or_lapsed(roster, row, now);
		return changed;
	}
	changed = row->gone || row->lapsed_at ||
		  row->leaving != record->leaving ||
		  row->slots != record->slots ||
		  strcmp(row->address, record->address) != 0;
	apply_record(roster, row, record, now);
	roster->digest_known &= !changed;
	if (changed)
		row->changed_at = now;
	return changed;
}

/*
 * Applies a record of one target. Of two records the one with the larger
 * revision wins, whoever sends it and in whatever order. Of two starts the
 * later one wins, since a write of an earlier process that the store applied
 * late says nothing of the one that runs. A target that has reported its start
 * time always does, so a record of its id without one comes from another
 * writer. Returns true if this changes what the VM does.
 */
bool tr_roster_apply(struct tr_roster *roster,
		     const struct tr_target_record *record, apr_time_t now)
{
	struct tr_instance *row = find_latest(roster, record->id);

	/* Of a former era only departures still count. */
	if (tr_revision_era(record->revision) < roster->era && !record->gone &&
	    (!row || row->gone))
		return false;
	if (!row)
		return add_row(roster, record, now);
	if (tr_roster_is_missing_from_copy(roster, row, record)) {
		apply_missing_departure(roster, row, record->gone, now);
		return true;
	}
	if (record->revision < row->revision ||
	    (record->revision == row->revision && !record->lapsed &&
	     !tr_roster_is_departure_to_keep(roster, row, record)))
		return false;
	if (record->gone || record->born == row->born)
		return update_row(roster, row, record, now);
	if (!record->born) {
		tr_roster_reject_entry(roster, record->id, record->revision,
				       now);
		return true;
	}
	if (record->born < row->born)
		return false;
	supersede(roster, row, now);
	return add_row(roster, record, now);
}

/* Removes the targets that are missing from a complete list. as_of is the
 * revision of the list; targets with a newer revision stay. */
void tr_roster_drop_unlisted(struct tr_roster *roster,
			     const struct tr_target_record *records,
			     unsigned count, uint64_t as_of, apr_time_t now)
{
	roster->digest_known = false;
	roster->list_mark++;
	for (unsigned k = 0; k < count; k++) {
		struct tr_instance *row = find_latest(roster, records[k].id);

		if (row)
			row->list_mark = roster->list_mark;
	}
	for (unsigned i = 0; i < roster->count; i++) {
		struct tr_instance *row = &roster->rows[i];

		if (row->used && !row->gone && !row->superseded &&
		    row->revision <= as_of &&
		    row->list_mark != roster->list_mark)
			mark_gone_or_lapsed(roster, row, now);
	}
}

static void free_row(struct tr_roster *roster, struct tr_instance *row)
{
	uint32_t i = row_index(roster, row);

	tr_index_remove(&roster->by_id, id_key(row->id), i);
	tr_index_remove(&roster->by_hash, row->hash, i);
	if (row->limit != TR_NO_ROW)
		tr_send_limits_remove(&roster->limits, row->limit);
	roster->says_leaving_count -= row->says_leaving;
	row->used = false;
}

/* Forgets the limit of another group's target when that group no longer reports
 * it. */
static void drop_stale_limit(struct tr_roster *roster, struct tr_instance *row,
			     apr_time_t now)
{
	const struct tr_send_limit *l = tr_roster_limit(roster, row);

	if (row->remote && l && tr_send_limit_is_stale(l, now))
		tr_send_limits_deactivate(&roster->limits, row->limit);
}

/* Removes lapsed targets at the end of their grace period, and frees the rows
 * of those that have been gone for long enough. */
void tr_roster_step(struct tr_roster *roster, apr_time_t now)
{
	if (now - roster->stepped_at < TR_ROSTER_STEP_INTERVAL)
		return;
	roster->stepped_at = now;
	tr_roster_learn_shares(roster, now);
	for (unsigned i = 0; i < roster->count; i++) {
		struct tr_instance *row = &roster->rows[i];

		if (!row->used)
			continue;
		drop_stale_limit(roster, row, now);
		if (roster->learn_target_speed)
			tr_held_history_add(&row->held_history,
					    tr_instance_in_flight(row, now));
		if (row->lapsed_at && now - row->lapsed_at >= LAPSE_GRACE) {
			roster->digest_known = false;
			row->lapsed_at = 0;
			row->gone = true;
			row->gone_at = now;
		}
		if (row->gone && now - row->gone_at > TOMBSTONE_TTL &&
		    !row->in_flight && !row->connecting)
			free_row(roster, row);
	}
}

struct tr_instance *tr_roster_by_hash(struct tr_roster *roster, uint32_t hash)
{
	uint32_t at;
	uint32_t i = tr_index_first(&roster->by_hash, hash, &at);

	return i == TR_NO_ROW ? NULL : &roster->rows[i];
}

/* Fills in the record that this VM would send to another one. */
void tr_roster_export_record(const struct tr_roster *roster,
			     const struct tr_instance *row,
			     struct tr_target_record *record, apr_time_t now)
{
	memset(record, 0, sizeof(*record));
	memcpy(record->id, row->id, sizeof(record->id));
	memcpy(record->address, row->address, sizeof(record->address));
	memcpy(record->data_centre, row->data_centre,
	       sizeof(record->data_centre));
	if (roster->services_count)
		memcpy(record->service, roster->services[row->service].name,
		       sizeof(record->service));
	record->slots = row->slots;
	record->leaving = row->leaving;
	record->gone = row->gone || row->lapsed_at;
	record->stale_copy = row->stale_copy;
	record->lapsed = !row->gone && row->lapsed_at;
	record->lapsed_for = record->lapsed ? now - row->lapsed_at : 0;
	record->cold_for = row->cold_until > now ? row->cold_until - now : 0;
	record->revision = row->revision;
	record->born = row->born;
}
