#ifndef TR_ROSTER_H
#define TR_ROSTER_H

/*
 * The roster: all targets that the platform lists, with what is known of each.
 */
#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "gray.h"
#include "held_bytes.h"
#include "index.h"
#include "send_limit.h"
#include "service_stats.h"
#include "target_speed.h"

#define TR_ADDRESS_MAX 23
/* The store counts as interrupted if it gave no answer for this long. Readers
 * ask the store about three times a second, so that three reads have failed by
 * then. */
#define TR_INTERRUPTION_MIN TR_MSEC(1000)

/* What the platform lists of one target, as VMs send it to each other. */
struct tr_target_record {
	char id[TR_ID_MAX + 1];
	char service[TR_ID_MAX + 1];
	char address[TR_ADDRESS_MAX + 1];
	char data_centre[TR_ID_MAX + 1];
	/* Requests that it serves at a time. */
	uint32_t slots;
	bool leaving;
	bool gone;
	/* It left or ended in a former era of the store, whose copy lists it as
	 * it was before. */
	bool stale_copy;
	/* It is gone as its entry is missing since an interruption, this long
	 * ago, and it may write it again. */
	bool lapsed;
	apr_time_t lapsed_for;
	/* Time until it has warmed up, in us. */
	apr_time_t cold_for;
	uint64_t revision;
	/* When it started, in ms of Unix time; 0 if not reported. */
	uint64_t born;
};

/* One start of a target, a row of the roster. Times are of the steady clock. */
struct tr_instance {
	bool used;
	/* Its home is another group of VMs. What this VM knows of it is that
	 * group's last report and its own group's requests there. */
	bool remote;
	/* Its home group, and the generation of groups it was found in. */
	uint16_t home;
	uint32_t home_generation;
	/* Requests in flight by the home group's last report, and its time. */
	uint16_t reported_in_flight;
	apr_time_t reported_at;
	uint32_t list_mark;
	bool gone;
	bool leaving;
	/* It left or ended in a former era, and the store's copy says
	 * otherwise.
	 */
	bool stale_copy;
	/* The target has started again under the same id, in another row. */
	bool superseded;
	apr_time_t gone_at;
	apr_time_t leaving_since;
	/* End of the interruption after which its entry was missing, or 0. */
	apr_time_t lapsed_at;
	apr_time_t cold_until;
	apr_time_t known_since;
	apr_time_t changed_at;
	char id[TR_ID_MAX + 1];
	/* Identifies this start of the target in messages. */
	uint32_t hash;
	uint32_t service;
	char address[TR_ADDRESS_MAX + 1];
	char data_centre[TR_ID_MAX + 1];
	uint32_t slots;
	uint64_t revision;
	uint64_t born;
	struct tr_gray gray;
	apr_time_t full_until;
	apr_time_t unreachable_until;
	/* Until when this VM prefers targets that it reaches by itself. */
	apr_time_t detour_until;
	/* It announced in an answer that it is leaving. Unlike leaving, which
	 * the platform reports, this holds until it ends. */
	bool says_leaving;
	/* Its row among the limits that targets have set, or TR_NO_ROW. */
	uint32_t limit;
	/* Until when it has asked this VM to send nothing. */
	apr_time_t backoff_until;
	uint32_t in_flight;
	/* This VM's attempts that have no connection yet. */
	uint32_t connecting;
	/* This VM's idle connections to it. */
	uint32_t idle_conns;
	uint32_t others_in_flight;
	/* When the newest request was sent there, by any VM. */
	apr_time_t used_at;
	/* When a request last turned out to have failed or, if it was overdue,
	 * ended. */
	apr_time_t failed_at;
	/* When an answer last came, and about when its request was sent. */
	apr_time_t answered_at;
	apr_time_t answered_sent_at;
	/* The latest time at which the newest overdue or failed request may
	 * have been sent. */
	apr_time_t hung_at;
	struct tr_target_speed speed;
	struct tr_held_history held_history;
	struct tr_held_bytes held;
	/* It was found slow and hasn't recovered since. */
	bool slow;
	struct tr_symptom_totals own;
	/* Changes are to be reported to this group, and to its home group. */
	bool dirty;
	bool dirty_remote;
	/* The end of this VM's last request there was sent once; it is sent
	 * again in case that message was lost. */
	bool report_again;
	bool idle_logged;
};

struct tr_roster {
	struct tr_instance *rows;
	unsigned count;
	unsigned capacity;
	struct tr_index by_hash;
	struct tr_index by_id;
	struct tr_send_limits limits;
	/* Targets that announced in an answer that they are leaving. */
	unsigned says_leaving_count;
	uint32_t list_mark;
	/* There are targets whose home group is not known. */
	bool homes_stale;
	/* Changes of targets of other groups are to be reported. */
	bool remote_changed;
	apr_time_t stepped_at;
	struct tr_service_stats *services;
	unsigned services_count;
	/* The speed of targets is learned from outcomes. */
	bool learn_target_speed;
	/* The revision of the list. */
	uint64_t as_of;
	/* The store's era, the latest one that this VM has heard of, and the
	 * least revision at which a VM has read the store in it, a number: what
	 * is newer is not from the copy. */
	uint32_t era;
	uint64_t era_start;
	/* The store has returned from a copy while this VM ran. */
	bool store_returned;
	/* A departure that the others may not know is to be reported. */
	bool departures_due;
	/* When the list was last known to be complete and current, by the
	 * steady clock. */
	apr_time_t confirmed_at;
	/* When another VM last confirmed its list, which may differ. */
	apr_time_t peers_confirmed_at;
	/* When the store answered again after an interruption. */
	apr_time_t resumed_at;
	apr_time_t learned_at;
	bool digest_known;
	uint64_t digest;
};

void tr_roster_release(struct tr_roster *roster);
uint32_t tr_roster_service(struct tr_roster *roster, const char *name);
bool tr_roster_apply(struct tr_roster *roster,
		     const struct tr_target_record *record, apr_time_t now);
void tr_roster_repeat_departures(struct tr_roster *roster, apr_time_t now);
void tr_roster_reject_entry(struct tr_roster *roster, const char *id,
			    uint64_t revision, apr_time_t now);
bool tr_roster_enter_era(struct tr_roster *roster, uint64_t as_of,
			 uint64_t start, apr_time_t now);
uint64_t tr_roster_peer_revision(const struct tr_roster *roster, uint64_t era,
				 uint64_t number);
void tr_roster_drop_unlisted(struct tr_roster *roster,
			     const struct tr_target_record *records,
			     unsigned count, uint64_t as_of, apr_time_t now);
apr_time_t tr_roster_last_answer(const struct tr_roster *roster);
bool tr_roster_note_answer(struct tr_roster *roster, apr_time_t asked_at,
			   apr_time_t now);
void tr_roster_note_peer(struct tr_roster *roster, apr_time_t age,
			 apr_time_t now);
void tr_roster_confirm(struct tr_roster *roster, uint64_t as_of, apr_time_t age,
		       apr_time_t now);
void tr_roster_confirm_from_peer(struct tr_roster *roster, uint64_t as_of,
				 apr_time_t reported_age, apr_time_t now);
void tr_roster_step(struct tr_roster *roster, apr_time_t now);
uint64_t tr_roster_digest(struct tr_roster *roster);
struct tr_instance *tr_roster_by_hash(struct tr_roster *roster, uint32_t hash);
void tr_roster_export_record(const struct tr_roster *roster,
			     const struct tr_instance *row,
			     struct tr_target_record *record, apr_time_t now);
void tr_roster_mark_dirty(struct tr_roster *roster, struct tr_instance *row);
uint32_t tr_instance_in_flight(const struct tr_instance *row, apr_time_t now);
void tr_roster_apply_report(struct tr_instance *row, double gray_probability,
			    unsigned in_flight, apr_time_t now);
struct tr_send_limit *tr_roster_limit(const struct tr_roster *roster,
				      const struct tr_instance *row);
uint32_t tr_roster_limit_index(struct tr_roster *roster,
			       struct tr_instance *row);
bool tr_roster_mark_leaving(struct tr_roster *roster, struct tr_instance *row);
bool tr_instance_serves(const struct tr_instance *row, apr_time_t now);
bool tr_instance_usable(const struct tr_instance *row, apr_time_t now);
bool tr_instance_answered_since_hang(const struct tr_instance *row);

/* Outcomes of requests of the whole fleet, as far as they are reported. */
void tr_roster_add_outcome(struct tr_roster *roster, struct tr_instance *row,
			   enum tr_symptom symptom, unsigned times,
			   apr_time_t now);
void tr_roster_end_hang(struct tr_instance *row, apr_time_t now);

#endif
