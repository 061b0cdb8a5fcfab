/*
 * Arrival of requests: holding, matching of a route, the deadline and the head
 * that is forwarded.
 */
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "entry_settings.h"
#include "crossing_watch.h"
#include "eventlog.h"
#include "exchange_internal.h"
#include "identity.h"
#include "mechanism.h"
#include "organisation.h"
#include "spread.h"

/*
 * A request is given up before the caller's own deadline, by
 * 1/REPLY_TRANSIT_PART of its time and at most by MAX_REPLY_TRANSIT, so that
 * the reply still reaches the caller. With 10 ms, a caller 8 ms away got none
 * of the replies, because their way took that long. A target's answer that
 * comes in this last interval is rare.
 */
#define REPLY_TRANSIT_PART 25
#define MAX_REPLY_TRANSIT  TR_MSEC(100)
/*
 * Golden ratio. Draws that advance by it cover the weights evenly over any span
 * (a low-discrepancy sequence).
 */
#define GOLDEN 0.6180339887498949
/*
 * How long requests are held after the start of the process until the list and
 * the configuration are here, which come from another VM in a third of that.
 * Refused requests would be lost to callers that do not retry, and after the
 * loss of all VMs there is no other VM to retry at.
 */
#define MAX_HOLD_AT_START TR_MSEC(1000)
/* After a pause, requests are held if the target list is older than this. */
#define MAX_LIST_AGE TR_MSEC(1500)
/*
 * Retry-After for what this VM lacks: other VMs have it, or it is here after a
 * few messages.
 */
#define RETRY_AFTER TR_MSEC(300)

/*
 * Refuses a request for which no exchange has begun. after is the Retry-After
 * time, or 0 if a retry is of no use.
 */
void exchange_refuse(struct caller *caller, int status, apr_time_t after)
{
	struct caller_reply reply = { .status = status };
	char headers[64];

	snprintf(headers, sizeof(headers), "Retry-After: %.3f\r\n",
		 (double)after / 1e6);
	if (after)
		reply.headers = headers;
	caller_reply(caller, &reply);
}

static void reject(struct caller *caller, int status)
{
	exchange_refuse(caller, status, status == 503 ? RETRY_AFTER : 0);
}

/* Returns whether the Connection header lists this header as hop-by-hop. */
static bool is_connection_option(const struct message *in, const char *name)
{
	const char *list = message_header(in, "Connection");
	size_t len = strlen(name);

	while (list && *list) {
		size_t n = strcspn(list, ", \t");

		if (n == len && !strncasecmp(list, name, len))
			return true;
		list += n;
		list += strspn(list, ", \t");
	}
	return false;
}

/*
 * Builds the head to forward, without hop-by-hop headers and those that only
 * this VM may set. head_for_target() completes it.
 */
static GString *make_request_head(const struct exchange *x,
				  const struct message *in)
{
	const struct dialect *d = x->e->dialect;
	GString *head = g_string_sized_new(512);

	g_string_append_printf(head, "%s %s HTTP/1.1\r\n", x->method,
			       message_target(in));
	for (unsigned i = 0; i < in->headers->len; i++) {
		const char *name = message_name_at(in, i);

		if (message_is_connection_header(name) ||
		    !strcasecmp(name, d->deadline_ms) ||
		    !strcasecmp(name, d->expected_instance) ||
		    !strcasecmp(name, d->api_key) ||
		    !strcasecmp(name, d->organisation) ||
		    is_connection_option(in, name))
			continue;
		g_string_append_printf(head, "%s: %s\r\n", name,
				       message_value_at(in, i));
	}
	if (in->body->len || in->framed)
		g_string_append_printf(head, "Content-Length: %u\r\n",
				       in->body->len);
	if (x->organisation)
		g_string_append_printf(head, "%s: %s\r\n", d->organisation,
				       x->organisation->name);
	if (!x->use_pool)
		g_string_append(head, "Connection: close\r\n");
	return head;
}

/* Returns the hash by which VMs recognise the same request. */
static uint64_t identity_of(const struct exchange *x, const struct message *in)
{
	const struct tr_request_parts parts = {
		.method = x->method,
		.host = message_header(in, "Host"),
		.target = message_target(in),
		.organisation = x->organisation ? x->organisation->name : NULL,
		.body = x->body->data,
		.body_len = x->body->len,
	};

	return tr_identity(tr_hash_string(x->e->settings->store), &parts);
}

/*
 * Returns when the reply must be sent: by the caller's deadline or the route's
 * timeout, whichever is earlier. The caller's time runs from the first byte: a
 * body that came in slowly has used up time that the target no longer has.
 */
static apr_time_t deadline_of(const struct entry *e,
			      const struct caller *caller,
			      const struct tr_path_route *route)
{
	const char *text = message_header(&caller->in, e->dialect->deadline_ms);
	apr_time_t left = text ? TR_MSEC(strtoll(text, NULL, 10)) : 0;
	apr_time_t transit = left / REPLY_TRANSIT_PART;

	if (left <= 0)
		return caller->request_began_at + route->timeout;
	left -= transit < MAX_REPLY_TRANSIT ? transit : MAX_REPLY_TRANSIT;
	return caller->request_began_at +
	       (left < route->timeout ? left : route->timeout);
}

/* Memory is short: gives up a request that has not ended. */
static void give_up_body(void *ctx)
{
	struct exchange *x = ctx;

	x->maybe_ran = exchange_may_have_run(x);
	exchange_give_up(x, "memory");
}

static const struct tr_buffer_use body_use = {
	.kind = TR_BUFFER_SENT,
	.give_up = give_up_body,
};

/* Takes the body of the request over from the caller. */
static void move_body(struct exchange *x)
{
	struct tr_buffers *buffers = &x->e->buffers;

	x->body = caller_take_body(x->caller);
	if (!x->body->len)
		return;
	x->buffer = tr_buffers_open(buffers, &body_use, x);
	tr_buffers_resize(buffers, x->buffer, x->body->len);
}

/* Creates the exchange and sends the request to a target. */
static void start_exchange(struct entry *e, struct caller *caller,
			   const struct tr_path_route *route,
			   const struct tr_organisation *organisation)
{
	struct exchange *x = calloc(1, sizeof(*x));
	struct message *in = &caller->in;
	struct admission_result admission;
	const char *why;

	x->e = e;
	x->caller = caller;
	caller->handler_data = x;
	x->routes = tr_routes_ref(e->routes);
	x->route = route;
	x->organisation = organisation;
	x->use_pool = route->kind == TR_KIND_SAFE &&
		      tr_mechanism_enabled(TR_MECH_CONNECTION_POOL);
	x->needs_key = x->routes->organisations && !route->is_public;
	x->next = e->exchanges;
	if (x->next)
		x->next->prev = x;
	e->exchanges = x;
	e->exchanges_count++;
	e->split_position = fmod(e->split_position + GOLDEN, 1);
	x->service =
		x->routes
			->services[route
					   ->split[tr_split_choose(
						   route, e->split_position)]
					   .service]
			.row_index;
	x->id = g_strdup(message_header(in, e->dialect->request_id));
	x->method =
		g_strdup(http_method_str((enum http_method)in->parser.method));
	x->arrived = caller->request_began_at;
	x->deadline = deadline_of(e, caller, route);
	x->head = make_request_head(x, in);
	move_body(x);
	x->identity = identity_of(x, in);
	tr_allowance_request(entry_allowance(e, x->service), &e->repeat_bound,
			     entry_now(e));
	admission = admission_check(e, x);
	x->retry_after = admission.retry_after;
	crossing_note_arrivals(e, x->service, 1);
	why = admission.admitted ? exchange_send(x) : admission.why;
	if (why)
		exchange_give_up(x, why);
}

/*
 * Returns whether another VM has a newer configuration. It may hold a route
 * that is unknown here, and a caller that is told 404 would not retry.
 */
bool exchange_routes_outdated(const struct entry *e)
{
	uint64_t newest = tr_spread_newest_revision(
		&e->members, TR_RESOURCE_ROUTES, entry_now(e));

	return newest > entry_routes_order(e) && newest > e->refused_order;
}

/* Returns the route of the request, or NULL. */
static const struct tr_path_route *match_route(const struct entry *e,
					       const struct message *in)
{
	const char *host = message_header(in, "Host");

	return tr_routes_match(e->routes, host, strcspn(host, ":"),
			       message_target(in));
}

/* Checks the request, and refuses it or starts its exchange. */
static void admit(struct entry *e, struct caller *caller)
{
	const struct message *in = &caller->in;
	const char *host = message_header(in, "Host");
	const struct tr_organisation *organisation;
	const struct tr_path_route *route;

	if (!e->routes || !e->roster.confirmed_at) {
		reject(caller, 503);
		return;
	}
	if (!host || message_count(in, "Host") != 1 ||
	    !message_header(in, e->dialect->request_id) ||
	    message_target(in)[0] != '/') {
		reject(caller, 400);
		return;
	}
	route = match_route(e, in);
	if (!route && exchange_routes_outdated(e)) {
		reject(caller, 503);
		return;
	}
	if (!route) {
		eventlog(EVENT_REQUEST, "request",
			 "id=%s status=404 why=no-route host=%s "
			 "version=%" PRIu64,
			 message_header(in, e->dialect->request_id), host,
			 e->routes->version);
		reject(caller, 404);
		return;
	}
	if (exchange_authenticate(e, caller, route, &organisation))
		start_exchange(e, caller, route, organisation);
}

/*
 * Returns whether requests must be held. After a pause of the process, its data
 * is from before the pause: requests are held until the list is known to be
 * current, or for a short time. Otherwise they would go to targets that left
 * meanwhile. Just after the start there is no data at all.
 */
static bool must_hold(struct entry *e)
{
	apr_time_t now = entry_now(e);

	entry_check_pause(e, now);
	if (e->routes && e->routes->organisations && now < e->limits_settle_at)
		return true;
	if (!e->routes || !e->roster.confirmed_at || !entry_is_settled(e) ||
	    !entry_may_use_keys(e))
		return now - e->started_at < MAX_HOLD_AT_START ||
		       now < e->hold_until;
	return now < e->hold_until && entry_view_age(e) > MAX_LIST_AGE;
}

static void handle_request(void *ctx, struct caller *caller)
{
	struct entry *e = ctx;

	e->counts.requests++;
	caller->handler_data = NULL;
	caller->counted_in_limit = false;
	if (must_hold(e)) {
		exchange_count_request(e, caller);
		g_ptr_array_add(e->held_callers, caller);
	} else {
		admit(e, caller);
	}
}

/*
 * Admits the held requests once the data is current or they were held long
 * enough.
 */
void exchange_resume_held(struct entry *e)
{
	if (!e->held_callers->len || must_hold(e))
		return;
	while (e->held_callers->len)
		admit(e, g_ptr_array_remove_index(e->held_callers, 0));
}

/* Refuses the held requests. */
void exchange_refuse_held(struct entry *e)
{
	while (e->held_callers->len)
		reject(g_ptr_array_remove_index(e->held_callers, 0), 503);
}

/* Returns whether the request, of which the head has been read, can't be sent
 * to a target any more when its body is whole. */
static bool is_too_late(const struct entry *e, const struct caller *caller)
{
	const struct tr_path_route *route;

	if (!e->routes || !message_header(&caller->in, "Host"))
		return false;
	route = match_route(e, &caller->in);
	return route &&
	       tr_stop_ends_before(&e->stop, deadline_of(e, caller, route));
}

/*
 * Refuses requests of which the body is still being read and that this VM,
 * which takes no more of them, will not send to a target: other VMs can serve
 * them.
 */
void exchange_refuse_unread(struct entry *e)
{
	struct caller *next;

	for (struct caller *c = e->front.callers; c; c = next) {
		next = c->next;
		if (!c->handling && c->in.head_done && is_too_late(e, c))
			reject(c, 503);
	}
}

/*
 * The caller has disconnected. A request that may be repeated is cancelled at
 * its target. Any other goes on to its end, since it cannot be undone.
 */
static void caller_gone(void *ctx, struct caller *caller)
{
	struct entry *e = ctx;
	struct exchange *x = caller->handler_data;

	e->counts.callers_gone++;
	g_ptr_array_remove(e->held_callers, caller);
	if (!x || x->done)
		return;
	x->caller = NULL;
	if (x->route->kind == TR_KIND_SAFE || !exchange_any_active(x)) {
		exchange_log_end(x, 499, "caller-gone");
		exchange_finish(x);
	}
}

const struct listener_callbacks exchange_callbacks = { handle_request,
						       caller_gone };
