/* The ring of events. */
#include "event.h"

#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

/*
 * Appends an event, overwriting the oldest if the ring is full. wall is the
 * wall clock in us; service and subject may be NULL.
 */
void tr_event_append(struct tr_event_ring *ring, uint64_t wall,
		     enum tr_event_kind kind, const char *service,
		     const char *subject, const char *detail, ...)
{
	struct tr_event *ev = &ring->events[ring->count % TR_EVENT_RING];
	va_list ap;

	ev->when = tr_hlc_tick(&ring->clock, wall);
	ev->kind = kind;
	snprintf(ev->service, sizeof(ev->service), "%s",
		 service ? service : "");
	snprintf(ev->subject, sizeof(ev->subject), "%s",
		 subject ? subject : "");
	va_start(ap, detail);
	vsnprintf(ev->detail, sizeof(ev->detail), detail, ap);
	va_end(ap);
	ring->count++;
}

/* Returns the number of the oldest event that is kept. */
uint64_t tr_event_first(const struct tr_event_ring *ring)
{
	return ring->count > TR_EVENT_RING ? ring->count - TR_EVENT_RING : 0;
}

/* Returns an event by its number, or NULL if it is not kept. */
const struct tr_event *tr_event_get(const struct tr_event_ring *ring,
				    uint64_t number)
{
	if (number >= ring->count || number < tr_event_first(ring))
		return NULL;
	return &ring->events[number % TR_EVENT_RING];
}

/* Returns the event kind's name in the output, such as "peer-up". */
const char *tr_event_name(enum tr_event_kind kind)
{
	static const char *const names[] = {
#define TR_EVENT_NAME(name, text) text,
		TR_EVENTS(TR_EVENT_NAME)
#undef TR_EVENT_NAME
	};

	return names[kind];
}
