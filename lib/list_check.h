/* Compares this VM's list of targets with the lists that other VMs report. */
#ifndef TR_LIST_CHECK_H
#define TR_LIST_CHECK_H

#include "hash.h"
#include "roster.h"

/* What another VM reports about its list of targets. */
struct tr_list_report {
	uint64_t as_of;
	uint64_t digest;
	apr_time_t age;
};

/*
 * Since when a newer list is known to differ from this VM's, and the newest
 * revision of the store it is of.
 */
struct tr_list_check {
	apr_time_t since; /* 0: no difference is known */
	uint64_t as_of;
	/* When departures were last reported again. */
	apr_time_t repeated_at;
};

bool tr_list_check_compare(struct tr_list_check *c, struct tr_roster *roster,
			   const struct tr_list_report *reported,
			   struct tr_random *random, apr_time_t now);

#endif
