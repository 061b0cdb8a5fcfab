/*
 * How old the reports are that a VM has of the other VMs of its group,
 * estimated from how regularly they arrive. Messages carry no time of sending.
 */
#ifndef TR_REPORT_AGE_H
#define TR_REPORT_AGE_H

#include <apr_time.h>
#include <stdint.h>

/* Age of the reports in usual operation, in s. */
#define TR_REPORT_AGE_USUAL_S 0.08

/*
 * When reports began to arrive and when the last one did, reports a second of
 * late and usually, and the longest silence of late, in s.
 */
struct tr_report_age {
	apr_time_t since;
	apr_time_t heard_at;
	double rate;
	double usual_rate;
	double silence_s;
};

void tr_report_age_heard(struct tr_report_age *r, apr_time_t now);
void tr_report_age_missed(struct tr_report_age *r, uint64_t messages);
double tr_report_age_s(const struct tr_report_age *r, apr_time_t now);

#endif
