#ifndef DESK_H
#define DESK_H

#include "entry.h"

extern const struct door_calls desk_directory;
extern const struct door_calls desk_readiness;
extern const struct door_calls desk_metrics;

#endif
