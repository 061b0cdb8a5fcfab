/* Simulated callers: lookups of addresses, and batches of keys. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cleanup.h"
#include "client.h"
#include "load.h"
#include "loop.h"

#define LOOKUP_TIMEOUT	   TR_SEC(2)
#define LOOKUP_RETRY	   TR_MSEC(300)
#define KEY_BATCH	   64
#define KEYS_LOW_WATERMARK 24

struct query {
	struct load *load;
	struct caller *caller;
	char address[64];
};

static apr_time_t current_time(const struct load *load)
{
	return tr_clock_now(loop_clock(load->standin.loop));
}

static void store_addresses(struct caller *caller, json_t *root)
{
	json_t *list = json_object_get(root, "addresses");
	size_t i;
	json_t *row;

	caller->addresses_count = 0;
	caller->first_address = 0;
	json_array_foreach(list, i, row)
	{
		if (i >= LOAD_MAX_ADDRESSES)
			break;
		snprintf(caller->addresses[i], sizeof(caller->addresses[i]),
			 "%s:%d",
			 json_string_value(json_object_get(row, "address")),
			 (int)json_integer_value(json_object_get(row, "port")));
		caller->addresses_count++;
	}
}

static void on_lookup_response(void *ctx, const struct fetch_response *answer)
{
	struct query *q = ctx;
	struct load *load = q->load;
	struct caller *caller = q->caller;
	auto_json json_t *root = NULL;

	caller->lookup_pending = false;
	caller->lookup_expires_at = current_time(load) + LOOKUP_RETRY;
	if (answer->status == 200)
		root = json_loadb(answer->body, answer->len, 0, NULL);
	if (root && json_array_size(json_object_get(root, "addresses"))) {
		store_addresses(caller, root);
		caller->lookup_expires_at =
			current_time(load) +
			TR_SEC(json_integer_value(
				json_object_get(root, "keep_s")));
	}
	free(q);
}

/* Looks up the service's addresses at a random VM, unless the last lookup is
 * still valid or another is pending. */
void load_lookup(struct load *load, struct caller *caller)
{
	const struct load_options *o = &load->options;
	struct query *q;
	char url[512];

	if (caller->lookup_pending ||
	    current_time(load) < caller->lookup_expires_at || o->direct)
		return;
	q = calloc(1, sizeof(*q));
	q->load = load;
	q->caller = caller;
	snprintf(url, sizeof(url),
		 "http://%s/v1/lookup?service=%s&caller=%s&data_centre=%s",
		 o->entries[tr_random_below(&load->random, o->entries_count)],
		 o->service, caller->name,
		 o->data_centre ? o->data_centre : "");
	caller->lookup_pending = true;
	if (!client_fetch(load->client, url, NULL, LOOKUP_TIMEOUT,
			  on_lookup_response, q)) {
		caller->lookup_pending = false;
		free(q);
	}
}

/* Returns the address for the next attempt: the first of the lookup, or after
 * failures the ones that follow. NULL if no lookup has succeeded. */
const char *load_next_address(struct load *load, struct op *op)
{
	struct caller *caller = op->caller;
	unsigned n = caller->addresses_count;

	if (load->options.direct)
		return load->options.targets[tr_random_below(
			&load->random, load->options.targets_count)];
	if (!n)
		return NULL;
	return caller
		->addresses[(caller->first_address + op->failed_addresses) % n];
}

static void on_keys_response(void *ctx, const struct fetch_response *answer)
{
	struct query *q = ctx;
	struct caller *caller = q->caller;
	auto_json json_t *root = NULL;
	size_t i;
	json_t *key;

	caller->keys_pending = false;
	if (answer->status == 200)
		root = json_loadb(answer->body, answer->len, 0, NULL);
	if (root) {
		while (caller->keys_count)
			free(caller->keys[--caller->keys_count]);
		snprintf(caller->keys_from, sizeof(caller->keys_from), "%s",
			 q->address);
		json_array_foreach(json_object_get(root, "keys"), i, key)
		{
			if (caller->keys_count < LOAD_MAX_KEYS)
				caller->keys[caller->keys_count++] =
					strdup(json_string_value(key));
		}
	}
	free(q);
}

static void request_keys(struct load *load, struct caller *caller,
			 const char *address)
{
	struct query *q;
	char url[256];

	if (caller->keys_pending)
		return;
	q = calloc(1, sizeof(*q));
	q->load = load;
	q->caller = caller;
	snprintf(q->address, sizeof(q->address), "%s", address);
	snprintf(url, sizeof(url), "http://%s/v1/keys?service=%s&keys=%d",
		 address, load->options.service, KEY_BATCH);
	caller->keys_pending = true;
	if (!client_fetch(load->client, url, NULL, LOOKUP_TIMEOUT,
			  on_keys_response, q)) {
		caller->keys_pending = false;
		free(q);
	}
}

/* Returns a key minted by the VM at the address, or NULL if there is none; the
 * caller frees it. Requests a new batch when few are left. */
char *load_take_key(struct load *load, struct caller *caller,
		    const char *address)
{
	bool same_vm = !strcmp(caller->keys_from, address);

	if (!same_vm || caller->keys_count < KEYS_LOW_WATERMARK)
		request_keys(load, caller, address);
	if (!same_vm || !caller->keys_count)
		return NULL;
	return caller->keys[--caller->keys_count];
}
