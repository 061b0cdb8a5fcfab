/*
 * Whether a target is gray, as a chain with two states: well, or failing most
 * of what it gets. Every outcome that any VM sees moves the log-odds; between
 * outcomes they drift back to what is known of targets in general, since gray
 * spells end by themselves and an avoided target tells nothing new.
 */
#include "gray.h"

#include <math.h>

#include "clock.h"

/* The chance that a target of which nothing is known is gray. */
#define PRIOR 0.06
/* Log-odds never leave this range: past it more of the same says nothing new,
 * and the way back must not take longer than a spell lasts. The lower bound is
 * near the prior, so that a target that is known to be well is not preferred
 * to one that nobody has used lately: with -5 most requests went to a few
 * targets, and five of six sound ones got none for two seconds. */
#define MOST_ODDS  5.0
#define LEAST_ODDS (-3.5)
/* Time in which what is known of a target fades by a factor of e. Gray spells
 * of some seconds are what operators report; where every target was used
 * throughout, spells of 7 to 9 s were seen. Learning the length of spells from
 * tries gained nothing (0.720 of worth against 0.729 on a quiet day before 345
 * targets, 0.721 against 0.721 before 271). */
#define FADE_S 6.0

/* What an outcome adds, ln P(it | gray) / P(it | well), with three of four
 * requests failing at a gray target and one in fifty at a well one. */
#define GOOD_STEP (-1.37)
#define FAIL_STEP 3.2
/* Still running when three in four, nine in ten and 99 in 100 of the service's
 * answers have come; a few in a hundred take several times as long without
 * cause. The steps add up to what a failure says. */
#define LONG_STEP    1.0
#define LATE_STEP    0.8
#define OVERDUE_STEP 1.8
/* An answer takes back what was said while it ran, and adds a little less than
 * a prompt one; one that was overdue leaves more, since a target that has
 * turned slow answers just so. */
#define LONG_GOOD_STEP (-LONG_STEP - 1.2)
#define LATE_GOOD_STEP (-LONG_STEP - LATE_STEP - 0.9)
#define SLOW_STEP      (-1.2)

/* Where a stage begins, in standard deviations of the logarithm of the times
 * that answers take. */
static const double stage_deviations[] = {
	[TR_STAGE_NORMAL] = 0,
	[TR_STAGE_LONG] = 0.67,
	[TR_STAGE_LATE] = 1.34,
	[TR_STAGE_OVERDUE] = 2.3,
};

static double chance(double odds)
{
	return 1 / (1 + exp(-odds));
}

/* Without news the chance goes back to the prior, as that of a chain with two
 * states does. */
static double faded(const struct tr_gray *gray, apr_time_t now)
{
	double s = (double)(now - gray->at) / 1e6;
	double prior = gray->prior > 0 ? gray->prior : PRIOR;

	if (!gray->at)
		return prior;
	return prior + (chance(gray->odds) - prior) * exp(-fmax(s, 0) / FADE_S);
}

/* Take in an outcome that was seen so many times. */
void tr_gray_add(struct tr_gray *gray, enum tr_symptom symptom, unsigned times,
		 apr_time_t now)
{
	static const double steps[TR_SYMPTOMS] = {
		[TR_SYMPTOM_ANSWERED] = GOOD_STEP,
		[TR_SYMPTOM_LONG] = LONG_STEP,
		[TR_SYMPTOM_LATE] = LATE_STEP,
		[TR_SYMPTOM_OVERDUE] = OVERDUE_STEP,
		[TR_SYMPTOM_FAILED] = FAIL_STEP,
		[TR_SYMPTOM_ANSWERED_LONG] = LONG_GOOD_STEP,
		[TR_SYMPTOM_ANSWERED_LATE] = LATE_GOOD_STEP,
		[TR_SYMPTOM_ANSWERED_OVERDUE] = SLOW_STEP,
	};
	double p = faded(gray, now);
	double odds = log(p / (1 - p)) + steps[symptom] * times;

	gray->odds = fmin(MOST_ODDS, fmax(LEAST_ODDS, odds));
	gray->at = now;
}

/* Take over the chance that others, who know the target better, have come to.
 */
void tr_gray_set_probability(struct tr_gray *gray, double risk, apr_time_t now)
{
	double most = chance(MOST_ODDS);
	double least = chance(LEAST_ODDS);
	double p = fmin(most, fmax(least, risk));

	gray->odds = log(p / (1 - p));
	gray->at = now;
}

/* From 0 to 1. */
double tr_gray_probability(const struct tr_gray *gray, apr_time_t now)
{
	return faded(gray, now);
}

/*
 * How long a request runs until it comes to a stage, in us, where the work
 * takes usual in the mean and its logarithm spreads so much. The ages follow
 * from what the service's answers took: with ages fixed for an exponential tail
 * a single request that hung at a service of even times (spread 0.3) counted as
 * overdue after 0.96 s; by its own spread it does after 0.46 s.
 */
apr_time_t tr_gray_stage_start(enum tr_request_stage stage, apr_time_t usual,
			       double spread)
{
	double factor =
		exp(spread * stage_deviations[stage] - spread * spread / 2);

	if (stage == TR_STAGE_NORMAL)
		return 0;
	return (apr_time_t)(factor * (double)usual);
}

/* What is said of a request that has come to the stage and still runs. */
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

/* What is said of one that is answered at the stage. */
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
 * What is said of a target to which no connection could be opened. A refusal
 * tells that nobody listens there. Silence may be that of one VM's link while
 * others are answered, and the request goes on to the next target unharmed, so
 * it takes several VMs to hold the target to be gray for it.
 */
enum tr_symptom tr_gray_connect_failure_symptom(bool refused)
{
	return refused ? TR_SYMPTOM_FAILED : TR_SYMPTOM_LATE;
}

/* Is the symptom said when a request ends, and not while it runs? */
bool tr_symptom_ends_request(enum tr_symptom symptom)
{
	return symptom != TR_SYMPTOM_LONG && symptom != TR_SYMPTOM_LATE &&
	       symptom != TR_SYMPTOM_OVERDUE;
}
