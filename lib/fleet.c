/* Choice of a service's cell by rendezvous hashing. */
#include "fleet.h"

#include <string.h>

#include "hash.h"

/* Returns the VM with that id, or NULL. */
const struct tr_vm *tr_fleet_find(const struct tr_fleet *fleet, uint64_t id)
{
	for (size_t i = 0; i < fleet->count; i++)
		if (fleet->vms[i].id == id)
			return &fleet->vms[i];
	return NULL;
}

/* A VM and its score. */
struct candidate {
	uint64_t score;
	uint32_t index;
};

/*
 * Inserts into a list sorted by falling score, which keeps at most max
 * entries. Returns the new length.
 */
static size_t insert_best(struct candidate *best, size_t count, size_t max,
			  struct candidate c)
{
	size_t at = count;

	while (at > 0 && best[at - 1].score < c.score)
		at--;
	if (at >= max)
		return count;
	if (count < max)
		count++;
	memmove(&best[at + 1], &best[at], (count - at - 1) * sizeof(*best));
	best[at] = c;
	return count;
}

static size_t best_in_data_centre(struct candidate *best, size_t max,
				  const struct tr_fleet *fleet,
				  const char *centre, uint64_t service)
{
	size_t count = 0;

	for (size_t i = 0; i < fleet->count; i++) {
		const struct tr_vm *vm = &fleet->vms[i];
		struct candidate c = { tr_hash_pair(service, vm->id),
				       (uint32_t)i };

		if (!vm->leaving && !strcmp(vm->data_centre, centre))
			count = insert_best(best, count, max, c);
	}
	return count;
}

/*
 * Chooses the VMs that serve a service: as many as the document's cell size
 * says, spread evenly over its data centres, by rendezvous hashing, so that a
 * VM that joins or leaves moves only its own places. Leaving VMs are never
 * chosen.
 */
void tr_cell_choose(struct tr_cell *cell, const struct tr_fleet *fleet,
		    const struct tr_document *doc)
{
	uint64_t service = tr_hash_string(doc->service);
	struct candidate all[TR_MAX_CELL] = { 0 };
	size_t count = 0;

	for (unsigned d = 0; d < doc->data_centres_count; d++) {
		struct candidate best[TR_MAX_CELL];
		size_t share = doc->cell / doc->data_centres_count +
			       (d < doc->cell % doc->data_centres_count);
		size_t found;

		if (share > TR_MAX_CELL)
			share = TR_MAX_CELL;
		found = best_in_data_centre(best, share, fleet,
					    doc->data_centres[d], service);
		for (size_t i = 0; i < found; i++)
			count = insert_best(all, count, TR_MAX_CELL, best[i]);
	}
	cell->count = count;
	for (size_t i = 0; i < count; i++)
		cell->members[i] = all[i].index;
}

/* Returns whether the VM is in the cell. */
bool tr_cell_has(const struct tr_cell *cell, const struct tr_fleet *fleet,
		 uint64_t vm_id)
{
	for (size_t i = 0; i < cell->count; i++)
		if (fleet->vms[cell->members[i]].id == vm_id)
			return true;
	return false;
}

/*
 * Orders the cell for one caller: VMs of its data centre first, then by a score
 * salted with the caller, so that callers are spread. Writes up to max indexes
 * into out and returns their number.
 */
size_t tr_cell_lookup(const struct tr_cell *cell, const struct tr_fleet *fleet,
		      const char *data_centre, uint64_t salt, uint32_t *out,
		      size_t max)
{
	struct candidate best[TR_MAX_CELL];
	size_t count = 0;

	if (max > TR_MAX_CELL)
		max = TR_MAX_CELL;
	for (size_t i = 0; i < cell->count; i++) {
		const struct tr_vm *vm = &fleet->vms[cell->members[i]];
		struct candidate c = { tr_hash_pair(salt, vm->id) >> 1,
				       cell->members[i] };

		if (data_centre && !strcmp(vm->data_centre, data_centre))
			c.score |= 1ULL << 63;
		count = insert_best(best, count, max, c);
	}
	for (size_t i = 0; i < count; i++)
		out[i] = best[i].index;
	return count;
}
