/*
 * An open-addressing hash table from keys to places in another table. The rows
 * stay where they are, so that an index can be added to a table without a
 * change to those that use it.
 *
 * What goes wrong without it: each row of each message looked through all
 * targets, each message through all VMs. One would notice by processor time
 * that grows with their product: 442 VMs before 819 targets took 0.034 cores
 * each where 100 before 345 took 0.008.
 */
#include "index.h"

#include <stdlib.h>
#include <string.h>

/* A row number that stands for a slot which was given up: searches go on. */
#define FREED	   (TR_NO_ROW - 1)
#define ROOM_LEAST 32
/* Knuth's multiplicative hashing: keys may be addresses in sequence. */
#define MULTIPLIER 2654435769U

static uint32_t place_of(const struct tr_index *x, uint32_t key)
{
	uint32_t mixed = key * MULTIPLIER;

	return (mixed ^ mixed >> 16) & (x->room - 1);
}

static void put(struct tr_index *x, uint32_t key, uint32_t row)
{
	uint32_t at = place_of(x, key);

	while (x->slots[at].row < FREED)
		at = (at + 1) & (x->room - 1);
	x->taken += x->slots[at].row == TR_NO_ROW;
	x->live++;
	x->slots[at] = (struct tr_index_slot){ .key = key, .row = row };
}

static void rebuild(struct tr_index *x)
{
	struct tr_index old = *x;

	x->room = ROOM_LEAST;
	while (x->room < old.live * 4)
		x->room *= 2;
	x->slots = malloc(x->room * sizeof(*x->slots));
	if (!x->slots)
		abort();
	memset(x->slots, 0xff, x->room * sizeof(*x->slots));
	x->taken = 0;
	x->live = 0;
	for (uint32_t i = 0; i < old.room; i++)
		if (old.slots[i].row < FREED)
			put(x, old.slots[i].key, old.slots[i].row);
	free(old.slots);
}

/* Add a row. Half of the slots stay empty, so that searches are short. */
void tr_index_add(struct tr_index *x, uint32_t key, uint32_t row)
{
	if ((x->taken + 1) * 2 > x->room)
		rebuild(x);
	put(x, key, row);
}

/* Take a row out; nothing when it is not there. */
void tr_index_remove(struct tr_index *x, uint32_t key, uint32_t row)
{
	uint32_t at;
	uint32_t found = tr_index_first(x, key, &at);

	while (found != TR_NO_ROW && found != row)
		found = tr_index_next(x, key, &at);
	if (found == TR_NO_ROW)
		return;
	x->slots[at].row = FREED;
	x->live--;
}

static uint32_t search(const struct tr_index *x, uint32_t key, uint32_t *at)
{
	while (x->slots[*at].row != TR_NO_ROW) {
		const struct tr_index_slot *slot = &x->slots[*at];

		if (slot->key == key && slot->row < FREED)
			return slot->row;
		*at = (*at + 1) & (x->room - 1);
	}
	return TR_NO_ROW;
}

/* The first row with the key, or TR_NO_ROW; at is for tr_index_next. */
uint32_t tr_index_first(const struct tr_index *x, uint32_t key, uint32_t *at)
{
	if (!x->room)
		return TR_NO_ROW;
	*at = place_of(x, key);
	return search(x, key, at);
}

/* The row with the key after the one that was found last, or TR_NO_ROW. */
uint32_t tr_index_next(const struct tr_index *x, uint32_t key, uint32_t *at)
{
	*at = (*at + 1) & (x->room - 1);
	return search(x, key, at);
}

void tr_index_release(struct tr_index *x)
{
	free(x->slots);
	memset(x, 0, sizeof(*x));
}
