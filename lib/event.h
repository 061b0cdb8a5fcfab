/* The event log of a VM: a ring of its latest events, shown as a time line. */
#ifndef TR_EVENT_H
#define TR_EVENT_H

#include <stdint.h>

#include "hlc.h"

#define TR_EVENT_RING 2048

/* Columns: enum name, name in the output. */
#define TR_EVENTS(X)                            \
	X(START, "start")                       \
	X(STOP, "stop")                         \
	X(DOCUMENT, "document-in-force")        \
	X(REFUSED, "document-refused")          \
	X(LIST, "list-in-force")                \
	X(PEER_UP, "peer-up")                   \
	X(PEER_DOWN, "peer-down")               \
	X(PEER_REPLACED, "peer-replaced")       \
	X(OWNER, "owner")                       \
	X(OWNER_LOST, "owner-lost")             \
	X(AVOID, "target-avoided")              \
	X(USE, "target-used-again")             \
	X(EJECT, "target-ejected")              \
	X(PROBATION, "target-on-probation")     \
	X(RESTORE, "target-restored")           \
	X(FLOOR, "floor-held")                  \
	X(LEAVING, "target-leaving")            \
	X(SUSPECT_SELF, "suspects-itself")      \
	X(TRUST_SELF, "trusts-itself")          \
	X(PLATFORM_DOWN, "platform-down")       \
	X(PLATFORM_UP, "platform-up")           \
	X(OLD_REVISION, "old-revision-refused") \
	X(FAULT, "fault-injected")

enum tr_event_kind {
#define TR_EVENT_ENUM(name, text) TR_EVENT_##name,
	TR_EVENTS(TR_EVENT_ENUM)
#undef TR_EVENT_ENUM
};

/* One event, with the time of a hybrid logical clock. */
struct tr_event {
	struct tr_hlc when;
	enum tr_event_kind kind;
	char service[48];
	char subject[48];
	char detail[96];
};

/* The newest TR_EVENT_RING events, and the number of events ever appended. */
struct tr_event_ring {
	struct tr_hlc clock;
	uint64_t count;
	struct tr_event events[TR_EVENT_RING];
};

void tr_event_append(struct tr_event_ring *ring, uint64_t wall,
		     enum tr_event_kind kind, const char *service,
		     const char *subject, const char *detail, ...)
	__attribute__((format(printf, 6, 7)));
const struct tr_event *tr_event_get(const struct tr_event_ring *ring,
				    uint64_t number);
uint64_t tr_event_first(const struct tr_event_ring *ring);
const char *tr_event_name(enum tr_event_kind kind);

#endif
