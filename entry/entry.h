#ifndef ENTRY_H
#define ENTRY_H

/*
 * The shared state of an entry VM, and what is applied to it from the store and
 * from peers.
 */
#include "admission.h"
#include "allowance.h"
#include "buffers.h"
#include "caller.h"
#include "clock.h"
#include "crossing.h"
#include "dial.h"
#include "dialect.h"
#include "fatal.h"
#include "fetch.h"
#include "limit.h"
#include "hash.h"
#include "kept.h"
#include "loop.h"
#include "membership.h"
#include "pacer.h"
#include "proof.h"
#include "revision.h"
#include "roster.h"
#include "route.h"
#include "routes_view.h"
#include "stop.h"

struct entry_settings;
struct exchange;
struct mesh;
struct path_check;
struct reader;
struct tunnel;

/* Counters of the metrics endpoint. */
struct entry_counts {
	uint64_t requests;
	uint64_t answered; /* replies of targets that were forwarded */
	uint64_t refused;  /* requests answered with 503 by this VM */
	uint64_t failed;   /* with another status by this VM */
	uint64_t repeats;
	uint64_t resent; /* repeats that the bound allowed */
	uint64_t repeats_denied;
	uint64_t callers_gone;
	uint64_t lookups;
	uint64_t lookups_weighted; /* that named a part of the VMs by weight */
	uint64_t store_calls;
	uint64_t store_failures;
	uint64_t messages_in;
	uint64_t messages_out;
	uint64_t pulls;
	uint64_t pulls_failed;
	uint64_t targets_refused;
	uint64_t messages_refused;
	uint64_t reused;
	uint64_t reused_dead; /* idle connections found dead when reused */
	uint64_t keys_refused;
	uint64_t unproven; /* refused for want of a proof or of newer routes */
	uint64_t over_limit;
	uint64_t fatal;
	uint64_t notices_refused;
	uint64_t kept_for_bytes; /* refused, as no target could hold the body */
	uint64_t oversized; /* responses of targets that exceeded a limit */
	uint64_t unreached; /* attempts that no connection was made for */
	uint64_t via_peer;  /* requests sent through another VM */
	uint64_t detours;   /* targets that only another VM could reach */
	uint64_t tunnels;   /* connections made for other VMs */
	/* Requests sent to another data centre, and bytes of these and of their
	 * answers. */
	uint64_t left_data_centre;
	uint64_t bytes_left_data_centre;
};

/*
 * The shared state of an entry VM. Each part has its writers: reader.c and
 * mesh.c write the list of targets in the roster, the routes, up to where they
 * are known, their proof and the members; upstream.c the work and the evidence
 * of the roster's rows; repeat.c the allowances; exchange_identify.c the
 * limits; exchange_fatal.c and mesh_fatal.c the requests under which targets
 * end; admission.c and mesh_flows.c the flows, admission.c the decisions on
 * overload; kept.c the idle connections; path_watch.c and upstream.c the paths;
 * dial.c the memory of relays; tunnel.c the tunnels; crossing_watch.c what
 * leaves the data centre.
 */
struct entry {
	struct loop *loop;
	const struct entry_settings *settings;
	const struct dialect *dialect;
	struct tr_roster roster;
	struct tr_membership members;
	struct tr_routes *routes;
	struct tr_routes_view routes_view;
	struct tr_random random;
	struct tr_repeat_bound repeat_bound;
	struct tr_allowance *allowances;
	unsigned allowances_count;
	struct tr_crossing *crossings; /* one for each service */
	unsigned crossings_count;
	struct tr_limit_bound limit_bound;
	struct tr_limits limits;
	struct admission admission;
	struct tr_proof proof;
	struct tr_fatals fatals;
	struct idle_conns idle_conns;
	struct tr_relay_memory relay_memory;
	struct path_check *path_checks;
	struct tunnel *tunnels; /* connections to targets for other VMs */
	unsigned tunnels_count;
	uint64_t refused_revision; /* of the last invalid configuration */
	/* Place of the last one that was fetched from a peer in vain. */
	uint64_t refused_order;
	/* Of the last configuration of the store that is older than the one in
	 * force. */
	uint64_t outdated_revision;
	double split_position; /* quasi-random draw of the traffic split */
	struct tr_stop stop;   /* begins with the stop signal */
	bool ready;	       /* since the routes and the list are here */
	bool start_settled;    /* see entry_is_settled() */
	bool list_fetched;     /* from a peer, since the start */
	apr_time_t stepped_at; /* last step of the event loop */
	apr_time_t idle_checked_at;
	apr_time_t floors_logged_at;
	apr_time_t repeats_logged_at;
	apr_time_t crossings_updated_at;
	apr_time_t hold_until; /* requests are held after a pause */
	apr_time_t started_at;
	/* Since when this VM knows of all repeats that it sent. */
	apr_time_t repeats_known_since;
	/* Until then requests are held if organisations have limits. */
	apr_time_t limits_settle_at;
	GPtrArray *held_callers; /* callers whose requests are held */
	struct mesh *mesh;
	struct reader *reader;
	struct listener front;	   /* requests of callers */
	struct listener directory; /* lookups of entry VMs */
	struct listener readiness; /* health checks of the platform */
	struct listener metrics;
	struct exchange *exchanges;
	unsigned exchanges_count;
	struct entry_counts counts;
	struct tr_buffers buffers; /* the account of bytes in transit */
	uint64_t buffers_given_up; /* as last seen by the loop */
	struct tr_pacer refusal_log_limiter;
	struct tr_pacer notice_log_limiter;
	struct tr_pacer slow_log_limiter;
	GArray *times; /* latency histograms, see times.h */
};

static inline apr_time_t entry_now(const struct entry *e)
{
	return tr_clock_now(loop_clock(e->loop));
}

/* Returns whether the VM has got the stop signal. */
static inline bool entry_is_leaving(const struct entry *e)
{
	return e->stop.since != 0;
}

/* Returns the era of the revision as the store numbers it, or -1 if it is not
 * known. */
static inline long entry_era_number(uint64_t revision)
{
	return (long)tr_revision_era(revision) - 1;
}

/* Returns whether the place of a configuration is one that mesh_routes_order()
 * guesses for a VM of another build. */
static inline bool entry_is_guessed_order(uint64_t order)
{
	return order % 2;
}

bool entry_apply_item(struct entry *e, const struct store_item *item,
		      const char *from, struct tr_target_record *record);
bool entry_apply_listed(struct entry *e, const struct tr_target_record *record,
			const char *from);
void entry_apply_target(struct entry *e, const struct tr_target_record *record,
			const char *from);
bool entry_apply_routes(struct entry *e, const struct store_item *item,
			const char *from);
void entry_enter_era(struct entry *e, uint64_t as_of, uint64_t start,
		     const char *from);
void entry_log_refusal(struct entry *e, const char *event, const char *format,
		       ...) G_GNUC_PRINTF(3, 4);
uint64_t entry_routes_order(const struct entry *e);
bool entry_store_lacks_routes(const struct entry *e);
bool entry_knows_routes(const struct entry *e);
bool entry_check_pause(struct entry *e, apr_time_t now);
void entry_apply_bounds(struct entry *e);
apr_time_t entry_view_age(const struct entry *e);
bool entry_may_use_keys(const struct entry *e);
bool entry_is_settled(struct entry *e);
bool entry_takes_callers(const struct entry *e);
struct tr_allowance *entry_allowance(struct entry *e, uint32_t service);

#endif
