#include "lists.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include "cleanup.h"
#include "error.h"
#include "hash.h"

#define STATE_LEAVING "leaving"
#define STATE_LIVE    "live"

static json_t *load_array(const char *text, size_t len, struct tr_error *err)
{
	json_error_t je;
	json_t *root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &je);

	if (!root) {
		tr_error_set(err, TR_SYNTAX, "", "", "expected JSON: %s",
			     je.text);
		err->line = je.line;
		return NULL;
	}
	if (json_is_array(root))
		return root;
	tr_error_set(err, TR_WRONG_TYPE, "", "", "expected a list");
	json_decref(root);
	return NULL;
}

static int parse_state(json_t *row, size_t i, bool *leaving,
		       struct tr_error *err)
{
	const char *state = json_string_value(json_object_get(row, "state"));
	char field[48];

	snprintf(field, sizeof(field), "[%zu].state", i);
	if (!state ||
	    (strcmp(state, STATE_LIVE) != 0 && strcmp(state, STATE_LEAVING)))
		return tr_error_set(err, TR_OUT_OF_RANGE, field, state,
				    "expected live or leaving");
	*leaving = !strcmp(state, STATE_LEAVING);
	return 0;
}

static int parse_text(json_t *row, size_t i, const char *key, char *out,
		      size_t size, struct tr_error *err)
{
	const char *text = json_string_value(json_object_get(row, key));
	char field[64];

	snprintf(field, sizeof(field), "[%zu].%s", i, key);
	if (!text || !*text)
		return tr_error_set(err, TR_MISSING_FIELD, field, "",
				    "expected a string that is not empty");
	if (strlen(text) >= size)
		return tr_error_set(err, TR_OUT_OF_RANGE, field, text,
				    "expected at most %zu characters",
				    size - 1);
	snprintf(out, size, "%s", text);
	return 0;
}

static int parse_port(json_t *row, size_t i, const char *key, uint16_t *out,
		      struct tr_error *err)
{
	json_int_t port = json_integer_value(json_object_get(row, key));
	char field[64];
	char text[24];

	if (port >= 1 && port <= 65535) {
		*out = (uint16_t)port;
		return 0;
	}
	snprintf(field, sizeof(field), "[%zu].%s", i, key);
	snprintf(text, sizeof(text), "%lld", (long long)port);
	return tr_error_set(err, TR_OUT_OF_RANGE, field, text,
			    "expected a port from 1 to 65535");
}

static int parse_vm(json_t *row, size_t i, struct tr_vm *vm,
		    struct tr_error *err)
{
	struct in_addr ip;

	if (parse_text(row, i, "name", vm->name, sizeof(vm->name), err) ||
	    parse_text(row, i, "data_centre", vm->data_centre,
		       sizeof(vm->data_centre), err) ||
	    parse_text(row, i, "address", vm->address, sizeof(vm->address),
		       err) ||
	    parse_port(row, i, "port", &vm->port, err) ||
	    parse_port(row, i, "peer_port", &vm->peer_port, err) ||
	    parse_port(row, i, "operator_port", &vm->operator_port, err) ||
	    parse_state(row, i, &vm->leaving, err))
		return -1;
	if (inet_pton(AF_INET, vm->address, &ip) != 1)
		return tr_error_set(err, TR_OUT_OF_RANGE, "address",
				    vm->address, "expected an IPv4 number");
	snprintf(vm->peer_address, sizeof(vm->peer_address), "%s", vm->address);
	if (json_object_get(row, "peer_address") &&
	    parse_text(row, i, "peer_address", vm->peer_address,
		       sizeof(vm->peer_address), err))
		return -1;
	vm->id = tr_hash_string(vm->name);
	return 0;
}

/*
 * Parses the list of VMs. Allocates fleet->vms, which the caller frees. Returns
 * 0, or -1 with err set.
 */
int lists_parse_vms(const char *text, size_t len, struct tr_fleet *fleet,
		    struct tr_error *err)
{
	auto_json json_t *root = load_array(text, len, err);
	size_t n = json_array_size(root);

	if (!root)
		return -1;
	fleet->count = 0;
	fleet->vms = calloc(n ? n : 1, sizeof(*fleet->vms));
	if (!fleet->vms)
		return tr_error_set(err, TR_NO_MEMORY, "", "",
				    "expected enough memory for the list");
	for (size_t i = 0; i < n; i++) {
		if (parse_vm(json_array_get(root, i), i, &fleet->vms[i], err)) {
			free(fleet->vms);
			fleet->vms = NULL;
			return -1;
		}
		fleet->count++;
	}
	return 0;
}

/*
 * Parses a list of at most max targets into entries and sets count. Returns 0,
 * or -1 with err set.
 */
int lists_parse_targets(const char *text, size_t len,
			struct tr_target_entry *entries, unsigned max,
			unsigned *count, struct tr_error *err)
{
	auto_json json_t *root = load_array(text, len, err);
	size_t n = json_array_size(root);

	if (!root)
		return -1;
	if (n > max)
		return tr_error_set(err, TR_OUT_OF_RANGE, "", "",
				    "expected at most %u targets", max);
	for (size_t i = 0; i < n; i++) {
		json_t *row = json_array_get(root, i);
		struct tr_target_entry *e = &entries[i];

		memset(e, 0, sizeof(*e));
		if (parse_text(row, i, "name", e->name, sizeof(e->name), err) ||
		    parse_text(row, i, "address", e->address,
			       sizeof(e->address), err) ||
		    parse_text(row, i, "data_centre", e->data_centre,
			       sizeof(e->data_centre), err) ||
		    parse_state(row, i, &e->leaving, err))
			return -1;
	}
	*count = (unsigned)n;
	return 0;
}
