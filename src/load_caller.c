#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cleanup.h"
#include "client.h"
#include "load.h"
#include "loop.h"

#define LOOKUP_TIMEOUT TR_SEC(2)
#define LOOKUP_RETRY   TR_MSEC(300)
#define KEYS_AT_ONCE   64
#define KEYS_LOW       24

struct question {
	struct load *load;
	struct caller *caller;
	char address[64];
};

static apr_time_t now_of(const struct load *load)
{
	return tr_clock_now(loop_clock(load->standin.loop));
}

static void take_addresses(struct caller *caller, json_t *root)
{
	json_t *list = json_object_get(root, "addresses");
	size_t i;
	json_t *row;

	caller->addresses_count = 0;
	caller->preferred = 0;
	json_array_foreach(list, i, row)
	{
		if (i >= LOAD_ADDRESSES)
			break;
		snprintf(caller->addresses[i], sizeof(caller->addresses[i]),
			 "%s:%d",
			 json_string_value(json_object_get(row, "address")),
			 (int)json_integer_value(json_object_get(row, "port")));
		caller->addresses_count++;
	}
}

static void lookup_answered(void *ctx, const struct fetch_response *answer)
{
	struct question *q = ctx;
	struct load *load = q->load;
	struct caller *caller = q->caller;
	auto_json json_t *root = NULL;

	caller->asking = false;
	caller->kept_until = now_of(load) + LOOKUP_RETRY;
	if (answer->status == 200)
		root = json_loadb(answer->body, answer->len, 0, NULL);
	if (root && json_array_size(json_object_get(root, "addresses"))) {
		take_addresses(caller, root);
		caller->kept_until = now_of(load) +
				     TR_SEC(json_integer_value(
					     json_object_get(root, "keep_s")));
	}
	free(q);
}

/* Ask any VM of the system which addresses to use, unless one is kept. */
void load_refresh(struct load *load, struct caller *caller)
{
	const struct load_options *o = &load->options;
	struct question *q;
	char url[512];

	if (caller->asking || now_of(load) < caller->kept_until || o->direct)
		return;
	q = calloc(1, sizeof(*q));
	q->load = load;
	q->caller = caller;
	snprintf(url, sizeof(url),
		 "http://%s/v1/lookup?service=%s&caller=%s&data_centre=%s",
		 o->entries[tr_random_below(&load->random, o->entries_count)],
		 o->service, caller->name,
		 o->data_centre ? o->data_centre : "");
	caller->asking = true;
	if (!client_fetch(load->client, url, NULL, LOOKUP_TIMEOUT,
			  lookup_answered, q)) {
		caller->asking = false;
		free(q);
	}
}

/* The address for the next try: the kept one, or the next after a failure. */
const char *load_address(struct load *load, struct op *op)
{
	struct caller *caller = op->caller;
	unsigned n = caller->addresses_count;

	if (load->options.direct)
		return load->options.targets[tr_random_below(
			&load->random, load->options.targets_count)];
	if (!n)
		return NULL;
	return caller->addresses[(caller->preferred + op->tried_addresses) % n];
}

static void keys_answered(void *ctx, const struct fetch_response *answer)
{
	struct question *q = ctx;
	struct caller *caller = q->caller;
	auto_json json_t *root = NULL;
	size_t i;
	json_t *key;

	caller->asking_keys = false;
	if (answer->status == 200)
		root = json_loadb(answer->body, answer->len, 0, NULL);
	if (root) {
		while (caller->keys_count)
			free(caller->keys[--caller->keys_count]);
		snprintf(caller->keys_from, sizeof(caller->keys_from), "%s",
			 q->address);
		json_array_foreach(json_object_get(root, "keys"), i, key)
		{
			if (caller->keys_count < LOAD_KEYS)
				caller->keys[caller->keys_count++] =
					strdup(json_string_value(key));
		}
	}
	free(q);
}

static void ask_keys(struct load *load, struct caller *caller,
		     const char *address)
{
	struct question *q;
	char url[256];

	if (caller->asking_keys)
		return;
	q = calloc(1, sizeof(*q));
	q->load = load;
	q->caller = caller;
	snprintf(q->address, sizeof(q->address), "%s", address);
	snprintf(url, sizeof(url), "http://%s/v1/keys?service=%s&keys=%d",
		 address, load->options.service, KEYS_AT_ONCE);
	caller->asking_keys = true;
	if (!client_fetch(load->client, url, NULL, LOOKUP_TIMEOUT,
			  keys_answered, q)) {
		caller->asking_keys = false;
		free(q);
	}
}

/* A key minted by the VM at that address, or NULL when none is at hand. */
char *load_take_key(struct load *load, struct caller *caller,
		    const char *address)
{
	bool fits = !strcmp(caller->keys_from, address);

	if (!fits || caller->keys_count < KEYS_LOW)
		ask_keys(load, caller, address);
	if (!fits || !caller->keys_count)
		return NULL;
	return caller->keys[--caller->keys_count];
}
