#ifndef TR_COVER_H
#define TR_COVER_H

#include "roster.h"

/* Targets that may be due at the same time. */
#define TR_COVER_IDLE 32

/* A target that has had no request for a while; left: until it must have one.
 */
struct tr_cover_idle {
	uint32_t row;
	double risk;
	apr_time_t left;
};

/*
 * How much of a service is at work: its targets, each by the chance that it is
 * well; those that had a request within idle_after, of them those at rest,
 * which have none in flight; and those that are idle, the one with the least
 * time left first.
 */
struct tr_cover {
	apr_time_t idle_after;
	double at_work;
	double at_rest;
	double idle_well;
	struct tr_cover_idle idle[TR_COVER_IDLE];
	unsigned idle_count;
};

/* What came of a service's requests lately: how many ended, the part of them
 * that failed, and how many a second come. */
struct tr_cover_work {
	double outcomes;
	double failing;
	double rate;
};

/* What the floor asks for of a service. */
enum tr_cover_verdict {
	TR_COVER_ENOUGH,
	TR_COVER_FEW_REQUESTS,
	TR_COVER_SHORT,
};

void tr_cover_init(struct tr_cover *cover, bool may_repeat);
void tr_cover_see(struct tr_cover *cover, const struct tr_instance *row,
		  uint32_t at, double risk, bool fits, apr_time_t now);
enum tr_cover_verdict tr_cover_verdict(const struct tr_cover *cover,
				       double share,
				       const struct tr_cover_work *work,
				       double *missing);
uint32_t tr_cover_due(const struct tr_cover *cover, double share,
		      const struct tr_cover_work *work, double drawn);

#endif
