/* The names and formats by which the entry daemon talks to a platform. */
#ifndef DIALECT_H
#define DIALECT_H

#include <glib.h>

#include "notice.h"
#include "roster.h"
#include "route.h"

struct message;
struct tr_error;

/* A value in the platform's store, or a tombstone. The dialect gives the
 * store's numbers of revisions; store_page_set_era() makes them comparable. */
struct store_item {
	char *key;
	char *value;
	size_t value_len;
	uint64_t revision;
	bool removed;
};

/* A page of a listing, or of the changes since a revision. */
struct store_page {
	GArray *items;
	uint64_t as_of; /* revision of the store */
	bool has_more;
};

/*
 * Names and formats of one platform; it holds no policy. Returned paths are to
 * be freed with g_free().
 */
struct dialect {
	const char *name;

	/* Names of request and response headers. */
	const char *request_id;
	const char *deadline_ms;
	const char *stamp; /* in each response that the target itself sent */
	const char *expected_instance; /* another target must refuse */
	const char *not_run; /* the target did not execute the request */
	const char *load;
	const char *api_key;
	const char *organisation;
	void (*parse_notice)(const struct message *answer,
			     struct tr_notice *notice);

	/* The term that switches on overload control; see the settings. */
	const char *overload_term;

	/* Endpoints for callers and for the platform. */
	const char *lookup_path;
	const char *lookup_data_centre_param; /* in the query string */
	const char *readiness_path;
	char *(*format_lookup_reply)(char **addresses, unsigned count,
				     apr_time_t keep);

	/* The platform's store. A watch returns the changes after a revision,
	 * or history_lost_status when the store no longer has them. */
	const char *root_prefix; /* of all keys */
	char *(*list_path)(const char *prefix, const char *after_key);
	char *(*watch_path)(const char *prefix, uint64_t after_revision,
			    apr_time_t wait);
	int (*parse_era)(const struct message *answer, uint32_t *era,
			 struct tr_error *err);
	int (*parse_page)(const char *body, size_t len, struct store_page *page,
			  struct tr_error *err);
	int history_lost_status;
	bool (*is_routes_key)(const char *key);
	bool (*is_target_key)(const char *key);
	struct tr_routes *(*parse_routes)(const struct store_item *item,
					  struct tr_error *err);
	int (*parse_target)(const struct store_item *item,
			    struct tr_target_record *record,
			    struct tr_error *err);
};

void store_page_init(struct store_page *page);
void store_page_set_era(struct store_page *page, uint32_t era);
void store_page_clear(struct store_page *page);

#endif
