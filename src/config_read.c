/*
 * Reads the configuration from the platform and pulls it from peers. The
 * platform serves Consul's key-value API; a blocking query on it is called a
 * watch here.
 */
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cleanup.h"
#include "config_internal.h"

#define LOG_MODULE "config"
#include "log.h"

#define KEY_PREFIX		"toucanreel/"
#define WATCH_PERIOD_S		20
#define READ_TIMEOUT		TR_SEC(2)
#define PULL_TIMEOUT		TR_SEC(1)
#define RETRY_DELAY		TR_MSEC(500)
#define MAX_DOUBLINGS		4
#define MIN_POLL_PERIOD		TR_SEC(2)
#define POLL_CALLS_PER_S	1000.0
#define SERVICE_WATCHERS	2
#define LIST_READERS_PER_CENTRE 3
#define MISSING_SERVICE_TTL	TR_SEC(2)
#define URL_MAX			320

static void set_platform_up(struct config *config, bool up)
{
	if (config->platform_up == up && config->platform_logged)
		return;
	config->platform_up = up;
	config->platform_logged = true;
	tr_board_event(config->board,
		       up ? TR_EVENT_PLATFORM_UP : TR_EVENT_PLATFORM_DOWN, "",
		       "platform", "%s", up ? "responds" : "does not respond");
	if (up)
		log_info("platform is up");
	else
		log_warning("platform is down");
}

/*
 * Applies one key-value entry. The last part of the key names the value, and
 * revision is the entry's ModifyIndex.
 */
static void apply_kv_entry(struct config *config, struct tr_service *svc,
			   const char *key, uint64_t revision, const char *text,
			   size_t len)
{
	const char *last = strrchr(key, '/');

	last = last ? last + 1 : key;
	if (!svc) {
		if (!strcmp(last, VM_LIST_RESOURCE))
			config_apply_vm_list(config, revision, text, len,
					     "platform");
	} else if (!strcmp(last, DOCUMENT_VALUE)) {
		config_apply_document(config, svc, revision, text, len,
				      "platform");
	} else if (!strcmp(last, TARGETS_VALUE)) {
		config_apply_targets(config, svc, revision, text, len,
				     "platform");
	}
}

static void apply_kv_entries(struct config *config, struct tr_service *svc,
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
		apply_kv_entry(config, svc, key, (uint64_t)rev, (char *)raw,
			       len);
	}
}

/*
 * Exponential backoff with up to 50 percent of jitter, so that the VMs do not
 * all reach the platform at once when it is back.
 */
static apr_time_t backoff_delay(struct config *config, struct fetcher *fetcher)
{
	apr_time_t wait = RETRY_DELAY << fetcher->failures;

	if (fetcher->failures < MAX_DOUBLINGS)
		fetcher->failures++;
	return wait +
	       tr_random_below(&config->board->random, 500) * (wait / 1000);
}

static void on_platform_response(void *ctx,
				 const struct fetch_response *response)
{
	struct fetcher *fetcher = ctx;
	struct config *config = fetcher->config;
	bool ok = response->status == 200 || response->status == 404;

	fetcher->fetch = NULL;
	fetcher->next_at = config_now(config) + fetcher->period;
	if (!ok) {
		fetcher->next_at =
			config_now(config) + backoff_delay(config, fetcher);
		config->counts.platform_failures++;
		fetcher->index = 0;
		set_platform_up(config, false);
		return;
	}
	fetcher->failures = 0;
	set_platform_up(config, true);
	/* An index that decreases means that the platform was restored from a
	 * backup; its protocol asks to reset the index to 0 then. */
	fetcher->index = response->index < fetcher->index ? 0 : response->index;
	apply_kv_entries(config, fetcher->svc, response->body, response->len);
	if (fetcher->svc && !fetcher->svc->document) {
		fetcher->svc->platform_has_none = true;
		fetcher->svc->needed_until =
			config_now(config) + MISSING_SERVICE_TTL;
		config_notify_change(config);
	}
}

static void fetch_from_platform(struct config *config, struct fetcher *fetcher,
				bool watch)
{
	char url[URL_MAX];
	char path[128];
	int n;

	snprintf(path, sizeof(path), "%s%s%s", KEY_PREFIX,
		 fetcher->svc ? "services/" : "",
		 fetcher->svc ? fetcher->svc->name : VM_LIST_RESOURCE);
	n = snprintf(url, sizeof(url), "%s/v1/kv/%s%s",
		     config->options.platform, path,
		     fetcher->svc ? "/?recurse=true" : "?");
	fetcher->watching = watch && fetcher->index;
	if (fetcher->watching)
		snprintf(url + n, sizeof(url) - (size_t)n,
			 "&index=%lu&wait=%ds", (unsigned long)fetcher->index,
			 WATCH_PERIOD_S);
	config->counts.platform_calls++;
	fetcher->fetch = client_fetch(
		config->client, url, NULL,
		fetcher->watching ? TR_SEC(WATCH_PERIOD_S + 5) : READ_TIMEOUT,
		on_platform_response, fetcher);
}

static int verify_mac(const struct config *config,
		      const struct fetch_response *response)
{
	unsigned char mac[TR_MAC_SIZE];
	size_t len = 0;

	if (sodium_hex2bin(mac, sizeof(mac), response->mac,
			   strlen(response->mac), NULL, &len, NULL) ||
	    len != sizeof(mac))
		return -1;
	return tr_mac_check(config->options.secret, response->body,
			    response->len, mac);
}

static void apply_from_json(struct config *config, struct tr_service *svc,
			    json_t *root, const char *name)
{
	json_t *value = json_object_get(root, name);
	const char *text = json_string_value(json_object_get(value, "text"));
	size_t len = json_string_length(json_object_get(value, "text"));
	uint64_t revision = (uint64_t)json_integer_value(
		json_object_get(value, "revision"));

	if (!text)
		return;
	if (!strcmp(name, VM_LIST_RESOURCE))
		config_apply_vm_list(config, revision, text, len, "peer");
	else if (!strcmp(name, DOCUMENT_VALUE))
		config_apply_document(config, svc, revision, text, len, "peer");
	else
		config_apply_targets(config, svc, revision, text, len, "peer");
}

static void on_pull_response(void *ctx, const struct fetch_response *response)
{
	struct fetcher *fetcher = ctx;
	struct config *config = fetcher->config;
	auto_json json_t *root = NULL;

	fetcher->fetch = NULL;
	fetcher->next_at = config_now(config) + RETRY_DELAY / 2;
	if (response->status != 200 || verify_mac(config, response))
		return;
	root = json_loadb(response->body, response->len, 0, NULL);
	if (!root)
		return;
	if (fetcher->svc) {
		apply_from_json(config, fetcher->svc, root, DOCUMENT_VALUE);
		apply_from_json(config, fetcher->svc, root, TARGETS_VALUE);
	} else {
		apply_from_json(config, NULL, root, VM_LIST_RESOURCE);
	}
}

static void pull(struct config *config, struct fetcher *fetcher,
		 const char *authority)
{
	char url[URL_MAX];

	if (fetcher->fetch || config_now(config) < fetcher->next_at)
		return;
	snprintf(url, sizeof(url), "http://%s/peer/v1/%s%s", authority,
		 fetcher->svc ? "resource?service=" : "vms",
		 fetcher->svc ? fetcher->svc->name : "");
	config->counts.peer_pulls++;
	fetcher->fetch = client_fetch(config->client, url, NULL, PULL_TIMEOUT,
				      on_pull_response, fetcher);
}

static const struct tr_vm *find_vm(const struct config *config, uint64_t id)
{
	return tr_fleet_find(&config->board->fleet, id);
}

/* Pulls from a peer whatever its message says it holds in a newer revision. */
void config_pull_newer(struct config *config, struct tr_service *svc,
		       const struct tr_peer *peer, uint64_t list_revision)
{
	struct config_service *cs = config_service_of(config, svc);
	const struct tr_vm *vm = find_vm(config, peer->vm_id);
	char authority[64];

	if (!vm)
		return;
	snprintf(authority, sizeof(authority), "%s:%u", vm->address,
		 vm->operator_port);
	if ((peer->document_revision > cs->document.state.revision &&
	     peer->document_revision != cs->document.state.refused) ||
	    peer->targets_revision > svc->targets_revision)
		pull(config, &cs->pull, authority);
	if (list_revision > config->board->fleet.revision &&
	    list_revision != config->vm_list.state.refused)
		pull(config, &config->vm_list_pull, authority);
}

/*
 * How many peers of the cell that are up rank before this VM in watching the
 * service, by rendezvous hashing.
 */
static unsigned count_higher_ranked(const struct config *config,
				    const struct tr_service *svc)
{
	uint64_t salt = tr_hash_pair(svc->id, 1);
	uint64_t own_weight = tr_hash_pair(salt, config->board->vm_id);
	unsigned n = 0;

	for (unsigned i = 0; i < svc->peers_count; i++) {
		const struct tr_peer *peer = &svc->peers[i];

		n += peer->in_cell && peer->up && !peer->leaving &&
		     tr_hash_pair(salt, peer->vm_id) > own_weight;
	}
	return n;
}

static bool watches_service(const struct config *config,
			    const struct tr_service *svc)
{
	return svc->in_cell &&
	       count_higher_ranked(config, svc) < SERVICE_WATCHERS;
}

/* The first LIST_READERS_PER_CENTRE VMs of a data centre watch the list of VMs.
 */
static bool watches_vm_list(const struct config *config)
{
	const struct tr_board *board = config->board;
	uint64_t salt = tr_hash_string(VM_LIST_RESOURCE);
	uint64_t own_weight = tr_hash_pair(salt, board->vm_id);
	unsigned n = 0;

	for (size_t i = 0; i < board->fleet.count; i++) {
		const struct tr_vm *vm = &board->fleet.vms[i];

		n += !vm->leaving &&
		     !strcmp(vm->data_centre, board->data_centre) &&
		     tr_hash_pair(salt, vm->id) > own_weight;
	}
	return n < LIST_READERS_PER_CENTRE;
}

/*
 * The time between two reads of one value by a VM that does not watch it. Such
 * VMs still read it, in case the platform returns stale data to the watchers.
 * The period grows with the fleet and with the VM's services, so that the
 * whole fleet makes about POLL_CALLS_PER_S calls a second.
 */
static apr_time_t poll_period(const struct config *config)
{
	const struct tr_board *board = config->board;
	unsigned served = 0;
	apr_time_t period;

	for (int i = 0; i < TR_MAX_SERVICES; i++)
		served += board->services[i].used;
	period = (apr_time_t)((double)served * (double)board->fleet.count /
			      POLL_CALLS_PER_S * 1e6);
	return period > MIN_POLL_PERIOD ? period : MIN_POLL_PERIOD;
}

static void step_fetcher(struct config *config, struct fetcher *fetcher,
			 bool watch)
{
	apr_time_t now = config_now(config);
	apr_time_t jitter;

	if (fetcher->fetch || now < fetcher->next_at)
		return;
	jitter = tr_random_below(&config->board->random, 500000);
	fetcher->period = watch ? TR_MSEC(20) : poll_period(config) + jitter;
	fetch_from_platform(config, fetcher, watch);
}

/* Pulls from a random seed while the platform is down. */
static void pull_from_seed(struct config *config, struct fetcher *fetcher)
{
	unsigned n = config->options.seeds_count;

	if (n && !config->platform_up)
		pull(config, fetcher,
		     config->options.seeds[tr_random_below(
			     &config->board->random, n)]);
}

/*
 * Starts the requests that are due. A VM without a list of VMs, or without the
 * document of a service, also asks the seeds.
 */
void config_step_fetchers(struct config *config)
{
	struct tr_board *board = config->board;

	step_fetcher(config, &config->vm_list_platform,
		     !board->fleet.count || watches_vm_list(config));
	if (!board->fleet.count)
		pull_from_seed(config, &config->vm_list_pull);
	for (int i = 0; i < TR_MAX_SERVICES; i++) {
		struct tr_service *svc = &board->services[i];

		if (!svc->used)
			continue;
		step_fetcher(config, &config->services[i].platform,
			     watches_service(config, svc));
		if (!svc->document)
			pull_from_seed(config, &config->services[i].pull);
	}
}

/* Starts a read of the platform at once. */
void config_fetch_now(struct config *config, struct fetcher *fetcher)
{
	step_fetcher(config, fetcher, false);
	fetcher->next_at = 0;
}
