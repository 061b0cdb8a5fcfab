#ifndef TR_SERVICE_STATS_H
#define TR_SERVICE_STATS_H

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
struct tr_service_stats {
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

void tr_service_stats_init(struct tr_service_stats *s, const char *name);
void tr_service_stats_add_outcomes(struct tr_service_stats *s,
				   enum tr_symptom symptom, unsigned times,
				   apr_time_t now);
double tr_service_stats_recent_outcomes(const struct tr_service_stats *s,
					apr_time_t now);
double tr_service_stats_failure_ratio(const struct tr_service_stats *s);
void tr_service_stats_add_answer(struct tr_service_stats *s, apr_time_t took,
				 bool undisturbed);
apr_time_t tr_service_stats_mean_time(const struct tr_service_stats *s,
				      apr_time_t latency_aim);
double tr_service_stats_spread(const struct tr_service_stats *s);
void tr_service_stats_add_failure(struct tr_service_stats *s, apr_time_t age);
apr_time_t tr_service_stats_failure_age(const struct tr_service_stats *s,
					apr_time_t latency_aim);
void tr_service_stats_track_queue(struct tr_service_stats *s, apr_time_t takes,
				  apr_time_t latency_aim, apr_time_t now);
void tr_service_stats_learn_gray_share(struct tr_service_stats *s, double share,
				       double passed_s);

#endif
