#ifndef TR_BOARD_H
#define TR_BOARD_H

#include <stdbool.h>

#include "admit.h"
#include "clock.h"
#include "dispatch.h"
#include "document.h"
#include "event.h"
#include "evidence.h"
#include "fleet.h"
#include "hash.h"
#include "key.h"
#include "latency.h"
#include "retry.h"

#define TR_MAX_SERVICES	      64
#define TR_LATENCY_ROWS	      64
#define TR_RETIRED_PEER_BOOTS 4

/* Times that all VMs of a fleet must agree on. */
#define TR_GOSSIP_PERIOD_IDLE	TR_MSEC(2000)
#define TR_GOSSIP_PERIOD_ALERT	TR_MSEC(500)
#define TR_GOSSIP_PERIOD_URGENT TR_MSEC(100)
#define TR_VOTE_TTL		TR_MSEC(6000)
#define TR_ORDER_TTL		TR_MSEC(6000)
#define TR_PEER_TTL		TR_MSEC(6000)

enum tr_order_kind {
	TR_ORDER_NONE,
	TR_ORDER_EJECT,
	TR_ORDER_PROBATION,
};

/* An owner's word that this VM may stop using a target, and until when. */
struct tr_order {
	enum tr_order_kind kind;
	uint32_t vantages;
	apr_time_t until;
	bool honoured;
};

/* The owner's side of an order. */
struct tr_grant {
	enum tr_order_kind kind;
	uint32_t vantages;
	apr_time_t since;
	apr_time_t hold_until;
	apr_time_t lease_until;
};

/* A baseline detector's state for one target; each VM on its own. */
struct tr_local_ejection {
	unsigned consecutive_failures;
	bool health_failed;
	apr_time_t ejected_until;
	unsigned times;
};

struct tr_target {
	uint32_t id;
	char name[TR_NAME_MAX + 1];
	char address[46];
	int vantage;
	bool listed;
	bool leaving;
	apr_time_t leaving_since;
	apr_time_t cold_until;
	apr_time_t unreachable_until;
	apr_time_t full_until;
	apr_time_t last_probe_at;
	apr_time_t probe_interval;
	uint32_t in_flight;
	uint32_t home_slots;
	uint32_t reported_load;
	apr_time_t reported_at;
	bool avoided;
	apr_time_t held_at;
	unsigned eject_count;
	apr_time_t last_ejected_at;
	struct tr_evidence evidence;
	struct tr_order order;
	struct tr_grant grant;
	struct tr_local_ejection local;
	uint64_t sent;
	uint64_t answered;
	uint64_t refused;
};

/* Another VM of the service's cell. */
struct tr_peer {
	uint64_t vm_id;
	char name[TR_NAME_MAX + 1];
	int vantage;
	bool in_cell;
	bool known;
	bool up;
	bool leaving;
	bool suspects_itself;
	bool confirmed;
	struct tr_boot boot;
	struct tr_boot retired[TR_RETIRED_PEER_BOOTS];
	unsigned retired_at;
	uint64_t sequence;
	apr_time_t heard_at;
	apr_time_t peer_sent_at;
	apr_time_t last_echo_at;
	apr_time_t vote_until;
	apr_time_t last_sent_at;
	uint64_t document_revision;
	uint64_t targets_revision;
};

/* This VM's part in choosing who hands out orders for a service. */
struct tr_vote {
	uint64_t for_vm;
	apr_time_t until;
	bool owner;
	apr_time_t quorum_since;
	unsigned votes;
	unsigned needed;
};

struct tr_service_counts {
	uint64_t requests;
	uint64_t answered;
	uint64_t not_run;
	uint64_t unknown;
	uint64_t retries;
	uint64_t shed;
	uint64_t ejections;
	uint64_t restores;
	uint64_t floor_held;
	uint64_t trickles;
};

struct tr_detector_ops;

/* One service that this VM serves: a row of the blackboard. */
struct tr_service {
	bool used;
	char name[TR_NAME_MAX + 1];
	uint64_t id;
	struct tr_document *document;
	uint64_t document_revision;
	uint64_t targets_revision;
	bool confirmed;
	bool confirmed_alone;
	apr_time_t added_at;
	apr_time_t needed_until;
	uint32_t users;
	struct tr_cell cell;
	bool in_cell;
	bool was_in_cell;
	bool platform_has_none;
	unsigned targets_count;
	struct tr_target targets[TR_MAX_TARGETS];
	unsigned peers_count;
	struct tr_peer peers[TR_MAX_CELL];
	struct tr_evidence_rules rules;
	const struct tr_detector_ops *detector;
	double base_rate;
	bool shared_fault;
	uint32_t shared_fault_vantages;
	double outcomes_per_day;
	double outcomes_window;
	apr_time_t outcomes_at;
	struct tr_vote vote;
	bool raised;
	apr_time_t last_urgent_at;
	struct tr_latency latency[TR_LATENCY_ROWS];
	struct tr_retry_budget retries;
	struct tr_queue queue;
	struct tr_service_counts counts;
};

/*
 * The blackboard. Each table has one writer; docs/ARCHITECTURE.md lists them.
 */
struct tr_board {
	struct tr_clock clock;
	struct tr_random random;
	uint64_t vm_id;
	char vm_name[TR_NAME_MAX + 1];
	char data_centre[TR_NAME_MAX + 1];
	struct tr_boot boot;
	apr_time_t started_at;
	bool leaving;
	bool suspects_itself;
	struct tr_fleet fleet;
	struct tr_dispatcher dispatcher;
	struct tr_event_ring *events;
	uint64_t (*wall)(void *ctx);
	void *wall_ctx;
	struct tr_service services[TR_MAX_SERVICES];
};

struct tr_service *tr_board_service(struct tr_board *board, const char *name);
struct tr_service *tr_board_service_by_id(struct tr_board *board, uint64_t id);
struct tr_service *tr_board_add_service(struct tr_board *board,
					const char *name);
int tr_board_vantage(const struct tr_board *board,
		     const struct tr_service *svc);
struct tr_target *tr_service_target(struct tr_service *svc, uint32_t id);
void tr_board_event(struct tr_board *board, enum tr_event_kind kind,
		    const char *service, const char *subject,
		    const char *detail, ...)
	__attribute__((format(printf, 5, 6)));

#endif
