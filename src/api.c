/* API on the callers' port: /v1/lookup and /v1/keys. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config.h"
#include "headers.h"
#include "loop.h"
#include "proxy.h"

#define API_DOCUMENT_WAIT    TR_MSEC(1000)
#define MAX_KEYS	     256
#define MAX_LOOKUP_ADDRESSES 4
#define DEFAULT_KEYS	     1

static const char *query_argument(const struct request *r, const char *name)
{
	return MHD_lookup_connection_value(r->conn, MHD_GET_ARGUMENT_KIND,
					   name);
}

static json_t *mint_keys(struct request *r, unsigned n)
{
	json_t *keys = json_array();
	char key[TR_KEY_TEXT];

	for (unsigned i = 0; i < n; i++) {
		tr_dispatcher_mint(&r->proxy->board->dispatcher, r->svc->id,
				   tr_clock_now(loop_clock(r->proxy->loop)),
				   key);
		json_array_append_new(keys, json_string(key));
	}
	return keys;
}

static unsigned requested_keys(const struct request *r, unsigned least)
{
	const char *text = query_argument(r, "keys");
	unsigned long n = text ? strtoul(text, NULL, 10) : least;

	return n > MAX_KEYS ? MAX_KEYS : (unsigned)n;
}

static bool is_available(const struct tr_service *svc, uint64_t vm_id)
{
	for (unsigned i = 0; i < svc->peers_count; i++) {
		const struct tr_peer *peer = &svc->peers[i];

		if (peer->vm_id == vm_id)
			return !peer->leaving && !peer->suspects_itself &&
			       (peer->up || !peer->known);
	}
	return true;
}

/*
 * Addresses of the VMs that serve the service, preferred ones first. VMs that
 * are down or leaving are omitted at once, long before the published list
 * drops them; so is this VM while it is leaving.
 */
static json_t *addresses(const struct request *r, const char *data_centre,
			 uint64_t salt)
{
	const struct tr_board *board = r->proxy->board;
	uint32_t order[TR_MAX_CELL];
	json_t *list = json_array();
	size_t n;

	n = tr_cell_lookup(&r->svc->cell, &board->fleet, data_centre, salt,
			   order, TR_MAX_CELL);
	for (size_t i = 0;
	     i < n && json_array_size(list) < MAX_LOOKUP_ADDRESSES; i++) {
		const struct tr_vm *vm = &board->fleet.vms[order[i]];
		bool is_self = vm->id == board->vm_id;

		if (is_self ? board->leaving : !is_available(r->svc, vm->id))
			continue;
		json_array_append_new(
			list, json_pack("{s:s, s:i, s:s}", "address",
					vm->address, "port", (int)vm->port,
					"data_centre", vm->data_centre));
	}
	return list;
}

/* Salt for the order of addresses, which spreads callers over the VMs. */
static uint64_t caller_salt(const struct request *r)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		r->conn, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	const char *given = query_argument(r, "caller");

	if (given)
		return tr_hash_string(given);
	return info ? tr_hash(info->client_addr, 16) : 0;
}

static void answer_lookup(struct request *r)
{
	const struct tr_board *board = r->proxy->board;
	const char *centre = query_argument(r, "data_centre");
	unsigned n = r->svc->in_cell ? requested_keys(r, 0) : 0;
	json_t *body;

	if (!centre)
		centre = board->data_centre;
	body = json_pack("{s:s, s:o, s:i, s:o, s:s, s:I}", "service",
			 r->svc->name, "addresses",
			 addresses(r, centre, caller_salt(r)), "keep_s",
			 (int)r->svc->document->keep_s, "keys", mint_keys(r, n),
			 "answered_by", board->vm_name, "revision",
			 (json_int_t)r->svc->document_revision);
	r->state = REQUEST_DONE;
	proxy_reply_json(r, TR_OK, 200, body);
}

static void answer_keys(struct request *r)
{
	json_t *body = json_pack(
		"{s:s, s:o, s:i}", "service", r->svc->name, "keys",
		mint_keys(r, requested_keys(r, DEFAULT_KEYS)), "lifetime_s",
		(int)r->proxy->board->dispatcher.lifetime_s);

	r->state = REQUEST_DONE;
	proxy_reply_json(r, TR_OK, 200, body);
}

/*
 * Looks up the service of the query. False if its document has not arrived
 * yet; otherwise found, or the reply is ready.
 */
static bool find_service(struct request *r, bool *found)
{
	const char *name = query_argument(r, "service");
	apr_time_t now = tr_clock_now(loop_clock(r->proxy->loop));

	*found = false;
	if (!name || !*name || strlen(name) > TR_NAME_MAX) {
		proxy_finish(r, TR_BAD_REQUEST);
		return true;
	}
	snprintf(r->service, sizeof(r->service), "%s", name);
	r->svc = config_add_service(r->proxy->config, name);
	if (r->svc && r->svc->document) {
		*found = true;
		return true;
	}
	if (r->svc && !r->svc->platform_has_none &&
	    now - r->began < API_DOCUMENT_WAIT)
		return false;
	proxy_finish(r, r->svc && r->svc->platform_has_none ? TR_NO_SERVICE
							    : TR_NOT_READY);
	return true;
}

/* Answers a /v1/ call; false if the service's document has not arrived yet. */
bool api_handle(struct request *r)
{
	size_t len = strcspn(r->uri, "?");
	bool lookup = len == 10 && !strncmp(r->uri, "/v1/lookup", len);
	bool keys = len == 8 && !strncmp(r->uri, "/v1/keys", len);
	bool found;

	if (!lookup && !keys) {
		proxy_finish(r, TR_NO_ROUTE);
		return true;
	}
	if (!find_service(r, &found))
		return false;
	if (!found)
		return true;
	if (lookup)
		answer_lookup(r);
	else if (!r->svc->in_cell)
		proxy_finish(r, TR_WRONG_VM);
	else
		answer_keys(r);
	return true;
}
