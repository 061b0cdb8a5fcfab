#ifndef REQUEST_H
#define REQUEST_H

#include <curl/curl.h>
#include <microhttpd.h>
#include <stdbool.h>

#include "buffer.h"
#include "service.h"

struct client;
struct config;
struct loop;
struct proxy;
struct server;

enum request_state {
	REQUEST_NEW,
	REQUEST_ARRIVING,
	REQUEST_READING,
	REQUEST_WAITING,
	REQUEST_AT_TARGET,
	REQUEST_DONE,
};

struct header {
	char *name;
	char *value;
};

/* One try at one target. id names the target, whose row may be reused. */
struct attempt {
	CURL *easy;
	struct curl_slist *headers;
	uint32_t target;
	apr_time_t began;
	apr_time_t headers_at;
	size_t body_at;
	unsigned issued;
	bool counted;
	bool trickle;
	bool forwarded;
	bool read_paused;
	bool write_paused;
	bool length_known;
	bool refused;
	bool says_leaving;
	int64_t load;
	size_t header_bytes;
};

/* What is going back to the caller. */
struct reply {
	int status;
	enum tr_result code;
	struct header *headers;
	unsigned headers_count;
	struct buffer body;
	int64_t length;
	bool complete;
	bool broken;
	bool streaming;
	bool own;
	bool replayed;
	uint32_t retry_after_ms;
};

struct request {
	struct proxy *proxy;
	struct MHD_Connection *conn;
	struct request *next;
	struct request *prev;
	enum request_state state;
	bool holds_service;
	bool suspended;
	bool responded;
	char method[8];
	char *uri;
	const char *path;
	char service[TR_NAME_MAX + 1];
	struct tr_service *svc;
	unsigned route;
	bool may_repeat;
	enum tr_priority priority;
	uint64_t organisation;
	apr_time_t began;
	apr_time_t deadline;
	struct buffer body;
	int64_t body_length;
	bool has_body;
	bool body_complete;
	bool body_streamed;
	size_t body_seen;
	uint64_t body_max;
	uint32_t waiter;
	uint32_t record;
	uint64_t own_key;
	struct tr_key key;
	bool forwarded_in;
	bool forward_out;
	struct tr_tried tried;
	unsigned attempts;
	unsigned refusals;
	bool maybe_run;
	enum tr_result unknown_code;
	bool attempt_running;
	struct attempt attempt;
	struct reply reply;
};

struct proxy_counts {
	uint64_t requests;
	uint64_t answered;
	uint64_t not_run;
	uint64_t unknown;
	uint64_t replayed;
	uint64_t forwarded;
	uint64_t hedged;
	uint64_t bytes_in;
	uint64_t bytes_out;
	uint64_t by_code[640];
};

struct proxy {
	struct loop *loop;
	struct client *client;
	struct server *server;
	struct tr_board *board;
	struct config *config;
	const struct tr_secret *secret;
	size_t body_buffer;
	struct request *requests;
	unsigned in_flight;
	struct proxy_counts counts;
};

/* request.c */
struct request *request_new(struct proxy *proxy, const char *uri);
void request_free(struct request *r);
void request_suspend(struct request *r);
void request_resume(struct request *r);
void request_reply_clear(struct reply *reply);
const char *request_header(const struct request *r, const char *name);

/* proxy.c */
void proxy_dispatch(struct request *r);
void proxy_finish(struct request *r, enum tr_result code);
void proxy_move(struct request *r);
void proxy_attempt_over(struct request *r, enum tr_attempt_end how);
void proxy_serve_queue(struct proxy *proxy, struct tr_service *svc);

/* attempt.c */
int attempt_start(struct request *r, struct tr_target *target,
		  enum tr_pick_kind kind);
int attempt_forward(struct request *r, const char *authority);
void attempt_abandon(struct request *r, enum tr_attempt_end how);
void attempt_body_ready(struct request *r);
void attempt_reply_drained(struct request *r);
bool attempt_may_replay(const struct request *r);

/* reply.c */
enum MHD_Result reply_queue(struct request *r);
void reply_put_header(struct reply *reply, const char *name, size_t name_len,
		      const char *value, size_t value_len);

#endif
