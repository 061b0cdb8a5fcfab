#ifndef PULL_H
#define PULL_H

#include "entry.h"
#include "spread.h"

/* What is too large for a datagram, fetched from a VM that has it. has_news is
 * called when this VM has something that others may ask it for. */
struct pull {
	struct entry *e;
	void (*has_news)(struct entry *e);
	struct fetcher routes;
	struct fetcher targets;
	struct tr_spread spread;
	struct tr_spread first_list;
	struct tr_spread_link link;
	apr_time_t targets_at;
	GBytes *packed;
	uint64_t packed_revision;
	uint64_t packed_digest;
	GBytes *list;
	apr_time_t list_at;
	uint64_t list_digest;
	size_t list_length;
	uint64_t list_text_digest;
	struct listener listener;
};

int pull_open(struct pull *pull, struct entry *e, const char *address,
	      void (*has_news)(struct entry *e));
void pull_step(struct pull *pull);
void pull_targets(struct pull *pull, uint32_t ip);
void pull_release(struct pull *pull);

#endif
