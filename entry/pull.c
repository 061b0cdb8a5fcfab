/*
 * Transfer of configurations and target lists between VMs over HTTP. A VM that
 * lacks one of them, or learns from a message that its list differs, fetches it
 * from another VM, and then serves it to others.
 */
#include "pull.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "cleanup.h"
#include "entry_settings.h"
#include "eventlog.h"
#include "hash.h"
#include "pack.h"
#include "tunnel.h"

#define ROUTES_PATH  "/peer/routes"
#define TARGETS_PATH "/peer/targets"
/* Headers of a response: the revision of the routes and its era, and the length
 * and digest of the uncompressed text. */
#define HEADER_REVISION "Toucanreel-Revision"
#define HEADER_ERA	"Toucanreel-Era"
#define HEADER_LENGTH	"Toucanreel-Length"
#define HEADER_DIGEST	"Toucanreel-Digest"
/* Header of a list: time since it was compressed, in us. */
#define HEADER_SINCE "Toucanreel-Since"
/* How long a compressed list is served. When 442 VMs returned at once and each
 * copy was compressed anew, 809 targets each time on a tenth of a core, 5,900
 * requests were refused within four seconds; with the cache, 90. */
#define LIST_CACHE_TIME TR_MSEC(300)
/* Peers answer from memory, so a longer silence means that the path is dead. */
#define PULL_TIMEOUT TR_MSEC(1000)
/* Minimum time between two pulls of the list: most differences are resolved by
 * messages that are already in transit. */
#define LIST_PULL_INTERVAL TR_MSEC(250)
/* The same after the start, while callers wait. */
#define FIRST_LIST_INTERVAL TR_MSEC(50)
/* Upper bound for the decompressed size; values of the platform have at most a
 * megabyte. */
#define TEXT_SIZE_MAX (4 * 1024 * 1024)

static uint64_t header_number(const struct message *answer, const char *name)
{
	const char *text = message_header(answer, name);

	return text ? strtoull(text, NULL, 10) : 0;
}

/* Returns the decompressed text, to be freed with free(), or NULL unless length
 * and digest match the headers. */
static char *decompress_answer(const struct message *answer, size_t *len)
{
	uint64_t length = header_number(answer, HEADER_LENGTH);
	auto_free char *text = NULL;
	char *whole;

	if (!length || length > TEXT_SIZE_MAX)
		return NULL;
	text = pack_decompress(answer->body->data, answer->body->len, length,
			       len);
	if (!text || *len != length ||
	    tr_hash(text, *len) != header_number(answer, HEADER_DIGEST))
		return NULL;
	whole = text;
	text = NULL;
	return whole;
}

static void handle_routes_answer(void *ctx, const struct message *answer)
{
	struct pull *pull = ctx;
	struct entry *e = pull->e;
	struct store_item item = { .key = "peer" };
	auto_free char *text = NULL;
	uint64_t before = entry_routes_order(e);
	bool readable = true;

	if (answer && answer->parser.status_code == 200)
		text = decompress_answer(answer, &item.value_len);
	if (text) {
		item.value = text;
		item.revision = tr_roster_peer_revision(
			&e->roster, header_number(answer, HEADER_ERA),
			header_number(answer, HEADER_REVISION));
		readable = entry_apply_routes(e, &item, "peer");
	}
	if (entry_routes_order(e) > before) {
		/* Others of the group can now fetch it here. */
		pull->on_new_data(e);
		return;
	}
	/* A source that has started anew may have an older one than it said;
	 * the place that was guessed for another build is not asked for again.
	 */
	if ((!readable ||
	     (text && entry_is_guessed_order(pull->routes_wanted))) &&
	    pull->routes_wanted > e->refused_order)
		e->refused_order = pull->routes_wanted;
	e->counts.pulls_failed++;
	tr_spread_failed(&pull->routes_spread, pull->routes.to.sin_addr.s_addr,
			 &e->random, entry_now(e));
}

/* Parses a target of a list, an array as record_json() writes it. Lists of
 * builds without eras lack the last three elements. */
static int parse_record(const struct entry *e, json_t *row,
			struct tr_target_record *r)
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
	r->revision = tr_roster_peer_revision(
		&e->roster,
		(uint64_t)json_integer_value(json_array_get(row, 10)),
		(uint64_t)revision);
	r->stale_copy = json_is_true(json_array_get(row, 11));
	r->lapsed_for = json_integer_value(json_array_get(row, 12));
	r->born = (uint64_t)born;
	return 0;
}

/* Applies another VM's list. since is how long ago it was compressed; older
 * lists and malformed ones are dropped. */
static void apply_list(struct entry *e, json_t *root, apr_time_t since)
{
	json_t *rows = json_object_get(root, "targets");
	json_t *lapsed = json_object_get(root, "lapsed");
	uint64_t as_of = tr_roster_peer_revision(
		&e->roster,
		(uint64_t)json_integer_value(json_object_get(root, "era")),
		(uint64_t)json_integer_value(json_object_get(root, "as_of")));
	apr_time_t age =
		json_integer_value(json_object_get(root, "age")) + since;
	size_t listed = json_array_size(rows);
	size_t n = listed + json_array_size(lapsed);
	auto_free struct tr_target_record *records =
		calloc(n + 1, sizeof(*records));
	apr_time_t now = entry_now(e);

	if (!records)
		return;
	entry_enter_era(e, as_of, as_of, "peer");
	/* A list of a former era lacks what the others will keep out. */
	if (tr_revision_era(as_of) == e->roster.era)
		e->list_fetched = true;
	if (as_of < e->roster.as_of)
		return;
	for (size_t i = 0; i < n; i++) {
		json_t *row = i < listed ? json_array_get(rows, i)
					 : json_array_get(lapsed, i - listed);

		if (parse_record(e, row, &records[i]))
			return;
		records[i].lapsed = i >= listed;
		records[i].lapsed_for += since;
		entry_apply_listed(e, &records[i], "peer");
	}
	tr_roster_drop_unlisted(&e->roster, records, (unsigned)n, as_of, now);
	tr_roster_confirm_from_peer(&e->roster, as_of, age, now);
	eventlog(EVENT_STATE, "list",
		 "targets=%zu as_of=%" PRIu64 " era=%ld age_ms=%ld from=peer",
		 listed, tr_revision_number(as_of), entry_era_number(as_of),
		 (long)(age / 1000));
}

static void handle_targets_answer(void *ctx, const struct message *answer)
{
	struct pull *pull = ctx;
	auto_json json_t *root = NULL;
	auto_free char *text = NULL;
	size_t len = 0;

	if (answer && answer->parser.status_code == 200)
		text = decompress_answer(answer, &len);
	if (text)
		root = json_loadb(text, len, 0, NULL);
	if (root) {
		bool first = !pull->e->roster.as_of;

		apply_list(pull->e, root,
			   (apr_time_t)header_number(answer, HEADER_SINCE));
		/* Others of the group can now fetch it here. */
		if (first)
			pull->on_new_data(pull->e);
		return;
	}
	pull->e->counts.pulls_failed++;
	tr_spread_failed(&pull->list_spread, pull->targets.to.sin_addr.s_addr,
			 &pull->e->random, entry_now(pull->e));
}

static int start_get(struct pull *pull, struct fetcher *f, uint32_t ip,
		     const char *path, fetch_done_fn done)
{
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)pull->e->settings->peer_port),
		.sin_addr.s_addr = ip,
	};

	pull->e->counts.pulls++;
	return fetcher_get(f, &to, path, PULL_TIMEOUT, done, pull);
}

/* Gives up the request to a VM that has fallen silent if another one can serve
 * this VM. */
static void abandon_silent(struct pull *pull, struct fetcher *f,
			   struct tr_spread *spread, uint64_t held)
{
	struct entry *e = pull->e;
	uint32_t source = f->to.sin_addr.s_addr;
	apr_time_t now = entry_now(e);

	if (!f->busy || f->progressed ||
	    !tr_spread_should_abandon(spread, &e->members, source, held, now))
		return;
	fetcher_cancel(f);
	e->counts.pulls_failed++;
	tr_spread_failed(spread, source, &e->random, now);
}

/* Fetches a list after a start from another VM, if one has it. */
static void fetch_first_list(struct pull *pull)
{
	struct entry *e = pull->e;
	const struct tr_node *holder;

	abandon_silent(pull, &pull->targets, &pull->list_spread, 0);
	if (pull->targets.busy || e->list_fetched ||
	    (e->roster.as_of && entry_is_settled(e)) ||
	    entry_now(e) - pull->targets_asked_at < FIRST_LIST_INTERVAL)
		return;
	holder = tr_spread_choose_source(&pull->list_spread, &e->members, 0, 0,
					 &e->random, entry_now(e));
	if (holder)
		pull->targets_asked_at = entry_now(e);
	if (holder && start_get(pull, &pull->targets, holder->ip, TARGETS_PATH,
				handle_targets_answer))
		tr_spread_failed(&pull->list_spread, holder->ip, &e->random,
				 entry_now(e));
}

/* Fetches a newer configuration, if another VM has one and it is this VM's turn
 * to ask. */
static void fetch_routes(struct pull *pull)
{
	struct entry *e = pull->e;
	const struct tr_node *holder;

	abandon_silent(pull, &pull->routes, &pull->routes_spread,
		       entry_routes_order(e));
	if (pull->routes.busy)
		return;
	holder = tr_spread_choose_source(
		&pull->routes_spread, &e->members, entry_routes_order(e),
		e->refused_order, &e->random, entry_now(e));
	pull->routes_wanted = holder ? holder->held[TR_RESOURCE_ROUTES] : 0;
	if (holder && start_get(pull, &pull->routes, holder->ip, ROUTES_PATH,
				handle_routes_answer))
		tr_spread_failed(&pull->routes_spread, holder->ip, &e->random,
				 entry_now(e));
}

/* Fetches what this VM lacks and others have. To be called every 25 ms or so.
 */
void pull_step(struct pull *pull)
{
	fetch_first_list(pull);
	fetch_routes(pull);
}

/* Fetches the complete list of targets from the VM. */
void pull_targets(struct pull *pull, uint32_t ip)
{
	apr_time_t now = entry_now(pull->e);

	if (pull->targets.busy ||
	    now - pull->targets_asked_at < LIST_PULL_INTERVAL)
		return;
	pull->targets_asked_at = now;
	start_get(pull, &pull->targets, ip, TARGETS_PATH,
		  handle_targets_answer);
}

static json_t *record_json(const struct tr_target_record *r)
{
	return json_pack("[s,s,s,s,I,b,b,I,I,I,I,b,I]", r->id, r->service,
			 r->address, r->data_centre, (json_int_t)r->slots,
			 r->leaving, r->gone, (json_int_t)r->cold_for,
			 (json_int_t)tr_revision_number(r->revision),
			 (json_int_t)r->born,
			 (json_int_t)tr_revision_era(r->revision),
			 r->stale_copy, (json_int_t)r->lapsed_for);
}

/* Those whose entry is missing since an interruption are apart, where builds
 * that would take them for listed don't look. */
static char *targets_json(const struct entry *e)
{
	auto_json json_t *root = json_object();
	json_t *rows = json_array();
	json_t *lapsed = json_array();
	apr_time_t now = entry_now(e);

	for (unsigned i = 0; i < e->roster.count; i++) {
		const struct tr_instance *row = &e->roster.rows[i];
		struct tr_target_record r;

		/* Of those that are gone only such are listed that a copy of
		 * the store still has. */
		if (!row->used || row->superseded ||
		    (row->gone && !row->stale_copy))
			continue;
		tr_roster_export_record(&e->roster, row, &r, now);
		json_array_append_new(r.lapsed ? lapsed : rows,
				      record_json(&r));
	}
	json_object_set_new(root, "targets", rows);
	json_object_set_new(root, "lapsed", lapsed);
	json_object_set_new(
		root, "as_of",
		json_integer((json_int_t)tr_revision_number(e->roster.as_of)));
	json_object_set_new(
		root, "era",
		json_integer((json_int_t)tr_revision_era(e->roster.as_of)));
	json_object_set_new(root, "age", json_integer(entry_view_age(e)));
	return json_dumps(root, JSON_COMPACT);
}

/* Returns the routes in force, compressed once for each revision. */
static GBytes *compress_routes(struct pull *pull,
			       const struct tr_routes *routes)
{
	if (pull->compressed_routes &&
	    pull->compressed_revision == routes->revision)
		return pull->compressed_routes;
	g_clear_pointer(&pull->compressed_routes, g_bytes_unref);
	pull->compressed_routes = pack_compress(routes->text, routes->text_len);
	pull->compressed_revision = routes->revision;
	pull->routes_digest = tr_hash(routes->text, routes->text_len);
	return pull->compressed_routes;
}

/* Sends the compressed data, or 503 while the link is busy with other copies.
 */
static void send_compressed(struct pull *pull, struct caller *caller,
			    GBytes *bytes, const char *headers)
{
	struct caller_reply answer = { .status = 503, .close = true };

	if (bytes &&
	    tr_spread_link_reserve(&pull->link, g_bytes_get_size(bytes),
				   entry_now(pull->e))) {
		answer.status = 200;
		answer.headers = headers;
		answer.body = g_bytes_get_data(bytes, &answer.body_len);
		answer.close = false;
	}
	caller_reply(caller, &answer);
}

static void send_routes(struct pull *pull, struct caller *caller)
{
	const struct tr_routes *routes = pull->e->routes;
	GBytes *bytes = compress_routes(pull, routes);
	g_autofree char *headers = g_strdup_printf(
		HEADER_REVISION ": %" PRIu64 "\r\n" HEADER_ERA
				": %u\r\n" HEADER_LENGTH
				": %zu\r\n" HEADER_DIGEST ": %" PRIu64 "\r\n",
		tr_revision_number(routes->revision),
		tr_revision_era(routes->revision), routes->text_len,
		pull->routes_digest);

	send_compressed(pull, caller, bytes, headers);
}

/* Returns the current list, compressed again when it has changed or the cached
 * copy is too old. */
static GBytes *compress_list(struct pull *pull)
{
	uint64_t digest = tr_roster_digest(&pull->e->roster);
	apr_time_t now = entry_now(pull->e);
	auto_free char *text = NULL;

	if (pull->compressed_list && pull->roster_digest == digest &&
	    now - pull->list_compressed_at < LIST_CACHE_TIME)
		return pull->compressed_list;
	text = targets_json(pull->e);
	g_clear_pointer(&pull->compressed_list, g_bytes_unref);
	pull->list_text_len = strlen(text);
	pull->compressed_list = pack_compress(text, pull->list_text_len);
	pull->list_digest = tr_hash(text, pull->list_text_len);
	pull->roster_digest = digest;
	pull->list_compressed_at = now;
	return pull->compressed_list;
}

static void send_targets(struct pull *pull, struct caller *caller)
{
	GBytes *bytes = compress_list(pull);
	g_autofree char *headers = g_strdup_printf(
		HEADER_LENGTH ": %zu\r\n" HEADER_DIGEST ": %" PRIu64
			      "\r\n" HEADER_SINCE ": %" PRId64 "\r\n",
		pull->list_text_len, pull->list_digest,
		(int64_t)(entry_now(pull->e) - pull->list_compressed_at));

	send_compressed(pull, caller, bytes, headers);
}

static void handle(void *ctx, struct caller *caller)
{
	struct pull *pull = ctx;
	const char *path = message_target(&caller->in);
	struct caller_reply answer = { .status = 404 };

	if (!strcmp(path, ROUTES_PATH) && pull->e->routes)
		send_routes(pull, caller);
	else if (!strcmp(path, TARGETS_PATH))
		send_targets(pull, caller);
	else if (g_str_has_prefix(path, TUNNEL_PATH))
		tunnel_request(pull->e, caller);
	else
		caller_reply(caller, &answer);
}

static void disconnected(void *ctx, struct caller *caller)
{
	(void)ctx;
	tunnel_caller_gone(caller);
}

static const struct listener_callbacks calls = {
	.handle = handle,
	.disconnected = disconnected,
};

/* Serves peers on the address. Returns 0, or -1 with errno set. */
int pull_open(struct pull *pull, struct entry *e, const char *address,
	      void (*on_new_data)(struct entry *e))
{
	pull->e = e;
	pull->on_new_data = on_new_data;
	pull->routes_spread.what = TR_RESOURCE_ROUTES;
	pull->list_spread.what = TR_RESOURCE_LIST;
	pull->link.bytes_a_second = e->settings->link_mbps * 1e6 / 8;
	fetcher_init(&pull->routes, e->loop, e->settings->ip, &e->buffers);
	fetcher_init(&pull->targets, e->loop, e->settings->ip, &e->buffers);
	return listener_open(&pull->listener, e->loop, address, &e->buffers,
			     &calls, pull);
}

void pull_release(struct pull *pull)
{
	fetcher_release(&pull->routes);
	fetcher_release(&pull->targets);
	listener_close(&pull->listener);
	g_clear_pointer(&pull->compressed_routes, g_bytes_unref);
	g_clear_pointer(&pull->compressed_list, g_bytes_unref);
}
