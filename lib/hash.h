/* Hashes that are equal on all VMs, and a pseudo-random number generator. */
#ifndef TR_HASH_H
#define TR_HASH_H

#include <stddef.h>
#include <stdint.h>

uint64_t tr_hash(const void *data, size_t len);
uint64_t tr_hash_string(const char *s);
uint64_t tr_hash_pair(uint64_t a, uint64_t b);

/*
 * State of a generator that is not cryptographically secure; the owner seeds
 * it.
 */
struct tr_random {
	uint64_t state;
};

uint64_t tr_random_next(struct tr_random *r);
uint32_t tr_random_below(struct tr_random *r, uint32_t n);
double tr_random_unit(struct tr_random *r);

#endif
