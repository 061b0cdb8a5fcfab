#ifndef IDLE_H
#define IDLE_H

#include "entry.h"

void idle_step(struct entry *e, apr_time_t now);

#endif
