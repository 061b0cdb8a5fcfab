#ifndef FETCH_H
#define FETCH_H

#include "message.h"
#include "stream.h"

#define FETCH_BODY_MAX (4 * 1024 * 1024)

/* Called once a GET: the answer, or NULL when none came. */
typedef void (*fetch_done_fn)(void *ctx, const struct message *answer);

/* One GET at a time to one address, on a connection that is kept. */
struct fetcher {
	struct loop *loop;
	struct stream stream;
	struct message answer;
	struct sockaddr_in to;
	bool open;
	bool reused;
	bool busy;
	bool progressed;
	unsigned patience;
	apr_time_t timeout;
	char *request;
	struct loop_timer *timer;
	fetch_done_fn done;
	void *ctx;
	const char *from_ip;
};

void fetcher_init(struct fetcher *f, struct loop *loop, const char *from_ip);
int fetcher_get(struct fetcher *f, const struct sockaddr_in *to,
		const char *path, apr_time_t timeout, fetch_done_fn done,
		void *ctx);
void fetcher_cancel(struct fetcher *f);
void fetcher_release(struct fetcher *f);

#endif
