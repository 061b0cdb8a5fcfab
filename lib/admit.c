/*
 * Admission control. Requests that cannot be answered before their deadline are
 * refused at once instead of being queued.
 */
#include "admit.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"

#define RATE_PERIOD	TR_MSEC(200)
#define RATE_WEIGHT_OLD 0.6
#define MIN_RATE	1.0

/*
 * Makes room for capacity waiting requests. Returns 0, or -1 when out of
 * memory.
 */
int tr_queue_init(struct tr_queue *q, uint32_t capacity)
{
	memset(q, 0, sizeof(*q));
	q->waiters = calloc(capacity, sizeof(*q->waiters));
	if (!q->waiters)
		return -1;
	q->capacity = capacity;
	for (uint32_t i = 0; i < capacity; i++)
		q->waiters[i].next = i + 1 < capacity ? i + 1 : TR_NO_WAITER;
	for (int p = 0; p < TR_PRIORITIES; p++)
		for (int l = 0; l < TR_QUEUE_LANES; l++)
			q->lanes[p][l] = (struct tr_lane){ TR_NO_WAITER,
							   TR_NO_WAITER, 0 };
	return 0;
}

void tr_queue_release(struct tr_queue *q)
{
	free(q->waiters);
	memset(q, 0, sizeof(*q));
}

static struct tr_lane *lane_of(struct tr_queue *q, const struct tr_waiter *w)
{
	return &q->lanes[w->priority][w->lane];
}

static void unlink_waiter(struct tr_queue *q, uint32_t i)
{
	struct tr_waiter *w = &q->waiters[i];
	struct tr_lane *lane = lane_of(q, w);

	if (w->prev != TR_NO_WAITER)
		q->waiters[w->prev].next = w->next;
	else
		lane->head = w->next;
	if (w->next != TR_NO_WAITER)
		q->waiters[w->next].prev = w->prev;
	else
		lane->tail = w->prev;
	lane->length--;
	q->by_priority[w->priority]--;
	q->length--;
	w->used = false;
	w->owner = NULL;
	w->next = q->free_head;
	q->free_head = i;
}

static void link_waiter(struct tr_queue *q, uint32_t i)
{
	struct tr_waiter *w = &q->waiters[i];
	struct tr_lane *lane = lane_of(q, w);

	w->used = true;
	w->next = TR_NO_WAITER;
	w->prev = lane->tail;
	if (lane->tail != TR_NO_WAITER)
		q->waiters[lane->tail].next = i;
	else
		lane->head = i;
	lane->tail = i;
	lane->length++;
	q->by_priority[w->priority]++;
	q->length++;
}

/* Counts the waiting requests of the same or a higher priority. */
static uint32_t count_ahead(const struct tr_queue *q, enum tr_priority priority)
{
	uint32_t ahead = 0;

	for (int p = 0; p <= (int)priority; p++)
		ahead += q->by_priority[p];
	return ahead;
}

/*
 * Returns the newest waiter in the longest lane of the lowest priority that is
 * below this one, or TR_NO_WAITER.
 */
static uint32_t find_evictable(const struct tr_queue *q, enum tr_priority mine)
{
	for (int p = TR_PRIORITIES - 1; p > (int)mine; p--) {
		const struct tr_lane *longest = &q->lanes[p][0];

		if (!q->by_priority[p])
			continue;
		for (int l = 1; l < TR_QUEUE_LANES; l++)
			if (q->lanes[p][l].length > longest->length)
				longest = &q->lanes[p][l];
		return longest->tail;
	}
	return TR_NO_WAITER;
}

/*
 * Returns whether a request that takes work us would miss its deadline, given
 * the queue ahead.
 */
static bool would_be_late(const struct tr_queue *q, const struct tr_waiter *w,
			  apr_time_t work, apr_time_t now)
{
	double rate = q->rate > MIN_RATE ? q->rate : MIN_RATE;
	apr_time_t wait =
		(apr_time_t)(count_ahead(q, w->priority) / rate * 1e6);

	return now + work > w->deadline ||
	       (q->rate > 0 && now + wait + work > w->deadline);
}

/*
 * Queues a request. work is how long such requests usually take, in us. TR_OK:
 * it waits in *slot, and *evicted, unless NULL, is the owner of a request of
 * lower priority that was removed for it. Any other code says why it was
 * refused.
 *
 * Without the check against the deadline, under three times the load the queue
 * fills with requests whose callers have given up, every slot is spent on them,
 * and goodput falls towards zero while all targets are busy.
 */
enum tr_result tr_queue_push(struct tr_queue *q,
			     const struct tr_waiter *request,
			     uint32_t share_percent, apr_time_t work,
			     apr_time_t now, uint32_t *slot, void **evicted)
{
	struct tr_waiter w = *request;
	uint32_t share = q->capacity * share_percent / 100 + 1;
	uint32_t i;

	*evicted = NULL;
	*slot = TR_NO_WAITER;
	w.lane = (uint32_t)(w.organisation % TR_QUEUE_LANES);
	if (would_be_late(q, &w, work, now))
		return TR_WOULD_BE_LATE;
	if (w.organisation && lane_of(q, &w)->length >= share)
		return TR_OVER_SHARE;
	if (q->free_head == TR_NO_WAITER || q->length >= q->capacity) {
		uint32_t lower = find_evictable(q, w.priority);

		if (lower == TR_NO_WAITER)
			return TR_QUEUE_FULL;
		*evicted = q->waiters[lower].owner;
		unlink_waiter(q, lower);
	}
	if (!q->length) {
		q->rated_at = now;
		q->served = 0;
	}
	i = q->free_head;
	q->free_head = q->waiters[i].next;
	q->waiters[i] = w;
	link_waiter(q, i);
	*slot = i;
	return TR_OK;
}

/*
 * Removes the next request to serve and returns its owner, or NULL if the queue
 * is empty.
 */
void *tr_queue_pop(struct tr_queue *q, apr_time_t now)
{
	for (int p = 0; p < TR_PRIORITIES; p++) {
		if (!q->by_priority[p])
			continue;
		for (uint32_t n = 0; n < TR_QUEUE_LANES; n++) {
			uint32_t l = (q->next_lane[p] + n) % TR_QUEUE_LANES;
			uint32_t i = q->lanes[p][l].head;
			void *owner;

			if (i == TR_NO_WAITER)
				continue;
			q->next_lane[p] = l + 1;
			owner = q->waiters[i].owner;
			unlink_waiter(q, i);
			q->served += 1;
			tr_queue_update_rate(q, now);
			return owner;
		}
	}
	return NULL;
}

/*
 * Removes one request that cannot be answered in time any more and returns its
 * owner, or NULL if there is none. Looks at the head of every lane; call until
 * NULL.
 */
void *tr_queue_pop_late(struct tr_queue *q, apr_time_t work, apr_time_t now)
{
	for (int p = 0; p < TR_PRIORITIES; p++) {
		for (int l = 0; q->by_priority[p] && l < TR_QUEUE_LANES; l++) {
			uint32_t i = q->lanes[p][l].head;
			void *owner;

			if (i == TR_NO_WAITER ||
			    q->waiters[i].deadline >= now + work)
				continue;
			owner = q->waiters[i].owner;
			unlink_waiter(q, i);
			return owner;
		}
	}
	return NULL;
}

/* Removes a waiting request that was cancelled. */
void tr_queue_cancel(struct tr_queue *q, uint32_t slot)
{
	if (slot < q->capacity && q->waiters[slot].used)
		unlink_waiter(q, slot);
}

/*
 * Updates the rate at which waiting requests are served, per second. It is
 * measured only while some wait: the rate of an idle queue says nothing about
 * capacity.
 */
void tr_queue_update_rate(struct tr_queue *q, apr_time_t now)
{
	double per_s;

	if (now - q->rated_at < RATE_PERIOD)
		return;
	per_s = q->served * 1e6 / (double)(now - q->rated_at);
	q->rate = q->rate > 0 ? q->rate * RATE_WEIGHT_OLD +
					per_s * (1 - RATE_WEIGHT_OLD)
			      : per_s;
	q->served = 0;
	q->rated_at = now;
}

/* Returns when a refused caller should try again, in milliseconds. */
uint32_t tr_queue_retry_after_ms(const struct tr_queue *q)
{
	double rate = q->rate > MIN_RATE ? q->rate : MIN_RATE;
	double ms = (q->length + 1) / rate * 1000;

	if (ms < 50)
		return 50;
	return ms > 5000 ? 5000 : (uint32_t)ms;
}
