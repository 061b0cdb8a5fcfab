/*
 * Compression of what VMs fetch from each other: a configuration of 1,500
 * routes is 127 kB as the platform writes it and less than a sixth packed, and
 * before 100 VMs on thin links that decides whether it arrives in time.
 */
#include "pack.h"

#include <stdlib.h>
#include <string.h>
#include <zlib.h>

/* zlib's fastest level: the packed size differs by a few parts in a hundred,
 * the time on a tenth of a core by a factor of three. */
#define LEVEL 1

/* The text packed, for g_bytes_unref; NULL without memory. */
GBytes *pack_compress(const char *text, size_t len)
{
	uLongf size = compressBound(len);
	Bytef *out = g_malloc(size);

	if (compress2(out, &size, (const Bytef *)text, len, LEVEL) != Z_OK) {
		g_free(out);
		return NULL;
	}
	return g_bytes_new_take(g_realloc(out, size), size);
}

/*
 * The text of what was packed, of at most so many bytes; NULL when it is
 * damaged, cut short or larger. It ends with a NUL that is not counted.
 */
char *pack_decompress(const void *packed, size_t len, size_t most,
		      size_t *text_len)
{
	uLongf size = most;
	uLong used = len;
	char *text;

	text = malloc(most + 1);
	if (!text)
		return NULL;
	if (uncompress2((Bytef *)text, &size, packed, &used) != Z_OK ||
	    used != len) {
		free(text);
		return NULL;
	}
	text[size] = 0;
	*text_len = size;
	return text;
}
