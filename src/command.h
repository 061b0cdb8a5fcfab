#ifndef COMMAND_H
#define COMMAND_H

#include <jansson.h>

/* The subcommands of toucanreel, each in a file cmd_NAME.c. */

struct command {
	const char *name;
	const char *summary; /* one line for --help */
	int (*run)(int argc, char **argv);
};

/* Exit codes beside EXIT_SUCCESS: the input has a fault or was not found, and
 * the command line is wrong or a file cannot be read. */
#define EXIT_FOUND_FAULT 1
#define EXIT_USAGE	 2

int command_explain(int argc, char **argv);
int command_losses(int argc, char **argv);
int command_check(int argc, char **argv);
int command_status(int argc, char **argv);
int command_lookup(int argc, char **argv);
int command_timeline(int argc, char **argv);
int command_capacity(int argc, char **argv);

int command_parse(int argc, char **argv, void **table, const char *name,
		  int *code);

/* timeline_svg.c */
char *timeline_svg(json_t *events);

#endif
