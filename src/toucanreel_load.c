/*
 * Open-loop load: arrivals are Poisson and do not wait for answers, latency is
 * counted from the time at which a request was meant to be sent. Each answer
 * is checked to be whole and to belong to its request, and at the end every
 * claim is held against the targets' ledgers.
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

#define TICK		    TR_MSEC(1)
#define DRAIN		    TR_SEC(8)
#define GRACE_MS	    3000
#define FIRST_WAIT	    TR_MSEC(400)
#define DEFAULT_DEADLINE_MS 2000

static struct load the_load;

static void try_op(struct load *load, struct op *op);

static apr_time_t now_of(const struct load *load)
{
	return tr_clock_now(loop_clock(load->standin.loop));
}

static void end_op(struct load *load, struct op *op, enum op_end end)
{
	op->end = end;
	op->ended = now_of(load);
	free(op->key);
	op->key = NULL;
	free(op->body);
	op->body = NULL;
	load->open--;
}

struct again {
	struct load *load;
	struct op *op;
};

static void try_again(void *ctx)
{
	struct again *again = ctx;

	try_op(again->load, again->op);
	free(again);
}

static void later(struct load *load, struct op *op, apr_time_t delay)
{
	struct again *again = malloc(sizeof(*again));

	again->load = load;
	again->op = op;
	loop_after(load->standin.loop, delay, try_again, again);
}

static size_t take_body(char *data, size_t size, size_t n, void *ctx)
{
	struct op *op = ctx;
	char *grown = realloc(op->body, op->body_len + size * n + 1);

	if (!grown)
		return 0;
	op->body = grown;
	memcpy(op->body + op->body_len, data, size * n);
	op->body_len += size * n;
	op->body[op->body_len] = 0;
	return size * n;
}

static bool header_is(const char *line, const char *name, char *out,
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

static size_t take_header(char *data, size_t size, size_t n, void *ctx)
{
	struct op *op = ctx;
	char text[160];
	char line[512];

	snprintf(line, sizeof(line), "%.*s", (int)(size * n), data);
	header_is(line, HEADER_KEY, op->new_key, sizeof(op->new_key));
	header_is(line, HEADER_OUTCOME, op->outcome, sizeof(op->outcome));
	if (header_is(line, HEADER_CODE, text, sizeof(text)))
		op->code = (int)strtol(text, NULL, 10);
	if (header_is(line, HEADER_RETRY_AFTER, text, sizeof(text)))
		op->retry_after_ms = strtol(text, NULL, 10);
	if (header_is(line, HEADER_REPLAYED, text, sizeof(text)))
		op->replayed = true;
	return size * n;
}

/* A whole answer of a target ends so; it names the request it answers. */
static void check_body(const struct load *load, struct op *op)
{
	auto_json json_t *root =
		json_loadb(op->body ? op->body : "", op->body_len, 0, NULL);
	const char *id = json_string_value(json_object_get(root, "request"));

	op->cut = !root || !json_is_true(json_object_get(root, "end")) ||
		  json_string_length(json_object_get(root, "pad")) !=
			  (size_t)load->options.pad;
	op->misdelivered = id && strcmp(id, op->id) != 0;
}

static bool retry_not_run(struct load *load, struct op *op)
{
	apr_time_t delay =
		TR_MSEC(op->retry_after_ms ? op->retry_after_ms : 100);

	if (op->tries > load->options.retries)
		return false;
	if (load->options.impatient)
		delay = TR_MSEC(1);
	later(load, op, delay);
	return true;
}

static void judge_answer(struct load *load, struct op *op, long status)
{
	if (load->options.direct) {
		check_body(load, op);
		end_op(load, op, status == 200 ? OP_ANSWERED : OP_NOT_RUN);
	} else if (status == 428 && *op->new_key) {
		free(op->key);
		op->key = strdup(op->new_key);
		try_op(load, op);
	} else if (!strcmp(op->outcome, "answered")) {
		if (status == 200 && op->code == TR_ANSWERED)
			check_body(load, op);
		end_op(load, op, OP_ANSWERED);
	} else if (!strcmp(op->outcome, "not-run")) {
		if (op->code == TR_WRONG_VM)
			op->caller->kept_until = 0;
		if (!retry_not_run(load, op))
			end_op(load, op, OP_NOT_RUN);
	} else {
		end_op(load, op, OP_UNKNOWN);
	}
}

/*
 * The VM itself could not be reached or went away. The same key goes to the
 * next address: the system then says truthfully what it knows.
 */
static void no_answer(struct load *load, struct op *op, CURLcode code)
{
	bool sent = code != CURLE_COULDNT_CONNECT;

	op->caller->kept_until = 0;
	op->maybe_run |= sent;
	if (++op->tried_addresses < LOAD_ADDRESSES &&
	    code != CURLE_OPERATION_TIMEDOUT && !load->options.direct) {
		try_op(load, op);
		return;
	}
	end_op(load, op, OP_FAILED);
}

static void done(void *owner, CURLcode code)
{
	struct op *op = owner;
	struct load *load = &the_load;
	long status = 0;

	curl_easy_getinfo(op->easy, CURLINFO_RESPONSE_CODE, &status);
	client_easy_release(load->client, op->easy);
	op->easy = NULL;
	curl_slist_free_all(op->headers);
	op->headers = NULL;
	if (code == CURLE_OK)
		judge_answer(load, op, status);
	else
		no_answer(load, op, code);
}

static void add(struct op *op, const char *name, const char *value)
{
	char line[512];

	snprintf(line, sizeof(line), "%s: %s", name, value);
	op->headers = curl_slist_append(op->headers, line);
}

static void add_number(struct op *op, const char *name, long value)
{
	char text[24];

	snprintf(text, sizeof(text), "%ld", value);
	add(op, name, text);
}

static void set_headers(struct load *load, struct op *op)
{
	const struct load_options *o = &load->options;
	char org[32];

	add(op, "X-Request-Id", op->id);
	add(op, "Expect", "");
	if (o->pad)
		add_number(op, "X-Pad", o->pad);
	if (o->deadline_ms)
		add_number(op, HEADER_DEADLINE, o->deadline_ms);
	if (op->key)
		add(op, HEADER_KEY, op->key);
	if (o->organisations) {
		snprintf(org, sizeof(org), "org-%u",
			 tr_random_below(&load->random, o->organisations));
		add(op, HEADER_ORGANISATION, org);
	}
}

static const char *path_of(const struct load *load, const struct op *op)
{
	if (op->never)
		return load->options.never_path;
	return op->must ? load->options.must_path : load->options.read_path;
}

static void start_op(struct load *load, struct op *op, const char *address)
{
	const struct load_options *o = &load->options;
	char url[512];

	op->tries++;
	op->body_len = 0;
	op->code = 0;
	*op->outcome = 0;
	*op->new_key = 0;
	op->retry_after_ms = 0;
	snprintf(url, sizeof(url), "http://%s%s%s%s", address,
		 o->direct ? "" : "/s/", o->direct ? "" : o->service,
		 path_of(load, op));
	op->easy = client_easy_new(load->client, done, op);
	set_headers(load, op);
	curl_easy_setopt(op->easy, CURLOPT_URL, url);
	curl_easy_setopt(op->easy, CURLOPT_HTTPHEADER, op->headers);
	curl_easy_setopt(op->easy, CURLOPT_WRITEFUNCTION, take_body);
	curl_easy_setopt(op->easy, CURLOPT_WRITEDATA, op);
	curl_easy_setopt(op->easy, CURLOPT_HEADERFUNCTION, take_header);
	curl_easy_setopt(op->easy, CURLOPT_HEADERDATA, op);
	curl_easy_setopt(
		op->easy, CURLOPT_TIMEOUT_MS,
		(o->deadline_ms ? o->deadline_ms : DEFAULT_DEADLINE_MS) +
			GRACE_MS);
	if (op->never || (op->must && o->body)) {
		curl_easy_setopt(op->easy, CURLOPT_POSTFIELDS, load->upload);
		curl_easy_setopt(op->easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)o->body);
	}
	if (client_easy_start(load->client, op->easy))
		abort();
}

static void try_op(struct load *load, struct op *op)
{
	const char *address;

	load_refresh(load, op->caller);
	address = load_address(load, op);
	if (!address) {
		if (now_of(load) - op->intended > TR_SEC(5)) {
			end_op(load, op, OP_FAILED);
			return;
		}
		later(load, op, TR_MSEC(20));
		return;
	}
	if (op->never && !op->key && !load->options.direct)
		op->key = load_take_key(load, op->caller, address);
	start_op(load, op, address);
}

static struct op *new_op(struct load *load, apr_time_t intended)
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
	op->never = kind < o->never_share;
	op->must = !op->never && kind < o->never_share + o->must_share;
	op->intended = intended;
	op->caller = &load->callers[tr_random_below(&load->random, o->callers)];
	load->ops[load->ops_count++] = op;
	load->open++;
	return op;
}

static void tick(void *ctx)
{
	struct load *load = ctx;
	const struct load_options *o = &load->options;
	apr_time_t now = now_of(load);
	apr_time_t end = load->began + (apr_time_t)(o->seconds * 1e6);

	while (load->sending && load->next_at <= now) {
		try_op(load, new_op(load, load->next_at));
		load->next_at +=
			(apr_time_t)(-log(1.0 - tr_random_unit(&load->random)) *
				     1e6 / o->rate);
		load->sending = load->next_at < end;
	}
	if (!load->sending && (!load->open || now > end + DRAIN)) {
		loop_stop(load->standin.loop);
		return;
	}
	loop_after(load->standin.loop, TICK, tick, load);
}

static void begin(void *ctx)
{
	struct load *load = ctx;

	load->began = now_of(load);
	load->next_at = load->began;
	load->sending = true;
	tick(load);
}

static int run(struct load *load)
{
	const struct load_options *o = &load->options;

	load->random.state = o->seed;
	load->client = client_new(load->standin.loop, NULL);
	load->callers = calloc(o->callers, sizeof(*load->callers));
	load->upload = calloc(1, o->body + 1);
	memset(load->upload, 'b', o->body);
	for (unsigned i = 0; i < o->callers; i++) {
		snprintf(load->callers[i].name, LOAD_NAME, "%s-c%u", o->prefix,
			 i);
		load_refresh(load, &load->callers[i]);
	}
	loop_after(load->standin.loop, FIRST_WAIT, begin, load);
	standin_run(&load->standin);
	return load_report(load) ? 1 : 0;
}

int main(int argc, char **argv)
{
	struct load *load = &the_load;
	int code = 2;

	switch (load_parse(&load->options, argc, argv)) {
	case LOAD_HELPED:
		return 0;
	case LOAD_REFUSED:
		return 2;
	case LOAD_GO:
		break;
	}
	if (!standin_init(&load->standin, "load"))
		code = run(load);
	return code;
}
