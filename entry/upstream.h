#ifndef UPSTREAM_H
#define UPSTREAM_H

#include "entry.h"

/* How one attempt at a target ended. */
enum upstream_end {
	UPSTREAM_ANSWERED,
	UPSTREAM_FAILED,
	UPSTREAM_REFUSED,
	UPSTREAM_UNREACHED,
	UPSTREAM_BROKEN,
	UPSTREAM_TIMED_OUT,
	UPSTREAM_ABANDONED,
};

struct upstream;

typedef void (*upstream_done_fn)(void *ctx, struct upstream *u,
				 enum upstream_end how);

/*
 * One attempt at one target. keeps: its connection may be a kept one and is
 * kept after it; rested is how long a kept one had rested, 0 for a new one;
 * begun_again: a kept one was dead, and a new one took its place. broke_at is
 * when the connection broke off before the answer, and target_ended tells that
 * the target itself did; ends_known is of how many such ends under the same
 * request this VM knew when it sent it.
 */
struct upstream {
	struct entry *e;
	bool active;
	bool connected;
	enum tr_request_stage stage;
	bool refused_421;
	bool notice_read;
	uint32_t row;
	uint32_t hash;
	struct stream stream;
	struct message answer;
	apr_time_t started_at;
	apr_time_t sent_at;
	apr_time_t expected;
	double spread;
	bool queued;
	bool keeps;
	apr_time_t kept_idle_time;
	bool reconnected;
	struct loop_timer *probe_timer;
	apr_time_t broken_at;
	bool target_exited;
	unsigned known_exits;
	const char *request_id;
	upstream_done_fn done;
	void *ctx;
	GString *head;
	const GByteArray *body;
};

/*
 * What is sent: the head is given up to the attempt, the body stays. expected
 * is how long the answer usually takes, with the wait if it is queued there;
 * keeps tells that the request may be sent once more, on a connection that may
 * turn out to be dead.
 */
struct upstream_request {
	const char *request_id;
	GString *head;
	const GByteArray *body;
	bool head_only;
	bool queued;
	bool keeps;
	apr_time_t expected;
	double spread;
	unsigned known_exits;
};

int upstream_start(struct upstream *u, struct entry *e, uint32_t row,
		   const struct upstream_request *request,
		   upstream_done_fn done, void *ctx);
apr_time_t upstream_check_age(struct upstream *u, apr_time_t now);
void upstream_stop(struct upstream *u, enum upstream_end how);
bool upstream_may_have_run(const struct upstream *u);
void upstream_release(struct upstream *u);
const char *upstream_end_name(enum upstream_end how);

#endif
