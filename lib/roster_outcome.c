/*
 * What the roster learns from the outcomes of requests, of the whole fleet as
 * far as they are reported.
 */
#include "clock.h"
#include "roster_internal.h"

/* How often the share of gray targets is updated: evidence decays within
 * seconds. */
#define LEARN_INTERVAL TR_MSEC(200)

/* Returns the mean probability of being gray over the service's targets, or a
 * negative number if it has none. */
static double mean_gray_probability(const struct tr_roster *roster,
				    uint32_t service, apr_time_t now)
{
	double sum = 0;
	unsigned n = 0;

	for (unsigned i = 0; i < roster->count; i++) {
		const struct tr_instance *row = &roster->rows[i];

		if (row->service != service || row->remote ||
		    !tr_instance_usable(row, now))
			continue;
		sum += tr_gray_probability(&row->gray, now);
		n++;
	}
	return n ? sum / n : -1;
}

/*
 * Learns the share of gray targets of each service, which is the prior for
 * targets that nobody has used for a while. With a fixed prior of 0.06 and
 * three in ten targets gray, such targets were given requests that must run
 * once.
 */
void tr_roster_learn_shares(struct tr_roster *roster, apr_time_t now)
{
	apr_time_t elapsed = now - roster->learned_at;

	if (elapsed < LEARN_INTERVAL)
		return;
	for (unsigned s = 0; roster->learned_at && s < roster->services_count;
	     s++) {
		double share = mean_gray_probability(roster, s, now);

		if (share >= 0)
			tr_service_stats_learn_gray_share(
				&roster->services[s], share,
				(double)elapsed / 1e6);
	}
	for (unsigned i = 0; i < roster->count; i++) {
		struct tr_instance *row = &roster->rows[i];

		/* A row whose first record said that it is gone has no service.
		 */
		if (row->service < roster->services_count)
			row->gray.prior =
				roster->services[row->service].gray_share;
	}
	roster->learned_at = now;
}

static void advance(apr_time_t *at, apr_time_t then)
{
	if (then > *at)
		*at = then;
}

/*
 * Learns the speed of the target from an outcome. When the request was sent
 * isn't reported; what the target held then is looked up by how long answers of
 * that stage usually take. What it holds as an answer arrives would mislead: by
 * the time a slowed request ends, those that it ran beside have mostly left.
 */
static void learn_speed(struct tr_roster *roster, struct tr_instance *row,
			enum tr_symptom symptom, unsigned times, apr_time_t now)
{
	struct tr_service_stats *service = &roster->services[row->service];
	double factor =
		tr_target_speed_took(&row->speed, &service->speed, symptom,
				     tr_worktime_spread(&service->work_time));
	double took = factor * (double)tr_worktime_mean(&service->work_time, 0);
	uint32_t held = tr_held_history_at(
		&row->held_history, (unsigned)(took / TR_ROSTER_STEP_INTERVAL));

	tr_service_speed_add(&service->speed, symptom, times, now);
	tr_target_speed_add(&row->speed, &service->speed, symptom, times,
			    held > tr_target_speed_room(row->slots), now);
}

/*
 * Adds an outcome of a request at the target, from whichever VM. A request that
 * is overdue counts as failed at the time it was sent, as far as that is known.
 */
void tr_roster_add_outcome(struct tr_roster *roster, struct tr_instance *row,
			   enum tr_symptom symptom, unsigned times,
			   apr_time_t now)
{
	const struct tr_worktime *work_time =
		&roster->services[row->service].work_time;
	apr_time_t mean_time = tr_worktime_mean(work_time, 0);
	bool suspect = tr_gray_probability(&row->gray, now) >= TR_SUSPECT_RISK;
	apr_time_t sent_at;

	tr_gray_add(&row->gray, symptom, times, now);
	tr_service_stats_add_outcomes(&roster->services[row->service], symptom,
				      times, now);
	if (!row->remote && !suspect && tr_symptom_ends_request(symptom) &&
	    symptom != TR_SYMPTOM_FAILED)
		tr_occupancy_ended(&roster->services[row->service].occupancy,
				   times, now);
	if (roster->learn_target_speed)
		learn_speed(roster, row, symptom, times, now);
	if (symptom == TR_SYMPTOM_OVERDUE) {
		sent_at = now -
			  tr_gray_stage_start(TR_STAGE_OVERDUE, mean_time,
					      tr_worktime_spread(work_time));
		advance(&row->hung_at, sent_at);
		advance(&row->failed_at, sent_at);
	} else if (symptom == TR_SYMPTOM_FAILED) {
		advance(&row->hung_at, now);
		advance(&row->failed_at, now);
	} else if (tr_symptom_ends_request(symptom) &&
		   symptom != TR_SYMPTOM_ANSWERED_OVERDUE) {
		advance(&row->answered_at, now);
		advance(&row->answered_sent_at, now - mean_time);
	}
}

/* Records that a request that was overdue at the target has ended without an
 * answer. */
void tr_roster_end_hang(struct tr_instance *row, apr_time_t now)
{
	if (!tr_instance_answered_since_hang(row))
		row->failed_at = now;
}

/*
 * Tells whether the newest request at the target was answered, and one that was
 * sent after the last request that hangs. Requests that are still in flight
 * then say nothing about the target's present state.
 */
bool tr_instance_answered_since_hang(const struct tr_instance *row)
{
	return row->answered_at >= row->used_at &&
	       row->answered_sent_at > row->hung_at;
}

/* Applies a report of the target's home group. */
void tr_roster_apply_report(struct tr_instance *row, double gray_probability,
			    unsigned in_flight, apr_time_t now)
{
	row->reported_in_flight =
		(uint16_t)(in_flight < UINT16_MAX ? in_flight : UINT16_MAX);
	row->reported_at = now;
	tr_gray_set_probability(&row->gray, gray_probability, now);
}
