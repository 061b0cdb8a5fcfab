/*
 * State of one proxied request and the calls that the proxy's source files
 * share: proxy.c, request.c, attempt.c, reply.c, arrive.c and sweep.c.
 */
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
	REQUEST_NEW,	 /* only the request line has been read */
	REQUEST_HEADERS, /* headers read, service's document may be missing */
	REQUEST_BODY,	 /* the body is being buffered */
	REQUEST_QUEUED,	 /* queued until a target has a free slot */
	REQUEST_AT_TARGET,
	REQUEST_DONE, /* the reply is decided, perhaps not sent yet */
};

struct header {
	char *name;
	char *value;
};

/* One attempt to send the request to one target, or to another VM. */
struct attempt {
	CURL *easy;
	struct curl_slist *headers;
	uint32_t target; /* id, since the target's table slot may be reused */
	apr_time_t began;
	apr_time_t first_data_at; /* first body data received, or 0 */
	size_t body_offset; /* offset of the next request body byte to send */
	unsigned sends;	    /* times libcurl was about to send the request */
	bool overdue_reported; /* already reported to the detector as overdue */
	bool probe;	       /* a probe of a suspect target */
	bool forwarded;	       /* goes to another VM rather than to a target */
	bool read_paused;
	bool write_paused;
	bool length_known;   /* the answer has a length or is chunked */
	bool refused;	     /* the target declared that it did not run it */
	bool target_leaving; /* the target announced that it is leaving */
	int64_t load;	     /* as reported by the target, -1: not reported */
	size_t header_bytes;
};

/* The response to the caller. */
struct reply {
	int status;
	enum tr_result code;
	struct header *headers;
	unsigned headers_count;
	struct buffer body;
	int64_t length; /* Content-Length of the target's answer, or -1 */
	bool complete;	/* all of the body is in the buffer */
	bool cut_off;	/* the target's answer was cut off while streaming */
	bool streaming; /* passed on before it is complete */
	bool generated; /* generated here rather than by a target */
	bool replayed;	/* stored answer of an earlier request */
	uint32_t retry_after_ms; /* 0: no Retry-After */
};

struct request {
	struct proxy *proxy;
	struct MHD_Connection *conn;
	struct request *next;
	struct request *prev;
	enum request_state state;
	bool service_referenced; /* counted in svc->users */
	bool suspended;		 /* MHD does not serve the connection */
	bool responded;		 /* the response has been given to MHD */
	char method[8];
	char *uri;
	const char *path;
	char service[TR_NAME_MAX + 1];
	struct tr_service *svc;
	unsigned route;	 /* index in the document's routes */
	bool idempotent; /* the route is idempotent */
	enum tr_priority priority;
	uint64_t organisation; /* hash of the header's value, 0: none */
	apr_time_t began;
	apr_time_t deadline;
	struct buffer body;
	int64_t body_length; /* -1: chunked */
	bool has_body;
	bool body_complete;
	bool body_streamed; /* too large to buffer, so it can't be resent */
	size_t body_seen;   /* body bytes received so far */
	uint64_t body_max;  /* limit of the service's document, in bytes */
	uint32_t waiter;    /* entry in the service's queue, or TR_NO_WAITER */
	uint32_t record;    /* entry in the dispatcher, or TR_NO_RECORD */
	uint64_t idempotency_key; /* hash of its Idempotency-Key, or 0 */
	struct tr_key key;
	bool forwarded_in;  /* received from another VM */
	bool forwarded_out; /* sent on to the VM that minted the key */
	struct tr_tried tried;
	unsigned attempts;
	unsigned refusals;   /* attempts that a target declared as not run */
	bool maybe_executed; /* an attempt may have executed the request */
	enum tr_result unknown_code; /* result of the last such attempt */
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
	uint64_t hedged; /* overdue requests sent to another target */
	uint64_t bytes_in;
	uint64_t bytes_out;
	uint64_t by_code[640]; /* indexed by enum tr_result */
};

struct proxy {
	struct loop *loop;
	struct client *client;
	struct server *server;
	struct tr_board *board;
	struct config *config;
	const struct tr_secret *secret;
	size_t body_buffer; /* bytes of a request body that are buffered */
	struct request *requests;
	unsigned in_flight;
	struct proxy_counts counts;
};

/* request.c */
struct request *request_new(struct proxy *proxy, const char *uri);
void request_free(struct request *r);
void request_suspend(struct request *r);
void request_resume(struct request *r);
void reply_clear(struct reply *reply);
const char *request_header(const struct request *r, const char *name);

/* proxy.c */
void proxy_dispatch(struct request *r);
void proxy_finish(struct request *r, enum tr_result code);
void proxy_reroute(struct request *r);
void proxy_attempt_done(struct request *r, enum tr_attempt_end end);
void proxy_serve_queue(struct proxy *proxy, struct tr_service *svc);

/* attempt.c */
int attempt_start(struct request *r, struct tr_target *target,
		  enum tr_pick_kind kind);
int attempt_forward(struct request *r, const char *authority);
void attempt_abandon(struct request *r, enum tr_attempt_end end);
void attempt_body_ready(struct request *r);
void attempt_reply_drained(struct request *r);
bool attempt_can_resend(const struct request *r);

/* reply.c */
enum MHD_Result reply_queue(struct request *r);
void reply_add_header(struct reply *reply, const char *name, size_t name_len,
		      const char *value, size_t value_len);

#endif
