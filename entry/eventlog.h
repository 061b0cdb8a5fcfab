#ifndef EVENTLOG_H
#define EVENTLOG_H

#include <stdint.h>

/* What a line is about; under load the last kinds are left out first. */
enum event_class {
	EVENT_LIFE,
	EVENT_FAILURE,
	EVENT_BELIEF,
	EVENT_REQUEST,
	EVENT_CLASSES,
};

void eventlog_setup(const char *vm);
void eventlog(enum event_class class, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
void eventlog_flush(void);
uint64_t eventlog_dropped(enum event_class class);

#endif
