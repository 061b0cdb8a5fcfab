/* Parser for numbers in the response headers that targets set. */
#include "notice.h"

#include <stdlib.h>
#include <string.h>

/* Longer text is rejected. */
#define MAX_DECIMAL_LEN 32
#define DIGITS		"0123456789"

/*
 * Parses a decimal number without sign or exponent, as HTTP writes seconds and
 * rates; NULL is absent. Invalid text is distinguished from an absent value, so
 * that it neither sets nor clears anything.
 */
enum tr_notice_value tr_notice_parse_decimal(const char *text, double *value)
{
	size_t len = text ? strlen(text) : 0;
	size_t digits_end;

	if (!text)
		return TR_NOTICE_ABSENT;
	while (len && (text[len - 1] == ' ' || text[len - 1] == '\t'))
		len--;
	digits_end = strspn(text, DIGITS);
	if (text[digits_end] == '.' && digits_end)
		digits_end += 1 + strspn(text + digits_end + 1, DIGITS);
	if (!digits_end || digits_end != len || text[digits_end - 1] == '.' ||
	    len > MAX_DECIMAL_LEN)
		return TR_NOTICE_INVALID;
	*value = strtod(text, NULL);
	return TR_NOTICE_GIVEN;
}
