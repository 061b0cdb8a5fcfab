/* Statistics of a service's requests, as this VM and its peers observed them.
 */
#include "service_stats.h"
#include "mechanism.h"

#include <math.h>
#include <string.h>

/* Before the first answers the mean response time is taken to be the target
 * latency divided by this. */
#define INITIAL_MEAN_DIVISOR 4
/* The spread of every service when spreads are not learned. */
#define DEFAULT_SPREAD 0.7
/* Before the first failures their age is taken to be the target latency divided
 * by this, which is as late as a hang is detected. */
#define INITIAL_FAILURE_AGE_DIVISOR 2
/* Weight of the newest failure's age: the mean covers some two dozen. */
#define FAILURE_AGE_WEIGHT 0.04
/* Time constant, in seconds, of the recent outcomes: the window in which
 * operators check how many targets of a service are in use. */
#define RECENT_S 2.0
/* A queue that exceeds the target latency for BURST_LATENCIES times that
 * latency is no burst: the requests that it delays are late in any case, and
 * answering some sooner would not shorten it. It has to be within the target
 * latency for QUEUE_GONE_FACTOR times as long to count as gone. */
#define BURST_LATENCIES	  1
#define QUEUE_GONE_FACTOR 4
/* Time constant, in seconds, of the share of gray targets: a spell or two.
 * Below the lower bound a first failure would add too little evidence; above
 * the upper bound gray and healthy targets could not be told apart. */
#define GRAY_SHARE_S	   8.0
#define GRAY_SHARE_INITIAL 0.06
#define GRAY_SHARE_MIN	   0.03
#define GRAY_SHARE_MAX	   0.4

/* Initialises the statistics of a service without observations. */
void tr_service_stats_init(struct tr_service_stats *s, const char *name)
{
	memset(s, 0, sizeof(*s));
	strncpy(s->name, name, TR_ID_MAX);
	s->gray_share = GRAY_SHARE_INITIAL;
}

/* Returns the factor by which the recent outcomes have decayed. */
static double recent_decay(const struct tr_service_stats *s, apr_time_t now)
{
	return exp(-(double)(now - s->recent_at) / 1e6 / RECENT_S);
}

/* Adds outcomes of the service's requests, from whichever VM. */
void tr_service_stats_add_outcomes(struct tr_service_stats *s,
				   enum tr_symptom symptom, unsigned times,
				   apr_time_t now)
{
	double keep = recent_decay(s, now);

	s->recent_successes *= keep;
	s->recent_failures *= keep;
	s->recent_at = now;
	if (symptom == TR_SYMPTOM_OVERDUE || symptom == TR_SYMPTOM_FAILED)
		s->recent_failures += times;
	else if (tr_symptom_ends_request(symptom))
		s->recent_successes += times;
}

/* Returns how many of the service's requests ended recently. */
double tr_service_stats_recent_outcomes(const struct tr_service_stats *s,
					apr_time_t now)
{
	return (s->recent_failures + s->recent_successes) *
	       recent_decay(s, now);
}

/* Returns the share of the recently ended requests that failed, from 0 to 1. */
double tr_service_stats_failure_ratio(const struct tr_service_stats *s)
{
	double all = s->recent_failures + s->recent_successes;

	return all > 0 ? s->recent_failures / all : 0;
}

/* Adds the response time of an answer, in us. uncontended: the request was not
 * queued, and the target is probably healthy. */
void tr_service_stats_add_answer(struct tr_service_stats *s, apr_time_t took,
				 bool uncontended)
{
	tr_worktime_add(&s->work_time, took);
	if (uncontended)
		tr_worktime_add_uncontended(&s->work_time, took);
}

/* Returns the mean response time of the service, in us. latency_aim is the
 * service's target latency, in us, here and below. */
apr_time_t tr_service_stats_mean_time(const struct tr_service_stats *s,
				      apr_time_t latency_aim)
{
	return tr_worktime_mean(&s->work_time,
				latency_aim / INITIAL_MEAN_DIVISOR);
}

/* Returns the mean response time without queueing, in us. */
apr_time_t tr_service_stats_work_time(const struct tr_service_stats *s,
				      apr_time_t latency_aim)
{
	return tr_worktime_uncontended_mean(&s->work_time,
					    latency_aim / INITIAL_MEAN_DIVISOR);
}

/* Returns the spread of its response times; see tr_worktime_spread. */
double tr_service_stats_spread(const struct tr_service_stats *s)
{
	if (!tr_mechanism_enabled(TR_MECH_SERVICE_SPREAD))
		return DEFAULT_SPREAD;
	return tr_worktime_spread(&s->work_time);
}

/* Adds a failed attempt, and how long after it was sent the failure was
 * detected, in us. */
void tr_service_stats_add_failure(struct tr_service_stats *s, apr_time_t age)
{
	if (s->failure_age_us <= 0)
		s->failure_age_us = (double)age;
	s->failure_age_us +=
		((double)age - s->failure_age_us) * FAILURE_AGE_WEIGHT;
}

/* Returns the mean age, in us, at which failures are detected: some
 * milliseconds if targets answer with errors, longer than a usual answer if
 * they hang. */
apr_time_t tr_service_stats_failure_age(const struct tr_service_stats *s,
					apr_time_t latency_aim)
{
	if (s->failure_age_us <= 0)
		return latency_aim / INITIAL_FAILURE_AGE_DIVISOR;
	return (apr_time_t)s->failure_age_us;
}

/*
 * Updates whether the service has a standing queue. expected_time is how long a
 * request sent now would take at the best target, in us. Queues beyond the
 * target latency are a burst until they have lasted for that latency. Then they
 * are standing queues until they have stayed within it for QUEUE_GONE_FACTOR
 * times as long. Otherwise a queue that is kept at the target latency could
 * grow again whenever it is a little shorter for a moment.
 */
void tr_service_stats_track_queue(struct tr_service_stats *s,
				  apr_time_t expected_time,
				  apr_time_t latency_aim, apr_time_t now)
{
	apr_time_t elapsed = now - s->queue_checked_at;
	apr_time_t limit = BURST_LATENCIES * latency_aim;

	s->queue_checked_at = now;
	if (elapsed > latency_aim)
		elapsed = latency_aim;
	s->over_aim_for += expected_time > latency_aim
				   ? elapsed
				   : -elapsed / QUEUE_GONE_FACTOR;
	if (s->over_aim_for <= 0) {
		s->over_aim_for = 0;
		s->standing_queue = false;
	}
	if (s->over_aim_for >= limit) {
		s->over_aim_for = limit;
		s->standing_queue = true;
	}
}

/* Updates the learned share of gray targets. share is the mean probability of
 * its targets of being gray, elapsed_s the time since the last update in
 * seconds. */
void tr_service_stats_learn_gray_share(struct tr_service_stats *s, double share,
				       double elapsed_s)
{
	if (!tr_mechanism_enabled(TR_MECH_LEARNED_SHARE))
		return;
	s->gray_share +=
		(share - s->gray_share) * fmin(1, elapsed_s / GRAY_SHARE_S);
	s->gray_share =
		fmin(GRAY_SHARE_MAX, fmax(GRAY_SHARE_MIN, s->gray_share));
}
