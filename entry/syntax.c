/* The syntax of HTTP/1.1 messages, byte by byte. */
#include "syntax.h"

#include <glib.h>
#include <string.h>

#include "field.h"

#define STATUS_DIGITS	 3
#define CHUNK_DIGITS_MAX 16

typedef enum syntax_state (*step_fn)(struct syntax *s, unsigned char c);

static bool is_blank(unsigned char c)
{
	return c == ' ' || c == '\t';
}

/* Returns the state after an end of line, or the other one. */
static enum syntax_state line_end_or(unsigned char c, enum syntax_state other)
{
	if (c == '\r')
		return SYNTAX_LINE_END;
	return c == '\n' ? SYNTAX_LINE_START : other;
}

static enum syntax_state on_start(struct syntax *s, unsigned char c)
{
	if (c == '\r' || c == '\n')
		return SYNTAX_START;
	return s->is_response ? SYNTAX_VERSION : SYNTAX_REQUEST_LINE;
}

/* http_parser checks the rest of the line. */
static enum syntax_state on_request_line(struct syntax *s, unsigned char c)
{
	(void)s;
	return c == '\n' ? SYNTAX_LINE_START : SYNTAX_REQUEST_LINE;
}

/* http_parser checks the version itself. */
static enum syntax_state on_version(struct syntax *s, unsigned char c)
{
	(void)s;
	if (c == ' ')
		return SYNTAX_STATUS;
	return c == '\r' || c == '\n' ? SYNTAX_MALFORMED : SYNTAX_VERSION;
}

static enum syntax_state on_status(struct syntax *s, unsigned char c)
{
	if (g_ascii_isdigit(c) && ++s->digits <= STATUS_DIGITS)
		return SYNTAX_STATUS;
	if (c == ' ' && !s->digits)
		return SYNTAX_STATUS;
	if (s->digits != STATUS_DIGITS)
		return SYNTAX_MALFORMED;
	return c == ' ' ? SYNTAX_REASON : line_end_or(c, SYNTAX_MALFORMED);
}

static enum syntax_state on_reason(struct syntax *s, unsigned char c)
{
	(void)s;
	return field_is_value_char(c) ? SYNTAX_REASON
				      : line_end_or(c, SYNTAX_MALFORMED);
}

static enum syntax_state end_of_fields(const struct syntax *s)
{
	return s->in_trailer ? SYNTAX_DONE : SYNTAX_HEAD_DONE;
}

static enum syntax_state on_line_start(struct syntax *s, unsigned char c)
{
	if (c == '\r')
		return SYNTAX_HEAD_END;
	if (c == '\n')
		return end_of_fields(s);
	/* A further line of the last value. */
	if (is_blank(c) && s->has_field)
		return SYNTAX_VALUE;
	return field_is_name_char(c) ? SYNTAX_NAME : SYNTAX_MALFORMED;
}

static enum syntax_state on_name(struct syntax *s, unsigned char c)
{
	if (field_is_name_char(c))
		return SYNTAX_NAME;
	if (c != ':')
		return SYNTAX_MALFORMED;
	s->has_field = true;
	return SYNTAX_VALUE;
}

static enum syntax_state on_value(struct syntax *s, unsigned char c)
{
	(void)s;
	return field_is_value_char(c) ? SYNTAX_VALUE
				      : line_end_or(c, SYNTAX_MALFORMED);
}

static enum syntax_state on_line_end(struct syntax *s, unsigned char c)
{
	(void)s;
	return c == '\n' ? SYNTAX_LINE_START : SYNTAX_MALFORMED;
}

static enum syntax_state on_head_end(struct syntax *s, unsigned char c)
{
	return c == '\n' ? end_of_fields(s) : SYNTAX_MALFORMED;
}

static enum syntax_state after_chunk_size(unsigned char c)
{
	if (c == ';')
		return SYNTAX_CHUNK_EXTENSION;
	if (is_blank(c))
		return SYNTAX_CHUNK_BLANK;
	return c == '\r' ? SYNTAX_CHUNK_SIZE_END : SYNTAX_MALFORMED;
}

static enum syntax_state on_chunk_size(struct syntax *s, unsigned char c)
{
	if (!g_ascii_isxdigit(c))
		return s->digits ? after_chunk_size(c) : SYNTAX_MALFORMED;
	if (++s->digits > CHUNK_DIGITS_MAX)
		return SYNTAX_MALFORMED;
	s->chunk_left =
		s->chunk_left << 4 | (unsigned)g_ascii_xdigit_value((gchar)c);
	return SYNTAX_CHUNK_SIZE;
}

static enum syntax_state on_chunk_start(struct syntax *s, unsigned char c)
{
	s->digits = 0;
	s->chunk_left = 0;
	return on_chunk_size(s, c);
}

static enum syntax_state on_chunk_blank(struct syntax *s, unsigned char c)
{
	(void)s;
	return after_chunk_size(c);
}

static enum syntax_state on_chunk_extension(struct syntax *s, unsigned char c)
{
	(void)s;
	if (c == '\r')
		return SYNTAX_CHUNK_SIZE_END;
	return field_is_value_char(c) ? SYNTAX_CHUNK_EXTENSION
				      : SYNTAX_MALFORMED;
}

static enum syntax_state on_chunk_size_end(struct syntax *s, unsigned char c)
{
	if (c != '\n')
		return SYNTAX_MALFORMED;
	if (s->chunk_left)
		return SYNTAX_CHUNK_DATA;
	s->in_trailer = true;
	s->has_field = false;
	return SYNTAX_LINE_START;
}

static enum syntax_state on_chunk_data_cr(struct syntax *s, unsigned char c)
{
	(void)s;
	return c == '\r' ? SYNTAX_CHUNK_DATA_LF : SYNTAX_MALFORMED;
}

static enum syntax_state on_chunk_data_lf(struct syntax *s, unsigned char c)
{
	(void)s;
	return c == '\n' ? SYNTAX_CHUNK_START : SYNTAX_MALFORMED;
}

/* By state. Those without a function end the scan, or pass over many bytes. */
static const step_fn steps[] = {
	[SYNTAX_START] = on_start,
	[SYNTAX_REQUEST_LINE] = on_request_line,
	[SYNTAX_VERSION] = on_version,
	[SYNTAX_STATUS] = on_status,
	[SYNTAX_REASON] = on_reason,
	[SYNTAX_LINE_START] = on_line_start,
	[SYNTAX_NAME] = on_name,
	[SYNTAX_VALUE] = on_value,
	[SYNTAX_LINE_END] = on_line_end,
	[SYNTAX_HEAD_END] = on_head_end,
	[SYNTAX_CHUNK_START] = on_chunk_start,
	[SYNTAX_CHUNK_SIZE] = on_chunk_size,
	[SYNTAX_CHUNK_BLANK] = on_chunk_blank,
	[SYNTAX_CHUNK_EXTENSION] = on_chunk_extension,
	[SYNTAX_CHUNK_SIZE_END] = on_chunk_size_end,
	[SYNTAX_CHUNK_DATA_CR] = on_chunk_data_cr,
	[SYNTAX_CHUNK_DATA_LF] = on_chunk_data_lf,
	[SYNTAX_MALFORMED] = NULL,
};

/* Prepares for a message. */
void syntax_init(struct syntax *s, bool is_response)
{
	memset(s, 0, sizeof(*s));
	s->is_response = is_response;
}

/* The head is done, and what follows is a body. */
void syntax_begin_body(struct syntax *s, bool chunked)
{
	s->state = chunked ? SYNTAX_CHUNK_START : SYNTAX_BODY;
}

/* Passes over bytes of a chunk. */
static size_t skip_data(struct syntax *s, size_t len)
{
	size_t n = len < s->chunk_left ? len : (size_t)s->chunk_left;

	s->chunk_left -= n;
	if (!s->chunk_left)
		s->state = SYNTAX_CHUNK_DATA_CR;
	return n;
}

/*
 * Checks bytes of the message. Returns how many of them are well-formed, up to
 * the end of the head or of the message. If it is none, or the state is
 * SYNTAX_MALFORMED, the next byte isn't.
 */
size_t syntax_scan(struct syntax *s, const char *data, size_t len)
{
	size_t at = 0;

	if (s->state == SYNTAX_BODY)
		return len;
	while (at < len) {
		unsigned char c = (unsigned char)data[at];

		if (s->state == SYNTAX_CHUNK_DATA) {
			at += skip_data(s, len - at);
			continue;
		}
		if (!steps[s->state])
			return at;
		s->state = steps[s->state](s, c);
		if (s->state == SYNTAX_MALFORMED)
			return at;
		at++;
	}
	return at;
}
