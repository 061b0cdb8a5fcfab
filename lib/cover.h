#ifndef TR_COVER_H
#define TR_COVER_H

#include "roster.h"

/* Targets that may be due at the same time. */
#define TR_COVER_IDLE 16

/* A target that has had no request for a while. */
struct tr_cover_idle {
	uint32_t row;
	double risk;
};

/*
 * How much of a service is at work: its sound targets, each by the chance that
 * it is well, those of them that were given a request lately, and of the rest
 * those that are most probably well, in that order. sound_away: those of other
 * groups.
 */
struct tr_cover {
	apr_time_t span;
	double sound;
	double used;
	double sound_away;
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

void tr_cover_init(struct tr_cover *cover, bool scout);
void tr_cover_see(struct tr_cover *cover, const struct tr_instance *row,
		  uint32_t at, double risk, bool fits, apr_time_t now);
void tr_cover_see_away(struct tr_cover *cover, double risk);
uint32_t tr_cover_due(const struct tr_cover *cover, double share,
		      const struct tr_cover_work *work, double drawn);

#endif
