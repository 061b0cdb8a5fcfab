#ifndef PULL_H
#define PULL_H

#include "entry.h"

/* What is too large for a datagram, fetched from the VM that has it. */
struct pull {
	struct entry *e;
	struct fetcher routes;
	struct fetcher targets;
	apr_time_t targets_at;
	apr_time_t routes_at;
	struct door door;
};

int pull_open(struct pull *pull, struct entry *e, const char *address);
void pull_routes(struct pull *pull, uint32_t ip);
void pull_targets(struct pull *pull, uint32_t ip);
void pull_release(struct pull *pull);

#endif
