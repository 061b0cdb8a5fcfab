#ifndef EXPLAIN_H
#define EXPLAIN_H

#include <stdbool.h>
#include <stdio.h>

#include "logline.h"

/*
 * Finds the cause of a single request's failure in the logs of all VMs, for
 * "toucanreel explain".
 */

/* The cause that a request's result is attributed to. */
enum explain_cause {
	EXPLAIN_SERVED,
	EXPLAIN_CALLER_DISCONNECTED,
	EXPLAIN_TARGET_FAILING,
	EXPLAIN_SINGLE_FAILURE,
	EXPLAIN_TARGET_UNREACHABLE,
	EXPLAIN_DEADLINE_TOO_SHORT,
	EXPLAIN_NO_FREE_SLOT,
	EXPLAIN_TARGET_LIMITS,
	EXPLAIN_BODY_TOO_LARGE,
	EXPLAIN_SHED,
	EXPLAIN_STALE_TARGET_LIST,
	EXPLAIN_STALE_CONFIG,
	EXPLAIN_NO_ROUTE,
	EXPLAIN_ORGANISATION_LIMIT,
	EXPLAIN_KEYS_UNVERIFIED,
	EXPLAIN_UNKNOWN_KEY,
	EXPLAIN_FATAL,
	EXPLAIN_FATAL_REFUSED,
	EXPLAIN_VM_PAUSED,
	EXPLAIN_UNKNOWN,
};

/* The results of other requests at a target at about the same time. */
struct explain_target {
	char id[64];
	double risk; /* of being gray, as estimated when it was chosen */
	unsigned in_flight;
	unsigned answered;
	unsigned failed;
	unsigned vms_with_failures;
};

/* What the logs contain about one request; the lines belong to the caller. */
struct explain_report {
	/* The line that the VM wrote at the request's end. */
	const struct logline *request;
	struct explain_target tried[8];
	unsigned tried_count;
	/* When the VM loaded the configuration that it used. */
	const struct logline *config_line;
	/* How long before the start another VM had a newer configuration, and
	 * its version, or 0 if there was none. */
	double newer_config_age_s;
	unsigned newer_version;
	/* A pause, start, stop or loss of state of the VM itself. */
	const struct logline *vm_event;
	/* When the request was first refused for crashing targets. */
	const struct logline *fatal_event;
	enum explain_cause cause;
};

bool explain(const GPtrArray *lines, const char *id,
	     struct explain_report *report);
const char *explain_cause_text(enum explain_cause cause);
void explain_print(const GPtrArray *lines, const struct explain_report *report,
		   FILE *out);

#endif
