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
		fprintf(stderr,
			"toucanreel-load: %s: expected a readable "
			"file\n",
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

static double number(const struct arg_dbl *arg, double otherwise)
{
	return arg->count ? arg->dval[0] : otherwise;
}

static int integer(const struct arg_int *arg, int otherwise)
{
	return arg->count ? arg->ival[0] : otherwise;
}

static const char *word(const struct arg_str *arg, const char *otherwise)
{
	return arg->count ? arg->sval[0] : otherwise;
}

/* Read the command line; see load.h for what it returns. */
enum load_parse load_parse(struct load_options *o, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "say how to use it");
	struct arg_str *service = arg_str1(NULL, "service", "NAME", "service");
	struct arg_file *entries = arg_file0(NULL, "entries", "FILE",
					     "IP:PORT of the VMs, a line each");
	struct arg_file *targets =
		arg_file0(NULL, "targets", "FILE", "IP:PORT of the targets");
	struct arg_dbl *rate = arg_dbl0(NULL, "rate", "N", "requests/s (100)");
	struct arg_dbl *seconds = arg_dbl0(NULL, "seconds", "S", "time (10)");
	struct arg_dbl *never = arg_dbl0(NULL, "never", "SHARE",
					 "share that must not repeat (0)");
	struct arg_dbl *must = arg_dbl0(NULL, "must", "SHARE",
					"share that must get through (0)");
	struct arg_str *read_path = arg_str0(NULL, "read-path", "PATH", "/");
	struct arg_str *never_path = arg_str0(NULL, "never-path", "PATH", "/");
	struct arg_str *must_path = arg_str0(NULL, "must-path", "PATH", "/");
	struct arg_str *centre = arg_str0(NULL, "data-centre", "NAME",
					  "data centre of the callers");
	struct arg_str *prefix =
		arg_str0(NULL, "prefix", "TEXT", "start of request ids (r)");
	struct arg_int *callers =
		arg_int0(NULL, "callers", "N", "callers (16)");
	struct arg_int *orgs =
		arg_int0(NULL, "organisations", "N", "organisations (0)");
	struct arg_int *retries =
		arg_int0(NULL, "retries", "N", "tries after not-run (0)");
	struct arg_lit *impatient =
		arg_lit0(NULL, "impatient", "try again at once");
	struct arg_lit *direct =
		arg_lit0(NULL, "direct", "go to the targets themselves");
	struct arg_int *deadline =
		arg_int0(NULL, "deadline-ms", "MS", "deadline to ask for");
	struct arg_int *body =
		arg_int0(NULL, "body", "BYTES", "bytes of a body (200)");
	struct arg_int *pad =
		arg_int0(NULL, "pad", "BYTES", "bytes of an answer (0)");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "seed (1)");
	struct arg_file *report =
		arg_file0(NULL, "report", "FILE", "where the report goes");
	struct arg_file *series =
		arg_file0(NULL, "series", "FILE", "counts per 100 ms");
	struct arg_end *end = arg_end(16);
	void *table[] = { help,	     service,	entries, targets,   rate,
			  seconds,   never,	must,	 read_path, never_path,
			  must_path, centre,	prefix,	 callers,   orgs,
			  retries,   impatient, direct,	 deadline,  body,
			  pad,	     seed,	report,	 series,    end };
	int errors = arg_parse(argc, argv, table);

	if (help->count) {
		printf("Usage: toucanreel-load");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		return LOAD_HELPED;
	}
	if (errors) {
		arg_print_errors(stderr, end, "toucanreel-load");
		return LOAD_REFUSED;
	}
	*o = (struct load_options){
		.service = service->sval[0],
		.rate = number(rate, 100),
		.seconds = number(seconds, 10),
		.never_share = number(never, 0),
		.must_share = number(must, 0),
		.read_path = word(read_path, "/"),
		.never_path = word(never_path, "/"),
		.must_path = word(must_path, "/"),
		.data_centre = word(centre, NULL),
		.prefix = word(prefix, "r"),
		.callers = (unsigned)integer(callers, 16),
		.organisations = (unsigned)integer(orgs, 0),
		.retries = (unsigned)integer(retries, 0),
		.impatient = impatient->count > 0,
		.direct = direct->count > 0,
		.deadline_ms = integer(deadline, 0),
		.body = (size_t)integer(body, 200),
		.pad = integer(pad, 0),
		.seed = (uint64_t)integer(seed, 1),
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
		return LOAD_REFUSED;
	}
	return LOAD_GO;
}
