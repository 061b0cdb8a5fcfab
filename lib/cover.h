#ifndef TR_COVER_H
#define TR_COVER_H

#include "roster.h"

/*
 * How much of a service is at work: its sound targets, each by the chance that
 * it is well, those of them that were given a request lately, and of the rest
 * the one that is most probably well. sound_away: those of other groups.
 */
struct tr_cover {
	uint32_t salt;
	apr_time_t span;
	double sound;
	double used;
	double sound_away;
	uint32_t row;
	double risk;
};

void tr_cover_init(struct tr_cover *cover, uint32_t salt, bool scout);
void tr_cover_see(struct tr_cover *cover, const struct tr_instance *row,
		  uint32_t at, double risk, bool fits, apr_time_t now);
void tr_cover_see_away(struct tr_cover *cover, double risk);
uint32_t tr_cover_due(const struct tr_cover *cover, double share,
		      double outcomes, double failing);

#endif
