/*
 * Which organisation a caller's key belongs to. Keys are secrets: what is kept
 * of one is a digest under a secret of this process and this configuration, so
 * that neither a memory dump nor the time that a look-up takes tells how a key
 * begins.
 */
#include "organisation.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"

#define KEYS_FIRST 16

/* Room for so many organisations; NULL without memory. */
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

static void digest_of(const struct tr_organisations *o, const char *key,
		      unsigned char digest[TR_KEY_DIGEST_SIZE])
{
	crypto_generichash(digest, TR_KEY_DIGEST_SIZE,
			   (const unsigned char *)key, strlen(key), o->secret,
			   sizeof(o->secret));
}

/* The organisation, by its row, holds the key. 0, or -1 without memory. */
int tr_organisations_add_key(struct tr_organisations *o, const char *key,
			     uint32_t organisation)
{
	struct tr_api_key *row;

	if (o->keys_count == o->keys_room) {
		unsigned room = o->keys_room ? o->keys_room * 2 : KEYS_FIRST;
		struct tr_api_key *grown =
			realloc(o->keys, room * sizeof(*grown));

		if (!grown)
			return -1;
		o->keys = grown;
		o->keys_room = room;
	}
	row = &o->keys[o->keys_count++];
	digest_of(o, key, row->digest);
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

/* Check what was filled in and put the keys in the order of look-ups. 0, or -1
 * and err, which names the organisation and never a key. */
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

/* The organisation that holds the key, or NULL. */
struct tr_organisation *tr_organisations_find(const struct tr_organisations *o,
					      const char *key)
{
	struct tr_api_key wanted;
	const struct tr_api_key *found;

	if (!key || !*key || !o->keys_count)
		return NULL;
	digest_of(o, key, wanted.digest);
	found = bsearch(&wanted, o->keys, o->keys_count, sizeof(*o->keys),
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
