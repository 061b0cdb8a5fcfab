#ifndef EXCHANGE_INTERNAL_H
#define EXCHANGE_INTERNAL_H

/* The parts that the exchange_*.c files share. */
#include "exchange.h"
#include "upstream.h"

/*
 * Attempts that run at the same time, and targets tried in all. An attempt that
 * was refused or could not connect has run nothing, and does not count against
 * the route's attempts.
 */
#define MAX_UPSTREAMS	  2
#define MAX_TRIED_TARGETS 8

/* One request of a caller and the attempts to have it answered by a target. */
struct exchange {
	struct entry *e;
	struct exchange *next;
	struct exchange *prev;
	struct caller *caller;	  /* NULL once it has disconnected */
	struct tr_routes *routes; /* a reference to those in force at arrival */
	const struct tr_path_route *route;
	/* The one whose key the request carries, or NULL. */
	const struct tr_organisation *organisation;
	uint32_t service;  /* index in the roster */
	char *id;	   /* from the request id header */
	uint64_t identity; /* hash that the same request has each time */
	char *method;
	GString *head; /* without the headers that differ per target */
	GByteArray *body;
	uint32_t buffer;     /* of the body, in the account */
	apr_time_t arrived;  /* when the first byte came */
	apr_time_t deadline; /* when the reply must be sent */
	struct upstream upstreams[MAX_UPSTREAMS];
	/*
	 * The roster rows that were tried, in order; the chance that each was
	 * gray when chosen, and the requests in flight there.
	 */
	uint32_t tried[MAX_TRIED_TARGETS];
	double risk[MAX_TRIED_TARGETS];
	uint32_t in_flight[MAX_TRIED_TARGETS];
	unsigned tried_count;
	unsigned runs;	    /* attempts that may have run */
	unsigned for_floor; /* attempts sent because the floor asked for them */
	unsigned reconnected; /* attempts whose reused connection was dead */
	unsigned via_peer;    /* attempts sent through another VM */
	bool is_trial;	      /* the fleet's trial of a refused request */
	bool waiting;	      /* for the result of the same request elsewhere */
	bool needs_key;	      /* the route takes only requests with a key */
	bool use_pool;	      /* may use and return pooled connections */
	bool budget_exhausted;	/* the bound denied a repeat */
	apr_time_t retry_after; /* lower bound of the Retry-After */
	bool maybe_ran;		/* an attempt that ended may have run */
	bool done;		/* replied or abandoned, to be freed */
	struct loop_timer *timer;
};

apr_time_t exchange_typical_latency(const struct exchange *x);
double exchange_heard_share(const struct exchange *x);
void exchange_free(struct exchange *x);
void exchange_finish(struct exchange *x);
void exchange_log_end(const struct exchange *x, int status, const char *why);
void exchange_reply_local(struct exchange *x, int status, const char *why);
void exchange_give_up(struct exchange *x, const char *why);
void exchange_forward_reply(struct exchange *x, struct upstream *u);
bool exchange_status_means_not_run(int status);
bool exchange_any_active(const struct exchange *x);
bool exchange_may_have_run(const struct exchange *x);
const char *exchange_send(struct exchange *x);
bool exchange_authenticate(struct entry *e, struct caller *caller,
			   const struct tr_path_route *route,
			   const struct tr_organisation **organisation);
enum tr_fatal_verdict exchange_fatal_admit(struct exchange *x);
void exchange_fatal_observe(struct exchange *x, const struct upstream *u,
			    enum upstream_end how);
void exchange_count_request(struct entry *e, struct caller *caller);
bool exchange_routes_outdated(const struct entry *e);
void exchange_refuse(struct caller *caller, int status, apr_time_t after);
void exchange_refuse_held(struct entry *e);

#endif
