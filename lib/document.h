#ifndef TR_DOCUMENT_H
#define TR_DOCUMENT_H

#include <stddef.h>
#include <stdint.h>

struct tr_error;

#define TR_MAX_TARGETS	64
#define TR_MAX_VANTAGES 8
#define TR_MAX_CELL	16
#define TR_NAME_MAX	47

enum tr_repeat {
	TR_REPEAT_IDEMPOTENT,
	TR_REPEAT_NEVER,
};

enum tr_priority {
	TR_PRIORITY_MUST,
	TR_PRIORITY_NORMAL,
	TR_PRIORITY_SHED_FIRST,
	TR_PRIORITIES,
};

enum tr_detector_kind {
	TR_DETECTOR_CUSUM,
	TR_DETECTOR_HEALTH,
	TR_DETECTOR_CONSECUTIVE,
	TR_DETECTOR_SUCCESS_RATE,
};

/* How requests below a path are treated. deadline_ms 0: the service's. */
struct tr_route {
	char *path;
	char **methods;
	unsigned methods_count;
	enum tr_repeat repeat;
	enum tr_priority priority;
	uint32_t deadline_ms;
};

struct tr_listed_target {
	char *name;
	char *address;
	char *data_centre;
};

struct tr_ejection_rules {
	double false_per_day;
	uint32_t detect_ms;
	enum tr_detector_kind detector;
};

/*
 * A team's document: how its service should be treated. Exactly one of
 * targets and target_list says which targets there are.
 */
struct tr_document {
	char *service;
	char *team;
	char **data_centres;
	unsigned data_centres_count;
	char *target_list;
	struct tr_listed_target *targets;
	unsigned targets_count;
	uint32_t floor;
	struct tr_ejection_rules ejection;
	uint32_t slots;
	uint32_t connections;
	uint32_t cell;
	uint32_t keep_s;
	uint32_t leave_s;
	uint32_t cold_s;
	uint32_t deadline_ms;
	uint32_t max_body_mb;
	uint32_t retry_percent;
	uint32_t queue;
	uint32_t share_percent;
	struct tr_route *routes;
	unsigned routes_count;
};

void tr_document_defaults(struct tr_document *doc);
int tr_document_check(const struct tr_document *doc, struct tr_error *err);
const struct tr_route *tr_document_route(const struct tr_document *doc,
					 const char *method, const char *path);
uint32_t tr_document_deadline(const struct tr_document *doc,
			      const struct tr_route *route);
int tr_document_vantage(const struct tr_document *doc, const char *data_centre);

#endif
