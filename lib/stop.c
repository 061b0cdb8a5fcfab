/* Phases of a planned stop. */
#include "stop.h"

#include "gray.h"

/* When the phases begin, as shares of the grace period. */
#define NO_IDLE_SHARE 0.2
#define REFUSES_SHARE 0.45
#define OVER_SHARE    0.92

static apr_time_t begins_at(const struct tr_stop *stop, double share)
{
	return stop->since + (apr_time_t)(share * (double)stop->grace);
}

/* Returns the phase of the stop. */
enum tr_stop_phase tr_stop_phase(const struct tr_stop *stop, apr_time_t now)
{
	if (!stop->since)
		return TR_STOP_NONE;
	if (now > begins_at(stop, OVER_SHARE))
		return TR_STOP_OVER;
	if (now > begins_at(stop, REFUSES_SHARE))
		return TR_STOP_REFUSES;
	return now > begins_at(stop, NO_IDLE_SHARE) ? TR_STOP_NO_IDLE
						    : TR_STOP_BEGUN;
}

/* Returns whether the VM gives up what is unfinished before the given time. */
bool tr_stop_ends_before(const struct tr_stop *stop, apr_time_t at)
{
	return stop->since && begins_at(stop, OVER_SHARE) < at;
}

/*
 * Returns whether the request may be sent to a target now. One that would be
 * given up while its target is at work may have run, and its caller can't tell;
 * one that is refused can be sent to another VM at once. So a request is sent
 * if its deadline comes before the end of the stop, or, while connections are
 * accepted, if nearly all answers of its service would.
 */
bool tr_stop_may_send(const struct tr_stop *stop,
		      const struct tr_stop_request *req, apr_time_t now)
{
	if (!tr_stop_ends_before(stop, req->deadline))
		return true;
	if (tr_stop_phase(stop, now) >= TR_STOP_REFUSES)
		return false;
	return !tr_stop_ends_before(
		stop, now + tr_gray_stage_start(TR_STAGE_OVERDUE, req->expected,
						req->spread));
}
