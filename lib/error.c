/* Fills in and formats the reason why an input was rejected. */
#include "error.h"

#include <stdarg.h>
#include <stdio.h>

/*
 * Sets all fields but the file and the line, which the reader of the file adds.
 * Always returns -1, so that a check can return its result. err may be NULL.
 */
int tr_error_set(struct tr_error *err, enum tr_result code, const char *field,
		 const char *value, const char *expected, ...)
{
	va_list ap;

	if (!err)
		return -1;
	err->code = code;
	snprintf(err->field, sizeof(err->field), "%s", field ? field : "");
	snprintf(err->value, sizeof(err->value), "%s", value ? value : "");
	va_start(ap, expected);
	vsnprintf(err->expected, sizeof(err->expected), expected, ap);
	va_end(ap);
	return -1;
}

/* Writes "file:line: field: 'value': (code N): expected ..." into buf. */
void tr_error_format(const struct tr_error *err, char *buf, size_t size)
{
	char line[16] = "";
	char field[112] = "";
	char value[80] = "";

	if (err->line > 0)
		snprintf(line, sizeof(line), "%d:", err->line);
	if (*err->field)
		snprintf(field, sizeof(field), "%s: ", err->field);
	if (*err->value)
		snprintf(value, sizeof(value), "'%s': ", err->value);
	snprintf(buf, size, "%s%s%s%s%s%s(code %d): %s", err->file,
		 *err->file ? ":" : "", line, *err->file ? " " : "", field,
		 value, (int)err->code,
		 *err->expected ? err->expected : tr_result_text(err->code));
}
