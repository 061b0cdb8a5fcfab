/*
 * Distribution of a configuration, or of the first target list, to every VM.
 * Each VM fetches it from a VM of its group that has it, and then serves it to
 * others, so that the number of sources grows about fivefold with each round.
 * While there are few sources only some VMs, chosen by hash, may fetch, so that
 * no source gets requests from all VMs at once; only three VMs fetch from
 * another group. A source sends no more copies at a time than its link can
 * carry and refuses further requests.
 *
 * Failure that this prevents: two VMs read the platform, and 94 others request
 * 127 kB from both. The copies share the link, none is complete when the
 * requests time out, the VMs ask again, and the abandoned copies fill the link:
 * 44 MB were queued in nine seconds on links of 10 to 200 Mbit/s, not one copy
 * arrived, and the readers lost the store behind their own replies. The symptom
 * is a fleet whose revision lags behind that of its readers. With 442 VMs all
 * of them asked the one that had it first; while configurations came in quick
 * succession, two VMs were still two revisions behind 3 s after one was
 * accepted.
 */
#include "spread.h"

#include <string.h>

#include "clock.h"

/*
 * Random delay of the first request, so that a source does not get requests
 * from all VMs in the same millisecond.
 */
#define INITIAL_JITTER_MS 20
/*
 * VMs that may fetch for each reachable source: four copies of 20 kB take 64 ms
 * on the slowest link, 10 Mbit/s.
 */
#define FETCHERS_PER_SOURCE 4
/*
 * VMs of a group that fetch from another group while no VM of their own group
 * has the revision, and how long the other VMs wait for them: the time of
 * several requests.
 */
#define FETCHERS_REMOTE 3
#define DEFER_MAX	TR_MSEC(400)
/*
 * Delay between two requests. The message by which a new source announces
 * itself takes 50 ms in a fleet of 100 VMs, so another source is known by then.
 */
#define REFETCH_MIN	  TR_MSEC(30)
#define REFETCH_JITTER_MS 90
/*
 * How far ahead the link may be booked for copies. Callers' requests and
 * answers queue behind it; this is an eighth of a short latency aim.
 */
#define LINK_BACKLOG_MAX TR_MSEC(80)

/* Returns the newest revision that a live VM reports. */
uint64_t tr_spread_newest_revision(const struct tr_membership *m,
				   enum tr_resource what, apr_time_t now)
{
	uint64_t newest = 0;

	for (unsigned i = 1; i < m->count; i++)
		if (m->nodes[i].held[what] > newest &&
		    tr_node_alive(m, &m->nodes[i], now))
			newest = m->nodes[i].held[what];
	return newest;
}

static bool is_source(const struct tr_spread *s, const struct tr_membership *m,
		      const struct tr_node *node, uint64_t revision,
		      apr_time_t now)
{
	return node->held[s->what] >= revision && tr_node_alive(m, node, now) &&
	       !node->leaving;
}

/* Returns the newest revision that a VM of this group can serve. */
static uint64_t newest_in_group(const struct tr_spread *s,
				const struct tr_membership *m, apr_time_t now)
{
	uint64_t newest = 0;

	for (unsigned i = 1; i < m->count; i++) {
		const struct tr_node *node = &m->nodes[i];

		if (node->near && node->held[s->what] > newest &&
		    is_source(s, m, node, newest + 1, now))
			newest = node->held[s->what];
	}
	return newest;
}

/*
 * Whether this VM may fetch the revision now or leaves it to others. The VMs
 * that may are chosen by hash, differently for each revision.
 */
static bool may_fetch(const struct tr_spread *s, const struct tr_membership *m,
		      uint64_t revision, bool near, apr_time_t now)
{
	uint64_t own_hash = tr_hash_pair(m->nodes[0].ip, revision);
	unsigned earlier = 0;
	unsigned sources = 0;

	if (now - s->outdated_since >= DEFER_MAX)
		return true;
	for (unsigned i = 1; i < m->count; i++) {
		const struct tr_node *node = &m->nodes[i];

		if (!node->near || !tr_node_alive(m, node, now))
			continue;
		if (node->held[s->what] >= revision)
			sources++;
		else
			earlier += tr_hash_pair(node->ip, revision) < own_hash;
	}
	return earlier <
	       (near ? FETCHERS_PER_SOURCE * sources : FETCHERS_REMOTE);
}

/* VMs that were heard recently are preferred: the others may be lost, and a
 * request to such a one takes until its timeout. After that those in this VM's
 * data centre are, since traffic between data centres is expensive. */
static int preference(const struct tr_membership *m, const struct tr_node *node,
		      apr_time_t now)
{
	return 2 * tr_node_heard_recently(m, node, now) + node->here;
}

/* Draws a random source of the revision, inside or outside of this group. */
static const struct tr_node *
draw_source(const struct tr_spread *s, const struct tr_membership *m,
	    uint64_t revision, bool near, uint32_t except,
	    struct tr_random *random, apr_time_t now)
{
	const struct tr_node *found = NULL;
	unsigned seen = 0;
	int best = -1;

	for (unsigned i = 1; i < m->count; i++) {
		const struct tr_node *node = &m->nodes[i];
		int preferred = preference(m, node, now);

		if (node->ip == except || node->near != near ||
		    !is_source(s, m, node, revision, now) || preferred < best)
			continue;
		if (preferred > best)
			seen = 0;
		best = preferred;
		if (!tr_random_below(random, ++seen))
			found = node;
	}
	return found;
}

/*
 * Returns the VM to fetch from now to get a revision newer than held, or NULL
 * if there is none or it is too early. refused is a revision that could not be
 * read. An older revision inside the group is preferred to the newest one in
 * another group: while configurations change every tenth of a second, the
 * newest one is always elsewhere.
 */
const struct tr_node *tr_spread_choose_source(struct tr_spread *s,
					      const struct tr_membership *m,
					      uint64_t held, uint64_t refused,
					      struct tr_random *random,
					      apr_time_t now)
{
	uint64_t newest = tr_spread_newest_revision(m, s->what, now);
	const struct tr_node *source;
	bool near;

	if (newest <= held || newest <= refused)
		return NULL;
	if (s->newest_seen <= held)
		s->next_request_at =
			now +
			TR_MSEC(tr_random_below(random, INITIAL_JITTER_MS));
	if (s->newest_seen <= held || s->last_held != held)
		s->outdated_since = now;
	s->last_held = held;
	s->newest_seen = newest;
	if (now < s->next_request_at)
		return NULL;
	near = newest_in_group(s, m, now) > held;
	if (near)
		newest = newest_in_group(s, m, now);
	if (newest <= refused || !may_fetch(s, m, newest, near, now))
		return NULL;
	source = draw_source(s, m, newest, near, s->refused_by, random, now);
	if (!source)
		source = draw_source(s, m, newest, near, 0, random, now);
	s->refused_by = 0;
	return source;
}

/* Returns whether a request to the VM with that address, which hasn't answered
 * yet, should be given up: it has fallen silent, and another VM that hasn't
 * serves a revision newer than held. */
bool tr_spread_should_abandon(const struct tr_spread *s,
			      const struct tr_membership *m, uint32_t source,
			      uint64_t held, apr_time_t now)
{
	if (tr_membership_hears(m, source, now))
		return false;
	for (unsigned i = 1; i < m->count; i++)
		if (is_source(s, m, &m->nodes[i], held + 1, now) &&
		    tr_node_heard_recently(m, &m->nodes[i], now))
			return true;
	return false;
}

/* The source sent nothing: retry with another one after a delay. */
void tr_spread_failed(struct tr_spread *s, uint32_t source,
		      struct tr_random *random, apr_time_t now)
{
	s->refused_by = source;
	s->next_request_at =
		now + REFETCH_MIN +
		TR_MSEC(tr_random_below(random, REFETCH_JITTER_MS));
}

/*
 * Whether a copy of this size may be sent now. If so, its transmission time is
 * booked on the link.
 */
bool tr_spread_link_reserve(struct tr_spread_link *link, size_t bytes,
			    apr_time_t now)
{
	if (link->busy_until < now)
		link->busy_until = now;
	if (link->busy_until - now > LINK_BACKLOG_MAX)
		return false;
	link->busy_until +=
		(apr_time_t)((double)bytes * 1e6 / link->bytes_a_second);
	return true;
}
