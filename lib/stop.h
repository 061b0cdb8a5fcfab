/*
 * The phases of a planned stop of a VM, and which requests it still sends to
 * targets.
 */
#ifndef TR_STOP_H
#define TR_STOP_H

#include <apr_time.h>
#include <stdbool.h>

/* In the order in which they come. */
enum tr_stop_phase {
	TR_STOP_NONE,
	TR_STOP_BEGUN,	 /* each reply closes its connection */
	TR_STOP_NO_IDLE, /* idle connections are closed */
	TR_STOP_REFUSES, /* no connection is accepted */
	TR_STOP_OVER,	 /* what is unfinished is given up */
};

/* All zero: the VM is not being stopped. Times in us. */
struct tr_stop {
	apr_time_t since; /* the signal */
	apr_time_t grace; /* from the signal to the kill */
};

/* A request that is to be sent to a target. */
struct tr_stop_request {
	apr_time_t deadline; /* when it is replied to at the latest */
	apr_time_t expected; /* mean response time, in us */
	double spread;	     /* standard deviation of its logarithm */
};

enum tr_stop_phase tr_stop_phase(const struct tr_stop *stop, apr_time_t now);
bool tr_stop_ends_before(const struct tr_stop *stop, apr_time_t at);
bool tr_stop_may_send(const struct tr_stop *stop,
		      const struct tr_stop_request *req, apr_time_t now);

#endif
