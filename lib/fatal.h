/*
 * Requests that make targets end, such as by a crash. The fleet counts the
 * targets that ended under a request and refuses it from then on, except for
 * rare trials.
 */
#ifndef TR_FATAL_H
#define TR_FATAL_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

#include "hash.h"

#define TR_FATAL_ROWS_MAX 256
#define TR_FATAL_ENDS_MAX 6

/* A target that ended, for example crashed, while it ran the request. */
struct tr_fatal_end {
	uint32_t target;
	/* Ends that the sending VM knew of when it sent the request. */
	unsigned known;
	apr_time_t ended;
};

/* What the fleet knows of one request under which targets ended. */
struct tr_fatal {
	uint64_t identity;
	struct tr_fatal_end ends[TR_FATAL_ENDS_MAX];
	unsigned ends_count;
	/* When any VM last got an answer to it; earlier ends are void. */
	apr_time_t answered_at;
	/* 0 while the request is served. */
	apr_time_t refused_since;
	/* How often and when the fleet last let it through since then. */
	unsigned tries;
	apr_time_t tried_at;
	/* When this VM may let it through. */
	apr_time_t next_try_at;
	/* When it was last sent as a canary. */
	apr_time_t trial_at;
	/* When a caller last sent it to this VM, while it is refused. */
	apr_time_t last_requested_at;
	/* Whether the row is to be reported to the other VMs. */
	bool changed;
};

struct tr_fatals {
	struct tr_fatal *rows;
	unsigned count;
	unsigned capacity;
	/* Row at which the next message continues. */
	unsigned next_reported;
};

enum tr_fatal_verdict {
	TR_FATAL_PASS,
	TR_FATAL_TRY,
	TR_FATAL_WAIT,
	TR_FATAL_REFUSE,
};

/* Whether a report or an outcome changed how the request is handled. */
enum tr_fatal_change {
	TR_FATAL_SAME,
	TR_FATAL_REFUSED,
	TR_FATAL_SERVED,
};

void tr_fatal_release(struct tr_fatals *fatals);
const struct tr_fatal *tr_fatal_find(const struct tr_fatals *fatals,
				     uint64_t identity);
enum tr_fatal_verdict tr_fatal_admit(struct tr_fatals *fatals,
				     uint64_t identity,
				     struct tr_random *random, apr_time_t now);
unsigned tr_fatal_count_ends(const struct tr_fatals *fatals, uint64_t identity);
bool tr_fatal_may_repeat(const struct tr_fatals *fatals, uint64_t identity);
apr_time_t tr_fatal_retry_after(const struct tr_fatals *fatals,
				uint64_t identity, apr_time_t now);
enum tr_fatal_change tr_fatal_ended(struct tr_fatals *fatals, uint64_t identity,
				    const struct tr_fatal_end *end,
				    struct tr_random *random, apr_time_t now);
enum tr_fatal_change tr_fatal_answered(struct tr_fatals *fatals,
				       uint64_t identity, apr_time_t now);
enum tr_fatal_change tr_fatal_reported(struct tr_fatals *fatals,
				       const struct tr_fatal *reported,
				       struct tr_random *random,
				       apr_time_t now);
unsigned tr_fatal_collect_changed(struct tr_fatals *fatals,
				  struct tr_fatal *reported, unsigned max_rows,
				  apr_time_t now);
unsigned tr_fatal_collect_recent(struct tr_fatals *fatals,
				 struct tr_fatal *reported, unsigned max_rows,
				 apr_time_t now);

#endif
