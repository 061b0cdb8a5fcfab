/* Characters of header fields, by RFC 9110. */
#ifndef FIELD_H
#define FIELD_H

#include <stdbool.h>
#include <stddef.h>

bool field_is_name_char(unsigned char c);
bool field_is_value_char(unsigned char c);
bool field_is_name(const char *text, size_t len);
bool field_is_value(const char *text, size_t len);
bool field_is_line(const char *line, size_t len);

#endif
