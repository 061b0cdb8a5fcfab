/* Who reads the platform and when, and what is pulled from peers. */
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cleanup.h"
#include "config_internal.h"

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
#define NONE_KEPT	TR_SEC(2)
#define URL_MAX		320

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

/* One row of the platform's answer: where it stands, its value, its index. */
static void take_row(struct config *config, struct tr_service *svc,
		     const char *key, uint64_t revision, const char *text,
		     size_t len)
{
	const char *last = strrchr(key, '/');

	last = last ? last + 1 : key;
	if (!svc) {
		if (!strcmp(last, LIST_RESOURCE))
			config_offer_list(config, revision, text, len,
					  "platform");
	} else if (!strcmp(last, DOCUMENT_VALUE)) {
		config_offer_document(config, svc, revision, text, len,
				      "platform");
	} else if (!strcmp(last, TARGETS_VALUE)) {
		config_offer_targets(config, svc, revision, text, len,
				     "platform");
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

static void platform_answered(void *ctx, const struct fetch_response *answer)
{
	struct reader *reader = ctx;
	struct config *config = reader->config;
	bool well = answer->status == 200 || answer->status == 404;

	reader->fetch = NULL;
	reader->next_at = config_now(config) + reader->period;
	if (!well) {
		reader->next_at = config_now(config) + back_off(config, reader);
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
		reader->svc->platform_has_none = true;
		reader->svc->needed_until = config_now(config) + NONE_KEPT;
		config_changed(config);
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
		     const struct fetch_response *answer)
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
		config_offer_list(config, revision, text, len, "peer");
	else if (!strcmp(name, DOCUMENT_VALUE))
		config_offer_document(config, svc, revision, text, len, "peer");
	else
		config_offer_targets(config, svc, revision, text, len, "peer");
}

static void pull_answered(void *ctx, const struct fetch_response *answer)
{
	struct reader *reader = ctx;
	struct config *config = reader->config;
	auto_json json_t *root = NULL;

	reader->fetch = NULL;
	reader->next_at = config_now(config) + RETRY_DELAY / 2;
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

	if (reader->fetch || config_now(config) < reader->next_at)
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
void config_pull_newer(struct config *config, struct tr_service *svc,
		       const struct tr_peer *peer, uint64_t list_revision)
{
	struct config_service *cs = config_service_of(config, svc);
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
	apr_time_t now = config_now(config);
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

/* Read, watch and pull what is due. */
void config_step_readers(struct config *config)
{
	struct tr_board *board = config->board;

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
	}
}

/* Read once without waiting for the reader's turn. */
void config_read_now(struct config *config, struct reader *reader)
{
	step_reader(config, reader, false);
	reader->next_at = 0;
}
