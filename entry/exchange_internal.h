#ifndef EXCHANGE_INTERNAL_H
#define EXCHANGE_INTERNAL_H

#include "exchange.h"
#include "upstream.h"

/* Attempts that run at the same time, and targets tried in all. Refusals and
 * failed connections run nothing, so they do not count as attempts. */
#define TRIES	   2
#define TRIED_MOST 8

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
	apr_time_t ends_at;
	struct upstream tries[TRIES];
	uint32_t tried[TRIED_MOST];
	double risk[TRIED_MOST];
	uint32_t in_flight[TRIED_MOST];
	unsigned tried_count;
	unsigned runs;
	unsigned for_floor;
	unsigned begun_again;
	bool is_try;
	bool waits;
	bool keyed;
	bool keeps;
	bool bound_reached;
	apr_time_t return_after;
	bool maybe_ran;
	bool done;
	struct loop_timer *timer;
};

apr_time_t exchange_usual(const struct exchange *x);
double exchange_heard(const struct exchange *x);
void exchange_free(struct exchange *x);
void exchange_settle(struct exchange *x);
void exchange_log_end(const struct exchange *x, int status, const char *why);
void exchange_answer_own(struct exchange *x, int status, const char *why);
void exchange_give_up(struct exchange *x, const char *why);
void exchange_deliver(struct exchange *x, struct upstream *u);
bool exchange_promises_not_run(int status);
bool exchange_any_active(const struct exchange *x);
const char *exchange_send(struct exchange *x);
bool exchange_identify(struct entry *e, struct caller *caller,
		       const struct tr_path_route *route,
		       const struct tr_organisation **organisation);
enum tr_fatal_verdict exchange_fatal_admit(struct exchange *x);
void exchange_fatal_saw(struct exchange *x, const struct upstream *u,
			enum upstream_end how);
void exchange_count(struct entry *e, struct caller *caller);
bool exchange_is_late(const struct entry *e);
void exchange_refuse(struct caller *caller, int status, apr_time_t after);

#endif
