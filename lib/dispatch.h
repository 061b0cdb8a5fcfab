/*
 * At-most-once dispatch of requests that must not be repeated: the process that
 * minted a request's key keeps a record of the request until the key expires.
 */
#ifndef TR_DISPATCH_H
#define TR_DISPATCH_H

#include <stdbool.h>

#include "key.h"

/* Index that stands for no record. */
#define TR_NO_RECORD UINT32_MAX

/* The state of a record. */
enum tr_dispatch_state {
	TR_DISPATCH_FREE,
	TR_DISPATCH_ADMITTED, /* no byte has been sent */
	TR_DISPATCH_SENT,
	TR_DISPATCH_NOT_RUN, /* known not to have run; may be sent again */
	TR_DISPATCH_ANSWERED,
	TR_DISPATCH_UNKNOWN,
};

/* What is remembered of one request that must not be repeated. */
struct tr_dispatch_record {
	uint64_t number;
	uint64_t fingerprint;	  /* hash of the request */
	uint64_t idempotency_key; /* hash of the caller's key; 0 for none */
	uint32_t expiry_s;
	uint32_t next; /* in the chain by number, or in the free list */
	uint32_t next_by_idempotency_key;
	enum tr_dispatch_state state;
	int http_status;
	uint32_t answer_len;
	char *answer; /* NULL if it was not kept */
	char content_type[48];
};

/*
 * The records of one process, found by hash chains. A full table refuses new
 * keys: a record that is dropped before its key expires would let its request
 * run twice.
 */
struct tr_dispatcher {
	struct tr_boot boot;
	const struct tr_secret *secret;
	uint64_t next_number;
	uint32_t lifetime_s;
	uint32_t address; /* of this process, as minted into its keys */
	uint16_t port;
	uint32_t capacity;
	uint32_t used;
	uint32_t free_head;
	uint32_t sweep_index;
	uint32_t *by_number;
	uint32_t *by_idempotency_key;
	struct tr_dispatch_record *records;
	size_t answer_bytes;
	size_t max_answer_bytes;
};

int tr_dispatcher_init(struct tr_dispatcher *d, const struct tr_boot *boot,
		       const struct tr_secret *secret, uint32_t capacity,
		       uint32_t lifetime_s, size_t max_answer_bytes);
void tr_dispatcher_release(struct tr_dispatcher *d);
void tr_dispatcher_mint(struct tr_dispatcher *d, uint64_t service,
			apr_time_t now, char text[TR_KEY_TEXT]);
enum tr_result tr_dispatcher_admit(struct tr_dispatcher *d,
				   const struct tr_key *key, uint64_t service,
				   uint64_t fingerprint,
				   uint64_t idempotency_key, apr_time_t now,
				   uint32_t *record);
void tr_dispatcher_mark_sent(struct tr_dispatcher *d, uint32_t record);
void tr_dispatcher_finish(struct tr_dispatcher *d, uint32_t record,
			  enum tr_outcome outcome, int http_status,
			  const char *content_type, const char *answer,
			  size_t answer_len);
void tr_dispatcher_sweep(struct tr_dispatcher *d, apr_time_t now,
			 uint32_t max_records);

#endif
