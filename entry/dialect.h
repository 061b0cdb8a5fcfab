#ifndef DIALECT_H
#define DIALECT_H

#include <glib.h>

#include "notice.h"
#include "roster.h"
#include "route.h"

struct message;
struct tr_error;

/* One value of the platform's store, or that it was removed. */
struct store_item {
	char *key;
	char *value;
	size_t value_len;
	uint64_t revision;
	bool removed;
};

/* A part of a listing, or what has changed since a revision. */
struct store_page {
	GArray *items;
	uint64_t as_of;
	bool more;
};

/*
 * How one platform speaks: the names on the wire and the formats, and nothing
 * that decides. Paths are returned for the caller to g_free.
 */
struct dialect {
	const char *name;

	/* Headers of requests and answers. */
	const char *request_id;
	const char *deadline_ms;
	const char *stamp;
	const char *expected_instance;
	const char *not_run;
	const char *load;
	const char *api_key;
	const char *organisation;
	void (*read_notice)(const struct message *answer,
			    struct tr_notice *notice);

	/* Calls from callers and from the platform. */
	const char *lookup_path;
	const char *lookup_data_centre_param;
	const char *readiness_path;
	char *(*format_lookup_reply)(char **addresses, unsigned count,
				     apr_time_t keep);

	/* The platform's store. */
	const char *everything;
	char *(*list_path)(const char *prefix, const char *after_key);
	char *(*watch_path)(const char *prefix, uint64_t after_revision,
			    apr_time_t wait);
	int (*read_page)(const char *body, size_t len, struct store_page *page,
			 struct tr_error *err);
	int history_lost_status;
	bool (*is_routes_key)(const char *key);
	bool (*is_target_key)(const char *key);
	struct tr_routes *(*read_routes)(const struct store_item *item,
					 struct tr_error *err);
	int (*read_target)(const struct store_item *item,
			   struct tr_target_record *record,
			   struct tr_error *err);
};

void store_page_init(struct store_page *page);
void store_page_clear(struct store_page *page);

#endif
