#ifndef ENDPOINTS_H
#define ENDPOINTS_H

/* HTTP endpoints for lookups, readiness and metrics. */
#include "entry.h"

extern const struct listener_callbacks endpoints_directory;
extern const struct listener_callbacks endpoints_readiness;
extern const struct listener_callbacks endpoints_metrics;

#endif
