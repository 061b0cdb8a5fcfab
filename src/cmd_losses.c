#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "calibration.h"
#include "cleanup.h"
#include "command.h"
#include "losses.h"

static int print_as(const struct losses *losses, const char *format)
{
	g_autofree char *svg = NULL;
	auto_json json_t *json = NULL;

	if (!strcmp(format, "text")) {
		losses_print(losses, stdout);
		return EXIT_SUCCESS;
	}
	if (!strcmp(format, "json")) {
		json = losses_json(losses);
		json_dumpf(json, stdout, JSON_INDENT(2));
		fputc('\n', stdout);
		return EXIT_SUCCESS;
	}
	if (!strcmp(format, "svg")) {
		svg = losses_svg(losses);
		fputs(svg, stdout);
		return EXIT_SUCCESS;
	}
	fprintf(stderr, "losses: --format %s: expected text, json or svg\n",
		format);
	return EXIT_USAGE;
}

static void print_calibration(const GPtrArray *lines)
{
	struct calibration c;

	calibration_count(&c, lines);
	calibration_print(&c, stdout);
}

/*
 * toucanreel losses. Returns 0, EXIT_FOUND_FAULT if the logs hold no request,
 * or EXIT_USAGE.
 */
int command_losses(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_file *logs =
		arg_filen(NULL, "logs", "FILE", 1, 512,
			  "log of a VM, or '-' for stdin; may be repeated");
	struct arg_str *format =
		arg_str0(NULL, "format", "text|json|svg", "default: text");
	struct arg_lit *calibrate = arg_lit0(
		NULL, "calibration",
		"compare estimated failure risks of targets with outcomes");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, logs, format, calibrate, end };
	GPtrArray *lines = loglines_new();
	struct losses losses;
	int code = EXIT_SUCCESS;

	if (command_parse(argc, argv, table, "losses", &code)) {
		for (int i = 0; i < logs->count && !code; i++)
			if (loglines_read_file(lines, logs->filename[i],
					       "losses"))
				code = EXIT_USAGE;
		loglines_sort(lines);
		losses_count(&losses, lines);
		if (!code && !losses.rows->len) {
			fputs("losses: no request in the logs\n", stderr);
			code = EXIT_FOUND_FAULT;
		}
		if (!code && calibrate->count)
			print_calibration(lines);
		else if (!code)
			code = print_as(&losses, format->count ? format->sval[0]
							       : "text");
		losses_free(&losses);
	}
	g_ptr_array_free(lines, TRUE);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
