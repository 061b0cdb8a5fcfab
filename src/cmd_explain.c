#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

#include "command.h"
#include "explain.h"

static int explain_all(const GPtrArray *lines, struct arg_str *ids)
{
	int code = EXIT_SUCCESS;

	for (int i = 0; i < ids->count; i++) {
		struct explain_report report;

		if (explain(lines, ids->sval[i], &report)) {
			explain_print(lines, &report, stdout);
			continue;
		}
		fprintf(stderr,
			"explain: %s: no request with this id in the logs\n",
			ids->sval[i]);
		code = EXIT_FOUND_FAULT;
	}
	return code;
}

/*
 * toucanreel explain. Returns 0, EXIT_FOUND_FAULT if an id is not in the logs,
 * or EXIT_USAGE.
 */
int command_explain(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_file *logs =
		arg_filen(NULL, "logs", "FILE", 1, 512,
			  "log of a VM, or '-' for stdin; may be repeated");
	struct arg_str *ids =
		arg_strn(NULL, NULL, "ID", 1, 64, "ids of requests");
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
