#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

#include "command.h"
#include "explain.h"

static int explain_all(const GPtrArray *lines, struct arg_str *ids)
{
	int code = EXIT_SUCCESS;

	for (int i = 0; i < ids->count; i++) {
		struct explain_story story;

		if (explain(lines, ids->sval[i], &story)) {
			explain_print(lines, &story, stdout);
			continue;
		}
		fprintf(stderr, "explain: %s: no line has this id\n",
			ids->sval[i]);
		code = EXIT_FOUND_FAULT;
	}
	return code;
}

/* toucanreel explain: 0, 1 when an id is not in the logs, 2 for wrong usage. */
int command_explain(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "say how to use it");
	struct arg_file *logs =
		arg_filen(NULL, "logs", "FILE", 1, 512,
			  "a VM's log, or '-'; may be repeated");
	struct arg_str *ids =
		arg_strn(NULL, NULL, "ID", 1, 64, "requests, by their id");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, logs, ids, end };
	GPtrArray *lines = loglines_new();
	int code = EXIT_SUCCESS;

	if (command_parse(argc, argv, table, "explain", &code)) {
		for (int i = 0; i < logs->count && !code; i++)
			if (loglines_read_file(lines, logs->filename[i],
					       "explain"))
				code = EXIT_USAGE;
		loglines_sort(lines);
		if (!code)
			code = explain_all(lines, ids);
	}
	g_ptr_array_free(lines, TRUE);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
