#ifndef EVENTS_JSON_H
#define EVENTS_JSON_H

#include <jansson.h>

struct tr_event_ring;

json_t *events_json(const struct tr_event_ring *ring, const char *process,
		    unsigned long long since);

#endif
