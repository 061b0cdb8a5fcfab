/* Pool of idle connections to targets. */
#ifndef KEPT_H
#define KEPT_H

#include "stream.h"

struct entry;
struct pooled_stream;

/* Idle connections to targets. */
struct idle_conns {
	struct pooled_stream *first;
	unsigned count;
	apr_time_t idle_limit;	/* learned; 0 before a connection was dead */
	apr_time_t adjusted_at; /* when idle_limit was last changed */
};

void conn_pool_put(struct entry *e, struct stream *stream, uint32_t row,
		   uint32_t hash, apr_time_t idle_timeout);
bool conn_pool_get(struct entry *e, uint32_t row, uint32_t hash,
		   struct stream *stream, const struct stream_callbacks *calls,
		   void *ctx, apr_time_t *idle);
void conn_pool_report_dead(struct entry *e, apr_time_t idle);
void conn_pool_expire(struct entry *e);
void conn_pool_clear(struct entry *e);
void conn_pool_clear_service(struct entry *e, uint32_t service);

#endif
