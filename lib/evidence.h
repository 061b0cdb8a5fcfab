#ifndef TR_EVIDENCE_H
#define TR_EVIDENCE_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

#include "document.h"

/* Outcomes since the process started, which only grow; and how many bad ones
 * came after the last good one. */
struct tr_outcome_totals {
	uint32_t well;
	uint32_t bad;
	uint32_t bad_run;
};

/* Slot of the VM's own outcomes; the cell's other members follow. */
#define TR_SOURCE_SELF 0
#define TR_SOURCES     (TR_MAX_CELL + 1)

/* A set of vantages as bits; cell_sum of them, also those not yet heard of. */
#define TR_EVERY_VANTAGE UINT32_MAX

/*
 * What is known of one target. cell_sum and here are CUSUM sums, in nats, of
 * the log-likelihood that it is sick: over the whole cell, and of one vantage
 * (a data centre) each. Sums of several VMs add up, since their outcomes are
 * drawn apart from each other. failing_since is when cell_sum that it got began
 * to fail, and failing_since_from the same from each vantage; 0 after a good
 * outcome.
 */
struct tr_evidence {
	struct tr_outcome_totals own;
	struct tr_outcome_totals heard[TR_SOURCES];
	bool heard_before[TR_SOURCES];
	int vantage_of[TR_SOURCES];
	float by_source[TR_SOURCES];
	apr_time_t source_at[TR_SOURCES];
	double cell_sum;
	double here[TR_MAX_VANTAGES];
	double recent_well;
	double recent_bad;
	double last_second_well;
	double last_second_bad;
	apr_time_t decayed_at;
	apr_time_t last_failure_at;
	apr_time_t rising_since;
	apr_time_t failing_since;
	apr_time_t failing_since_from[TR_MAX_VANTAGES];
	apr_time_t last_success_at[TR_MAX_VANTAGES];
};

/* When evidence is enough; made from the team's document. */
struct tr_evidence_rules {
	double sick;
	double avoid;
	double least_base;
};

/* One batch of outcomes of one source, seen from one vantage. */
struct tr_outcome_batch {
	unsigned source;
	int vantage;
	uint32_t well;
	uint32_t bad;
	uint32_t bad_run;
};

void tr_evidence_rules_init(struct tr_evidence_rules *rules,
			    const struct tr_ejection_rules *team,
			    double outcomes_per_day);
void tr_evidence_add(struct tr_evidence *ev,
		     const struct tr_outcome_batch *batch, double base_rate,
		     apr_time_t now);
bool tr_evidence_diff_totals(struct tr_evidence *ev, unsigned source,
			     struct tr_outcome_totals total,
			     struct tr_outcome_batch *batch);
void tr_evidence_decay(struct tr_evidence *ev, apr_time_t now);
void tr_evidence_clear(struct tr_evidence *ev);
void tr_evidence_forget_source(struct tr_evidence *ev, unsigned source);
apr_time_t tr_evidence_failing_duration(const struct tr_evidence *ev,
					uint32_t from);
double tr_evidence_rate(const struct tr_evidence *ev);
double tr_evidence_latest_rate(const struct tr_evidence *ev);
uint32_t tr_evidence_sick_vantages(const struct tr_evidence *ev,
				   const struct tr_evidence_rules *rules,
				   apr_time_t now);
double tr_evidence_base_rate(const double *rates, unsigned count, double least);

#endif
