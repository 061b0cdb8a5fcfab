/*
 * Compression of data that VMs fetch from each other. A configuration of 1,500
 * routes has 127 kB as the platform writes it and compresses to less than a
 * sixth of that, which decides whether it reaches 100 VMs on slow links in
 * time.
 */
#include "pack.h"

#include <stdlib.h>
#include <string.h>
#include <zlib.h>

/* zlib's fastest level: higher ones save a few per cent of size and take three
 * times as long, on a tenth of a core. */
#define LEVEL 1

/* Returns the compressed text, to be freed with g_bytes_unref(), or NULL if
 * memory runs out. */
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
 * Returns the decompressed text, to be freed with free(), or NULL if the data
 * is corrupt, truncated or larger than max bytes when decompressed. The text is
 * terminated by a NUL that text_len does not count.
 */
char *pack_decompress(const void *packed, size_t len, size_t max,
		      size_t *text_len)
{
	uLongf size = max;
	uLong used = len;
	char *text;

	text = malloc(max + 1);
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
