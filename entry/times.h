#ifndef TIMES_H
#define TIMES_H

#include <glib.h>

#include "histogram.h"
#include "route.h"

struct entry;

/* How requests of one service, kind and end took; why is a constant. */
struct times_row {
	uint32_t service;
	enum tr_kind kind;
	int status_class;
	const char *why;
	struct tr_histogram took;
};

const char *times_kind_name(enum tr_kind kind);
void times_add(struct entry *e, const struct times_row *what, apr_time_t took);
void times_print(const struct entry *e, GString *text);

#endif
