#ifndef IDLE_H
#define IDLE_H

/*
 * Log lines about idle targets and about services that fall short of the floor.
 */
#include "entry.h"

void idle_step(struct entry *e, apr_time_t now);

#endif
