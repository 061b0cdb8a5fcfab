#ifndef MESSAGE_H
#define MESSAGE_H

/*
 * HTTP/1.1 messages: an incremental parser with limits, on top of http_parser.
 */
#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>

#include "syntax.h"

/* A header field, as offsets into message.text. */
struct message_field {
	uint32_t name;
	uint32_t value;
};

/* An HTTP/1.1 request or response, during and after parsing. */
struct message {
	http_parser parser;
	struct syntax syntax;
	/* The request target and the header fields, each terminated by NUL. */
	GString *text;
	GArray *headers;
	GByteArray *body;
	uint32_t target;   /* offset of the request target in text */
	size_t max_body;   /* bytes */
	size_t max_head;   /* bytes */
	size_t head_bytes; /* received so far */
	size_t parsed;	   /* bytes of this message that were parsed */
	/* Bytes of the messages that message_skip() passed over: interim
	 * responses, and others. */
	size_t skipped_interim;
	size_t skipped_others;
	bool in_value; /* the value of the last header has begun */
	bool begun;    /* parsing has begun */
	bool head_done;
	bool complete;
	bool keep_alive;
	bool framed; /* has Content-Length or is chunked */
	bool head_too_long;
	bool body_too_long;
	bool skipped_too_much;
	bool head_only; /* a response to HEAD, which has no body */
};

void message_init(struct message *msg, enum http_parser_type type,
		  size_t max_head, size_t max_body);
void message_reset(struct message *msg);
bool message_skip(struct message *msg);
bool message_exceeds_limit(const struct message *msg);
void message_free(struct message *msg);
ssize_t message_feed(struct message *msg, const char *data, size_t len);
bool message_end_of_stream(struct message *msg);
const char *message_target(const struct message *msg);
const char *message_header(const struct message *msg, const char *name);
unsigned message_count(const struct message *msg, const char *name);
const char *message_name_at(const struct message *msg, unsigned i);
const char *message_value_at(const struct message *msg, unsigned i);
bool message_is_connection_header(const char *name);

#endif
