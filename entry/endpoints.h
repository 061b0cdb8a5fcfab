#ifndef ENDPOINTS_H
#define ENDPOINTS_H

#include "entry.h"

extern const struct listener_callbacks endpoints_directory;
extern const struct listener_callbacks endpoints_readiness;
extern const struct listener_callbacks endpoints_metrics;

#endif
