#include "buffer.h"

#include <stdlib.h>
#include <string.h>

#define MIN_SIZE 4096

/* Bytes that still fit under the limit. */
size_t buffer_space(const struct buffer *b)
{
	return b->max - b->len;
}

/* The unread bytes; never NULL. */
const char *buffer_data(const struct buffer *b)
{
	return b->data ? b->data + b->start : "";
}

/* Makes room for len more bytes, by moving the data or by growing. */
static int reserve(struct buffer *b, size_t len)
{
	size_t size = b->size ? b->size : MIN_SIZE;
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

/* Appends what fits under the limit. Returns the number of bytes appended. */
size_t buffer_append(struct buffer *b, const char *data, size_t len)
{
	if (len > buffer_space(b))
		len = buffer_space(b);
	if (!len || reserve(b, len))
		return 0;
	memcpy(b->data + b->start + b->len, data, len);
	b->len += len;
	return len;
}

/* Copies up to len bytes to out and removes them. Returns their number. */
size_t buffer_consume(struct buffer *b, char *out, size_t len)
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
