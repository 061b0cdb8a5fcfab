/* Defaults, validation and route matching of a team's document. */
#include "document.h"

#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "error.h"

#define DEFAULT_CELL	      8
#define DEFAULT_KEEP_S	      20
#define DEFAULT_LEAVE_S	      30
#define DEFAULT_COLD_S	      5
#define DEFAULT_DEADLINE_MS   2000
#define DEFAULT_MAX_BODY_MB   1
#define DEFAULT_RETRY_PERCENT 20
#define DEFAULT_QUEUE	      64
#define DEFAULT_SHARE_PERCENT 25
#define DEFAULT_DETECT_MS     2000
#define DEFAULT_FALSE_PER_DAY 0.1

/*
 * Sets every field that is 0, that is, was left out, to its documented default.
 */
void tr_document_defaults(struct tr_document *doc)
{
	static const struct {
		size_t offset;
		uint32_t value;
	} defaults[] = {
		{ offsetof(struct tr_document, slots), 1 },
		{ offsetof(struct tr_document, connections), 100 },
		{ offsetof(struct tr_document, cell), DEFAULT_CELL },
		{ offsetof(struct tr_document, keep_s), DEFAULT_KEEP_S },
		{ offsetof(struct tr_document, leave_s), DEFAULT_LEAVE_S },
		{ offsetof(struct tr_document, cold_s), DEFAULT_COLD_S },
		{ offsetof(struct tr_document, deadline_ms),
		  DEFAULT_DEADLINE_MS },
		{ offsetof(struct tr_document, max_body_mb),
		  DEFAULT_MAX_BODY_MB },
		{ offsetof(struct tr_document, retry_percent),
		  DEFAULT_RETRY_PERCENT },
		{ offsetof(struct tr_document, queue), DEFAULT_QUEUE },
		{ offsetof(struct tr_document, share_percent),
		  DEFAULT_SHARE_PERCENT },
		{ offsetof(struct tr_document, ejection.detect_ms),
		  DEFAULT_DETECT_MS },
	};

	for (size_t i = 0; i < sizeof(defaults) / sizeof(defaults[0]); i++) {
		char *base = (char *)doc + defaults[i].offset;
		uint32_t *field = (uint32_t *)(void *)base;

		if (!*field)
			*field = defaults[i].value;
	}
	if (doc->ejection.false_per_day == 0)
		doc->ejection.false_per_day = DEFAULT_FALSE_PER_DAY;
}

static int check_name(const char *name, const char *field, struct tr_error *err)
{
	size_t len = name ? strlen(name) : 0;
	const char *allowed = "abcdefghijklmnopqrstuvwxyz0123456789-.";

	if (!len)
		return tr_error_set(err, TR_MISSING_FIELD, field, "",
				    "expected a name");
	if (len > TR_NAME_MAX || strspn(name, allowed) != len)
		return tr_error_set(err, TR_OUT_OF_RANGE, field, name,
				    "expected at most %d of a-z, 0-9, '-', '.'",
				    TR_NAME_MAX);
	return 0;
}

static int check_range(uint32_t value, uint32_t min, uint32_t max,
		       const char *field, struct tr_error *err)
{
	char text[16];

	if (value >= min && value <= max)
		return 0;
	snprintf(text, sizeof(text), "%u", value);
	return tr_error_set(err, TR_OUT_OF_RANGE, field, text,
			    "expected %u to %u", min, max);
}

static int check_data_centres(const struct tr_document *doc,
			      struct tr_error *err)
{
	char field[64];

	if (!doc->data_centres_count)
		return tr_error_set(err, TR_MISSING_FIELD, "data_centres", "",
				    "expected at least one data centre");
	if (doc->data_centres_count > TR_MAX_VANTAGES)
		return tr_error_set(err, TR_OUT_OF_RANGE, "data_centres", "",
				    "expected at most %d data centres",
				    TR_MAX_VANTAGES);
	for (unsigned i = 0; i < doc->data_centres_count; i++) {
		snprintf(field, sizeof(field), "data_centres[%u]", i);
		if (check_name(doc->data_centres[i], field, err))
			return -1;
		if (tr_document_vantage(doc, doc->data_centres[i]) != (int)i)
			return tr_error_set(err, TR_DUPLICATE, field,
					    doc->data_centres[i],
					    "expected each name once");
	}
	return 0;
}

static int check_target(const struct tr_document *doc, unsigned i,
			struct tr_error *err)
{
	const struct tr_listed_target *target = &doc->targets[i];
	char field[64];

	snprintf(field, sizeof(field), "targets[%u].name", i);
	if (check_name(target->name, field, err))
		return -1;
	for (unsigned j = 0; j < i; j++)
		if (!strcmp(doc->targets[j].name, target->name))
			return tr_error_set(err, TR_DUPLICATE, field,
					    target->name,
					    "expected each name once");
	snprintf(field, sizeof(field), "targets[%u].address", i);
	if (!target->address || !strchr(target->address, ':'))
		return tr_error_set(err, TR_OUT_OF_RANGE, field,
				    target->address, "expected IP:PORT");
	snprintf(field, sizeof(field), "targets[%u].data_centre", i);
	if (tr_document_vantage(doc, target->data_centre) < 0)
		return tr_error_set(err, TR_CONTRADICTION, field,
				    target->data_centre,
				    "expected one of data_centres");
	return 0;
}

static int check_targets(const struct tr_document *doc, struct tr_error *err)
{
	if (!doc->target_list == !doc->targets_count)
		return tr_error_set(err, TR_CONTRADICTION, "targets", "",
				    "expected exactly one of targets and "
				    "target_list");
	if (doc->target_list)
		return check_name(doc->target_list, "target_list", err);
	if (doc->targets_count > TR_MAX_TARGETS)
		return tr_error_set(err, TR_OUT_OF_RANGE, "targets", "",
				    "expected at most %d targets",
				    TR_MAX_TARGETS);
	for (unsigned i = 0; i < doc->targets_count; i++)
		if (check_target(doc, i, err))
			return -1;
	return 0;
}

static int check_floor(const struct tr_document *doc, struct tr_error *err)
{
	char text[16];

	if (check_range(doc->floor, 1, TR_MAX_TARGETS, "floor", err))
		return -1;
	if (!doc->targets_count || doc->floor <= doc->targets_count)
		return 0;
	snprintf(text, sizeof(text), "%u", doc->floor);
	return tr_error_set(err, TR_CONTRADICTION, "floor", text,
			    "expected at most the number of targets, %u",
			    doc->targets_count);
}

static bool methods_overlap(const struct tr_route *a, const struct tr_route *b)
{
	if (!a->methods_count || !b->methods_count)
		return a->methods_count == b->methods_count;
	for (unsigned i = 0; i < a->methods_count; i++)
		for (unsigned j = 0; j < b->methods_count; j++)
			if (!strcmp(a->methods[i], b->methods[j]))
				return true;
	return false;
}

static int check_methods(const struct tr_route *route, unsigned i,
			 struct tr_error *err)
{
	static const char *const known[] = { "GET", "HEAD",  "POST",
					     "PUT", "PATCH", "DELETE" };
	char field[64];

	for (unsigned m = 0; m < route->methods_count; m++) {
		bool found = false;

		for (size_t k = 0; k < sizeof(known) / sizeof(known[0]); k++)
			found |= !strcmp(known[k], route->methods[m]);
		snprintf(field, sizeof(field), "routes[%u].methods[%u]", i, m);
		if (!found)
			return tr_error_set(err, TR_OUT_OF_RANGE, field,
					    route->methods[m],
					    "expected GET, HEAD, POST, PUT, "
					    "PATCH or DELETE");
	}
	return 0;
}

static int check_route(const struct tr_document *doc, unsigned i,
		       struct tr_error *err)
{
	const struct tr_route *route = &doc->routes[i];
	char field[64];

	snprintf(field, sizeof(field), "routes[%u].path", i);
	if (!route->path || *route->path != '/')
		return tr_error_set(err, TR_OUT_OF_RANGE, field, route->path,
				    "expected a path that starts with '/'");
	for (unsigned j = 0; j < i; j++)
		if (!strcmp(doc->routes[j].path, route->path) &&
		    methods_overlap(&doc->routes[j], route))
			return tr_error_set(err, TR_CONTRADICTION, field,
					    route->path,
					    "expected no second route for the "
					    "same path and method, see "
					    "routes[%u]",
					    j);
	if (check_methods(route, i, err))
		return -1;
	snprintf(field, sizeof(field), "routes[%u].deadline_ms", i);
	return check_range(route->deadline_ms, 0, 3600000, field, err);
}

static int check_numbers(const struct tr_document *doc, struct tr_error *err)
{
	const struct {
		const char *field;
		uint32_t value, min, max;
	} rows[] = {
		{ "slots", doc->slots, 1, 10000 },
		{ "connections", doc->connections, 1, 100000 },
		{ "cell", doc->cell, 1, TR_MAX_CELL },
		{ "keep_s", doc->keep_s, 1, 3600 },
		{ "leave_s", doc->leave_s, 1, 3600 },
		{ "cold_s", doc->cold_s, 1, 3600 },
		{ "deadline_ms", doc->deadline_ms, 1, 3600000 },
		{ "max_body_mb", doc->max_body_mb, 1, 4096 },
		{ "retry_percent", doc->retry_percent, 1, 100 },
		{ "queue", doc->queue, 1, 4096 },
		{ "share_percent", doc->share_percent, 1, 100 },
		{ "ejection.detect_ms", doc->ejection.detect_ms, 100, 600000 },
	};

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		if (check_range(rows[i].value, rows[i].min, rows[i].max,
				rows[i].field, err))
			return -1;
	if (doc->ejection.false_per_day < 1e-6 ||
	    doc->ejection.false_per_day > 1000)
		return tr_error_set(err, TR_OUT_OF_RANGE,
				    "ejection.false_per_day", "",
				    "expected 0.000001 to 1000");
	return 0;
}

/*
 * Validates a document whose defaults are set. The daemon and "toucanreel
 * check" run the same check. Returns 0, or -1 with the code, field, value and
 * expected text set in err; the reader of the file adds its name and line.
 */
int tr_document_check(const struct tr_document *doc, struct tr_error *err)
{
	if (check_name(doc->service, "service", err) ||
	    check_name(doc->team, "team", err) ||
	    check_data_centres(doc, err) || check_targets(doc, err) ||
	    check_floor(doc, err) || check_numbers(doc, err))
		return -1;
	if (!doc->routes_count)
		return tr_error_set(err, TR_MISSING_FIELD, "routes", "",
				    "expected at least one route");
	for (unsigned i = 0; i < doc->routes_count; i++)
		if (check_route(doc, i, err))
			return -1;
	return 0;
}

/*
 * Returns whether path is prefix or lies below it; a query string may follow.
 */
static bool path_matches(const char *path, const char *prefix)
{
	size_t len = strlen(prefix);

	if (strncmp(path, prefix, len))
		return false;
	return prefix[len - 1] == '/' || !path[len] || path[len] == '/' ||
	       path[len] == '?';
}

static bool method_matches(const struct tr_route *route, const char *method)
{
	for (unsigned i = 0; i < route->methods_count; i++)
		if (!strcmp(route->methods[i], method))
			return true;
	return !route->methods_count;
}

/*
 * Returns the route with the longest path that matches the request, or NULL. Of
 * two routes with the same path, one that lists the method is preferred.
 */
const struct tr_route *tr_document_route(const struct tr_document *doc,
					 const char *method, const char *path)
{
	const struct tr_route *best = NULL;
	size_t best_len = 0;

	for (unsigned i = 0; i < doc->routes_count; i++) {
		const struct tr_route *route = &doc->routes[i];
		size_t len = strlen(route->path) * 2 + !!route->methods_count;

		if (len > best_len && path_matches(path, route->path) &&
		    method_matches(route, method)) {
			best = route;
			best_len = len;
		}
	}
	return best;
}

/* Returns the deadline of a request on a route, in milliseconds. */
uint32_t tr_document_deadline(const struct tr_document *doc,
			      const struct tr_route *route)
{
	if (route && route->deadline_ms)
		return route->deadline_ms;
	return doc->deadline_ms;
}

/* Returns the index of a data centre in the document, or -1. */
int tr_document_vantage(const struct tr_document *doc, const char *data_centre)
{
	for (unsigned i = 0; data_centre && i < doc->data_centres_count; i++)
		if (!strcmp(doc->data_centres[i], data_centre))
			return (int)i;
	return -1;
}
