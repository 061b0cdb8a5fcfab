/*
 * Evidence, from the outcomes of attempts, that a target is sick.
 *
 * A vantage is the data centre from which a VM sees the targets, as its index
 * in the service's document.
 */
#ifndef TR_EVIDENCE_H
#define TR_EVIDENCE_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

#include "document.h"

/* Outcomes that one VM saw at one target since its process started. */
struct tr_outcome_totals {
	uint32_t well;	  /* successes */
	uint32_t bad;	  /* failures */
	uint32_t bad_run; /* failures since the last success */
};

/* Index of this VM's own outcomes; those of its peers in the cell follow. */
#define TR_SOURCE_SELF 0
#define TR_SOURCES     (TR_MAX_CELL + 1)

/* Bit mask of all vantages, including those not heard from yet. */
#define TR_EVERY_VANTAGE UINT32_MAX

/*
 * What is known of one target. The sums are CUSUM statistics: log-likelihood
 * ratios, in nats, of the target being sick against it being healthy. Sums of
 * several VMs are added up because their outcomes are taken to be independent.
 * Times called failing_since are 0 after a success.
 */
struct tr_evidence {
	struct tr_outcome_totals own;
	struct tr_outcome_totals heard[TR_SOURCES]; /* totals last received */
	bool heard_before[TR_SOURCES];
	int vantage_of[TR_SOURCES];
	float by_source[TR_SOURCES];	  /* sum of one VM's outcomes */
	apr_time_t source_at[TR_SOURCES]; /* when outcomes last came */
	double cell_sum;		  /* sum over the whole cell */
	double vantage_sum[TR_MAX_VANTAGES];
	double recent_well; /* decayed counts, for the failure rates */
	double recent_bad;
	double last_second_well;
	double last_second_bad;
	apr_time_t decayed_at;
	apr_time_t last_failure_at;
	apr_time_t rising_since;  /* when cell_sum began to rise */
	apr_time_t failing_since; /* when every attempt began to fail */
	apr_time_t failing_since_from[TR_MAX_VANTAGES];
	apr_time_t last_success_at[TR_MAX_VANTAGES];
};

/* Thresholds, computed from the ejection rules in the service's document. */
struct tr_evidence_rules {
	double sick;	      /* sum at which a target may be ejected */
	double avoid;	      /* sum at which it becomes the last choice */
	double min_base_rate; /* lower bound of the base rate */
};

/* Outcomes of one source that are new, seen from one vantage. */
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
