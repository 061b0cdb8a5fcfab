#ifndef CALLER_H
#define CALLER_H

/*
 * Server side of HTTP/1.1: listeners and the connections of callers, with
 * keep-alive, pipelining and timeouts.
 */
#include "buffers.h"
#include "message.h"
#include "route.h"
#include "stream.h"

struct listener;

/*
 * An accepted connection, and the one request that is read or answered on it.
 */
struct caller {
	struct listener *listener;
	struct caller *next;
	struct caller *prev;
	struct stream stream;
	struct message in;     /* the request that is read or handled */
	GByteArray *pipelined; /* bytes received after that request */
	uint32_t buffer;       /* of both, in the account */
	/* Runs on_timeout(), or serve_pipelined() after a reply. */
	struct loop_timer *timer;
	apr_time_t timer_due;
	apr_time_t last_active_at;
	apr_time_t request_began_at;
	bool handling;	    /* the handler has not replied yet */
	bool close_after;   /* close once the reply is sent */
	bool continue_sent; /* 100 Continue */
	bool parsing;	    /* received() runs; a free is deferred */
	bool lingering;	    /* waits for the peer to close */
	bool free_pending;
	bool counted_in_limit; /* owned by the request handler */
	void *handler_data;    /* owned by the request handler */
};

/* Handlers for the requests of a listener. */
struct listener_callbacks {
	/* Called with a complete request; replies now or later. */
	void (*handle)(void *ctx, struct caller *caller);
	/* Called when the connection ends before the reply. May be NULL. */
	void (*disconnected)(void *ctx, struct caller *caller);
};

/* A listening address and its connections. */
struct listener {
	struct loop *loop;
	int fd;
	const struct listener_callbacks *calls;
	void *ctx;
	struct tr_caller_limits limits;
	struct tr_buffers *buffers; /* the account of what is read and sent */
	struct caller *callers;	    /* the open connections */
	unsigned count;
	bool closing; /* every reply closes its connection */
};

/*
 * The reply to a request: headers is NULL or complete lines that end in CRLF.
 * no_body omits Content-Length: for HEAD, 204 and 304.
 */
struct caller_reply {
	int status;
	const char *headers;
	const void *body;
	size_t body_len;
	bool no_body;
	bool close;
};

int listener_open(struct listener *listener, struct loop *loop,
		  const char *address, struct tr_buffers *buffers,
		  const struct listener_callbacks *calls, void *ctx);
void listener_stop_accepting(struct listener *listener);
void listener_close_idle(struct listener *listener);
void listener_close(struct listener *listener);
void caller_reply(struct caller *caller, const struct caller_reply *reply);
GByteArray *caller_take_body(struct caller *caller);
void caller_detach(struct caller *caller, struct stream *to,
		   const struct stream_callbacks *calls, void *ctx);
const char *status_text(int status);

#endif
