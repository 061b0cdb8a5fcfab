#ifndef LOAD_H
#define LOAD_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stdint.h>

#include "hash.h"
#include "latency.h"
#include "result.h"
#include "standin.h"

struct client;

#define LOAD_ADDRESSES 4
#define LOAD_KEYS      256
#define LOAD_ID	       64
#define LOAD_NAME      64

struct load_options {
	const char *service;
	const char *data_centre;
	const char *prefix;
	const char *read_path;
	const char *never_path;
	const char *report;
	const char *series;
	char **entries;
	unsigned entries_count;
	char **targets;
	unsigned targets_count;
	double rate;
	double seconds;
	double never_share;
	double must_share;
	const char *must_path;
	unsigned callers;
	unsigned organisations;
	unsigned retries;
	bool impatient;
	bool direct;
	long deadline_ms;
	size_t body;
	int pad;
	uint64_t seed;
};

/* One caller: the answer of a lookup that it keeps, and its keys. */
struct caller {
	char name[LOAD_NAME];
	char addresses[LOAD_ADDRESSES][64];
	unsigned addresses_count;
	unsigned preferred;
	apr_time_t kept_until;
	bool asking;
	bool asking_keys;
	char keys_from[64];
	char *keys[LOAD_KEYS];
	unsigned keys_count;
};

enum op_end {
	OP_OPEN,
	OP_ANSWERED,
	OP_NOT_RUN,
	OP_UNKNOWN,
	OP_FAILED,
};

/* One thing that a caller wants done once; perhaps in several tries. */
struct op {
	char id[LOAD_ID];
	bool never;
	bool must;
	bool waits;
	enum op_end end;
	unsigned tries;
	unsigned tried_addresses;
	struct caller *caller;
	char *key;
	bool maybe_run;
	apr_time_t intended;
	apr_time_t ended;
	int code;
	bool misdelivered;
	bool cut;
	CURL *easy;
	struct curl_slist *headers;
	char *body;
	size_t body_len;
	char new_key[128];
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
	size_t open;
	apr_time_t began;
	apr_time_t next_at;
	bool sending;
	char *upload;
};

/* What the command line asks for: to go on, help that was given, nothing that
 * can be understood. */
enum load_parse {
	LOAD_GO,
	LOAD_HELPED,
	LOAD_REFUSED,
};

/* load_options.c */
enum load_parse load_parse(struct load_options *o, int argc, char **argv);

/* load_caller.c */
void load_refresh(struct load *load, struct caller *caller);
const char *load_address(struct load *load, struct op *op);
char *load_take_key(struct load *load, struct caller *caller,
		    const char *address);

/* load_report.c */
int load_report(struct load *load);

#endif
