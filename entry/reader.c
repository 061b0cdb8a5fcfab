/*
 * Reads the platform's store. Two VMs watch it for all; any other reads only
 * when what it hears has grown old, the sooner the higher it stands in the
 * order of readers, so that one or two step in for a reader that is lost and
 * not the whole fleet at once.
 */
#include "reader.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "entry_settings.h"
#include "error.h"
#include "eventlog.h"
#include "mesh.h"
#include "spread.h"

/* How long a watch waits for a change before it is answered without. Changes
 * come at once; this bounds how old the list can be that a reader vouches for,
 * at the price of a call each: two readers make three a second. */
#define WATCH_WAIT TR_MSEC(400)
/* Between two watches. Targets that beat every second or two answer each watch
 * at once, so this is what decides how many calls there are: with 50 ms 24 a
 * second for both readers before 345 targets. What changes is known to all that
 * much later, a sixth of the two seconds that operators allow. */
#define PACE TR_MSEC(250)
/* The list is old when nobody has vouched for it for two waits. */
#define OLD TR_MSEC(1000)
/* What each VM before this one in the order adds to that. */
#define OLD_A_RANK TR_MSEC(120)
/* How long a VM waits at its start for another that has read, each by another
 * part, unless it is one of the seeds, by which all find each other: they read
 * at once. Of 442 VMs that start together the others then need no call; each
 * made 18, for 819 targets. */
#define START_WAIT_LEAST TR_MSEC(700)
#define START_WAIT_MS	 2000
/* How long at its start a VM leaves it to others that have what it lacks. */
#define START_LEFT TR_MSEC(3000)
/* How often a VM that does not read looks at whether it should. */
#define LOOK_EVERY TR_MSEC(100)
/* Answers take milliseconds, and in bad times some 60 times as long. */
#define TIMEOUT TR_MSEC(700)
/* After a failure; doubled up to the most, so that a store that is down is not
 * called by the whole fleet several times a second. */
#define RETRY_FIRST TR_MSEC(250)
#define RETRY_MOST  TR_MSEC(1500)
/* A reader whose watches bring no change lists everything again when its proof
 * of the configuration has used up this part of its time. */
#define PROOF_OLD 0.35
/* Failures in a row after which another VM should read. */
#define FAILURES_SAID 2

struct reader {
	struct entry *e;
	struct fetcher fetch;
	struct sockaddr_in store;
	bool listing;
	bool must_list;
	uint64_t list_as_of;
	GArray *records;
	char *list_after;
	apr_time_t next_at;
	apr_time_t asked_at;
	apr_time_t listed_at;
	apr_time_t retry;
	unsigned failures;
};

static struct tr_node *self(const struct reader *r)
{
	return &r->e->members.nodes[0];
}

static void failed(struct reader *r, const char *why, int status)
{
	r->e->counts.store_failures++;
	r->listing = false;
	r->retry = r->retry ? r->retry * 2 : RETRY_FIRST;
	if (r->retry > RETRY_MOST)
		r->retry = RETRY_MOST;
	r->next_at = entry_now(r->e) + r->retry / 2 +
		     tr_random_below(&r->e->random, (uint32_t)r->retry);
	if (++r->failures == FAILURES_SAID) {
		self(r)->cannot_read = true;
		eventlog(EVENT_BELIEF, "store-lost", "why=%s status=%d", why,
			 status);
	}
}

/*
 * What was asked for then is in force here. A watch that brought no change
 * proves nothing: one that the store has cut off from its changes looks just
 * so. Nor does an answer with a configuration that can't be read.
 */
static void prove(struct reader *r, apr_time_t asked_at, bool changed)
{
	struct entry *e = r->e;

	if (changed && e->routes && e->refused_revision <= e->routes->revision)
		tr_proof_renew(&e->proof, asked_at);
}

static void succeeded(struct reader *r, uint64_t as_of)
{
	struct entry *e = r->e;
	apr_time_t now = entry_now(e);

	if (self(r)->cannot_read)
		eventlog(EVENT_BELIEF, "store-regained",
			 "as_of=%" PRIu64 " failures=%u", as_of, r->failures);
	self(r)->cannot_read = false;
	r->failures = 0;
	r->retry = 0;
	r->next_at = now + PACE;
	/* The store's answer was true at some time after it was asked. */
	tr_roster_confirm(&e->roster, as_of, now - r->asked_at, now);
	mesh_broadcast_list(e->mesh);
}

static void take_items(struct reader *r, const struct store_page *page)
{
	for (guint i = 0; i < page->items->len; i++) {
		struct store_item *item =
			&g_array_index(page->items, struct store_item, i);
		struct tr_target_record record;

		if (entry_item(r->e, item, "store", &record) && r->listing)
			g_array_append_val(r->records, record);
	}
}

static void ask(struct reader *r);

static void took_list_page(struct reader *r, const struct store_page *page)
{
	struct entry *e = r->e;
	guint n = page->items->len;

	/* Pages are read one after the other, so the whole holds as of the
	 * first; the watch goes on from there. */
	if (!r->list_as_of)
		r->list_as_of = page->as_of;
	take_items(r, page);
	if (page->more && n) {
		g_free(r->list_after);
		r->list_after = g_strdup(
			g_array_index(page->items, struct store_item, n - 1)
				.key);
		ask(r);
		return;
	}
	tr_roster_drop_unlisted(
		&e->roster, (struct tr_target_record *)(void *)r->records->data,
		r->records->len, r->list_as_of, entry_now(e));
	r->listing = false;
	r->must_list = false;
	prove(r, r->listed_at, true);
	eventlog(EVENT_BELIEF, "list",
		 "targets=%u as_of=%" PRIu64 " from=store", r->records->len,
		 r->list_as_of);
	succeeded(r, r->list_as_of);
}

static void answered(void *ctx, const struct message *answer)
{
	struct reader *r = ctx;
	struct entry *e = r->e;
	struct tr_error err = { 0 };
	struct store_page page;
	int status = answer ? answer->parser.status_code : 0;

	if (answer && status == e->dialect->history_lost_status) {
		eventlog(EVENT_BELIEF, "history-lost", "as_of=%" PRIu64,
			 e->roster.as_of);
		r->must_list = true;
		r->next_at = entry_now(e);
		return;
	}
	if (status != 200) {
		failed(r, answer ? "status" : "no-answer", status);
		return;
	}
	store_page_init(&page);
	if (e->dialect->read_page((const char *)answer->body->data,
				  answer->body->len, &page, &err)) {
		eventlog(EVENT_FAILURE, "store-nonsense",
			 "field=%s value=\"%s\" expected=\"%s\"", err.field,
			 err.value, err.expected);
		failed(r, "nonsense", status);
	} else if (r->listing) {
		took_list_page(r, &page);
	} else {
		take_items(r, &page);
		prove(r, r->asked_at, page.items->len > 0);
		succeeded(r, page.as_of);
	}
	store_page_clear(&page);
}

/* Call for what is wanted next: a page of the list, or what has changed. */
static void ask(struct reader *r)
{
	struct entry *e = r->e;
	const struct dialect *d = e->dialect;
	g_autofree char *path =
		r->listing ? d->list_path(d->everything, r->list_after)
			   : d->watch_path(d->everything, e->roster.as_of,
					   WATCH_WAIT);

	e->counts.store_calls++;
	r->asked_at = entry_now(e);
	if (fetcher_get(&r->fetch, &r->store, path,
			TIMEOUT + (r->listing ? 0 : WATCH_WAIT), answered, r))
		failed(r, "unreached", 0);
}

static void begin_list(struct reader *r)
{
	r->listing = true;
	r->listed_at = entry_now(r->e);
	r->list_as_of = 0;
	g_free(r->list_after);
	r->list_after = NULL;
	g_array_set_size(r->records, 0);
	ask(r);
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

/* Nothing is known yet: wait for others, or read? */
static bool wanted_at_start(const struct reader *r, apr_time_t now)
{
	const struct entry *e = r->e;
	apr_time_t since = now - e->started_at;
	uint64_t drawn =
		tr_hash_pair(e->members.nodes[0].ip, e->members.nodes[0].boot);

	if (since >= START_LEFT || is_seed(e))
		return true;
	if (tr_spread_newest_revision(&e->members, TR_RESOURCE_LIST, now))
		return false;
	return since >= START_WAIT_LEAST + TR_MSEC(drawn % START_WAIT_MS);
}

static bool wanted(const struct reader *r, apr_time_t now)
{
	const struct entry *e = r->e;
	apr_time_t old = OLD;

	if (!e->roster.confirmed_at || !e->routes)
		return wanted_at_start(r, now);
	if (tr_membership_is_reader(&e->members, now))
		return true;
	if (entry_view_age(e) <= old)
		return false;
	old += tr_membership_read_rank(&e->members, now) * OLD_A_RANK;
	return entry_view_age(e) > old;
}

/* Do watches bring nothing that would prove the configuration? */
static bool lacks_proof(const struct entry *e, apr_time_t now)
{
	const struct entry_settings *s = e->settings;

	return s->bounds.fail_closed && e->routes->organisations &&
	       (double)tr_proof_age(&e->proof, now) >
		       PROOF_OLD * (double)s->key_proof_us;
}

/* Read when it is due; call every 50 ms or so. */
void reader_step(struct reader *r)
{
	const struct entry *e = r->e;
	apr_time_t now = entry_now(e);

	if (r->fetch.busy || now < r->next_at || e->leaving)
		return;
	if (!wanted(r, now)) {
		if (e->roster.confirmed_at && e->routes)
			r->next_at = now + LOOK_EVERY;
		return;
	}
	/* Changes can be followed only from a list that was whole. */
	if (!e->roster.as_of || !e->routes || r->must_list ||
	    lacks_proof(e, now))
		begin_list(r);
	else
		ask(r);
}

/* The settings have changed. */
void reader_reload(struct reader *r)
{
	stream_parse_address(r->e->settings->store, &r->store);
}

/* This process stood still: whatever was asked before is void. */
void reader_reset(struct reader *r)
{
	fetcher_cancel(&r->fetch);
	r->listing = false;
	r->next_at = 0;
}

struct reader *reader_new(struct entry *e)
{
	struct reader *r = calloc(1, sizeof(*r));

	r->e = e;
	r->records = g_array_new(FALSE, FALSE, sizeof(struct tr_target_record));
	stream_parse_address(e->settings->store, &r->store);
	fetcher_init(&r->fetch, e->loop, e->settings->ip);
	return r;
}

void reader_free(struct reader *r)
{
	if (!r)
		return;
	fetcher_release(&r->fetch);
	g_array_free(r->records, TRUE);
	g_free(r->list_after);
	free(r);
}
