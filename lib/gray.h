#ifndef TR_GRAY_H
#define TR_GRAY_H

/*
 * The probability that a target has a gray failure: it accepts requests but
 * fails or hangs most of them.
 */
#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * What is observed of one request at a target. LONG, LATE and OVERDUE are
 * reported in this order while the request still runs; an answer after that is
 * ANSWERED_LONG, ANSWERED_LATE or ANSWERED_OVERDUE.
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

/* How long a running request has taken, compared with the service's answers. */
enum tr_request_stage {
	TR_STAGE_NORMAL,
	TR_STAGE_LONG,
	TR_STAGE_LATE,
	TR_STAGE_OVERDUE,
};

/* One VM's running totals of symptoms at one target; they wrap around. */
struct tr_symptom_totals {
	uint16_t count[TR_SYMPTOMS];
};

/*
 * Probability from which on a target is a suspect: its requests in flight tell
 * nothing of its load, since most of them hang.
 */
#define TR_SUSPECT_RISK 0.5

struct tr_gray {
	/* Log-odds that the target is gray, as of updated_at. */
	double log_odds;
	apr_time_t updated_at;
	/* The probability for a target without evidence; 0 if not yet learned.
	 */
	double prior;
};

void tr_gray_add(struct tr_gray *gray, enum tr_symptom symptom, unsigned times,
		 apr_time_t now);
void tr_gray_set_probability(struct tr_gray *gray, double probability,
			     apr_time_t now);
double tr_gray_probability(const struct tr_gray *gray, apr_time_t now);
double tr_gray_stage_deviation(enum tr_request_stage stage);
apr_time_t tr_gray_stage_start(enum tr_request_stage stage, apr_time_t mean,
			       double spread);
enum tr_symptom tr_gray_stage_symptom(enum tr_request_stage stage);
enum tr_symptom tr_gray_answer_symptom(enum tr_request_stage stage);
enum tr_symptom tr_gray_connect_failure_symptom(bool refused);
bool tr_symptom_ends_request(enum tr_symptom symptom);

#endif
