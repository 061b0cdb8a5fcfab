#ifndef LOSSES_H
#define LOSSES_H

#include <jansson.h>
#include <stdio.h>

#include "logline.h"

/* What a request that was not served is put down to; LATE was served beyond its
 * aim. */
enum loss_cause {
	LOSS_TARGET_ERROR,
	LOSS_FIRST_AT_GRAY,
	LOSS_BEFORE_KNOWN,
	LOSS_FLOOR,
	LOSS_SECOND_ATTEMPT,
	LOSS_KNOWN_GRAY,
	LOSS_TIME_OVER,
	LOSS_SHED,
	LOSS_FATAL,
	LOSS_BOUND,
	LOSS_NO_ROOM,
	LOSS_LIMITED,
	LOSS_PATH,
	LOSS_NO_LIST,
	LOSS_LATE,
	LOSS_CAUSES,
};

/* The requests of one kind for one service, and of one second of the logs. */
struct loss_row {
	char service[64];
	char kind[16];
	unsigned asked;
	unsigned lost[LOSS_CAUSES];
};

struct loss_second {
	unsigned asked;
	unsigned lost[LOSS_CAUSES];
};

/* rows holds struct loss_row, seconds struct loss_second from the first on. */
struct losses {
	GArray *rows;
	GArray *seconds;
	double first;
};

void losses_count(struct losses *losses, const GPtrArray *lines);
void losses_free(struct losses *losses);
const char *loss_cause_word(enum loss_cause cause);
const char *loss_cause_text(enum loss_cause cause);
void losses_print(const struct losses *losses, FILE *out);
json_t *losses_json(const struct losses *losses);
char *losses_svg(const struct losses *losses);

#endif
