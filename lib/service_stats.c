/* What the work of a service has been like, as this VM and its peers saw it. */
#include "service_stats.h"
#include "mechanism.h"

#include <math.h>
#include <string.h>

/* Before the first answers the usual time is taken as this share of the aim. */
#define FIRST_GUESS 4
/* The spread of a service of which nothing is learned. */
#define ANY_SPREAD 0.7
/* Before the first failures they are taken to show at this share of the aim: as
 * late as a hang does. */
#define FIRST_FAIL_AGE 2
/* Weight of the newest failure's age: the mean over some two dozen. */
#define FAIL_AGE_WEIGHT 0.04
/* Span of the recent outcomes: that of the windows in which operators look at
 * how much of a service works. */
#define LATELY_S 2.0
/* A queue that is longer than the aim for so many aims is no burst: what it
 * holds up is answered late, and it would not be shorter for it. */
#define BURST_AIMS 1
#define BURST_REST 4
/* The share of gray targets settles over about so long, a spell or two, within
 * these bounds: below the least, a first failure would say too little, above
 * the most nothing would be told apart. */
#define GRAY_S	   8.0
#define GRAY_FIRST 0.06
#define GRAY_LEAST 0.03
#define GRAY_MOST  0.4

/* Begin with nothing known. */
void tr_service_stats_init(struct tr_service_stats *s, const char *name)
{
	memset(s, 0, sizeof(*s));
	strncpy(s->name, name, TR_ID_MAX);
	s->gray_share = GRAY_FIRST;
}

/* What is left now of the outcomes that were counted at the last one. */
static double lately_kept(const struct tr_service_stats *s, apr_time_t now)
{
	return exp(-(double)(now - s->lately_at) / 1e6 / LATELY_S);
}

/* So many requests of the service have come to that, at whichever VM. */
void tr_service_stats_add_outcomes(struct tr_service_stats *s,
				   enum tr_symptom symptom, unsigned times,
				   apr_time_t now)
{
	double keep = lately_kept(s, now);

	s->lately_good *= keep;
	s->lately_bad *= keep;
	s->lately_at = now;
	if (symptom == TR_SYMPTOM_OVERDUE || symptom == TR_SYMPTOM_FAILED)
		s->lately_bad += times;
	else if (tr_symptom_ends_request(symptom))
		s->lately_good += times;
}

/* How many of the service's requests came to an end lately. */
double tr_service_stats_recent_outcomes(const struct tr_service_stats *s,
					apr_time_t now)
{
	return (s->lately_bad + s->lately_good) * lately_kept(s, now);
}

/* Which part of them failed. */
double tr_service_stats_failure_ratio(const struct tr_service_stats *s)
{
	double all = s->lately_bad + s->lately_good;

	return all > 0 ? s->lately_bad / all : 0;
}

/* An answer of the service took so long; undisturbed: by no other work, at a
 * target that is probably well. */
void tr_service_stats_add_answer(struct tr_service_stats *s, apr_time_t took,
				 bool undisturbed)
{
	tr_worktime_add(&s->takes, took);
	if (undisturbed)
		tr_worktime_add_uncontended(&s->takes, took);
}

/* How long work of the service usually takes, in us. */
apr_time_t tr_service_stats_mean_time(const struct tr_service_stats *s,
				      apr_time_t latency_aim)
{
	return tr_worktime_mean(&s->takes, latency_aim / FIRST_GUESS);
}

/* How far apart its times are; see tr_worktime_spread. */
double tr_service_stats_spread(const struct tr_service_stats *s)
{
	if (!tr_mechanism_on(TR_MECH_SERVICE_SPREAD))
		return ANY_SPREAD;
	return tr_worktime_spread(&s->takes);
}

/* An attempt has turned out to have failed, so long after it was sent. */
void tr_service_stats_add_failure(struct tr_service_stats *s, apr_time_t age)
{
	if (s->fail_age_us <= 0)
		s->fail_age_us = (double)age;
	s->fail_age_us += ((double)age - s->fail_age_us) * FAIL_AGE_WEIGHT;
}

/* How old attempts are when they turn out to have failed, in us: some
 * milliseconds where targets answer with errors, longer than work usually
 * takes where they hang. */
apr_time_t tr_service_stats_failure_age(const struct tr_service_stats *s,
					apr_time_t latency_aim)
{
	if (s->fail_age_us <= 0)
		return latency_aim / FIRST_FAIL_AGE;
	return (apr_time_t)s->fail_age_us;
}

/*
 * Work that is sent now is expected to take so long at the best target. Queues
 * beyond the aim are a burst until they have lasted for an aim; then they
 * stand, until they have stayed within it for some times as long. Without the
 * rest a queue that is kept at the aim would be let grow again at each moment
 * at which it is a little shorter.
 */
void tr_service_stats_track_queue(struct tr_service_stats *s, apr_time_t takes,
				  apr_time_t latency_aim, apr_time_t now)
{
	apr_time_t passed = now - s->expected_at;
	apr_time_t most = BURST_AIMS * latency_aim;

	s->expected_at = now;
	if (passed > latency_aim)
		passed = latency_aim;
	s->late_for += takes > latency_aim ? passed : -passed / BURST_REST;
	if (s->late_for <= 0) {
		s->late_for = 0;
		s->standing_queue = false;
	}
	if (s->late_for >= most) {
		s->late_for = most;
		s->standing_queue = true;
	}
}

/* The mean chance of its targets of being gray is this now, and was looked at
 * so many seconds ago before. */
void tr_service_stats_learn_gray_share(struct tr_service_stats *s, double share,
				       double passed_s)
{
	if (!tr_mechanism_on(TR_MECH_LEARNED_SHARE))
		return;
	s->gray_share += (share - s->gray_share) * fmin(1, passed_s / GRAY_S);
	s->gray_share = fmin(GRAY_MOST, fmax(GRAY_LEAST, s->gray_share));
}
