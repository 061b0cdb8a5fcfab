#ifndef LOGLINE_H
#define LOGLINE_H

#include <glib.h>
#include <stdio.h>

/* One line of a VM's log, taken apart. Times are seconds of its wall clock. */
struct logline {
	double at;
	unsigned order;
	GHashTable *fields;
};

/* The lines of several VMs, merged; elements are struct logline. */
GPtrArray *loglines_new(void);
unsigned loglines_read(GPtrArray *lines, FILE *in);
int loglines_read_file(GPtrArray *lines, const char *path, const char *command);
void loglines_sort(GPtrArray *lines);
const char *logline_get(const struct logline *line, const char *field);
double logline_number(const struct logline *line, const char *field);

#endif
