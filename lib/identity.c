/*
 * Identity of a request: a request that is sent again under a new id, to any
 * VM, has the same path, caller and body. All VMs of a fleet compute the same
 * number.
 */
#include "identity.h"

#include <sodium.h>
#include <string.h>

enum { METHOD, HOST, TARGET, ORGANISATION, BODY, PART_COUNT };

static uint64_t hash(uint64_t fleet_id, const void *data, size_t len)
{
	unsigned char key[crypto_shorthash_KEYBYTES] = { 0 };
	unsigned char out[crypto_shorthash_BYTES];
	uint64_t number;

	memcpy(key, &fleet_id, sizeof(fleet_id));
	crypto_shorthash(out, data, len, key);
	memcpy(&number, out, sizeof(number));
	return number;
}

static uint64_t hash_text(uint64_t fleet_id, const char *text)
{
	return hash(fleet_id, text ? text : "", text ? strlen(text) : 0);
}

/*
 * Returns the request's identity, which is never 0. fleet_id is a number that
 * all VMs of the fleet share; it is not secret. Each part is hashed separately,
 * so that moving the boundary between two parts gives a different identity. Two
 * different requests have the same identity with a probability of 1 in 2^64:
 * with a thousand refused requests, one harmless request in 10^16 is refused as
 * well.
 */
uint64_t tr_identity(uint64_t fleet_id, const struct tr_request_parts *parts)
{
	const uint64_t hashes[PART_COUNT] = {
		[METHOD] = hash_text(fleet_id, parts->method),
		[HOST] = hash_text(fleet_id, parts->host),
		[TARGET] = hash_text(fleet_id, parts->target),
		[ORGANISATION] = hash_text(fleet_id, parts->organisation),
		[BODY] = hash(fleet_id, parts->body, parts->body_len),
	};
	uint64_t identity = hash(fleet_id, hashes, sizeof(hashes));

	return identity ? identity : 1;
}
