/*
 * Stand-in target: a server with a few slots that is slow after a start, sheds
 * load, drains, and honours deadlines and cancellation. Faults, gray failures
 * included, are set by POST /_fault. Its ledger, read by /_ledger, lists every
 * request that it began to run, by X-Request-Id; tests compare it with the
 * outcomes that callers were given (not-run, at most once).
 */
#include <argtable2.h>
#include <glib.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "cleanup.h"
#include "error.h"
#include "event.h"
#include "events_json.h"
#include "hash.h"
#include "headers.h"
#include "loop.h"
#include "server.h"
#include "standin.h"

#define CONNECTION_LIMIT  512
#define SWEEP_INTERVAL	  TR_MSEC(5)
#define STALL_TIME	  TR_MSEC(500)
#define MEAN_STALL_GAP_US 8e6
#define NOISE_ERROR_SHARE 0.01
#define COLD_FACTOR	  5.0
#define TRUNCATED_LENGTH  4096
#define HANG_TIME	  TR_SEC(600)

enum fault {
	FAULT_OK,
	FAULT_GRAY,	/* requests hang, health checks pass */
	FAULT_SLOW,	/* work takes slow_factor times as long */
	FAULT_ERROR,	/* status 500 */
	FAULT_TRUNCATE, /* closes after half of the body */
	FAULT_GARBAGE,	/* not HTTP */
	FAULT_RESET,	/* runs the request, closes without an answer */
	FAULT_FLAP,	/* alternates between gray and ok */
	FAULT_SOME,	/* gray for some clients only */
	FAULT_NOISE,	/* the rare errors and stalls of a healthy target */
	FAULT_COUNT,
};

static const char *const fault_names[FAULT_COUNT] = {
	"ok",	   "gray",  "slow", "error", "truncate",
	"garbage", "reset", "flap", "some",  "noise",
};

/* Ledger entry: the executions of one request. */
struct ledger_entry {
	unsigned runs; /* how often it began to run */
	bool finished;
	bool probe;	     /* the last run was a probe */
	uint64_t began_wall; /* wall-clock time of the last run, in us */
};

/* One request of a caller. */
struct job {
	struct MHD_Connection *conn;
	struct job *next;
	char id[80];
	bool has_id;  /* it has an id */
	bool running; /* it holds a slot */
	bool suspended;
	bool ready;	   /* it was resumed, to be answered */
	bool dropped;	   /* close the connection instead of answering */
	bool health_check; /* a health check that is delayed by a stall */
	apr_time_t ends_at;
	apr_time_t deadline;
	uint64_t body_bytes;
	uint64_t body_hash;
	int padding; /* bytes by which the answer is padded (X-Pad) */
};

struct target {
	struct standin standin;
	struct server *server;
	const char *name;
	unsigned slots;
	double work_ms;
	apr_time_t started;
	apr_time_t cold; /* how long it is slow after a start */
	struct tr_random random;
	GHashTable *ledger;
	struct job *jobs;
	unsigned busy;
	bool leaving;
	enum fault fault;
	double slow_factor;
	apr_time_t flap_period;
	apr_time_t fault_at;
	char served_from[46]; /* FAULT_SOME: other clients hang */
	apr_time_t stall_at;  /* when the next stall begins */
	apr_time_t stall_until;
	struct tr_event_ring events;
	uint64_t refused;
	uint64_t last_work_wall;
};

static struct target target_state;

static apr_time_t now_of(const struct target *t)
{
	return tr_clock_now(loop_clock(t->standin.loop));
}

/* The fault that applies to this connection at present. */
static enum fault current_fault(const struct target *t,
				struct MHD_Connection *conn)
{
	char ip[46];

	if (t->fault == FAULT_FLAP)
		return (now_of(t) - t->fault_at) / t->flap_period % 2
			       ? FAULT_OK
			       : FAULT_GRAY;
	if (t->fault == FAULT_SOME) {
		standin_peer_ip(conn, ip);
		return strncmp(ip, t->served_from, strlen(t->served_from))
			       ? FAULT_GRAY
			       : FAULT_OK;
	}
	return t->fault;
}

/* Time to serve the request, exponentially distributed; HANG_TIME if gray. */
static apr_time_t work_time(struct target *t, struct MHD_Connection *conn)
{
	const char *requested_ms =
		MHD_lookup_connection_value(conn, MHD_HEADER_KIND, "X-Work-Ms");
	double mean = requested_ms ? strtod(requested_ms, NULL) : t->work_ms;
	double ms = -mean * log(1.0 - tr_random_unit(&t->random));

	if (now_of(t) - t->started < t->cold)
		ms *= COLD_FACTOR;
	switch (current_fault(t, conn)) {
	case FAULT_SLOW:
		return (apr_time_t)(ms * t->slow_factor * 1000);
	case FAULT_GRAY:
		return HANG_TIME;
	default:
		return (apr_time_t)(ms * 1000);
	}
}

static void add_state_headers(const struct target *t,
			      struct MHD_Response *response)
{
	char load[16];

	snprintf(load, sizeof(load), "%u", t->busy);
	MHD_add_response_header(response, HEADER_LOAD, load);
	if (t->leaving)
		MHD_add_response_header(response, HEADER_TARGET_STATE,
					"leaving");
}

static enum MHD_Result answer(const struct target *t, struct job *job,
			      int status, const char *not_run, char *text)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(text), text, MHD_RESPMEM_MUST_FREE);
	enum MHD_Result ret;

	add_state_headers(t, response);
	MHD_add_response_header(response, "Content-Type", "application/json");
	if (not_run)
		MHD_add_response_header(response, HEADER_NOT_RUN, not_run);
	ret = MHD_queue_response(job->conn, (unsigned)status, response);
	MHD_destroy_response(response);
	return ret;
}

static enum MHD_Result refuse(struct target *t, struct job *job,
			      const char *why)
{
	t->refused++;
	return answer(t, job, 503, why, strdup("{\"error\": \"not run\"}\n"));
}

static void record_run(struct target *t, const struct job *job)
{
	struct ledger_entry *e;

	t->last_work_wall = loop_wall_time(NULL);
	if (!job->has_id)
		return;
	e = g_hash_table_lookup(t->ledger, job->id);
	if (!e) {
		e = g_new0(struct ledger_entry, 1);
		g_hash_table_insert(t->ledger, g_strdup(job->id), e);
	}
	e->runs++;
	e->probe = MHD_lookup_connection_value(job->conn, MHD_HEADER_KIND,
					       HEADER_TRICKLE) != NULL;
	e->began_wall = t->last_work_wall;
}

static enum MHD_Result start_job(struct target *t, struct job *job)
{
	const char *deadline = MHD_lookup_connection_value(
		job->conn, MHD_HEADER_KIND, HEADER_TARGET_DEADLINE);
	apr_time_t now = now_of(t);

	if (current_fault(t, job->conn) == FAULT_RESET) {
		record_run(t, job);
		return MHD_NO;
	}
	if (t->leaving)
		return refuse(t, job, "leaving");
	if (t->busy >= t->slots)
		return refuse(t, job, "shed");
	record_run(t, job);
	job->ends_at = now + work_time(t, job->conn);
	/*
	 * A hanging request holds no slot, so that the target goes on to
	 * accept work that it never answers: the worst case for a balancer.
	 */
	job->running = job->ends_at - now < HANG_TIME;
	t->busy += job->running;
	job->deadline =
		deadline ? now + TR_MSEC(strtol(deadline, NULL, 10)) : 0;
	job->suspended = true;
	MHD_suspend_connection(job->conn);
	return MHD_YES;
}

static void end_job(struct target *t, struct job *job)
{
	if (!job->running)
		return;
	job->running = false;
	t->busy--;
}

/* MHD's callback for a body that ends at half of its Content-Length. */
static ssize_t read_truncated(void *ctx, uint64_t pos, char *buf, size_t max)
{
	(void)ctx;
	if (pos >= TRUNCATED_LENGTH / 2)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (max > TRUNCATED_LENGTH / 2 - pos)
		max = TRUNCATED_LENGTH / 2 - pos;
	memset(buf, 'x', max);
	return (ssize_t)max;
}

static enum MHD_Result answer_truncated(struct job *job)
{
	struct MHD_Response *response = MHD_create_response_from_callback(
		TRUNCATED_LENGTH, TRUNCATED_LENGTH, read_truncated, NULL, NULL);
	enum MHD_Result ret = MHD_queue_response(job->conn, 200, response);

	MHD_destroy_response(response);
	return ret;
}

static enum MHD_Result answer_garbage(struct job *job)
{
	static const char text[] = "\x01\x02 this is no HTTP\r\n\r\n";
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		job->conn, MHD_CONNECTION_INFO_CONNECTION_FD);

	if (send(info->connect_fd, text, sizeof(text) - 1, MSG_NOSIGNAL) < 0)
		return MHD_NO;
	return MHD_NO;
}

static char *result_text(const struct target *t, const struct job *job)
{
	char *padding = malloc((size_t)job->padding + 1);
	char *text = NULL;

	memset(padding, 'p', (size_t)job->padding);
	padding[job->padding] = 0;
	if (asprintf(&text,
		     "{\"target\": \"%s\", \"request\": \"%s\", "
		     "\"body_bytes\": %lu, \"body_hash\": \"%lx\", "
		     "\"pad\": \"%s\", \"end\": true}\n",
		     t->name, job->id, (unsigned long)job->body_bytes,
		     (unsigned long)job->body_hash, padding) < 0)
		text = NULL;
	free(padding);
	return text;
}

static enum MHD_Result finish_job(struct target *t, struct job *job)
{
	struct ledger_entry *e = g_hash_table_lookup(t->ledger, job->id);

	end_job(t, job);
	if (job->dropped)
		return MHD_NO;
	if (e)
		e->finished = true;
	if (t->fault == FAULT_NOISE &&
	    tr_random_unit(&t->random) < NOISE_ERROR_SHARE)
		return answer(t, job, 500, NULL,
			      strdup("{\"error\": \"noise\"}\n"));
	switch (current_fault(t, job->conn)) {
	case FAULT_ERROR:
		return answer(t, job, 500, NULL,
			      strdup("{\"error\": \"internal\"}\n"));
	case FAULT_TRUNCATE:
		return answer_truncated(job);
	case FAULT_GARBAGE:
		return answer_garbage(job);
	default:
		return answer(t, job, 200, NULL, result_text(t, job));
	}
}

static void add_ledger_entry(gpointer key, gpointer value, gpointer ctx)
{
	const struct ledger_entry *e = value;

	json_object_set_new(
		ctx, key,
		json_pack("{s:i, s:b, s:b, s:I}", "runs", (int)e->runs,
			  "finished", (int)e->finished, "trickle",
			  (int)e->probe, "wall", (json_int_t)e->began_wall));
}

static enum MHD_Result answer_ledger(struct target *t,
				     struct MHD_Connection *conn)
{
	json_t *entries = json_object();

	g_hash_table_foreach(t->ledger, add_ledger_entry, entries);
	return server_reply_json(
		conn, 200,
		json_pack("{s:s, s:I, s:o}", "target", t->name, "last_work_us",
			  (json_int_t)t->last_work_wall, "ledger", entries));
}

static enum MHD_Result set_fault(struct target *t, struct MHD_Connection *conn)
{
	const char *mode = standin_query(conn, "mode", "ok");
	int found = -1;

	if (!strcmp(mode, "leaving")) {
		t->leaving = true;
		return server_reply_json(conn, 200,
					 json_pack("{s:s}", "mode", mode));
	}
	if (!strcmp(mode, "restart")) {
		t->started = now_of(t);
		t->leaving = false;
		for (struct job *job = t->jobs; job; job = job->next) {
			job->dropped = true;
			job->ends_at = 0;
		}
		found = FAULT_OK;
	}
	for (int i = 0; i < FAULT_COUNT; i++)
		if (!strcmp(mode, fault_names[i]))
			found = i;
	if (found < 0)
		return server_reply_json(
			conn, 400, json_pack("{s:s}", "error", "no such mode"));
	t->fault = (enum fault)found;
	t->fault_at = now_of(t);
	t->slow_factor = (double)standin_query_number(conn, "factor", 10);
	t->flap_period = TR_MSEC(standin_query_number(conn, "period_ms", 3000));
	snprintf(t->served_from, sizeof(t->served_from), "%s",
		 standin_query(conn, "from", "127."));
	tr_event_append(&t->events, loop_wall_time(NULL), TR_EVENT_FAULT, "",
			t->name, "%s", mode);
	return server_reply_json(conn, 200,
				 json_pack("{s:s, s:I}", "mode", mode, "at_us",
					   (json_int_t)loop_wall_time(NULL)));
}

static enum MHD_Result
answer_control(struct target *t, struct MHD_Connection *conn, const char *url)
{
	if (!strcmp(url, "/_health"))
		return server_reply_json(conn, 200,
					 json_pack("{s:s}", "health", "ok"));
	if (!strcmp(url, "/_load"))
		return server_reply_json(conn, 200,
					 json_pack("{s:i, s:i, s:I}", "busy",
						   (int)t->busy, "slots",
						   (int)t->slots, "refused",
						   (json_int_t)t->refused));
	if (!strcmp(url, "/_ledger"))
		return answer_ledger(t, conn);
	if (!strcmp(url, "/_fault"))
		return set_fault(t, conn);
	return server_reply_json(conn, 404,
				 json_pack("{s:s}", "error", "no such path"));
}

static enum MHD_Result handler(void *ctx, struct MHD_Connection *conn,
			       const char *url, const char *method,
			       const char *version, const char *upload,
			       size_t *upload_len, void **con_cls)
{
	struct target *t = ctx;
	struct job *job = *con_cls;

	(void)version;
	(void)method;
	if (!job->conn) {
		const char *id = MHD_lookup_connection_value(
			conn, MHD_HEADER_KIND, "X-Request-Id");
		const char *padding = MHD_lookup_connection_value(
			conn, MHD_HEADER_KIND, "X-Pad");

		job->conn = conn;
		job->has_id = id != NULL;
		job->padding = padding ? (int)strtol(padding, NULL, 10) : 0;
		snprintf(job->id, sizeof(job->id), "%s", id ? id : "");
		return MHD_YES;
	}
	if (*upload_len) {
		job->body_bytes += *upload_len;
		job->body_hash += tr_hash(upload, *upload_len);
		*upload_len = 0;
		return MHD_YES;
	}
	if (!strcmp(url, "/_health") && !job->ready &&
	    now_of(t) < t->stall_until) {
		job->health_check = true;
		job->ends_at = t->stall_until;
		job->suspended = true;
		MHD_suspend_connection(conn);
		return MHD_YES;
	}
	if (job->ready && !job->health_check)
		return finish_job(t, job);
	if (!strcmp(url, "/v1/events"))
		return server_reply_json(conn, 200,
					 events_json(&t->events, t->name, 0));
	if (!strncmp(url, "/_", 2))
		return answer_control(t, conn, url);
	return start_job(t, job);
}

static void *request_begin(void *ctx, const char *uri,
			   struct MHD_Connection *conn)
{
	struct target *t = ctx;
	struct job *job = g_new0(struct job, 1);

	(void)uri;
	(void)conn;
	job->next = t->jobs;
	t->jobs = job;
	return job;
}

static void request_completed(void *ctx, struct MHD_Connection *conn,
			      void **con_cls,
			      enum MHD_RequestTerminationCode code)
{
	struct target *t = ctx;
	struct job *job = *con_cls;
	struct job **link = &t->jobs;

	(void)conn;
	(void)code;
	if (!job)
		return;
	while (*link && *link != job)
		link = &(*link)->next;
	if (*link)
		*link = job->next;
	end_job(t, job);
	g_free(job);
	*con_cls = NULL;
}

static bool caller_disconnected(const struct job *job)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		job->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	char byte;

	return recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* FAULT_NOISE: a healthy target pauses at times, as for garbage collection. */
static void step_stall(struct target *t, apr_time_t now)
{
	if (t->fault != FAULT_NOISE || now < t->stall_at)
		return;
	if (t->stall_at)
		t->stall_until = now + STALL_TIME;
	t->stall_at = now + STALL_TIME +
		      (apr_time_t)(-log(1.0 - tr_random_unit(&t->random)) *
				   MEAN_STALL_GAP_US);
}

/* Ends jobs that are done, past their deadline or without a caller. */
static void sweep(void *ctx)
{
	struct target *t = ctx;
	apr_time_t now = now_of(t);

	step_stall(t, now);
	for (struct job *job = t->jobs; job; job = job->next) {
		bool expired;

		if (!job->suspended)
			continue;
		expired = (job->deadline && now > job->deadline) ||
			  caller_disconnected(job);
		if (!expired && (now < job->ends_at || now < t->stall_until))
			continue;
		if (expired && now < job->ends_at)
			job->dropped = true;
		job->ready = true;
		job->suspended = false;
		MHD_resume_connection(job->conn);
		server_wake(t->server);
	}
	loop_add_timer(t->standin.loop, SWEEP_INTERVAL / 5, sweep, t);
}

static int run(struct target *t, const char *listen)
{
	struct tr_error err = { 0 };
	struct server_options options = {
		.field = "listen",
		.connections = CONNECTION_LIMIT,
		.handler = handler,
		.request_completed = request_completed,
		.request_begin = request_begin,
		.ctx = t,
	};
	char ip[46];
	char text[512];

	if (standin_parse_address(listen, ip, &options.port)) {
		fprintf(stderr,
			"toucanreel-target: --listen: '%s': "
			"expected IP:PORT\n",
			listen);
		return 2;
	}
	options.ip = ip;
	t->ledger = g_hash_table_new(g_str_hash, g_str_equal);
	t->server = server_new(t->standin.loop, &options, &err);
	if (!t->server) {
		tr_error_format(&err, text, sizeof(text));
		fprintf(stderr, "toucanreel-target: %s\n", text);
		return 2;
	}
	t->started = now_of(t) - t->cold;
	sweep(t);
	standin_run(&t->standin);
	for (struct job *job = t->jobs; job; job = job->next)
		if (job->suspended)
			MHD_resume_connection(job->conn);
	server_destroy(t->server);
	return 0;
}

int main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *listen =
		arg_str1("l", "listen", "IP:PORT", "address to listen on");
	struct arg_str *name =
		arg_str1("n", "name", "NAME", "name of this target");
	struct arg_int *slots = arg_int0("s", "slots", "N", "slots (3)");
	struct arg_dbl *work =
		arg_dbl0("w", "work-ms", "MS", "mean service time (10)");
	struct arg_int *cold =
		arg_int0("c", "cold-ms", "MS",
			 "slow for so long after a restart (2000)");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, listen, name, slots, work, cold, end };
	struct target *t = &target_state;
	int code = 2;
	int errors = arg_parse(argc, argv, table);

	if (help->count) {
		printf("Usage: toucanreel-target");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		code = 0;
	} else if (errors) {
		arg_print_errors(stderr, end, "toucanreel-target");
	} else if (!standin_init(&t->standin, name->sval[0])) {
		t->name = name->sval[0];
		t->slots = slots->count ? (unsigned)slots->ival[0] : 3;
		t->work_ms = work->count ? work->dval[0] : 10;
		t->cold = TR_MSEC(cold->count ? cold->ival[0] : 2000);
		t->random.state = tr_hash_string(t->name);
		code = run(t, listen->sval[0]);
		standin_destroy(&t->standin);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
