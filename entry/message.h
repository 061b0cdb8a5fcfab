#ifndef MESSAGE_H
#define MESSAGE_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>

/* One header; offsets into the message's text. */
struct message_field {
	uint32_t name;
	uint32_t value;
};

/*
 * An HTTP/1.1 request or response while it is read, and after. text holds the
 * target and the headers, each ended by a zero.
 */
struct message {
	http_parser parser;
	GString *text;
	GArray *headers;
	GByteArray *body;
	uint32_t target;
	size_t max_body;
	size_t max_head;
	size_t head_bytes;
	bool in_value;
	bool begun;
	bool head_done;
	bool complete;
	bool keep_alive;
	bool framed;
	bool head_too_long;
	bool body_too_long;
	bool head_only;
};

void message_init(struct message *msg, enum http_parser_type type,
		  size_t max_head, size_t max_body);
void message_reset(struct message *msg);
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
