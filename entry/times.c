/*
 * Latency histograms of this VM by service, kind, outcome and cause, in the
 * text format of Prometheus.
 */
#include "times.h"

#include <inttypes.h>
#include <string.h>

#include "entry.h"

#define METRIC_NAME "toucanreel_entry_request_seconds"

static const char *const kind_names[] = {
	[TR_KIND_SAFE] = "safe",
	[TR_KIND_UNSAFE] = "unsafe",
	[TR_KIND_UPLOAD] = "upload",
};

/* Returns the name of a kind of request in logs and metrics. */
const char *times_kind_name(enum tr_kind kind)
{
	return kind_names[kind];
}

/* Returns the outcome from the caller's point of view. */
static const char *outcome_name(const struct times_row *row)
{
	if (!strcmp(row->why, "caller-gone"))
		return "gone";
	if (!strcmp(row->why, "answered"))
		return row->status_class == 5 ? "failed" : "answered";
	return row->status_class == 4 ? "rejected" : "unserved";
}

/*
 * Adds a request's latency to the histogram that key selects, and creates that
 * if needed. The histogram inside key is ignored.
 */
void times_add(struct entry *e, const struct times_row *key, apr_time_t took)
{
	struct times_row *row;

	if (!e->times)
		e->times = g_array_new(FALSE, FALSE, sizeof(struct times_row));
	for (guint i = 0; i < e->times->len; i++) {
		row = &g_array_index(e->times, struct times_row, i);
		if (row->service == key->service && row->kind == key->kind &&
		    row->status_class == key->status_class &&
		    row->why == key->why) {
			tr_histogram_add(&row->took, took);
			return;
		}
	}
	g_array_append_val(e->times, *key);
	row = &g_array_index(e->times, struct times_row, e->times->len - 1);
	memset(&row->took, 0, sizeof(row->took));
	tr_histogram_add(&row->took, took);
}

static void print_histogram(const struct entry *e, const struct times_row *row,
			    GString *text)
{
	g_autofree char *labels = g_strdup_printf(
		"service=\"%s\",kind=\"%s\",outcome=\"%s\",cause=\"%s\"",
		e->roster.services[row->service].name, kind_names[row->kind],
		outcome_name(row), row->why);
	uint64_t total =
		tr_histogram_cumulative(&row->took, TR_HISTOGRAM_BOUNDS);

	for (unsigned i = 0; i < TR_HISTOGRAM_BOUNDS; i++)
		g_string_append_printf(
			text, METRIC_NAME "_bucket{%s,le=\"%g\"} %" PRIu64 "\n",
			labels, tr_histogram_bound(i),
			tr_histogram_cumulative(&row->took, i));
	g_string_append_printf(
		text,
		METRIC_NAME "_bucket{%s,le=\"+Inf\"} %" PRIu64 "\n" METRIC_NAME
			    "_sum{%s} %.6f\n" METRIC_NAME "_count{%s} %" PRIu64
			    "\n",
		labels, total, labels, row->took.sum_s, labels, total);
}

/* Appends all histograms to text. */
void times_print(const struct entry *e, GString *text)
{
	g_string_append(text, "# TYPE " METRIC_NAME " histogram\n");
	for (guint i = 0; e->times && i < e->times->len; i++)
		print_histogram(
			e, &g_array_index(e->times, struct times_row, i), text);
}
