#ifndef TR_BUFFERS_H
#define TR_BUFFERS_H

/*
 * The memory that a VM uses for bytes in transit: an account of all buffers,
 * with a limit on their sum.
 */
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The handle of no buffer. */
#define TR_NO_BUFFER 0

/* What a buffer holds. */
enum tr_buffer_kind {
	/* A response of a target that is not complete. */
	TR_BUFFER_RESPONSE,
	/* A request of a caller that has not been sent to a target. */
	TR_BUFFER_REQUEST,
	/* Bytes that are passed on for another VM. */
	TR_BUFFER_RELAYED,
	/* A reply that its caller has not read yet. */
	TR_BUFFER_REPLY,
	/* A request that a target may have begun to run. */
	TR_BUFFER_SENT,
	/* What the VM can't do without, such as lists of targets. */
	TR_BUFFER_FIXED,
	TR_BUFFER_KINDS,
};

/* How the owner of a buffer uses it, and frees it when memory is short. */
struct tr_buffer_use {
	enum tr_buffer_kind kind;
	/* Ends what the buffer is for. NULL if it can't be given up. */
	void (*give_up)(void *ctx);
};

/* A row of the account. */
struct tr_buffer {
	const struct tr_buffer_use *use; /* NULL: the row is free */
	void *ctx;
	size_t bytes;
	uint32_t next_free;
};

/* The account. Buffers are named by handles, which are reused. */
struct tr_buffers {
	size_t max;
	size_t bytes;
	size_t peak;
	size_t kind_bytes[TR_BUFFER_KINDS];
	uint64_t given_up;
	struct tr_buffer *rows;
	uint32_t count;
	uint32_t capacity;
	uint32_t first_free;
};

void tr_buffers_release(struct tr_buffers *b);
uint32_t tr_buffers_open(struct tr_buffers *b, const struct tr_buffer_use *use,
			 void *ctx);
void tr_buffers_resize(struct tr_buffers *b, uint32_t handle, size_t bytes);
void tr_buffers_close(struct tr_buffers *b, uint32_t *handle);
bool tr_buffers_full(const struct tr_buffers *b);
uint32_t tr_buffers_choose(const struct tr_buffers *b);
void tr_buffers_relieve(struct tr_buffers *b);

#endif
