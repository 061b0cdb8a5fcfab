/*
 * Bounds the repeats of requests, over the whole fleet and in every window, so
 * that repeats cannot multiply the load of a failing service.
 */
#ifndef TR_ALLOWANCE_H
#define TR_ALLOWANCE_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The window is kept in this many parts, plus one that is being filled, so that
 * no span of the window's length holds more repeats than are counted.
 */
#define TR_ALLOWANCE_PARTS 20
#define TR_ALLOWANCE_SLOTS (TR_ALLOWANCE_PARTS + 1)

/*
 * The fleet's bound on repeats, from the settings: a ratio to requests, and a
 * slack beside it.
 */
struct tr_repeat_bound {
	double ratio;
	double slack;
	apr_time_t window;
	/*
	 * VMs that share the slack; 0 while unknown, in which case none may be
	 * used.
	 */
	unsigned vms;
	/* VMs among them that report their repeats to this VM. */
	unsigned heard;
};

/* Running totals of one VM for one service. They wrap around. */
struct tr_work_totals {
	uint16_t requests;
	uint16_t repeats;
};

/* Token bucket of one VM: repeats that it may send now. */
struct tr_repeat_bucket {
	double tokens;
	/*
	 * Exponentially decayed count of the VM's requests, as of averaged_at.
	 */
	double average_requests;
	apr_time_t slack_accrued_at;
	apr_time_t averaged_at;
	/* 0 until the VM has received a request. */
	apr_time_t first_request_at;
};

/*
 * Requests for one service and their repeats, by parts of the window, as one VM
 * knows them.
 */
struct tr_allowance {
	/* Counts of all VMs that report, and of this VM alone. */
	uint32_t requests[TR_ALLOWANCE_SLOTS];
	uint32_t repeats[TR_ALLOWANCE_SLOTS];
	uint32_t own_requests[TR_ALLOWANCE_SLOTS];
	uint32_t repeats_sent[TR_ALLOWANCE_SLOTS];
	/* Number of the current part since time 0. */
	apr_time_t part;
	/* When this process started counting. */
	apr_time_t counting_since;
	struct tr_repeat_bucket bucket;
	/* Fraction of a token that may be missing when a repeat is sent. */
	double overdraft;
	/* Repeats that silent VMs may have sent since their last report. */
	double unreported;
	/* This VM's totals, to be reported to the others. */
	struct tr_work_totals own;
	/* For the log: repeats refused, and attempts at the last log line. */
	unsigned denied;
	unsigned logged_attempts;
};

/* Sums over the window, as far as they have been reported. */
struct tr_allowance_sums {
	unsigned requests;
	unsigned repeats;
	unsigned own_requests;
	unsigned own_repeats;
};

void tr_allowance_init(struct tr_allowance *a, uint32_t vm, uint32_t service,
		       apr_time_t now);
void tr_allowance_request(struct tr_allowance *a,
			  const struct tr_repeat_bound *bound, apr_time_t now);
void tr_allowance_reported(struct tr_allowance *a,
			   const struct tr_repeat_bound *bound,
			   const struct tr_work_totals *before,
			   const struct tr_work_totals *reported,
			   apr_time_t since, apr_time_t now);
void tr_allowance_vm_restarted(struct tr_allowance *a,
			       const struct tr_repeat_bound *bound,
			       const struct tr_repeat_bucket *bucket,
			       apr_time_t heard_at, apr_time_t now);
double tr_allowance_rate(struct tr_allowance *a,
			 const struct tr_repeat_bound *bound, apr_time_t now);
void tr_allowance_sum(const struct tr_allowance *a,
		      struct tr_allowance_sums *sums);
double tr_allowance_chance(struct tr_allowance *a,
			   const struct tr_repeat_bound *bound,
			   apr_time_t after, apr_time_t now);
bool tr_allowance_spend(struct tr_allowance *a,
			const struct tr_repeat_bound *bound, apr_time_t now);

void tr_repeat_bucket_reported(struct tr_repeat_bucket *bucket,
			       const struct tr_repeat_bound *bound,
			       const struct tr_work_totals *before,
			       const struct tr_work_totals *reported,
			       apr_time_t now);
double tr_repeat_bucket_unreported(const struct tr_repeat_bucket *bucket,
				   const struct tr_repeat_bound *bound,
				   apr_time_t heard_at, apr_time_t now);

#endif
