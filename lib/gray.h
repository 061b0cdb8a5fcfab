#ifndef TR_GRAY_H
#define TR_GRAY_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * How one request at a target goes on, as evidence. LONG, LATE and OVERDUE are
 * said while it still runs, one after the other; an answer after that is
 * LONG_GOOD, LATE_GOOD or SLOW.
 */
enum tr_symptom {
	TR_SYMPTOM_ANSWERED,
	TR_SYMPTOM_LONG,
	TR_SYMPTOM_LATE,
	TR_SYMPTOM_OVERDUE,
	TR_SYMPTOM_FAILED,
	TR_SYMPTOM_ANSWERED_LONG,
	TR_SYMPTOM_ANSWERED_LATE,
	TR_SYMPTOM_ANSWERED_OVERDUE,
	TR_SYMPTOMS,
};

/* How far a running request has come. */
enum tr_request_stage {
	TR_STAGE_NORMAL,
	TR_STAGE_LONG,
	TR_STAGE_LATE,
	TR_STAGE_OVERDUE,
};

/* Running totals of one VM's outcomes at one target; they wrap around. */
struct tr_symptom_totals {
	uint16_t count[TR_SYMPTOMS];
};

/* Log-odds that a target is gray now, and the time they hold for; prior is the
 * chance of one of which nothing is known, 0 before that is learned. */
struct tr_gray {
	double odds;
	apr_time_t at;
	double prior;
};

void tr_gray_add(struct tr_gray *gray, enum tr_symptom symptom, unsigned times,
		 apr_time_t now);
void tr_gray_set_probability(struct tr_gray *gray, double risk, apr_time_t now);
double tr_gray_probability(const struct tr_gray *gray, apr_time_t now);
apr_time_t tr_gray_stage_start(enum tr_request_stage stage, apr_time_t usual,
			       double spread);
enum tr_symptom tr_gray_stage_symptom(enum tr_request_stage stage);
enum tr_symptom tr_gray_answer_symptom(enum tr_request_stage stage);
enum tr_symptom tr_gray_connect_failure_symptom(bool refused);
bool tr_symptom_ends_request(enum tr_symptom symptom);

#endif
