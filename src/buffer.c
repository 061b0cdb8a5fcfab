#include "buffer.h"

#include <stdlib.h>
#include <string.h>

#define LEAST_SIZE 4096

size_t buffer_room(const struct buffer *b)
{
	return b->max - b->len;
}

const char *buffer_bytes(const struct buffer *b)
{
	return b->data ? b->data + b->start : "";
}

static int make_room(struct buffer *b, size_t len)
{
	size_t size = b->size ? b->size : LEAST_SIZE;
	char *grown;

	if (b->start && b->start + b->len + len > b->size) {
		memmove(b->data, b->data + b->start, b->len);
		b->start = 0;
	}
	if (b->len + len <= b->size)
		return 0;
	while (size < b->len + len)
		size *= 2;
	if (size > b->max && b->len + len <= b->max)
		size = b->max;
	grown = realloc(b->data, size);
	if (!grown)
		return -1;
	b->data = grown;
	b->size = size;
	return 0;
}

/* Add what fits under the bound; returns how many bytes that was. */
size_t buffer_put(struct buffer *b, const char *data, size_t len)
{
	if (len > buffer_room(b))
		len = buffer_room(b);
	if (!len || make_room(b, len))
		return 0;
	memcpy(b->data + b->start + b->len, data, len);
	b->len += len;
	return len;
}

/* Take up to len bytes off the front. */
size_t buffer_take(struct buffer *b, char *out, size_t len)
{
	if (len > b->len)
		len = b->len;
	if (!len)
		return 0;
	memcpy(out, b->data + b->start, len);
	b->start += len;
	b->len -= len;
	if (!b->len)
		b->start = 0;
	return len;
}

void buffer_free(struct buffer *b)
{
	free(b->data);
	memset(b, 0, sizeof(*b));
}
