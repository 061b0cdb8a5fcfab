/*
 * Detectors of sick targets: the CUSUM test over the whole cell, and baselines
 * that model how other proxies detect them on each VM alone.
 */
#ifndef TR_DETECTOR_H
#define TR_DETECTOR_H

#include "board.h"

/* What the outcome of one attempt says about its target. */
enum tr_signal {
	TR_SIGNAL_SUCCESS,
	TR_SIGNAL_FAILURE,
	TR_SIGNAL_NONE,
};

/* Operations of one detector. */
struct tr_detector_ops {
	const char *name;
	bool fleet; /* uses evidence of all VMs, and ejections need an order */
	void (*outcome)(struct tr_board *board, struct tr_service *svc,
			struct tr_target *target, enum tr_signal signal,
			apr_time_t now);
	void (*health)(struct tr_board *board, struct tr_service *svc,
		       struct tr_target *target, bool well, apr_time_t now);
	void (*step)(struct tr_board *board, struct tr_service *svc,
		     apr_time_t now);
};

const struct tr_detector_ops *tr_detector(enum tr_detector_kind kind);
const struct tr_detector_ops *tr_detector_by_name(const char *name);
uint32_t tr_detector_sick_vantages(const struct tr_service *svc,
				   const struct tr_target *target,
				   apr_time_t now);

#endif
