/* What a target announces about itself in the headers of a response. */
#ifndef TR_NOTICE_H
#define TR_NOTICE_H

#include <apr_time.h>
#include <stdbool.h>

/* How an optional value in a response was found. */
enum tr_notice_value {
	TR_NOTICE_ABSENT,
	TR_NOTICE_GIVEN,
	TR_NOTICE_INVALID,
};

/* What a target says about itself in one response. */
struct tr_notice {
	/* Whether it is about to shut down. */
	bool leaving;
	enum tr_notice_value limit_state;
	/* Requests a second that it accepts from all VMs together. */
	double limit;
	enum tr_notice_value backoff_state;
	/* How long this VM should send it no requests. */
	apr_time_t backoff;
};

enum tr_notice_value tr_notice_parse_decimal(const char *text, double *value);

#endif
