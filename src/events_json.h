#ifndef EVENTS_JSON_H
#define EVENTS_JSON_H

#include <jansson.h>

/* JSON form of a process's events, as served at /v1/events for the timeline. */

struct tr_event_ring;

json_t *events_json(const struct tr_event_ring *ring, const char *process,
		    unsigned long long since);

#endif
