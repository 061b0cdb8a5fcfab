#ifndef ADMISSION_H
#define ADMISSION_H

/* Admission of requests to services that are overloaded. */
#include <glib.h>

#include "overload.h"

struct entry;
struct exchange;

/* Requests for one service at one rank, for the metrics. */
struct admission_counts {
	uint32_t service; /* index in the roster */
	uint32_t rank;
	uint64_t admitted;
	uint64_t refused_rank;
	uint64_t refused_share;
	uint64_t refused_backlog;
};

/* State of overload control; all zero is a valid start. */
struct admission {
	bool enabled;
	struct tr_flows flows;
	struct tr_overload *services;
	unsigned services_count;
	apr_time_t updated_at;
	GArray *counts; /* of struct admission_counts */
};

/* A decision on a request. */
struct admission_result {
	bool admitted;
	const char *why; /* cause of a refusal, for logs and metrics */
	apr_time_t retry_after;
};

void admission_apply_settings(struct entry *e);
void admission_step(struct entry *e, apr_time_t now);
struct admission_result admission_check(struct entry *e,
					const struct exchange *x);
double admission_unseen(const struct entry *e, uint32_t service);
bool admission_is_active(const struct entry *e, uint32_t service);
void admission_print(const struct entry *e, GString *text);
void admission_release(struct entry *e);

#endif
