/* Applying a service's configuration, choosing targets and counting attempts.
 */
#ifndef TR_SERVICE_H
#define TR_SERVICE_H

#include "board.h"
#include "detector.h"

/* One target of the published list. */
struct tr_target_entry {
	char name[TR_NAME_MAX + 1];
	char address[46];
	char data_centre[TR_NAME_MAX + 1];
	bool leaving;
};

/* How tr_service_pick() chose a target, or why it found none. */
enum tr_pick_kind {
	TR_PICK_NORMAL,
	TR_PICK_PROBE, /* a suspect target that is due for a request */
	TR_PICK_BUSY,  /* all slots are taken */
	TR_PICK_NONE,  /* no target may be used */
};

/* Targets that a request has already tried and is not sent to again. */
struct tr_tried {
	uint32_t ids[8];
	unsigned count;
};

/* How one attempt at a target ended, as the HTTP proxy saw it. */
enum tr_attempt_end {
	TR_ATTEMPT_ANSWERED,
	TR_ATTEMPT_FAILED_STATUS,
	TR_ATTEMPT_TARGET_REFUSED,
	TR_ATTEMPT_UNREACHED,
	TR_ATTEMPT_TIMED_OUT,
	TR_ATTEMPT_BROKEN,
	TR_ATTEMPT_CUT_SHORT,
	TR_ATTEMPT_GARBAGE,
	TR_ATTEMPT_ABANDONED,
};

void tr_service_set_document(struct tr_board *board, struct tr_service *svc,
			     struct tr_document *doc, uint64_t revision);
void tr_service_set_targets(struct tr_board *board, struct tr_service *svc,
			    const struct tr_target_entry *entries,
			    unsigned count, uint64_t revision);
void tr_service_release(struct tr_service *svc);
void tr_service_step(struct tr_board *board, struct tr_service *svc,
		     apr_time_t now);
struct tr_target *tr_service_pick(struct tr_board *board,
				  struct tr_service *svc, bool may_repeat,
				  const struct tr_tried *tried,
				  enum tr_pick_kind *kind);
void tr_attempt_begin(struct tr_service *svc, struct tr_target *target,
		      enum tr_pick_kind kind, apr_time_t now);
bool tr_attempt_overdue(struct tr_board *board, struct tr_service *svc,
			struct tr_target *target, unsigned route,
			apr_time_t began, apr_time_t now);
void tr_attempt_end(struct tr_board *board, struct tr_service *svc,
		    struct tr_target *target, unsigned route,
		    enum tr_attempt_end how, apr_time_t began, bool counted,
		    apr_time_t now);
apr_time_t tr_service_slow_threshold(const struct tr_service *svc,
				     unsigned route);
apr_time_t tr_service_median_latency(const struct tr_service *svc,
				     unsigned route);
void tr_target_announce_leaving(struct tr_board *board, struct tr_service *svc,
				struct tr_target *target);
bool tr_target_is_suspect(const struct tr_service *svc,
			  const struct tr_target *target, apr_time_t now);
void tr_target_set_reported_load(struct tr_target *target, uint32_t load,
				 apr_time_t now);
enum tr_result tr_attempt_result(enum tr_attempt_end how);

#endif
