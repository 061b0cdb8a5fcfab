#ifndef CALLER_H
#define CALLER_H

#include "message.h"
#include "route.h"
#include "stream.h"

struct listener;

/*
 * A connection that was accepted, with the one request that is being read or
 * answered on it. work and counted belong to whoever handles the request.
 */
struct caller {
	struct listener *listener;
	struct caller *next;
	struct caller *prev;
	struct stream stream;
	struct message in;
	GByteArray *behind;
	struct loop_timer *timer;
	apr_time_t timer_at;
	apr_time_t active_at;
	apr_time_t began_at;
	bool handling;
	bool close_after;
	bool said_continue;
	bool feeding;
	bool lingering;
	bool dead;
	bool counted;
	void *work;
};

/* What is done with requests that come through a listener. */
struct listener_callbacks {
	void (*handle)(void *ctx, struct caller *caller);
	void (*gone)(void *ctx, struct caller *caller);
};

/* A listening address and its connections. */
struct listener {
	struct loop *loop;
	int fd;
	const struct listener_callbacks *calls;
	void *ctx;
	struct tr_caller_limits limits;
	struct caller *callers;
	unsigned count;
	bool closing;
};

struct caller_reply {
	int status;
	const char *headers;
	const void *body;
	size_t body_len;
	bool no_body;
	bool close;
};

int listener_open(struct listener *listener, struct loop *loop,
		  const char *address, const struct listener_callbacks *calls,
		  void *ctx);
void listener_refuse_new(struct listener *listener);
void listener_close_idle(struct listener *listener);
void listener_close(struct listener *listener);
void caller_reply(struct caller *caller, const struct caller_reply *answer);
const char *status_text(int status);

#endif
