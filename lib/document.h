/*
 * A team's document, which configures its service: the routes, the targets and
 * the limits. Read and checked whenever a new revision is published.
 */
#ifndef TR_DOCUMENT_H
#define TR_DOCUMENT_H

#include <stddef.h>
#include <stdint.h>

struct tr_error;

#define TR_MAX_TARGETS	64
#define TR_MAX_VANTAGES 8
#define TR_MAX_CELL	16
#define TR_NAME_MAX	47

/* Whether a request of a route may be sent more than once. */
enum tr_repeat {
	TR_REPEAT_IDEMPOTENT,
	TR_REPEAT_NEVER,
};

/* Which requests go first when slots are scarce. */
enum tr_priority {
	TR_PRIORITY_MUST,
	TR_PRIORITY_NORMAL,
	TR_PRIORITY_SHED_FIRST,
	TR_PRIORITIES,
};

/* How sick targets are detected, see detector.h. */
enum tr_detector_kind {
	TR_DETECTOR_CUSUM,
	TR_DETECTOR_HEALTH,
	TR_DETECTOR_CONSECUTIVE,
	TR_DETECTOR_SUCCESS_RATE,
};

/* How requests below a path are handled. */
struct tr_route {
	char *path;
	char **methods; /* none: every method */
	unsigned methods_count;
	enum tr_repeat repeat;
	enum tr_priority priority;
	uint32_t deadline_ms; /* 0: that of the service */
};

struct tr_listed_target {
	char *name;
	char *address;
	char *data_centre;
};

/* How readily targets are ejected. */
struct tr_ejection_rules {
	double false_per_day; /* accepted false ejections a day */
	uint32_t detect_ms;   /* how long a target must fail */
	enum tr_detector_kind detector;
};

/*
 * The settings of one service; exactly one of targets and target_list is set.
 */
struct tr_document {
	char *service;
	char *team;
	char **data_centres;
	unsigned data_centres_count;
	char *target_list; /* name of a published list */
	struct tr_listed_target *targets;
	unsigned targets_count;
	uint32_t floor; /* targets that must stay in use */
	struct tr_ejection_rules ejection;
	uint32_t slots; /* concurrent requests at one target */
	uint32_t connections;
	uint32_t cell;	 /* VMs that serve the service */
	uint32_t keep_s; /* how long callers keep a looked-up address */
	uint32_t leave_s;
	uint32_t cold_s; /* how long a new target gets one request at a time */
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
