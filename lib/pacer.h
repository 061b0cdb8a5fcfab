#ifndef TR_PACER_H
#define TR_PACER_H

#include <apr_time.h>
#include <stdbool.h>

/* A token bucket of bytes. All zero is a beginning: full at the first look. */
struct tr_pacer {
	double spare;
	apr_time_t at;
};

bool tr_pacer_allows(struct tr_pacer *pacer, double rate, apr_time_t now);
void tr_pacer_consume(struct tr_pacer *pacer, double bytes);

#endif
