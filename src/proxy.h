/*
 * HTTP reverse proxy: accepts callers' requests, sends each to a target of its
 * service and returns the answer with its outcome.
 */
#ifndef PROXY_H
#define PROXY_H

#include "request.h"

struct proxy_options {
	const char *ip;
	uint16_t port;
	unsigned connections; /* limit of concurrent connections */
	size_t body_buffer;   /* bytes of a request body that are buffered */
};

struct proxy *proxy_new(struct loop *loop, struct client *client,
			struct tr_board *board, struct config *config,
			const struct tr_secret *secret,
			const struct proxy_options *options,
			struct tr_error *err);
void proxy_destroy(struct proxy *proxy);
void proxy_sweep(struct proxy *proxy);
void proxy_config_changed(void *proxy);
bool proxy_check_headers(struct request *r);
void proxy_reply_json(struct request *r, enum tr_result code, int status,
		      void *json);
bool api_handle(struct request *r);

#endif
