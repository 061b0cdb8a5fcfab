/*
 * Attributes each request that was not served to a cause, from the logs of all
 * VMs. The causes are distinguished by what could have been known when the
 * request's target was chosen.
 */
#include "losses.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* A target counts as known to be gray from this estimated probability on. */
#define KNOWN_GRAY_RISK 0.3
/* Time in seconds after which all VMs know of a failure: two iterations of the
 * event loop and one forwarded message. */
#define DETECTION_S 0.06
/* Failures at a target within this many seconds belong to one gray failure. */
#define GRAY_FAILURE_S 3.0

/* A failed request at a target. */
struct failure {
	double start_time;
	double end_time;
};

static const struct {
	const char *name; /* in output and JSON */
	const char *description;
} causes[LOSS_CAUSE_COUNT] = {
	[LOSS_TARGET_ERROR] = { "target-error",
				"an isolated error of a healthy target" },
	[LOSS_FIRST_AT_GRAY] = { "first-at-gray",
				 "the first failure at a gray target" },
	[LOSS_BEFORE_DETECTED] = { "before-known",
				   "sent before the first failure was known" },
	[LOSS_FLOOR] = { "floor", "sent to a suspect to keep the floor" },
	[LOSS_LAST_ATTEMPT] = { "second-attempt",
				"the last attempt, sent to a known suspect" },
	[LOSS_KNOWN_GRAY] = { "known-gray",
			      "at a known suspect; all others were full" },
	[LOSS_TIMEOUT] = { "time-over", "its deadline passed" },
	[LOSS_SHED] = { "shed", "targets rejected it without running it" },
	[LOSS_FATAL] = { "fatal", "it crashes the targets that run it" },
	[LOSS_REPEAT_BUDGET] = { "bound", "the repeat budget was used up" },
	[LOSS_NO_FREE_SLOT] = { "no-room",
				"no slot would have been free in time" },
	[LOSS_TARGET_LIMITS] = { "limited",
				 "all targets had announced limits" },
	[LOSS_BODY_TOO_LARGE] = { "bytes", "no target could hold its body" },
	[LOSS_UNREACHABLE] = { "path",
			       "no target could be reached from its VM" },
	[LOSS_NO_TARGETS] = { "no-list", "its VM had no list of targets" },
	[LOSS_LATE] = { "late", "served, but later than its target latency" },
};

const char *loss_cause_name(enum loss_cause cause)
{
	return causes[cause].name;
}

const char *loss_cause_description(enum loss_cause cause)
{
	return causes[cause].description;
}

static bool is_end_of_request(const struct logline *line)
{
	return !strcmp(logline_get(line, "event"), "request") &&
	       *logline_get(line, "service");
}

static bool has_reason(const struct logline *line, const char *why)
{
	return !strcmp(logline_get(line, "why"), why);
}

static double start_time(const struct logline *line)
{
	return line->time - logline_number(line, "took_ms") / 1000;
}

static bool has_failed(const struct logline *line)
{
	return logline_number(line, "status") >= 500;
}

/* Parses the last target and its risk from a list such as
 * "i-1:0.05:2,i-2:0.30:0". Returns false if the list is empty. */
static bool parse_last_tried(const struct logline *line, char *id, size_t size,
			     double *risk)
{
	const char *tried = logline_get(line, "tried");
	const char *last = strrchr(tried, ',');
	const char *colon;

	last = last ? last + 1 : tried;
	colon = strchr(last, ':');
	if (!colon)
		return false;
	g_strlcpy(id, last, MIN(size, (size_t)(colon - last) + 1));
	*risk = g_ascii_strtod(colon + 1, NULL);
	return true;
}

static void free_array(gpointer p)
{
	g_array_free(p, TRUE);
}

/* Maps each target's id to its failed requests, in the order in which they
 * ended. */
static GHashTable *collect_failures(const GPtrArray *lines)
{
	GHashTable *table = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, free_array);

	for (guint i = 0; i < lines->len; i++) {
		const struct logline *line = g_ptr_array_index(lines, i);
		struct failure f = { start_time(line), line->time };
		GArray *list;
		char id[64];
		double risk;

		if (!is_end_of_request(line) || !has_failed(line) ||
		    !parse_last_tried(line, id, sizeof(id), &risk))
			continue;
		list = g_hash_table_lookup(table, id);
		if (!list) {
			list = g_array_new(FALSE, FALSE, sizeof(f));
			g_hash_table_insert(table, g_strdup(id), list);
		}
		g_array_append_val(list, f);
	}
	return table;
}

/* The cause of a failure at a target that was not suspected to be gray, by the
 * other failures there at about the same time. */
static enum loss_cause unsuspected_target_cause(const struct logline *line,
						const GArray *failures)
{
	double start = start_time(line);
	bool later = false;

	for (guint i = 0; failures && i < failures->len; i++) {
		const struct failure *f =
			&g_array_index(failures, struct failure, i);

		if (f->end_time == line->time && f->start_time == start)
			continue;
		if (f->start_time <= start &&
		    f->end_time > start - DETECTION_S &&
		    f->end_time < start + GRAY_FAILURE_S)
			return LOSS_BEFORE_DETECTED;
		later |= f->start_time > start &&
			 f->start_time < start + GRAY_FAILURE_S;
	}
	if (later)
		return LOSS_FIRST_AT_GRAY;
	return has_reason(line, "timeout") ? LOSS_TIMEOUT : LOSS_TARGET_ERROR;
}

static enum loss_cause find_cause(const struct logline *line,
				  GHashTable *failures)
{
	char id[64];
	double risk;

	if (has_reason(line, "crashes-targets"))
		return LOSS_FATAL;
	if (has_reason(line, "no-target"))
		return LOSS_NO_TARGETS;
	if (has_reason(line, "too-late"))
		return LOSS_NO_FREE_SLOT;
	if (has_reason(line, "limited"))
		return LOSS_TARGET_LIMITS;
	if (has_reason(line, "body-too-large"))
		return LOSS_BODY_TOO_LARGE;
	if (logline_number(line, "bound") > 0)
		return LOSS_REPEAT_BUDGET;
	if (has_reason(line, "refused") || has_reason(line, "all-tried") ||
	    has_reason(line, "resting"))
		return LOSS_SHED;
	if (has_reason(line, "unreached"))
		return LOSS_UNREACHABLE;
	if (!parse_last_tried(line, id, sizeof(id), &risk))
		return LOSS_TIMEOUT;
	if (risk < KNOWN_GRAY_RISK)
		return unsuspected_target_cause(
			line, g_hash_table_lookup(failures, id));
	if (logline_number(line, "for_floor") > 0)
		return LOSS_FLOOR;
	return logline_number(line, "runs") > 1 ? LOSS_LAST_ATTEMPT
						: LOSS_KNOWN_GRAY;
}

static struct loss_row *find_or_add_row(struct losses *losses,
					const struct logline *line)
{
	const char *service = logline_get(line, "service");
	const char *kind = logline_get(line, "kind");
	struct loss_row row = { .requests = 0 };

	for (guint i = 0; i < losses->rows->len; i++) {
		struct loss_row *r =
			&g_array_index(losses->rows, struct loss_row, i);

		if (!strcmp(r->service, service) && !strcmp(r->kind, kind))
			return r;
	}
	g_strlcpy(row.service, service, sizeof(row.service));
	g_strlcpy(row.kind, kind, sizeof(row.kind));
	g_array_append_val(losses->rows, row);
	return &g_array_index(losses->rows, struct loss_row,
			      losses->rows->len - 1);
}

static struct loss_second *find_or_add_second(struct losses *losses, double at)
{
	guint s = at > losses->start ? (guint)(at - losses->start) : 0;

	if (s >= losses->seconds->len)
		g_array_set_size(losses->seconds, s + 1);
	return &g_array_index(losses->seconds, struct loss_second, s);
}

/* Counts the requests in the lines, which must be sorted by loglines_sort.
 * Release the result with losses_free. */
void losses_count(struct losses *losses, const GPtrArray *lines)
{
	GHashTable *failures = collect_failures(lines);

	losses->rows = g_array_new(FALSE, TRUE, sizeof(struct loss_row));
	losses->seconds = g_array_new(FALSE, TRUE, sizeof(struct loss_second));
	losses->start = 0;
	for (guint i = 0; i < lines->len; i++) {
		const struct logline *line = g_ptr_array_index(lines, i);
		double aim = logline_number(line, "aim_ms");
		enum loss_cause cause = LOSS_LATE;
		struct loss_second *second;
		struct loss_row *row;

		if (!is_end_of_request(line))
			continue;
		if (losses->start <= 0)
			losses->start = start_time(line);
		row = find_or_add_row(losses, line);
		second = find_or_add_second(losses, start_time(line));
		row->requests++;
		second->requests++;
		if (has_failed(line))
			cause = find_cause(line, failures);
		else if (aim <= 0 || logline_number(line, "took_ms") <= aim)
			continue;
		row->lost[cause]++;
		second->lost[cause]++;
	}
	g_hash_table_destroy(failures);
}

void losses_free(struct losses *losses)
{
	g_array_free(losses->rows, TRUE);
	g_array_free(losses->seconds, TRUE);
}

static unsigned count_not_served(const struct loss_row *row)
{
	unsigned n = 0;

	for (int c = 0; c < LOSS_LATE; c++)
		n += row->lost[c];
	return n;
}

/* Prints a table of causes for each service and kind of request. */
void losses_print(const struct losses *losses, FILE *out)
{
	for (guint i = 0; i < losses->rows->len; i++) {
		const struct loss_row *row =
			&g_array_index(losses->rows, struct loss_row, i);
		unsigned lost = count_not_served(row);

		fprintf(out, "%s, %s: %u requests, %u not served (%.2f%%)\n",
			row->service, row->kind, row->requests, lost,
			100.0 * lost / row->requests);
		for (int c = 0; c < LOSS_CAUSE_COUNT; c++)
			if (row->lost[c])
				fprintf(out, "  %6u  %5.2f%%  %-15s %s\n",
					row->lost[c],
					100.0 * row->lost[c] / row->requests,
					causes[c].name, causes[c].description);
	}
}

static json_t *counts_json(unsigned requests,
			   const unsigned lost[LOSS_CAUSE_COUNT])
{
	json_t *json = json_object();

	json_object_set_new(json, "asked", json_integer(requests));
	for (int c = 0; c < LOSS_CAUSE_COUNT; c++)
		if (lost[c])
			json_object_set_new(json, causes[c].name,
					    json_integer(lost[c]));
	return json;
}

/* Returns all counts, by service and kind and by second. */
json_t *losses_json(const struct losses *losses)
{
	json_t *rows = json_array();
	json_t *seconds = json_array();

	for (guint i = 0; i < losses->rows->len; i++) {
		const struct loss_row *row =
			&g_array_index(losses->rows, struct loss_row, i);
		json_t *json = counts_json(row->requests, row->lost);

		json_object_set_new(json, "service", json_string(row->service));
		json_object_set_new(json, "kind", json_string(row->kind));
		json_array_append_new(rows, json);
	}
	for (guint i = 0; i < losses->seconds->len; i++) {
		const struct loss_second *s =
			&g_array_index(losses->seconds, struct loss_second, i);

		json_array_append_new(seconds,
				      counts_json(s->requests, s->lost));
	}
	return json_pack("{s:o, s:o, s:f}", "kinds", rows, "seconds", seconds,
			 "first", losses->start);
}
