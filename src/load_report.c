/* The report of a run, checked against the targets' ledgers. */
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cleanup.h"
#include "client.h"
#include "gather.h"
#include "load.h"

#define SERIES_BIN_US 100000

/* The results that callers were given, compared with the targets' ledgers. */
struct ledger_check {
	unsigned long doubled; /* must run at most once, but ran more often */
	unsigned long not_run_but_ran;	    /* reported as not run, but ran */
	unsigned long answered_but_not_run; /* answered, but never ran */
	unsigned long unknown_ran;	    /* reported as unknown, and ran */
};

/* Sums up how often each request ran from the ledgers of all targets. */
static GHashTable *count_runs(struct load *load, unsigned *ledgers)
{
	const struct load_options *o = &load->options;
	GHashTable *runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	char **urls = g_new0(char *, o->targets_count + 1);
	auto_json json_t *answers = NULL;
	size_t i;
	json_t *root;

	for (unsigned t = 0; t < o->targets_count; t++)
		urls[t] = g_strdup_printf("http://%s/_ledger", o->targets[t]);
	answers = gather_json(load->standin.loop, load->client,
			      (const char *const *)urls, o->targets_count);
	g_strfreev(urls);
	json_array_foreach(answers, i, root)
	{
		const char *id;
		json_t *entry;

		json_object_foreach(json_object_get(root, "ledger"), id, entry)
		{
			unsigned before =
				GPOINTER_TO_UINT(g_hash_table_lookup(runs, id));
			unsigned added = (unsigned)json_integer_value(
				json_object_get(entry, "runs"));

			g_hash_table_replace(runs, g_strdup(id),
					     GUINT_TO_POINTER(before + added));
		}
	}
	*ledgers = (unsigned)json_array_size(answers);
	return runs;
}

static void check_ledgers(const struct load *load, GHashTable *runs,
			  struct ledger_check *check)
{
	for (size_t i = 0; i < load->ops_count; i++) {
		const struct op *op = load->ops[i];
		unsigned n =
			GPOINTER_TO_UINT(g_hash_table_lookup(runs, op->id));

		if (op->once && n > 1)
			check->doubled++;
		if (op->result == OP_NOT_RUN && !op->maybe_executed && n > 0)
			check->not_run_but_ran++;
		if (op->result == OP_ANSWERED && n == 0)
			check->answered_but_not_run++;
		if (op->result == OP_UNKNOWN && n > 0)
			check->unknown_ran++;
	}
}

static int compare_durations(const void *a, const void *b)
{
	const apr_time_t *x = a;
	const apr_time_t *y = b;

	return (*x > *y) - (*x < *y);
}

static double quantile_ms(const apr_time_t *sorted, size_t n, double q)
{
	size_t at = (size_t)((double)n * q);

	if (!n)
		return 0;
	return (double)sorted[at < n ? at : n - 1] / 1000.0;
}

static json_t *latency_quantiles(const struct load *load)
{
	apr_time_t *times = calloc(load->ops_count + 1, sizeof(*times));
	size_t n = 0;
	json_t *json;

	for (size_t i = 0; i < load->ops_count; i++) {
		const struct op *op = load->ops[i];

		if (op->result == OP_ANSWERED)
			times[n++] = op->ended_at - op->scheduled_at;
	}
	qsort(times, n, sizeof(*times), compare_durations);
	json = json_pack(
		"{s:f, s:f, s:f, s:f, s:f}", "p50", quantile_ms(times, n, 0.5),
		"p90", quantile_ms(times, n, 0.9), "p99",
		quantile_ms(times, n, 0.99), "p999",
		quantile_ms(times, n, 0.999), "max", quantile_ms(times, n, 1));
	free(times);
	return json;
}

static json_t *count_codes(const struct load *load)
{
	json_t *json = json_object();
	char name[64];

	for (size_t i = 0; i < load->ops_count; i++) {
		const struct op *op = load->ops[i];

		snprintf(name, sizeof(name), "%d %s", op->code,
			 op->code ? tr_result_name((enum tr_result)op->code)
				  : "no-answer");
		json_object_set_new(
			json, name,
			json_integer(json_integer_value(
					     json_object_get(json, name)) +
				     1));
	}
	return json;
}

static json_t *count_results(const struct load *load, bool once, bool required)
{
	unsigned long count[OP_FAILED + 1] = { 0 };
	unsigned long all = 0;

	for (size_t i = 0; i < load->ops_count; i++) {
		const struct op *op = load->ops[i];

		if (op->once != once || op->required != required)
			continue;
		count[op->result]++;
		all++;
	}
	return json_pack("{s:I, s:I, s:I, s:I, s:I}", "sent", (json_int_t)all,
			 "answered", (json_int_t)count[OP_ANSWERED], "not_run",
			 (json_int_t)count[OP_NOT_RUN], "unknown",
			 (json_int_t)count[OP_UNKNOWN], "no_answer",
			 (json_int_t)count[OP_FAILED] +
				 (json_int_t)count[OP_PENDING]);
}

static unsigned long count_flag(const struct load *load, bool truncated)
{
	unsigned long n = 0;

	for (size_t i = 0; i < load->ops_count; i++)
		n += truncated ? load->ops[i]->truncated
			       : load->ops[i]->misdelivered;
	return n;
}

/* Writes a line per 100 ms: the time, and how many of the requests scheduled
 * then were sent, answered and not answered. */
static void write_series(const struct load *load)
{
	size_t bins = (size_t)(load->options.seconds * 10) + 1;
	unsigned *sent = calloc(bins * 3, sizeof(*sent));
	FILE *f = fopen(load->options.series, "w");

	for (size_t i = 0; i < load->ops_count; i++) {
		const struct op *op = load->ops[i];
		size_t bin = (size_t)((op->scheduled_at - load->started_at) /
				      SERIES_BIN_US);

		if (bin >= bins)
			continue;
		sent[bin * 3]++;
		sent[bin * 3 + 1] += op->result == OP_ANSWERED;
		sent[bin * 3 + 2] += op->result != OP_ANSWERED;
	}
	for (size_t b = 0; f && b < bins; b++)
		fprintf(f, "%.1f %u %u %u\n", (double)b / 10, sent[b * 3],
			sent[b * 3 + 1], sent[b * 3 + 2]);
	if (f)
		fclose(f);
	free(sent);
}

/* Checks the run against the ledgers and writes the report. Returns 0, or -1 if
 * the report could not be written. */
int load_report(struct load *load)
{
	const struct load_options *o = &load->options;
	struct ledger_check check = { 0 };
	unsigned ledgers = 0;
	GHashTable *runs = count_runs(load, &ledgers);
	json_t *json;
	int res = -1;

	check_ledgers(load, runs, &check);
	g_hash_table_destroy(runs);
	json = json_pack(
		"{s:s, s:f, s:f, s:I, s:o, s:o, s:o, s:o, s:o, s:I, s:I, s:I, "
		"s:I, s:I, s:I, s:i, s:i}",
		"service", o->service, "rate", o->rate, "seconds", o->seconds,
		"sent", (json_int_t)load->ops_count, "reads",
		count_results(load, false, false), "never",
		count_results(load, true, false), "must",
		count_results(load, false, true), "latency_ms",
		latency_quantiles(load), "codes", count_codes(load), "doubled",
		(json_int_t)check.doubled, "not_run_lies",
		(json_int_t)check.not_run_but_ran, "answered_not_run",
		(json_int_t)check.answered_but_not_run, "unknown_ran",
		(json_int_t)check.unknown_ran, "misdelivered",
		(json_int_t)count_flag(load, false), "cut_as_whole",
		(json_int_t)count_flag(load, true), "ledgers", (int)ledgers,
		"targets", (int)o->targets_count);
	if (o->series)
		write_series(load);
	if (o->report)
		res = json_dump_file(json, o->report, JSON_INDENT(1));
	else
		res = json_dumpf(json, stdout, JSON_INDENT(1));
	json_decref(json);
	return res;
}
