/*
 * Open-addressing hash table from keys to row numbers of another table. The
 * rows stay where they are, so that an index can be added to a table without
 * changing the code that uses it.
 *
 * Cost that this avoids: each row of each message searched all targets, and
 * each message all VMs. The symptom is CPU time that grows with the product of
 * both: 442 VMs with 819 targets took 0.034 cores each, 100 VMs with 345
 * targets 0.008.
 */
#include "index.h"

#include <stdlib.h>
#include <string.h>

/*
 * Row number that marks the slot of a removed entry; searches continue past it.
 */
#define TOMBSTONE    (TR_NO_ROW - 1)
#define MIN_CAPACITY 32
/* Knuth's multiplicative hashing, since keys may be consecutive addresses. */
#define MULTIPLIER 2654435769U

static uint32_t home_slot(const struct tr_index *x, uint32_t key)
{
	uint32_t mixed = key * MULTIPLIER;

	return (mixed ^ mixed >> 16) & (x->capacity - 1);
}

static void insert(struct tr_index *x, uint32_t key, uint32_t row)
{
	uint32_t at = home_slot(x, key);

	while (x->slots[at].row < TOMBSTONE)
		at = (at + 1) & (x->capacity - 1);
	x->occupied += x->slots[at].row == TR_NO_ROW;
	x->entries++;
	x->slots[at] = (struct tr_index_slot){ .key = key, .row = row };
}

static void rehash(struct tr_index *x)
{
	struct tr_index old = *x;

	x->capacity = MIN_CAPACITY;
	while (x->capacity < old.entries * 4)
		x->capacity *= 2;
	x->slots = malloc(x->capacity * sizeof(*x->slots));
	if (!x->slots)
		abort();
	memset(x->slots, 0xff, x->capacity * sizeof(*x->slots));
	x->occupied = 0;
	x->entries = 0;
	for (uint32_t i = 0; i < old.capacity; i++)
		if (old.slots[i].row < TOMBSTONE)
			insert(x, old.slots[i].key, old.slots[i].row);
	free(old.slots);
}

/* Adds a row. Half of the slots stay empty to keep searches short. */
void tr_index_add(struct tr_index *x, uint32_t key, uint32_t row)
{
	if ((x->occupied + 1) * 2 > x->capacity)
		rehash(x);
	insert(x, key, row);
}

/* Removes a row. Does nothing if the row is not in the index. */
void tr_index_remove(struct tr_index *x, uint32_t key, uint32_t row)
{
	uint32_t at;
	uint32_t found = tr_index_first(x, key, &at);

	while (found != TR_NO_ROW && found != row)
		found = tr_index_next(x, key, &at);
	if (found == TR_NO_ROW)
		return;
	x->slots[at].row = TOMBSTONE;
	x->entries--;
}

static uint32_t search(const struct tr_index *x, uint32_t key, uint32_t *at)
{
	while (x->slots[*at].row != TR_NO_ROW) {
		const struct tr_index_slot *slot = &x->slots[*at];

		if (slot->key == key && slot->row < TOMBSTONE)
			return slot->row;
		*at = (*at + 1) & (x->capacity - 1);
	}
	return TR_NO_ROW;
}

/*
 * Returns the first row with the key, or TR_NO_ROW. at is the position for
 * tr_index_next.
 */
uint32_t tr_index_first(const struct tr_index *x, uint32_t key, uint32_t *at)
{
	if (!x->capacity)
		return TR_NO_ROW;
	*at = home_slot(x, key);
	return search(x, key, at);
}

/* Returns the next row with the key after the one found last, or TR_NO_ROW. */
uint32_t tr_index_next(const struct tr_index *x, uint32_t key, uint32_t *at)
{
	*at = (*at + 1) & (x->capacity - 1);
	return search(x, key, at);
}

void tr_index_release(struct tr_index *x)
{
	free(x->slots);
	memset(x, 0, sizeof(*x));
}
