/* The command line of toucanreel-load. */
#include <argtable2.h>
#include <glib.h>
#include <stdio.h>

#include "load.h"

static char **read_lines(const char *path, unsigned *count)
{
	char *text = NULL;
	char **lines;
	unsigned n = 0;

	if (!g_file_get_contents(path, &text, NULL, NULL)) {
		fprintf(stderr, "toucanreel-load: %s: cannot read the file\n",
			path);
		return NULL;
	}
	lines = g_strsplit(g_strstrip(text), "\n", -1);
	while (lines[n])
		n++;
	*count = n;
	g_free(text);
	return lines;
}

static double double_or(const struct arg_dbl *arg, double fallback)
{
	return arg->count ? arg->dval[0] : fallback;
}

static int int_or(const struct arg_int *arg, int fallback)
{
	return arg->count ? arg->ival[0] : fallback;
}

static const char *string_or(const struct arg_str *arg, const char *fallback)
{
	return arg->count ? arg->sval[0] : fallback;
}

/* Parses the command line into o. */
enum load_parse load_parse(struct load_options *o, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_str *service = arg_str1(NULL, "service", "NAME", "service");
	struct arg_file *entries = arg_file0(
		NULL, "entries", "FILE", "file with IP:PORT of a VM per line");
	struct arg_file *targets =
		arg_file0(NULL, "targets", "FILE",
			  "file with IP:PORT of a target per line");
	struct arg_dbl *rate = arg_dbl0(NULL, "rate", "N", "requests/s (100)");
	struct arg_dbl *seconds =
		arg_dbl0(NULL, "seconds", "S", "duration (10)");
	struct arg_dbl *never = arg_dbl0(
		NULL, "never", "SHARE", "share that must run at most once (0)");
	struct arg_dbl *must = arg_dbl0(NULL, "must", "SHARE",
					"share that must get through (0)");
	struct arg_str *read_path = arg_str0(NULL, "read-path", "PATH", "/");
	struct arg_str *once_path = arg_str0(NULL, "never-path", "PATH", "/");
	struct arg_str *required_path =
		arg_str0(NULL, "must-path", "PATH", "/");
	struct arg_str *centre = arg_str0(NULL, "data-centre", "NAME",
					  "data centre of the callers");
	struct arg_str *prefix =
		arg_str0(NULL, "prefix", "TEXT", "prefix of request ids (r)");
	struct arg_int *callers =
		arg_int0(NULL, "callers", "N", "number of callers (16)");
	struct arg_int *orgs = arg_int0(NULL, "organisations", "N",
					"number of organisations (0)");
	struct arg_int *retries =
		arg_int0(NULL, "retries", "N", "retries after not-run (0)");
	struct arg_lit *retry_immediately =
		arg_lit0(NULL, "impatient", "retry without delay");
	struct arg_lit *direct =
		arg_lit0(NULL, "direct", "send to the targets directly");
	struct arg_int *deadline =
		arg_int0(NULL, "deadline-ms", "MS", "deadline of each request");
	struct arg_int *body_size =
		arg_int0(NULL, "body", "BYTES", "size of a request body (200)");
	struct arg_int *response_padding =
		arg_int0(NULL, "pad", "BYTES", "padding of a response (0)");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "seed (1)");
	struct arg_file *report =
		arg_file0(NULL, "report", "FILE", "output file of the report");
	struct arg_file *series = arg_file0(NULL, "series", "FILE",
					    "output file of counts per 100 ms");
	struct arg_end *end = arg_end(16);
	void *table[] = { help,
			  service,
			  entries,
			  targets,
			  rate,
			  seconds,
			  never,
			  must,
			  read_path,
			  once_path,
			  required_path,
			  centre,
			  prefix,
			  callers,
			  orgs,
			  retries,
			  retry_immediately,
			  direct,
			  deadline,
			  body_size,
			  response_padding,
			  seed,
			  report,
			  series,
			  end };
	int errors = arg_parse(argc, argv, table);

	if (help->count) {
		printf("Usage: toucanreel-load");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		return LOAD_SHOWED_HELP;
	}
	if (errors) {
		arg_print_errors(stderr, end, "toucanreel-load");
		return LOAD_USAGE_ERROR;
	}
	*o = (struct load_options){
		.service = service->sval[0],
		.rate = double_or(rate, 100),
		.seconds = double_or(seconds, 10),
		.once_share = double_or(never, 0),
		.required_share = double_or(must, 0),
		.read_path = string_or(read_path, "/"),
		.once_path = string_or(once_path, "/"),
		.required_path = string_or(required_path, "/"),
		.data_centre = string_or(centre, NULL),
		.prefix = string_or(prefix, "r"),
		.callers = (unsigned)int_or(callers, 16),
		.organisations = (unsigned)int_or(orgs, 0),
		.retries = (unsigned)int_or(retries, 0),
		.retry_immediately = retry_immediately->count > 0,
		.direct = direct->count > 0,
		.deadline_ms = int_or(deadline, 0),
		.body_size = (size_t)int_or(body_size, 200),
		.response_padding = int_or(response_padding, 0),
		.seed = (uint64_t)int_or(seed, 1),
		.report = report->count ? report->filename[0] : NULL,
		.series = series->count ? series->filename[0] : NULL,
	};
	if (entries->count)
		o->entries =
			read_lines(entries->filename[0], &o->entries_count);
	if (targets->count)
		o->targets =
			read_lines(targets->filename[0], &o->targets_count);
	if ((!o->direct && !o->entries_count) ||
	    (o->direct && !o->targets_count)) {
		fprintf(stderr, "toucanreel-load: expected --entries FILE, or "
				"--direct with --targets FILE\n");
		return LOAD_USAGE_ERROR;
	}
	return LOAD_RUN;
}
