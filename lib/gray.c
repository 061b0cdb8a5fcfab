/*
 * Whether a target is gray, as a chain with two states: well, or failing most
 * of what it gets. Every outcome that any VM sees moves the log-odds; between
 * outcomes they drift back to what is known of targets in general, since gray
 * spells end by themselves and an avoided target tells nothing new.
 */
#include "gray.h"

#include <math.h>

#include "clock.h"

/* Odds before any outcome: one target in twenty is gray. */
#define PRIOR_ODDS (-3.0)
/* Log-odds never leave this range: past it more of the same says nothing new,
 * and the way back must not take longer than a spell lasts. The lower bound is
 * near the prior, so that a target that is known to be well is not preferred
 * to one that nobody has used lately: with -5 most requests went to a few
 * targets, and five of six sound ones got none for two seconds. */
#define MOST_ODDS  5.0
#define LEAST_ODDS (-3.5)
/* Time in which odds drift back by a factor of e. Gray spells of some seconds
 * are what operators report; shorter forgets a target that hangs before its
 * requests could show it. */
#define DRIFT_S 4.0

/* What an outcome adds, ln P(it | gray) / P(it | well), with three of four
 * requests failing at a gray target and one in fifty at a well one. */
#define GOOD_STEP (-1.37)
#define FAIL_STEP 3.2
/* Still running after 2 and after 4 times the usual time: a well target's work
 * is then over with chances of 0.86 and 0.98 (exponential tail). */
#define LATE_FACTOR    2
#define OVERDUE_FACTOR 4
#define LATE_STEP      1.7
#define OVERDUE_STEP   1.9
/* An answer that comes after it was called late takes back that and most of
 * what a prompt one says; one that comes after it was called overdue leaves
 * more, since a target that has turned slow answers just so. */
#define LATE_GOOD_STEP (-LATE_STEP - 0.9)
#define SLOW_STEP      (-1.2)

static double drifted(const struct tr_gray *gray, apr_time_t now)
{
	double s = (double)(now - gray->at) / 1e6;

	if (!gray->at)
		return PRIOR_ODDS;
	if (s <= 0)
		return gray->odds;
	return PRIOR_ODDS + (gray->odds - PRIOR_ODDS) * exp(-s / DRIFT_S);
}

/* Take in an outcome that was seen so many times. */
void tr_gray_add(struct tr_gray *gray, enum tr_symptom symptom, unsigned times,
		 apr_time_t now)
{
	static const double steps[TR_SYMPTOMS] = {
		[TR_SYMPTOM_GOOD] = GOOD_STEP,
		[TR_SYMPTOM_LATE] = LATE_STEP,
		[TR_SYMPTOM_OVERDUE] = OVERDUE_STEP,
		[TR_SYMPTOM_FAILED] = FAIL_STEP,
		[TR_SYMPTOM_LATE_GOOD] = LATE_GOOD_STEP,
		[TR_SYMPTOM_SLOW] = SLOW_STEP,
	};
	double odds = drifted(gray, now) + steps[symptom] * times;

	gray->odds = fmin(MOST_ODDS, fmax(LEAST_ODDS, odds));
	gray->at = now;
}

/* From 0 to 1. */
double tr_gray_probability(const struct tr_gray *gray, apr_time_t now)
{
	return 1 / (1 + exp(-drifted(gray, now)));
}

/* How long a request may run before that speaks against its target. */
apr_time_t tr_gray_late_after(apr_time_t usual)
{
	return usual * LATE_FACTOR;
}

apr_time_t tr_gray_overdue_after(apr_time_t usual)
{
	return usual * OVERDUE_FACTOR;
}
