#ifndef ENDPOINTS_H
#define ENDPOINTS_H

#include "entry.h"

extern const struct listener_calls endpoints_directory;
extern const struct listener_calls endpoints_readiness;
extern const struct listener_calls endpoints_metrics;

#endif
