#ifndef LOGLINE_H
#define LOGLINE_H

#include <glib.h>
#include <stdio.h>

/*
 * Parser for the key=value lines of VMs' logs, as read by the operators'
 * commands.
 */

/* One parsed line. The time is in seconds of the VM's wall clock. */
struct logline {
	double time;
	unsigned read_order; /* breaks ties of time */
	GHashTable *fields;
};

/* The lines of several VMs; the elements are pointers to struct logline. */
GPtrArray *loglines_new(void);
unsigned loglines_read(GPtrArray *lines, FILE *in);
int loglines_read_file(GPtrArray *lines, const char *path, const char *command);
void loglines_sort(GPtrArray *lines);
const char *logline_get(const struct logline *line, const char *field);
double logline_number(const struct logline *line, const char *field);

#endif
