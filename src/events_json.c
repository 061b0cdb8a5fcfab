#include "events_json.h"

#include "event.h"

static json_t *event_to_json(const struct tr_event *ev)
{
	return json_pack("{s:I, s:I, s:s, s:s, s:s, s:s}", "wall",
			 (json_int_t)ev->when.wall, "count",
			 (json_int_t)ev->when.count, "kind",
			 tr_event_name(ev->kind), "service", ev->service,
			 "subject", ev->subject, "detail", ev->detail);
}

/* Returns the events that the ring still holds, from sequence number since on,
 * and as "next" the number of the next event. */
json_t *events_json(const struct tr_event_ring *ring, const char *process,
		    unsigned long long since)
{
	json_t *list = json_array();
	uint64_t first = tr_event_first(ring);

	if (since > first)
		first = since;
	for (uint64_t i = first; i < ring->count; i++)
		json_array_append_new(list,
				      event_to_json(tr_event_get(ring, i)));
	return json_pack("{s:s, s:I, s:o}", "process", process, "next",
			 (json_int_t)ring->count, "events", list);
}
