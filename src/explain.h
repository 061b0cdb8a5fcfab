#ifndef EXPLAIN_H
#define EXPLAIN_H

#include <stdbool.h>
#include <stdio.h>

#include "logline.h"

/* What a request's failure is put down to. */
enum explain_cause {
	EXPLAIN_SERVED,
	EXPLAIN_CALLER_LEFT,
	EXPLAIN_TARGET_SICK,
	EXPLAIN_TARGET_ONCE,
	EXPLAIN_PATH,
	EXPLAIN_SHORT_TIME,
	EXPLAIN_NO_ROOM,
	EXPLAIN_LIMITED,
	EXPLAIN_SHED,
	EXPLAIN_NO_LIST,
	EXPLAIN_OLD_ROUTES,
	EXPLAIN_NO_ROUTE,
	EXPLAIN_OVER_LIMIT,
	EXPLAIN_UNPROVEN,
	EXPLAIN_UNKNOWN_KEY,
	EXPLAIN_FATAL,
	EXPLAIN_FATAL_REFUSED,
	EXPLAIN_VM,
	EXPLAIN_UNKNOWN,
};

/* How a target did around a request, by the lines of all VMs. */
struct explain_target {
	char id[64];
	double risk;
	unsigned there;
	unsigned answered;
	unsigned failed;
	unsigned vms_failed;
};

/* Everything that the logs hold of one request. */
struct explain_story {
	const struct logline *end;
	struct explain_target tried[8];
	unsigned tried_count;
	const struct logline *routes;
	double newer_routes_elsewhere;
	unsigned newest_version;
	const struct logline *disturbance;
	const struct logline *fatal;
	enum explain_cause cause;
};

bool explain(const GPtrArray *lines, const char *id,
	     struct explain_story *story);
const char *explain_cause_text(enum explain_cause cause);
void explain_print(const GPtrArray *lines, const struct explain_story *story,
		   FILE *out);

#endif
