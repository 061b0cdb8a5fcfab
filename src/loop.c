/* The event loop: an APR pollset and a sorted sequence of timers. */
#include "loop.h"

#include <apr_network_io.h>
#include <apr_poll.h>
#include <apr_portable.h>
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <time.h>
#include <unistd.h>

#define MAX_FDS	     65536
#define POLLSET_SIZE 1024
#define MAX_HOOKS    8
#define MAX_SLEEP    TR_SEC(1)

struct watch {
	apr_pollfd_t pfd;
	apr_socket_t *sock;
	bool active;
	loop_fd_fn fn;
	void *ctx;
};

struct loop_timer {
	apr_time_t at;
	uint64_t seq; /* order of timers that are due at the same time */
	loop_fn fn;
	void *ctx;
	GSequenceIter *iter;
};

struct callback {
	loop_fn fn;
	void *ctx;
};

struct loop {
	apr_pool_t *pool;
	apr_pollset_t *pollset;
	struct watch **watches;
	GSequence *timers;
	uint64_t next_timer_seq;
	struct callback hooks[MAX_HOOKS];
	int hooks_count;
	struct callback on_terminate;
	struct callback on_hangup;
	int signal_fd;
	bool running;
	struct tr_clock clock;
};

/* CLOCK_BOOTTIME, because it advances while the process or VM is paused. */
static apr_time_t read_clock(void *ctx)
{
	struct timespec ts;

	(void)ctx;
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (apr_time_t)ts.tv_sec * APR_USEC_PER_SEC + ts.tv_nsec / 1000;
}

/* Wall time in microseconds. For the timeline only, never for decisions. */
uint64_t loop_wall_time(void *ctx)
{
	(void)ctx;
	return (uint64_t)apr_time_now();
}

static gint compare_timers(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const struct loop_timer *x = a;
	const struct loop_timer *y = b;

	(void)ctx;
	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return x->seq < y->seq ? -1 : x->seq > y->seq;
}

/* Creates a loop whose memory comes from the pool. NULL on failure. */
struct loop *loop_new(apr_pool_t *pool)
{
	struct loop *loop = apr_pcalloc(pool, sizeof(*loop));

	if (apr_pollset_create(&loop->pollset, POLLSET_SIZE, pool,
			       APR_POLLSET_NOCOPY) != APR_SUCCESS)
		return NULL;
	loop->pool = pool;
	loop->watches = calloc(MAX_FDS, sizeof(*loop->watches));
	loop->timers = g_sequence_new(NULL);
	loop->clock.now = read_clock;
	loop->signal_fd = -1;
	return loop->watches ? loop : NULL;
}

void loop_destroy(struct loop *loop)
{
	GSequenceIter *it = g_sequence_get_begin_iter(loop->timers);

	for (; !g_sequence_iter_is_end(it); it = g_sequence_iter_next(it))
		free(g_sequence_get(it));
	g_sequence_free(loop->timers);
	apr_pollset_destroy(loop->pollset);
	for (int i = 0; i < MAX_FDS; i++)
		free(loop->watches[i]);
	free(loop->watches);
	if (loop->signal_fd >= 0)
		close(loop->signal_fd);
}

const struct tr_clock *loop_clock(const struct loop *loop)
{
	return &loop->clock;
}

/*
 * Returns the watch of a descriptor number. It and its APR socket are created
 * once and reused for later descriptors with the same number.
 */
static struct watch *get_watch(struct loop *loop, int fd)
{
	struct watch *w;

	if (fd < 0 || fd >= MAX_FDS)
		return NULL;
	w = loop->watches[fd];
	if (w)
		return w;
	w = calloc(1, sizeof(*w));
	if (!w)
		return NULL;
	if (apr_os_sock_put(&w->sock, &fd, loop->pool) != APR_SUCCESS) {
		free(w);
		return NULL;
	}
	loop->watches[fd] = w;
	return w;
}

/*
 * Calls fn whenever fd is ready for one of the events. A second call replaces
 * the events and fn. Returns 0 or -1.
 */
int loop_watch(struct loop *loop, int fd, int events, loop_fd_fn fn, void *ctx)
{
	struct watch *w = get_watch(loop, fd);

	if (!w)
		return -1;
	loop_unwatch(loop, fd);
	memset(&w->pfd, 0, sizeof(w->pfd));
	w->pfd.p = loop->pool;
	w->pfd.desc_type = APR_POLL_SOCKET;
	w->pfd.desc.s = w->sock;
	w->pfd.client_data = w;
	if (events & LOOP_READ)
		w->pfd.reqevents |= APR_POLLIN;
	if (events & LOOP_WRITE)
		w->pfd.reqevents |= APR_POLLOUT;
	w->fn = fn;
	w->ctx = ctx;
	w->active = apr_pollset_add(loop->pollset, &w->pfd) == APR_SUCCESS;
	return w->active ? 0 : -1;
}

void loop_unwatch(struct loop *loop, int fd)
{
	struct watch *w = fd >= 0 && fd < MAX_FDS ? loop->watches[fd] : NULL;

	if (!w || !w->active)
		return;
	apr_pollset_remove(loop->pollset, &w->pfd);
	w->active = false;
}

/* Calls fn once, after delay microseconds. */
struct loop_timer *loop_add_timer(struct loop *loop, apr_time_t delay,
				  loop_fn fn, void *ctx)
{
	struct loop_timer *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->at = tr_clock_now(&loop->clock) + delay;
	t->seq = loop->next_timer_seq++;
	t->fn = fn;
	t->ctx = ctx;
	t->iter =
		g_sequence_insert_sorted(loop->timers, t, compare_timers, NULL);
	return t;
}

void loop_cancel_timer(struct loop *loop, struct loop_timer *timer)
{
	(void)loop;
	if (!timer)
		return;
	g_sequence_remove(timer->iter);
	free(timer);
}

/* Calls fn before each poll, for libraries that have a queue of their own. */
void loop_before_poll(struct loop *loop, loop_fn fn, void *ctx)
{
	if (loop->hooks_count < MAX_HOOKS)
		loop->hooks[loop->hooks_count++] = (struct callback){ fn, ctx };
}

static void run_timers(struct loop *loop)
{
	apr_time_t now = tr_clock_now(&loop->clock);

	for (;;) {
		GSequenceIter *it = g_sequence_get_begin_iter(loop->timers);
		struct loop_timer *t;
		struct callback call;

		if (g_sequence_iter_is_end(it))
			return;
		t = g_sequence_get(it);
		if (t->at > now)
			return;
		call = (struct callback){ t->fn, t->ctx };
		g_sequence_remove(it);
		free(t);
		call.fn(call.ctx);
	}
}

static apr_time_t poll_timeout(const struct loop *loop)
{
	GSequenceIter *it = g_sequence_get_begin_iter(loop->timers);
	apr_time_t left;

	if (g_sequence_iter_is_end(it))
		return MAX_SLEEP;
	left = ((struct loop_timer *)g_sequence_get(it))->at -
	       tr_clock_now(&loop->clock);
	if (left <= 0)
		return 0;
	/* APR rounds the timeout down to whole milliseconds. Round it up here,
	 * or the loop would spin for the last part of each wait. */
	left = (left + 999) / 1000 * 1000;
	return left < MAX_SLEEP ? left : MAX_SLEEP;
}

static void poll_and_dispatch(struct loop *loop)
{
	const apr_pollfd_t *ready = NULL;
	apr_int32_t n = 0;
	apr_status_t rv;

	rv = apr_pollset_poll(loop->pollset, poll_timeout(loop), &n, &ready);
	if (rv != APR_SUCCESS)
		return;
	for (apr_int32_t i = 0; i < n; i++) {
		struct watch *w = ready[i].client_data;
		int events = 0;
		int fd = -1;

		if (!w->active)
			continue;
		if (ready[i].rtnevents & (APR_POLLIN | APR_POLLHUP))
			events |= LOOP_READ;
		if (ready[i].rtnevents & APR_POLLOUT)
			events |= LOOP_WRITE;
		if (ready[i].rtnevents & APR_POLLERR)
			events |= LOOP_READ | LOOP_WRITE;
		apr_os_sock_get(&fd, w->sock);
		w->fn(w->ctx, fd, events);
	}
}

/* Runs until loop_stop. */
void loop_run(struct loop *loop)
{
	loop->running = true;
	while (loop->running) {
		run_timers(loop);
		for (int i = 0; i < loop->hooks_count; i++)
			loop->hooks[i].fn(loop->hooks[i].ctx);
		if (loop->running)
			poll_and_dispatch(loop);
	}
}

void loop_stop(struct loop *loop)
{
	loop->running = false;
}

static void on_signal_readable(void *ctx, int fd, int events)
{
	struct loop *loop = ctx;
	struct signalfd_siginfo info;

	(void)events;
	if (read(fd, &info, sizeof(info)) != (ssize_t)sizeof(info))
		return;
	if (info.ssi_signo == SIGHUP)
		loop->on_hangup.fn(loop->on_hangup.ctx);
	else
		loop->on_terminate.fn(loop->on_terminate.ctx);
}

/* Calls fn from the loop on SIGHUP. Must be set before loop_on_terminate. */
void loop_on_hangup(struct loop *loop, loop_fn fn, void *ctx)
{
	loop->on_hangup = (struct callback){ fn, ctx };
}

/* Calls fn from the loop on SIGTERM or SIGINT. Ignores SIGPIPE. */
void loop_on_terminate(struct loop *loop, loop_fn fn, void *ctx)
{
	sigset_t set;

	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	if (loop->on_hangup.fn)
		sigaddset(&set, SIGHUP);
	sigprocmask(SIG_BLOCK, &set, NULL);
	loop->on_terminate = (struct callback){ fn, ctx };
	loop->signal_fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	if (loop->signal_fd >= 0)
		loop_watch(loop, loop->signal_fd, LOOP_READ, on_signal_readable,
			   loop);
}
