#ifndef TR_ORGANISATION_H
#define TR_ORGANISATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct tr_error;

#define TR_KEY_DIGEST_SIZE 16
#define TR_KEY_SECRET_SIZE 32

/*
 * Whoever sends requests under keys of its own. rate is in requests a second
 * over the whole fleet, burst in requests on top of it; a rate of 0 sets no
 * limit. row_index is its row among the limits of the VM.
 */
struct tr_organisation {
	char *name;
	double rate;
	double burst;
	bool has_priority;
	uint32_t priority;
	uint32_t row_index;
};

/* A caller's key as it is kept: its digest, and who holds it. */
struct tr_api_key {
	unsigned char digest[TR_KEY_DIGEST_SIZE];
	uint32_t organisation;
};

/* All organisations of a configuration, and their keys in order. */
struct tr_organisations {
	struct tr_organisation *rows;
	unsigned count;
	struct tr_api_key *keys;
	unsigned keys_count;
	unsigned keys_room;
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
