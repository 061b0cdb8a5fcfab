/*
 * Lookup of the organisation that an API key belongs to. Keys are secret: only
 * a digest is stored, keyed with a secret of this process and configuration, so
 * that neither a memory dump nor the timing of a lookup reveals how a key
 * begins.
 */
#include "organisation.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"

#define INITIAL_KEYS 16

/* Allocates a set for count organisations. Returns NULL if out of memory. */
struct tr_organisations *tr_organisations_new(unsigned count)
{
	struct tr_organisations *o = calloc(1, sizeof(*o));

	if (!o)
		return NULL;
	o->count = count;
	o->rows = calloc(count + 1, sizeof(*o->rows));
	if (!o->rows) {
		free(o);
		return NULL;
	}
	randombytes_buf(o->secret, sizeof(o->secret));
	return o;
}

static void compute_digest(const struct tr_organisations *o, const char *key,
			   unsigned char digest[TR_KEY_DIGEST_SIZE])
{
	crypto_generichash(digest, TR_KEY_DIGEST_SIZE,
			   (const unsigned char *)key, strlen(key), o->secret,
			   sizeof(o->secret));
}

/*
 * Adds a key of the organisation in this row. Returns 0, or -1 if out of
 * memory.
 */
int tr_organisations_add_key(struct tr_organisations *o, const char *key,
			     uint32_t organisation)
{
	struct tr_api_key *row;

	if (o->keys_count == o->keys_capacity) {
		unsigned capacity =
			o->keys_capacity ? o->keys_capacity * 2 : INITIAL_KEYS;
		struct tr_api_key *grown =
			realloc(o->keys, capacity * sizeof(*grown));

		if (!grown)
			return -1;
		o->keys = grown;
		o->keys_capacity = capacity;
	}
	row = &o->keys[o->keys_count++];
	compute_digest(o, key, row->digest);
	row->organisation = organisation;
	return 0;
}

static int compare(const void *a, const void *b)
{
	const struct tr_api_key *x = a;
	const struct tr_api_key *y = b;

	return memcmp(x->digest, y->digest, TR_KEY_DIGEST_SIZE);
}

static int check_organisation(const struct tr_organisation *row,
			      struct tr_error *err)
{
	if (!row->name || !*row->name)
		return tr_error_set(err, TR_MISSING_FIELD, "name", "",
				    "expected a name for each organisation");
	for (const char *c = row->name; *c; c++)
		if ((unsigned char)*c < ' ' || *c == 0x7f)
			return tr_error_set(err, TR_OUT_OF_RANGE, "name", "",
					    "expected an organisation's name "
					    "without control characters");
	if (!(row->rate >= 0) || !(row->burst >= 0))
		return tr_error_set(err, TR_OUT_OF_RANGE, "rate", row->name,
				    "expected a rate and a burst of 0 or more");
	return 0;
}

/*
 * Validates the set once it is filled in and sorts the keys for lookups.
 * Returns 0, or -1 with err set, which names the organisation and never a key.
 */
int tr_organisations_finalize(struct tr_organisations *o, struct tr_error *err)
{
	for (unsigned i = 0; i < o->count; i++)
		if (check_organisation(&o->rows[i], err))
			return -1;
	if (o->keys_count)
		qsort(o->keys, o->keys_count, sizeof(*o->keys), compare);
	for (unsigned i = 1; i < o->keys_count; i++)
		if (!compare(&o->keys[i - 1], &o->keys[i]) &&
		    o->keys[i - 1].organisation != o->keys[i].organisation)
			return tr_error_set(
				err, TR_DUPLICATE, "keys",
				o->rows[o->keys[i].organisation].name,
				"expected each key with one organisation");
	return 0;
}

/* Returns the organisation that the key belongs to, or NULL. */
struct tr_organisation *tr_organisations_find(const struct tr_organisations *o,
					      const char *key)
{
	struct tr_api_key key_digest;
	const struct tr_api_key *found;

	if (!key || !*key || !o->keys_count)
		return NULL;
	compute_digest(o, key, key_digest.digest);
	found = bsearch(&key_digest, o->keys, o->keys_count, sizeof(*o->keys),
			compare);
	return found ? &o->rows[found->organisation] : NULL;
}

void tr_organisations_free(struct tr_organisations *o)
{
	if (!o)
		return;
	for (unsigned i = 0; i < o->count; i++)
		free(o->rows[i].name);
	free(o->rows);
	free(o->keys);
	sodium_memzero(o, sizeof(*o));
	free(o);
}
