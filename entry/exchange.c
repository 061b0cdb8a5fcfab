/*
 * One request of a caller: which route, which target, whether to send it once
 * more, and which answer is true of it.
 */
#include "exchange.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "entry_settings.h"
#include "eventlog.h"
#include "mesh.h"
#include "place.h"
#include "upstream.h"

/* Attempts that run at the same time, and targets tried in all. Refusals and
 * failed connections run nothing, so they do not count as attempts. */
#define TRIES	   2
#define TRIED_MOST 8
/* A running attempt is seconded by another when its target is gray with this
 * probability: from there on waiting is worth less than a second target. */
#define SECOND_RISK 0.15
/* What is left of a request's time when it is given up, for the answer's way.
 */
#define ANSWER_WAY TR_MSEC(10)
/* Golden ratio: steps of it spread weights evenly over any span of draws. */
#define GOLDEN		  0.6180339887498949
#define RETRY_AFTER_LEAST TR_MSEC(50)
/* Between two turns of the loop's step, 25 ms apart, that tell of a pause; how
 * old the list may be without holding requests after one; and how long they
 * are held: a reader's answer and a message's way take a tenth of that. */
#define PAUSED	  TR_MSEC(700)
#define HELD_AGE  TR_MSEC(1500)
#define HOLD_MOST TR_MSEC(300)

struct exchange {
	struct entry *e;
	struct exchange *next;
	struct exchange *prev;
	struct caller *caller;
	struct tr_routes *routes;
	const struct tr_path_route *route;
	uint32_t service;
	char *id;
	char *method;
	GString *head;
	GByteArray *body;
	apr_time_t arrived;
	apr_time_t ends_at;
	struct upstream tries[TRIES];
	uint32_t tried[TRIED_MOST];
	double risk[TRIED_MOST];
	uint32_t there[TRIED_MOST];
	unsigned tried_count;
	unsigned runs;
	bool maybe_ran;
	bool done;
	struct loop_timer *timer;
};

static apr_time_t usual_of(const struct exchange *x)
{
	return tr_service_takes(&x->e->roster, x->service,
				x->route->latency_aim);
}

static void free_exchange(struct exchange *x)
{
	struct entry *e = x->e;

	loop_cancel(e->loop, x->timer);
	for (int i = 0; i < TRIES; i++)
		upstream_release(&x->tries[i]);
	if (x->prev)
		x->prev->next = x->next;
	else
		e->exchanges = x->next;
	if (x->next)
		x->next->prev = x->prev;
	e->exchanges_count--;
	tr_routes_drop(x->routes);
	if (x->head)
		g_string_free(x->head, TRUE);
	if (x->body)
		g_byte_array_free(x->body, TRUE);
	g_free(x->id);
	g_free(x->method);
	free(x);
}

static void freed_later(void *ctx)
{
	struct exchange *x = ctx;

	x->timer = NULL;
	free_exchange(x);
}

/* The fate is settled. Freed from the loop, since attempts may be on the
 * stack. */
static void settle(struct exchange *x)
{
	x->done = true;
	x->caller = NULL;
	for (int i = 0; i < TRIES; i++)
		upstream_stop(&x->tries[i], UPSTREAM_ABANDONED);
	loop_cancel(x->e->loop, x->timer);
	x->timer = loop_after(x->e->loop, 0, freed_later, x);
}

/* The targets that were tried, in their order, with the chance that each was
 * gray when it was chosen. */
static const char *tried_text(const struct exchange *x, char *buf, size_t size)
{
	const struct tr_roster *roster = &x->e->roster;
	size_t len = 0;

	buf[0] = 0;
	for (unsigned i = 0; i < x->tried_count && len < size; i++)
		len += (size_t)snprintf(
			buf + len, size - len, "%s%s:%.2f:%u", i ? "," : "",
			roster->rows[x->tried[i]].id, x->risk[i], x->there[i]);
	return buf;
}

static void log_end(const struct exchange *x, int status, const char *why)
{
	const struct entry *e = x->e;
	apr_time_t now = entry_now(e);
	char tried[256];

	eventlog(status >= 500 ? EVENT_FAILURE : EVENT_REQUEST, "request",
		 "id=%s route=%s service=%s status=%d why=%s took_ms=%ld "
		 "left_ms=%ld runs=%u tried=%s version=%" PRIu64
		 " view_age_ms=%ld",
		 x->id, x->route->name, e->roster.services[x->service].name,
		 status, why, (long)((now - x->arrived) / 1000),
		 (long)((x->ends_at - now) / 1000), x->runs,
		 tried_text(x, tried, sizeof(tried)), x->routes->version,
		 (long)(entry_view_age(e) / 1000));
}

static void answer_own(struct exchange *x, int status, const char *why)
{
	struct caller_answer answer = { .status = status };
	struct entry *e = x->e;
	struct caller *caller = x->caller;
	GString *headers = g_string_new(NULL);
	apr_time_t after;

	if (status == 503) {
		after = tr_place_return_after(&e->roster, x->service,
					      usual_of(x), &e->random,
					      entry_now(e));
		if (after < RETRY_AFTER_LEAST)
			after = RETRY_AFTER_LEAST;
		g_string_append_printf(headers, "Retry-After: %.3f\r\n",
				       (double)after / 1e6);
		e->counts.refused++;
	} else {
		e->counts.failed++;
	}
	g_string_append_printf(headers, "%s: %s\r\n", e->dialect->request_id,
			       x->id);
	log_end(x, status, why);
	answer.headers = headers->str;
	settle(x);
	if (caller)
		caller_answer(caller, &answer);
	g_string_free(headers, TRUE);
}

/* The last word of this VM's own: not run only where that is proved. */
static void give_up(struct exchange *x, const char *why)
{
	if (x->maybe_ran)
		answer_own(x, 502, why);
	else
		answer_own(x, 503, why);
}

static bool is_for_peer_only(const struct dialect *d, const char *name)
{
	return message_is_connection_header(name) ||
	       !strcasecmp(name, d->load) || !strcasecmp(name, d->not_run);
}

/* Pass on a target's answer, as it was given. */
static void deliver(struct exchange *x, struct upstream *u)
{
	const struct message *msg = &u->answer;
	int status = msg->parser.status_code;
	struct caller *caller = x->caller;
	GString *headers = g_string_sized_new(256);
	struct caller_answer answer = {
		.status = status,
		.body = msg->body->data,
		.body_len = msg->body->len,
		.no_body = status == 204 || status == 304 ||
			   !strcmp(x->method, "HEAD"),
	};

	for (unsigned i = 0; i < msg->headers->len; i++)
		if (!is_for_peer_only(x->e->dialect, message_name_at(msg, i)))
			g_string_append_printf(headers, "%s: %s\r\n",
					       message_name_at(msg, i),
					       message_value_at(msg, i));
	x->e->counts.answered++;
	log_end(x, status, "answered");
	answer.headers = headers->str;
	settle(x);
	if (caller)
		caller_answer(caller, &answer);
	g_string_free(headers, TRUE);
}

/* These statuses promise that nothing was run. */
static bool promises_not_run(int status)
{
	return status == 429 || status == 503 || status == 408 || status == 421;
}

static bool any_active(const struct exchange *x)
{
	for (int i = 0; i < TRIES; i++)
		if (x->tries[i].active)
			return true;
	return false;
}

static void set_timer(struct exchange *x);
static void upstream_done(void *ctx, struct upstream *u, enum upstream_end how);

static GString *head_for(const struct exchange *x,
			 const struct tr_instance *row)
{
	const struct dialect *d = x->e->dialect;
	apr_time_t left = x->ends_at - entry_now(x->e);
	GString *head = g_string_new_len(x->head->str, (gssize)x->head->len);

	g_string_append_printf(head, "%s: %ld\r\n%s: %s\r\n\r\n",
			       d->deadline_ms,
			       left > 1000 ? (long)(left / 1000) : 1L,
			       d->expected_instance, row->id);
	return head;
}

static struct upstream *free_try(struct exchange *x)
{
	for (int i = 0; i < TRIES; i++)
		if (!x->tries[i].active)
			return &x->tries[i];
	return NULL;
}

static enum tr_place_result choose(struct exchange *x, struct tr_placing *p)
{
	const struct entry *e = x->e;
	apr_time_t now = entry_now(e);
	struct tr_wish wish = {
		.service = x->service,
		.kind = x->route->kind,
		.usual = usual_of(x),
		.aim = x->route->latency_aim,
		.aim_left = x->arrived + x->route->latency_aim - now,
		.time_left = x->ends_at - now,
		.data_centre = e->members.nodes[0].data_centre,
		.tried = x->tried,
		.tried_count = x->tried_count,
		.body_bytes = x->body->len,
		.floor_share = e->settings->bounds.floor_share,
	};

	return tr_place(&e->roster, &wish, &x->e->random, now, p);
}

static int send_to(struct exchange *x, const struct tr_placing *p)
{
	struct entry *e = x->e;
	const struct tr_instance *row = &e->roster.rows[p->row];
	struct upstream_request request = {
		.request_id = x->id,
		.head = head_for(x, row),
		.body = x->body,
		.head_only = !strcmp(x->method, "HEAD"),
		.expected = usual_of(x) + p->wait,
	};
	int res;

	if (row->cold_until > entry_now(e))
		request.expected += usual_of(x);
	x->risk[x->tried_count] = p->risk;
	x->there[x->tried_count] = row->in_flight + row->others_in_flight;
	x->tried[x->tried_count++] = p->row;
	x->runs++;
	res = upstream_start(free_try(x), e, p->row, &request, upstream_done,
			     x);
	/* Before the others send one too. */
	if (p->due)
		mesh_tell_now(e->mesh);
	return res;
}

static const char *const place_words[] = { "found", "no-target", "all-tried",
					   "too-late" };

/* Send the request to a target; NULL, or why there is none. */
static const char *send_somewhere(struct exchange *x)
{
	struct tr_placing p;

	while (x->tried_count < TRIED_MOST) {
		enum tr_place_result res = choose(x, &p);

		if (res != TR_PLACE_FOUND)
			return place_words[res];
		if (!send_to(x, &p)) {
			set_timer(x);
			return NULL;
		}
		x->runs--;
	}
	return "all-tried";
}

static bool may_repeat(struct exchange *x)
{
	struct entry *e = x->e;

	if (x->done || x->tried_count >= TRIED_MOST || !free_try(x) ||
	    x->ends_at - entry_now(e) < usual_of(x) / 2)
		return false;
	return tr_allowance_spend(
		entry_allowance(e, x->service), &e->repeat_bound,
		tr_membership_heard_share(&e->members, entry_now(e)),
		entry_now(e));
}

/* Second a running attempt whose target is probably gray. */
static void second(struct exchange *x, const struct upstream *u)
{
	const struct tr_instance *row = &x->e->roster.rows[u->row];
	struct tr_placing p;

	if (x->route->kind != TR_KIND_SAFE || x->runs >= x->route->attempts ||
	    !free_try(x) ||
	    tr_gray_probability(&row->gray, entry_now(x->e)) < SECOND_RISK)
		return;
	if (choose(x, &p) != TR_PLACE_FOUND ||
	    p.risk >= tr_gray_probability(&row->gray, entry_now(x->e)) ||
	    !may_repeat(x))
		return;
	x->e->counts.repeats++;
	if (send_to(x, &p))
		x->runs--;
}

static void look(void *ctx)
{
	struct exchange *x = ctx;
	apr_time_t now = entry_now(x->e);

	x->timer = NULL;
	if (now >= x->ends_at) {
		for (int i = 0; i < TRIES; i++) {
			if (!x->tries[i].active)
				continue;
			x->maybe_ran |= x->tries[i].connected;
			upstream_stop(&x->tries[i], UPSTREAM_TIMED_OUT);
		}
		answer_own(x, x->maybe_ran ? 504 : 503, "timeout");
		return;
	}
	for (int i = 0; i < TRIES && !x->done; i++) {
		struct upstream *u = &x->tries[i];

		if (!u->active)
			continue;
		upstream_look(u, now);
		if (!x->done && u->active && u->stage >= TR_STAGE_LATE)
			second(x, u);
	}
	if (!x->done)
		set_timer(x);
}

static void set_timer(struct exchange *x)
{
	apr_time_t now = entry_now(x->e);
	apr_time_t at = x->ends_at;

	loop_cancel(x->e->loop, x->timer);
	x->timer = NULL;
	for (int i = 0; i < TRIES; i++) {
		apr_time_t next;

		if (!x->tries[i].active)
			continue;
		next = upstream_look(&x->tries[i], now);
		if (x->done)
			return;
		if (next < at)
			at = next;
	}
	if (x->timer)
		return;
	x->timer = loop_after(x->e->loop, at > now ? at - now : 0, look, x);
}

/* Nothing was run at the target: another, while there is time. */
static void after_refusal(struct exchange *x, enum upstream_end how)
{
	const char *why = upstream_end_word(how);

	x->runs--;
	if (any_active(x))
		return;
	/* What never reached a target is no repeat for the fleet's bound. */
	if (how == UPSTREAM_UNREACHED || may_repeat(x)) {
		why = send_somewhere(x);
		if (!why)
			return;
	}
	give_up(x, why);
}

static void after_failure(struct exchange *x, struct upstream *u,
			  enum upstream_end how)
{
	int status = u->answer.parser.status_code;

	x->maybe_ran = true;
	if (x->route->kind == TR_KIND_SAFE && x->runs < x->route->attempts &&
	    may_repeat(x)) {
		x->e->counts.repeats++;
		if (!send_somewhere(x))
			return;
	}
	if (any_active(x))
		return;
	if (how == UPSTREAM_FAILED && !promises_not_run(status))
		deliver(x, u);
	else
		give_up(x, upstream_end_word(how));
}

static void upstream_done(void *ctx, struct upstream *u, enum upstream_end how)
{
	struct exchange *x = ctx;

	if (x->done)
		return;
	switch (how) {
	case UPSTREAM_ANSWERED:
		if (promises_not_run(u->answer.parser.status_code))
			after_failure(x, u, how);
		else
			deliver(x, u);
		break;
	case UPSTREAM_REFUSED:
	case UPSTREAM_UNREACHED:
		after_refusal(x, how);
		break;
	default:
		after_failure(x, u, how);
		break;
	}
}

static void refuse(struct caller *caller, int status)
{
	struct caller_answer answer = { .status = status };

	if (status == 503)
		answer.headers = "Retry-After: 0.300\r\n";
	caller_answer(caller, &answer);
}

/* Does the Connection header name this one as its connection's own? */
static bool named_by_connection(const struct message *in, const char *name)
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

static GString *make_head(const struct exchange *x, const struct message *in)
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
		    named_by_connection(in, name))
			continue;
		g_string_append_printf(head, "%s: %s\r\n", name,
				       message_value_at(in, i));
	}
	if (in->body->len || in->framed)
		g_string_append_printf(head, "Content-Length: %u\r\n",
				       in->body->len);
	g_string_append(head, "Connection: close\r\n");
	return head;
}

static apr_time_t deadline_of(const struct exchange *x,
			      const struct message *in)
{
	const char *text = message_header(in, x->e->dialect->deadline_ms);
	apr_time_t left = text ? TR_MSEC(strtoll(text, NULL, 10)) : 0;

	if (left <= 0 || left > x->route->timeout)
		left = x->route->timeout;
	return x->arrived + (left > 2 * ANSWER_WAY ? left - ANSWER_WAY : left);
}

static void start(struct entry *e, struct caller *caller,
		  const struct tr_path_route *route)
{
	struct exchange *x = calloc(1, sizeof(*x));
	struct message *in = &caller->in;
	const char *why;

	x->e = e;
	x->caller = caller;
	caller->work = x;
	x->routes = tr_routes_hold(e->routes);
	x->route = route;
	x->next = e->exchanges;
	if (x->next)
		x->next->prev = x;
	e->exchanges = x;
	e->exchanges_count++;
	e->draw = fmod(e->draw + GOLDEN, 1);
	x->service =
		x->routes
			->services[route->split[tr_split_draw(route, e->draw)]
					   .service]
			.known_as;
	x->id = g_strdup(message_header(in, e->dialect->request_id));
	x->method =
		g_strdup(http_method_str((enum http_method)in->parser.method));
	x->arrived = entry_now(e);
	x->ends_at = deadline_of(x, in);
	x->head = make_head(x, in);
	x->body = in->body;
	in->body = g_byte_array_new();
	tr_allowance_request(entry_allowance(e, x->service), &e->repeat_bound,
			     x->arrived);
	why = send_somewhere(x);
	if (why)
		give_up(x, why);
}

static void admit(struct entry *e, struct caller *caller)
{
	const struct message *in = &caller->in;
	const char *host = message_header(in, "Host");
	const struct tr_path_route *route;

	if (!e->routes || !e->roster.current_at) {
		refuse(caller, 503);
		return;
	}
	if (!host || message_count(in, "Host") != 1 ||
	    !message_header(in, e->dialect->request_id) ||
	    message_target(in)[0] != '/') {
		refuse(caller, 400);
		return;
	}
	route = tr_routes_match(e->routes, host, strcspn(host, ":"),
				message_target(in));
	if (!route) {
		eventlog(EVENT_REQUEST, "request",
			 "id=%s status=404 why=no-route host=%s "
			 "version=%" PRIu64,
			 message_header(in, e->dialect->request_id), host,
			 e->routes->version);
		refuse(caller, 404);
		return;
	}
	start(e, caller, route);
}

/*
 * After a pause of the process, what it knows is of before it: requests wait
 * until the list is known to be current, or for a short time. One would notice
 * by requests to targets that left meanwhile.
 */
static bool is_stale(struct entry *e)
{
	apr_time_t now = entry_now(e);

	if (e->stepped_at && now - e->stepped_at > PAUSED)
		e->hold_until = now + HOLD_MOST;
	return now < e->hold_until && entry_view_age(e) > HELD_AGE;
}

static void handle(void *ctx, struct caller *caller)
{
	struct entry *e = ctx;

	e->counts.requests++;
	caller->work = NULL;
	if (is_stale(e))
		g_ptr_array_add(e->held, caller);
	else
		admit(e, caller);
}

/* Serve what was held, once the list is current or it has waited enough. */
void exchange_serve_held(struct entry *e)
{
	if (!e->held->len || is_stale(e))
		return;
	while (e->held->len)
		admit(e, g_ptr_array_remove_index(e->held, 0));
}

/*
 * The caller has left. What may repeat is cancelled at its target; what must
 * not goes on to its end, for nobody can take it back.
 */
static void gone(void *ctx, struct caller *caller)
{
	struct entry *e = ctx;
	struct exchange *x = caller->work;

	e->counts.callers_gone++;
	g_ptr_array_remove(e->held, caller);
	if (!x || x->done)
		return;
	x->caller = NULL;
	if (x->route->kind == TR_KIND_SAFE || !any_active(x)) {
		log_end(x, 499, "caller-gone");
		settle(x);
	}
}

const struct door_calls exchange_door = { handle, gone };

/* Free all that run; for the end of the process. */
void exchange_end_all(struct entry *e)
{
	while (e->exchanges)
		free_exchange(e->exchanges);
}
