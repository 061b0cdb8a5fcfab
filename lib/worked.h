#ifndef TR_WORKED_H
#define TR_WORKED_H

#include <apr_time.h>
#include <stdbool.h>

#include "gray.h"
#include "worktime.h"

/* Longest name of a service, target or data centre, in bytes. */
#define TR_ID_MAX 63

/*
 * A service by name, and what its work has been like: how long it takes, how
 * old attempts are when they turn out to have failed, how many of its requests
 * ended lately and how, and which share of its targets is gray.
 */
struct tr_worked_service {
	char name[TR_ID_MAX + 1];
	struct tr_worktime takes;
	double fail_age_us;
	double gray_share;
	double lately_good;
	double lately_bad;
	apr_time_t lately_at;
	apr_time_t expected_at;
	apr_time_t late_for;
	bool standing_queue;
};

void tr_worked_init(struct tr_worked_service *s, const char *name);
void tr_worked_outcomes(struct tr_worked_service *s, enum tr_symptom symptom,
			unsigned times, apr_time_t now);
double tr_worked_lately(const struct tr_worked_service *s, apr_time_t now);
double tr_worked_failing(const struct tr_worked_service *s);
void tr_worked_took(struct tr_worked_service *s, apr_time_t took,
		    bool undisturbed);
apr_time_t tr_worked_takes(const struct tr_worked_service *s,
			   apr_time_t latency_aim);
double tr_worked_spread(const struct tr_worked_service *s);
void tr_worked_failed(struct tr_worked_service *s, apr_time_t age);
apr_time_t tr_worked_fail_age(const struct tr_worked_service *s,
			      apr_time_t latency_aim);
void tr_worked_expects(struct tr_worked_service *s, apr_time_t takes,
		       apr_time_t latency_aim, apr_time_t now);
void tr_worked_gray(struct tr_worked_service *s, double share, double passed_s);

#endif
