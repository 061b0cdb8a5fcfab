/*
 * Keeps the sum of a VM's buffers below a limit. Limits for each message don't
 * bound it: many targets that send without end would use up the memory, and the
 * process would be killed with all that it has under way.
 *
 * When the sum exceeds the limit, buffers are given up until it does not. Bytes
 * that nobody waits for for good come first, and the largest of them, since
 * what has no end grows while the rest completes. Requests that a target may
 * have begun to run come last.
 */
#include "buffers.h"

#include <stdlib.h>
#include <string.h>

/* Buffers below this size are given up only where none is larger. */
#define MIN_GIVEN_UP 65536

/* The order in which the kinds are given up. */
static const unsigned ranks[TR_BUFFER_KINDS] = {
	[TR_BUFFER_RESPONSE] = 0, [TR_BUFFER_REQUEST] = 0,
	[TR_BUFFER_RELAYED] = 0,  [TR_BUFFER_REPLY] = 1,
	[TR_BUFFER_SENT] = 2,	  [TR_BUFFER_FIXED] = 3,
};
#define RANKS 3

void tr_buffers_release(struct tr_buffers *b)
{
	free(b->rows);
	memset(b, 0, sizeof(*b));
}

static uint32_t add_row(struct tr_buffers *b)
{
	if (b->count == b->capacity) {
		uint32_t capacity = b->capacity ? b->capacity * 2 : 64;
		void *grown = realloc(b->rows, capacity * sizeof(*b->rows));

		if (!grown)
			abort();
		b->rows = grown;
		b->capacity = capacity;
	}
	return ++b->count;
}

static struct tr_buffer *row_of(const struct tr_buffers *b, uint32_t handle)
{
	return &b->rows[handle - 1];
}

/* Adds an empty buffer and returns its handle. ctx is passed to give_up. */
uint32_t tr_buffers_open(struct tr_buffers *b, const struct tr_buffer_use *use,
			 void *ctx)
{
	uint32_t handle = b->first_free;

	if (handle)
		b->first_free = row_of(b, handle)->next_free;
	else
		handle = add_row(b);
	*row_of(b, handle) = (struct tr_buffer){ .use = use, .ctx = ctx };
	return handle;
}

/* Sets how many bytes the buffer holds. */
void tr_buffers_resize(struct tr_buffers *b, uint32_t handle, size_t bytes)
{
	struct tr_buffer *row;

	if (!handle)
		return;
	row = row_of(b, handle);
	b->bytes += bytes - row->bytes;
	b->kind_bytes[row->use->kind] += bytes - row->bytes;
	row->bytes = bytes;
	if (b->bytes > b->peak)
		b->peak = b->bytes;
}

/* Removes the buffer, if there is one. */
void tr_buffers_close(struct tr_buffers *b, uint32_t *handle)
{
	struct tr_buffer *row;

	if (!*handle)
		return;
	tr_buffers_resize(b, *handle, 0);
	row = row_of(b, *handle);
	row->use = NULL;
	row->next_free = b->first_free;
	b->first_free = *handle;
	*handle = TR_NO_BUFFER;
}

/* Returns whether buffers must be given up before more is read. */
bool tr_buffers_full(const struct tr_buffers *b)
{
	return b->bytes > b->max && b->bytes > b->kind_bytes[TR_BUFFER_FIXED];
}

/* Returns the largest buffer of the kinds from one rank to another. */
static uint32_t largest(const struct tr_buffers *b, unsigned from, unsigned to)
{
	uint32_t found = TR_NO_BUFFER;
	size_t most = 0;

	for (uint32_t i = 0; i < b->count; i++) {
		const struct tr_buffer *row = &b->rows[i];
		unsigned rank;

		if (!row->use || row->bytes <= most)
			continue;
		rank = ranks[row->use->kind];
		if (rank < from || rank > to)
			continue;
		found = i + 1;
		most = row->bytes;
	}
	return found;
}

/*
 * Returns the buffer to give up next, or TR_NO_BUFFER. Replies come first where
 * they hold most of the memory: callers that don't read would otherwise cost
 * all others their requests.
 */
uint32_t tr_buffers_choose(const struct tr_buffers *b)
{
	if (b->kind_bytes[TR_BUFFER_REPLY] > b->max / 2)
		return largest(b, ranks[TR_BUFFER_REPLY],
			       ranks[TR_BUFFER_REPLY]);
	for (unsigned rank = 0; rank < RANKS; rank++) {
		uint32_t found = largest(b, rank, rank);

		if (found && row_of(b, found)->bytes >= MIN_GIVEN_UP)
			return found;
	}
	return largest(b, 0, RANKS - 1);
}

/*
 * Gives up buffers until the sum is within the limit. Not to be called from a
 * callback of a buffer's owner, since it ends what other buffers are for.
 */
void tr_buffers_relieve(struct tr_buffers *b)
{
	while (tr_buffers_full(b)) {
		uint32_t handle = tr_buffers_choose(b);
		struct tr_buffer row = *row_of(b, handle);

		b->given_up++;
		/* The owner may keep the buffer open, but not its bytes. */
		tr_buffers_resize(b, handle, 0);
		row.use->give_up(row.ctx);
	}
}
