/* HTTP client for single GET requests on the event loop. */
#ifndef FETCH_H
#define FETCH_H

#include "buffers.h"
#include "message.h"
#include "stream.h"

#define FETCH_BODY_MAX (4 * 1024 * 1024)

/* Called once for each GET with the response, or with NULL on failure. */
typedef void (*fetch_done_fn)(void *ctx, const struct message *answer);

/* One GET at a time to one address, on a persistent connection. */
struct fetcher {
	struct loop *loop;
	struct stream stream;
	struct message answer;
	struct sockaddr_in to;
	bool open;   /* stream is connected or connecting */
	bool reused; /* the request went out on an existing connection */
	bool busy;
	bool progressed;	  /* data came since the timer was last set */
	unsigned extensions_left; /* of the timeout */
	apr_time_t timeout;
	char *request;
	struct loop_timer *timer;
	fetch_done_fn done;
	void *ctx;
	const char *from_ip;
	struct tr_buffers *buffers; /* the account of the answer */
	uint32_t buffer;
};

void fetcher_init(struct fetcher *f, struct loop *loop, const char *from_ip,
		  struct tr_buffers *buffers);
int fetcher_get(struct fetcher *f, const struct sockaddr_in *to,
		const char *path, apr_time_t timeout, fetch_done_fn done,
		void *ctx);
void fetcher_cancel(struct fetcher *f);
void fetcher_release(struct fetcher *f);

#endif
