/* Hash index from 32-bit keys to the rows of a table. */
#ifndef TR_INDEX_H
#define TR_INDEX_H

#include <stdint.h>

#define TR_NO_ROW UINT32_MAX

struct tr_index_slot {
	uint32_t key;
	uint32_t row;
};

/* Finds rows of a table by a 32-bit key. Several rows may share a key. */
struct tr_index {
	struct tr_index_slot *slots;
	uint32_t capacity;
	/* Slots that hold an entry or a tombstone. */
	uint32_t occupied;
	uint32_t entries;
};

void tr_index_add(struct tr_index *x, uint32_t key, uint32_t row);
void tr_index_remove(struct tr_index *x, uint32_t key, uint32_t row);
uint32_t tr_index_first(const struct tr_index *x, uint32_t key, uint32_t *at);
uint32_t tr_index_next(const struct tr_index *x, uint32_t key, uint32_t *at);
void tr_index_release(struct tr_index *x);

#endif
