#ifndef TR_ROSTER_H
#define TR_ROSTER_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

#include "gray.h"
#include "index.h"
#include "send_limit.h"
#include "service_stats.h"

#define TR_ADDRESS_MAX 23

/*
 * What the platform says of one target, as it is passed between VMs. born is
 * when the target started, in ms of Unix time, or 0 where that is not told.
 */
struct tr_target_record {
	char id[TR_ID_MAX + 1];
	char service[TR_ID_MAX + 1];
	char address[TR_ADDRESS_MAX + 1];
	char data_centre[TR_ID_MAX + 1];
	uint32_t slots;
	bool leaving;
	bool gone;
	apr_time_t cold_for;
	uint64_t revision;
	uint64_t born;
};

/*
 * One start of a target: a row of the roster, found by its place. superseded:
 * the target has started again under the same id, in another row. away: another
 * group of VMs is nearest to it; what this VM knows of it is that group's last
 * summary and its own group's requests there, and reported_in_flight is what
 * the summary said of work in progress. kept counts this VM's connections to it
 * that rest. limit is the place of its row among the limits that targets have
 * named, TR_NO_ROW for none; says_leaving and backoff_until are what else it
 * said of itself in its answers. Unlike leaving, which is the platform's word,
 * says_leaving holds until the target's end. used_at: when the newest request
 * was sent there; answered_at: when an answer last came, to one that was sent
 * at about answered_sent_at; hung_at: when the newest request that is overdue
 * or failed was sent, at the latest; failed_at: when a request there last
 * turned out to have failed, or ended. dirty: something is new to be told of
 * it; report_again: the end of this VM's last request there was told once.
 */
struct tr_instance {
	bool used;
	bool away;
	uint16_t home;
	uint32_t home_generation;
	uint16_t reported_in_flight;
	apr_time_t reported_at;
	uint32_t list_mark;
	bool gone;
	bool leaving;
	bool superseded;
	apr_time_t gone_at;
	apr_time_t leaving_since;
	apr_time_t lapsed_at;
	apr_time_t cold_until;
	apr_time_t known_since;
	apr_time_t changed_at;
	char id[TR_ID_MAX + 1];
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
	bool says_leaving;
	uint32_t limit;
	apr_time_t backoff_until;
	uint32_t in_flight;
	uint32_t kept;
	uint32_t others_in_flight;
	apr_time_t used_at;
	apr_time_t failed_at;
	apr_time_t answered_at;
	apr_time_t answered_sent_at;
	apr_time_t hung_at;
	struct tr_symptom_totals own;
	bool dirty;
	bool dirty_away;
	bool report_again;
	bool idle_logged;
};

/*
 * All targets that the platform lists. confirmed_at is when the list was last
 * known to be whole and current, by the steady clock. homes_stale: targets came
 * whose home is not known. away_changed: another group's target has something
 * new to be told. says_leaving_count counts the targets that have said that
 * they leave.
 */
struct tr_roster {
	struct tr_instance *rows;
	unsigned count;
	unsigned room;
	struct tr_index by_hash;
	struct tr_index by_id;
	struct tr_send_limits limits;
	unsigned says_leaving_count;
	uint32_t list_mark;
	bool homes_stale;
	bool away_changed;
	apr_time_t stepped_at;
	struct tr_service_stats *services;
	unsigned services_count;
	uint64_t as_of;
	apr_time_t confirmed_at;
	apr_time_t returned_at;
	apr_time_t learned_at;
	bool digest_known;
	uint64_t digest;
};

void tr_roster_release(struct tr_roster *roster);
uint32_t tr_roster_service(struct tr_roster *roster, const char *name);
bool tr_roster_apply(struct tr_roster *roster,
		     const struct tr_target_record *record, apr_time_t now);
void tr_roster_reject_entry(struct tr_roster *roster, const char *id,
			    uint64_t revision, apr_time_t now);
void tr_roster_drop_unlisted(struct tr_roster *roster,
			     const struct tr_target_record *records,
			     unsigned count, uint64_t as_of, apr_time_t now);
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
void tr_roster_apply_report(struct tr_instance *row, double risk,
			    unsigned in_flight, apr_time_t now);
struct tr_send_limit *tr_roster_limit(const struct tr_roster *roster,
				      const struct tr_instance *row);
uint32_t tr_roster_limit_index(struct tr_roster *roster,
			       struct tr_instance *row);
bool tr_roster_mark_leaving(struct tr_roster *roster, struct tr_instance *row);
bool tr_instance_serves(const struct tr_instance *row, apr_time_t now);
bool tr_instance_usable(const struct tr_instance *row, apr_time_t now);
bool tr_instance_answered_since_hang(const struct tr_instance *row);

/* Outcomes of the whole fleet's requests, as far as they are told. */
void tr_roster_add_outcome(struct tr_roster *roster, struct tr_instance *row,
			   enum tr_symptom symptom, unsigned times,
			   apr_time_t now);
void tr_roster_end_hang(struct tr_instance *row, apr_time_t now);

#endif
