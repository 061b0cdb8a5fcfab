#include "gather.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cleanup.h"
#include "client.h"
#include "loop.h"

#define GATHER_TIMEOUT TR_SEC(5)
#define URL_SIZE       256

struct gather {
	struct loop *loop;
	json_t *responses;
	unsigned pending;
};

static void on_response(void *ctx, const struct fetch_response *response)
{
	struct gather *all = ctx;
	json_t *root = NULL;

	if (response->status == 200)
		root = json_loadb(response->body, response->len, 0, NULL);
	if (root)
		json_array_append_new(all->responses, root);
	if (--all->pending == 0)
		loop_stop(all->loop);
}

/*
 * Fetches all URLs concurrently and runs the loop until each has responded or
 * timed out. Returns the bodies of the successful responses as a JSON array.
 */
json_t *gather_json(struct loop *loop, struct client *client,
		    const char *const *urls, unsigned count)
{
	struct gather all = { loop, json_array(), 0 };

	for (unsigned i = 0; i < count; i++)
		if (client_fetch(client, urls[i], NULL, GATHER_TIMEOUT,
				 on_response, &all))
			all.pending++;
	if (all.pending)
		loop_run(loop);
	return all.responses;
}

/* Fetches the list of VMs from one VM's operator port. NULL on failure. */
static json_t *fetch_vm_list(struct loop *loop, struct client *client,
			     const char *vm)
{
	char url[URL_SIZE];
	const char *urls[1] = { url };
	auto_json json_t *responses = NULL;
	json_t *value;

	snprintf(url, sizeof(url), "http://%s/peer/v1/vms", vm);
	responses = gather_json(loop, client, urls, 1);
	value = json_object_get(json_array_get(responses, 0), "vms");
	if (!json_string_value(json_object_get(value, "text")))
		return NULL;
	return json_loads(json_string_value(json_object_get(value, "text")), 0,
			  NULL);
}

/*
 * Fetches a path from the operator port of every VM of the fleet. vm is the
 * operator address of any one VM, from which the list of VMs is fetched; NULL
 * if it does not respond.
 */
json_t *gather_from_fleet(struct loop *loop, struct client *client,
			  const char *vm, const char *path)
{
	auto_json json_t *vms = fetch_vm_list(loop, client, vm);
	size_t n = json_array_size(vms);
	char *text = calloc(n + 1, URL_SIZE);
	const char **urls = calloc(n + 1, sizeof(*urls));
	json_t *responses = NULL;
	size_t i;
	json_t *row;

	if (vms && text && urls) {
		json_array_foreach(vms, i, row)
		{
			char *url = text + i * URL_SIZE;

			snprintf(url, URL_SIZE, "http://%s:%d%s",
				 json_string_value(
					 json_object_get(row, "address")),
				 (int)json_integer_value(
					 json_object_get(row, "operator_port")),
				 path);
			urls[i] = url;
		}
		responses = gather_json(loop, client, urls, (unsigned)n);
	}
	free(urls);
	free(text);
	return responses;
}
