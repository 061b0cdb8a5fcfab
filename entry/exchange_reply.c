/* End of requests: the reply, and the log line. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "eventlog.h"
#include "exchange_internal.h"
#include "organisation.h"
#include "place.h"
#include "times.h"

/* A caller that retries at once would meet the same queue. */
#define MIN_RETRY_AFTER TR_MSEC(50)

/* Returns how long the request's work usually takes. */
apr_time_t exchange_typical_latency(const struct exchange *x)
{
	return tr_service_stats_mean_time(&x->e->roster.services[x->service],
					  x->route->latency_aim);
}

/*
 * Returns the share of the fleet that this VM has heard recently, on which the
 * limits of targets depend; 1 while no target has a limit.
 */
double exchange_heard_share(const struct exchange *x)
{
	const struct entry *e = x->e;

	if (!e->roster.limits.active_count)
		return 1;
	return tr_membership_recent_share(&e->members, entry_now(e));
}

/* Frees the exchange. Must not be called from its own callbacks. */
void exchange_free(struct exchange *x)
{
	struct entry *e = x->e;

	loop_cancel_timer(e->loop, x->timer);
	for (int i = 0; i < MAX_UPSTREAMS; i++)
		upstream_release(&x->upstreams[i]);
	if (x->prev)
		x->prev->next = x->next;
	else
		e->exchanges = x->next;
	if (x->next)
		x->next->prev = x->prev;
	e->exchanges_count--;
	tr_buffers_close(&e->buffers, &x->buffer);
	tr_routes_unref(x->routes);
	if (x->head)
		g_string_free(x->head, TRUE);
	if (x->body)
		g_byte_array_free(x->body, TRUE);
	g_free(x->id);
	g_free(x->method);
	free(x);
}

static void free_deferred(void *ctx)
{
	struct exchange *x = ctx;

	x->timer = NULL;
	exchange_free(x);
}

/*
 * Ends the exchange. The memory is freed later from the event loop, since
 * callbacks of its attempts may be on the stack.
 */
void exchange_finish(struct exchange *x)
{
	x->done = true;
	x->caller = NULL;
	tr_buffers_close(&x->e->buffers, &x->buffer);
	for (int i = 0; i < MAX_UPSTREAMS; i++)
		upstream_stop(&x->upstreams[i], UPSTREAM_ABANDONED);
	loop_cancel_timer(x->e->loop, x->timer);
	x->timer = loop_add_timer(x->e->loop, 0, free_deferred, x);
}

/*
 * Formats the targets that were tried, in order, each with the chance that it
 * was gray when it was chosen and the requests in flight there.
 */
static const char *format_tried(const struct exchange *x, char *buf,
				size_t size)
{
	const struct tr_roster *roster = &x->e->roster;
	size_t len = 0;

	buf[0] = 0;
	for (unsigned i = 0; i < x->tried_count && len < size; i++)
		len += (size_t)snprintf(buf + len, size - len, "%s%s:%.2f:%u",
					i ? "," : "",
					roster->rows[x->tried[i]].id,
					x->risk[i], x->in_flight[i]);
	return buf;
}

/*
 * Logs the end of the request and adds its latency to the metrics. why must be
 * a string constant.
 */
void exchange_log_end(const struct exchange *x, int status, const char *why)
{
	const struct times_row row = {
		.service = x->service,
		.kind = x->route->kind,
		.status_class = status / 100,
		.why = why,
	};
	struct entry *e = x->e;
	apr_time_t now = entry_now(e);
	char tried[256];

	times_add(e, &row, now - x->arrived);
	eventlog(
		status >= 500 ? EVENT_FAILURE : EVENT_REQUEST, "request",
		"id=%s identity=%016" PRIx64
		" route=%s service=%s kind=%s status=%d why=%s "
		"took_ms=%ld aim_ms=%ld left_ms=%ld usual_ms=%ld runs=%u "
		"for_floor=%u begun_again=%u via_peer=%u bound=%d organisation=%s tried=%s version=%" PRIu64
		" view_age_ms=%ld",
		x->id, x->identity, x->route->name,
		e->roster.services[x->service].name,
		times_kind_name(x->route->kind), status, why,
		(long)((now - x->arrived) / 1000),
		(long)(x->route->latency_aim / 1000),
		(long)((x->deadline - now) / 1000),
		(long)(exchange_typical_latency(x) / 1000), x->runs,
		x->for_floor, x->reconnected, x->via_peer, x->budget_exhausted,
		x->organisation ? x->organisation->name : "-",
		format_tried(x, tried, sizeof(tried)), x->routes->version,
		(long)(entry_view_age(e) / 1000));
}

/* Sends a reply of this VM itself. A 503 carries Retry-After. */
void exchange_reply_local(struct exchange *x, int status, const char *why)
{
	struct caller_reply response = { .status = status };
	struct entry *e = x->e;
	struct caller *caller = x->caller;
	GString *headers = g_string_new(NULL);
	apr_time_t after;

	if (status == 503) {
		const struct tr_place_request req = {
			.service = x->service,
			.expected_work = exchange_typical_latency(x),
			.heard_share = exchange_heard_share(x),
		};

		after = tr_place_retry_after(&e->roster, &req, &e->random,
					     entry_now(e));
		if (after < x->retry_after)
			after = x->retry_after;
		if (after < MIN_RETRY_AFTER)
			after = MIN_RETRY_AFTER;
		g_string_append_printf(headers, "Retry-After: %.3f\r\n",
				       (double)after / 1e6);
		e->counts.refused++;
	} else {
		e->counts.failed++;
	}
	g_string_append_printf(headers, "%s: %s\r\n", e->dialect->request_id,
			       x->id);
	exchange_log_end(x, status, why);
	response.headers = headers->str;
	exchange_finish(x);
	if (caller)
		caller_reply(caller, &response);
	g_string_free(headers, TRUE);
}

/*
 * Gives up: replies 503, which promises that nothing has run, only where that
 * is certain, and 502 otherwise.
 */
void exchange_give_up(struct exchange *x, const char *why)
{
	if (x->maybe_ran)
		exchange_reply_local(x, 502, why);
	else
		exchange_reply_local(x, 503, why);
}

static bool is_not_forwarded(const struct dialect *d, const char *name)
{
	return message_is_connection_header(name) ||
	       !strcasecmp(name, d->load) || !strcasecmp(name, d->not_run);
}

/* Forwards a target's response to the caller. */
void exchange_forward_reply(struct exchange *x, struct upstream *u)
{
	const struct message *msg = &u->response;
	int status = msg->parser.status_code;
	struct caller *caller = x->caller;
	GString *headers = g_string_sized_new(256);
	struct caller_reply response = {
		.status = status,
		.body = msg->body->data,
		.body_len = msg->body->len,
		.no_body = status == 204 || status == 304 ||
			   !strcmp(x->method, "HEAD"),
	};

	for (unsigned i = 0; i < msg->headers->len; i++)
		if (!is_not_forwarded(x->e->dialect, message_name_at(msg, i)))
			g_string_append_printf(headers, "%s: %s\r\n",
					       message_name_at(msg, i),
					       message_value_at(msg, i));
	x->e->counts.answered++;
	exchange_log_end(x, status, "answered");
	response.headers = headers->str;
	exchange_finish(x);
	if (caller)
		caller_reply(caller, &response);
	g_string_free(headers, TRUE);
}

/* Returns whether the status promises that nothing was run. */
bool exchange_status_means_not_run(int status)
{
	return status == 429 || status == 503 || status == 408 || status == 421;
}

/* Returns whether an attempt is under way. */
bool exchange_any_active(const struct exchange *x)
{
	for (int i = 0; i < MAX_UPSTREAMS; i++)
		if (x->upstreams[i].active)
			return true;
	return false;
}

/* Returns whether any attempt may have run. */
bool exchange_may_have_run(const struct exchange *x)
{
	bool any = x->maybe_ran;

	for (int i = 0; i < MAX_UPSTREAMS; i++)
		any |= x->upstreams[i].active &&
		       upstream_may_have_run(&x->upstreams[i]);
	return any;
}
