#ifndef UPSTREAM_REPORT_H
#define UPSTREAM_REPORT_H

/* What an attempt shows of its target, for upstream.c. */
#include "upstream.h"

struct tr_instance *upstream_row(const struct upstream *u);
void upstream_reach_stage(struct upstream *u, enum tr_request_stage stage);
apr_time_t upstream_report_stages(struct upstream *u, apr_time_t now);
void upstream_report_end(struct upstream *u, struct tr_instance *row,
			 enum upstream_end how);

#endif
