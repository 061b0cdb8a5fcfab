/* Frames that carry a byte stream between two VMs. */
#include "frame.h"

#include <string.h>

#include "stream.h"

/* The length that tells that the stream broke off. */
#define LENGTH_BROKEN UINT32_MAX

static void write_header(struct stream *s, uint32_t len)
{
	const uint8_t header[4] = { (uint8_t)(len >> 24), (uint8_t)(len >> 16),
				    (uint8_t)(len >> 8), (uint8_t)len };

	stream_write(s, header, sizeof(header));
}

/* Writes the bytes as one frame; with len 0, the end of the stream. */
void frame_write(struct stream *s, const void *data, size_t len)
{
	write_header(s, (uint32_t)len);
	if (len)
		stream_write(s, data, len);
}

/* Writes that the stream broke off. */
void frame_write_broken(struct stream *s)
{
	write_header(s, LENGTH_BROKEN);
}

/* Reads a frame's header. Returns whether bytes of the stream follow. */
static bool read_header(struct frame_reader *r, const char **data, size_t *len)
{
	while (r->header_len < sizeof(r->header) && *len) {
		r->header[r->header_len++] = (uint8_t) * (*data)++;
		--*len;
	}
	if (r->header_len < sizeof(r->header))
		return false;
	r->left = (uint32_t)r->header[0] << 24 | (uint32_t)r->header[1] << 16 |
		  (uint32_t)r->header[2] << 8 | r->header[3];
	r->header_len = 0;
	r->ended = !r->left;
	r->broken = r->left == LENGTH_BROKEN;
	return !r->ended && !r->broken;
}

/*
 * Returns the next bytes of the stream in what was received, or NULL when more
 * has to come or the stream has ended. data and len are moved past them.
 */
const char *frame_next(struct frame_reader *r, const char **data, size_t *len,
		       size_t *payload_len)
{
	const char *payload;

	if (r->ended || r->broken || !*len ||
	    (!r->left && (!read_header(r, data, len) || !*len)))
		return NULL;
	payload = *data;
	*payload_len = *len < r->left ? *len : r->left;
	*data += *payload_len;
	*len -= *payload_len;
	r->left -= (uint32_t)*payload_len;
	return payload;
}
