#ifndef LOSSES_H
#define LOSSES_H

#include <jansson.h>
#include <stdio.h>

#include "logline.h"

/*
 * Counts the requests that were not served, by cause, from the logs of all VMs,
 * for "toucanreel losses".
 */

/* The causes of requests that were not served. Requests with LOSS_LATE were
 * served, but took longer than their target latency. */
enum loss_cause {
	LOSS_TARGET_ERROR,
	LOSS_FIRST_AT_GRAY,
	LOSS_BEFORE_DETECTED,
	LOSS_FLOOR,
	LOSS_LAST_ATTEMPT,
	LOSS_KNOWN_GRAY,
	LOSS_TIMEOUT,
	LOSS_SHED,
	LOSS_FATAL,
	LOSS_REPEAT_BUDGET,
	LOSS_NO_FREE_SLOT,
	LOSS_TARGET_LIMITS,
	LOSS_BODY_TOO_LARGE,
	LOSS_UNREACHABLE,
	LOSS_NO_TARGETS,
	LOSS_LATE,
	LOSS_CAUSE_COUNT,
};

/* The requests of one kind for one service. */
struct loss_row {
	char service[64];
	char kind[16];
	unsigned requests;
	unsigned lost[LOSS_CAUSE_COUNT];
};

/* The requests that started in one second of the logs. */
struct loss_second {
	unsigned requests;
	unsigned lost[LOSS_CAUSE_COUNT];
};

struct losses {
	GArray *rows;	 /* of struct loss_row */
	GArray *seconds; /* of struct loss_second, from start on */
	double start;	 /* in seconds of the wall clock */
};

void losses_count(struct losses *losses, const GPtrArray *lines);
void losses_free(struct losses *losses);
const char *loss_cause_name(enum loss_cause cause);
const char *loss_cause_description(enum loss_cause cause);
void losses_print(const struct losses *losses, FILE *out);
json_t *losses_json(const struct losses *losses);
char *losses_svg(const struct losses *losses);

#endif
