#include "pull.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "cleanup.h"
#include "entry_settings.h"
#include "eventlog.h"

#define ROUTES_PATH  "/peer/routes"
#define TARGETS_PATH "/peer/targets"
#define REVISION     "Toucanreel-Revision"
/* A peer answers from memory; longer than a few round trips is a dead path. */
#define PULL_TIMEOUT TR_MSEC(1000)
/* Between two pulls of the same thing: messages that are on their way mend most
 * differences. */
#define PULL_GAP TR_MSEC(250)

static void got_routes(void *ctx, const struct message *answer)
{
	struct pull *pull = ctx;
	const char *revision;
	struct store_item item = { 0 };

	if (!answer || answer->parser.status_code != 200)
		return;
	revision = message_header(answer, REVISION);
	if (!revision)
		return;
	item.key = "peer";
	item.value = (char *)answer->body->data;
	item.value_len = answer->body->len;
	item.revision = strtoull(revision, NULL, 10);
	entry_offer_routes(pull->e, &item, "peer");
}

static int read_record(json_t *row, struct tr_target_record *r)
{
	const char *id, *service, *address, *centre;
	json_int_t slots, cold, revision, born;
	int leaving;
	int gone;

	if (json_unpack(row, "[s,s,s,s,I,b,b,I,I,I]", &id, &service, &address,
			&centre, &slots, &leaving, &gone, &cold, &revision,
			&born))
		return -1;
	memset(r, 0, sizeof(*r));
	strncpy(r->id, id, TR_ID_MAX);
	strncpy(r->service, service, TR_ID_MAX);
	strncpy(r->address, address, TR_ADDRESS_MAX);
	strncpy(r->data_centre, centre, TR_ID_MAX);
	r->slots = (uint32_t)slots;
	r->leaving = leaving;
	r->gone = gone;
	r->cold_for = cold;
	r->revision = (uint64_t)revision;
	r->born = (uint64_t)born;
	return 0;
}

static void take_list(struct entry *e, json_t *root)
{
	json_t *rows = json_object_get(root, "targets");
	uint64_t as_of =
		(uint64_t)json_integer_value(json_object_get(root, "as_of"));
	apr_time_t age = json_integer_value(json_object_get(root, "age"));
	size_t n = json_array_size(rows);
	auto_free struct tr_target_record *records =
		calloc(n + 1, sizeof(*records));
	apr_time_t now = entry_now(e);

	if (!records || as_of < e->roster.as_of)
		return;
	for (size_t i = 0; i < n; i++) {
		if (read_record(json_array_get(rows, i), &records[i]))
			return;
		tr_roster_apply(&e->roster, &records[i], now);
	}
	tr_roster_drop_unlisted(&e->roster, records, (unsigned)n, as_of, now);
	tr_roster_vouched(&e->roster, as_of, age, now);
	eventlog(EVENT_BELIEF, "list",
		 "targets=%zu as_of=%" PRIu64 " age_ms=%ld from=peer", n, as_of,
		 (long)(age / 1000));
}

static void got_targets(void *ctx, const struct message *answer)
{
	struct pull *pull = ctx;
	auto_json json_t *root = NULL;

	if (!answer || answer->parser.status_code != 200)
		return;
	root = json_loadb((char *)answer->body->data, answer->body->len, 0,
			  NULL);
	if (root)
		take_list(pull->e, root);
}

static void get(struct pull *pull, struct fetcher *f, uint32_t ip,
		const char *path, apr_time_t *at, fetch_done_fn done)
{
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)pull->e->settings->peer_port),
		.sin_addr.s_addr = ip,
	};
	apr_time_t now = entry_now(pull->e);

	if (f->busy || now - *at < PULL_GAP)
		return;
	*at = now;
	pull->e->counts.pulls++;
	fetcher_get(f, &to, path, PULL_TIMEOUT, done, pull);
}

/* Get the configuration that the VM has announced. */
void pull_routes(struct pull *pull, uint32_t ip)
{
	get(pull, &pull->routes, ip, ROUTES_PATH, &pull->routes_at, got_routes);
}

/* Get the whole list of targets. */
void pull_targets(struct pull *pull, uint32_t ip)
{
	get(pull, &pull->targets, ip, TARGETS_PATH, &pull->targets_at,
	    got_targets);
}

static char *targets_json(const struct entry *e)
{
	auto_json json_t *root = json_object();
	json_t *rows = json_array();
	apr_time_t now = entry_now(e);

	for (unsigned i = 0; i < e->roster.count; i++) {
		const struct tr_instance *row = &e->roster.rows[i];
		struct tr_target_record r;

		if (!row->used || row->gone || row->lapsed_at)
			continue;
		tr_roster_record(&e->roster, row, &r, now);
		json_array_append_new(
			rows,
			json_pack("[s,s,s,s,I,b,b,I,I,I]", r.id, r.service,
				  r.address, r.data_centre, (json_int_t)r.slots,
				  r.leaving, r.gone, (json_int_t)r.cold_for,
				  (json_int_t)r.revision, (json_int_t)r.born));
	}
	json_object_set_new(root, "targets", rows);
	json_object_set_new(root, "as_of",
			    json_integer((json_int_t)e->roster.as_of));
	json_object_set_new(root, "age", json_integer(entry_view_age(e)));
	return json_dumps(root, JSON_COMPACT);
}

static void handle(void *ctx, struct caller *caller)
{
	struct pull *pull = ctx;
	const struct tr_routes *routes = pull->e->routes;
	const char *path = message_target(&caller->in);
	struct caller_answer answer = { .status = 404 };
	auto_free char *text = NULL;
	char revision[64];

	if (!strcmp(path, ROUTES_PATH) && routes) {
		snprintf(revision, sizeof(revision),
			 REVISION ": %" PRIu64 "\r\n", routes->revision);
		answer = (struct caller_answer){ .status = 200,
						 .headers = revision,
						 .body = routes->text,
						 .body_len = routes->text_len };
	} else if (!strcmp(path, TARGETS_PATH)) {
		text = targets_json(pull->e);
		answer = (struct caller_answer){ .status = 200,
						 .body = text,
						 .body_len = strlen(text) };
	}
	caller_answer(caller, &answer);
}

static const struct door_calls calls = { .handle = handle };

/* Answer peers on the address. 0, or -1 with errno. */
int pull_open(struct pull *pull, struct entry *e, const char *address)
{
	pull->e = e;
	fetcher_init(&pull->routes, e->loop, e->settings->ip);
	fetcher_init(&pull->targets, e->loop, e->settings->ip);
	return door_open(&pull->door, e->loop, address, &calls, pull);
}

void pull_release(struct pull *pull)
{
	fetcher_release(&pull->routes);
	fetcher_release(&pull->targets);
	door_close(&pull->door);
}
