/* The operators' command: looks up the subcommand and runs it. */
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "command.h"
#include "version.h"

static const struct command commands[] = {
	{ "check", "validate a team's document, as the daemon does",
	  command_check },
	{ "status", "show the state of all VMs", command_status },
	{ "lookup", "look up the addresses that serve a service",
	  command_lookup },
	{ "timeline", "show the events of all processes in causal order",
	  command_timeline },
	{ "explain", "explain a request's result from the logs of all VMs",
	  command_explain },
	{ "losses", "count lost requests by cause, from the logs of all VMs",
	  command_losses },
	{ "capacity", "estimate what a fleet of a given size costs",
	  command_capacity },
};

#define COMMANDS (sizeof(commands) / sizeof(commands[0]))

static void usage(FILE *out)
{
	fprintf(out, "Usage: toucanreel COMMAND [OPTION...]\n\n");
	for (size_t i = 0; i < COMMANDS; i++)
		fprintf(out, "  %-10s %s\n", commands[i].name,
			commands[i].summary);
	fprintf(out, "\nMore help: 'toucanreel COMMAND --help'\n");
}

/*
 * Parses a subcommand's options. Returns 1 if the command should continue, or 0
 * with the exit code in *code. table[0] must be the help option and the last
 * entry the arg_end.
 */
int command_parse(int argc, char **argv, void **table, const char *name,
		  int *code)
{
	struct arg_lit *help = table[0];
	struct arg_end *end = NULL;
	int errors = arg_parse(argc, argv, table);
	int last = 0;

	while (!(((struct arg_hdr *)table[last])->flag & ARG_TERMINATOR))
		last++;
	end = table[last];
	if (help->count) {
		printf("Usage: toucanreel %s", name);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-26s %s\n");
		*code = EXIT_SUCCESS;
		return 0;
	}
	if (errors) {
		arg_print_errors(stderr, end, name);
		*code = EXIT_USAGE;
		return 0;
	}
	return 1;
}

int main(int argc, char **argv)
{
	if (argc >= 2 && !strcmp(argv[1], "--version")) {
		printf("toucanreel %s\n", TOUCANREEL_VERSION);
		return EXIT_SUCCESS;
	}
	if (argc >= 2 &&
	    (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h"))) {
		usage(stdout);
		return EXIT_SUCCESS;
	}
	for (size_t i = 0; argc >= 2 && i < COMMANDS; i++)
		if (!strcmp(argv[1], commands[i].name))
			return commands[i].run(argc - 1, argv + 1);
	if (argc >= 2)
		fprintf(stderr, "toucanreel: unknown command '%s'\n", argv[1]);
	usage(stderr);
	return EXIT_USAGE;
}
