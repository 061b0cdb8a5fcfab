#ifndef REPEAT_H
#define REPEAT_H

/* The fleet's bound on repeats, that is on requests sent to one more target. */
#include "entry.h"

bool repeat_admit(struct entry *e, uint32_t service);
void repeat_step(struct entry *e, apr_time_t now);

#endif
