/* Periodic checks of pending requests: overdue attempts, callers that left. */
#include <sys/socket.h>

#include "headers.h"
#include "loop.h"
#include "proxy.h"

#define DISCONNECT_CHECK_AFTER TR_MSEC(30)
/* A body that takes longer than this is passed on while it arrives. */
#define STREAM_AFTER TR_MSEC(100)
/* A body may take this long to upload even past the deadline. */
#define UPLOAD_GRACE TR_SEC(30)
/* An attempt is overdue after 3/2 of the threshold for slow answers. */
#define HEDGE_NUMERATOR	  3
#define HEDGE_DENOMINATOR 2

static bool caller_disconnected(const struct request *r)
{
	const union MHD_ConnectionInfo *info;
	char byte;

	if (!r->conn || !r->suspended)
		return false;
	info = MHD_get_connection_info(r->conn,
				       MHD_CONNECTION_INFO_CONNECTION_FD);
	return info &&
	       recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/*
 * Sends an idempotent request that is overdue at one target to another, within
 * the retry budget, instead of waiting for its deadline.
 */
static void maybe_hedge(struct request *r, apr_time_t now)
{
	apr_time_t after = tr_service_slow_threshold(r->svc, r->route) *
			   HEDGE_NUMERATOR / HEDGE_DENOMINATOR;

	if (!r->idempotent || !r->attempt.overdue_reported ||
	    r->forwarded_out || now - r->attempt.began < after ||
	    r->attempt.first_data_at || !attempt_can_resend(r) ||
	    now + tr_service_median_latency(r->svc, r->route) > r->deadline ||
	    !tr_retry_withdraw(&r->svc->retries))
		return;
	r->proxy->counts.hedged++;
	r->svc->counts.retries++;
	proxy_reroute(r);
}

static void sweep_attempt(struct request *r, apr_time_t now)
{
	struct tr_target *target;

	if (!r->attempt_running || r->attempt.forwarded)
		return;
	if (r->attempt.first_data_at && !r->reply.streaming &&
	    now - r->attempt.first_data_at > STREAM_AFTER) {
		r->reply.streaming = true;
		request_resume(r);
		return;
	}
	target = tr_service_target(r->svc, r->attempt.target);
	if (target && !r->attempt.overdue_reported && !r->body_streamed)
		r->attempt.overdue_reported =
			tr_attempt_overdue(r->proxy->board, r->svc, target,
					   r->route, r->attempt.began, now);
	maybe_hedge(r, now);
}

/* Fails queued requests that can't be answered in time any more. */
static void sweep_queue(struct proxy *proxy, struct tr_service *svc,
			apr_time_t now)
{
	struct request *expired;

	if (!svc->used || !svc->queue.waiters)
		return;
	while ((expired = tr_queue_pop_late(
			&svc->queue, tr_service_median_latency(svc, 0), now))) {
		expired->waiter = TR_NO_WAITER;
		proxy_finish(expired, TR_WOULD_BE_LATE);
	}
	proxy_serve_queue(proxy, svc);
}

static void sweep_request(struct request *r, apr_time_t now)
{
	if (r->state == REQUEST_HEADERS) {
		request_resume(r);
		return;
	}
	if (r->state == REQUEST_BODY && now - r->began > UPLOAD_GRACE &&
	    !r->body_streamed && now > r->deadline) {
		proxy_finish(r, TR_WOULD_BE_LATE);
		return;
	}
	if (now - r->began > DISCONNECT_CHECK_AFTER &&
	    r->state != REQUEST_DONE && caller_disconnected(r) &&
	    r->record == TR_NO_RECORD) {
		proxy_finish(r, TR_CALLER_GONE);
		return;
	}
	if (r->state == REQUEST_AT_TARGET)
		sweep_attempt(r, now);
}

/* Checks all requests and queues; call about every 10 ms. */
void proxy_sweep(struct proxy *proxy)
{
	apr_time_t now = tr_clock_now(loop_clock(proxy->loop));
	struct request *next;

	for (struct request *r = proxy->requests; r; r = next) {
		next = r->next;
		sweep_request(r, now);
	}
	for (int i = 0; i < TR_MAX_SERVICES; i++)
		sweep_queue(proxy, &proxy->board->services[i], now);
}
