/* Compares the predicted risk of targets with their failures in the logs. */
#ifndef CALIBRATION_H
#define CALIBRATION_H

#include <stdio.h>

#include "logline.h"

#define CALIBRATION_BINS 10

/*
 * Requests whose first target had a predicted risk, the probability of being
 * gray, in one range.
 */
struct calibration_bin {
	unsigned attempts;
	double predicted;  /* sum of the predicted risks */
	unsigned failures; /* failed, or sent again */
};

struct calibration {
	struct calibration_bin non_retryable[CALIBRATION_BINS];
	struct calibration_bin retryable[CALIBRATION_BINS];
};

void calibration_count(struct calibration *c, const GPtrArray *lines);
unsigned calibration_print(const struct calibration *c, FILE *out);

#endif
