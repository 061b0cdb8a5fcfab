#ifndef TR_GRAY_H
#define TR_GRAY_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * How one request at a target goes on, as evidence. LATE and OVERDUE are said
 * while it still runs; LATE_GOOD and SLOW are answers after that.
 */
enum tr_symptom {
	TR_SYMPTOM_GOOD,
	TR_SYMPTOM_LATE,
	TR_SYMPTOM_OVERDUE,
	TR_SYMPTOM_FAILED,
	TR_SYMPTOM_LATE_GOOD,
	TR_SYMPTOM_SLOW,
	TR_SYMPTOMS,
};

/* Running totals of one VM's outcomes at one target; they wrap around. */
struct tr_symptom_totals {
	uint16_t count[TR_SYMPTOMS];
};

/* Log-odds that a target is gray now, and the time they hold for. */
struct tr_gray {
	double odds;
	apr_time_t at;
};

void tr_gray_add(struct tr_gray *gray, enum tr_symptom symptom, unsigned times,
		 apr_time_t now);
double tr_gray_probability(const struct tr_gray *gray, apr_time_t now);
apr_time_t tr_gray_late_after(apr_time_t usual);
apr_time_t tr_gray_overdue_after(apr_time_t usual);

#endif
