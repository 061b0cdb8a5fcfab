#include "event.h"

#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

/* Put an event at the ring's end; the oldest gives way. wall is in us. */
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

/* The number of the oldest event still kept. */
uint64_t tr_event_first(const struct tr_event_ring *ring)
{
	return ring->count > TR_EVENT_RING ? ring->count - TR_EVENT_RING : 0;
}

/* An event by its number, or NULL when it is not kept. */
const struct tr_event *tr_event_get(const struct tr_event_ring *ring,
				    uint64_t number)
{
	if (number >= ring->count || number < tr_event_first(ring))
		return NULL;
	return &ring->events[number % TR_EVENT_RING];
}

const char *tr_event_name(enum tr_event_kind kind)
{
	static const char *const words[] = {
#define TR_EVENT_WORD(name, word) word,
		TR_EVENTS(TR_EVENT_WORD)
#undef TR_EVENT_WORD
	};

	return words[kind];
}
