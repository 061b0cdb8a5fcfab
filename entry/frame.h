/*
 * Frames that carry a byte stream between two VMs. A frame is its length in
 * four bytes, the most significant first, and as many bytes; an empty frame
 * ends the stream. A connection that ends without one has broken off.
 */
#ifndef FRAME_H
#define FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct stream;

struct frame_reader {
	uint8_t header[4];
	unsigned header_len;
	uint32_t left; /* bytes of the frame that are still to come */
	bool ended;    /* the empty frame has come */
};

void frame_write(struct stream *s, const void *data, size_t len);
const char *frame_next(struct frame_reader *r, const char **data, size_t *len,
		       size_t *payload_len);

#endif
