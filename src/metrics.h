/* Counters and gauges in the text format of Prometheus. */
#ifndef METRICS_H
#define METRICS_H

struct operator_parts;

char *metrics_text(const struct operator_parts *parts);

#endif
