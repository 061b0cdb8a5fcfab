/*
 * Reads the platform's store, when it is this VM's turn; see lib/reading.c.
 */
#include "reader.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "entry_settings.h"
#include "error.h"
#include "eventlog.h"
#include "mesh.h"
#include "reading.h"
#include "revision.h"
#include "spread.h"

/* Timeout of a watch that sees no change. Changes are returned at once; the
 * timeout bounds the age of the list that a reader confirms, at the price of
 * one call each time: two readers make three calls a second. */
#define WATCH_WAIT TR_MSEC(400)
/* Pause between two watches. Targets that renew their records every second or
 * two end each watch at once, so the pause determines the number of calls: with
 * 50 ms, two readers made 24 calls a second for 345 targets. It delays changes
 * by a sixth of the two seconds that operators allow. */
#define WATCH_INTERVAL TR_MSEC(250)
/* After its start a VM waits this long for another one that has read the store;
 * VMs wait different times. Seeds, by which all VMs find each other, read at
 * once. When 442 VMs start together, the others then need no call; without the
 * wait each made 18, for 819 targets. */
#define START_WAIT_MIN	     TR_MSEC(700)
#define START_WAIT_SPREAD_MS 2000
/* After this time a VM reads the store even though other VMs have what it
 * lacks. */
#define START_WAIT_MAX TR_MSEC(3000)
/* How often a VM that does not read checks whether it should. */
#define CHECK_INTERVAL TR_MSEC(100)
/* Answers take milliseconds, under bad conditions some 60 times as long. */
#define TIMEOUT TR_MSEC(700)
/* A reader whose watches return no changes lists all keys again when the proof
 * of its configuration has used up this share of its lifetime. */
#define PROOF_RENEW_SHARE 0.35

struct reader {
	struct entry *e;
	struct fetcher fetch;
	struct sockaddr_in store;
	bool listing;
	bool needs_listing;
	uint64_t watch_after; /* revision after which the watch began */
	/* Revision up to which the targets were known when it began. */
	uint64_t targets_known;
	uint64_t list_as_of; /* revision of the list's first page, or 0 */
	GArray *records;
	char *list_cursor; /* last key of the previous page */
	apr_time_t next_at;
	apr_time_t sent_at;
	apr_time_t listing_started_at;
	struct tr_reading state;
	bool reading; /* this VM reads the store at present */
};

static struct tr_node *self(const struct reader *r)
{
	return &r->e->members.nodes[0];
}

static void handle_failure(struct reader *r, const char *why, int status)
{
	struct entry *e = r->e;
	bool could_read = !self(r)->cannot_read;
	apr_time_t now = entry_now(e);

	e->counts.store_failures++;
	r->listing = false;
	r->next_at = now + tr_reading_fail(&r->state, &e->members, &e->random,
					   r->sent_at, now);
	if (reader_sees_outage(r))
		mesh_schedule_report(e->mesh);
	if (could_read && self(r)->cannot_read)
		eventlog(EVENT_STATE, "store-lost", "why=%s status=%d", why,
			 status);
}

/*
 * Records that the configuration in force here was current at sent_at. A watch
 * without changes proves nothing, since a store that is cut off from its own
 * updates answers the same way; nor does an answer whose configuration is
 * invalid, or older than the one in force: the store has lost some.
 */
static void renew_proof(struct reader *r, apr_time_t sent_at, bool changed)
{
	struct entry *e = r->e;

	if (changed && e->routes && !entry_store_lacks_routes(e))
		tr_proof_renew(&e->proof, sent_at);
}

static void handle_success(struct reader *r, uint64_t as_of)
{
	struct entry *e = r->e;
	apr_time_t now = entry_now(e);

	if (self(r)->cannot_read)
		eventlog(EVENT_STATE, "store-regained",
			 "as_of=%" PRIu64 " era=%ld failures=%u",
			 tr_revision_number(as_of), entry_era_number(as_of),
			 r->state.failures.count);
	tr_reading_succeed(&r->state, &e->members);
	r->next_at = now + WATCH_INTERVAL;
	/* The answer reflects the store at some time after the request. */
	tr_roster_confirm(&e->roster, as_of, now - r->sent_at, now);
	tr_routes_view_advance(&e->routes_view, as_of);
	mesh_broadcast_list(e->mesh);
}

/* Returns whether the item tells of a target what this VM knew when it asked. A
 * watch that lacks a configuration returns such changes too. */
static bool was_known(const struct reader *r, const struct store_item *item)
{
	return !r->listing && item->revision <= r->targets_known &&
	       !r->e->dialect->is_routes_key(item->key);
}

static void apply_items(struct reader *r, const struct store_page *page)
{
	for (guint i = 0; i < page->items->len; i++) {
		struct store_item *item =
			&g_array_index(page->items, struct store_item, i);
		struct tr_target_record record;

		if (was_known(r, item))
			continue;
		if (entry_apply_item(r->e, item, "store", &record) &&
		    r->listing)
			g_array_append_val(r->records, record);
	}
}

static void send_request(struct reader *r);

static void handle_list_page(struct reader *r, const struct store_page *page)
{
	struct entry *e = r->e;
	guint n = page->items->len;

	/* Pages are read one after the other, so the list as a whole is valid
	 * as of the first page; the watch continues from there. */
	if (!r->list_as_of) {
		r->list_as_of = page->as_of;
		entry_enter_era(e, page->as_of, page->as_of, "store");
	}
	apply_items(r, page);
	if (page->has_more && n) {
		g_free(r->list_cursor);
		r->list_cursor = g_strdup(
			g_array_index(page->items, struct store_item, n - 1)
				.key);
		send_request(r);
		return;
	}
	tr_roster_drop_unlisted(
		&e->roster, (struct tr_target_record *)(void *)r->records->data,
		r->records->len, r->list_as_of, entry_now(e));
	r->listing = false;
	r->needs_listing = false;
	renew_proof(r, r->listing_started_at, true);
	eventlog(EVENT_STATE, "list",
		 "targets=%u as_of=%" PRIu64 " era=%ld from=store",
		 r->records->len, tr_revision_number(r->list_as_of),
		 entry_era_number(r->list_as_of));
	handle_success(r, r->list_as_of);
}

/* Returns the era of an answer. One that names none, or nonsense, counts as of
 * the era that is known. */
static uint32_t era_of(struct reader *r, const struct message *answer)
{
	struct entry *e = r->e;
	struct tr_error err = { 0 };
	uint32_t era;

	if (e->dialect->parse_era(answer, &era, &err))
		entry_log_refusal(e, "store-era-invalid",
				  "value=\"%s\" expected=\"%s\"", err.value,
				  err.expected);
	return era ? era : e->roster.era;
}

/* Reads the whole list next, and drops what was read of one. */
static void list_next(struct reader *r)
{
	r->listing = false;
	r->needs_listing = true;
	r->next_at = entry_now(r->e);
}

bool reader_sees_outage(const struct reader *r)
{
	return r && tr_reading_sees_outage(&r->state, &r->e->roster);
}

/* Notes an answer, which may end an interruption. A VM that was suspended does
 * not know of one. */
static void note_answer(struct reader *r, apr_time_t now)
{
	struct entry *e = r->e;
	long view_age_ms = (long)(entry_view_age(e) / 1000);

	if (now < e->hold_until ||
	    !tr_reading_may_end_interruption(&r->state, &e->roster, &e->members,
					     now) ||
	    !tr_roster_note_answer(&e->roster, r->sent_at, now))
		return;
	eventlog(EVENT_STATE, "interruption-ends",
		 "view_age_ms=%ld failures=%u last_failure_ms=%ld", view_age_ms,
		 r->state.failures.count,
		 r->state.failed_at ? (long)((now - r->state.failed_at) / 1000)
				    : -1);
}

/* Returns whether the page tells of a change after what the fleet knew when
 * this VM asked. */
static bool has_news(const struct reader *r, const struct store_page *page)
{
	for (guint i = 0; i < page->items->len; i++)
		if (g_array_index(page->items, struct store_item, i).revision >
		    r->targets_known)
			return true;
	return false;
}

static void handle_page(struct reader *r, struct store_page *page, uint32_t era)
{
	uint64_t known = r->listing ? r->list_as_of : r->watch_after;
	apr_time_t now = entry_now(r->e);

	store_page_set_era(page, era);
	note_answer(r, now);
	/* Changes, or a further page of a list, of another era than what they
	 * continue: the store has returned from a copy in between. */
	if (known && era != tr_revision_era(known)) {
		list_next(r);
	} else if (r->listing) {
		handle_list_page(r, page);
	} else {
		apply_items(r, page);
		renew_proof(r, r->sent_at, has_news(r, page));
		handle_success(r, page->as_of);
	}
}

static void handle_answer(void *ctx, const struct message *answer)
{
	struct reader *r = ctx;
	struct entry *e = r->e;
	struct tr_error err = { 0 };
	struct store_page page;
	int status = answer ? answer->parser.status_code : 0;
	uint32_t era = answer ? era_of(r, answer) : e->roster.era;

	if (era < e->roster.era) {
		handle_failure(r, "former-era", status);
		return;
	}
	if (answer && status == e->dialect->history_lost_status) {
		eventlog(EVENT_STATE, "history-lost",
			 "as_of=%" PRIu64 " era=%ld",
			 tr_revision_number(e->roster.as_of),
			 entry_era_number(e->roster.as_of));
		list_next(r);
		return;
	}
	if (status != 200) {
		handle_failure(r, answer ? "status" : "no-answer", status);
		return;
	}
	store_page_init(&page);
	if (e->dialect->parse_page((const char *)answer->body->data,
				   answer->body->len, &page, &err)) {
		eventlog(EVENT_FAILURE, "store-nonsense",
			 "field=%s value=\"%s\" expected=\"%s\"", err.field,
			 err.value, err.expected);
		handle_failure(r, "nonsense", status);
	} else {
		handle_page(r, &page, era);
	}
	store_page_clear(&page);
}

/* Requests the next page of the list, or the changes since the last answer. */
static void send_request(struct reader *r)
{
	struct entry *e = r->e;
	const struct dialect *d = e->dialect;
	g_autofree char *path = NULL;

	r->watch_after =
		tr_routes_view_watch_after(&e->routes_view, &e->roster);
	r->targets_known = e->roster.as_of;
	path = r->listing ? d->list_path(d->root_prefix, r->list_cursor)
			  : d->watch_path(d->root_prefix,
					  tr_revision_number(r->watch_after),
					  WATCH_WAIT);
	e->counts.store_calls++;
	r->sent_at = entry_now(e);
	if (fetcher_get(&r->fetch, &r->store, path,
			TIMEOUT + (r->listing ? 0 : WATCH_WAIT), handle_answer,
			r))
		handle_failure(r, "unreached", 0);
}

static void start_listing(struct reader *r)
{
	r->listing = true;
	r->listing_started_at = entry_now(r->e);
	r->list_as_of = 0;
	g_free(r->list_cursor);
	r->list_cursor = NULL;
	g_array_set_size(r->records, 0);
	send_request(r);
}

static bool is_seed(const struct entry *e)
{
	const struct entry_settings *s = e->settings;
	struct sockaddr_in seed;

	for (unsigned i = 0; i < s->seeds_count; i++)
		if (!stream_parse_address(s->seeds[i], &seed) &&
		    seed.sin_addr.s_addr == e->members.nodes[0].ip)
			return true;
	return false;
}

/* Whether to read although nothing is known yet, rather than to wait for other
 * VMs. */
static bool should_read_at_start(const struct reader *r, apr_time_t now)
{
	const struct entry *e = r->e;
	apr_time_t since = now - e->started_at;
	uint64_t hash =
		tr_hash_pair(e->members.nodes[0].ip, e->members.nodes[0].boot);

	if (since >= START_WAIT_MAX || is_seed(e))
		return true;
	if (tr_spread_newest_revision(&e->members, TR_RESOURCE_LIST, now))
		return false;
	return since >= START_WAIT_MIN + TR_MSEC(hash % START_WAIT_SPREAD_MS);
}

static bool should_read(const struct reader *r, apr_time_t now)
{
	const struct entry *e = r->e;

	if (!e->roster.confirmed_at || !e->routes)
		return should_read_at_start(r, now);
	return tr_reading_is_due(&r->state, &e->roster, &e->members, now);
}

/* Whether the configuration needs a new proof, which watches without changes
 * don't give. */
static bool needs_proof(const struct entry *e, apr_time_t now)
{
	const struct entry_settings *s = e->settings;

	return s->bounds.fail_closed && e->routes->organisations &&
	       (double)tr_proof_age(&e->proof, now) >
		       PROOF_RENEW_SHARE * (double)s->key_proof_us;
}

/* Logged when this VM begins or ceases to read the store: where its watch
 * continues, and what it has in hand. */
static void set_reading(struct reader *r, bool reading)
{
	const struct entry *e = r->e;

	if (reading == r->reading)
		return;
	r->reading = reading;
	eventlog(EVENT_STATE, reading ? "reading-begins" : "reading-ends",
		 "as_of=%" PRIu64 " era=%ld watch_after=%" PRIu64
		 " view_age_ms=%ld routes_version=%" PRIu64
		 " routes_revision=%" PRIu64 " failures=%u",
		 tr_revision_number(e->roster.as_of),
		 entry_era_number(e->roster.as_of),
		 tr_revision_number(tr_routes_view_watch_after(&e->routes_view,
							       &e->roster)),
		 e->roster.confirmed_at ? (long)(entry_view_age(e) / 1000) : -1,
		 e->routes ? e->routes->version : 0,
		 e->routes ? tr_revision_number(e->routes->revision) : 0,
		 r->state.failures.count);
}

/* Reads when it is due. To be called every 50 ms or so. */
void reader_step(struct reader *r)
{
	const struct entry *e = r->e;
	apr_time_t now = entry_now(e);

	if (r->fetch.busy || now < r->next_at || entry_is_leaving(e))
		return;
	if (!should_read(r, now)) {
		set_reading(r, false);
		tr_reading_stop(&r->state, &e->roster);
		if (e->roster.confirmed_at && e->routes)
			r->next_at = now + CHECK_INTERVAL;
		return;
	}
	set_reading(r, true);
	/* A watch needs a complete list to start from. */
	if (!tr_routes_view_watch_after(&e->routes_view, &e->roster) ||
	    !e->routes || r->needs_listing || needs_proof(e, now))
		start_listing(r);
	else
		send_request(r);
}

/* Applies changed settings. */
void reader_reload(struct reader *r)
{
	stream_parse_address(r->e->settings->store, &r->store);
}

/* To be called after the process was suspended: drops the pending request,
 * whose answer is out of date. */
void reader_reset(struct reader *r)
{
	fetcher_cancel(&r->fetch);
	tr_reading_forget(&r->state);
	r->listing = false;
	r->next_at = 0;
}

struct reader *reader_new(struct entry *e)
{
	struct reader *r = calloc(1, sizeof(*r));

	r->e = e;
	r->records = g_array_new(FALSE, FALSE, sizeof(struct tr_target_record));
	stream_parse_address(e->settings->store, &r->store);
	fetcher_init(&r->fetch, e->loop, e->settings->ip, &e->buffers);
	return r;
}

void reader_free(struct reader *r)
{
	if (!r)
		return;
	fetcher_release(&r->fetch);
	g_array_free(r->records, TRUE);
	g_free(r->list_cursor);
	free(r);
}
