#include "config.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "cleanup.h"
#include "client.h"
#include "docfile.h"
#include "error.h"
#include "fleet.h"
#include "lists.h"
#include "loop.h"
#include "member.h"
#include "revision.h"
#include "service.h"

#define LOG_MODULE "config"
#include "log.h"

#define PREFIX		"toucanreel/"
#define WATCH_S		20
#define READ_TIMEOUT	TR_SEC(2)
#define PULL_TIMEOUT	TR_SEC(1)
#define RETRY_DELAY	TR_MSEC(500)
#define MOST_DOUBLINGS	4
#define POLL_LEAST	TR_SEC(2)
#define POLL_CALLS_A_S	1000.0
#define SERVICE_READERS 2
#define LIST_READERS	3
#define JOIN_WAIT	TR_SEC(5)
#define NONE_KEPT	TR_SEC(2)
#define URL_MAX		320
#define TARGETS_MAX	TR_MAX_TARGETS
#define DOCUMENT_VALUE	"document"
#define TARGETS_VALUE	"targets"
#define LIST_RESOURCE	"vms"

/* One published value: the text in force, and the newest that was refused. */
struct value {
	struct tr_held held;
	char *text;
	size_t len;
	char reason[512];
};

/* One read or watch of the platform, or one pull from a peer. */
struct reader {
	struct config *config;
	struct tr_service *svc;
	struct fetch *fetch;
	uint64_t index;
	apr_time_t next_at;
	apr_time_t period;
	unsigned failures;
	bool watching;
};

struct config_service {
	struct value document;
	struct value targets;
	struct reader platform;
	struct reader pull;
	struct tr_document *retired;
};

struct config {
	struct loop *loop;
	struct client *client;
	struct tr_board *board;
	struct config_options options;
	struct config_service services[TR_MAX_SERVICES];
	struct value list;
	struct reader list_platform;
	struct reader list_pull;
	bool platform_up;
	bool platform_said;
	struct config_counts counts;
	void (*on_change)(void *ctx);
	void *on_change_ctx;
};

static struct config_service *service_of(struct config *config,
					 const struct tr_service *svc)
{
	return &config->services[svc - config->board->services];
}

static apr_time_t now_of(const struct config *config)
{
	return tr_clock_now(&config->board->clock);
}

static void changed(struct config *config)
{
	if (config->on_change)
		config->on_change(config->on_change_ctx);
}

static void say_platform(struct config *config, bool up)
{
	if (config->platform_up == up && config->platform_said)
		return;
	config->platform_up = up;
	config->platform_said = true;
	tr_board_event(config->board,
		       up ? TR_EVENT_PLATFORM_UP : TR_EVENT_PLATFORM_DOWN, "",
		       "platform", "%s", up ? "answers" : "does not answer");
	if (up)
		log_info("platform answers");
	else
		log_warning("platform does not answer");
}

static bool is_news(struct config *config, const struct value *value,
		    uint64_t revision, const char *what, const char *source)
{
	switch (tr_held_offer(&value->held, revision)) {
	case TR_OFFER_NEWS:
		return true;
	case TR_OFFER_OLD:
		if (config->counts.old_revisions++ % 50 == 0)
			tr_board_event(config->board, TR_EVENT_OLD_REVISION,
				       what, source, "offered %lu, held %lu",
				       (unsigned long)revision,
				       (unsigned long)value->held.revision);
		return false;
	case TR_OFFER_SAME:
	case TR_OFFER_REFUSED_BEFORE:
		break;
	}
	return false;
}

static void keep(struct value *value, uint64_t revision, const char *text,
		 size_t len)
{
	char *copy = malloc(len + 1);

	if (!copy)
		return;
	memcpy(copy, text, len);
	copy[len] = 0;
	free(value->text);
	value->text = copy;
	value->len = len;
	tr_held_accept(&value->held, revision);
	*value->reason = 0;
}

static void refuse(struct config *config, struct value *value,
		   uint64_t revision, const char *service,
		   const struct tr_error *err)
{
	tr_held_refuse(&value->held, revision);
	tr_error_format(err, value->reason, sizeof(value->reason));
	config->counts.refused++;
	tr_board_event(config->board, TR_EVENT_REFUSED, service, err->field,
		       "revision %lu: %s", (unsigned long)revision,
		       tr_result_word(err->code));
	log_warning("%s: refused revision %lu: %s", service,
		    (unsigned long)revision, value->reason);
}

/* Let peers hear of a change at once, not at their next calm tick. */
static void hurry_gossip(struct tr_service *svc)
{
	for (unsigned i = 0; i < svc->peers_count; i++)
		svc->peers[i].sent_to_at = 0;
}

static void offer_document(struct config *config, struct tr_service *svc,
			   uint64_t revision, const char *text, size_t len,
			   const char *source)
{
	struct config_service *cs = service_of(config, svc);
	struct tr_document *doc;
	struct tr_error err;

	if (!is_news(config, &cs->document, revision, svc->name, source))
		return;
	doc = docfile_parse(text, len, svc->name, &err);
	if (doc && strcmp(doc->service, svc->name) != 0) {
		tr_error_set(&err, TR_CONTRADICTION, "service", doc->service,
			     "expected %s, as in its place of publication",
			     svc->name);
		docfile_free(doc);
		doc = NULL;
	}
	if (!doc) {
		refuse(config, &cs->document, revision, svc->name, &err);
		return;
	}
	docfile_free(cs->retired);
	cs->retired = svc->document;
	keep(&cs->document, revision, text, len);
	tr_service_set_document(config->board, svc, doc, revision);
	hurry_gossip(svc);
	log_info("%s: document revision %lu in force, from %s", svc->name,
		 (unsigned long)revision, source);
	changed(config);
}

static void offer_targets(struct config *config, struct tr_service *svc,
			  uint64_t revision, const char *text, size_t len,
			  const char *source)
{
	struct config_service *cs = service_of(config, svc);
	struct tr_target_entry *entries;
	struct tr_error err = { 0 };
	unsigned count = 0;

	if (!svc->document || svc->document->targets_count ||
	    !is_news(config, &cs->targets, revision, svc->name, source))
		return;
	entries = calloc(TARGETS_MAX, sizeof(*entries));
	if (!entries)
		return;
	snprintf(err.file, sizeof(err.file), "%s/targets", svc->name);
	if (lists_parse_targets(text, len, entries, TARGETS_MAX, &count,
				&err)) {
		refuse(config, &cs->targets, revision, svc->name, &err);
	} else {
		keep(&cs->targets, revision, text, len);
		tr_service_set_targets(config->board, svc, entries, count,
				       revision);
		hurry_gossip(svc);
		changed(config);
	}
	free(entries);
}

static void recompute_cells(struct config *config)
{
	struct tr_board *board = config->board;

	for (int i = 0; i < TR_MAX_SERVICES; i++)
		if (board->services[i].used)
			tr_member_cell(board, &board->services[i]);
}

static void offer_list(struct config *config, uint64_t revision,
		       const char *text, size_t len, const char *source)
{
	struct tr_fleet fleet = { .revision = revision };
	struct tr_board *board = config->board;
	struct tr_error err = { 0 };

	if (!is_news(config, &config->list, revision, LIST_RESOURCE, source))
		return;
	snprintf(err.file, sizeof(err.file), "vms");
	if (lists_parse_vms(text, len, &fleet, &err)) {
		refuse(config, &config->list, revision, LIST_RESOURCE, &err);
		return;
	}
	keep(&config->list, revision, text, len);
	free(board->fleet.vms);
	board->fleet = fleet;
	recompute_cells(config);
	for (int i = 0; i < TR_MAX_SERVICES; i++)
		if (board->services[i].used)
			hurry_gossip(&board->services[i]);
	tr_board_event(board, TR_EVENT_LIST, "", "vms",
		       "revision %lu, %zu VMs, from %s",
		       (unsigned long)revision, fleet.count, source);
	changed(config);
}

/* One row of the platform's answer: where it stands, its value, its index. */
static void take_row(struct config *config, struct tr_service *svc,
		     const char *key, uint64_t revision, const char *text,
		     size_t len)
{
	const char *last = strrchr(key, '/');

	last = last ? last + 1 : key;
	if (!svc) {
		if (!strcmp(last, LIST_RESOURCE))
			offer_list(config, revision, text, len, "platform");
	} else if (!strcmp(last, DOCUMENT_VALUE)) {
		offer_document(config, svc, revision, text, len, "platform");
	} else if (!strcmp(last, TARGETS_VALUE)) {
		offer_targets(config, svc, revision, text, len, "platform");
	}
}

static void take_rows(struct config *config, struct tr_service *svc,
		      const char *body, size_t body_len)
{
	auto_json json_t *root = json_loadb(body, body_len, 0, NULL);
	size_t i;
	json_t *row;

	json_array_foreach(root, i, row)
	{
		const char *key =
			json_string_value(json_object_get(row, "Key"));
		const char *b64 =
			json_string_value(json_object_get(row, "Value"));
		json_int_t rev =
			json_integer_value(json_object_get(row, "ModifyIndex"));
		size_t max = b64 ? strlen(b64) : 0;
		auto_free unsigned char *raw = malloc(max + 1);
		size_t len = 0;

		if (!key || !b64 || !raw ||
		    sodium_base642bin(raw, max + 1, b64, max, "\n", &len, NULL,
				      sodium_base64_VARIANT_ORIGINAL))
			continue;
		raw[len] = 0;
		take_row(config, svc, key, (uint64_t)rev, (char *)raw, len);
	}
}

/* Readers of a platform that is down must not meet it all at once when it is
 * back: they wait longer each time, and not alike. */
static apr_time_t back_off(struct config *config, struct reader *reader)
{
	apr_time_t wait = RETRY_DELAY << reader->failures;

	if (reader->failures < MOST_DOUBLINGS)
		reader->failures++;
	return wait +
	       tr_random_below(&config->board->random, 500) * (wait / 1000);
}

static void platform_answered(void *ctx, const struct fetch_answer *answer)
{
	struct reader *reader = ctx;
	struct config *config = reader->config;
	bool well = answer->status == 200 || answer->status == 404;

	reader->fetch = NULL;
	reader->next_at = now_of(config) + reader->period;
	if (!well) {
		reader->next_at = now_of(config) + back_off(config, reader);
		config->counts.platform_failures++;
		reader->index = 0;
		say_platform(config, false);
		return;
	}
	reader->failures = 0;
	say_platform(config, true);
	/* An index that goes back is a platform that was restored from a copy:
	 * watch from the start again, as its protocol asks for. */
	reader->index = answer->index < reader->index ? 0 : answer->index;
	take_rows(config, reader->svc, answer->body, answer->len);
	if (reader->svc && !reader->svc->document) {
		reader->svc->platform_said_none = true;
		reader->svc->needed_until = now_of(config) + NONE_KEPT;
		changed(config);
	}
}

static void read_platform(struct config *config, struct reader *reader,
			  bool watch)
{
	char url[URL_MAX];
	char path[128];
	int n;

	snprintf(path, sizeof(path), "%s%s%s", PREFIX,
		 reader->svc ? "services/" : "",
		 reader->svc ? reader->svc->name : LIST_RESOURCE);
	n = snprintf(url, sizeof(url), "%s/v1/kv/%s%s",
		     config->options.platform, path,
		     reader->svc ? "/?recurse=true" : "?");
	reader->watching = watch && reader->index;
	if (reader->watching)
		snprintf(url + n, sizeof(url) - (size_t)n,
			 "&index=%lu&wait=%ds", (unsigned long)reader->index,
			 WATCH_S);
	config->counts.platform_calls++;
	reader->fetch = client_fetch(config->client, url, NULL,
				     reader->watching ? TR_SEC(WATCH_S + 5)
						      : READ_TIMEOUT,
				     platform_answered, reader);
}

static int check_mac(const struct config *config,
		     const struct fetch_answer *answer)
{
	unsigned char mac[TR_MAC_SIZE];
	size_t len = 0;

	if (sodium_hex2bin(mac, sizeof(mac), answer->mac, strlen(answer->mac),
			   NULL, &len, NULL) ||
	    len != sizeof(mac))
		return -1;
	return tr_mac_check(config->options.secret, answer->body, answer->len,
			    mac);
}

static void offer_from_json(struct config *config, struct tr_service *svc,
			    json_t *root, const char *name)
{
	json_t *value = json_object_get(root, name);
	const char *text = json_string_value(json_object_get(value, "text"));
	size_t len = json_string_length(json_object_get(value, "text"));
	uint64_t revision = (uint64_t)json_integer_value(
		json_object_get(value, "revision"));

	if (!text)
		return;
	if (!strcmp(name, LIST_RESOURCE))
		offer_list(config, revision, text, len, "peer");
	else if (!strcmp(name, DOCUMENT_VALUE))
		offer_document(config, svc, revision, text, len, "peer");
	else
		offer_targets(config, svc, revision, text, len, "peer");
}

static void pull_answered(void *ctx, const struct fetch_answer *answer)
{
	struct reader *reader = ctx;
	struct config *config = reader->config;
	auto_json json_t *root = NULL;

	reader->fetch = NULL;
	reader->next_at = now_of(config) + RETRY_DELAY / 2;
	if (answer->status != 200 || check_mac(config, answer))
		return;
	root = json_loadb(answer->body, answer->len, 0, NULL);
	if (!root)
		return;
	if (reader->svc) {
		offer_from_json(config, reader->svc, root, DOCUMENT_VALUE);
		offer_from_json(config, reader->svc, root, TARGETS_VALUE);
	} else {
		offer_from_json(config, NULL, root, LIST_RESOURCE);
	}
}

static void pull(struct config *config, struct reader *reader,
		 const char *authority)
{
	char url[URL_MAX];

	if (reader->fetch || now_of(config) < reader->next_at)
		return;
	snprintf(url, sizeof(url), "http://%s/peer/v1/%s%s", authority,
		 reader->svc ? "resource?service=" : "vms",
		 reader->svc ? reader->svc->name : "");
	config->counts.peer_pulls++;
	reader->fetch = client_fetch(config->client, url, NULL, PULL_TIMEOUT,
				     pull_answered, reader);
}

static const struct tr_vm *vm_of(const struct config *config, uint64_t id)
{
	return tr_fleet_find(&config->board->fleet, id);
}

/* A peer's message names the revisions it holds: get what is newer. */
void config_peer_has(struct config *config, struct tr_service *svc,
		     const struct tr_peer *peer, uint64_t list_revision)
{
	struct config_service *cs = service_of(config, svc);
	const struct tr_vm *vm = vm_of(config, peer->vm_id);
	char authority[64];

	if (!vm)
		return;
	snprintf(authority, sizeof(authority), "%s:%u", vm->address,
		 vm->operator_port);
	if ((peer->document_revision > cs->document.held.revision &&
	     peer->document_revision != cs->document.held.refused) ||
	    peer->targets_revision > svc->targets_revision)
		pull(config, &cs->pull, authority);
	if (list_revision > config->board->fleet.revision &&
	    list_revision != config->list.held.refused)
		pull(config, &config->list_pull, authority);
}

static unsigned better_readers(const struct config *config,
			       const struct tr_service *svc)
{
	uint64_t salt = tr_hash_pair(svc->id, 1);
	uint64_t mine = tr_hash_pair(salt, config->board->vm_id);
	unsigned n = 0;

	for (unsigned i = 0; i < svc->peers_count; i++) {
		const struct tr_peer *peer = &svc->peers[i];

		n += peer->in_cell && peer->up && !peer->leaving &&
		     tr_hash_pair(salt, peer->vm_id) > mine;
	}
	return n;
}

static bool watches_service(const struct config *config,
			    const struct tr_service *svc)
{
	return svc->in_cell && better_readers(config, svc) < SERVICE_READERS;
}

static bool watches_list(const struct config *config)
{
	const struct tr_board *board = config->board;
	uint64_t salt = tr_hash_string(LIST_RESOURCE);
	uint64_t mine = tr_hash_pair(salt, board->vm_id);
	unsigned n = 0;

	for (size_t i = 0; i < board->fleet.count; i++) {
		const struct tr_vm *vm = &board->fleet.vms[i];

		n += !vm->leaving &&
		     !strcmp(vm->data_centre, board->data_centre) &&
		     tr_hash_pair(salt, vm->id) > mine;
	}
	return n < LIST_READERS;
}

/*
 * How long between the reads of a VM that does not watch. Each reads now and
 * then all the same, in case the platform is stale for those that do watch.
 * The period grows with the fleet, so that the calls of all stay level.
 */
static apr_time_t poll_period(const struct config *config)
{
	const struct tr_board *board = config->board;
	unsigned mine = 0;
	apr_time_t period;

	for (int i = 0; i < TR_MAX_SERVICES; i++)
		mine += board->services[i].used;
	period = (apr_time_t)((double)mine * (double)board->fleet.count /
			      POLL_CALLS_A_S * 1e6);
	return period > POLL_LEAST ? period : POLL_LEAST;
}

static void step_reader(struct config *config, struct reader *reader,
			bool watch)
{
	apr_time_t now = now_of(config);
	apr_time_t jitter;

	if (reader->fetch || now < reader->next_at)
		return;
	jitter = tr_random_below(&config->board->random, 500000);
	reader->period = watch ? TR_MSEC(20) : poll_period(config) + jitter;
	read_platform(config, reader, watch);
}

static void ask_seed(struct config *config, struct reader *reader)
{
	unsigned n = config->options.seeds_count;

	if (n && !config->platform_up)
		pull(config, reader,
		     config->options.seeds[tr_random_below(
			     &config->board->random, n)]);
}

/*
 * A document is confirmed once a peer that has served says that it holds no
 * newer one, or all of the cell were heard, or, alone, after a while. A VM
 * that was replaced while the platform is stale would else bring an old
 * document back into force.
 */
static void step_confirmed(struct config *config, struct tr_service *svc)
{
	apr_time_t now = now_of(config);
	bool all = true;
	bool any = false;

	if (svc->confirmed || !svc->document)
		return;
	for (unsigned i = 0; i < svc->peers_count; i++) {
		const struct tr_peer *peer = &svc->peers[i];

		if (!peer->in_cell)
			continue;
		/* Without an echo of this process it may have been sent before
		 * the revision that an earlier process here held. */
		if (!peer->echoed ||
		    peer->document_revision > svc->document_revision) {
			all = false;
			continue;
		}
		any |= peer->confirmed;
	}
	if (!any && !all && now - svc->attended_at < JOIN_WAIT)
		return;
	svc->confirmed = true;
	svc->confirmed_alone = !any && !all;
	changed(config);
}

static void release_unneeded(struct config *config, struct tr_service *svc)
{
	struct config_service *cs = service_of(config, svc);

	for (unsigned i = 0; i < svc->targets_count; i++)
		if (svc->targets[i].in_flight)
			return;
	if (svc->queue.length)
		return;
	client_fetch_cancel(config->client, cs->platform.fetch);
	client_fetch_cancel(config->client, cs->pull.fetch);
	docfile_free(cs->retired);
	docfile_free(svc->document);
	free(cs->document.text);
	free(cs->targets.text);
	memset(cs, 0, sizeof(*cs));
	tr_service_release(svc);
}

/* Read, watch and pull as needed; call a few times a second. */
void config_step(struct config *config)
{
	struct tr_board *board = config->board;
	apr_time_t now = now_of(config);

	step_reader(config, &config->list_platform,
		    !board->fleet.count || watches_list(config));
	if (!board->fleet.count)
		ask_seed(config, &config->list_pull);
	for (int i = 0; i < TR_MAX_SERVICES; i++) {
		struct tr_service *svc = &board->services[i];

		if (!svc->used)
			continue;
		step_reader(config, &config->services[i].platform,
			    watches_service(config, svc));
		if (!svc->document)
			ask_seed(config, &config->services[i].pull);
		step_confirmed(config, svc);
		if (!svc->in_cell && now > svc->needed_until)
			release_unneeded(config, svc);
	}
}

/* Begin to serve a service whose name came with a request or a message. */
struct tr_service *config_attend(struct config *config, const char *service)
{
	struct tr_service *svc = tr_board_service(config->board, service);
	struct config_service *cs;

	if (svc)
		return svc;
	svc = tr_board_attend(config->board, service);
	if (!svc)
		return NULL;
	svc->needed_until = now_of(config) + TR_SEC(60);
	cs = service_of(config, svc);
	cs->platform = (struct reader){ .config = config, .svc = svc };
	cs->pull = (struct reader){ .config = config, .svc = svc };
	step_reader(config, &cs->platform, false);
	cs->platform.next_at = 0;
	return svc;
}

static json_t *value_json(const struct value *value)
{
	if (!value->text)
		return json_null();
	return json_pack("{s:I, s:s%}", "revision",
			 (json_int_t)value->held.revision, "text", value->text,
			 value->len);
}

/* The values of a service as a peer pulls them, or NULL. */
json_t *config_resource(struct config *config, const char *service)
{
	struct tr_service *svc = tr_board_service(config->board, service);
	const struct config_service *cs;

	if (!svc)
		return NULL;
	cs = service_of(config, svc);
	return json_pack("{s:o, s:o}", DOCUMENT_VALUE,
			 value_json(&cs->document), TARGETS_VALUE,
			 value_json(&cs->targets));
}

json_t *config_list_resource(struct config *config)
{
	return json_pack("{s:o}", LIST_RESOURCE, value_json(&config->list));
}

/* Revisions in force, and what was refused and why. */
json_t *config_status(struct config *config, const struct tr_service *svc)
{
	const struct config_service *cs = service_of(config, svc);

	return json_pack("{s:I, s:I, s:b, s:b, s:I, s:s}", "document_revision",
			 (json_int_t)svc->document_revision, "targets_revision",
			 (json_int_t)svc->targets_revision, "confirmed",
			 (int)svc->confirmed, "confirmed_alone",
			 (int)svc->confirmed_alone, "refused_revision",
			 (json_int_t)cs->document.held.refused,
			 "refused_reason", cs->document.reason);
}

bool config_platform_up(const struct config *config)
{
	return config->platform_up;
}

bool config_has_list(const struct config *config)
{
	return config->board->fleet.count > 0;
}

const struct config_counts *config_count(const struct config *config)
{
	return &config->counts;
}

/* Call fn whenever something came into force. */
void config_on_change(struct config *config, void (*fn)(void *ctx), void *ctx)
{
	config->on_change = fn;
	config->on_change_ctx = ctx;
}

/* Configuration of a VM; board outlives it. */
struct config *config_new(struct loop *loop, struct client *client,
			  struct tr_board *board,
			  const struct config_options *options)
{
	struct config *config = calloc(1, sizeof(*config));

	if (!config)
		return NULL;
	config->loop = loop;
	config->client = client;
	config->board = board;
	config->options = *options;
	config->list_platform.config = config;
	config->list_pull.config = config;
	return config;
}

void config_destroy(struct config *config)
{
	for (int i = 0; i < TR_MAX_SERVICES; i++) {
		struct tr_service *svc = &config->board->services[i];
		struct config_service *cs = &config->services[i];

		if (!svc->used)
			continue;
		client_fetch_cancel(config->client, cs->platform.fetch);
		client_fetch_cancel(config->client, cs->pull.fetch);
		docfile_free(cs->retired);
		docfile_free(svc->document);
		free(cs->document.text);
		free(cs->targets.text);
		tr_service_release(svc);
	}
	client_fetch_cancel(config->client, config->list_platform.fetch);
	client_fetch_cancel(config->client, config->list_pull.fetch);
	free(config->list.text);
	free(config->board->fleet.vms);
	free(config);
}
