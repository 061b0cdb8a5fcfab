/*
 * Connections to targets, kept for the next request that may be sent once more.
 * A new connection costs a round trip, a millisecond of one of the target's
 * slots, and what operators charge for it.
 *
 * What goes wrong: targets drop resting connections, some sooner than they say
 * and without a word; what is sent on one then is reset, or lost. One would
 * notice by reads that begin with a reset. So a request that must run once
 * never goes on a kept connection; how long one may rest is learned from those
 * that were dead; and after a dead one the older ones are closed too.
 */
#include "kept.h"

#include <stdlib.h>

#include "entry.h"

/* Of the time that a target lets a connection rest; the rest is for the way of
 * the next request. */
#define REST_PART 0.7
/* A connection that rested shorter is tried whatever was learned, and how long
 * one may rest at most. */
#define REST_LEAST TR_MSEC(50)
#define REST_FIRST TR_MSEC(8000)
/* A dead one allows the others half of its rest; each second without one lets
 * them rest so much longer again, so it takes 13 s from the least to the most.
 */
#define REST_DEAD_PART 0.5
#define REST_GROWTH    1.5
#define REST_GROWS     TR_SEC(1)
/* Connections kept at most: so many targets of its data centre a VM sends to
 * within the time that they rest. */
#define KEPT_MOST 128

struct pooled_stream {
	struct entry *e;
	struct pooled_stream *next;
	struct stream stream;
	uint32_t row;
	uint32_t hash;
	apr_time_t since;
	apr_time_t until;
};

static void drop(struct pooled_stream *k)
{
	struct kept *kept = &k->e->kept;
	struct pooled_stream **at = &kept->first;

	while (*at != k)
		at = &(*at)->next;
	*at = k->next;
	kept->count--;
	if (k->e->roster.rows[k->row].hash == k->hash)
		k->e->roster.rows[k->row].kept--;
	stream_close(&k->stream);
	free(k);
}

/* Bytes that belong to no request: the connection can't be trusted. */
static void received(void *ctx, const char *data, size_t len)
{
	(void)data;
	(void)len;
	drop(ctx);
}

static void ended(void *ctx, enum stream_end why)
{
	(void)why;
	drop(ctx);
}

static const struct stream_calls resting = {
	.received = received,
	.ended = ended,
};

static struct pooled_stream *oldest(const struct kept *kept)
{
	struct pooled_stream *found = kept->first;

	for (struct pooled_stream *k = kept->first; k; k = k->next)
		if (k->since < found->since)
			found = k;
	return found;
}

/* Keep the connection, which the target lets rest for so long. The stream is
 * taken over. */
void conn_pool_put(struct entry *e, struct stream *stream, uint32_t row,
		   uint32_t hash, apr_time_t rest)
{
	struct kept *kept = &e->kept;
	struct pooled_stream *k = calloc(1, sizeof(*k));

	if (!k) {
		stream_close(stream);
		return;
	}
	if (kept->count == KEPT_MOST)
		drop(oldest(kept));
	k->e = e;
	k->row = row;
	k->hash = hash;
	k->since = entry_now(e);
	k->until = k->since + (apr_time_t)(REST_PART * (double)rest);
	k->next = kept->first;
	kept->first = k;
	kept->count++;
	if (e->roster.rows[row].hash == hash)
		e->roster.rows[row].kept++;
	stream_move(&k->stream, stream, &resting, k);
}

static apr_time_t rest_most(const struct kept *kept)
{
	return kept->rest_most ? kept->rest_most : REST_FIRST;
}

/* The target's connection that rested shortest, if there is one that may be
 * used. rested says how long it did, in us. */
bool conn_pool_get(struct entry *e, uint32_t row, uint32_t hash,
		   struct stream *stream, const struct stream_calls *calls,
		   void *ctx, apr_time_t *rested)
{
	apr_time_t now = entry_now(e);
	struct pooled_stream *found = NULL;

	for (struct pooled_stream *k = e->kept.first; k; k = k->next)
		if (k->row == row && k->hash == hash && now < k->until &&
		    now - k->since <= rest_most(&e->kept) &&
		    (!found || k->since > found->since))
			found = k;
	if (!found)
		return false;
	*rested = now - found->since;
	stream_move(stream, &found->stream, calls, ctx);
	drop(found);
	return true;
}

/* One that had rested so long was dead: older ones may be too. */
void conn_pool_report_dead(struct entry *e, apr_time_t rested)
{
	apr_time_t most = (apr_time_t)(REST_DEAD_PART * (double)rested);
	apr_time_t now = entry_now(e);
	struct pooled_stream *next;

	if (most < rest_most(&e->kept))
		e->kept.rest_most = most > REST_LEAST ? most : REST_LEAST;
	e->kept.learned_at = now;
	for (struct pooled_stream *k = e->kept.first; k; k = next) {
		next = k->next;
		if (now - k->since > e->kept.rest_most)
			drop(k);
	}
}

static bool is_over(const struct pooled_stream *k, apr_time_t now)
{
	const struct tr_instance *row = &k->e->roster.rows[k->row];

	return now >= k->until || row->hash != k->hash ||
	       !tr_instance_serves(row, now);
}

/* Close what has rested long enough, or whose target leaves; call some times a
 * second. */
void conn_pool_expire(struct entry *e)
{
	struct kept *kept = &e->kept;
	apr_time_t now = entry_now(e);
	struct pooled_stream *next;

	for (struct pooled_stream *k = kept->first; k; k = next) {
		next = k->next;
		if (is_over(k, now))
			drop(k);
	}
	if (!kept->rest_most || now - kept->learned_at < REST_GROWS)
		return;
	kept->learned_at = now;
	kept->rest_most = (apr_time_t)((double)kept->rest_most * REST_GROWTH);
	if (kept->rest_most > REST_FIRST)
		kept->rest_most = REST_FIRST;
}

void conn_pool_clear(struct entry *e)
{
	while (e->kept.first)
		drop(e->kept.first);
}
