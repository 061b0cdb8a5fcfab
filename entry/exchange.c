/*
 * Attempts of a request: choice of the target, retries, hedging and the timer.
 */
#include "exchange.h"

#include <stdlib.h>
#include <string.h>

#include "crossing_watch.h"
#include "entry_settings.h"
#include "mechanism.h"
#include "mesh.h"
#include "place.h"
#include "repeat.h"
#include "exchange_internal.h"

/*
 * A running attempt is hedged by a second one when its target is gray with this
 * probability. From there on a second attempt is expected to do better than
 * waiting.
 */
#define HEDGE_RISK 0.15

/*
 * Standard deviation of the logarithm of the latency of queued work, near that
 * of an exponential tail. With the service's own spread, targets were suspected
 * because of their queue, and up to 0.02 of the operators' score was lost at
 * high load.
 */
#define QUEUED_SPREAD 0.75

/*
 * How often a request that waits for the same request elsewhere checks on it.
 */
#define WAIT_POLL_PERIOD TR_MSEC(50)

static void set_timer(struct exchange *x);
static void upstream_done(void *ctx, struct upstream *u, enum upstream_end how);

/*
 * Returns the request head for a target, with the time left and the expected
 * target.
 */
static GString *head_for_target(const struct exchange *x,
				const struct tr_instance *row)
{
	const struct dialect *d = x->e->dialect;
	apr_time_t left = x->deadline - entry_now(x->e);
	GString *head = g_string_new_len(x->head->str, (gssize)x->head->len);

	g_string_append_printf(head, "%s: %ld\r\n%s: %s\r\n\r\n",
			       d->deadline_ms,
			       left > 1000 ? (long)(left / 1000) : 1L,
			       d->expected_instance, row->id);
	return head;
}

static struct upstream *free_upstream(struct exchange *x)
{
	for (int i = 0; i < MAX_UPSTREAMS; i++)
		if (!x->upstreams[i].active)
			return &x->upstreams[i];
	return NULL;
}

/*
 * Returns how long work takes at a target with a free slot. Where admission is
 * controlled, time in queues is left out: otherwise an overload makes targets
 * look slower than they are, and fewer requests are admitted than they serve.
 */
static apr_time_t expected_work(const struct exchange *x)
{
	if (!x->e->admission.enabled)
		return exchange_typical_latency(x);
	return tr_service_stats_uncontended_time(
		&x->e->roster.services[x->service], x->route->latency_aim);
}

/*
 * Returns the chance that the fleet's bound denies one more attempt if one that
 * is sent now fails.
 */
static double repeat_denied(const struct exchange *x, apr_time_t now)
{
	const struct tr_service_stats *svc = &x->e->roster.services[x->service];

	if (!x->e->admission.enabled)
		return 0;
	return 1 -
	       tr_allowance_chance(
		       entry_allowance(x->e, x->service), &x->e->repeat_bound,
		       tr_service_stats_failure_age(svc, x->route->latency_aim),
		       now);
}

static enum tr_place_result choose_target(struct exchange *x,
					  struct tr_placement *p)
{
	const struct entry *e = x->e;
	apr_time_t now = entry_now(e);
	struct tr_service_stats *svc = &x->e->roster.services[x->service];
	apr_time_t aim = x->route->latency_aim;
	enum tr_place_result res;
	struct tr_place_request req = {
		.service = x->service,
		.expected_work = expected_work(x),
		.spread = tr_service_stats_spread(svc),
		.failure_age = tr_service_stats_failure_age(svc, aim),
		.standing_queue = svc->standing_queue || e->admission.enabled,
		.may_repeat = x->route->kind == TR_KIND_SAFE &&
			      x->runs + 1 < x->route->attempts,
		.repeat_denied = repeat_denied(x, now),
		.unseen = admission_unseen(e, x->service),
		.aim_left = x->arrived + aim - now,
		.time_left = x->deadline - now,
		.data_centre = e->members.nodes[0].data_centre,
		.crossing = crossing_of(x->e, x->service),
		.tried = x->tried,
		.tried_count = x->tried_count,
		.body_bytes = x->body->len,
		.use_pool = x->use_pool,
		.floor_share = e->settings->bounds.floor_share,
		.request_rate =
			tr_allowance_rate(entry_allowance(x->e, x->service),
					  &e->repeat_bound, now),
		.heard_share = exchange_heard_share(x),
		.learn_target_speed = e->settings->learn_target_speed,
		.bound_target_bytes = e->settings->bound_target_bytes,
	};

	req.rotation.rank =
		tr_membership_rank(&e->members, now, &req.rotation.vms);
	res = tr_place(&e->roster, &req, &x->e->random, now, p);
	if (res != TR_PLACE_NONE_KNOWN)
		tr_service_stats_track_queue(svc, p->shortest_time, aim, now);
	return res;
}

/*
 * Returns the spread of the expected latency. Behind queued work, the time is
 * uncertain: the spread is then at least that of an exponential tail, so that
 * the answer is not called late too early.
 */
static double latency_spread(const struct exchange *x,
			     const struct tr_placement *p)
{
	double spread =
		tr_service_stats_spread(&x->e->roster.services[x->service]);

	return p->wait && spread < QUEUED_SPREAD ? QUEUED_SPREAD : spread;
}

/* Starts an attempt at a target. Returns 0, or -1 if it failed at once. */
static int send_to(struct exchange *x, const struct tr_placement *p)
{
	struct entry *e = x->e;
	const struct tr_instance *row = &e->roster.rows[p->row];
	struct upstream_request request = {
		.request_id = x->id,
		.head = head_for_target(x, row),
		.body = x->body,
		.head_only = !strcmp(x->method, "HEAD"),
		.expected = exchange_typical_latency(x) + p->wait,
		.spread = latency_spread(x, p),
		.queued = p->wait > 0,
		.use_pool = x->use_pool,
		.known_exits = tr_fatal_count_ends(&e->fatals, x->identity),
		/* Before other VMs send one for the floor as well. */
		.announces = p->for_floor,
	};

	if (row->cold_until > entry_now(e))
		request.expected += exchange_typical_latency(x);
	x->risk[x->tried_count] = p->risk;
	x->in_flight[x->tried_count] = row->in_flight + row->others_in_flight;
	x->tried[x->tried_count++] = p->row;
	x->for_floor += p->for_floor;
	x->runs++;
	return upstream_start(free_upstream(x), e, p->row, &request,
			      upstream_done, x);
}

static const char *const place_result_names[] = { "found",	   "no-target",
						  "all-tried",	   "too-late",
						  "limited",	   "resting",
						  "body-too-large" };

/* Returns whether an attempt that is sent now ends before a VM that is being
 * stopped does. */
static bool ends_before_vm(const struct exchange *x)
{
	const struct tr_stop_request req = {
		.deadline = x->deadline,
		.expected = exchange_typical_latency(x),
		.spread = tr_service_stats_spread(
			&x->e->roster.services[x->service]),
	};

	return tr_stop_may_send(&x->e->stop, &req, entry_now(x->e));
}

/*
 * Sends the request to a target or lets it wait. Returns NULL, or the reason
 * why neither is possible.
 */
const char *exchange_send(struct exchange *x)
{
	enum tr_fatal_verdict verdict;
	struct tr_placement p;

	if (!ends_before_vm(x))
		return "vm-ends";
	/* The proof may have expired while the request was held. */
	if (x->needs_key && !entry_may_use_keys(x->e))
		return "unproven";
	verdict = exchange_fatal_admit(x);
	if (verdict == TR_FATAL_REFUSE) {
		x->retry_after = tr_fatal_retry_after(
			&x->e->fatals, x->identity, entry_now(x->e));
		return "crashes-targets";
	}
	x->waiting = verdict == TR_FATAL_WAIT;
	if (x->waiting) {
		set_timer(x);
		return NULL;
	}
	while (x->tried_count < MAX_TRIED_TARGETS) {
		enum tr_place_result res = choose_target(x, &p);

		x->e->counts.kept_for_bytes += res == TR_PLACE_BODY_TOO_LARGE;
		if (res != TR_PLACE_FOUND)
			return place_result_names[res];
		if (!send_to(x, &p)) {
			set_timer(x);
			return NULL;
		}
		x->runs--;
	}
	return "all-tried";
}

/* Returns whether one more attempt is possible, the fleet's bound aside. */
static bool can_repeat(struct exchange *x)
{
	return !x->done && x->tried_count < MAX_TRIED_TARGETS &&
	       free_upstream(x) && ends_before_vm(x) &&
	       x->deadline - entry_now(x->e) >=
		       exchange_typical_latency(x) / 2 &&
	       tr_fatal_may_repeat(&x->e->fatals, x->identity);
}

/*
 * Returns whether one more attempt is possible, and spends a repeat of the
 * fleet's bound if so.
 */
static bool may_repeat(struct exchange *x)
{
	if (!can_repeat(x))
		return false;
	if (repeat_admit(x->e, x->service))
		return true;
	x->budget_exhausted = true;
	return false;
}

/*
 * Hedges a late attempt: sends the request to a second target if that is less
 * likely to be gray, or if the answer can't come before the path is whole. An
 * attempt that replaces one that reached no target is admitted already.
 */
static void hedge(struct exchange *x, const struct upstream *u, bool admitted)
{
	const struct tr_roster *roster = &x->e->roster;
	double risk = tr_gray_probability(&roster->rows[u->row].gray,
					  entry_now(x->e));
	bool cut = upstream_is_on_cut_path(u);
	struct tr_placement p;

	/* In an overload answers are late because of queues: a second attempt
	 * would only lengthen them. */
	if (!tr_mechanism_enabled(TR_MECH_HEDGING) ||
	    (admission_is_active(x->e, x->service) && !cut))
		return;
	if (x->route->kind != TR_KIND_SAFE || x->runs >= x->route->attempts ||
	    !free_upstream(x) || (risk < HEDGE_RISK && !cut))
		return;
	if (choose_target(x, &p) != TR_PLACE_FOUND ||
	    (p.risk >= risk && !cut) ||
	    !(admitted ? can_repeat(x) : may_repeat(x)))
		return;
	x->e->counts.repeats += !admitted;
	if (send_to(x, &p))
		x->runs--;
}

/*
 * Sends a request that has waited for the same request elsewhere, or gives it
 * up.
 */
static void send_waiting(struct exchange *x)
{
	const char *why = exchange_send(x);

	if (why)
		exchange_give_up(x, why);
}

/* Handles the deadline, the end of a wait and the ages of running attempts. */
static void on_timer(void *ctx)
{
	struct exchange *x = ctx;
	apr_time_t now = entry_now(x->e);

	x->timer = NULL;
	if (now >= x->deadline) {
		x->maybe_ran = exchange_may_have_run(x);
		for (int i = 0; i < MAX_UPSTREAMS; i++) {
			x->via_peer +=
				x->upstreams[i].active && x->upstreams[i].peer;
			upstream_stop(&x->upstreams[i], UPSTREAM_TIMED_OUT);
		}
		exchange_reply_local(x, x->maybe_ran ? 504 : 503, "timeout");
		return;
	}
	if (x->waiting) {
		send_waiting(x);
		return;
	}
	for (int i = 0; i < MAX_UPSTREAMS && !x->done; i++) {
		struct upstream *u = &x->upstreams[i];

		if (!u->active)
			continue;
		upstream_check_age(u, now);
		if (!x->done && u->active && u->stage >= TR_STAGE_LATE)
			hedge(x, u, false);
	}
	if (!x->done)
		set_timer(x);
}

/*
 * Arms the timer for the next of these events. Checks the ages of attempts,
 * which may end one, and with it the exchange.
 */
static void set_timer(struct exchange *x)
{
	apr_time_t now = entry_now(x->e);
	apr_time_t at = x->deadline;

	if (x->waiting && now + WAIT_POLL_PERIOD < at)
		at = now + WAIT_POLL_PERIOD;
	loop_cancel_timer(x->e->loop, x->timer);
	x->timer = NULL;
	for (int i = 0; i < MAX_UPSTREAMS; i++) {
		apr_time_t next;

		if (!x->upstreams[i].active)
			continue;
		next = upstream_check_age(&x->upstreams[i], now);
		if (x->done)
			return;
		if (next < at)
			at = next;
	}
	if (x->timer)
		return;
	x->timer = loop_add_timer(x->e->loop, at > now ? at - now : 0, on_timer,
				  x);
}

/* Replaces a hedge that reached no target. The attempt that it was for is late
 * still, and no timer is left that would hedge it before the deadline. */
static void hedge_again(struct exchange *x)
{
	for (int i = 0; i < MAX_UPSTREAMS; i++) {
		const struct upstream *u = &x->upstreams[i];

		if (!u->active || !u->connected ||
		    (u->stage < TR_STAGE_LATE && !upstream_is_on_cut_path(u)))
			continue;
		hedge(x, u, true);
		set_timer(x);
		return;
	}
}

/*
 * After a refusal or a failure to connect, nothing has run: tries another
 * target while there is time.
 */
static void after_refusal(struct exchange *x, enum upstream_end how)
{
	const char *why = upstream_end_name(how);

	x->runs--;
	if (exchange_any_active(x)) {
		if (how == UPSTREAM_UNREACHED)
			hedge_again(x);
		return;
	}
	/*
	 * The fleet's bound does not count requests that never reached a
	 * target.
	 */
	if (how == UPSTREAM_UNREACHED ||
	    (tr_mechanism_enabled(TR_MECH_REPEAT_REFUSED) && may_repeat(x))) {
		why = exchange_send(x);
		if (!why)
			return;
	}
	exchange_give_up(x, why);
}

/*
 * After a failure that may have run: retries if the route allows it, otherwise
 * replies once no attempt is left.
 */
static void after_failure(struct exchange *x, struct upstream *u,
			  enum upstream_end how)
{
	int status = u->response.parser.status_code;

	x->maybe_ran = true;
	if (x->route->kind == TR_KIND_SAFE && x->runs < x->route->attempts &&
	    may_repeat(x)) {
		x->e->counts.repeats++;
		if (!exchange_send(x))
			return;
	}
	if (exchange_any_active(x))
		return;
	if (how == UPSTREAM_FAILED && !exchange_status_means_not_run(status))
		exchange_forward_reply(x, u);
	else
		exchange_give_up(x, upstream_end_name(how));
}

static void upstream_done(void *ctx, struct upstream *u, enum upstream_end how)
{
	struct exchange *x = ctx;

	x->reconnected += u->reconnected;
	x->via_peer += u->peer != 0;
	if (x->done)
		return;
	exchange_fatal_observe(x, u, how);
	switch (how) {
	case UPSTREAM_ANSWERED:
		if (exchange_status_means_not_run(
			    u->response.parser.status_code))
			after_failure(x, u, how);
		else
			exchange_forward_reply(x, u);
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

/* Withdraws and hedges the request, if it was sent on a connection of this VM
 * itself. */
static void leave_cut_path(struct exchange *x)
{
	const struct upstream *late = NULL;

	for (int i = 0; i < MAX_UPSTREAMS; i++) {
		struct upstream *u = &x->upstreams[i];

		if (!u->active || !u->connected || !upstream_is_on_cut_path(u))
			continue;
		upstream_withdraw(u);
		late = u;
	}
	if (!late)
		return;
	hedge(x, late, false);
	set_timer(x);
}

/* The path to the targets of a service is cut: what was sent there on
 * connections of this VM before is withdrawn and hedged. */
void exchange_leave_cut_path(struct entry *e, uint32_t service)
{
	for (struct exchange *x = e->exchanges; x; x = x->next)
		if (x->service == service && !x->done)
			leave_cut_path(x);
}

/*
 * Replies to all unfinished requests because the process is about to exit. A
 * connection that is closed without a reply does not tell the caller whether
 * the request may have run: callers would lose requests whenever a VM is
 * stopped while targets hang.
 */
void exchange_reply_all(struct entry *e)
{
	exchange_refuse_held(e);
	for (struct exchange *x = e->exchanges; x; x = x->next)
		if (!x->done)
			exchange_reply_local(
				x, exchange_may_have_run(x) ? 504 : 503,
				"vm-ends");
}

/* Frees all exchanges at the end of the process. */
void exchange_free_all(struct entry *e)
{
	while (e->exchanges)
		exchange_free(e->exchanges);
}
