/* Transfer of configurations and target lists between VMs over HTTP. */
#ifndef PULL_H
#define PULL_H

#include "entry.h"
#include "spread.h"

/* Client and server for data that does not fit into a datagram. on_new_data is
 * called when this VM has got data that other VMs may fetch from it. */
struct pull {
	struct entry *e;
	void (*on_new_data)(struct entry *e);
	struct fetcher routes;
	struct fetcher targets;
	struct tr_spread
		routes_spread;	      /* which VM to ask for routes, and when */
	struct tr_spread list_spread; /* the same for the first target list */
	struct tr_spread_link link;   /* bandwidth for serving other VMs */
	uint64_t routes_wanted;	      /* place of those being fetched */
	apr_time_t targets_asked_at;
	GBytes *compressed_routes;
	uint64_t compressed_revision;
	uint64_t routes_digest; /* of the uncompressed text */
	GBytes *compressed_list;
	apr_time_t list_compressed_at;
	uint64_t roster_digest; /* of the roster that the list was made from */
	size_t list_text_len;
	uint64_t list_digest; /* of the uncompressed text */
	struct listener listener;
};

int pull_open(struct pull *pull, struct entry *e, const char *address,
	      void (*on_new_data)(struct entry *e));
void pull_step(struct pull *pull);
void pull_targets(struct pull *pull, uint32_t ip);
void pull_release(struct pull *pull);

#endif
