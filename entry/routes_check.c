/* The check of a configuration file before it is sent: reads files in the
 * platform's format and prints one finding a line. */
#include "routes_check.h"

#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "clock.h"
#include "dialect.h"
#include "error.h"
#include "route_check.h"

#define EXIT_FAULT 1
#define EXIT_USAGE 2
/* The window of organisations' limits by which operators measure. */
#define LIMIT_WINDOW TR_SEC(5)

struct output {
	const char *path;
	unsigned errors;
};

static void print_finding(void *ctx, const struct tr_finding *f)
{
	struct output *out = ctx;

	out->errors += f->severity == TR_SEVERITY_ERROR;
	printf("%s: %s: %s%s%s%s%s: %s\n", out->path,
	       tr_severity_name(f->severity), f->kind, *f->kind ? " " : "",
	       f->name, *f->name ? ": " : "", f->field, f->text);
}

/* Prints why the file is no valid configuration. */
static void print_refusal(const char *path, const struct tr_error *err)
{
	printf("%s: error: ", path);
	if (err->line)
		printf("line %d: ", err->line);
	if (*err->field)
		printf("%s: ", err->field);
	if (*err->value)
		printf("'%s': ", err->value);
	printf("%s\n", err->expected);
}

/* Reads a configuration. Returns EXIT_SUCCESS and sets *routes, or prints why
 * not and returns the exit status. */
static int read_routes(const struct dialect *dialect, const char *path,
		       struct tr_routes **routes)
{
	struct store_item item = { 0 };
	struct tr_error err = { 0 };
	g_autoptr(GError) why = NULL;

	if (!g_file_get_contents(path, &item.value, &item.value_len, &why)) {
		fprintf(stderr, "toucanreel-entry: %s\n", why->message);
		return EXIT_USAGE;
	}
	*routes = dialect->parse_routes(&item, &err);
	if (!*routes)
		print_refusal(path, &err);
	/* The text contains callers' keys. */
	sodium_memzero(item.value, item.value_len);
	g_free(item.value);
	return *routes ? EXIT_SUCCESS : EXIT_FAULT;
}

/*
 * Checks the configuration in a file and, unless in_force_path is NULL, reports
 * how it differs from the one in that file. Returns the exit status: 0 without
 * errors, 1 with errors, 2 if a file can't be read.
 */
int routes_check(const struct dialect *dialect, const char *path,
		 const char *in_force_path)
{
	struct output out = { .path = path };
	const struct tr_findings findings = { print_finding, &out };
	struct tr_routes *routes = NULL;
	struct tr_routes *in_force = NULL;
	int code = read_routes(dialect, path, &routes);

	if (!code)
		tr_routes_check(routes, LIMIT_WINDOW, &findings);
	if (code != EXIT_USAGE && in_force_path) {
		int status = read_routes(dialect, in_force_path, &in_force);

		code = status > code ? status : code;
	}
	if (routes && in_force)
		tr_routes_compare(routes, in_force, &findings);
	tr_routes_unref(routes);
	tr_routes_unref(in_force);
	return !code && out.errors ? EXIT_FAULT : code;
}
