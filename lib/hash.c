#include "hash.h"

#include <string.h>
#include <xxhash.h>

/*
 * Returns a hash that is equal on all VMs, for choices on which they must
 * agree.
 */
uint64_t tr_hash(const void *data, size_t len)
{
	return XXH3_64bits(data, len);
}

uint64_t tr_hash_string(const char *s)
{
	return XXH3_64bits(s, strlen(s));
}

/* Returns the score of b for a, for rendezvous hashing. */
uint64_t tr_hash_pair(uint64_t a, uint64_t b)
{
	uint64_t pair[2] = { a, b };

	return XXH3_64bits(pair, sizeof(pair));
}

/* Returns the next number of the sequence (splitmix64, Steele et al. 2014). */
uint64_t tr_random_next(struct tr_random *r)
{
	uint64_t z = (r->state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

/* Returns a number from 0 to n - 1, or 0 if n is 0. */
uint32_t tr_random_below(struct tr_random *r, uint32_t n)
{
	return n ? (uint32_t)(tr_random_next(r) % n) : 0;
}

/* Returns a number in [0, 1). */
double tr_random_unit(struct tr_random *r)
{
	return (double)(tr_random_next(r) >> 11) / 9007199254740992.0;
}
