/* Organisations, the senders of requests, and the API keys that name them. */
#ifndef TR_ORGANISATION_H
#define TR_ORGANISATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct tr_error;

#define TR_KEY_DIGEST_SIZE 16
#define TR_KEY_SECRET_SIZE 32

/* An organisation, which sends requests under API keys of its own. */
struct tr_organisation {
	char *name;
	/*
	 * Requests a second over the whole fleet, 0 for no limit, and the burst
	 * allowed on top, in requests.
	 */
	double rate;
	double burst;
	/* Whether the organisation sets a priority for its requests. */
	bool has_priority;
	uint32_t priority;
	/* Row among the limits of this VM. */
	uint32_t row_index;
};

/* An API key as it is stored: its digest, and the row of its organisation. */
struct tr_api_key {
	unsigned char digest[TR_KEY_DIGEST_SIZE];
	uint32_t organisation;
};

/* All organisations of a configuration, and their keys, sorted by digest. */
struct tr_organisations {
	struct tr_organisation *rows;
	unsigned count;
	struct tr_api_key *keys;
	unsigned keys_count;
	unsigned keys_capacity;
	/* Random key of the digests. */
	unsigned char secret[TR_KEY_SECRET_SIZE];
};

struct tr_organisations *tr_organisations_new(unsigned count);
int tr_organisations_add_key(struct tr_organisations *o, const char *key,
			     uint32_t organisation);
int tr_organisations_finalize(struct tr_organisations *o, struct tr_error *err);
struct tr_organisation *tr_organisations_find(const struct tr_organisations *o,
					      const char *key);
void tr_organisations_free(struct tr_organisations *o);

#endif
