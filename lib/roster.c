#include "roster.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "hash.h"

/* The list counts as interrupted when it was not current for so long; readers
 * pace themselves at a third of a second, so that is three that failed. */
#define INTERRUPTED TR_MSEC(1000)
/* Entries that expired during an interruption are registered again within
 * about two seconds of its end (the platform's promise); an entry that is
 * missing then is gone. A little less, so that the last request is through. */
#define LAPSE_GRACE TR_MSEC(1700)
/* What a message between two VMs takes at most in ordinary times: a way of some
 * milliseconds, and the turn of a loop that is busy with callers. */
#define HOP_MOST TR_MSEC(30)
/* Rows of targets that are gone keep older news from bringing them back. */
#define TOMBSTONE_KEEP TR_SEC(60)
/* Rows and services are not made beyond this many, half as much again as the
 * plan's 69,000 targets and 2,900 services: entries that another writer floods
 * the store with must not take the memory of callers' requests. */
#define ROWS_MOST     100000
#define SERVICES_MOST 4096
/* How long another group's word on work in progress counts: some summaries, or
 * the time that work takes. */
#define TOLD_HOLDS TR_MSEC(1500)
/* How often all rows are looked at: a tenth of the shortest span above. */
#define STEP_EVERY TR_MSEC(100)
/* How often the share of gray targets is looked at: evidence fades in seconds.
 */
#define LEARN_EVERY TR_MSEC(200)

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

/* The service's place, made when the name is new. */
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

static uint32_t place_of(const struct tr_roster *roster,
			 const struct tr_instance *row)
{
	return (uint32_t)(row - roster->rows);
}

/* The row of the id's latest start, or NULL. */
static struct tr_instance *find(struct tr_roster *roster, const char *id)
{
	uint32_t at;
	uint32_t i = tr_index_first(&roster->by_id, id_key(id), &at);

	while (i != TR_NO_ROW && strcmp(roster->rows[i].id, id) != 0)
		i = tr_index_next(&roster->by_id, id_key(id), &at);
	return i == TR_NO_ROW ? NULL : &roster->rows[i];
}

/* The name under which VMs tell each other of this start of the target. */
static uint32_t life_hash(const struct tr_target_record *record)
{
	uint64_t h = tr_hash_string(record->id);

	return (uint32_t)(record->born ? tr_hash_pair(h, record->born) : h);
}

static struct tr_instance *new_row(struct tr_roster *roster)
{
	struct tr_instance *grown;

	for (unsigned i = 0; i < roster->count; i++)
		if (!roster->rows[i].used && !roster->rows[i].in_flight)
			return memset(&roster->rows[i], 0, sizeof(*grown));
	if (roster->count == roster->room) {
		unsigned room = roster->room ? roster->room * 2 : 32;

		grown = realloc(roster->rows, room * sizeof(*grown));
		if (!grown)
			abort();
		roster->rows = grown;
		roster->room = room;
	}
	return memset(&roster->rows[roster->count++], 0, sizeof(*grown));
}

/* After an interruption, entries may be missing of targets that live. */
static bool may_have_lapsed(const struct tr_roster *roster, apr_time_t now)
{
	return roster->returned_at && now - roster->returned_at < LAPSE_GRACE;
}

static void set_gone(struct tr_roster *roster, struct tr_instance *row,
		     apr_time_t now)
{
	if (row->gone || row->lapsed_at)
		return;
	if (may_have_lapsed(roster, now) && !row->leaving &&
	    !row->says_leaving) {
		row->lapsed_at = roster->returned_at;
		row->changed_at = now;
		return;
	}
	row->gone = true;
	row->gone_at = now;
	row->changed_at = now;
}

static void fill(struct tr_roster *roster, struct tr_instance *row,
		 const struct tr_target_record *record, apr_time_t now)
{
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
	row->cold_until = record->cold_for ? now + record->cold_for : 0;
}

/* Can a row be made for what the record says? */
static bool has_room(const struct tr_roster *roster,
		     const struct tr_target_record *record)
{
	if (roster->count >= ROWS_MOST)
		return false;
	return roster->services_count < SERVICES_MOST ||
	       has_service(roster, record->service);
}

/* A row of its own for this start of the target, of which nothing is known. */
static bool add(struct tr_roster *roster, const struct tr_target_record *record,
		apr_time_t now)
{
	struct tr_instance *row;

	if (!has_room(roster, record))
		return false;
	roster->digest_known = false;
	row = new_row(roster);
	row->used = true;
	roster->homes_stale = true;
	row->known_since = now;
	row->limit = TR_NO_ROW;
	memcpy(row->id, record->id, sizeof(row->id));
	row->born = record->born;
	row->hash = life_hash(record);
	tr_index_add(&roster->by_id, id_key(row->id), place_of(roster, row));
	tr_index_add(&roster->by_hash, row->hash, place_of(roster, row));
	row->revision = record->revision;
	if (record->gone) {
		row->gone = true;
		row->gone_at = now;
		return false;
	}
	fill(roster, row, record, now);
	row->changed_at = now;
	return true;
}

static void set_gone_at_once(struct tr_instance *row, apr_time_t now)
{
	row->lapsed_at = 0;
	row->changed_at = now;
	if (row->gone)
		return;
	row->gone = true;
	row->gone_at = now;
}

/*
 * The target has started again under its id: a new process, which knows nothing
 * of what the earlier one was sent. The row of the earlier start only waits for
 * the ends of the requests that were sent to it. One would notice a row that is
 * kept by a target that is held to be gray, cold or full for what its earlier
 * process did.
 */
static void supersede(struct tr_roster *roster, struct tr_instance *row,
		      apr_time_t now)
{
	set_gone_at_once(row, now);
	roster->digest_known = false;
	tr_index_remove(&roster->by_id, id_key(row->id), place_of(roster, row));
	row->superseded = true;
	row->changed_at = 0;
}

/*
 * An entry that names no target, since another writer's value stands there or
 * one that can't be read: what was known under the id is no longer listed.
 */
void tr_roster_reject_entry(struct tr_roster *roster, const char *id,
			    uint64_t revision, apr_time_t now)
{
	struct tr_instance *row = find(roster, id);

	if (!row || revision <= row->revision)
		return;
	row->revision = revision;
	roster->digest_known = false;
	set_gone_at_once(row, now);
}

static bool update(struct tr_roster *roster, struct tr_instance *row,
		   const struct tr_target_record *record, apr_time_t now)
{
	bool changed;

	row->revision = record->revision;
	if (record->gone) {
		changed = !row->gone && !row->lapsed_at;
		roster->digest_known &= !changed;
		set_gone(roster, row, now);
		return changed;
	}
	changed = row->gone || row->lapsed_at ||
		  row->leaving != record->leaving ||
		  row->slots != record->slots ||
		  strcmp(row->address, record->address) != 0;
	fill(roster, row, record, now);
	roster->digest_known &= !changed;
	if (changed)
		row->changed_at = now;
	return changed;
}

/*
 * Take in what is said of one target; of two sayings the larger revision
 * holds, whoever tells it and in whatever order, and of two starts the later
 * one: what an earlier process wrote and the store took in late says nothing
 * of the one that runs. An id whose target has told when it started always
 * does; without it the entry is another writer's. True when it changes what
 * this VM does.
 */
bool tr_roster_apply(struct tr_roster *roster,
		     const struct tr_target_record *record, apr_time_t now)
{
	struct tr_instance *row = find(roster, record->id);

	if (!row)
		return add(roster, record, now);
	if (record->revision <= row->revision)
		return false;
	if (record->gone || record->born == row->born)
		return update(roster, row, record, now);
	if (!record->born) {
		tr_roster_reject_entry(roster, record->id, record->revision,
				       now);
		return true;
	}
	if (record->born < row->born)
		return false;
	supersede(roster, row, now);
	return add(roster, record, now);
}

/* A whole list as of a revision: what is not on it, and not newer, is gone. */
void tr_roster_drop_unlisted(struct tr_roster *roster,
			     const struct tr_target_record *records,
			     unsigned count, uint64_t as_of, apr_time_t now)
{
	roster->digest_known = false;
	roster->list_mark++;
	for (unsigned k = 0; k < count; k++) {
		struct tr_instance *row = find(roster, records[k].id);

		if (row)
			row->list_mark = roster->list_mark;
	}
	for (unsigned i = 0; i < roster->count; i++) {
		struct tr_instance *row = &roster->rows[i];

		if (row->used && !row->gone && !row->superseded &&
		    row->revision <= as_of &&
		    row->list_mark != roster->list_mark)
			set_gone(roster, row, now);
	}
}

/* The list was whole and current, as of a revision, so long ago. */
void tr_roster_confirm(struct tr_roster *roster, uint64_t as_of, apr_time_t age,
		       apr_time_t now)
{
	apr_time_t at = now - age;

	/* An answer of the store may be newer than what was vouched for since
	 * it was asked for: else its reader asks for the same changes again,
	 * and tells the others of a revision that they have. */
	if (as_of > roster->as_of)
		roster->as_of = as_of;
	if (at <= roster->confirmed_at)
		return;
	if (roster->confirmed_at && at - roster->confirmed_at > INTERRUPTED)
		roster->returned_at = now;
	roster->confirmed_at = at;
}

/*
 * Another VM with the same list told how old it is; the way of that is counted
 * as the longest that it usually takes. Without it VMs kept each other's lists
 * young: each took over the least age that it was told, a few milliseconds
 * late, and told it on. With 100 VMs a list that nobody had read for three
 * seconds was held to be 45 ms old, so that nobody stepped in for the readers,
 * and targets that had left went on getting requests.
 */
void tr_roster_confirm_from_peer(struct tr_roster *roster, uint64_t as_of,
				 apr_time_t reported_age, apr_time_t now)
{
	tr_roster_confirm(roster, as_of, reported_age + HOP_MOST, now);
}

/* The mean chance of being gray over the service's targets, or a negative
 * number when it has none. */
static double mean_chance(const struct tr_roster *roster, uint32_t service,
			  apr_time_t now)
{
	double sum = 0;
	unsigned n = 0;

	for (unsigned i = 0; i < roster->count; i++) {
		const struct tr_instance *row = &roster->rows[i];

		if (row->service != service || row->away ||
		    !tr_instance_usable(row, now))
			continue;
		sum += tr_gray_probability(&row->gray, now);
		n++;
	}
	return n ? sum / n : -1;
}

/*
 * Learn which share of each service's targets is gray: what a target that
 * nobody has used for a while is to be held for. With three in ten gray and a
 * fixed chance of 0.06 such targets were given requests that must run once.
 */
static void learn_shares(struct tr_roster *roster, apr_time_t now)
{
	apr_time_t passed = now - roster->learned_at;

	if (passed < LEARN_EVERY)
		return;
	for (unsigned s = 0; roster->learned_at && s < roster->services_count;
	     s++) {
		double share = mean_chance(roster, s, now);

		if (share >= 0)
			tr_service_stats_learn_gray_share(&roster->services[s],
							  share,
							  (double)passed / 1e6);
	}
	for (unsigned i = 0; i < roster->count; i++) {
		struct tr_instance *row = &roster->rows[i];

		/* A row that was gone when it was first heard of has none. */
		if (row->service < roster->services_count)
			row->gray.prior =
				roster->services[row->service].gray_share;
	}
	roster->learned_at = now;
}

static void forget(struct tr_roster *roster, struct tr_instance *row)
{
	uint32_t i = place_of(roster, row);

	tr_index_remove(&roster->by_id, id_key(row->id), i);
	tr_index_remove(&roster->by_hash, row->hash, i);
	if (row->limit != TR_NO_ROW)
		tr_send_limits_drop(&roster->limits, row->limit);
	roster->says_leaving_count -= row->says_leaving;
	row->used = false;
}

/* Another group's target, of whose limit that group has fallen silent. */
static void drop_stale_limit(struct tr_roster *roster, struct tr_instance *row,
			     apr_time_t now)
{
	const struct tr_send_limit *l = tr_roster_limit(roster, row);

	if (row->away && l && tr_send_limit_is_stale(l, now))
		tr_send_limits_forget(&roster->limits, row->limit);
}

/* Let lapsed targets go when their time is over, and forget old ones. */
void tr_roster_step(struct tr_roster *roster, apr_time_t now)
{
	if (now - roster->stepped_at < STEP_EVERY)
		return;
	roster->stepped_at = now;
	learn_shares(roster, now);
	for (unsigned i = 0; i < roster->count; i++) {
		struct tr_instance *row = &roster->rows[i];

		if (!row->used)
			continue;
		drop_stale_limit(roster, row, now);
		if (row->lapsed_at && now - row->lapsed_at >= LAPSE_GRACE) {
			roster->digest_known = false;
			row->lapsed_at = 0;
			row->gone = true;
			row->gone_at = now;
		}
		if (row->gone && now - row->gone_at > TOMBSTONE_KEEP &&
		    !row->in_flight)
			forget(roster, row);
	}
}

static uint64_t make_digest(const struct tr_roster *roster)
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
 * Equal on VMs that hold the same list, whatever the order it came in. Made
 * when the list has changed and not at each message: before 183 targets that
 * was most of what a message cost.
 */
uint64_t tr_roster_digest(struct tr_roster *roster)
{
	if (!roster->digest_known)
		roster->digest = make_digest(roster);
	roster->digest_known = true;
	return roster->digest;
}

struct tr_instance *tr_roster_by_hash(struct tr_roster *roster, uint32_t hash)
{
	uint32_t at;
	uint32_t i = tr_index_first(&roster->by_hash, hash, &at);

	return i == TR_NO_ROW ? NULL : &roster->rows[i];
}

/* What this VM would tell another of the target. */
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
	record->cold_for = row->cold_until > now ? row->cold_until - now : 0;
	record->revision = row->revision;
	record->born = row->born;
}

/* The limit that the target has named and that holds, or NULL. */
struct tr_send_limit *tr_roster_limit(const struct tr_roster *roster,
				      const struct tr_instance *row)
{
	struct tr_send_limit *l;

	if (row->limit == TR_NO_ROW)
		return NULL;
	l = &roster->limits.rows[row->limit];
	return l->holds ? l : NULL;
}

/* The place of the target's row among the limits, made when it has none. */
uint32_t tr_roster_limit_index(struct tr_roster *roster,
			       struct tr_instance *row)
{
	if (row->limit == TR_NO_ROW)
		row->limit = tr_send_limits_add(&roster->limits, row->hash);
	return row->limit;
}

/* The target has said in an answer that it leaves; true when that is news. */
bool tr_roster_mark_leaving(struct tr_roster *roster, struct tr_instance *row)
{
	if (row->says_leaving)
		return false;
	row->says_leaving = true;
	roster->says_leaving_count++;
	return true;
}

/* Does the target serve, though it may want rest from this VM? */
bool tr_instance_serves(const struct tr_instance *row, apr_time_t now)
{
	return row->used && !row->gone && !row->leaving && !row->says_leaving &&
	       row->unreachable_until <= now;
}

/* May the target be given new work? */
bool tr_instance_usable(const struct tr_instance *row, apr_time_t now)
{
	return tr_instance_serves(row, now) && row->backoff_until <= now;
}

/*
 * How many requests are at the target, as far as this VM knows: those of its
 * own group, or what the target's own group told last if that is more. Both are
 * not added, since the latter count this group's too.
 */
uint32_t tr_instance_in_flight(const struct tr_instance *row, apr_time_t now)
{
	uint32_t in_flight = row->in_flight + row->others_in_flight;

	if (row->away && row->reported_in_flight > in_flight &&
	    now - row->reported_at < TOLD_HOLDS)
		return row->reported_in_flight;
	return in_flight;
}

/* This VM has something new to tell of the target. */
void tr_roster_mark_dirty(struct tr_roster *roster, struct tr_instance *row)
{
	row->dirty = true;
	row->dirty_away = row->away;
	roster->away_changed |= row->away;
}

/* The target's own group told what it knows of it. */
void tr_roster_apply_report(struct tr_instance *row, double risk,
			    unsigned in_flight, apr_time_t now)
{
	row->reported_in_flight =
		(uint16_t)(in_flight < UINT16_MAX ? in_flight : UINT16_MAX);
	row->reported_at = now;
	tr_gray_set_probability(&row->gray, risk, now);
}

/*
 * Has the newest request at the target been answered, and one that was sent
 * after the last that hangs? What is still in flight then says nothing of how
 * the target is now.
 */
bool tr_instance_answered_since_hang(const struct tr_instance *row)
{
	return row->answered_at >= row->used_at &&
	       row->answered_sent_at > row->hung_at;
}

static void set_latest(apr_time_t *at, apr_time_t then)
{
	if (then > *at)
		*at = then;
}

/*
 * Take in an outcome at a target, of whichever VM. A request that is overdue
 * failed when it was sent, as far as that can be known.
 */
void tr_roster_add_outcome(struct tr_roster *roster, struct tr_instance *row,
			   enum tr_symptom symptom, unsigned times,
			   apr_time_t now)
{
	const struct tr_worktime *takes = &roster->services[row->service].takes;
	apr_time_t usual = tr_worktime_mean(takes, 0);
	apr_time_t sent_at;

	tr_gray_add(&row->gray, symptom, times, now);
	tr_service_stats_add_outcomes(&roster->services[row->service], symptom,
				      times, now);
	if (symptom == TR_SYMPTOM_OVERDUE) {
		sent_at = now - tr_gray_stage_start(TR_STAGE_OVERDUE, usual,
						    tr_worktime_spread(takes));
		set_latest(&row->hung_at, sent_at);
		set_latest(&row->failed_at, sent_at);
	} else if (symptom == TR_SYMPTOM_FAILED) {
		set_latest(&row->hung_at, now);
		set_latest(&row->failed_at, now);
	} else if (tr_symptom_ends_request(symptom) &&
		   symptom != TR_SYMPTOM_ANSWERED_OVERDUE) {
		set_latest(&row->answered_at, now);
		set_latest(&row->answered_sent_at, now - usual);
	}
}

/* A request that was overdue at the target has ended without an answer. */
void tr_roster_end_hang(struct tr_instance *row, apr_time_t now)
{
	if (!tr_instance_answered_since_hang(row))
		row->failed_at = now;
}
