/* The routes of a fleet: which service gets a request, and how it is sent. */
#ifndef TR_ROUTE_H
#define TR_ROUTE_H

#include <apr_time.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct tr_error;
struct tr_organisations;

/*
 * Decides whether a request may be repeated. Uploads are large and, like unsafe
 * requests, run once.
 */
enum tr_kind {
	TR_KIND_SAFE,
	TR_KIND_UNSAFE,
	TR_KIND_UPLOAD,
	TR_KINDS,
};

/* A service that gets a share of a route's requests. */
struct tr_split {
	uint32_t service;
	double weight;
};

/* A route: requests for a host with a path prefix. */
struct tr_path_route {
	char *name;
	char *host;
	/* Begins and ends with a slash. */
	char *prefix;
	enum tr_kind kind;
	apr_time_t timeout;
	apr_time_t latency_aim;
	uint32_t attempts;
	uint32_t priority;
	/* Callers need no key. */
	bool is_public;
	struct tr_split *split;
	unsigned split_count;
};

/* What callers may send, in bytes, and how long they may take. */
struct tr_caller_limits {
	uint64_t header_bytes;
	uint64_t body_bytes;
	apr_time_t header_timeout;
	apr_time_t idle_timeout;
};

struct tr_path_service {
	char *name;
	char *health_path;
	uint32_t connections;
	/* Row among the services of this VM's roster. */
	uint32_t row_index;
};

/*
 * One version of the routes of a fleet, immutable once finalized. A request
 * holds a reference to the version it was admitted under until it ends.
 */
struct tr_routes {
	/* Number of references. */
	unsigned refs;
	uint64_t version;
	uint64_t revision;
	struct tr_path_route *routes;
	unsigned routes_count;
	struct tr_path_service *services;
	unsigned services_count;
	struct tr_caller_limits limits;
	/* NULL if callers need no keys. */
	struct tr_organisations *organisations;
	/* The configuration as it was read, with callers' keys. */
	char *text;
	size_t text_len;
};

struct tr_routes *tr_routes_new(unsigned routes, unsigned services);
struct tr_routes *tr_routes_ref(struct tr_routes *routes);
void tr_routes_unref(struct tr_routes *routes);
int tr_routes_finalize(struct tr_routes *routes, struct tr_error *err);
int tr_routes_find_service(const struct tr_routes *routes, const char *name);
const struct tr_path_route *tr_routes_match(const struct tr_routes *routes,
					    const char *host, size_t host_len,
					    const char *path);
unsigned tr_split_choose(const struct tr_path_route *route, double point);

#endif
