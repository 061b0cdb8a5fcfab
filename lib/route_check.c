/*
 * Checks of a configuration that is valid by itself. Errors are what can't work
 * as written, warnings what has no effect, notes what differs from the version
 * in force.
 */
#include "route_check.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "organisation.h"
#include "route.h"

/* Characters that end a host or a path in a request, so that no request has
 * them there. */
#define NOT_IN_HOST "/:?#@ \t"
#define NOT_IN_PATH "?# \t"

/* The entry that findings are about. */
struct subject {
	const struct tr_findings *out;
	const char *kind;
	const char *name;
};

/* Returns the word for a severity. */
const char *tr_severity_name(enum tr_severity severity)
{
	static const char *const names[] = { "note", "warning", "error" };

	return names[severity];
}

static void report(const struct subject *s, enum tr_severity severity,
		   const char *field, const char *format, ...)
	__attribute__((format(printf, 4, 5)));

static void report(const struct subject *s, enum tr_severity severity,
		   const char *field, const char *format, ...)
{
	struct tr_finding finding = {
		.severity = severity,
		.kind = s->kind,
		.name = s->name,
		.field = field,
	};
	va_list ap;

	va_start(ap, format);
	vsnprintf(finding.text, sizeof(finding.text), format, ap);
	va_end(ap);
	s->out->report(s->out->ctx, &finding);
}

/* The times and attempts of a route. A negative number of attempts is read as a
 * very large one. */
static void check_route_limits(const struct subject *s,
			       const struct tr_path_route *route)
{
	if (route->timeout < route->latency_aim)
		report(s, TR_SEVERITY_ERROR, "timeout",
		       "%" PRId64 " ms, below the latency aim of %" PRId64
		       " ms; expected at least the aim",
		       (int64_t)route->timeout / 1000,
		       (int64_t)route->latency_aim / 1000);
	if (route->attempts > INT32_MAX)
		report(s, TR_SEVERITY_ERROR, "attempts",
		       "below 0; expected at least 1");
}

/* Whether requests can match the route at all. */
static void check_route_matches(const struct subject *s,
				const struct tr_path_route *route)
{
	if (!*route->host || strpbrk(route->host, NOT_IN_HOST))
		report(s, TR_SEVERITY_ERROR, "host",
		       "'%s' can never match; expected a host name without a "
		       "port",
		       route->host);
	if (strpbrk(route->prefix, NOT_IN_PATH))
		report(s, TR_SEVERITY_ERROR, "prefix",
		       "'%s' can never match; expected a path without a query, "
		       "a fragment or spaces",
		       route->prefix);
}

static void check_split(const struct subject *s, const struct tr_routes *r,
			const struct tr_path_route *route)
{
	for (unsigned i = 0; i < route->split_count; i++) {
		const struct tr_split *part = &route->split[i];

		if (part->weight < 0)
			report(s, TR_SEVERITY_ERROR, "split",
			       "service %s has a weight below 0; expected 0 or "
			       "more",
			       r->services[part->service].name);
		else if (part->weight == 0)
			report(s, TR_SEVERITY_WARNING, "split",
			       "service %s has the weight 0 and gets nothing",
			       r->services[part->service].name);
	}
}

/* Routes are sorted by host and prefix, so entries with equal names need not be
 * neighbours. */
static void check_routes(const struct tr_routes *r,
			 const struct tr_findings *out)
{
	for (unsigned i = 0; i < r->routes_count; i++) {
		const struct tr_path_route *route = &r->routes[i];
		const struct subject s = { out, "route", route->name };

		check_route_limits(&s, route);
		check_route_matches(&s, route);
		check_split(&s, r, route);
		for (unsigned k = 0; k < i; k++)
			if (!strcmp(r->routes[k].name, route->name))
				report(&s, TR_SEVERITY_ERROR, "name",
				       "used twice, for %s%s and %s%s; "
				       "expected a name of its own",
				       r->routes[k].host, r->routes[k].prefix,
				       route->host, route->prefix);
	}
}

static bool is_used(const struct tr_routes *r, unsigned service)
{
	for (unsigned i = 0; i < r->routes_count; i++)
		for (unsigned k = 0; k < r->routes[i].split_count; k++)
			if (r->routes[i].split[k].service == service)
				return true;
	return false;
}

/* Of services with equal names routes use the first. */
static void check_services(const struct tr_routes *r,
			   const struct tr_findings *out)
{
	for (unsigned i = 0; i < r->services_count; i++) {
		const struct subject s = { out, "service",
					   r->services[i].name };

		if (tr_routes_find_service(r, s.name) < (int)i)
			report(&s, TR_SEVERITY_ERROR, "name",
			       "used twice, the second entry can never be used; "
			       "expected a name of its own");
		else if (!is_used(r, i))
			report(&s, TR_SEVERITY_WARNING, "name",
			       "no route leads to it");
	}
}

static unsigned count_keys(const struct tr_organisations *o, unsigned row)
{
	unsigned n = 0;

	for (unsigned i = 0; i < o->keys_count; i++)
		n += o->keys[i].organisation == row;
	return n;
}

static int find_organisation(const struct tr_organisations *o, const char *name)
{
	for (unsigned i = 0; o && i < o->count; i++)
		if (!strcmp(o->rows[i].name, name))
			return (int)i;
	return -1;
}

static void check_organisations(const struct tr_organisations *o,
				apr_time_t window,
				const struct tr_findings *out)
{
	double seconds = (double)window / APR_USEC_PER_SEC;

	for (unsigned i = 0; o && i < o->count; i++) {
		const struct tr_organisation *row = &o->rows[i];
		const struct subject s = { out, "organisation", row->name };

		if (find_organisation(o, row->name) < (int)i)
			report(&s, TR_SEVERITY_ERROR, "name",
			       "used twice; expected a name of its own");
		if (row->rate > 0 && row->rate * seconds + row->burst < 1)
			report(&s, TR_SEVERITY_ERROR, "rate",
			       "%g a second and a burst of %g allow no request "
			       "in a window of %g s; expected at least one",
			       row->rate, row->burst, seconds);
		if (!(row->rate > 0) && row->burst > 0)
			report(&s, TR_SEVERITY_WARNING, "burst",
			       "%g has no effect without a rate", row->burst);
		if (!count_keys(o, i))
			report(&s, TR_SEVERITY_WARNING, "keys",
			       "none, so no request can be of it");
	}
}

/*
 * Checks a configuration that was parsed. window: of the organisations' limits.
 */
void tr_routes_check(const struct tr_routes *routes, apr_time_t window,
		     const struct tr_findings *out)
{
	check_routes(routes, out);
	check_services(routes, out);
	check_organisations(routes->organisations, window, out);
}

static void compare_text(const struct subject *s, const char *field,
			 const char *now, const char *before)
{
	if (strcmp(now, before) != 0)
		report(s, TR_SEVERITY_NOTE, field, "'%s', was '%s'", now,
		       before);
}

static void compare_number(const struct subject *s, const char *field,
			   double now, double before)
{
	if (now != before)
		report(s, TR_SEVERITY_NOTE, field, "%.10g, was %.10g", now,
		       before);
}

static void compare_time(const struct subject *s, const char *field,
			 apr_time_t now, apr_time_t before)
{
	if (now != before)
		report(s, TR_SEVERITY_NOTE, field,
		       "%" PRId64 " ms, was %" PRId64 " ms",
		       (int64_t)now / 1000, (int64_t)before / 1000);
}

/* Writes the services of a route with their weights into buf; a long list is
 * cut. */
static void format_split(const struct tr_routes *r,
			 const struct tr_path_route *route, char *buf,
			 size_t size)
{
	size_t len = 0;

	*buf = 0;
	for (unsigned i = 0; i < route->split_count && len < size; i++) {
		const struct tr_split *part = &route->split[i];
		int n = snprintf(buf + len, size - len, "%s%s %g",
				 i ? ", " : "", r->services[part->service].name,
				 part->weight);

		len += n > 0 ? (size_t)n : 0;
	}
}

static const struct tr_path_route *find_route(const struct tr_routes *r,
					      const char *name)
{
	for (unsigned i = 0; i < r->routes_count; i++)
		if (!strcmp(r->routes[i].name, name))
			return &r->routes[i];
	return NULL;
}

static void compare_route(const struct subject *s, const struct tr_routes *r,
			  const struct tr_path_route *now,
			  const struct tr_routes *in_force,
			  const struct tr_path_route *before)
{
	static const char *const kinds[TR_KINDS] = { "safe", "unsafe",
						     "upload" };
	char split[TR_FINDING_TEXT / 2];
	char split_before[TR_FINDING_TEXT / 2];

	compare_text(s, "host", now->host, before->host);
	compare_text(s, "prefix", now->prefix, before->prefix);
	compare_text(s, "kind", kinds[now->kind], kinds[before->kind]);
	compare_time(s, "timeout", now->timeout, before->timeout);
	compare_time(s, "aim", now->latency_aim, before->latency_aim);
	compare_number(s, "attempts", now->attempts, before->attempts);
	compare_number(s, "priority", now->priority, before->priority);
	compare_number(s, "public", now->is_public, before->is_public);
	format_split(r, now, split, sizeof(split));
	format_split(in_force, before, split_before, sizeof(split_before));
	compare_text(s, "split", split, split_before);
}

static void compare_routes(const struct tr_routes *r,
			   const struct tr_routes *in_force,
			   const struct tr_findings *out)
{
	for (unsigned i = 0; i < r->routes_count; i++) {
		const struct tr_path_route *now = &r->routes[i];
		const struct subject s = { out, "route", now->name };
		const struct tr_path_route *before =
			find_route(in_force, now->name);

		if (before)
			compare_route(&s, r, now, in_force, before);
		else
			report(&s, TR_SEVERITY_NOTE, "name", "added, for %s%s",
			       now->host, now->prefix);
	}
	for (unsigned i = 0; i < in_force->routes_count; i++) {
		const struct tr_path_route *before = &in_force->routes[i];
		const struct subject s = { out, "route", before->name };

		if (!find_route(r, before->name))
			report(&s, TR_SEVERITY_NOTE, "name",
			       "removed, was for %s%s", before->host,
			       before->prefix);
	}
}

static void compare_services(const struct tr_routes *r,
			     const struct tr_routes *in_force,
			     const struct tr_findings *out)
{
	for (unsigned i = 0; i < r->services_count; i++) {
		const struct tr_path_service *now = &r->services[i];
		const struct subject s = { out, "service", now->name };
		int at = tr_routes_find_service(in_force, now->name);

		if (at < 0) {
			report(&s, TR_SEVERITY_NOTE, "name", "added");
			continue;
		}
		compare_text(&s, "health path",
			     now->health_path ? now->health_path : "",
			     in_force->services[at].health_path
				     ? in_force->services[at].health_path
				     : "");
		compare_number(&s, "connections", now->connections,
			       in_force->services[at].connections);
	}
	for (unsigned i = 0; i < in_force->services_count; i++) {
		const struct subject s = { out, "service",
					   in_force->services[i].name };

		if (tr_routes_find_service(r, s.name) < 0)
			report(&s, TR_SEVERITY_NOTE, "name", "removed");
	}
}

static void compare_organisation(const struct subject *s,
				 const struct tr_organisations *o, unsigned now,
				 const struct tr_organisations *in_force,
				 unsigned before)
{
	const struct tr_organisation *a = &o->rows[now];
	const struct tr_organisation *b = &in_force->rows[before];

	compare_number(s, "rate", a->rate, b->rate);
	compare_number(s, "burst", a->burst, b->burst);
	compare_text(s, "priority", a->has_priority ? "its own" : "none",
		     b->has_priority ? "its own" : "none");
	if (a->has_priority && b->has_priority)
		compare_number(s, "priority", a->priority, b->priority);
	/* Keys are kept as digests that differ for each configuration. */
	compare_number(s, "keys", count_keys(o, now),
		       count_keys(in_force, before));
}

static void compare_organisations(const struct tr_organisations *o,
				  const struct tr_organisations *in_force,
				  const struct tr_findings *out)
{
	for (unsigned i = 0; o && i < o->count; i++) {
		const struct subject s = { out, "organisation",
					   o->rows[i].name };
		int at = find_organisation(in_force, s.name);

		if (at < 0)
			report(&s, TR_SEVERITY_NOTE, "name", "added");
		else
			compare_organisation(&s, o, i, in_force, (unsigned)at);
	}
	for (unsigned i = 0; in_force && i < in_force->count; i++) {
		const struct subject s = { out, "organisation",
					   in_force->rows[i].name };

		if (find_organisation(o, s.name) < 0)
			report(&s, TR_SEVERITY_NOTE, "name", "removed");
	}
}

static void compare_versions(const struct subject *s, uint64_t now,
			     uint64_t in_force)
{
	if (now < in_force)
		report(s, TR_SEVERITY_ERROR, "version",
		       "%" PRIu64 ", older than %" PRIu64
		       " in force, which VMs would keep; expected a later one",
		       now, in_force);
	else if (now == in_force)
		report(s, TR_SEVERITY_WARNING, "version",
		       "%" PRIu64 ", the same as in force", now);
	else
		report(s, TR_SEVERITY_NOTE, "version",
		       "%" PRIu64 ", was %" PRIu64, now, in_force);
}

/* Reports what differs from the version in force. */
void tr_routes_compare(const struct tr_routes *routes,
		       const struct tr_routes *in_force,
		       const struct tr_findings *out)
{
	const struct subject all = { out, "", "" };
	const struct tr_caller_limits *now = &routes->limits;
	const struct tr_caller_limits *before = &in_force->limits;

	compare_versions(&all, routes->version, in_force->version);
	compare_number(&all, "header bytes", (double)now->header_bytes,
		       (double)before->header_bytes);
	compare_number(&all, "body bytes", (double)now->body_bytes,
		       (double)before->body_bytes);
	compare_time(&all, "header timeout", now->header_timeout,
		     before->header_timeout);
	compare_time(&all, "idle timeout", now->idle_timeout,
		     before->idle_timeout);
	compare_text(&all, "keys", routes->organisations ? "needed" : "none",
		     in_force->organisations ? "needed" : "none");
	compare_routes(routes, in_force, out);
	compare_services(routes, in_force, out);
	compare_organisations(routes->organisations, in_force->organisations,
			      out);
}
