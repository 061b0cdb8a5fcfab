/* Rate limits that targets set, shared by all VMs that send to them. */
#ifndef TR_SEND_LIMIT_H
#define TR_SEND_LIMIT_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

/* The rate limit that one target has set, as one VM keeps it. */
struct tr_send_limit {
	bool used;
	/* Whether the limit applies now. */
	bool holds;
	/* Hash of the target. */
	uint32_t target;
	/*
	 * Requests a second from all VMs together, and its value in the last
	 * log line and report.
	 */
	double rate;
	double rate_reported;
	/* When the target last set or lifted it, in a response to any VM. */
	apr_time_t named_at;
	/* Requests that may be sent, as of refilled_at. */
	double tokens;
	apr_time_t refilled_at;
	/* Running total of this VM's requests; it wraps around. */
	uint16_t sent;
	/* Whether something is to be reported to the other VMs. */
	bool changed;
};

/* How the state of a limit changed. */
enum tr_send_limit_change {
	TR_SEND_LIMIT_SAME,
	TR_SEND_LIMIT_BEGAN,
	TR_SEND_LIMIT_CHANGED,
	TR_SEND_LIMIT_ENDED,
};

/* The limits of all targets. Rows are found by index and reused. */
struct tr_send_limits {
	struct tr_send_limit *rows;
	unsigned count;
	unsigned capacity;
	/* Limits that apply now. */
	unsigned active_count;
	/* Row at which the next message continues. */
	uint32_t next_reported;
};

uint32_t tr_send_limits_add(struct tr_send_limits *limits, uint32_t target);
void tr_send_limits_remove(struct tr_send_limits *limits, uint32_t row_index);
void tr_send_limits_release(struct tr_send_limits *limits);
enum tr_send_limit_change tr_send_limit_set(struct tr_send_limits *limits,
					    uint32_t row_index, double rate,
					    apr_time_t named_at,
					    apr_time_t now);
enum tr_send_limit_change tr_send_limit_absent(struct tr_send_limits *limits,
					       uint32_t row_index,
					       apr_time_t named_at);
enum tr_send_limit_change tr_send_limit_clear(struct tr_send_limits *limits,
					      uint32_t row_index,
					      apr_time_t named_at);
void tr_send_limits_deactivate(struct tr_send_limits *limits,
			       uint32_t row_index);
bool tr_send_limit_is_stale(const struct tr_send_limit *l, apr_time_t now);
apr_time_t tr_send_limit_report_time(apr_time_t reported_age, apr_time_t now);
void tr_send_limit_reserve(struct tr_send_limit *l, double heard_share,
			   apr_time_t now);
void tr_send_limit_give_back(struct tr_send_limit *l);
void tr_send_limit_sent(struct tr_send_limit *l);
void tr_send_limit_reported(struct tr_send_limit *l, uint16_t sent,
			    double heard_share, apr_time_t now);
double tr_send_limit_tokens(const struct tr_send_limit *l, double heard_share,
			    apr_time_t now);
double tr_send_limit_rate(const struct tr_send_limit *l, double heard_share);
bool tr_send_limits_admit(double tokens, double request_rate, double point);

#endif
