/* Connections to targets: by this VM itself, or through another VM. */
#ifndef DIAL_H
#define DIAL_H

#include "message.h"
#include "relay.h"
#include "stream.h"

struct entry;
struct dial_peer;

/* Exactly one of them is called, unless the dial is cancelled. */
struct dial_callbacks {
	/*
	 * The owner takes the stream over with stream_move(). peer: the
	 * address of the VM that it goes through, or 0.
	 */
	void (*connected)(void *ctx, struct stream *s, uint32_t peer);
	void (*failed)(void *ctx);
};

/* One attempt to connect to a target. */
struct dial {
	struct entry *e;
	const struct dial_callbacks *calls;
	void *ctx;
	bool active;
	bool own_only; /* asks no other VM */
	uint32_t row;
	uint32_t hash;
	apr_time_t started_at;
	struct stream own;
	bool own_pending;
	bool refused;	     /* nothing listens at the target */
	unsigned no_answers; /* VMs that did not reach it either */
	struct dial_peer *peers[TR_RELAY_MAX_ASKED];
	uint32_t asked[TR_RELAY_MAX_ASKED];
	unsigned asked_count;
	struct loop_timer *timer;
};

int dial_start(struct dial *d, struct entry *e, uint32_t row,
	       const struct dial_callbacks *calls, void *ctx);
void dial_cancel(struct dial *d);
bool dial_failure_is_confirmed(const struct dial *d);

#endif
