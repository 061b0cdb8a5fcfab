#ifndef CALIBRATION_H
#define CALIBRATION_H

#include <stdio.h>

#include "logline.h"

#define CALIBRATION_BINS 10

/* Requests whose first target was chosen with a chance of being gray in one
 * range: the sum of what was stated, and how many went wrong there. */
struct calibration_bin {
	unsigned attempts;
	double stated;
	unsigned wrong;
};

/* What must run once, and what may be sent once more. */
struct calibration {
	struct calibration_bin once[CALIBRATION_BINS];
	struct calibration_bin repeatable[CALIBRATION_BINS];
};

void calibration_count(struct calibration *c, const GPtrArray *lines);
unsigned calibration_print(const struct calibration *c, FILE *out);

#endif
