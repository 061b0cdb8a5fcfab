/*
 * Age of the reports of a group. Reports that become late by some time leave a
 * silence of that length, and arrive regularly again after it; so the longest
 * silence of late is taken for the delay. Reports that are lost arrive less
 * often than usual.
 */
#include "report_age.h"

#include <math.h>

/*
 * Time constants of the rates, in s: one notices lost messages within a part of
 * a second, the other keeps what is usual.
 */
#define FAST_S	0.5
#define USUAL_S 30.0
/* Time after which the usual rate is known, in s. */
#define MIN_COUNTED_S 1.0
/*
 * How long a silence counts, in s: some times as long as a peak of load, since
 * nothing shows when late reports are in time again.
 */
#define HOLD_S 20.0
/*
 * Longest silence that is taken for a delay, in s. VMs that are silent for
 * longer are cut off or down, which the share of VMs that are heard shows.
 */
#define DELAY_MAX_S 2.5
/*
 * Lost messages in a row that show that a silence was a loss: more than a bad
 * link loses.
 */
#define MISSED_MIN 5
/* Greatest age that is assumed for lost reports, in s. */
#define LOSS_AGE_MAX_S 1.0

static double seconds_since(apr_time_t at, apr_time_t now)
{
	return (double)(now - at) / 1e6;
}

/* A VM of the group has reported. */
void tr_report_age_heard(struct tr_report_age *r, apr_time_t now)
{
	double s = r->heard_at ? seconds_since(r->heard_at, now) : 0;

	if (!r->heard_at)
		r->since = now;
	r->heard_at = now;
	if (s > 0) {
		r->rate *= exp(-s / FAST_S);
		r->usual_rate *= exp(-s / USUAL_S);
		r->silence_s *= exp(-s / HOLD_S);
	}
	if (s > DELAY_MAX_S)
		r->silence_s = 0;
	else if (s > r->silence_s)
		r->silence_s = s;
	r->rate += 1 / FAST_S;
	r->usual_rate += 1 / USUAL_S;
}

/*
 * Messages of a VM were lost before its last one. A silence before it was no
 * delay; late messages all arrive.
 */
void tr_report_age_missed(struct tr_report_age *r, uint64_t messages)
{
	if (messages >= MISSED_MIN)
		r->silence_s = 0;
}

/* Returns the age in s by how much less often than usual reports arrive. */
static double age_by_loss(const struct tr_report_age *r, double silent_s,
			  apr_time_t now)
{
	double counted_s = seconds_since(r->since, now);
	double usual = r->usual_rate / (1 - exp(-counted_s / USUAL_S));
	double rate = r->rate * exp(-silent_s / FAST_S);

	if (counted_s < MIN_COUNTED_S || rate >= usual)
		return TR_REPORT_AGE_USUAL_S;
	if (rate * LOSS_AGE_MAX_S <= usual * TR_REPORT_AGE_USUAL_S)
		return LOSS_AGE_MAX_S;
	return TR_REPORT_AGE_USUAL_S * usual / rate;
}

/* Returns the age in s of what is known of the group's other VMs. */
double tr_report_age_s(const struct tr_report_age *r, apr_time_t now)
{
	double silent_s;
	double delay;

	if (!r->heard_at)
		return TR_REPORT_AGE_USUAL_S;
	silent_s = seconds_since(r->heard_at, now);
	if (silent_s > DELAY_MAX_S)
		return TR_REPORT_AGE_USUAL_S;
	delay = fmax(silent_s, r->silence_s * exp(-silent_s / HOLD_S));
	return fmax(delay, age_by_loss(r, silent_s, now));
}
