/*
 * Stand-in for the platform: a key-value store with the read API of Consul
 * (recurse, and blocking queries with index and wait). Test scripts publish
 * values by PUT /_publish/KEY and inject faults by
 * POST /_fault?mode=ok|down|stale|slow&from=IP-PREFIX.
 */
#include <argtable2.h>
#include <glib.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "buffer.h"
#include "cleanup.h"
#include "error.h"
#include "event.h"
#include "events_json.h"
#include "loop.h"
#include "server.h"
#include "standin.h"

#define VALUE_MAX	  (1024 * 1024)
#define MAX_BLOCKING_WAIT TR_SEC(60)
#define CONNECTION_LIMIT  8192
#define SWEEP_INTERVAL	  TR_MSEC(20)
#define MAX_RULES	  64
#define DEFAULT_DELAY_MS  2000

/* One published version of a value. Old ones are kept for FAULT_STALE. */
struct version {
	char *key;
	char *text;
	size_t len;
	uint64_t index;
};

enum fault_mode {
	FAULT_OK,
	FAULT_DOWN,
	FAULT_STALE,
	FAULT_SLOW,
};

static const char *const fault_names[] = { "ok", "down", "stale", "slow" };

/* A fault for clients whose address begins with from. The last match counts. */
struct fault_rule {
	char from[46];
	enum fault_mode mode;
	uint64_t stale_index; /* newer versions are hidden */
	apr_time_t delay;
};

/* One request of a client. */
struct call {
	struct MHD_Connection *conn;
	struct call *next;
	struct buffer body;
	char key[256];
	bool recurse;
	bool suspended;
	bool counted;	/* in the statistics */
	uint64_t index; /* of a blocking query, 0: not blocking */
	apr_time_t began;
	apr_time_t until; /* when a suspended call is answered at the latest */
	uint64_t visible_index; /* the newest index that the client may see */
};

struct platform {
	struct standin standin;
	struct server *server;
	GPtrArray *versions;
	uint64_t index;
	struct fault_rule rules[MAX_RULES];
	unsigned rules_count;
	struct call *calls;
	struct tr_event_ring events;
	uint64_t reads;
	uint64_t watches;	    /* blocking queries */
	uint64_t second;	    /* the second that is being counted */
	uint64_t calls_this_second; /* calls in that second */
	uint64_t max_per_second;    /* the most calls in any second */
};

static struct platform platform_state;

static apr_time_t now_of(const struct platform *p)
{
	return tr_clock_now(loop_clock(p->standin.loop));
}

static void publish(struct platform *p, const char *key, const char *text,
		    size_t len)
{
	struct version *v = g_new0(struct version, 1);

	v->key = g_strdup(key);
	v->text = g_malloc(len + 1);
	memcpy(v->text, text, len);
	v->text[len] = 0;
	v->len = len;
	v->index = ++p->index;
	g_ptr_array_add(p->versions, v);
	tr_event_append(&p->events, loop_wall_time(NULL), TR_EVENT_DOCUMENT, "",
			key, "published, revision %lu",
			(unsigned long)v->index);
}

static const struct fault_rule *find_rule(const struct platform *p,
					  const char *ip)
{
	for (unsigned i = p->rules_count; i-- > 0;) {
		const struct fault_rule *fault_rule = &p->rules[i];

		if (!strncmp(ip, fault_rule->from, strlen(fault_rule->from)))
			return fault_rule;
	}
	return NULL;
}

static bool matches(const struct call *call, const char *key)
{
	if (call->recurse)
		return g_str_has_prefix(key, call->key);
	return !strcmp(key, call->key);
}

static const struct version *latest_version(const struct platform *p,
					    const char *key, uint64_t limit)
{
	for (guint i = p->versions->len; i-- > 0;) {
		const struct version *v = g_ptr_array_index(p->versions, i);

		if (v->index <= limit && !strcmp(v->key, key))
			return v;
	}
	return NULL;
}

static uint64_t latest_index(const struct platform *p, const struct call *call)
{
	uint64_t max_index = 1;

	for (guint i = 0; i < p->versions->len; i++) {
		const struct version *v = g_ptr_array_index(p->versions, i);

		if (v->index <= call->visible_index && matches(call, v->key))
			max_index = v->index > max_index ? v->index : max_index;
	}
	return max_index;
}

static json_t *version_json(const struct version *v)
{
	size_t size = sodium_base64_encoded_len(v->len,
						sodium_base64_VARIANT_ORIGINAL);
	auto_free char *b64 = malloc(size);

	sodium_bin2base64(b64, size, (const unsigned char *)v->text, v->len,
			  sodium_base64_VARIANT_ORIGINAL);
	return json_pack("{s:s, s:s, s:I, s:I}", "Key", v->key, "Value", b64,
			 "ModifyIndex", (json_int_t)v->index, "CreateIndex",
			 (json_int_t)v->index);
}

static enum MHD_Result answer_values(struct platform *p, struct call *call)
{
	json_t *rows = json_array();
	char index[32];
	char *text;
	struct MHD_Response *response;
	enum MHD_Result ret;
	unsigned status;

	for (guint i = 0; i < p->versions->len; i++) {
		const struct version *v = g_ptr_array_index(p->versions, i);

		if (matches(call, v->key) &&
		    v == latest_version(p, v->key, call->visible_index))
			json_array_append_new(rows, version_json(v));
	}
	status = json_array_size(rows) ? 200 : 404;
	text = json_dumps(rows, JSON_COMPACT);
	json_decref(rows);
	response = MHD_create_response_from_buffer(strlen(text), text,
						   MHD_RESPMEM_MUST_FREE);
	snprintf(index, sizeof(index), "%lu",
		 (unsigned long)latest_index(p, call));
	MHD_add_response_header(response, "X-Consul-Index", index);
	MHD_add_response_header(response, "Content-Type", "application/json");
	ret = MHD_queue_response(call->conn, status, response);
	MHD_destroy_response(response);
	return ret;
}

static void count_call(struct platform *p, struct call *call)
{
	uint64_t second = (uint64_t)(now_of(p) / APR_USEC_PER_SEC);

	if (call->counted)
		return;
	call->counted = true;
	if (call->index)
		p->watches++;
	else
		p->reads++;
	if (second != p->second)
		p->calls_this_second = 0;
	p->second = second;
	if (++p->calls_this_second > p->max_per_second)
		p->max_per_second = p->calls_this_second;
}

/* Suspends the call; sweep resumes it, and the handler runs again. */
static enum MHD_Result suspend_call(struct call *call)
{
	call->suspended = true;
	MHD_suspend_connection(call->conn);
	return MHD_YES;
}

static enum MHD_Result answer_read(struct platform *p, struct call *call,
				   const char *url)
{
	const char *wait = standin_query(call->conn, "wait", "10s");
	const struct fault_rule *fault_rule;
	char ip[46];

	count_call(p, call);
	standin_peer_ip(call->conn, ip);
	fault_rule = find_rule(p, ip);
	if (fault_rule && fault_rule->mode == FAULT_DOWN)
		return MHD_NO;
	snprintf(call->key, sizeof(call->key), "%s", url);
	call->recurse = standin_query(call->conn, "recurse", NULL) != NULL;
	call->index = (uint64_t)standin_query_number(call->conn, "index", 0);
	call->visible_index = fault_rule && fault_rule->mode == FAULT_STALE
				      ? fault_rule->stale_index
				      : UINT64_MAX;
	if (fault_rule && fault_rule->mode == FAULT_SLOW &&
	    now_of(p) - call->began < fault_rule->delay) {
		call->until = call->began + fault_rule->delay;
		return suspend_call(call);
	}
	if (call->index && latest_index(p, call) <= call->index &&
	    now_of(p) - call->began < TR_SEC(strtol(wait, NULL, 10)) &&
	    now_of(p) - call->began < MAX_BLOCKING_WAIT) {
		call->until = call->began + TR_SEC(strtol(wait, NULL, 10));
		return suspend_call(call);
	}
	return answer_values(p, call);
}

static enum MHD_Result set_fault(struct platform *p,
				 struct MHD_Connection *conn)
{
	const char *mode = standin_query(conn, "mode", "ok");
	const char *from = standin_query(conn, "from", "");
	struct fault_rule fault_rule = { .stale_index = p->index };
	bool found = false;

	for (int i = 0; i <= FAULT_SLOW; i++) {
		if (strcmp(mode, fault_names[i]) != 0)
			continue;
		fault_rule.mode = (enum fault_mode)i;
		found = true;
	}
	if (!found)
		return server_reply_json(conn, 400,
					 json_pack("{s:s}", "error",
						   "expected mode ok, down, "
						   "stale or slow"));
	snprintf(fault_rule.from, sizeof(fault_rule.from), "%s", from);
	fault_rule.delay = TR_MSEC(
		standin_query_number(conn, "delay_ms", DEFAULT_DELAY_MS));
	if (fault_rule.mode == FAULT_OK && !*from)
		p->rules_count = 0;
	else if (p->rules_count < MAX_RULES)
		p->rules[p->rules_count++] = fault_rule;
	tr_event_append(&p->events, loop_wall_time(NULL), TR_EVENT_FAULT, "",
			"platform", "%s for %s", mode, *from ? from : "all");
	return server_reply_json(conn, 200, json_pack("{s:s}", "mode", mode));
}

static enum MHD_Result handler(void *ctx, struct MHD_Connection *conn,
			       const char *url, const char *method,
			       const char *version, const char *upload,
			       size_t *upload_len, void **con_cls)
{
	struct platform *p = ctx;
	struct call *call = *con_cls;

	(void)version;
	call->conn = conn;
	if (*upload_len) {
		buffer_append(&call->body, upload, *upload_len);
		*upload_len = 0;
		return MHD_YES;
	}
	if (!call->began) {
		call->began = now_of(p);
		if (!strcmp(method, "PUT") || !strcmp(method, "POST"))
			return MHD_YES;
	}
	if (!strncmp(url, "/v1/kv/", 7))
		return answer_read(p, call, url + 7);
	if (!strncmp(url, "/_publish/", 10)) {
		publish(p, url + 10, buffer_data(&call->body), call->body.len);
		return server_reply_json(
			conn, 200,
			json_pack("{s:I}", "revision", (json_int_t)p->index));
	}
	if (!strcmp(url, "/_fault"))
		return set_fault(p, conn);
	if (!strcmp(url, "/_calls"))
		return server_reply_json(
			conn, 200,
			json_pack("{s:I, s:I, s:I}", "reads",
				  (json_int_t)p->reads, "watches",
				  (json_int_t)p->watches, "most_a_second",
				  (json_int_t)p->max_per_second));
	if (!strcmp(url, "/v1/events"))
		return server_reply_json(
			conn, 200, events_json(&p->events, "platform", 0));
	return server_reply_json(conn, 404,
				 json_pack("{s:s}", "error", "no such path"));
}

static void *request_begin(void *ctx, const char *uri,
			   struct MHD_Connection *conn)
{
	struct platform *p = ctx;
	struct call *call = g_new0(struct call, 1);

	(void)uri;
	(void)conn;
	call->body.max = VALUE_MAX;
	call->next = p->calls;
	p->calls = call;
	return call;
}

static void request_completed(void *ctx, struct MHD_Connection *conn,
			      void **con_cls,
			      enum MHD_RequestTerminationCode code)
{
	struct platform *p = ctx;
	struct call *call = *con_cls;
	struct call **link = &p->calls;

	(void)conn;
	(void)code;
	if (!call)
		return;
	while (*link && *link != call)
		link = &(*link)->next;
	if (*link)
		*link = call->next;
	buffer_free(&call->body);
	g_free(call);
	*con_cls = NULL;
}

/* Resumes calls whose wait is over or whose value has changed. */
static void sweep(void *ctx)
{
	struct platform *p = ctx;
	apr_time_t now = now_of(p);

	for (struct call *call = p->calls; call; call = call->next) {
		if (!call->suspended)
			continue;
		if (now < call->until &&
		    !(call->index && latest_index(p, call) > call->index))
			continue;
		call->suspended = false;
		MHD_resume_connection(call->conn);
		server_wake(p->server);
	}
	loop_add_timer(p->standin.loop, SWEEP_INTERVAL, sweep, p);
}

/* Publishes all files below a directory, by their relative path as key. */
static void load_tree(struct platform *p, const char *root, const char *below)
{
	auto_free char *path = g_build_filename(root, below, NULL);
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		auto_free char *inner =
			*below ? g_build_filename(below, name, NULL)
			       : g_strdup(name);
		auto_free char *full = g_build_filename(root, inner, NULL);
		char *text = NULL;
		gsize len = 0;

		if (g_file_test(full, G_FILE_TEST_IS_DIR)) {
			load_tree(p, root, inner);
		} else if (g_file_get_contents(full, &text, &len, NULL)) {
			publish(p, inner, text, len);
			g_free(text);
		}
	}
	if (dir)
		g_dir_close(dir);
}

static int run(struct platform *p, const char *listen, const char *values)
{
	struct tr_error err = { 0 };
	struct server_options options = {
		.field = "listen",
		.connections = CONNECTION_LIMIT,
		.idle_s = 0,
		.handler = handler,
		.request_completed = request_completed,
		.request_begin = request_begin,
		.ctx = p,
	};
	char ip[46];
	char text[512];

	if (standin_parse_address(listen, ip, &options.port)) {
		fprintf(stderr,
			"toucanreel-platform: --listen: '%s': "
			"expected IP:PORT\n",
			listen);
		return 2;
	}
	options.ip = ip;
	p->versions = g_ptr_array_new();
	if (values)
		load_tree(p, values, "");
	p->server = server_new(p->standin.loop, &options, &err);
	if (!p->server) {
		tr_error_format(&err, text, sizeof(text));
		fprintf(stderr, "toucanreel-platform: %s\n", text);
		return 2;
	}
	sweep(p);
	standin_run(&p->standin);
	for (struct call *call = p->calls; call; call = call->next) {
		if (call->suspended)
			MHD_resume_connection(call->conn);
		call->suspended = false;
	}
	server_destroy(p->server);
	return 0;
}

int main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *listen =
		arg_str1("l", "listen", "IP:PORT", "address to listen on");
	struct arg_file *values = arg_file0("v", "values", "DIR",
					    "values to publish at the start");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, listen, values, end };
	int code = 2;
	int errors = arg_parse(argc, argv, table);

	if (help->count) {
		printf("Usage: toucanreel-platform");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		code = 0;
	} else if (errors) {
		arg_print_errors(stderr, end, "toucanreel-platform");
	} else if (!standin_init(&platform_state.standin, "platform")) {
		code = run(&platform_state, listen->sval[0],
			   values->count ? values->filename[0] : NULL);
		standin_destroy(&platform_state.standin);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
