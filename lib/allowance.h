#ifndef TR_ALLOWANCE_H
#define TR_ALLOWANCE_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

#define TR_ALLOWANCE_PARTS 5

/* The fleet's bound on repeats, from the settings. */
struct tr_repeat_bound {
	double ratio;
	double slack;
	apr_time_t window;
};

/* Requests and repeats of one service at this VM, over the window in parts. */
struct tr_allowance {
	uint32_t requests[TR_ALLOWANCE_PARTS];
	uint32_t repeats[TR_ALLOWANCE_PARTS];
	apr_time_t part;
};

void tr_allowance_request(struct tr_allowance *a,
			  const struct tr_repeat_bound *bound, apr_time_t now);
bool tr_allowance_spend(struct tr_allowance *a,
			const struct tr_repeat_bound *bound, unsigned vms,
			apr_time_t now);

#endif
