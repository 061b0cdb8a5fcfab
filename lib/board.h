/*
 * The state that the controllers of a VM share (a blackboard): its services,
 * their targets and peers, and the orders and votes for them. Each table has
 * one writer; docs/ARCHITECTURE.md lists them.
 */
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

/*
 * Times that all VMs of a fleet must agree on: the gossip periods when nothing
 * is wrong, while a target is suspect and when one has just begun to fail; how
 * long a vote and an order last; and when a silent peer counts as down.
 */
#define TR_GOSSIP_PERIOD_IDLE	TR_MSEC(2000)
#define TR_GOSSIP_PERIOD_ALERT	TR_MSEC(500)
#define TR_GOSSIP_PERIOD_URGENT TR_MSEC(100)
#define TR_VOTE_TTL		TR_MSEC(6000)
#define TR_ORDER_TTL		TR_MSEC(6000)
#define TR_PEER_TTL		TR_MSEC(6000)

/* What an order says about a target. */
enum tr_order_kind {
	TR_ORDER_NONE,
	TR_ORDER_EJECT,
	TR_ORDER_PROBATION,
};

/*
 * An order received from the service's owner: this VM may stop using a target
 * until the lease ends.
 */
struct tr_order {
	enum tr_order_kind kind;
	uint32_t vantages; /* bit mask of where it applies */
	apr_time_t until;
	bool honoured; /* following it does not break the floor */
};

/* The same order on the owner's side. */
struct tr_grant {
	enum tr_order_kind kind;
	uint32_t vantages;
	apr_time_t since;
	apr_time_t hold_until;	/* when probation starts */
	apr_time_t lease_until; /* when it has expired at every VM */
};

/* State of a baseline detector for one target; every VM has its own. */
struct tr_local_ejection {
	unsigned consecutive_failures;
	bool health_failed;
	apr_time_t ejected_until;
	unsigned times; /* ejections so far */
};

/* One target of a service. */
struct tr_target {
	uint32_t id;
	char name[TR_NAME_MAX + 1];
	char address[46];
	int vantage; /* index of its data centre in the document, or -1 */
	bool listed; /* in the published list */
	bool leaving;
	apr_time_t leaving_since;
	apr_time_t cold_until; /* gets one request at a time until then */
	apr_time_t unreachable_until;
	apr_time_t full_until; /* refused for lack of a slot */
	apr_time_t last_probe_at;
	apr_time_t probe_interval;
	uint32_t in_flight;
	uint32_t home_slots; /* slots assigned to this VM */
	uint32_t reported_load;
	apr_time_t reported_at;
	bool avoided;		  /* used only when the others are full */
	apr_time_t floor_held_at; /* when the floor last kept it in use */
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
	bool known; /* a message has come from it */
	bool up;    /* heard within TR_PEER_TTL */
	bool leaving;
	bool suspects_itself;
	bool confirmed; /* it has a confirmed document */
	struct tr_boot boot;
	/* Earlier processes, whose messages are ignored. */
	struct tr_boot retired[TR_RETIRED_PEER_BOOTS];
	unsigned retired_count;
	uint64_t sequence;
	apr_time_t heard_at;
	apr_time_t peer_sent_at; /* newest send time, on its clock */
	apr_time_t last_echo_at; /* newest send time of ours it echoed */
	apr_time_t vote_until;	 /* its vote for this VM */
	apr_time_t last_sent_at;
	uint64_t document_revision;
	uint64_t targets_revision;
};

/*
 * This VM's part in electing the owner, the VM that gives orders for a service.
 */
struct tr_vote {
	uint64_t for_vm; /* whom this VM votes for */
	apr_time_t until;
	bool owner;
	apr_time_t quorum_since;
	unsigned votes; /* for this VM */
	unsigned needed;
};

/* Counters since the service was added. */
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
	uint64_t probes;
};

struct tr_detector_ops;

/* One service that this VM serves. */
struct tr_service {
	bool used;
	char name[TR_NAME_MAX + 1];
	uint64_t id;
	struct tr_document *document;
	uint64_t document_revision;
	uint64_t targets_revision;
	bool confirmed;	      /* no peer is known to hold a newer document */
	bool confirmed_alone; /* after a timeout, without the peers */
	apr_time_t added_at;
	apr_time_t needed_until; /* the row is kept until then */
	uint32_t users;		 /* requests that refer to the row */
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
	bool shared_fault; /* half of the targets fail, see detector.c */
	uint32_t shared_fault_vantages;
	double outcomes_per_day;
	double outcomes_window; /* outcomes counted since outcomes_at */
	apr_time_t outcomes_at;
	struct tr_vote vote;
	bool has_suspects; /* gossip more often */
	apr_time_t last_urgent_at;
	struct tr_latency latency[TR_LATENCY_ROWS];
	struct tr_retry_budget retries;
	struct tr_queue queue;
	struct tr_service_counts counts;
};

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
