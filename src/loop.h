/* A single-threaded event loop: descriptors, timers and signals. */
#ifndef LOOP_H
#define LOOP_H

#include <apr_pools.h>
#include <apr_time.h>
#include <stdbool.h>

#include "clock.h"

struct loop;
struct loop_timer;

/* Events of a descriptor. */
#define LOOP_READ  1
#define LOOP_WRITE 2

typedef void (*loop_fd_fn)(void *ctx, int fd, int events);
typedef void (*loop_fn)(void *ctx);

struct loop *loop_new(apr_pool_t *pool);
void loop_destroy(struct loop *loop);
int loop_watch(struct loop *loop, int fd, int events, loop_fd_fn fn, void *ctx);
void loop_unwatch(struct loop *loop, int fd);
struct loop_timer *loop_add_timer(struct loop *loop, apr_time_t delay,
				  loop_fn fn, void *ctx);
void loop_cancel_timer(struct loop *loop, struct loop_timer *timer);
void loop_before_poll(struct loop *loop, loop_fn fn, void *ctx);
void loop_run(struct loop *loop);
void loop_stop(struct loop *loop);
void loop_on_hangup(struct loop *loop, loop_fn fn, void *ctx);
void loop_on_terminate(struct loop *loop, loop_fn fn, void *ctx);
const struct tr_clock *loop_clock(const struct loop *loop);
uint64_t loop_wall_time(void *ctx);

#endif
