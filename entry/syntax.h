/*
 * Checks the syntax of HTTP/1.1 messages (RFC 9112) ahead of http_parser, which
 * accepts more than the standard where it is built without its strict mode, as
 * distributions do: blanks in names, statuses of any length, any bytes between
 * chunks. What two readers of a message can take for different things must not
 * be passed on.
 */
#ifndef SYNTAX_H
#define SYNTAX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum syntax_state {
	SYNTAX_START, /* before the first line */
	SYNTAX_REQUEST_LINE,
	SYNTAX_VERSION,
	SYNTAX_STATUS,
	SYNTAX_REASON,
	SYNTAX_LINE_START, /* of a field, or the empty line */
	SYNTAX_NAME,
	SYNTAX_VALUE,
	SYNTAX_LINE_END, /* after CR */
	SYNTAX_HEAD_END, /* after CR of the empty line */
	SYNTAX_HEAD_DONE,
	SYNTAX_CHUNK_START,
	SYNTAX_CHUNK_SIZE,
	SYNTAX_CHUNK_BLANK, /* after the size */
	SYNTAX_CHUNK_EXTENSION,
	SYNTAX_CHUNK_SIZE_END, /* after CR */
	SYNTAX_CHUNK_DATA,
	SYNTAX_CHUNK_DATA_CR, /* before CR */
	SYNTAX_CHUNK_DATA_LF, /* before LF */
	SYNTAX_BODY,	      /* without chunks */
	SYNTAX_DONE,
	SYNTAX_MALFORMED,
};

/* Where a message has been read up to. */
struct syntax {
	enum syntax_state state;
	bool is_response;
	bool in_trailer;
	bool has_field;	 /* the head or the trailer has one */
	unsigned digits; /* of the status or of the chunk's size */
	uint64_t chunk_left;
};

void syntax_init(struct syntax *s, bool is_response);
void syntax_begin_body(struct syntax *s, bool chunked);
size_t syntax_scan(struct syntax *s, const char *data, size_t len);

#endif
