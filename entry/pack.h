/* Compression of data that VMs fetch from each other. */
#ifndef PACK_H
#define PACK_H

#include <glib.h>

GBytes *pack_compress(const char *text, size_t len);
char *pack_decompress(const void *packed, size_t len, size_t max,
		      size_t *text_len);

#endif
