/*
 * Admission control: a bounded queue of requests that wait for a slot at a
 * target.
 */
#ifndef TR_ADMIT_H
#define TR_ADMIT_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

#include "document.h"
#include "result.h"

#define TR_QUEUE_MAX   4096
#define TR_QUEUE_LANES 32
/* Index that stands for no waiting request. */
#define TR_NO_WAITER UINT32_MAX

/* A request that waits for a slot. */
struct tr_waiter {
	void *owner; /* opaque to the queue */
	apr_time_t deadline;
	uint64_t organisation;
	enum tr_priority priority;
	uint32_t next;
	uint32_t prev;
	uint32_t lane;
	bool used;
};

/* A FIFO queue of the waiting requests of some organisations. */
struct tr_lane {
	uint32_t head;
	uint32_t tail;
	uint32_t length;
};

/*
 * A queue by priority. Within a priority, organisations are hashed to lanes,
 * which are served round-robin, so that a busy organisation delays mostly
 * itself.
 */
struct tr_queue {
	struct tr_waiter *waiters;
	uint32_t capacity;
	uint32_t length;
	uint32_t free_head;
	uint32_t by_priority[TR_PRIORITIES];
	struct tr_lane lanes[TR_PRIORITIES][TR_QUEUE_LANES];
	uint32_t next_lane[TR_PRIORITIES]; /* the one to serve next */
	double rate;   /* waiting requests served a second, smoothed */
	double served; /* since rated_at */
	apr_time_t rated_at;
};

int tr_queue_init(struct tr_queue *q, uint32_t capacity);
void tr_queue_release(struct tr_queue *q);
enum tr_result tr_queue_push(struct tr_queue *q,
			     const struct tr_waiter *request,
			     uint32_t share_percent, apr_time_t work,
			     apr_time_t now, uint32_t *slot, void **evicted);
void *tr_queue_pop(struct tr_queue *q, apr_time_t now);
void *tr_queue_pop_late(struct tr_queue *q, apr_time_t work, apr_time_t now);
void tr_queue_cancel(struct tr_queue *q, uint32_t slot);
void tr_queue_update_rate(struct tr_queue *q, apr_time_t now);
uint32_t tr_queue_retry_after_ms(const struct tr_queue *q);

#endif
