#ifndef LOAD_H
#define LOAD_H

/* toucanreel-load: an open-loop load generator for callers' requests. */

#include <curl/curl.h>
#include <stdbool.h>
#include <stdint.h>

#include "hash.h"
#include "latency.h"
#include "result.h"
#include "standin.h"

struct client;

#define LOAD_MAX_ADDRESSES 4
#define LOAD_MAX_KEYS	   256
#define LOAD_ID_SIZE	   64
#define LOAD_NAME_SIZE	   64

/* The command line's options; --help describes each. */
struct load_options {
	const char *service;
	const char *data_centre;
	const char *prefix;
	const char *read_path;
	const char *once_path;
	const char *report;
	const char *series;
	char **entries;
	unsigned entries_count;
	char **targets;
	unsigned targets_count;
	double rate;
	double seconds;
	double once_share;
	double required_share;
	const char *required_path;
	unsigned callers;
	unsigned organisations;
	unsigned retries;
	bool retry_immediately;
	bool direct;
	long deadline_ms;
	size_t body_size;
	int response_padding;
	uint64_t seed;
};

/* A simulated caller, with the addresses from its last lookup and its keys. */
struct caller {
	char name[LOAD_NAME_SIZE];
	char addresses[LOAD_MAX_ADDRESSES][64];
	unsigned addresses_count;
	unsigned first_address;
	apr_time_t lookup_expires_at;
	bool lookup_pending;
	bool keys_pending;
	char keys_from[64]; /* address of the VM that minted them */
	char *keys[LOAD_MAX_KEYS];
	unsigned keys_count;
};

enum op_result {
	OP_PENDING,
	OP_ANSWERED,
	OP_NOT_RUN,
	OP_UNKNOWN,
	OP_FAILED, /* no response from any VM */
};

/* A logical request, sent in one or more attempts. */
struct op {
	char id[LOAD_ID_SIZE];
	bool once;     /* not idempotent: must run at most once */
	bool required; /* on the path for requests that must get through */
	bool waits;
	enum op_result result;
	unsigned attempts;
	unsigned failed_addresses;
	struct caller *caller;
	char *key;
	bool maybe_executed; /* sent, but got no response */
	apr_time_t scheduled_at;
	apr_time_t ended_at;
	int code;
	bool misdelivered; /* the response belongs to another request */
	bool truncated;
	CURL *easy;
	struct curl_slist *headers;
	char *response;
	size_t response_len;
	char new_key[128]; /* enclosed in a response that demands a key */
	char outcome[16];
	long retry_after_ms;
	bool replayed;
};

struct load {
	struct standin standin;
	struct client *client;
	struct load_options options;
	struct tr_random random;
	struct caller *callers;
	struct op **ops;
	size_t ops_count;
	size_t ops_size;
	size_t pending;
	apr_time_t started_at;
	apr_time_t next_arrival;
	bool sending;
	char *request_body;
};

/* What to do after parsing the command line. */
enum load_parse {
	LOAD_RUN,
	LOAD_SHOWED_HELP,
	LOAD_USAGE_ERROR,
};

/* load_options.c */
enum load_parse load_parse(struct load_options *o, int argc, char **argv);

/* load_caller.c */
void load_lookup(struct load *load, struct caller *caller);
const char *load_next_address(struct load *load, struct op *op);
char *load_take_key(struct load *load, struct caller *caller,
		    const char *address);

/* load_report.c */
int load_report(struct load *load);

#endif
