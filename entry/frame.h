/*
 * Frames that carry a byte stream between two VMs. A frame is its length in
 * four bytes, the most significant first, and as many bytes. The stream ends
 * with an empty frame, or with one of a length that none has if it broke off; a
 * connection that ends without either has been lost itself.
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
	bool ended;    /* by an empty frame */
	bool broken;   /* the stream broke off */
};

void frame_write(struct stream *s, const void *data, size_t len);
void frame_write_broken(struct stream *s);
const char *frame_next(struct frame_reader *r, const char **data, size_t *len,
		       size_t *payload_len);

#endif
