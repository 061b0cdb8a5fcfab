#ifndef TR_DISPATCH_H
#define TR_DISPATCH_H

#include <stdbool.h>

#include "key.h"

#define TR_NO_RECORD UINT32_MAX

enum tr_dispatch_state {
	TR_DISPATCH_FREE,
	TR_DISPATCH_ADMITTED,
	TR_DISPATCH_SENT,
	TR_DISPATCH_NOT_RUN,
	TR_DISPATCH_ANSWERED,
	TR_DISPATCH_UNKNOWN,
};

/* What is remembered of one request that must not repeat. */
struct tr_dispatch_record {
	uint64_t number;
	uint64_t fingerprint;
	uint64_t own_key;
	uint32_t expiry_s;
	uint32_t next;
	uint32_t next_own;
	enum tr_dispatch_state state;
	int http_status;
	uint32_t answer_len;
	char *answer;
	char content_type[48];
};

/*
 * The table of one process. Records are kept until their key expires, and a
 * full table refuses new keys: forgetting early would let a request run twice.
 */
struct tr_dispatcher {
	struct tr_boot boot;
	const struct tr_secret *secret;
	uint64_t next_number;
	uint32_t lifetime_s;
	uint32_t address;
	uint16_t port;
	uint32_t capacity;
	uint32_t used;
	uint32_t free_head;
	uint32_t sweep_at;
	uint32_t *by_number;
	uint32_t *by_own_key;
	struct tr_dispatch_record *records;
	size_t answer_bytes;
	size_t answer_bytes_max;
};

int tr_dispatcher_init(struct tr_dispatcher *d, const struct tr_boot *boot,
		       const struct tr_secret *secret, uint32_t capacity,
		       uint32_t lifetime_s, size_t answer_bytes_max);
void tr_dispatcher_release(struct tr_dispatcher *d);
void tr_dispatcher_mint(struct tr_dispatcher *d, uint64_t service,
			apr_time_t now, char text[TR_KEY_TEXT]);
enum tr_result tr_dispatcher_admit(struct tr_dispatcher *d,
				   const struct tr_key *key, uint64_t service,
				   uint64_t fingerprint, uint64_t own_key,
				   apr_time_t now, uint32_t *record);
void tr_dispatcher_sent(struct tr_dispatcher *d, uint32_t record);
void tr_dispatcher_finish(struct tr_dispatcher *d, uint32_t record,
			  enum tr_outcome outcome, int http_status,
			  const char *content_type, const char *answer,
			  size_t answer_len);
void tr_dispatcher_sweep(struct tr_dispatcher *d, apr_time_t now,
			 uint32_t most);

#endif
