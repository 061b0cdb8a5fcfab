/*
 * Open-loop load generator: arrivals are a Poisson process and do not wait for
 * responses; latency is measured from a request's scheduled time. Each response
 * must be complete and belong to its request. At the end all reported results
 * are compared with the targets' ledgers.
 */
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "cleanup.h"
#include "client.h"
#include "headers.h"
#include "load.h"
#include "loop.h"

#define TICK_PERIOD	    TR_MSEC(1)
#define DRAIN_TIME	    TR_SEC(8)
#define CLIENT_GRACE_MS	    3000
#define LOOKUP_LEAD_TIME    TR_MSEC(400)
#define DEFAULT_DEADLINE_MS 2000

static struct load load_state;

static void start_attempt(struct load *load, struct op *op);

static apr_time_t current_time(const struct load *load)
{
	return tr_clock_now(loop_clock(load->standin.loop));
}

static void finish_op(struct load *load, struct op *op, enum op_result result)
{
	op->result = result;
	op->ended_at = current_time(load);
	free(op->key);
	op->key = NULL;
	free(op->response);
	op->response = NULL;
	load->pending--;
}

struct retry {
	struct load *load;
	struct op *op;
};

static void on_retry(void *ctx)
{
	struct retry *retry = ctx;

	start_attempt(retry->load, retry->op);
	free(retry);
}

static void schedule_retry(struct load *load, struct op *op, apr_time_t delay)
{
	struct retry *retry = malloc(sizeof(*retry));

	retry->load = load;
	retry->op = op;
	loop_add_timer(load->standin.loop, delay, on_retry, retry);
}

static size_t receive_body(char *data, size_t size, size_t n, void *ctx)
{
	struct op *op = ctx;
	char *grown = realloc(op->response, op->response_len + size * n + 1);

	if (!grown)
		return 0;
	op->response = grown;
	memcpy(op->response + op->response_len, data, size * n);
	op->response_len += size * n;
	op->response[op->response_len] = 0;
	return size * n;
}

static bool parse_header(const char *line, const char *name, char *out,
			 size_t size)
{
	size_t len = strlen(name);

	if (strncasecmp(line, name, len) != 0 || line[len] != ':')
		return false;
	line += len + 1;
	line += strspn(line, " ");
	snprintf(out, size, "%.*s", (int)strcspn(line, "\r\n"), line);
	return true;
}

static size_t receive_header(char *data, size_t size, size_t n, void *ctx)
{
	struct op *op = ctx;
	char text[160];
	char line[512];

	snprintf(line, sizeof(line), "%.*s", (int)(size * n), data);
	parse_header(line, HEADER_KEY, op->new_key, sizeof(op->new_key));
	parse_header(line, HEADER_OUTCOME, op->outcome, sizeof(op->outcome));
	if (parse_header(line, HEADER_CODE, text, sizeof(text)))
		op->code = (int)strtol(text, NULL, 10);
	if (parse_header(line, HEADER_RETRY_AFTER, text, sizeof(text)))
		op->retry_after_ms = strtol(text, NULL, 10);
	if (parse_header(line, HEADER_REPLAYED, text, sizeof(text)))
		op->replayed = true;
	return size * n;
}

/* A complete response of a target holds "end": true, the whole padding and the
 * id of its request. */
static void check_response(const struct load *load, struct op *op)
{
	auto_json json_t *root = json_loadb(op->response ? op->response : "",
					    op->response_len, 0, NULL);
	const char *id = json_string_value(json_object_get(root, "request"));

	op->truncated = !root || !json_is_true(json_object_get(root, "end")) ||
			json_string_length(json_object_get(root, "pad")) !=
				(size_t)load->options.response_padding;
	op->misdelivered = id && strcmp(id, op->id) != 0;
}

static bool retry_if_allowed(struct load *load, struct op *op)
{
	apr_time_t delay =
		TR_MSEC(op->retry_after_ms ? op->retry_after_ms : 100);

	if (op->attempts > load->options.retries)
		return false;
	if (load->options.retry_immediately)
		delay = TR_MSEC(1);
	schedule_retry(load, op, delay);
	return true;
}

static void handle_response(struct load *load, struct op *op, long status)
{
	if (load->options.direct) {
		check_response(load, op);
		finish_op(load, op, status == 200 ? OP_ANSWERED : OP_NOT_RUN);
	} else if (status == 428 && *op->new_key) {
		free(op->key);
		op->key = strdup(op->new_key);
		start_attempt(load, op);
	} else if (!strcmp(op->outcome, "answered")) {
		if (status == 200 && op->code == TR_ANSWERED)
			check_response(load, op);
		finish_op(load, op, OP_ANSWERED);
	} else if (!strcmp(op->outcome, "not-run")) {
		if (op->code == TR_WRONG_VM)
			op->caller->lookup_expires_at = 0;
		if (!retry_if_allowed(load, op))
			finish_op(load, op, OP_NOT_RUN);
	} else {
		finish_op(load, op, OP_UNKNOWN);
	}
}

/*
 * The VM could not be reached or closed the connection. The request is sent to
 * the next address with the same key, so that the system can report whether the
 * first attempt ran.
 */
static void handle_transport_error(struct load *load, struct op *op,
				   CURLcode code)
{
	bool sent = code != CURLE_COULDNT_CONNECT;

	op->caller->lookup_expires_at = 0;
	op->maybe_executed |= sent;
	if (++op->failed_addresses < LOAD_MAX_ADDRESSES &&
	    code != CURLE_OPERATION_TIMEDOUT && !load->options.direct) {
		start_attempt(load, op);
		return;
	}
	finish_op(load, op, OP_FAILED);
}

static void on_transfer_done(void *owner, CURLcode code)
{
	struct op *op = owner;
	struct load *load = &load_state;
	long status = 0;

	curl_easy_getinfo(op->easy, CURLINFO_RESPONSE_CODE, &status);
	client_easy_release(load->client, op->easy);
	op->easy = NULL;
	curl_slist_free_all(op->headers);
	op->headers = NULL;
	if (code == CURLE_OK)
		handle_response(load, op, status);
	else
		handle_transport_error(load, op, code);
}

static void add_header(struct op *op, const char *name, const char *value)
{
	char line[512];

	snprintf(line, sizeof(line), "%s: %s", name, value);
	op->headers = curl_slist_append(op->headers, line);
}

static void add_number_header(struct op *op, const char *name, long value)
{
	char text[24];

	snprintf(text, sizeof(text), "%ld", value);
	add_header(op, name, text);
}

static void set_headers(struct load *load, struct op *op)
{
	const struct load_options *o = &load->options;
	char org[32];

	add_header(op, "X-Request-Id", op->id);
	add_header(op, "Expect", "");
	if (o->response_padding)
		add_number_header(op, "X-Pad", o->response_padding);
	if (o->deadline_ms)
		add_number_header(op, HEADER_DEADLINE, o->deadline_ms);
	if (op->key)
		add_header(op, HEADER_KEY, op->key);
	if (o->organisations) {
		snprintf(org, sizeof(org), "org-%u",
			 tr_random_below(&load->random, o->organisations));
		add_header(op, HEADER_ORGANISATION, org);
	}
}

static const char *request_path(const struct load *load, const struct op *op)
{
	if (op->once)
		return load->options.once_path;
	return op->required ? load->options.required_path
			    : load->options.read_path;
}

static void send_attempt(struct load *load, struct op *op, const char *address)
{
	const struct load_options *o = &load->options;
	char url[512];

	op->attempts++;
	op->response_len = 0;
	op->code = 0;
	*op->outcome = 0;
	*op->new_key = 0;
	op->retry_after_ms = 0;
	snprintf(url, sizeof(url), "http://%s%s%s%s", address,
		 o->direct ? "" : "/s/", o->direct ? "" : o->service,
		 request_path(load, op));
	op->easy = client_easy_new(load->client, on_transfer_done, op);
	set_headers(load, op);
	curl_easy_setopt(op->easy, CURLOPT_URL, url);
	curl_easy_setopt(op->easy, CURLOPT_HTTPHEADER, op->headers);
	curl_easy_setopt(op->easy, CURLOPT_WRITEFUNCTION, receive_body);
	curl_easy_setopt(op->easy, CURLOPT_WRITEDATA, op);
	curl_easy_setopt(op->easy, CURLOPT_HEADERFUNCTION, receive_header);
	curl_easy_setopt(op->easy, CURLOPT_HEADERDATA, op);
	curl_easy_setopt(
		op->easy, CURLOPT_TIMEOUT_MS,
		(o->deadline_ms ? o->deadline_ms : DEFAULT_DEADLINE_MS) +
			CLIENT_GRACE_MS);
	if (op->once || (op->required && o->body_size)) {
		curl_easy_setopt(op->easy, CURLOPT_POSTFIELDS,
				 load->request_body);
		curl_easy_setopt(op->easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)o->body_size);
	}
	if (client_easy_start(load->client, op->easy))
		abort();
}

static void start_attempt(struct load *load, struct op *op)
{
	const char *address;

	load_lookup(load, op->caller);
	address = load_next_address(load, op);
	if (!address) {
		if (current_time(load) - op->scheduled_at > TR_SEC(5)) {
			finish_op(load, op, OP_FAILED);
			return;
		}
		schedule_retry(load, op, TR_MSEC(20));
		return;
	}
	if (op->once && !op->key && !load->options.direct)
		op->key = load_take_key(load, op->caller, address);
	send_attempt(load, op, address);
}

static struct op *add_op(struct load *load, apr_time_t scheduled_at)
{
	const struct load_options *o = &load->options;
	struct op *op = calloc(1, sizeof(*op));
	double kind = tr_random_unit(&load->random);

	if (load->ops_count == load->ops_size) {
		load->ops_size = load->ops_size ? load->ops_size * 2 : 4096;
		load->ops = realloc(load->ops,
				    load->ops_size * sizeof(struct op *));
	}
	snprintf(op->id, sizeof(op->id), "%s-%zu", o->prefix, load->ops_count);
	op->once = kind < o->once_share;
	op->required = !op->once && kind < o->once_share + o->required_share;
	op->scheduled_at = scheduled_at;
	op->caller = &load->callers[tr_random_below(&load->random, o->callers)];
	load->ops[load->ops_count++] = op;
	load->pending++;
	return op;
}

static void send_due_requests(void *ctx)
{
	struct load *load = ctx;
	const struct load_options *o = &load->options;
	apr_time_t now = current_time(load);
	apr_time_t end = load->started_at + (apr_time_t)(o->seconds * 1e6);

	while (load->sending && load->next_arrival <= now) {
		start_attempt(load, add_op(load, load->next_arrival));
		load->next_arrival +=
			(apr_time_t)(-log(1.0 - tr_random_unit(&load->random)) *
				     1e6 / o->rate);
		load->sending = load->next_arrival < end;
	}
	if (!load->sending && (!load->pending || now > end + DRAIN_TIME)) {
		loop_stop(load->standin.loop);
		return;
	}
	loop_add_timer(load->standin.loop, TICK_PERIOD, send_due_requests,
		       load);
}

static void start_sending(void *ctx)
{
	struct load *load = ctx;

	load->started_at = current_time(load);
	load->next_arrival = load->started_at;
	load->sending = true;
	send_due_requests(load);
}

static int run_load(struct load *load)
{
	const struct load_options *o = &load->options;

	load->random.state = o->seed;
	load->client = client_new(load->standin.loop, NULL);
	load->callers = calloc(o->callers, sizeof(*load->callers));
	load->request_body = calloc(1, o->body_size + 1);
	memset(load->request_body, 'b', o->body_size);
	for (unsigned i = 0; i < o->callers; i++) {
		snprintf(load->callers[i].name, LOAD_NAME_SIZE, "%s-c%u",
			 o->prefix, i);
		load_lookup(load, &load->callers[i]);
	}
	loop_add_timer(load->standin.loop, LOOKUP_LEAD_TIME, start_sending,
		       load);
	standin_run(&load->standin);
	return load_report(load) ? 1 : 0;
}

int main(int argc, char **argv)
{
	struct load *load = &load_state;
	int code = 2;

	switch (load_parse(&load->options, argc, argv)) {
	case LOAD_SHOWED_HELP:
		return 0;
	case LOAD_USAGE_ERROR:
		return 2;
	case LOAD_RUN:
		break;
	}
	if (!standin_init(&load->standin, "load"))
		code = run_load(load);
	return code;
}
