/*
 * Attributes a request to a cause from the logs of all VMs: it compares what
 * the VM that handled the request knew with what other VMs saw of the same
 * targets at the same time.
 */
#include "explain.h"

#include <stdlib.h>
#include <string.h>

/* Other requests at the same targets are counted from this many seconds before
 * the request's start to as many after its end. A gray failure lasts several
 * seconds, and a hanging target shows only when requests time out. */
#define WINDOW_S 3.0
/* Events of the VM itself count from this many seconds before the start. */
#define VM_EVENT_WINDOW_S 2.0
/* A target list is stale if it was not confirmed for longer than this; readers
 * confirm it twice a second. */
#define STALE_LIST_MS 2000
/* A request that timed out before this multiple of the usual latency is no
 * evidence against its target. */
#define USUAL_LATENCY_FACTOR 2.0
/* A new configuration must have reached all VMs after this many seconds. */
#define CONFIG_PROPAGATION_S 2.0

static bool is_event(const struct logline *line, const char *event)
{
	return !strcmp(logline_get(line, "event"), event);
}

static bool is_same_vm(const struct logline *line, const struct logline *other)
{
	return !strcmp(logline_get(line, "vm"), logline_get(other, "vm"));
}

static double start_time(const struct logline *request)
{
	return request->time - logline_number(request, "took_ms") / 1000;
}

static bool has_failed(const struct logline *line)
{
	return logline_number(line, "status") >= 500;
}

/* Parses "i-1:0.05:2,i-2:0.30:0": each target that was tried, its probability
 * of being gray, and the requests in flight to it. */
static void parse_tried(struct explain_report *report)
{
	g_auto(GStrv) parts =
		g_strsplit(logline_get(report->request, "tried"), ",", -1);

	for (char **p = parts;
	     *p && **p && report->tried_count < G_N_ELEMENTS(report->tried);
	     p++) {
		struct explain_target *t =
			&report->tried[report->tried_count++];
		g_auto(GStrv) words = g_strsplit(*p, ":", -1);
		guint n = g_strv_length(words);

		g_strlcpy(t->id, words[0], sizeof(t->id));
		t->risk = n > 1 ? g_ascii_strtod(words[1], NULL) : 0;
		t->in_flight = n > 2 ? (unsigned)atoi(words[2]) : 0;
	}
}

/* Whether the target was the last one that the request was sent to. The line
 * does not record the results of earlier attempts. */
static bool last_target_is(const struct logline *line, const char *target)
{
	const char *tried = logline_get(line, "tried");
	const char *last = strrchr(tried, ',');
	size_t len = strlen(target);

	last = last ? last + 1 : tried;
	return !strncmp(last, target, len) && last[len] == ':';
}

static void count_target_outcomes(const GPtrArray *lines,
				  const struct explain_report *report,
				  struct explain_target *t)
{
	GHashTable *vms = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < lines->len; i++) {
		const struct logline *line = g_ptr_array_index(lines, i);

		if (line == report->request || !is_event(line, "request") ||
		    !last_target_is(line, t->id) ||
		    line->time < start_time(report->request) - WINDOW_S ||
		    start_time(line) > report->request->time + WINDOW_S)
			continue;
		if (!has_failed(line)) {
			t->answered++;
			continue;
		}
		t->failed++;
		g_hash_table_add(vms, (gpointer)logline_get(line, "vm"));
	}
	t->vms_with_failures = g_hash_table_size(vms);
	g_hash_table_destroy(vms);
}

/* Finds when the VM loaded its configuration, and whether other VMs had a newer
 * version before the request started. */
static void find_config_versions(const GPtrArray *lines,
				 struct explain_report *report)
{
	double version = logline_number(report->request, "version");
	double start = start_time(report->request);

	for (guint i = 0; i < lines->len; i++) {
		const struct logline *line = g_ptr_array_index(lines, i);
		double v = logline_number(line, "version");

		if (!is_event(line, "routes") || line->time > start)
			continue;
		if (is_same_vm(line, report->request) && v == version)
			report->config_line = line;
		if (v > version && !report->newer_version)
			report->newer_config_age_s = start - line->time;
		if (v > report->newer_version && v > version)
			report->newer_version = (unsigned)v;
	}
}

static void find_vm_event(const GPtrArray *lines, struct explain_report *report)
{
	static const char *const events[] = { "paused", "start", "stop",
					      "store-lost", "history-lost" };

	for (guint i = 0; i < lines->len; i++) {
		const struct logline *line = g_ptr_array_index(lines, i);

		if (!is_same_vm(line, report->request) ||
		    line->time <
			    start_time(report->request) - VM_EVENT_WINDOW_S ||
		    line->time > report->request->time)
			continue;
		for (size_t k = 0; k < G_N_ELEMENTS(events); k++)
			if (is_event(line, events[k]))
				report->vm_event = line;
	}
}

/* Finds the first line of any VM that refuses the request because targets
 * crashed while they ran it. */
static void find_fatal_event(const GPtrArray *lines,
			     struct explain_report *report)
{
	const char *identity = logline_get(report->request, "identity");

	for (guint i = 0; i < lines->len && *identity && !report->fatal_event;
	     i++) {
		const struct logline *line = g_ptr_array_index(lines, i);

		if (is_event(line, "fatal-request") &&
		    !strcmp(logline_get(line, "state"), "refused") &&
		    !strcmp(logline_get(line, "identity"), identity))
			report->fatal_event = line;
	}
}

static bool has_reason(const struct explain_report *report, const char *why)
{
	return !strcmp(logline_get(report->request, "why"), why);
}

static enum explain_cause target_cause(const struct explain_report *report)
{
	const struct explain_target *t =
		&report->tried[report->tried_count - 1];

	if (t->vms_with_failures > 1 || t->failed > t->answered)
		return EXPLAIN_TARGET_FAILING;
	if (has_reason(report, "unreached") && t->answered)
		return EXPLAIN_TARGET_UNREACHABLE;
	if (has_reason(report, "timeout") &&
	    logline_number(report->request, "took_ms") <
		    USUAL_LATENCY_FACTOR *
			    logline_number(report->request, "usual_ms"))
		return EXPLAIN_DEADLINE_TOO_SHORT;
	return EXPLAIN_SINGLE_FAILURE;
}

/* Rejected for its key or its organisation, before a target was chosen. */
static enum explain_cause key_cause(const struct explain_report *report)
{
	if (has_reason(report, "over-limit"))
		return EXPLAIN_ORGANISATION_LIMIT;
	if (has_reason(report, "unproven"))
		return EXPLAIN_KEYS_UNVERIFIED;
	return has_reason(report, "unknown-key") ? EXPLAIN_UNKNOWN_KEY
						 : EXPLAIN_UNKNOWN;
}

static enum explain_cause find_cause(const struct explain_report *report)
{
	double status = logline_number(report->request, "status");
	enum explain_cause from_key = key_cause(report);

	if (from_key != EXPLAIN_UNKNOWN)
		return from_key;

	if (has_reason(report, "crashes-targets"))
		return EXPLAIN_FATAL_REFUSED;
	if (has_reason(report, "broken") && report->fatal_event)
		return EXPLAIN_FATAL;
	if (status == 499)
		return EXPLAIN_CALLER_DISCONNECTED;
	if (status == 404)
		return report->newer_version ? EXPLAIN_STALE_CONFIG
					     : EXPLAIN_NO_ROUTE;
	if (report->newer_version &&
	    report->newer_config_age_s > CONFIG_PROPAGATION_S)
		return EXPLAIN_STALE_CONFIG;
	if (status < 400)
		return EXPLAIN_SERVED;
	if (has_reason(report, "no-target") ||
	    logline_number(report->request, "view_age_ms") > STALE_LIST_MS)
		return EXPLAIN_STALE_TARGET_LIST;
	if (has_reason(report, "too-late"))
		return EXPLAIN_NO_FREE_SLOT;
	if (has_reason(report, "limited"))
		return EXPLAIN_TARGET_LIMITS;
	if (has_reason(report, "body-too-large"))
		return EXPLAIN_BODY_TOO_LARGE;
	if (has_reason(report, "refused") || has_reason(report, "all-tried") ||
	    has_reason(report, "resting"))
		return EXPLAIN_SHED;
	if (report->vm_event && is_event(report->vm_event, "paused"))
		return EXPLAIN_VM_PAUSED;
	if (report->tried_count)
		return target_cause(report);
	return EXPLAIN_UNKNOWN;
}

/* Fills in the report. Returns false if no line has the request's id. */
bool explain(const GPtrArray *lines, const char *id,
	     struct explain_report *report)
{
	memset(report, 0, sizeof(*report));
	for (guint i = 0; i < lines->len; i++) {
		const struct logline *line = g_ptr_array_index(lines, i);

		if (is_event(line, "request") &&
		    !strcmp(logline_get(line, "id"), id))
			report->request = line;
	}
	if (!report->request)
		return false;
	parse_tried(report);
	for (unsigned i = 0; i < report->tried_count; i++)
		count_target_outcomes(lines, report, &report->tried[i]);
	find_config_versions(lines, report);
	find_vm_event(lines, report);
	find_fatal_event(lines, report);
	report->cause = find_cause(report);
	return true;
}

/* Describes a cause to an operator. docs/OPERATIONS.md quotes these texts. */
const char *explain_cause_text(enum explain_cause cause)
{
	static const char *const texts[] = {
		[EXPLAIN_SERVED] = "the request was served",
		[EXPLAIN_CALLER_DISCONNECTED] =
			"the caller disconnected before the response",
		[EXPLAIN_TARGET_FAILING] =
			"the target was sick: other requests failed there too",
		[EXPLAIN_SINGLE_FAILURE] =
			"the target failed only this request",
		[EXPLAIN_TARGET_UNREACHABLE] =
			"the path from this VM: others reached the target",
		[EXPLAIN_DEADLINE_TOO_SHORT] =
			"its deadline was too close to the usual latency",
		[EXPLAIN_NO_FREE_SLOT] =
			"no slot would have been free within its aim",
		[EXPLAIN_TARGET_LIMITS] =
			"all targets had reached the limits they announced",
		[EXPLAIN_BODY_TOO_LARGE] =
			"no target could hold its body beside what it held",
		[EXPLAIN_SHED] = "the targets rejected it without running it",
		[EXPLAIN_STALE_TARGET_LIST] =
			"this VM had no current list of targets",
		[EXPLAIN_STALE_CONFIG] =
			"this VM had an older configuration than others",
		[EXPLAIN_NO_ROUTE] = "no configuration has a route for it",
		[EXPLAIN_ORGANISATION_LIMIT] =
			"its organisation exceeded its rate limit",
		[EXPLAIN_KEYS_UNVERIFIED] =
			"this VM could not verify that keys are still valid",
		[EXPLAIN_UNKNOWN_KEY] =
			"its key is not in this VM's configuration",
		[EXPLAIN_FATAL] = "the targets that ran it crashed",
		[EXPLAIN_FATAL_REFUSED] =
			"it crashed targets before, so all VMs reject it",
		[EXPLAIN_VM_PAUSED] = "this VM was paused",
		[EXPLAIN_UNKNOWN] = "unknown: the logs do not show a cause",
	};

	return texts[cause];
}

static void print_line(const struct logline *line, double start, FILE *out)
{
	static const char *const shown[] = {
		"state", "service", "address", "version", "revision", "from",
		"why",	 "for_ms",  "targets", "as_of",	  "failures", "status",
	};

	fprintf(out, "  %+8.3f s  %-20s %s", line->time - start,
		logline_get(line, "vm"), logline_get(line, "event"));
	for (size_t i = 0; i < G_N_ELEMENTS(shown); i++)
		if (*logline_get(line, shown[i]))
			fprintf(out, " %s=%s", shown[i],
				logline_get(line, shown[i]));
	fputc('\n', out);
}

/* Prints, for each target that was tried, the VM's last change of the target's
 * state before the request started. */
static void print_target_states(const GPtrArray *lines,
				const struct explain_report *report, FILE *out)
{
	double start = start_time(report->request);

	for (unsigned t = 0; t < report->tried_count; t++) {
		const struct logline *last = NULL;

		for (guint i = 0; i < lines->len; i++) {
			const struct logline *line =
				g_ptr_array_index(lines, i);

			if (is_event(line, "target") && line->time <= start &&
			    is_same_vm(line, report->request) &&
			    !strcmp(logline_get(line, "id"),
				    report->tried[t].id))
				last = line;
		}
		if (last)
			print_line(last, start, out);
	}
}

static void print_limit(const struct logline *request, FILE *out)
{
	fprintf(out,
		"taken by %s for %s: limit %s requests/s, burst %s; this data "
		"centre received %s requests/s, its share of the limit is %s, "
		"%s were admitted in the window; reports from %s of the "
		"fleet\n",
		logline_get(request, "vm"),
		logline_get(request, "organisation"),
		logline_get(request, "limit"), logline_get(request, "burst"),
		logline_get(request, "group_rate"),
		logline_get(request, "part"), logline_get(request, "used"),
		logline_get(request, "heard"));
}

/* Prints the report as text; times are relative to the request's start. */
void explain_print(const GPtrArray *lines, const struct explain_report *report,
		   FILE *out)
{
	const struct logline *request = report->request;
	double start = start_time(request);

	fprintf(out, "request %s: status %s, %s\n", logline_get(request, "id"),
		logline_get(request, "status"), logline_get(request, "why"));
	fprintf(out, "cause: %s\n", explain_cause_text(report->cause));
	if (report->cause == EXPLAIN_ORGANISATION_LIMIT) {
		print_limit(request, out);
		return;
	}
	fprintf(out,
		"taken by %s on route %s of %s, configuration %s, list %s ms "
		"old\n",
		logline_get(request, "vm"), logline_get(request, "route"),
		logline_get(request, "service"),
		logline_get(request, "version"),
		logline_get(request, "view_age_ms"));
	fprintf(out,
		"took %s ms, %s ms left, usual latency %s ms, ran %s times\n",
		logline_get(request, "took_ms"),
		logline_get(request, "left_ms"),
		logline_get(request, "usual_ms"), logline_get(request, "runs"));
	for (unsigned i = 0; i < report->tried_count; i++) {
		const struct explain_target *t = &report->tried[i];

		fprintf(out,
			"tried %s: chance of being gray %.2f, %u requests "
			"there; around then %u others answered, %u failed at "
			"%u VMs\n",
			t->id, t->risk, t->in_flight, t->answered, t->failed,
			t->vms_with_failures);
	}
	if (report->fatal_event)
		fprintf(out,
			"rejected by all VMs from %.3f s on: requests with "
			"identity %s crashed %s targets (%s)\n",
			report->fatal_event->time - start,
			logline_get(report->fatal_event, "identity"),
			logline_get(report->fatal_event, "ends"),
			logline_get(report->fatal_event, "targets"));
	if (report->newer_version)
		fprintf(out,
			"configuration %u had been active elsewhere for "
			"%.1f s\n",
			report->newer_version, report->newer_config_age_s);
	fputs("relevant events on this VM, in seconds from the start:\n", out);
	if (report->config_line)
		print_line(report->config_line, start, out);
	print_target_states(lines, report, out);
	if (report->vm_event)
		print_line(report->vm_event, start, out);
}
