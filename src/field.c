/* Characters of header fields. */
#include "field.h"

#include <string.h>

/* Returns whether the character may stand in a name: `tchar` of RFC 9110,
 * section 5.6.2. */
bool field_is_name_char(unsigned char c)
{
	return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
	       (c >= '0' && c <= '9') || (c && strchr("!#$%&'*+-.^_`|~", c));
}

/* Returns whether the character may stand in a value, or in a reason phrase:
 * section 5.5. */
bool field_is_value_char(unsigned char c)
{
	return c == '\t' || (c >= ' ' && c != 0x7f);
}

static bool consists_of(const char *text, size_t len,
			bool (*is_char)(unsigned char c))
{
	for (size_t i = 0; i < len; i++)
		if (!is_char((unsigned char)text[i]))
			return false;
	return true;
}

/* Returns whether the text is a name. */
bool field_is_name(const char *text, size_t len)
{
	return len && consists_of(text, len, field_is_name_char);
}

/* Returns whether the text is a value, which may be empty. */
bool field_is_value(const char *text, size_t len)
{
	return consists_of(text, len, field_is_value_char);
}

/* Returns whether the line, without its end, is a field: a name, a colon and a
 * value. */
bool field_is_line(const char *line, size_t len)
{
	const char *colon = memchr(line, ':', len);
	size_t name_len = colon ? (size_t)(colon - line) : 0;

	return field_is_name(line, name_len) &&
	       field_is_value(line + name_len, len - name_len);
}
