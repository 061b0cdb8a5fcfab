#ifndef DESK_H
#define DESK_H

#include "entry.h"

extern const struct listener_calls desk_directory;
extern const struct listener_calls desk_readiness;
extern const struct listener_calls desk_metrics;

#endif
