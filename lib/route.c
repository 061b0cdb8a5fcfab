/*
 * Routes: which service a request goes to, by its host and path, and how it may
 * be repeated.
 */
#include "route.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "error.h"
#include "organisation.h"

/*
 * Allocates a version with room for this many routes and services and one
 * reference. Returns NULL if out of memory.
 */
struct tr_routes *tr_routes_new(unsigned routes, unsigned services)
{
	struct tr_routes *r = calloc(1, sizeof(*r));

	if (!r)
		return NULL;
	r->refs = 1;
	r->routes = calloc(routes + 1, sizeof(*r->routes));
	r->services = calloc(services + 1, sizeof(*r->services));
	r->routes_count = routes;
	r->services_count = services;
	if (r->routes && r->services)
		return r;
	tr_routes_unref(r);
	return NULL;
}

/* Takes a reference. */
struct tr_routes *tr_routes_ref(struct tr_routes *routes)
{
	routes->refs++;
	return routes;
}

/* Drops a reference; the last one frees the version. */
void tr_routes_unref(struct tr_routes *r)
{
	if (!r || --r->refs)
		return;
	for (unsigned i = 0; r->routes && i < r->routes_count; i++) {
		free(r->routes[i].name);
		free(r->routes[i].host);
		free(r->routes[i].prefix);
		free(r->routes[i].split);
	}
	for (unsigned i = 0; r->services && i < r->services_count; i++) {
		free(r->services[i].name);
		free(r->services[i].health_path);
	}
	free(r->routes);
	free(r->services);
	tr_organisations_free(r->organisations);
	/* The text contains callers' keys. */
	if (r->text)
		sodium_memzero(r->text, r->text_len);
	free(r->text);
	free(r);
}

/* Returns the index of the service, or -1. */
int tr_routes_find_service(const struct tr_routes *routes, const char *name)
{
	for (unsigned i = 0; i < routes->services_count; i++)
		if (!strcmp(routes->services[i].name, name))
			return (int)i;
	return -1;
}

static int compare(const void *a, const void *b)
{
	const struct tr_path_route *x = a;
	const struct tr_path_route *y = b;
	int by_host = strcasecmp(x->host, y->host);

	return by_host ? by_host : strcmp(x->prefix, y->prefix);
}

static int check_route(const struct tr_path_route *route, struct tr_error *err)
{
	size_t len = strlen(route->prefix);
	double sum = 0;

	if (!len || route->prefix[0] != '/' || route->prefix[len - 1] != '/')
		return tr_error_set(err, TR_OUT_OF_RANGE, "prefix",
				    route->prefix,
				    "expected a path that begins and ends "
				    "with a slash");
	if (!route->attempts)
		return tr_error_set(err, TR_OUT_OF_RANGE, "attempts", "0",
				    "route %s: expected at least 1",
				    route->name);
	if (route->timeout <= 0)
		return tr_error_set(err, TR_OUT_OF_RANGE, "timeout", "",
				    "route %s: expected more than 0",
				    route->name);
	for (unsigned i = 0; i < route->split_count; i++)
		sum += route->split[i].weight;
	if (!route->split_count || sum <= 0)
		return tr_error_set(err, TR_MISSING_FIELD, "service", "",
				    "route %s: expected a service, or a split "
				    "with a weight above 0",
				    route->name);
	return 0;
}

/*
 * Validates a version once it is filled in and sorts the routes for matching.
 * Returns 0, or -1 with err set.
 */
int tr_routes_finalize(struct tr_routes *r, struct tr_error *err)
{
	for (unsigned i = 0; i < r->routes_count; i++)
		if (check_route(&r->routes[i], err))
			return -1;
	qsort(r->routes, r->routes_count, sizeof(*r->routes), compare);
	for (unsigned i = 1; i < r->routes_count; i++)
		if (!compare(&r->routes[i - 1], &r->routes[i]))
			return tr_error_set(err, TR_DUPLICATE, "prefix",
					    r->routes[i].prefix,
					    "expected one route of host %s, "
					    "not %s and %s",
					    r->routes[i].host,
					    r->routes[i - 1].name,
					    r->routes[i].name);
	return 0;
}

struct lookup_key {
	const char *host;
	size_t host_len;
	const char *path;
	size_t path_len;
};

static int compare_text(const char *a, size_t a_len, const char *b,
			int (*cmp)(const char *, const char *, size_t))
{
	int c = cmp(a, b, a_len);

	return c ? c : -(int)(b[a_len] != 0);
}

static int find(const void *key, const void *member)
{
	const struct lookup_key *p = key;
	const struct tr_path_route *route = member;
	int c = compare_text(p->host, p->host_len, route->host, strncasecmp);

	return c ? c
		 : compare_text(p->path, p->path_len, route->prefix, strncmp);
}

/*
 * Returns the route of the host with the longest matching path prefix, or NULL.
 * Prefixes end with a slash, so only the path's slashes are tried, from the
 * last one.
 */
const struct tr_path_route *tr_routes_match(const struct tr_routes *r,
					    const char *host, size_t host_len,
					    const char *path)
{
	size_t len = strcspn(path, "?#");

	for (; len; len--) {
		struct lookup_key p = { host, host_len, path, len };
		const struct tr_path_route *route;

		if (path[len - 1] != '/')
			continue;
		route = bsearch(&p, r->routes, r->routes_count,
				sizeof(*r->routes), find);
		if (route)
			return route;
	}
	return NULL;
}

/*
 * Returns the index of the entry in the route's split that a point from 0 up to
 * 1 falls into, by weight.
 */
unsigned tr_split_choose(const struct tr_path_route *route, double point)
{
	double sum = 0;
	double cumulative = 0;

	for (unsigned i = 0; i < route->split_count; i++)
		sum += route->split[i].weight;
	for (unsigned i = 0; i < route->split_count; i++) {
		cumulative += route->split[i].weight;
		if (point * sum < cumulative)
			return i;
	}
	return route->split_count - 1;
}
