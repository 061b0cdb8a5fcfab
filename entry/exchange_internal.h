#ifndef EXCHANGE_INTERNAL_H
#define EXCHANGE_INTERNAL_H

#include "exchange.h"
#include "upstream.h"

/* Attempts that run at the same time, and targets tried in all. Refusals and
 * failed connections run nothing, so they do not count as attempts. */
#define MAX_UPSTREAMS	  2
#define MAX_TRIED_TARGETS 8

struct exchange {
	struct entry *e;
	struct exchange *next;
	struct exchange *prev;
	struct caller *caller;
	struct tr_routes *routes;
	const struct tr_path_route *route;
	const struct tr_organisation *organisation;
	uint32_t service;
	char *id;
	uint64_t identity;
	char *method;
	GString *head;
	GByteArray *body;
	apr_time_t arrived;
	apr_time_t deadline;
	struct upstream upstreams[MAX_UPSTREAMS];
	uint32_t tried[MAX_TRIED_TARGETS];
	double risk[MAX_TRIED_TARGETS];
	uint32_t in_flight[MAX_TRIED_TARGETS];
	unsigned tried_count;
	unsigned runs;
	unsigned for_floor;
	unsigned reconnected;
	bool is_trial;
	bool waiting;
	bool needs_key;
	bool keeps;
	bool budget_exhausted;
	apr_time_t retry_after;
	bool maybe_ran;
	bool done;
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

#endif
