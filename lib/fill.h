/* Choice among targets whose load is known late. */
#ifndef TR_FILL_H
#define TR_FILL_H

#include "hash.h"

/* A target that may be chosen: its slots, and requests in flight as known. */
struct tr_fill {
	double slots;
	double in_flight;
};

double tr_fill_level(const struct tr_fill *targets, unsigned count,
		     double unseen);
unsigned tr_fill_draw(const struct tr_fill *targets, unsigned count,
		      double level, struct tr_random *random);

#endif
