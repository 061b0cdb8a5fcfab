#ifndef UPSTREAM_H
#define UPSTREAM_H

/* Attempts to have a request answered by a target. */
#include "entry.h"
#include "frame.h"

/* How one attempt at a target ended. */
enum upstream_end {
	UPSTREAM_ANSWERED,  /* by a response below 500 */
	UPSTREAM_FAILED,    /* by a response of 500 or above */
	UPSTREAM_REFUSED,   /* the target says that it has not run it */
	UPSTREAM_UNREACHED, /* could not connect, nothing was sent */
	UPSTREAM_BROKEN,    /* the connection or the response broke off */
	UPSTREAM_OVERSIZED, /* the response exceeds a limit, or never ends */
	UPSTREAM_TIMED_OUT, /* the deadline passed */
	UPSTREAM_ABANDONED, /* cancelled, nothing is learned from it */
};

struct upstream;

typedef void (*upstream_done_fn)(void *ctx, struct upstream *u,
				 enum upstream_end how);

/* One attempt at one target. */
struct upstream {
	struct entry *e;
	bool active;
	bool connected;		     /* and the request was written */
	enum tr_request_stage stage; /* how late it is */
	/* The last stage that was settled, reported or not, and the last one
	 * that was reported. Later ones wait since the given time. */
	enum tr_request_stage settled;
	enum tr_request_stage reported;
	apr_time_t waits_since;
	bool misdirected; /* status 421: the address is another target's */
	bool notice_read; /* the target's report about itself was processed */
	uint32_t row;	  /* index in the roster */
	uint32_t hash;	  /* distinguishes later targets in the same row */
	struct dial dial;
	struct stream stream;
	uint32_t peer; /* the VM that the stream goes through, or 0 */
	struct frame_reader frames; /* of the other VM */
	struct message response;
	uint32_t buffer; /* of the response, in the account */
	apr_time_t started_at;
	apr_time_t sent_at;
	/* The expected latency with any wait in the target's queue. */
	apr_time_t expected;
	double spread;
	bool queued;
	bool use_pool;
	/* How long the reused connection was idle; 0 for a new one. */
	apr_time_t pool_idle_time;
	bool reconnected;		/* a reused connection was dead */
	struct loop_timer *probe_timer; /* runs during probe_target() */
	apr_time_t broken_at;		/* when the connection broke off */
	bool target_exited;		/* it refused a new connection */
	/*
	 * How many exits of targets under the same request this VM knew of when
	 * it was sent.
	 */
	unsigned known_exits;
	/* Distinguishes the attempts that use this structure in turn. */
	unsigned attempt;
	uint64_t held_bytes; /* of the body, counted at the target */
	bool in_flight;	  /* counts as such at the target, not as connecting */
	bool announces;	  /* the other VMs are told at once when it is sent */
	bool reserved;	  /* a token of the target's limit, and not sent yet */
	bool path_failed; /* the connection broke by a fault of the path */
	/* What used_at of the target was before this attempt. */
	apr_time_t used_before;
	const char *request_id;
	upstream_done_fn done;
	void *ctx;
	GString *head;
	const GByteArray *body;
};

/*
 * The request to send. The attempt takes over head; body stays with the caller.
 */
struct upstream_request {
	const char *request_id;
	GString *head;
	const GByteArray *body;
	bool head_only;
	/* Behind other work of the target. */
	bool queued;
	/* It may be sent again, so a pooled connection may be used for it. */
	bool use_pool;
	/* The expected latency with any wait in the target's queue. */
	apr_time_t expected;
	/* Standard deviation of the logarithm of the latency. */
	double spread;
	unsigned known_exits;
	/* Tell the other VMs at once when it is sent. */
	bool announces;
};

int upstream_start(struct upstream *u, struct entry *e, uint32_t row,
		   const struct upstream_request *request,
		   upstream_done_fn done, void *ctx);
apr_time_t upstream_check_age(struct upstream *u, apr_time_t now);
void upstream_stop(struct upstream *u, enum upstream_end how);
void upstream_withdraw(struct upstream *u);
bool upstream_is_on_cut_path(const struct upstream *u);
bool upstream_may_have_run(const struct upstream *u);
void upstream_release(struct upstream *u);
const char *upstream_end_name(enum upstream_end how);

#endif
