#ifndef TR_NOTICE_H
#define TR_NOTICE_H

#include <apr_time.h>
#include <stdbool.h>

/* How a value that may stand in an answer was found. */
enum tr_notice_value {
	TR_NOTICE_ABSENT,
	TR_NOTICE_GIVEN,
	TR_NOTICE_INVALID,
};

/*
 * What a target says of itself in one answer: whether it is about to end, how
 * many requests a second it takes from all VMs together, and for how long it
 * wants nothing from this VM. limit and rest hold where they were given.
 */
struct tr_notice {
	bool leaving;
	enum tr_notice_value limit_state;
	double limit;
	enum tr_notice_value rest_state;
	apr_time_t rest;
};

enum tr_notice_value tr_notice_parse_decimal(const char *text, double *value);

#endif
