/* Whether this VM has a network path to the targets of a service. */
#ifndef TR_PATH_H
#define TR_PATH_H

#include <apr_time.h>
#include <stdbool.h>

/* What this VM's connections tell of its path to a service's targets. */
struct tr_path {
	/* This VM is cut off: others reach targets that it does not. */
	bool cut;
	/* Detours and own connections in a row, each ending the other. */
	unsigned detours;
	unsigned direct;
	/* When anything last came from a target on an own connection. */
	apr_time_t heard_at;
	/* Something has failed that may be due to the path. */
	bool suspected;
	apr_time_t checked_at;
};

bool tr_path_connected(struct tr_path *p, apr_time_t now);
bool tr_path_detoured(struct tr_path *p);
void tr_path_heard(struct tr_path *p, apr_time_t now);
void tr_path_suspect(struct tr_path *p, apr_time_t since);
bool tr_path_check_due(const struct tr_path *p, apr_time_t now);
bool tr_path_must_wait(const struct tr_path *p, apr_time_t since,
		       apr_time_t now);

#endif
