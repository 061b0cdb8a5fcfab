/* Numbers in what targets say of themselves. */
#include "notice.h"

#include <stdlib.h>
#include <string.h>

/* Longer text is no number that anybody means. */
#define DECIMAL_MOST 32
#define DIGITS	     "0123456789"

/*
 * Read a decimal number without sign or exponent, as HTTP writes seconds and
 * rates; NULL is absent. What can't be read is told apart from what is absent,
 * so that nonsense neither sets nor lifts anything.
 */
enum tr_notice_value tr_notice_parse_decimal(const char *text, double *value)
{
	size_t len = text ? strlen(text) : 0;
	size_t number;

	if (!text)
		return TR_NOTICE_ABSENT;
	while (len && (text[len - 1] == ' ' || text[len - 1] == '\t'))
		len--;
	number = strspn(text, DIGITS);
	if (text[number] == '.' && number)
		number += 1 + strspn(text + number + 1, DIGITS);
	if (!number || number != len || text[number - 1] == '.' ||
	    len > DECIMAL_MOST)
		return TR_NOTICE_INVALID;
	*value = strtod(text, NULL);
	return TR_NOTICE_GIVEN;
}
