/* Mints keys and keeps the records of requests that must not be repeated. */
#include "dispatch.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "hash.h"

static uint32_t seconds_of(apr_time_t now)
{
	return (uint32_t)(now / APR_USEC_PER_SEC);
}

static uint32_t *number_chain(const struct tr_dispatcher *d, uint64_t number)
{
	return &d->by_number[number % d->capacity];
}

static uint32_t *idempotency_chain(const struct tr_dispatcher *d,
				   uint64_t idempotency_key)
{
	return &d->by_idempotency_key[idempotency_key % d->capacity];
}

/*
 * Sets up a table for capacity requests, whose keys live lifetime_s seconds,
 * and which keeps up to max_answer_bytes bytes of answers. Returns 0, or -1
 * when out of memory.
 */
int tr_dispatcher_init(struct tr_dispatcher *d, const struct tr_boot *boot,
		       const struct tr_secret *secret, uint32_t capacity,
		       uint32_t lifetime_s, size_t max_answer_bytes)
{
	memset(d, 0, sizeof(*d));
	d->boot = *boot;
	d->secret = secret;
	d->capacity = capacity;
	d->lifetime_s = lifetime_s;
	d->max_answer_bytes = max_answer_bytes;
	d->by_number = calloc(capacity, sizeof(*d->by_number));
	d->by_idempotency_key =
		calloc(capacity, sizeof(*d->by_idempotency_key));
	d->records = calloc(capacity, sizeof(*d->records));
	if (!d->by_number || !d->by_idempotency_key || !d->records) {
		tr_dispatcher_release(d);
		return -1;
	}
	for (uint32_t i = 0; i < capacity; i++) {
		d->by_number[i] = TR_NO_RECORD;
		d->by_idempotency_key[i] = TR_NO_RECORD;
		d->records[i].next = i + 1 < capacity ? i + 1 : TR_NO_RECORD;
	}
	return 0;
}

void tr_dispatcher_release(struct tr_dispatcher *d)
{
	for (uint32_t i = 0; d->records && i < d->capacity; i++)
		free(d->records[i].answer);
	free(d->by_number);
	free(d->by_idempotency_key);
	free(d->records);
	memset(d, 0, sizeof(*d));
}

/*
 * Mints a key for a request to a service. It uses no memory until it is
 * admitted.
 */
void tr_dispatcher_mint(struct tr_dispatcher *d, uint64_t service,
			apr_time_t now, char text[TR_KEY_TEXT])
{
	struct tr_key key = {
		.boot = d->boot,
		.number = ++d->next_number,
		.service = service,
		.expiry_s = seconds_of(now) + d->lifetime_s,
		.address = d->address,
		.port = d->port,
	};

	tr_key_write(&key, d->secret, text);
}

static uint32_t find_by_number(const struct tr_dispatcher *d, uint64_t number)
{
	uint32_t i = *number_chain(d, number);

	while (i != TR_NO_RECORD && d->records[i].number != number)
		i = d->records[i].next;
	return i;
}

static uint32_t find_by_idempotency_key(const struct tr_dispatcher *d,
					uint64_t idempotency_key)
{
	uint32_t i = idempotency_key ? *idempotency_chain(d, idempotency_key)
				     : TR_NO_RECORD;

	while (i != TR_NO_RECORD &&
	       d->records[i].idempotency_key != idempotency_key)
		i = d->records[i].next_by_idempotency_key;
	return i;
}

static uint32_t add_record(struct tr_dispatcher *d, const struct tr_key *key,
			   uint64_t fingerprint, uint64_t idempotency_key)
{
	uint32_t i = d->free_head;
	struct tr_dispatch_record *r;
	uint32_t *chain = number_chain(d, key->number);

	if (i == TR_NO_RECORD)
		return i;
	r = &d->records[i];
	d->free_head = r->next;
	memset(r, 0, sizeof(*r));
	r->number = key->number;
	r->fingerprint = fingerprint;
	r->idempotency_key = idempotency_key;
	r->expiry_s = key->expiry_s;
	r->state = TR_DISPATCH_ADMITTED;
	r->next = *chain;
	*chain = i;
	r->next_by_idempotency_key = TR_NO_RECORD;
	if (idempotency_key) {
		r->next_by_idempotency_key =
			*idempotency_chain(d, idempotency_key);
		*idempotency_chain(d, idempotency_key) = i;
	}
	d->used++;
	return i;
}

static enum tr_result admit_known(struct tr_dispatch_record *r,
				  uint64_t fingerprint)
{
	if (r->fingerprint != fingerprint)
		return TR_KEY_OTHER_BODY;
	switch (r->state) {
	case TR_DISPATCH_NOT_RUN:
		r->state = TR_DISPATCH_ADMITTED;
		return TR_OK;
	case TR_DISPATCH_ANSWERED:
		return r->answer_len && !r->answer ? TR_ANSWER_DROPPED
						   : TR_ANSWERED;
	case TR_DISPATCH_UNKNOWN:
		return TR_KEY_SPENT;
	case TR_DISPATCH_ADMITTED:
	case TR_DISPATCH_SENT:
	case TR_DISPATCH_FREE:
		break;
	}
	return TR_KEY_RUNNING;
}

/*
 * Returns whether a request with this key may be sent now. TR_OK: it may, and
 * *record is its record, to be passed to tr_dispatcher_mark_sent() and
 * tr_dispatcher_finish(). TR_ANSWERED: it has run, and *record holds the
 * answer. Any other code is the final result of this call. idempotency_key is
 * the hash of the caller's own key, or 0.
 *
 * Without this, a caller that times out and sends the same purchase again would
 * be charged twice; the targets' ledgers would show two runs of one number.
 * Only the process that the key names passes the check, and it sends each
 * number at most once.
 */
enum tr_result tr_dispatcher_admit(struct tr_dispatcher *d,
				   const struct tr_key *key, uint64_t service,
				   uint64_t fingerprint,
				   uint64_t idempotency_key, apr_time_t now,
				   uint32_t *record)
{
	uint32_t i;

	*record = TR_NO_RECORD;
	if (key->service != service)
		return TR_KEY_MALFORMED;
	if (memcmp(key->boot.id, d->boot.id, TR_BOOT_SIZE))
		return TR_KEY_DEAD;
	if (seconds_of(now) > key->expiry_s)
		return TR_KEY_EXPIRED;
	i = find_by_number(d, key->number);
	if (i == TR_NO_RECORD)
		i = find_by_idempotency_key(d, idempotency_key);
	if (i != TR_NO_RECORD) {
		*record = i;
		return admit_known(&d->records[i], fingerprint);
	}
	i = add_record(d, key, fingerprint, idempotency_key);
	if (i == TR_NO_RECORD)
		return TR_KEYS_FULL;
	*record = i;
	return TR_OK;
}

/*
 * Marks the request as sent; call before its first byte is written. From then
 * on, only an answer or proof that it did not run settles it.
 */
void tr_dispatcher_mark_sent(struct tr_dispatcher *d, uint32_t record)
{
	if (d->records[record].state == TR_DISPATCH_ADMITTED)
		d->records[record].state = TR_DISPATCH_SENT;
}

static void keep_answer(struct tr_dispatcher *d, struct tr_dispatch_record *r,
			const char *content_type, const char *answer,
			size_t len)
{
	size_t type_len = content_type ? strlen(content_type) : 0;

	r->answer_len = (uint32_t)len;
	if (type_len >= sizeof(r->content_type))
		type_len = sizeof(r->content_type) - 1;
	if (type_len)
		memcpy(r->content_type, content_type, type_len);
	if (!len || !answer || d->answer_bytes + len > d->max_answer_bytes)
		return;
	r->answer = malloc(len);
	if (!r->answer)
		return;
	memcpy(r->answer, answer, len);
	d->answer_bytes += len;
}

/*
 * Records how a request ended. An answer is kept while there is room; answer
 * may be NULL if it was streamed. That the request was answered is kept until
 * the key expires.
 */
void tr_dispatcher_finish(struct tr_dispatcher *d, uint32_t record,
			  enum tr_outcome outcome, int http_status,
			  const char *content_type, const char *answer,
			  size_t answer_len)
{
	struct tr_dispatch_record *r = &d->records[record];

	if (r->state != TR_DISPATCH_ADMITTED && r->state != TR_DISPATCH_SENT)
		return;
	r->http_status = http_status;
	if (outcome == TR_OUTCOME_ANSWERED) {
		r->state = TR_DISPATCH_ANSWERED;
		keep_answer(d, r, content_type, answer, answer_len);
	} else if (outcome == TR_OUTCOME_NOT_RUN) {
		r->state = TR_DISPATCH_NOT_RUN;
	} else {
		r->state = TR_DISPATCH_UNKNOWN;
	}
}

static void unlink_number(struct tr_dispatcher *d, uint32_t i)
{
	uint32_t *at = number_chain(d, d->records[i].number);

	while (*at != i)
		at = &d->records[*at].next;
	*at = d->records[i].next;
}

static void unlink_idempotency_key(struct tr_dispatcher *d, uint32_t i)
{
	uint32_t *at;

	if (!d->records[i].idempotency_key)
		return;
	at = idempotency_chain(d, d->records[i].idempotency_key);
	while (*at != i)
		at = &d->records[*at].next_by_idempotency_key;
	*at = d->records[i].next_by_idempotency_key;
}

static void free_record(struct tr_dispatcher *d, uint32_t i)
{
	struct tr_dispatch_record *r = &d->records[i];

	unlink_number(d, i);
	unlink_idempotency_key(d, i);
	if (r->answer)
		d->answer_bytes -= r->answer_len;
	free(r->answer);
	memset(r, 0, sizeof(*r));
	r->next = d->free_head;
	d->free_head = i;
	d->used--;
}

/*
 * Checks up to max_records rows and frees those of finished requests whose key
 * has expired. That is safe because tr_dispatcher_admit() refuses expired keys.
 */
void tr_dispatcher_sweep(struct tr_dispatcher *d, apr_time_t now,
			 uint32_t max_records)
{
	if (max_records > d->capacity)
		max_records = d->capacity;
	while (max_records--) {
		uint32_t i = d->sweep_index;
		const struct tr_dispatch_record *r = &d->records[i];

		d->sweep_index = (i + 1) % d->capacity;
		if (r->state == TR_DISPATCH_FREE ||
		    r->state == TR_DISPATCH_ADMITTED ||
		    r->state == TR_DISPATCH_SENT)
			continue;
		if (seconds_of(now) > r->expiry_s)
			free_record(d, i);
	}
}
