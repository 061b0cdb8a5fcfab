#ifndef TR_SERVICE_STATS_H
#define TR_SERVICE_STATS_H

/* Statistics of the requests of one service. */
#include <apr_time.h>
#include <stdbool.h>

#include "gray.h"
#include "path.h"
#include "worktime.h"

/* Longest name of a service, target or data centre, in bytes. */
#define TR_ID_MAX 63

struct tr_service_stats {
	char name[TR_ID_MAX + 1];
	struct tr_worktime work_time;
	/* Mean age of an attempt when its failure is detected; 0 if none was.
	 */
	double failure_age_us;
	/* The learned share of its targets that are gray. */
	double gray_share;
	/* Requests that ended recently, with decay, as of recent_at. */
	double recent_successes;
	double recent_failures;
	apr_time_t recent_at;
	/* When the queue was last checked, and for how long it has exceeded the
	 * target latency. */
	apr_time_t queue_checked_at;
	apr_time_t over_aim_for;
	bool standing_queue;
	/* This VM's path to the targets. */
	struct tr_path path;
};

void tr_service_stats_init(struct tr_service_stats *s, const char *name);
void tr_service_stats_add_outcomes(struct tr_service_stats *s,
				   enum tr_symptom symptom, unsigned times,
				   apr_time_t now);
double tr_service_stats_recent_outcomes(const struct tr_service_stats *s,
					apr_time_t now);
double tr_service_stats_failure_ratio(const struct tr_service_stats *s);
void tr_service_stats_add_answer(struct tr_service_stats *s, apr_time_t took,
				 bool uncontended);
apr_time_t tr_service_stats_mean_time(const struct tr_service_stats *s,
				      apr_time_t latency_aim);
apr_time_t tr_service_stats_work_time(const struct tr_service_stats *s,
				      apr_time_t latency_aim);
double tr_service_stats_spread(const struct tr_service_stats *s);
void tr_service_stats_add_failure(struct tr_service_stats *s, apr_time_t age);
apr_time_t tr_service_stats_failure_age(const struct tr_service_stats *s,
					apr_time_t latency_aim);
void tr_service_stats_track_queue(struct tr_service_stats *s,
				  apr_time_t expected_time,
				  apr_time_t latency_aim, apr_time_t now);
void tr_service_stats_learn_gray_share(struct tr_service_stats *s, double share,
				       double elapsed_s);

#endif
