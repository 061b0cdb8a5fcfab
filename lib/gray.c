/*
 * Estimates whether a target is gray, as a Markov chain with two states:
 * healthy, or failing most requests. Each outcome that any VM sees moves the
 * log-odds. Between outcomes they decay towards the prior, because gray spells
 * end by themselves and an avoided target gives no new evidence.
 */
#include "gray.h"

#include <math.h>

#include "clock.h"

/* The probability that a target is gray before the prior is learned. */
#define PRIOR 0.06
/* The range of the log-odds. Beyond it further equal outcomes add no
 * information, and recovery must not take longer than a spell lasts. The lower
 * bound is near the prior so that a target known to be healthy is not preferred
 * to one that was not used recently: with -5 most requests went to a few
 * targets, and five of six healthy ones got none for two seconds. */
#define MAX_LOG_ODDS 5.0
#define MIN_LOG_ODDS (-3.5)
/* Time constant of the decay, in seconds. Operators report gray spells of some
 * seconds; spells of 7 to 9 s were measured where every target was used
 * throughout. Learning the length of spells from probes gained nothing: the
 * operators' score at low load was 0.720 instead of 0.729 with 345 targets, and
 * 0.721 in both cases with 271. */
#define DECAY_S 6.0

/* What an outcome adds to the log-odds: ln P(outcome | gray) / P(outcome |
 * healthy), with three of four requests failing at a gray target and one in
 * fifty at a healthy one. */
#define ANSWERED_STEP (-1.37)
#define FAILED_STEP   3.2
/* Still running when 75%, 90% and 99% of the service's answers have come. A few
 * requests in a hundred take several times as long without a fault, so the
 * steps add up to what a failure adds. */
#define LONG_STEP    1.0
#define LATE_STEP    0.8
#define OVERDUE_STEP 1.8
/* An answer reverts what was added while the request ran and subtracts a little
 * less than a prompt answer. An overdue one reverts less, since a target that
 * has become slow answers this late too. */
#define ANSWERED_LONG_STEP    (-LONG_STEP - 1.2)
#define ANSWERED_LATE_STEP    (-LONG_STEP - LATE_STEP - 0.9)
#define ANSWERED_OVERDUE_STEP (-1.2)

/* The start of each stage, in standard deviations of the logarithm of the
 * response times. */
static const double stage_deviations[] = {
	[TR_STAGE_NORMAL] = 0,
	[TR_STAGE_LONG] = 0.67,
	[TR_STAGE_LATE] = 1.34,
	[TR_STAGE_OVERDUE] = 2.3,
};

static double probability_of(double log_odds)
{
	return 1 / (1 + exp(-log_odds));
}

/* Returns the probability that the target is gray: without outcomes it decays
 * towards the prior, as that of a Markov chain with two states does. */
static double decayed(const struct tr_gray *gray, apr_time_t now)
{
	double s = (double)(now - gray->updated_at) / 1e6;
	double prior = gray->prior > 0 ? gray->prior : PRIOR;

	if (!gray->updated_at)
		return prior;
	return prior + (probability_of(gray->log_odds) - prior) *
			       exp(-fmax(s, 0) / DECAY_S);
}

/* Adds an outcome that was observed the given number of times. */
void tr_gray_add(struct tr_gray *gray, enum tr_symptom symptom, unsigned times,
		 apr_time_t now)
{
	static const double steps[TR_SYMPTOMS] = {
		[TR_SYMPTOM_ANSWERED] = ANSWERED_STEP,
		[TR_SYMPTOM_LONG] = LONG_STEP,
		[TR_SYMPTOM_LATE] = LATE_STEP,
		[TR_SYMPTOM_OVERDUE] = OVERDUE_STEP,
		[TR_SYMPTOM_FAILED] = FAILED_STEP,
		[TR_SYMPTOM_ANSWERED_LONG] = ANSWERED_LONG_STEP,
		[TR_SYMPTOM_ANSWERED_LATE] = ANSWERED_LATE_STEP,
		[TR_SYMPTOM_ANSWERED_OVERDUE] = ANSWERED_OVERDUE_STEP,
	};
	double p = decayed(gray, now);
	double log_odds = log(p / (1 - p)) + steps[symptom] * times;

	gray->log_odds = fmin(MAX_LOG_ODDS, fmax(MIN_LOG_ODDS, log_odds));
	gray->updated_at = now;
}

/* Sets the probability to that estimated by VMs with more evidence on the
 * target. */
void tr_gray_set_probability(struct tr_gray *gray, double probability,
			     apr_time_t now)
{
	double max = probability_of(MAX_LOG_ODDS);
	double min = probability_of(MIN_LOG_ODDS);
	double p = fmin(max, fmax(min, probability));

	gray->log_odds = log(p / (1 - p));
	gray->updated_at = now;
}

/* Returns the probability, from 0 to 1, that the target is gray. */
double tr_gray_probability(const struct tr_gray *gray, apr_time_t now)
{
	return decayed(gray, now);
}

/*
 * Returns the start of a stage after the first, in standard deviations of the
 * logarithm of the response times above their median.
 */
double tr_gray_stage_deviation(enum tr_request_stage stage)
{
	return stage_deviations[stage];
}

/*
 * Returns the age, in us, at which a request reaches the stage. mean is the
 * mean response time in us, spread the standard deviation of its logarithm. The
 * ages are derived from the service's own answers: with ages fixed for an
 * exponential tail a hung request at a service with even response times (spread
 * 0.3) counted as overdue after 0.96 s, by its own spread after 0.46 s.
 */
apr_time_t tr_gray_stage_start(enum tr_request_stage stage, apr_time_t mean,
			       double spread)
{
	double ratio =
		exp(spread * stage_deviations[stage] - spread * spread / 2);

	if (stage == TR_STAGE_NORMAL)
		return 0;
	return (apr_time_t)(ratio * (double)mean);
}

/* Returns the symptom of a request that has reached the stage and still runs.
 */
enum tr_symptom tr_gray_stage_symptom(enum tr_request_stage stage)
{
	static const enum tr_symptom symptoms[] = {
		TR_SYMPTOM_ANSWERED,
		TR_SYMPTOM_LONG,
		TR_SYMPTOM_LATE,
		TR_SYMPTOM_OVERDUE,
	};

	return symptoms[stage];
}

/* Returns the symptom of a request that is answered in the stage. */
enum tr_symptom tr_gray_answer_symptom(enum tr_request_stage stage)
{
	static const enum tr_symptom symptoms[] = {
		TR_SYMPTOM_ANSWERED,
		TR_SYMPTOM_ANSWERED_LONG,
		TR_SYMPTOM_ANSWERED_LATE,
		TR_SYMPTOM_ANSWERED_OVERDUE,
	};

	return symptoms[stage];
}

/*
 * Returns the symptom of a failed attempt to connect. A refused connection
 * shows that nobody listens. A timeout may be due to one VM's link while other
 * VMs get through, and the request goes on to the next target unharmed, so it
 * takes timeouts at several VMs until the target counts as gray.
 */
enum tr_symptom tr_gray_connect_failure_symptom(bool refused)
{
	return refused ? TR_SYMPTOM_FAILED : TR_SYMPTOM_LATE;
}

/* Tells whether the symptom is reported when a request ends, not while it runs.
 */
bool tr_symptom_ends_request(enum tr_symptom symptom)
{
	return symptom != TR_SYMPTOM_LONG && symptom != TR_SYMPTOM_LATE &&
	       symptom != TR_SYMPTOM_OVERDUE;
}
