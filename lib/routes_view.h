/*
 * Up to which of the store's revisions a VM knows the configuration, and where
 * its watch of the store continues.
 */
#ifndef TR_ROUTES_VIEW_H
#define TR_ROUTES_VIEW_H

#include "roster.h"

struct tr_routes_view {
	/* No configuration up to this revision is later than the one in force;
	 * 0 without one. */
	uint64_t as_of;
};

/* What another VM reports about its configuration. */
struct tr_routes_report {
	/* As in its view. */
	uint64_t as_of;
	/* The place of the one in force there among all. */
	uint64_t order;
};

void tr_routes_view_advance(struct tr_routes_view *view, uint64_t as_of);
void tr_routes_view_compare(struct tr_routes_view *view, uint64_t order,
			    const struct tr_routes_report *reported);
uint64_t tr_routes_view_watch_after(const struct tr_routes_view *view,
				    const struct tr_roster *roster);

#endif
