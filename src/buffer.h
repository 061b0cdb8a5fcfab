#ifndef BUFFER_H
#define BUFFER_H

#include <stddef.h>

/* Bytes in order, with a bound; grows as needed up to it. */
struct buffer {
	char *data;
	size_t start;
	size_t len;
	size_t size;
	size_t max;
};

size_t buffer_room(const struct buffer *b);
size_t buffer_put(struct buffer *b, const char *data, size_t len);
size_t buffer_take(struct buffer *b, char *out, size_t len);
const char *buffer_bytes(const struct buffer *b);
void buffer_free(struct buffer *b);

#endif
