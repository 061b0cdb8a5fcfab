/*
 * Which entry VMs there are, with no list of them: every VM speaks to every
 * other at a period that grows with the fleet, so what a VM receives stays
 * level. A VM that is silent is believed gone; one that speaks is up, so there
 * is no suspicion to refute.
 */
#include "membership.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "hash.h"
#include "mechanism.h"

/* Shortest time between two routine messages to one VM. */
#define PERIOD_LEAST TR_MSEC(500)
/* Added to the period a VM, so that at most some 66 routine messages a second
 * arrive, about 0.1% of a core. */
#define PERIOD_A_VM TR_MSEC(15)
/* Routine messages that may be missing before a VM is no longer named to
 * callers, and before it counts as down. One datagram in fifty is lost on a
 * bad link: two in a row are rare, four are not seen. */
#define MISSED_NAMED 2
#define MISSED_DOWN  4
#define SLACK	     TR_MSEC(200)
/* Time between two calls to one lost address. Survivors go on calling: a VM
 * that restarts with dead seeds is found only so. */
#define CALL_LOST TR_SEC(1)
/* A VM whose first message heard was one of its first so many, some seconds of
 * its life, and how long a VM tells its totals in turn: from either on, what it
 * tells of a target for the first time is new. */
#define FIRST_MESSAGES 50
#define TOLD_ALL_AFTER TR_SEC(5)
/* VMs that watch the platform, in different data centres where there are
 * several: with two, news flows on while one is frozen or cut off. */
#define READERS 2

static struct tr_node *new_node(struct tr_membership *m, uint32_t ip)
{
	struct tr_node *grown;

	if (m->count == m->room) {
		unsigned room = m->room ? m->room * 2 : 16;

		grown = realloc(m->nodes, room * sizeof(*grown));
		if (!grown)
			abort();
		m->nodes = grown;
		m->room = room;
	}
	grown = &m->nodes[m->count++];
	memset(grown, 0, sizeof(*grown));
	grown->ip = ip;
	return grown;
}

/* Begin with this VM alone. 0 or -1. */
int tr_membership_init(struct tr_membership *m, uint32_t ip, uint64_t boot,
		       const char *data_centre)
{
	struct tr_node *me;

	memset(m, 0, sizeof(*m));
	me = new_node(m, ip);
	me->boot = boot;
	strncpy(me->data_centre, data_centre, TR_ID_MAX);
	return 0;
}

void tr_membership_release(struct tr_membership *m)
{
	for (unsigned i = 0; i < m->count; i++) {
		free(m->nodes[i].told);
		free(m->nodes[i].work);
	}
	free(m->nodes);
	memset(m, 0, sizeof(*m));
}

/* The VM of the address, which may not have been heard yet. */
struct tr_node *tr_membership_learn(struct tr_membership *m, uint32_t ip)
{
	for (unsigned i = 0; i < m->count; i++)
		if (m->nodes[i].ip == ip)
			return &m->nodes[i];
	return new_node(m, ip);
}

static bool is_retired(const struct tr_node *node, uint64_t boot)
{
	for (int i = 0; i < TR_RETIRED_BOOTS; i++)
		if (node->retired[i] == boot)
			return true;
	return false;
}

/*
 * A message came. NULL when it is of an earlier start, or older than one that
 * came before. restarted: what was told before is void.
 */
struct tr_node *tr_membership_heard(struct tr_membership *m,
				    const struct tr_node_news *news,
				    apr_time_t now, bool *restarted)
{
	struct tr_node *node = tr_membership_learn(m, news->ip);

	*restarted = false;
	if (node == m->nodes || is_retired(node, news->boot))
		return NULL;
	if (node->boot == news->boot && news->sequence <= node->sequence)
		return NULL;
	if (node->boot != news->boot) {
		node->retired[node->retired_next] = node->boot;
		node->retired_next =
			(node->retired_next + 1) % TR_RETIRED_BOOTS;
		node->boot = news->boot;
		node->first_sequence = news->sequence;
		node->heard_since = now;
		*restarted = true;
	}
	node->sequence = news->sequence;
	strncpy(node->data_centre, news->data_centre, TR_ID_MAX);
	node->ready = news->ready;
	node->leaving = news->leaving;
	node->cannot_read = news->cannot_read;
	node->config_revision = news->config_revision;
	node->heard_at = now;
	return node;
}

static bool heard_within(const struct tr_membership *m,
			 const struct tr_node *node, apr_time_t span,
			 apr_time_t now)
{
	if (node == m->nodes)
		return true;
	return node->heard_at && now - node->heard_at <= span;
}

/* The time between two routine messages to one VM, all VMs being of one mind
 * about the size of the fleet, more or less. */
apr_time_t tr_membership_period(const struct tr_membership *m, apr_time_t now)
{
	apr_time_t period = 0;

	(void)now;
	period = (apr_time_t)m->count * PERIOD_A_VM;
	return period > PERIOD_LEAST ? period : PERIOD_LEAST;
}

bool tr_node_alive(const struct tr_membership *m, const struct tr_node *node,
		   apr_time_t now)
{
	apr_time_t span = tr_membership_period(m, now) * MISSED_DOWN + SLACK;

	return heard_within(m, node, span, now);
}

/*
 * Has the VM been heard since it started, so that the first totals it tells of
 * a target are news? Without this the first outcome that each VM sees at each
 * target was lost: after a restart of all VMs, when each sees three requests a
 * second, that is nearly all there is, and a target that hung got ten to twelve
 * requests in four seconds.
 */
bool tr_node_heard_from_start(const struct tr_node *node, apr_time_t now)
{
	return node->first_sequence <= FIRST_MESSAGES ||
	       now - node->heard_since >= TOLD_ALL_AFTER;
}

/* May callers be sent to the VM? */
bool tr_node_takes_callers(const struct tr_membership *m,
			   const struct tr_node *node, apr_time_t now)
{
	apr_time_t span = tr_membership_period(m, now) * MISSED_NAMED + SLACK;

	return node->ready && !node->leaving &&
	       heard_within(m, node, span, now);
}

/* A VM that is not heard and is due to be called again, or NULL. */
struct tr_node *tr_membership_lost(struct tr_membership *m, apr_time_t now)
{
	for (unsigned i = 1; i < m->count; i++) {
		struct tr_node *node = &m->nodes[i];

		if (tr_node_alive(m, node, now) ||
		    now - node->called_at < CALL_LOST)
			continue;
		return node;
	}
	return NULL;
}

unsigned tr_membership_alive(const struct tr_membership *m, apr_time_t now)
{
	unsigned n = 0;

	for (unsigned i = 0; i < m->count; i++)
		n += tr_node_alive(m, &m->nodes[i], now);
	return n;
}

/* The part of the VMs ever heard of that are heard now, this one included. */
double tr_membership_heard_share(const struct tr_membership *m, apr_time_t now)
{
	return (double)tr_membership_alive(m, now) / m->count;
}

static bool could_read(const struct tr_membership *m,
		       const struct tr_node *node, apr_time_t now)
{
	return !node->leaving && !node->cannot_read &&
	       tr_node_alive(m, node, now);
}

static uint64_t score(const struct tr_node *node)
{
	return tr_hash(&node->ip, sizeof(node->ip));
}

/* How many VMs come before this one when readers are chosen. */
unsigned tr_membership_rank(const struct tr_membership *m, apr_time_t now)
{
	uint64_t mine = score(m->nodes);
	unsigned before = 0;

	for (unsigned i = 1; i < m->count; i++)
		before += could_read(m, &m->nodes[i], now) &&
			  score(&m->nodes[i]) > mine;
	return before;
}

static const struct tr_node *best(const struct tr_membership *m,
				  const struct tr_node *const *taken,
				  unsigned n, bool elsewhere, apr_time_t now)
{
	const struct tr_node *found = NULL;

	for (unsigned i = 0; i < m->count; i++) {
		const struct tr_node *node = &m->nodes[i];
		bool skip = !could_read(m, node, now);

		for (unsigned k = 0; k < n; k++)
			skip |= node == taken[k] ||
				(elsewhere && !strcmp(node->data_centre,
						      taken[k]->data_centre));
		if (!skip && (!found || score(node) > score(found)))
			found = node;
	}
	return found;
}

/* Is this VM one of those that watch the platform for all? */
bool tr_membership_reads(const struct tr_membership *m, apr_time_t now)
{
	const struct tr_node *taken[READERS];

	unsigned readers = tr_mechanism_on(TR_MECH_TWO_READERS) ? READERS : 1;

	for (unsigned n = 0; n < readers; n++) {
		taken[n] = best(m, taken, n, true, now);
		if (!taken[n])
			taken[n] = best(m, taken, n, false, now);
		if (!taken[n])
			return false;
		if (taken[n] == m->nodes)
			return true;
	}
	return false;
}
