/*
 * When a VM reads the store, and what its failed reads say of the store. Times
 * are of the steady clock, in us.
 */
#ifndef TR_READING_H
#define TR_READING_H

#include "hash.h"
#include "membership.h"
#include "roster.h"

/* Reads that failed in a row. */
struct tr_read_failures {
	unsigned count;
	/* When the first of them was sent, and when it failed. */
	apr_time_t first_sent_at;
	apr_time_t first_failed_at;
};

struct tr_reading {
	struct tr_read_failures failures;
	/* Mean delay before the next read, or 0 after an answer. */
	apr_time_t retry;
	/* When a read last failed, or 0. Kept when the series ends. */
	apr_time_t failed_at;
};

bool tr_reading_is_due(const struct tr_reading *r,
		       const struct tr_roster *roster,
		       const struct tr_membership *m, apr_time_t now);
apr_time_t tr_reading_fail(struct tr_reading *r, struct tr_membership *m,
			   struct tr_random *random, apr_time_t sent_at,
			   apr_time_t now);
void tr_reading_succeed(struct tr_reading *r, struct tr_membership *m);
void tr_reading_stop(struct tr_reading *r, const struct tr_roster *roster);
void tr_reading_forget(struct tr_reading *r);
bool tr_reading_sees_outage(const struct tr_reading *r,
			    const struct tr_roster *roster);
bool tr_reading_may_end_interruption(const struct tr_reading *r,
				     const struct tr_roster *roster,
				     const struct tr_membership *m,
				     apr_time_t now);

#endif
