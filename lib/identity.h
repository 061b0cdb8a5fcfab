/* Recognises a request that is sent again, by a hash of its parts. */
#ifndef TR_IDENTITY_H
#define TR_IDENTITY_H

#include <stddef.h>
#include <stdint.h>

/*
 * The parts of a request that identify it, apart from its request id.
 * organisation is NULL if the caller has none.
 */
struct tr_request_parts {
	const char *method;
	const char *host;
	const char *target;
	const char *organisation;
	const void *body;
	size_t body_len;
};

uint64_t tr_identity(uint64_t fleet_id, const struct tr_request_parts *parts);

#endif
