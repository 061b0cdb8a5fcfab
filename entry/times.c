/* Latency histograms of this VM, by service, kind, outcome and cause. */
#include "times.h"

#include <inttypes.h>
#include <string.h>

#include "entry.h"

#define NAME "toucanreel_entry_request_seconds"

static const char *const kind_words[] = {
	[TR_KIND_SAFE] = "safe",
	[TR_KIND_UNSAFE] = "unsafe",
	[TR_KIND_UPLOAD] = "upload",
};

/* How logs and metrics name a kind of request. */
const char *times_kind_name(enum tr_kind kind)
{
	return kind_words[kind];
}

/* What the end was for the caller. */
static const char *outcome_word(const struct times_row *row)
{
	if (!strcmp(row->why, "caller-gone"))
		return "gone";
	if (!strcmp(row->why, "answered"))
		return row->status_class == 5 ? "failed" : "answered";
	return row->status_class == 4 ? "rejected" : "unserved";
}

/* Count one request; what names its row, the histogram in it is not used. */
void times_add(struct entry *e, const struct times_row *what, apr_time_t took)
{
	struct times_row *row;

	if (!e->times)
		e->times = g_array_new(FALSE, FALSE, sizeof(struct times_row));
	for (guint i = 0; i < e->times->len; i++) {
		row = &g_array_index(e->times, struct times_row, i);
		if (row->service == what->service && row->kind == what->kind &&
		    row->status_class == what->status_class &&
		    row->why == what->why) {
			tr_histogram_add(&row->took, took);
			return;
		}
	}
	g_array_append_val(e->times, *what);
	row = &g_array_index(e->times, struct times_row, e->times->len - 1);
	memset(&row->took, 0, sizeof(row->took));
	tr_histogram_add(&row->took, took);
}

static void print_row(const struct entry *e, const struct times_row *row,
		      GString *text)
{
	g_autofree char *labels = g_strdup_printf(
		"service=\"%s\",kind=\"%s\",outcome=\"%s\",cause=\"%s\"",
		e->roster.services[row->service].name, kind_words[row->kind],
		outcome_word(row), row->why);
	uint64_t all = tr_histogram_cumulative(&row->took, TR_HISTOGRAM_BOUNDS);

	for (unsigned i = 0; i < TR_HISTOGRAM_BOUNDS; i++)
		g_string_append_printf(
			text, NAME "_bucket{%s,le=\"%g\"} %" PRIu64 "\n",
			labels, tr_histogram_bound(i),
			tr_histogram_cumulative(&row->took, i));
	g_string_append_printf(
		text,
		NAME "_bucket{%s,le=\"+Inf\"} %" PRIu64 "\n" NAME
		     "_sum{%s} %.6f\n" NAME "_count{%s} %" PRIu64 "\n",
		labels, all, labels, row->took.sum_s, labels, all);
}

/* Append all rows in the usual text form. */
void times_print(const struct entry *e, GString *text)
{
	g_string_append(text, "# TYPE " NAME " histogram\n");
	for (guint i = 0; e->times && i < e->times->len; i++)
		print_row(e, &g_array_index(e->times, struct times_row, i),
			  text);
}
