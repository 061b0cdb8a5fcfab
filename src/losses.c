/*
 * Where requests are lost, by the logs of all VMs: each one that was not served
 * is put down to what could have been known when its target was chosen.
 */
#include "losses.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* From this chance on a target was known to be gray when it was chosen. */
#define KNOWN_RISK 0.3
/* How long news of a failure takes to all VMs, in seconds: two turns of the
 * loop and a message that is handed on. */
#define NEWS_S 0.06
/* Failures at a target that are so far apart belong to one gray spell. */
#define SPELL_S 3.0

struct failure {
	double began;
	double ended;
};

static const struct {
	const char *word;
	const char *text;
} causes[LOSS_CAUSES] = {
	[LOSS_TARGET_ERROR] = { "target-error",
				"an error of the target's own, while well" },
	[LOSS_FIRST_AT_GRAY] = { "first-at-gray",
				 "the first at a target that had turned gray" },
	[LOSS_BEFORE_KNOWN] = { "before-known",
				"sent before the first failure was known" },
	[LOSS_FLOOR] = { "floor",
			 "at a suspect that the floor asked a request for" },
	[LOSS_SECOND_ATTEMPT] = { "second-attempt",
				  "the last attempt, at a known suspect" },
	[LOSS_KNOWN_GRAY] = { "known-gray",
			      "at a known suspect, with no better room" },
	[LOSS_TIME_OVER] = { "time-over", "its time was over" },
	[LOSS_SHED] = { "shed", "targets rejected it without running it" },
	[LOSS_FATAL] = { "fatal", "it crashes the targets that run it" },
	[LOSS_BOUND] = { "bound", "the bound on repeats was reached" },
	[LOSS_NO_ROOM] = { "no-room", "no slot would have been free in time" },
	[LOSS_LIMITED] = { "limited", "all targets had named limits" },
	[LOSS_PATH] = { "path", "no target could be reached from its VM" },
	[LOSS_NO_LIST] = { "no-list", "its VM knew no targets" },
	[LOSS_LATE] = { "late", "served, beyond its aim" },
};

const char *loss_cause_word(enum loss_cause cause)
{
	return causes[cause].word;
}

const char *loss_cause_text(enum loss_cause cause)
{
	return causes[cause].text;
}

static bool is_end_of_request(const struct logline *line)
{
	return !strcmp(logline_get(line, "event"), "request") &&
	       *logline_get(line, "service");
}

static bool is_why(const struct logline *line, const char *why)
{
	return !strcmp(logline_get(line, "why"), why);
}

static double began(const struct logline *line)
{
	return line->time - logline_number(line, "took_ms") / 1000;
}

static bool has_failed(const struct logline *line)
{
	return logline_number(line, "status") >= 500;
}

/* "i-1:0.05:2,i-2:0.30:0": the last target and its risk; false without one. */
static bool last_tried(const struct logline *line, char *id, size_t size,
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

/* The failures at each target, in the order in which they ended. */
static GHashTable *failures_by_target(const GPtrArray *lines)
{
	GHashTable *table = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, free_array);

	for (guint i = 0; i < lines->len; i++) {
		const struct logline *line = g_ptr_array_index(lines, i);
		struct failure f = { began(line), line->time };
		GArray *list;
		char id[64];
		double risk;

		if (!is_end_of_request(line) || !has_failed(line) ||
		    !last_tried(line, id, sizeof(id), &risk))
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

/* Of one at a target that was held to be well: what others failed there? */
static enum loss_cause cause_at_well(const struct logline *line,
				     const GArray *failures)
{
	double start = began(line);
	bool later = false;

	for (guint i = 0; failures && i < failures->len; i++) {
		const struct failure *f =
			&g_array_index(failures, struct failure, i);

		if (f->ended == line->time && f->began == start)
			continue;
		if (f->began <= start && f->ended > start - NEWS_S &&
		    f->ended < start + SPELL_S)
			return LOSS_BEFORE_KNOWN;
		later |= f->began > start && f->began < start + SPELL_S;
	}
	if (later)
		return LOSS_FIRST_AT_GRAY;
	return is_why(line, "timeout") ? LOSS_TIME_OVER : LOSS_TARGET_ERROR;
}

static enum loss_cause cause_of(const struct logline *line,
				GHashTable *failures)
{
	char id[64];
	double risk;

	if (is_why(line, "crashes-targets"))
		return LOSS_FATAL;
	if (is_why(line, "no-target"))
		return LOSS_NO_LIST;
	if (is_why(line, "too-late"))
		return LOSS_NO_ROOM;
	if (is_why(line, "limited"))
		return LOSS_LIMITED;
	if (logline_number(line, "bound") > 0)
		return LOSS_BOUND;
	if (is_why(line, "refused") || is_why(line, "all-tried") ||
	    is_why(line, "resting"))
		return LOSS_SHED;
	if (is_why(line, "unreached"))
		return LOSS_PATH;
	if (!last_tried(line, id, sizeof(id), &risk))
		return LOSS_TIME_OVER;
	if (risk < KNOWN_RISK)
		return cause_at_well(line, g_hash_table_lookup(failures, id));
	if (logline_number(line, "for_floor") > 0)
		return LOSS_FLOOR;
	return logline_number(line, "runs") > 1 ? LOSS_SECOND_ATTEMPT
						: LOSS_KNOWN_GRAY;
}

static struct loss_row *row_of(struct losses *losses,
			       const struct logline *line)
{
	const char *service = logline_get(line, "service");
	const char *kind = logline_get(line, "kind");
	struct loss_row row = { .asked = 0 };

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

static struct loss_second *second_of(struct losses *losses, double at)
{
	guint s = at > losses->first ? (guint)(at - losses->first) : 0;

	if (s >= losses->seconds->len)
		g_array_set_size(losses->seconds, s + 1);
	return &g_array_index(losses->seconds, struct loss_second, s);
}

/* Count what the lines tell; they have to be in order. For losses_free. */
void losses_count(struct losses *losses, const GPtrArray *lines)
{
	GHashTable *failures = failures_by_target(lines);

	losses->rows = g_array_new(FALSE, TRUE, sizeof(struct loss_row));
	losses->seconds = g_array_new(FALSE, TRUE, sizeof(struct loss_second));
	losses->first = 0;
	for (guint i = 0; i < lines->len; i++) {
		const struct logline *line = g_ptr_array_index(lines, i);
		double aim = logline_number(line, "aim_ms");
		enum loss_cause cause = LOSS_LATE;
		struct loss_second *second;
		struct loss_row *row;

		if (!is_end_of_request(line))
			continue;
		if (losses->first <= 0)
			losses->first = began(line);
		row = row_of(losses, line);
		second = second_of(losses, began(line));
		row->asked++;
		second->asked++;
		if (has_failed(line))
			cause = cause_of(line, failures);
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

static unsigned lost_in(const struct loss_row *row)
{
	unsigned n = 0;

	for (int c = 0; c < LOSS_LATE; c++)
		n += row->lost[c];
	return n;
}

/* A table a kind of request, its causes by size. */
void losses_print(const struct losses *losses, FILE *out)
{
	for (guint i = 0; i < losses->rows->len; i++) {
		const struct loss_row *row =
			&g_array_index(losses->rows, struct loss_row, i);
		unsigned lost = lost_in(row);

		fprintf(out, "%s, %s: %u asked, %u not served (%.2f%%)\n",
			row->service, row->kind, row->asked, lost,
			100.0 * lost / row->asked);
		for (int c = 0; c < LOSS_CAUSES; c++)
			if (row->lost[c])
				fprintf(out, "  %6u  %5.2f%%  %-15s %s\n",
					row->lost[c],
					100.0 * row->lost[c] / row->asked,
					causes[c].word, causes[c].text);
	}
}

static json_t *counts_json(unsigned asked, const unsigned lost[LOSS_CAUSES])
{
	json_t *json = json_object();

	json_object_set_new(json, "asked", json_integer(asked));
	for (int c = 0; c < LOSS_CAUSES; c++)
		if (lost[c])
			json_object_set_new(json, causes[c].word,
					    json_integer(lost[c]));
	return json;
}

/* All counts, by service and kind, and by second. */
json_t *losses_json(const struct losses *losses)
{
	json_t *rows = json_array();
	json_t *seconds = json_array();

	for (guint i = 0; i < losses->rows->len; i++) {
		const struct loss_row *row =
			&g_array_index(losses->rows, struct loss_row, i);
		json_t *json = counts_json(row->asked, row->lost);

		json_object_set_new(json, "service", json_string(row->service));
		json_object_set_new(json, "kind", json_string(row->kind));
		json_array_append_new(rows, json);
	}
	for (guint i = 0; i < losses->seconds->len; i++) {
		const struct loss_second *s =
			&g_array_index(losses->seconds, struct loss_second, i);

		json_array_append_new(seconds, counts_json(s->asked, s->lost));
	}
	return json_pack("{s:o, s:o, s:f}", "kinds", rows, "seconds", seconds,
			 "first", losses->first);
}
