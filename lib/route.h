#ifndef TR_ROUTE_H
#define TR_ROUTE_H

#include <apr_time.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct tr_error;
struct tr_organisations;

/* What may be repeated. Uploads are large and, like unsafe ones, run once. */
enum tr_kind {
	TR_KIND_SAFE,
	TR_KIND_UNSAFE,
	TR_KIND_UPLOAD,
	TR_KINDS,
};

/* One of the services that a route's requests are split among. */
struct tr_split {
	uint32_t service;
	double weight;
};

/* is_public: callers need no key here. */
struct tr_path_route {
	char *name;
	char *host;
	char *prefix;
	enum tr_kind kind;
	apr_time_t timeout;
	apr_time_t latency_aim;
	uint32_t attempts;
	uint32_t priority;
	bool is_public;
	struct tr_split *split;
	unsigned split_count;
};

/* What callers may send, and how long they may take. Bytes and times. */
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
	uint32_t row_index;
};

/*
 * One version of the routes of a whole entry fleet; not changed once made. A
 * request holds the one it was admitted under until it ends. Where there are no
 * organisations callers need no keys. text is the whole as it was read.
 */
struct tr_routes {
	unsigned users;
	uint64_t version;
	uint64_t revision;
	struct tr_path_route *routes;
	unsigned routes_count;
	struct tr_path_service *services;
	unsigned services_count;
	struct tr_caller_limits limits;
	struct tr_organisations *organisations;
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
