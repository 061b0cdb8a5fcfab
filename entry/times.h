#ifndef TIMES_H
#define TIMES_H

/* Latency histograms of this VM for the metrics endpoint. */
#include <glib.h>

#include "histogram.h"
#include "route.h"

struct entry;

/*
 * Latency histogram of the requests with one service, kind, class of status and
 * cause. Rows are told apart by the address of why, a string constant.
 */
struct times_row {
	uint32_t service;
	enum tr_kind kind;
	int status_class;
	const char *why;
	struct tr_histogram took; /* latency */
};

const char *times_kind_name(enum tr_kind kind);
void times_add(struct entry *e, const struct times_row *key, apr_time_t took);
void times_print(const struct entry *e, GString *text);

#endif
