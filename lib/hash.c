#include "hash.h"

#include <string.h>
#include <xxhash.h>

/* Hash of a byte string; equal on all VMs, for choices they must share. */
uint64_t tr_hash(const void *data, size_t len)
{
	return XXH3_64bits(data, len);
}

uint64_t tr_hash_string(const char *s)
{
	return XXH3_64bits(s, strlen(s));
}

/* Score of b for a, as rendezvous hashing needs it. */
uint64_t tr_hash_pair(uint64_t a, uint64_t b)
{
	uint64_t pair[2] = { a, b };

	return XXH3_64bits(pair, sizeof(pair));
}

/* The next number of the sequence (splitmix64, Steele et al. 2014). */
uint64_t tr_random_next(struct tr_random *r)
{
	uint64_t z = (r->state += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

/* A number from 0 to n - 1; 0 when n is 0. */
uint32_t tr_random_below(struct tr_random *r, uint32_t n)
{
	return n ? (uint32_t)(tr_random_next(r) % n) : 0;
}

/* A number from 0 up to, not including, 1. */
double tr_random_unit(struct tr_random *r)
{
	return (double)(tr_random_next(r) >> 11) / 9007199254740992.0;
}
