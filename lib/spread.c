/*
 * How a configuration reaches every VM: each asks one that has it, drawn among
 * all that say so, and one that has got it is asked in its turn, so that the
 * number of holders doubles with each round. A holder gives no more copies at a
 * time than its link carries at once and turns the others away.
 *
 * What goes wrong without it: two VMs read the platform and 94 ask both for
 * 127 kB each. Copies share the link, none is whole when the askers' patience
 * ends, they ask again, and the copies nobody waits for take the link: 44 MB
 * were queued in nine seconds on links of 10 to 200 Mbit/s, not one copy
 * arrived, and the readers lost the store behind their own answers. One would
 * notice by a fleet whose revision stays behind that of its readers.
 */
#include "spread.h"

#include <string.h>

#include "clock.h"

/* How long the askers of a new revision wait at first, each by another part:
 * the first holders would else hear from all VMs within the same millisecond,
 * and turn nearly all away. It costs half of itself in the mean. */
#define FIRST_WAIT_MS 60
/* Between two questions: a message by which a new holder names itself takes
 * 50 ms in a fleet of 100 VMs, so there is another to ask by then. */
#define AGAIN_LEAST TR_MSEC(30)
#define AGAIN_MS    90
/* Copies that are promised may fill the link for so long. What callers send and
 * get waits behind it; an eighth of a short latency aim. */
#define LINK_AHEAD TR_MSEC(80)

/* The newest configuration that a VM in reach says it has. */
uint64_t tr_spread_newest(const struct tr_membership *m, apr_time_t now)
{
	uint64_t newest = 0;

	for (unsigned i = 1; i < m->count; i++)
		if (m->nodes[i].config_revision > newest &&
		    tr_node_alive(m, &m->nodes[i], now))
			newest = m->nodes[i].config_revision;
	return newest;
}

static bool is_holder(const struct tr_membership *m, const struct tr_node *node,
		      uint64_t revision, apr_time_t now)
{
	return node->config_revision >= revision &&
	       tr_node_alive(m, node, now) && !node->leaving;
}

/* Draw one of those that have the revision; of the own data centre, if there
 * is one: bytes between data centres are dear. */
static const struct tr_node *draw(const struct tr_membership *m,
				  uint64_t revision, uint32_t but,
				  struct tr_random *random, apr_time_t now)
{
	const struct tr_node *found = NULL;
	bool found_near = false;
	unsigned seen = 0;

	for (unsigned i = 1; i < m->count; i++) {
		const struct tr_node *node = &m->nodes[i];
		bool near = !strcmp(node->data_centre, m->nodes[0].data_centre);

		if (node->ip == but || !is_holder(m, node, revision, now) ||
		    (found_near && !near))
			continue;
		if (near && !found_near)
			seen = 0;
		found_near |= near;
		if (!tr_random_below(random, ++seen))
			found = node;
	}
	return found;
}

/*
 * Whom to ask now for a configuration newer than the one held; NULL when there
 * is none or it is not yet time. refused is a revision that could not be read.
 */
const struct tr_node *tr_spread_holder(struct tr_spread *s,
				       const struct tr_membership *m,
				       uint64_t held, uint64_t refused,
				       struct tr_random *random, apr_time_t now)
{
	uint64_t newest = tr_spread_newest(m, now);
	const struct tr_node *holder;

	if (newest <= held || newest <= refused)
		return NULL;
	if (newest > s->wanted) {
		/* More of them while one waits only begin the wait once. */
		if (s->wanted <= held)
			s->ask_at =
				now +
				TR_MSEC(tr_random_below(random, FIRST_WAIT_MS));
		s->wanted = newest;
	}
	if (now < s->ask_at)
		return NULL;
	holder = draw(m, newest, s->turned_away_by, random, now);
	if (!holder)
		holder = draw(m, newest, 0, random, now);
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
bool tr_spread_may_serve(struct tr_spread_link *link, size_t bytes,
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
