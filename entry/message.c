#include "message.h"

#include <string.h>
#include <strings.h>

static struct message *of(http_parser *p)
{
	return p->data;
}

static bool head_grew(struct message *msg, size_t by)
{
	msg->head_bytes += by;
	msg->head_too_long = msg->head_bytes > msg->max_head;
	return msg->head_too_long;
}

static int on_begin(http_parser *p)
{
	of(p)->begun = true;
	return 0;
}

static int on_url(http_parser *p, const char *at, size_t len)
{
	struct message *msg = of(p);

	if (head_grew(msg, len))
		return 1;
	g_string_append_len(msg->text, at, (gssize)len);
	return 0;
}

static int on_field(http_parser *p, const char *at, size_t len)
{
	struct message *msg = of(p);
	struct message_field next;

	if (head_grew(msg, len))
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
	struct message *msg = of(p);
	struct message_field *last;

	if (head_grew(msg, len) || !msg->headers->len)
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

static int on_head(http_parser *p)
{
	struct message *msg = of(p);

	/* Trailers would be headers nobody has looked at: keep them out. */
	msg->head_done = true;
	msg->framed = (p->flags & (F_CHUNKED | F_CONTENTLENGTH)) != 0;
	if ((p->flags & F_CONTENTLENGTH) && p->content_length > msg->max_body) {
		msg->body_too_long = true;
		return -1;
	}
	return msg->head_only;
}

static int on_body(http_parser *p, const char *at, size_t len)
{
	struct message *msg = of(p);

	if (msg->body->len + len > msg->max_body) {
		msg->body_too_long = true;
		return 1;
	}
	g_byte_array_append(msg->body, (const guint8 *)at, (guint)len);
	return 0;
}

static int on_complete(http_parser *p)
{
	struct message *msg = of(p);

	msg->complete = true;
	msg->keep_alive = http_should_keep_alive(p);
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings calls = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/* Make ready to read messages whose parts are at most so many bytes long. */
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
	msg->parser.data = msg;
}

/* Make ready for the next message of the same connection. */
void message_reset(struct message *msg)
{
	enum http_parser_type type = (enum http_parser_type)msg->parser.type;

	g_string_truncate(msg->text, 0);
	g_array_set_size(msg->headers, 0);
	g_byte_array_set_size(msg->body, 0);
	msg->head_bytes = 0;
	msg->in_value = false;
	msg->begun = false;
	msg->head_done = false;
	msg->complete = false;
	msg->head_too_long = false;
	msg->body_too_long = false;
	http_parser_init(&msg->parser, type);
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

/*
 * Read on. The bytes that belong to this message; what follows a complete one
 * is left to the caller. -1 when they are not HTTP, or too many.
 */
ssize_t message_feed(struct message *msg, const char *data, size_t len)
{
	size_t used;

	if (msg->complete)
		return 0;
	used = http_parser_execute(&msg->parser, &calls, data, len);
	if (msg->complete)
		return (ssize_t)used;
	if (HTTP_PARSER_ERRNO(&msg->parser) != HPE_OK || msg->parser.upgrade)
		return -1;
	return (ssize_t)used;
}

/* The peer ends the stream. Is that the end of a message without a length? */
bool message_end_of_stream(struct message *msg)
{
	if (!msg->complete)
		http_parser_execute(&msg->parser, &calls, NULL, 0);
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

	/* A header without a value has no zero of its own before it. */
	return h->value == h->name ? "" : msg->text->str + h->value;
}

/* The first header of the name, or NULL. */
const char *message_header(const struct message *msg, const char *name)
{
	for (unsigned i = 0; i < msg->headers->len; i++)
		if (!strcasecmp(message_name_at(msg, i), name))
			return message_value_at(msg, i);
	return NULL;
}

unsigned message_count(const struct message *msg, const char *name)
{
	unsigned n = 0;

	for (unsigned i = 0; i < msg->headers->len; i++)
		n += !strcasecmp(message_name_at(msg, i), name);
	return n;
}

/* Headers that concern one connection only, and those that are made anew. */
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
