/*
 * How a configuration, or the first list of targets, reaches every VM: each
 * asks one of its group that has it, and one that has got it is asked in its
 * turn, so that the number of holders grows fivefold with each round. While
 * holders are few only some ask, drawn by hash, so that no holder hears from
 * all at once; of another group only three ask. A holder gives no more copies
 * at a time than its link carries at once and turns the others away.
 *
 * What goes wrong without it: two VMs read the platform and 94 ask both for
 * 127 kB each. Copies share the link, none is whole when the askers' patience
 * ends, they ask again, and the copies nobody waits for take the link: 44 MB
 * were queued in nine seconds on links of 10 to 200 Mbit/s, not one copy
 * arrived, and the readers lost the store behind their own answers. One would
 * notice by a fleet whose revision stays behind that of its readers. Of 442 VMs
 * all asked the one that had it first; while configurations came in quick
 * succession two still went by the last but two 3 s after it was accepted.
 */
#include "spread.h"

#include <string.h>

#include "clock.h"

/* How long the askers wait at first, each by another part, so that a holder
 * does not hear from all of them within the same millisecond. */
#define FIRST_WAIT_MS 20
/* VMs that may ask for each holder in reach: four copies of 20 kB take 64 ms on
 * the thinnest link, 10 Mbit/s. */
#define ASKERS_A_HOLDER 4
/* VMs of a group that ask another group, while nobody of their own has it; and
 * how long the others leave it to them: some questions' time. */
#define ASKERS_AWAY  3
#define LEFT_TO_THEM TR_MSEC(400)
/* Between two questions: a message by which a new holder names itself takes
 * 50 ms in a fleet of 100 VMs, so there is another to ask by then. */
#define AGAIN_LEAST TR_MSEC(30)
#define AGAIN_MS    90
/* Copies that are promised may fill the link for so long. What callers send and
 * get waits behind it; an eighth of a short latency aim. */
#define LINK_AHEAD TR_MSEC(80)

/* The newest that a VM in reach says it has. */
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

static bool is_holder(const struct tr_spread *s, const struct tr_membership *m,
		      const struct tr_node *node, uint64_t revision,
		      apr_time_t now)
{
	return node->held[s->what] >= revision && tr_node_alive(m, node, now) &&
	       !node->leaving;
}

/* The newest that a VM of this group has. */
static uint64_t newest_near(const struct tr_spread *s,
			    const struct tr_membership *m, apr_time_t now)
{
	uint64_t newest = 0;

	for (unsigned i = 1; i < m->count; i++) {
		const struct tr_node *node = &m->nodes[i];

		if (node->near && node->held[s->what] > newest &&
		    is_holder(s, m, node, newest + 1, now))
			newest = node->held[s->what];
	}
	return newest;
}

/*
 * May this VM ask, or is it left to others? They are drawn by hash, others for
 * each revision.
 */
static bool may_ask(const struct tr_spread *s, const struct tr_membership *m,
		    uint64_t revision, bool near, apr_time_t now)
{
	uint64_t mine = tr_hash_pair(m->nodes[0].ip, revision);
	unsigned before = 0;
	unsigned holders = 0;

	if (now - s->lacking_since >= LEFT_TO_THEM)
		return true;
	for (unsigned i = 1; i < m->count; i++) {
		const struct tr_node *node = &m->nodes[i];

		if (!node->near || !tr_node_alive(m, node, now))
			continue;
		if (node->held[s->what] >= revision)
			holders++;
		else
			before += tr_hash_pair(node->ip, revision) < mine;
	}
	return before < (near ? ASKERS_A_HOLDER * holders : ASKERS_AWAY);
}

/* Draw one of those that have the revision, near ones or others; of the own
 * data centre, if there is one: bytes between data centres are dear. */
static const struct tr_node *draw(const struct tr_spread *s,
				  const struct tr_membership *m,
				  uint64_t revision, bool near, uint32_t but,
				  struct tr_random *random, apr_time_t now)
{
	const struct tr_node *found = NULL;
	unsigned seen = 0;

	for (unsigned i = 1; i < m->count; i++) {
		const struct tr_node *node = &m->nodes[i];

		if (node->ip == but || node->near != near ||
		    !is_holder(s, m, node, revision, now) ||
		    (found && found->here && !node->here))
			continue;
		if (found && node->here && !found->here)
			seen = 0;
		if (!tr_random_below(random, ++seen))
			found = node;
	}
	return found;
}

/*
 * Whom to ask now for what is newer than the revision held; NULL when there is
 * none or it is not yet time. refused is a revision that could not be read. An
 * older one that is near goes before the newest of another group: while
 * configurations come every tenth of a second the newest is always elsewhere.
 */
const struct tr_node *tr_spread_choose_source(struct tr_spread *s,
					      const struct tr_membership *m,
					      uint64_t held, uint64_t refused,
					      struct tr_random *random,
					      apr_time_t now)
{
	uint64_t newest = tr_spread_newest_revision(m, s->what, now);
	const struct tr_node *holder;
	bool near;

	if (newest <= held || newest <= refused)
		return NULL;
	if (s->wanted <= held)
		s->ask_at =
			now + TR_MSEC(tr_random_below(random, FIRST_WAIT_MS));
	if (s->wanted <= held || s->held_before != held)
		s->lacking_since = now;
	s->held_before = held;
	s->wanted = newest;
	if (now < s->ask_at)
		return NULL;
	near = newest_near(s, m, now) > held;
	if (near)
		newest = newest_near(s, m, now);
	if (newest <= refused || !may_ask(s, m, newest, near, now))
		return NULL;
	holder = draw(s, m, newest, near, s->turned_away_by, random, now);
	if (!holder)
		holder = draw(s, m, newest, near, 0, random, now);
	s->turned_away_by = 0;
	return holder;
}

/* The holder gave nothing: ask another, a little later. */
void tr_spread_failed(struct tr_spread *s, uint32_t holder,
		      struct tr_random *random, apr_time_t now)
{
	s->turned_away_by = holder;
	s->ask_at =
		now + AGAIN_LEAST + TR_MSEC(tr_random_below(random, AGAIN_MS));
}

/* May a copy of so many bytes be sent now? If so its time on the link counts.
 */
bool tr_spread_link_reserve(struct tr_spread_link *link, size_t bytes,
			    apr_time_t now)
{
	if (link->taken_until < now)
		link->taken_until = now;
	if (link->taken_until - now > LINK_AHEAD)
		return false;
	link->taken_until +=
		(apr_time_t)((double)bytes * 1e6 / link->bytes_a_second);
	return true;
}
