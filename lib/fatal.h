#ifndef TR_FATAL_H
#define TR_FATAL_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

#include "hash.h"

#define TR_FATAL_ROWS_MAX 256
#define TR_FATAL_ENDS_MAX 6

/* A target that ended while it ran the request; known is how many such ends the
 * VM that sent it knew of at that time. */
struct tr_fatal_end {
	uint32_t target;
	unsigned known;
	apr_time_t ended;
};

/*
 * What the fleet knows of one request under which targets ended. answered_at is
 * when it was last answered, by any VM: what ended before that is void.
 * refused_since is 0 while it is served; tries and tried_at count how often it
 * was let through since, by all VMs; try_at is when this VM may let it through.
 * trial_at is when it was sent last while it was a suspect.
 */
struct tr_fatal {
	uint64_t identity;
	struct tr_fatal_end ends[TR_FATAL_ENDS_MAX];
	unsigned ends_count;
	apr_time_t answered_at;
	apr_time_t refused_since;
	unsigned tries;
	apr_time_t tried_at;
	apr_time_t try_at;
	apr_time_t trial_at;
	apr_time_t asked_at;
	bool changed;
};

struct tr_fatals {
	struct tr_fatal *rows;
	unsigned count;
	unsigned room;
	unsigned next_reported;
};

enum tr_fatal_verdict {
	TR_FATAL_PASS,
	TR_FATAL_TRY,
	TR_FATAL_WAIT,
	TR_FATAL_REFUSE,
};

/* What a piece of news has changed. */
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
				  struct tr_fatal *reported, unsigned most,
				  apr_time_t now);
unsigned tr_fatal_collect_recent(struct tr_fatals *fatals,
				 struct tr_fatal *reported, unsigned most,
				 apr_time_t now);

#endif
