#ifndef KEPT_H
#define KEPT_H

#include "stream.h"

struct entry;
struct pooled_stream;

/* Connections to targets that rest until the next request. rest_most is how
 * long one may have rested when it is used. */
struct kept {
	struct pooled_stream *first;
	unsigned count;
	apr_time_t rest_most;
	apr_time_t learned_at;
};

void conn_pool_put(struct entry *e, struct stream *stream, uint32_t row,
		   uint32_t hash, apr_time_t rest);
bool conn_pool_get(struct entry *e, uint32_t row, uint32_t hash,
		   struct stream *stream, const struct stream_calls *calls,
		   void *ctx, apr_time_t *rested);
void conn_pool_report_dead(struct entry *e, apr_time_t rested);
void conn_pool_expire(struct entry *e);
void conn_pool_clear(struct entry *e);

#endif
