#include "logline.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "cleanup.h"

/* A line starts here; a prefix that a log collector added is skipped. */
#define LINE_START "time="

static void free_line(gpointer p)
{
	struct logline *line = p;

	g_hash_table_destroy(line->fields);
	g_free(line);
}

GPtrArray *loglines_new(void)
{
	return g_ptr_array_new_with_free_func(free_line);
}

/* Copies the value at text without its quotes. *end is set behind it. */
static char *parse_value(const char *text, const char **end)
{
	size_t len;

	if (*text == '"') {
		len = strcspn(text + 1, "\"");
		*end = text + 1 + len + (text[1 + len] == '"');
		return g_strndup(text + 1, len);
	}
	len = strcspn(text, " \n");
	*end = text + len;
	return g_strndup(text, len);
}

static struct logline *parse(const char *text)
{
	struct logline *line = g_new0(struct logline, 1);

	line->fields =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	while (*text) {
		size_t len;
		char *key;

		text += strspn(text, " \n");
		len = strcspn(text, "= \n");
		if (!len || text[len] != '=') {
			text += len;
			if (!len)
				break;
			continue;
		}
		key = g_strndup(text, len);
		g_hash_table_insert(line->fields, key,
				    parse_value(text + len + 1, &text));
	}
	line->time = logline_number(line, "time");
	return line;
}

/* Appends the event lines of a file and returns their number. Lines that are
 * not events are skipped. */
unsigned loglines_read(GPtrArray *lines, FILE *in)
{
	auto_free char *text = NULL;
	size_t capacity = 0;
	unsigned n = 0;

	while (getline(&text, &capacity, in) > 0) {
		const char *at = strstr(text, LINE_START);
		struct logline *line;

		if (!at || !strstr(at, " event="))
			continue;
		line = parse(at);
		line->read_order = lines->len;
		g_ptr_array_add(lines, line);
		n++;
	}
	return n;
}

/* Appends the event lines of the file at path, or of standard input for "-".
 * Returns 0, or -1 after printing an error in the name of the command. */
int loglines_read_file(GPtrArray *lines, const char *path, const char *command)
{
	FILE *in = strcmp(path, "-") ? fopen(path, "r") : stdin;

	if (!in) {
		fprintf(stderr, "%s: %s: %s\n", command, path, strerror(errno));
		return -1;
	}
	if (!loglines_read(lines, in))
		fprintf(stderr, "%s: %s: no log line of a VM found\n", command,
			path);
	if (in != stdin)
		fclose(in);
	return 0;
}

static gint compare_lines(gconstpointer a, gconstpointer b)
{
	const struct logline *x = *(struct logline *const *)a;
	const struct logline *y = *(struct logline *const *)b;

	if (x->time != y->time)
		return x->time < y->time ? -1 : 1;
	return x->read_order < y->read_order ? -1
					     : x->read_order > y->read_order;
}

/*
 * Sorts the lines of all VMs by time. Since a VM's wall clock may jump back,
 * the time of each line is first raised to at least that of the same VM's
 * previous line, so that the lines of one VM keep their order.
 */
void loglines_sort(GPtrArray *lines)
{
	GHashTable *last = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < lines->len; i++) {
		struct logline *line = g_ptr_array_index(lines, i);
		const char *vm = logline_get(line, "vm");
		struct logline *before = g_hash_table_lookup(last, vm);

		if (before && before->time > line->time)
			line->time = before->time;
		g_hash_table_insert(last, (gpointer)vm, line);
	}
	g_hash_table_destroy(last);
	g_ptr_array_sort(lines, compare_lines);
}

/* Returns the value of a field, or "" if the line has no such field. */
const char *logline_get(const struct logline *line, const char *field)
{
	const char *value = g_hash_table_lookup(line->fields, field);

	return value ? value : "";
}

/* Returns the number in a field, or 0 if the line has no such field. */
double logline_number(const struct logline *line, const char *field)
{
	return g_ascii_strtod(logline_get(line, field), NULL);
}
