#ifndef IDLE_H
#define IDLE_H

/* Logs idle targets and services that fall short of their floor. */
#include "entry.h"

void idle_step(struct entry *e, apr_time_t now);

#endif
