/*
 * Pool of idle connections to targets, for requests that may be retried. A new
 * connection costs a round trip, a millisecond of one of the target's slots,
 * and what operators charge for it.
 *
 * Targets close idle connections, some sooner than they announce and without a
 * FIN or RST; a request sent on such a connection is reset or lost. The symptom
 * is reads that fail with a reset at once. Therefore a request that must run
 * only once never uses a pooled connection; the idle time that is allowed is
 * learned from connections that turned out to be dead; and a dead connection
 * closes those that have been idle longer.
 */
#include "kept.h"

#include <stdlib.h>

#include "entry.h"

/* Share of the idle timeout announced by the target that is used; the remainder
 * covers the transit time of the next request. */
#define IDLE_SHARE 0.7
/* Bounds of the learned idle limit: a connection that has been idle for less
 * than the lower one is always used. */
#define IDLE_MIN TR_MSEC(50)
#define IDLE_MAX TR_MSEC(8000)
/* A dead connection lowers the limit to half of its idle time. Each interval
 * without another one multiplies the limit by IDLE_GROWTH, so it takes 13 s
 * from the lower bound to the upper one. */
#define IDLE_AFTER_DEAD	     0.5
#define IDLE_GROWTH	     1.5
#define IDLE_GROWTH_INTERVAL TR_SEC(1)
/* Number of targets of its own data centre that a VM sends to within the time
 * that connections stay idle. */
#define CONN_POOL_MAX 128

struct pooled_stream {
	struct entry *e;
	struct pooled_stream *next;
	struct stream stream;
	uint32_t row;
	uint32_t hash;
	apr_time_t since;
	apr_time_t until;
};

static void remove_stream(struct pooled_stream *k)
{
	struct idle_conns *idle_conns = &k->e->idle_conns;
	struct pooled_stream **at = &idle_conns->first;

	while (*at != k)
		at = &(*at)->next;
	*at = k->next;
	idle_conns->count--;
	if (k->e->roster.rows[k->row].hash == k->hash)
		k->e->roster.rows[k->row].idle_conns--;
	stream_close(&k->stream);
	free(k);
}

/* Data that belongs to no request: the connection can't be used any more. */
static void received(void *ctx, const char *data, size_t len)
{
	(void)data;
	(void)len;
	remove_stream(ctx);
}

static void ended(void *ctx, enum stream_end why)
{
	(void)why;
	remove_stream(ctx);
}

static const struct stream_callbacks idle_calls = {
	.received = received,
	.ended = ended,
};

static struct pooled_stream *oldest(const struct idle_conns *idle_conns)
{
	struct pooled_stream *found = idle_conns->first;

	for (struct pooled_stream *k = idle_conns->first; k; k = k->next)
		if (k->since < found->since)
			found = k;
	return found;
}

/* Adds the connection, for which the target has announced the given idle
 * timeout. Takes over the stream, and closes it when no memory is left. */
void conn_pool_put(struct entry *e, struct stream *stream, uint32_t row,
		   uint32_t hash, apr_time_t idle_timeout)
{
	struct idle_conns *idle_conns = &e->idle_conns;
	struct pooled_stream *k = calloc(1, sizeof(*k));

	if (!k) {
		stream_close(stream);
		return;
	}
	if (idle_conns->count == CONN_POOL_MAX)
		remove_stream(oldest(idle_conns));
	k->e = e;
	k->row = row;
	k->hash = hash;
	k->since = entry_now(e);
	k->until = k->since + (apr_time_t)(IDLE_SHARE * (double)idle_timeout);
	k->next = idle_conns->first;
	idle_conns->first = k;
	idle_conns->count++;
	if (e->roster.rows[row].hash == hash)
		e->roster.rows[row].idle_conns++;
	stream_move(&k->stream, stream, &idle_calls, k);
}

static apr_time_t idle_limit(const struct idle_conns *idle_conns)
{
	return idle_conns->idle_limit ? idle_conns->idle_limit : IDLE_MAX;
}

/* Takes the target's most recently used connection out of the pool, if one
 * is fresh enough. idle is set to how long it has been idle, in us. */
bool conn_pool_get(struct entry *e, uint32_t row, uint32_t hash,
		   struct stream *stream, const struct stream_callbacks *calls,
		   void *ctx, apr_time_t *idle)
{
	apr_time_t now = entry_now(e);
	struct pooled_stream *found = NULL;

	for (struct pooled_stream *k = e->idle_conns.first; k; k = k->next)
		if (k->row == row && k->hash == hash && now < k->until &&
		    now - k->since <= idle_limit(&e->idle_conns) &&
		    (!found || k->since > found->since))
			found = k;
	if (!found)
		return false;
	*idle = now - found->since;
	stream_move(stream, &found->stream, calls, ctx);
	remove_stream(found);
	return true;
}

/* Reports that a connection was dead after the given idle time: lowers the
 * limit, and closes connections that have been idle for longer. */
void conn_pool_report_dead(struct entry *e, apr_time_t idle)
{
	apr_time_t lowered = (apr_time_t)(IDLE_AFTER_DEAD * (double)idle);
	apr_time_t now = entry_now(e);
	struct pooled_stream *next;

	if (lowered < idle_limit(&e->idle_conns))
		e->idle_conns.idle_limit =
			lowered > IDLE_MIN ? lowered : IDLE_MIN;
	e->idle_conns.adjusted_at = now;
	for (struct pooled_stream *k = e->idle_conns.first; k; k = next) {
		next = k->next;
		if (now - k->since > e->idle_conns.idle_limit)
			remove_stream(k);
	}
}

static bool is_expired(const struct pooled_stream *k, apr_time_t now)
{
	const struct tr_instance *row = &k->e->roster.rows[k->row];

	return now >= k->until || row->hash != k->hash ||
	       !tr_instance_serves(row, now);
}

/* Closes connections that have reached their idle limit or whose target is
 * leaving, and raises the learned limit. To be called a few times a second. */
void conn_pool_expire(struct entry *e)
{
	struct idle_conns *idle_conns = &e->idle_conns;
	apr_time_t now = entry_now(e);
	struct pooled_stream *next;

	for (struct pooled_stream *k = idle_conns->first; k; k = next) {
		next = k->next;
		if (is_expired(k, now))
			remove_stream(k);
	}
	if (!idle_conns->idle_limit ||
	    now - idle_conns->adjusted_at < IDLE_GROWTH_INTERVAL)
		return;
	idle_conns->adjusted_at = now;
	idle_conns->idle_limit =
		(apr_time_t)((double)idle_conns->idle_limit * IDLE_GROWTH);
	if (idle_conns->idle_limit > IDLE_MAX)
		idle_conns->idle_limit = IDLE_MAX;
}

void conn_pool_clear(struct entry *e)
{
	while (e->idle_conns.first)
		remove_stream(e->idle_conns.first);
}

/* Closes the connections to the targets of one service. */
void conn_pool_clear_service(struct entry *e, uint32_t service)
{
	struct pooled_stream *next;

	for (struct pooled_stream *k = e->idle_conns.first; k; k = next) {
		next = k->next;
		if (e->roster.rows[k->row].service == service)
			remove_stream(k);
	}
}
