/* Byte queue that grows as needed, up to a limit. */
#ifndef BUFFER_H
#define BUFFER_H

#include <stddef.h>

struct buffer {
	char *data;
	size_t start; /* offset of the first unread byte */
	size_t len;   /* unread bytes */
	size_t size;  /* allocated bytes */
	size_t max;   /* limit of len */
};

size_t buffer_space(const struct buffer *b);
size_t buffer_append(struct buffer *b, const char *data, size_t len);
size_t buffer_consume(struct buffer *b, char *out, size_t len);
const char *buffer_data(const struct buffer *b);
void buffer_free(struct buffer *b);

#endif
