#ifndef TR_PACER_H
#define TR_PACER_H

#include <apr_time.h>
#include <stdbool.h>

/*
 * A token bucket that limits bytes a second. All zero is a valid start: it is
 * filled when first used.
 */
struct tr_pacer {
	double tokens; /* bytes that may be sent now */
	apr_time_t at;
};

bool tr_pacer_allows(struct tr_pacer *pacer, double rate, apr_time_t now);
void tr_pacer_consume(struct tr_pacer *pacer, double bytes);

#endif
