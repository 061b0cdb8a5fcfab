#ifndef TR_ERROR_H
#define TR_ERROR_H

#include <stddef.h>

#include "result.h"

/*
 * Where and why an input was rejected. Allocated by the caller; line 0 and
 * empty strings mean that the field does not apply.
 */
struct tr_error {
	enum tr_result code;
	int line;
	char file[128];
	char field[96];
	char value[64];
	char expected[320];
};

int tr_error_set(struct tr_error *err, enum tr_result code, const char *field,
		 const char *value, const char *expected, ...)
	__attribute__((format(printf, 5, 6)));
void tr_error_format(const struct tr_error *err, char *buf, size_t size);

#endif
