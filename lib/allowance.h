#ifndef TR_ALLOWANCE_H
#define TR_ALLOWANCE_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

/* The window is kept in so many parts, and one that is being filled, so that
 * no span of the window's length holds more repeats than are counted. */
#define TR_ALLOWANCE_PARTS 20
#define TR_ALLOWANCE_SLOTS (TR_ALLOWANCE_PARTS + 1)

/* The fleet's bound on repeats, from the settings. vms: among how many VMs the
 * slack is divided; 0 while that is not known, and no slack may be used. heard:
 * how many of these tell this VM what they repeat. */
struct tr_repeat_bound {
	double ratio;
	double slack;
	apr_time_t window;
	unsigned vms;
	unsigned heard;
};

/* Running totals of one VM for one service; they wrap around. */
struct tr_work_totals {
	uint16_t requests;
	uint16_t repeats;
};

/* What a VM has saved up: the repeats that it may send now, at earned_at.
 * steady: its requests, which fade slowly, at faded_at, since the first. */
struct tr_repeat_bucket {
	double tokens;
	double steady;
	apr_time_t earned_at;
	apr_time_t faded_at;
	apr_time_t first_at;
};

/*
 * Requests for one service, and those that were sent to one more target, by
 * parts of the window: requests and repeats by the whole fleet as far as it is
 * heard; own_requests and spent by this VM alone. own is what this VM adds, to
 * be told to the others. ahead: how much of a token may be missing when it
 * sends one. unreported: what VMs that are silent may have sent since they were
 * last heard. known_since: when this VM began to count. denied and
 * logged_attempts are for the log.
 */
struct tr_allowance {
	uint32_t requests[TR_ALLOWANCE_SLOTS];
	uint32_t repeats[TR_ALLOWANCE_SLOTS];
	uint32_t own_requests[TR_ALLOWANCE_SLOTS];
	uint32_t spent[TR_ALLOWANCE_SLOTS];
	apr_time_t part;
	apr_time_t known_since;
	struct tr_repeat_bucket bucket;
	double ahead;
	double unreported;
	struct tr_work_totals own;
	unsigned denied;
	unsigned logged_attempts;
};

/* What the window holds, as far as it is known. */
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
