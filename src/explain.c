/*
 * From a request's id to its cause, by the logs of all VMs: what the VM that
 * took it knew, and what others saw of the same target at the same time.
 */
#include "explain.h"

#include <stdlib.h>
#include <string.h>

/* How far before the request's start and behind its end other VMs' outcomes at
 * its targets are looked at, in seconds: a gray spell lasts some seconds, and
 * one that hangs shows only after as long as a request may take. */
#define SPAN_S 3.0
/* What happened to the VM itself counts from so long before the start. */
#define DISTURBED_S 2.0
/* A list that is older than this is no current one: readers vouch for it twice
 * a second. */
#define OLD_VIEW_MS 2000
/* A request that ran out of time before so many times the usual had passed
 * tells nothing of its target. */
#define LONG_TIMES 2.0
/* Time in which a new configuration is to be known to all VMs. */
#define ROUTES_S 2.0

static bool is_event(const struct logline *line, const char *event)
{
	return !strcmp(logline_get(line, "event"), event);
}

static bool is_at_vm(const struct logline *line, const struct logline *other)
{
	return !strcmp(logline_get(line, "vm"), logline_get(other, "vm"));
}

static double began(const struct logline *end)
{
	return end->at - logline_number(end, "took_ms") / 1000;
}

static bool has_failed(const struct logline *line)
{
	return logline_number(line, "status") >= 500;
}

/* "i-1:0.05:2,i-2:0.30:0": the targets tried, their risk, what was there. */
static void read_tried(struct explain_story *story)
{
	g_auto(GStrv) parts =
		g_strsplit(logline_get(story->end, "tried"), ",", -1);

	for (char **p = parts;
	     *p && **p && story->tried_count < G_N_ELEMENTS(story->tried);
	     p++) {
		struct explain_target *t = &story->tried[story->tried_count++];
		g_auto(GStrv) words = g_strsplit(*p, ":", -1);
		guint n = g_strv_length(words);

		g_strlcpy(t->id, words[0], sizeof(t->id));
		t->risk = n > 1 ? g_ascii_strtod(words[1], NULL) : 0;
		t->there = n > 2 ? (unsigned)atoi(words[2]) : 0;
	}
}

/* Was the target the last one that the line's request was sent to? Of those
 * before it the line does not say how they ended. */
static bool ended_at(const struct logline *line, const char *target)
{
	const char *tried = logline_get(line, "tried");
	const char *last = strrchr(tried, ',');
	size_t len = strlen(target);

	last = last ? last + 1 : tried;
	return !strncmp(last, target, len) && last[len] == ':';
}

static void look_at_target(const GPtrArray *lines,
			   const struct explain_story *story,
			   struct explain_target *t)
{
	GHashTable *vms = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < lines->len; i++) {
		const struct logline *line = g_ptr_array_index(lines, i);

		if (line == story->end || !is_event(line, "request") ||
		    !ended_at(line, t->id) ||
		    line->at < began(story->end) - SPAN_S ||
		    began(line) > story->end->at + SPAN_S)
			continue;
		if (!has_failed(line)) {
			t->answered++;
			continue;
		}
		t->failed++;
		g_hash_table_add(vms, (gpointer)logline_get(line, "vm"));
	}
	t->vms_failed = g_hash_table_size(vms);
	g_hash_table_destroy(vms);
}

/* Which configuration the VM had, and whether others had a newer one well
 * before the request came. */
static void look_at_routes(const GPtrArray *lines, struct explain_story *story)
{
	double version = logline_number(story->end, "version");
	double start = began(story->end);

	for (guint i = 0; i < lines->len; i++) {
		const struct logline *line = g_ptr_array_index(lines, i);
		double v = logline_number(line, "version");

		if (!is_event(line, "routes") || line->at > start)
			continue;
		if (is_at_vm(line, story->end) && v == version)
			story->routes = line;
		if (v > version && !story->newest_version)
			story->newer_routes_elsewhere = start - line->at;
		if (v > story->newest_version && v > version)
			story->newest_version = (unsigned)v;
	}
}

static void look_at_vm(const GPtrArray *lines, struct explain_story *story)
{
	static const char *const events[] = { "paused", "start", "stop",
					      "store-lost", "history-lost" };

	for (guint i = 0; i < lines->len; i++) {
		const struct logline *line = g_ptr_array_index(lines, i);

		if (!is_at_vm(line, story->end) ||
		    line->at < began(story->end) - DISTURBED_S ||
		    line->at > story->end->at)
			continue;
		for (size_t k = 0; k < G_N_ELEMENTS(events); k++)
			if (is_event(line, events[k]))
				story->disturbance = line;
	}
}

/* The first line by which the request is refused for the targets that ended
 * under it, at any VM. */
static void look_at_identity(const GPtrArray *lines,
			     struct explain_story *story)
{
	const char *identity = logline_get(story->end, "identity");

	for (guint i = 0; i < lines->len && *identity && !story->fatal; i++) {
		const struct logline *line = g_ptr_array_index(lines, i);

		if (is_event(line, "fatal-request") &&
		    !strcmp(logline_get(line, "state"), "refused") &&
		    !strcmp(logline_get(line, "identity"), identity))
			story->fatal = line;
	}
}

static bool is_why(const struct explain_story *story, const char *why)
{
	return !strcmp(logline_get(story->end, "why"), why);
}

static enum explain_cause cause_at_target(const struct explain_story *story)
{
	const struct explain_target *t = &story->tried[story->tried_count - 1];

	if (t->vms_failed > 1 || t->failed > t->answered)
		return EXPLAIN_TARGET_SICK;
	if (is_why(story, "unreached") && t->answered)
		return EXPLAIN_PATH;
	if (is_why(story, "timeout") &&
	    logline_number(story->end, "took_ms") <
		    LONG_TIMES * logline_number(story->end, "usual_ms"))
		return EXPLAIN_SHORT_TIME;
	return EXPLAIN_TARGET_ONCE;
}

/* Refused for its key or its organisation, before it had a target. */
static enum explain_cause cause_at_key(const struct explain_story *story)
{
	if (is_why(story, "over-limit"))
		return EXPLAIN_OVER_LIMIT;
	if (is_why(story, "unproven"))
		return EXPLAIN_UNPROVEN;
	return is_why(story, "unknown-key") ? EXPLAIN_UNKNOWN_KEY
					    : EXPLAIN_UNKNOWN;
}

static enum explain_cause cause_of(const struct explain_story *story)
{
	double status = logline_number(story->end, "status");
	enum explain_cause at_key = cause_at_key(story);

	if (at_key != EXPLAIN_UNKNOWN)
		return at_key;

	if (is_why(story, "crashes-targets"))
		return EXPLAIN_FATAL_REFUSED;
	if (is_why(story, "broken") && story->fatal)
		return EXPLAIN_FATAL;
	if (status == 499)
		return EXPLAIN_CALLER_LEFT;
	if (status == 404)
		return story->newest_version ? EXPLAIN_OLD_ROUTES
					     : EXPLAIN_NO_ROUTE;
	if (story->newest_version && story->newer_routes_elsewhere > ROUTES_S)
		return EXPLAIN_OLD_ROUTES;
	if (status < 400)
		return EXPLAIN_SERVED;
	if (is_why(story, "no-target") ||
	    logline_number(story->end, "view_age_ms") > OLD_VIEW_MS)
		return EXPLAIN_NO_LIST;
	if (is_why(story, "too-late"))
		return EXPLAIN_NO_ROOM;
	if (is_why(story, "limited"))
		return EXPLAIN_LIMITED;
	if (is_why(story, "refused") || is_why(story, "all-tried") ||
	    is_why(story, "resting"))
		return EXPLAIN_SHED;
	if (story->disturbance && is_event(story->disturbance, "paused"))
		return EXPLAIN_VM;
	if (story->tried_count)
		return cause_at_target(story);
	return EXPLAIN_UNKNOWN;
}

/* Fill in the story of the request. False when no line has its id. */
bool explain(const GPtrArray *lines, const char *id,
	     struct explain_story *story)
{
	memset(story, 0, sizeof(*story));
	for (guint i = 0; i < lines->len; i++) {
		const struct logline *line = g_ptr_array_index(lines, i);

		if (is_event(line, "request") &&
		    !strcmp(logline_get(line, "id"), id))
			story->end = line;
	}
	if (!story->end)
		return false;
	read_tried(story);
	for (unsigned i = 0; i < story->tried_count; i++)
		look_at_target(lines, story, &story->tried[i]);
	look_at_routes(lines, story);
	look_at_vm(lines, story);
	look_at_identity(lines, story);
	story->cause = cause_of(story);
	return true;
}

/* A sentence for whoever is on call. */
const char *explain_cause_text(enum explain_cause cause)
{
	static const char *const texts[] = {
		[EXPLAIN_SERVED] = "it was served",
		[EXPLAIN_CALLER_LEFT] = "the caller left before the answer",
		[EXPLAIN_TARGET_SICK] =
			"the target was sick: other requests failed there too",
		[EXPLAIN_TARGET_ONCE] = "the target failed this request alone",
		[EXPLAIN_PATH] =
			"the path from this VM: others reached the target",
		[EXPLAIN_SHORT_TIME] =
			"it had hardly more time than the work usually takes",
		[EXPLAIN_NO_ROOM] =
			"no slot would have been free within its aim",
		[EXPLAIN_LIMITED] =
			"its targets had as much as the limits they named",
		[EXPLAIN_SHED] = "the targets rejected it without running it",
		[EXPLAIN_NO_LIST] = "this VM had no current list of targets",
		[EXPLAIN_OLD_ROUTES] =
			"this VM had an older configuration than others",
		[EXPLAIN_NO_ROUTE] = "no configuration has a route for it",
		[EXPLAIN_OVER_LIMIT] = "its organisation had used up its limit",
		[EXPLAIN_UNPROVEN] =
			"this VM could not prove that keys still hold",
		[EXPLAIN_UNKNOWN_KEY] = "no configuration here holds its key",
		[EXPLAIN_FATAL] = "the targets that ran it ended under it",
		[EXPLAIN_FATAL_REFUSED] =
			"targets ended under it, so no VM sends it on",
		[EXPLAIN_VM] = "this VM stood still",
		[EXPLAIN_UNKNOWN] = "the logs do not tell",
	};

	return texts[cause];
}

static void print_line(const struct logline *line, double start, FILE *out)
{
	static const char *const shown[] = {
		"state", "service", "address", "version", "revision", "from",
		"why",	 "for_ms",  "targets", "as_of",	  "failures", "status",
	};

	fprintf(out, "  %+8.3f s  %-20s %s", line->at - start,
		logline_get(line, "vm"), logline_get(line, "event"));
	for (size_t i = 0; i < G_N_ELEMENTS(shown); i++)
		if (*logline_get(line, shown[i]))
			fprintf(out, " %s=%s", shown[i],
				logline_get(line, shown[i]));
	fputc('\n', out);
}

/* The lines of this VM that changed what it believed of the request's targets,
 * the last one before its start for each. */
static void print_beliefs(const GPtrArray *lines,
			  const struct explain_story *story, FILE *out)
{
	double start = began(story->end);

	for (unsigned t = 0; t < story->tried_count; t++) {
		const struct logline *last = NULL;

		for (guint i = 0; i < lines->len; i++) {
			const struct logline *line =
				g_ptr_array_index(lines, i);

			if (is_event(line, "target") && line->at <= start &&
			    is_at_vm(line, story->end) &&
			    !strcmp(logline_get(line, "id"),
				    story->tried[t].id))
				last = line;
		}
		if (last)
			print_line(last, start, out);
	}
}

static void print_limit(const struct logline *end, FILE *out)
{
	fprintf(out,
		"taken by %s for %s: limit %s a second and a burst of %s; in "
		"this data centre %s a second came, its part of the limit is "
		"%s, and %s were let through in the window; %s of the fleet "
		"was heard\n",
		logline_get(end, "vm"), logline_get(end, "organisation"),
		logline_get(end, "limit"), logline_get(end, "burst"),
		logline_get(end, "group_rate"), logline_get(end, "part"),
		logline_get(end, "used"), logline_get(end, "heard"));
}

/* The story as text; times count from the request's start. */
void explain_print(const GPtrArray *lines, const struct explain_story *story,
		   FILE *out)
{
	const struct logline *end = story->end;
	double start = began(end);

	fprintf(out, "request %s: status %s, %s\n", logline_get(end, "id"),
		logline_get(end, "status"), logline_get(end, "why"));
	fprintf(out, "cause: %s\n", explain_cause_text(story->cause));
	if (story->cause == EXPLAIN_OVER_LIMIT) {
		print_limit(end, out);
		return;
	}
	fprintf(out,
		"taken by %s on route %s of %s, configuration %s, list %s ms "
		"old\n",
		logline_get(end, "vm"), logline_get(end, "route"),
		logline_get(end, "service"), logline_get(end, "version"),
		logline_get(end, "view_age_ms"));
	fprintf(out,
		"took %s ms, %s ms were left, usual are %s ms, ran %s times\n",
		logline_get(end, "took_ms"), logline_get(end, "left_ms"),
		logline_get(end, "usual_ms"), logline_get(end, "runs"));
	for (unsigned i = 0; i < story->tried_count; i++) {
		const struct explain_target *t = &story->tried[i];

		fprintf(out,
			"tried %s: chance of being gray %.2f, %u requests "
			"there; around then %u others answered, %u failed at "
			"%u VMs\n",
			t->id, t->risk, t->there, t->answered, t->failed,
			t->vms_failed);
	}
	if (story->fatal)
		fprintf(out,
			"refused by all VMs from %.3f s on: under identity %s "
			"%s targets had ended (%s)\n",
			story->fatal->at - start,
			logline_get(story->fatal, "identity"),
			logline_get(story->fatal, "ends"),
			logline_get(story->fatal, "targets"));
	if (story->newest_version)
		fprintf(out,
			"configuration %u had been in force elsewhere for "
			"%.1f s\n",
			story->newest_version, story->newer_routes_elsewhere);
	fputs("what this VM had been told, in seconds from the start:\n", out);
	if (story->routes)
		print_line(story->routes, start, out);
	print_beliefs(lines, story, out);
	if (story->disturbance)
		print_line(story->disturbance, start, out);
}
