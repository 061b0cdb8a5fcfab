#ifndef TR_SEND_LIMIT_H
#define TR_SEND_LIMIT_H

#include <apr_time.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The limit that one target has named, as one VM keeps it. rate: requests a
 * second from all VMs together, while it holds; rate_told is the one of which
 * the last line and message were. named_at: when the target last spoke of it to
 * any VM. tokens: requests that may be sent, as this VM knows
 * from what it and the others sent, at a time. sent is this VM's part, as a
 * running total that wraps around; changed: something is to be told to others.
 */
struct tr_send_limit {
	bool used;
	bool holds;
	uint32_t target;
	double rate;
	double rate_reported;
	apr_time_t named_at;
	double tokens;
	apr_time_t at;
	uint16_t sent;
	bool changed;
};

/* What has become of a limit. */
enum tr_send_limit_change {
	TR_SEND_LIMIT_SAME,
	TR_SEND_LIMIT_BEGAN,
	TR_SEND_LIMIT_CHANGED,
	TR_SEND_LIMIT_ENDED,
};

/* The limits of all targets, by small handles; a place is used again. holding
 * counts those that hold, next_told is where the next message goes on. */
struct tr_send_limits {
	struct tr_send_limit *rows;
	unsigned count;
	unsigned room;
	unsigned holding;
	uint32_t next_reported;
};

uint32_t tr_send_limits_add(struct tr_send_limits *limits, uint32_t target);
void tr_send_limits_remove(struct tr_send_limits *limits, uint32_t place);
void tr_send_limits_release(struct tr_send_limits *limits);
enum tr_send_limit_change tr_send_limit_set(struct tr_send_limits *limits,
					    uint32_t place, double rate,
					    apr_time_t named_at,
					    apr_time_t now);
enum tr_send_limit_change tr_send_limit_absent(struct tr_send_limits *limits,
					       uint32_t place,
					       apr_time_t named_at);
enum tr_send_limit_change tr_send_limit_clear(struct tr_send_limits *limits,
					      uint32_t place,
					      apr_time_t named_at);
void tr_send_limits_deactivate(struct tr_send_limits *limits, uint32_t place);
bool tr_send_limit_is_stale(const struct tr_send_limit *l, apr_time_t now);
apr_time_t tr_send_limit_report_time(apr_time_t reported_age, apr_time_t now);
void tr_send_limit_sent(struct tr_send_limit *l, double share, apr_time_t now);
void tr_send_limit_reported(struct tr_send_limit *l, uint16_t sent,
			    double share, apr_time_t now);
double tr_send_limit_tokens(const struct tr_send_limit *l, double share,
			    apr_time_t now);
double tr_send_limit_rate(const struct tr_send_limit *l, double share);
bool tr_send_limits_admit(double tokens, double wanted, double drawn);

#endif
