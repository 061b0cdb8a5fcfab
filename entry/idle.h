#ifndef IDLE_H
#define IDLE_H

/*
 * Logs idle and slow targets, and services that fall short of their floor.
 */
#include "entry.h"

void idle_step(struct entry *e, apr_time_t now);
unsigned idle_count_slow(const struct entry *e);

#endif
