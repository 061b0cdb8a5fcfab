/* Incremental parsing of HTTP/1.1 messages with http_parser. */
#include "message.h"

#include <string.h>
#include <strings.h>

/* Size of a body's buffer, in bytes, that is kept for the next message. */
#define BODY_KEPT 65536

static struct message *message_of(http_parser *p)
{
	return p->data;
}

/* Counts bytes of the head. Returns true when the head is too long. */
static bool exceeds_max_head(struct message *msg, size_t by)
{
	msg->head_bytes += by;
	msg->head_too_long = msg->head_bytes > msg->max_head;
	return msg->head_too_long;
}

static int on_begin(http_parser *p)
{
	message_of(p)->begun = true;
	return 0;
}

static int on_url(http_parser *p, const char *at, size_t len)
{
	struct message *msg = message_of(p);

	if (exceeds_max_head(msg, len))
		return 1;
	g_string_append_len(msg->text, at, (gssize)len);
	return 0;
}

static int on_field(http_parser *p, const char *at, size_t len)
{
	struct message *msg = message_of(p);
	struct message_field next;

	if (exceeds_max_head(msg, len))
		return 1;
	if (msg->in_value || !msg->headers->len) {
		g_string_append_c(msg->text, 0);
		next.name = (uint32_t)msg->text->len;
		next.value = next.name;
		g_array_append_val(msg->headers, next);
		msg->in_value = false;
	}
	g_string_append_len(msg->text, at, (gssize)len);
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t len)
{
	struct message *msg = message_of(p);
	struct message_field *last;

	if (exceeds_max_head(msg, len) || !msg->headers->len)
		return 1;
	last = &g_array_index(msg->headers, struct message_field,
			      msg->headers->len - 1);
	if (!msg->in_value) {
		g_string_append_c(msg->text, 0);
		last->value = (uint32_t)msg->text->len;
		msg->in_value = true;
	}
	g_string_append_len(msg->text, at, (gssize)len);
	return 0;
}

/* Returns whether the value is the word, with any blanks around it. */
static bool value_is(const char *value, const char *word)
{
	size_t len = strlen(word);

	value += strspn(value, " \t");
	return !strncasecmp(value, word, len) &&
	       !value[len + strspn(value + len, " \t")];
}

/*
 * Returns whether the body is in no other coding than chunks, which is the only
 * one that is decoded here and which HTTP/1.0 lacks. http_parser checks the
 * length.
 */
static bool has_valid_coding(const struct message *msg)
{
	const char *coding = message_header(msg, "Transfer-Encoding");
	bool chunked = (msg->parser.flags & F_CHUNKED) != 0;

	if (!coding)
		return !chunked;
	return message_count(msg, "Transfer-Encoding") == 1 &&
	       value_is(coding, chunked ? "chunked" : "identity") &&
	       msg->parser.http_minor > 0;
}

/* Returns whether this can be a message of HTTP/1.x at all. */
static bool has_valid_head(const struct message *msg)
{
	const http_parser *p = &msg->parser;

	if (p->type == HTTP_RESPONSE &&
	    (p->http_major != 1 || p->status_code < 100 ||
	     p->status_code > 599))
		return false;
	return has_valid_coding(msg);
}

/* Returns whether no body follows the head, whatever its fields say. */
static bool has_no_body(const struct message *msg)
{
	const http_parser *p = &msg->parser;

	return msg->head_only ||
	       (p->type == HTTP_RESPONSE &&
		(p->status_code < 200 || p->status_code == 204 ||
		 p->status_code == 304));
}

static int on_head(http_parser *p)
{
	struct message *msg = message_of(p);
	bool no_body = has_no_body(msg);

	if (!has_valid_head(msg))
		return -1;
	/*
	 * Any further fields are trailers, which no check of the head has
	 * covered.
	 */
	msg->head_done = true;
	msg->framed = (p->flags & (F_CHUNKED | F_CONTENTLENGTH)) != 0;
	if (!no_body && (p->flags & F_CONTENTLENGTH) &&
	    p->content_length > msg->max_body) {
		msg->body_too_long = true;
		return -1;
	}
	syntax_begin_body(&msg->syntax, (p->flags & F_CHUNKED) != 0);
	return no_body;
}

static int on_body(http_parser *p, const char *at, size_t len)
{
	struct message *msg = message_of(p);

	if (msg->body->len + len > msg->max_body) {
		msg->body_too_long = true;
		return 1;
	}
	g_byte_array_append(msg->body, (const guint8 *)at, (guint)len);
	return 0;
}

static int on_complete(http_parser *p)
{
	struct message *msg = message_of(p);

	msg->complete = true;
	msg->keep_alive = http_should_keep_alive(p);
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings parser_callbacks = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/*
 * Initialises the message for parsing. The head and the body may have at most
 * max_head and max_body bytes.
 */
void message_init(struct message *msg, enum http_parser_type type,
		  size_t max_head, size_t max_body)
{
	memset(msg, 0, sizeof(*msg));
	msg->text = g_string_sized_new(512);
	msg->headers = g_array_new(FALSE, FALSE, sizeof(struct message_field));
	msg->body = g_byte_array_new();
	msg->max_head = max_head;
	msg->max_body = max_body;
	http_parser_init(&msg->parser, type);
	syntax_init(&msg->syntax, type == HTTP_RESPONSE);
	msg->parser.data = msg;
}

/* Empties the body. The memory of a large one is freed. */
static void clear_body(struct message *msg)
{
	if (msg->body->len > BODY_KEPT) {
		g_byte_array_free(msg->body, TRUE);
		msg->body = g_byte_array_new();
	}
	g_byte_array_set_size(msg->body, 0);
}

/* Forgets the message, but not what was skipped before it. */
static void reset_parser(struct message *msg)
{
	enum http_parser_type type = (enum http_parser_type)msg->parser.type;

	g_string_truncate(msg->text, 0);
	g_array_set_size(msg->headers, 0);
	clear_body(msg);
	msg->head_bytes = 0;
	msg->parsed = 0;
	msg->in_value = false;
	msg->begun = false;
	msg->head_done = false;
	msg->complete = false;
	msg->head_too_long = false;
	msg->body_too_long = false;
	http_parser_init(&msg->parser, type);
	syntax_init(&msg->syntax, type == HTTP_RESPONSE);
}

/* Prepares for the next message on the same connection. */
void message_reset(struct message *msg)
{
	reset_parser(msg);
	msg->skipped_interim = 0;
	msg->skipped_others = 0;
	msg->skipped_too_much = false;
}

/*
 * Passes over a complete response that is not the awaited one. The limits of a
 * head and of a body hold for all interim responses and for all others that
 * precede it. Returns false if they are exceeded: the peer may never send the
 * awaited one.
 */
bool message_skip(struct message *msg)
{
	if (msg->parser.status_code < 200)
		msg->skipped_interim += msg->parsed;
	else
		msg->skipped_others += msg->parsed;
	msg->skipped_too_much = msg->skipped_interim > msg->max_head ||
				msg->skipped_others > msg->max_body;
	reset_parser(msg);
	return !msg->skipped_too_much;
}

/* Returns whether the peer sends more than the limits allow. */
bool message_exceeds_limit(const struct message *msg)
{
	return msg->head_too_long || msg->body_too_long ||
	       msg->skipped_too_much ||
	       HTTP_PARSER_ERRNO(&msg->parser) == HPE_HEADER_OVERFLOW;
}

void message_free(struct message *msg)
{
	if (!msg->text)
		return;
	g_string_free(msg->text, TRUE);
	g_array_free(msg->headers, TRUE);
	g_byte_array_free(msg->body, TRUE);
	memset(msg, 0, sizeof(*msg));
}

/* Parses as many bytes as are checked at once. Returns how many, or -1. */
static ssize_t feed_part(struct message *msg, const char *data, size_t len)
{
	size_t part = syntax_scan(&msg->syntax, data, len);
	size_t used;

	/* No bytes would be the end of the stream to http_parser. */
	if (!part)
		return -1;
	used = http_parser_execute(&msg->parser, &parser_callbacks, data, part);
	msg->parsed += used;
	if (msg->complete)
		return (ssize_t)used;
	if (HTTP_PARSER_ERRNO(&msg->parser) != HPE_OK || msg->parser.upgrade ||
	    msg->syntax.state == SYNTAX_MALFORMED)
		return -1;
	return (ssize_t)used;
}

/*
 * Parses received bytes. Returns how many belong to this message; those that
 * follow a complete message are left to the caller. Returns -1 if they are not
 * valid HTTP or exceed a limit.
 */
ssize_t message_feed(struct message *msg, const char *data, size_t len)
{
	size_t done = 0;

	while (done < len && !msg->complete) {
		ssize_t used = feed_part(msg, data + done, len - done);

		if (used < 0)
			return -1;
		done += (size_t)used;
	}
	return (ssize_t)done;
}

/*
 * Tells the parser that the peer has closed the stream. Returns whether the
 * message is complete: a response without a length ends here.
 */
bool message_end_of_stream(struct message *msg)
{
	if (!msg->complete)
		http_parser_execute(&msg->parser, &parser_callbacks, NULL, 0);
	return msg->complete;
}

const char *message_target(const struct message *msg)
{
	return msg->text->str + msg->target;
}

const char *message_name_at(const struct message *msg, unsigned i)
{
	const struct message_field *h =
		&g_array_index(msg->headers, struct message_field, i);

	return msg->text->str + h->name;
}

const char *message_value_at(const struct message *msg, unsigned i)
{
	const struct message_field *h =
		&g_array_index(msg->headers, struct message_field, i);

	/* An empty value has no NUL of its own in text. */
	return h->value == h->name ? "" : msg->text->str + h->value;
}

/*
 * Returns the value of the first header with this name, or NULL. Names are
 * compared without regard to case.
 */
const char *message_header(const struct message *msg, const char *name)
{
	for (unsigned i = 0; i < msg->headers->len; i++)
		if (!strcasecmp(message_name_at(msg, i), name))
			return message_value_at(msg, i);
	return NULL;
}

/* Returns how many headers have this name. */
unsigned message_count(const struct message *msg, const char *name)
{
	unsigned n = 0;

	for (unsigned i = 0; i < msg->headers->len; i++)
		n += !strcasecmp(message_name_at(msg, i), name);
	return n;
}

/*
 * Returns whether a header is hop-by-hop or generated anew, and so not
 * forwarded.
 */
bool message_is_connection_header(const char *name)
{
	static const char *const names[] = {
		"Connection",
		"Keep-Alive",
		"Proxy-Authenticate",
		"Proxy-Authorization",
		"Proxy-Connection",
		"TE",
		"Trailer",
		"Transfer-Encoding",
		"Upgrade",
		"Content-Length",
		"Expect",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (!strcasecmp(name, names[i]))
			return true;
	return false;
}
