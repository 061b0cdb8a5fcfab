#include "dispatch.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "hash.h"

static uint32_t now_s(apr_time_t now)
{
	return (uint32_t)(now / APR_USEC_PER_SEC);
}

static uint32_t *number_chain(const struct tr_dispatcher *d, uint64_t number)
{
	return &d->by_number[number % d->capacity];
}

static uint32_t *own_chain(const struct tr_dispatcher *d, uint64_t own_key)
{
	return &d->by_own_key[own_key % d->capacity];
}

/*
 * Set up a table for capacity requests, whose keys live lifetime_s seconds,
 * and which keeps up to answer_bytes_max bytes of answers. 0 or -1.
 */
int tr_dispatcher_init(struct tr_dispatcher *d, const struct tr_boot *boot,
		       const struct tr_secret *secret, uint32_t capacity,
		       uint32_t lifetime_s, size_t answer_bytes_max)
{
	memset(d, 0, sizeof(*d));
	d->boot = *boot;
	d->secret = secret;
	d->capacity = capacity;
	d->lifetime_s = lifetime_s;
	d->answer_bytes_max = answer_bytes_max;
	d->by_number = calloc(capacity, sizeof(*d->by_number));
	d->by_own_key = calloc(capacity, sizeof(*d->by_own_key));
	d->records = calloc(capacity, sizeof(*d->records));
	if (!d->by_number || !d->by_own_key || !d->records) {
		tr_dispatcher_release(d);
		return -1;
	}
	for (uint32_t i = 0; i < capacity; i++) {
		d->by_number[i] = TR_NO_RECORD;
		d->by_own_key[i] = TR_NO_RECORD;
		d->records[i].next = i + 1 < capacity ? i + 1 : TR_NO_RECORD;
	}
	return 0;
}

void tr_dispatcher_release(struct tr_dispatcher *d)
{
	for (uint32_t i = 0; d->records && i < d->capacity; i++)
		free(d->records[i].answer);
	free(d->by_number);
	free(d->by_own_key);
	free(d->records);
	memset(d, 0, sizeof(*d));
}

/* Mint a key for a service. Costs no memory until it is used. */
void tr_dispatcher_mint(struct tr_dispatcher *d, uint64_t service,
			apr_time_t now, char text[TR_KEY_TEXT])
{
	struct tr_key key = {
		.boot = d->boot,
		.number = ++d->next_number,
		.service = service,
		.expiry_s = now_s(now) + d->lifetime_s,
		.address = d->address,
		.port = d->port,
	};

	tr_key_write(&key, d->secret, text);
}

static uint32_t find_number(const struct tr_dispatcher *d, uint64_t number)
{
	uint32_t i = *number_chain(d, number);

	while (i != TR_NO_RECORD && d->records[i].number != number)
		i = d->records[i].next;
	return i;
}

static uint32_t find_own(const struct tr_dispatcher *d, uint64_t own_key)
{
	uint32_t i = own_key ? *own_chain(d, own_key) : TR_NO_RECORD;

	while (i != TR_NO_RECORD && d->records[i].own_key != own_key)
		i = d->records[i].next_own;
	return i;
}

static uint32_t add_record(struct tr_dispatcher *d, const struct tr_key *key,
			   uint64_t fingerprint, uint64_t own_key)
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
	r->own_key = own_key;
	r->expiry_s = key->expiry_s;
	r->state = TR_DISPATCH_ADMITTED;
	r->next = *chain;
	*chain = i;
	r->next_own = TR_NO_RECORD;
	if (own_key) {
		r->next_own = *own_chain(d, own_key);
		*own_chain(d, own_key) = i;
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
 * May a request with this key be sent on now? TR_OK: yes, and *record is its
 * record, to be given to _sent and _finish. TR_ANSWERED: it ran, *record
 * holds the answer. Any other code is final for this call.
 *
 * What goes wrong without it: a caller that times out sends the same purchase
 * again, and the saver's wallet is drawn twice. One sees it as two runs of one
 * number in the targets' ledgers. Only the process named by the key passes
 * the first check, and it sends one number at most once.
 */
enum tr_result tr_dispatcher_admit(struct tr_dispatcher *d,
				   const struct tr_key *key, uint64_t service,
				   uint64_t fingerprint, uint64_t own_key,
				   apr_time_t now, uint32_t *record)
{
	uint32_t i;

	*record = TR_NO_RECORD;
	if (key->service != service)
		return TR_KEY_MALFORMED;
	if (memcmp(key->boot.id, d->boot.id, TR_BOOT_SIZE))
		return TR_KEY_DEAD;
	if (now_s(now) > key->expiry_s)
		return TR_KEY_EXPIRED;
	i = find_number(d, key->number);
	if (i == TR_NO_RECORD)
		i = find_own(d, own_key);
	if (i != TR_NO_RECORD) {
		*record = i;
		return admit_known(&d->records[i], fingerprint);
	}
	i = add_record(d, key, fingerprint, own_key);
	if (i == TR_NO_RECORD)
		return TR_KEYS_FULL;
	*record = i;
	return TR_OK;
}

/*
 * Say, before the first byte leaves, that the request is being sent: from
 * here on only an answer or a proof of not-run clears it.
 */
void tr_dispatcher_sent(struct tr_dispatcher *d, uint32_t record)
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
	if (!len || !answer || d->answer_bytes + len > d->answer_bytes_max)
		return;
	r->answer = malloc(len);
	if (!r->answer)
		return;
	memcpy(r->answer, answer, len);
	d->answer_bytes += len;
}

/*
 * Record how a request ended. With ANSWERED the answer is kept while there is
 * room (answer may be NULL if it was streamed through); the fact is always
 * kept until the key expires.
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

static void unlink_own(struct tr_dispatcher *d, uint32_t i)
{
	uint32_t *at;

	if (!d->records[i].own_key)
		return;
	at = own_chain(d, d->records[i].own_key);
	while (*at != i)
		at = &d->records[*at].next_own;
	*at = d->records[i].next_own;
}

static void forget(struct tr_dispatcher *d, uint32_t i)
{
	struct tr_dispatch_record *r = &d->records[i];

	unlink_number(d, i);
	unlink_own(d, i);
	if (r->answer)
		d->answer_bytes -= r->answer_len;
	free(r->answer);
	memset(r, 0, sizeof(*r));
	r->next = d->free_head;
	d->free_head = i;
	d->used--;
}

/*
 * Look at up to most records and forget those whose key has expired. A key
 * past its expiry is refused by _admit, so forgetting it is safe.
 */
void tr_dispatcher_sweep(struct tr_dispatcher *d, apr_time_t now, uint32_t most)
{
	if (most > d->capacity)
		most = d->capacity;
	while (most--) {
		uint32_t i = d->sweep_at;
		const struct tr_dispatch_record *r = &d->records[i];

		d->sweep_at = (i + 1) % d->capacity;
		if (r->state == TR_DISPATCH_FREE ||
		    r->state == TR_DISPATCH_ADMITTED ||
		    r->state == TR_DISPATCH_SENT)
			continue;
		if (now_s(now) > r->expiry_s)
			forget(d, i);
	}
}
