#ifndef EVENTLOG_H
#define EVENTLOG_H

#include <stdint.h>

/* Class of a line. Under load, the later classes are dropped first. */
enum event_class {
	EVENT_LIFECYCLE, /* start, stop and reload of this process */
	EVENT_FAILURE,
	EVENT_STATE, /* a change in what this VM knows of the fleet */
	EVENT_REQUEST,
	EVENT_CLASSES,
};

void eventlog_setup(const char *vm);
void eventlog(enum event_class class, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
void eventlog_flush(void);
uint64_t eventlog_dropped(enum event_class class);

#endif
