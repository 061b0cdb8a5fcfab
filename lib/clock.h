#ifndef TR_CLOCK_H
#define TR_CLOCK_H

#include <apr_time.h>

/*
 * Clock interface. Times are apr_time_t, in microseconds, from a monotonic
 * clock that keeps running while the process is suspended. The library never
 * reads a clock itself.
 */
struct tr_clock {
	apr_time_t (*now)(void *ctx);
	void *ctx;
};

static inline apr_time_t tr_clock_now(const struct tr_clock *clock)
{
	return clock->now(clock->ctx);
}

#define TR_MSEC(n) ((apr_time_t)(n)*1000)
#define TR_SEC(n)  ((apr_time_t)(n)*1000000)

#endif
