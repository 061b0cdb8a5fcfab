#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "capacity.h"
#include "cleanup.h"
#include "command.h"
#include "error.h"

/* toucanreel capacity: estimates the cost per VM for the sizes in a file. */
int command_capacity(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_file *file = arg_file1(NULL, NULL, "FILE",
					  "sizes, slopes and budgets, in YAML");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, file, end };
	struct tr_error err = { 0 };
	struct capacity_model *model = NULL;
	auto_free char *page = NULL;
	char text[512];
	int code = EXIT_SUCCESS;

	if (command_parse(argc, argv, table, "capacity", &code)) {
		model = capacity_load(file->filename[0], &err);
		if (model) {
			page = capacity_page(model);
			fputs(page ? page : "", stdout);
		} else {
			tr_error_format(&err, text, sizeof(text));
			fprintf(stderr, "capacity: %s\n", text);
			code = EXIT_USAGE;
		}
	}
	capacity_free(model);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
