#ifndef TR_ROUTE_CHECK_H
#define TR_ROUTE_CHECK_H

/*
 * Checks a configuration before it is sent: what VMs would accept but can't
 * work as written, and what differs from the version in force.
 */
#include <apr_time.h>

struct tr_routes;

enum tr_severity {
	TR_SEVERITY_NOTE,
	TR_SEVERITY_WARNING,
	TR_SEVERITY_ERROR,
};

#define TR_FINDING_TEXT 320

/* One finding. kind: route, service or organisation, with its name; both are
 * empty for what concerns the whole configuration. */
struct tr_finding {
	enum tr_severity severity;
	const char *kind;
	const char *name;
	const char *field;
	char text[TR_FINDING_TEXT];
};

/* Takes the findings of a check, in order. */
struct tr_findings {
	void (*report)(void *ctx, const struct tr_finding *finding);
	void *ctx;
};

const char *tr_severity_name(enum tr_severity severity);
void tr_routes_check(const struct tr_routes *routes, apr_time_t window,
		     const struct tr_findings *out);
void tr_routes_compare(const struct tr_routes *routes,
		       const struct tr_routes *in_force,
		       const struct tr_findings *out);

#endif
