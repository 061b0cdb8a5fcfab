#ifndef PROXY_H
#define PROXY_H

#include "request.h"

struct proxy_options {
	const char *ip;
	uint16_t port;
	unsigned connections;
	size_t body_buffer;
};

struct proxy *proxy_new(struct loop *loop, struct client *client,
			struct tr_board *board, struct config *config,
			const struct tr_secret *secret,
			const struct proxy_options *options,
			struct tr_error *err);
void proxy_destroy(struct proxy *proxy);
void proxy_sweep(struct proxy *proxy);
void proxy_config_changed(void *proxy);
bool proxy_arrive(struct request *r);
void proxy_answer_json(struct request *r, enum tr_result code, int status,
		       void *json);
bool api_handle(struct request *r);

#endif
