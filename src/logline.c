#include "logline.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "cleanup.h"

/* Whatever a collector put before the line is left out. */
#define FIRST_FIELD "time="

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

/* The value that begins at text, with its quotes taken off; *end is behind. */
static char *take_value(const char *text, const char **end)
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
				    take_value(text + len + 1, &text));
	}
	line->at = logline_number(line, "time");
	return line;
}

/* Append the log lines of a file; how many it had. Others are passed over. */
unsigned loglines_read(GPtrArray *lines, FILE *in)
{
	auto_free char *text = NULL;
	size_t room = 0;
	unsigned n = 0;

	while (getline(&text, &room, in) > 0) {
		const char *at = strstr(text, FIRST_FIELD);
		struct logline *line;

		if (!at || !strstr(at, " event="))
			continue;
		line = parse(at);
		line->order = lines->len;
		g_ptr_array_add(lines, line);
		n++;
	}
	return n;
}

/* Append those of the file at the path, where "-" is the standard input. 0, or
 * -1 after saying why for the command. */
int loglines_read_file(GPtrArray *lines, const char *path, const char *command)
{
	FILE *in = strcmp(path, "-") ? fopen(path, "r") : stdin;

	if (!in) {
		fprintf(stderr, "%s: %s: %s\n", command, path, strerror(errno));
		return -1;
	}
	if (!loglines_read(lines, in))
		fprintf(stderr, "%s: %s: no line of a VM's log\n", command,
			path);
	if (in != stdin)
		fclose(in);
	return 0;
}

static gint compare(gconstpointer a, gconstpointer b)
{
	const struct logline *x = *(struct logline *const *)a;
	const struct logline *y = *(struct logline *const *)b;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return x->order < y->order ? -1 : x->order > y->order;
}

/*
 * Into the order in which they happened. A VM's own lines stay in theirs,
 * though its wall clock may jump back: the time of a line is at least that of
 * the VM's line before it.
 */
void loglines_sort(GPtrArray *lines)
{
	GHashTable *last = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < lines->len; i++) {
		struct logline *line = g_ptr_array_index(lines, i);
		const char *vm = logline_get(line, "vm");
		struct logline *before = g_hash_table_lookup(last, vm);

		if (before && before->at > line->at)
			line->at = before->at;
		g_hash_table_insert(last, (gpointer)vm, line);
	}
	g_hash_table_destroy(last);
	g_ptr_array_sort(lines, compare);
}

/* "" when the line has no such field. */
const char *logline_get(const struct logline *line, const char *field)
{
	const char *value = g_hash_table_lookup(line->fields, field);

	return value ? value : "";
}

/* 0 when the line has no such field. */
double logline_number(const struct logline *line, const char *field)
{
	return g_ascii_strtod(logline_get(line, field), NULL);
}
