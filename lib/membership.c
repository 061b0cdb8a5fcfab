/*
 * Which entry VMs there are, with no list of them: every VM speaks to every
 * other of its group at a period that grows with the group, so what a VM
 * receives stays level. A VM that is silent is believed gone; one that speaks
 * is up, so there is no suspicion to refute. Of other groups' VMs it believes
 * what these say of themselves, in summaries some times a second.
 */
#include "membership.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "group.h"
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
/* How many of its usual gaps a VM may be silent while it counts as heard
 * lately, and for how long at least: a busy VM's turn. The gap is the mean over
 * so many messages. */
#define LATELY_GAPS  4
#define LATELY_LEAST TR_MSEC(200)
#define GAP_WEIGHT   8
/* How long a VM of another group counts as there, and is named to callers,
 * after a summary that named it: four and eight summaries' time. */
#define AWAY_NAMED TR_MSEC(1000)
#define AWAY_DOWN  TR_MSEC(2000)
/* Time between two calls to one lost address. Survivors go on calling: a VM
 * that restarts with dead seeds is found only so. */
#define CALL_LOST TR_SEC(1)
/* The same while this VM has heard nobody: after the loss of all VMs the seeds
 * may start half a second later than it does. */
#define CALL_FIRST TR_MSEC(100)
/* A VM whose first message heard was one of its first so many, some seconds of
 * its life, and how long a VM tells its totals in turn: from either on, what it
 * tells of a target for the first time is new. */
#define FIRST_MESSAGES 50
#define TOLD_ALL_AFTER TR_SEC(5)
/* A larger size of the fleet is nonsense: 18 times the plan's. */
#define FLEET_MOST 100000
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
	tr_index_add(&m->by_ip, ip, m->count - 1);
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
	tr_groups_rebuild(m);
	return 0;
}

void tr_membership_release(struct tr_membership *m)
{
	for (unsigned i = 0; i < m->count; i++) {
		free(m->nodes[i].reported);
		free(m->nodes[i].work);
		free(m->nodes[i].limits);
		free(m->nodes[i].sent);
	}
	free(m->nodes);
	free(m->groups);
	tr_index_release(&m->by_ip);
	memset(m, 0, sizeof(*m));
}

/* The VM of the address, which may not have been heard yet. */
struct tr_node *tr_membership_find_or_add(struct tr_membership *m, uint32_t ip)
{
	uint32_t at;
	uint32_t i = tr_index_first(&m->by_ip, ip, &at);

	if (i != TR_NO_ROW)
		return &m->nodes[i];
	new_node(m, ip);
	tr_groups_add_node(m, &m->nodes[m->count - 1]);
	return &m->nodes[m->count - 1];
}

static void set_centre(struct tr_membership *m, struct tr_node *node,
		       const char *data_centre)
{
	if (!*data_centre || !strcmp(node->data_centre, data_centre))
		return;
	strncpy(node->data_centre, data_centre, TR_ID_MAX);
	tr_groups_add_node(m, node);
}

/* The same, where it is told in which data centre the VM is. */
struct tr_node *tr_membership_find_or_add_at(struct tr_membership *m,
					     uint32_t ip,
					     const char *data_centre)
{
	struct tr_node *node = tr_membership_find_or_add(m, ip);

	if (node != m->nodes)
		set_centre(m, node, data_centre);
	return node;
}

/* How many VMs the fleet has, as far as this VM or any that it heard knows. */
unsigned tr_membership_size(const struct tr_membership *m)
{
	return m->size_reported > m->count ? m->size_reported : m->count;
}

static void set_size(struct tr_membership *m, unsigned reported)
{
	if (reported <= tr_membership_size(m) || reported > FLEET_MOST)
		return;
	m->size_reported = reported;
	tr_groups_rebuild(m);
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
struct tr_node *tr_membership_receive(struct tr_membership *m,
				      const struct tr_node_status *news,
				      apr_time_t now, bool *restarted)
{
	struct tr_node *node = tr_membership_find_or_add(m, news->ip);

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
		node->boot_heard_at = now;
		*restarted = true;
	}
	node->sequence = news->sequence;
	node->ready = news->ready;
	node->leaving = news->leaving;
	node->cannot_read = news->cannot_read;
	memcpy(node->held, news->held, sizeof(node->held));
	if (!*restarted && node->heard_at)
		node->gap += (now - node->heard_at - node->gap) / GAP_WEIGHT;
	else
		node->gap = PERIOD_LEAST;
	node->heard_at = now;
	node->proven_at = news->proof_age < 0 ? 0 : now - news->proof_age;
	m->heard_any = true;
	set_centre(m, node, news->data_centre);
	set_size(m, news->fleet_size);
	return node;
}

/* A VM of another group is there and like that, as its own group says. */
void tr_membership_receive_indirect(struct tr_membership *m,
				    const struct tr_node_status *news,
				    apr_time_t now)
{
	struct tr_node *node =
		tr_membership_find_or_add_at(m, news->ip, news->data_centre);

	if (node->near)
		return;
	node->ready = news->ready;
	node->leaving = news->leaving;
	node->cannot_read = news->cannot_read;
	node->heard_at = now;
}

/*
 * What the VM told last of the target, made empty where it told nothing yet.
 * Kept in the order of the targets' names.
 */
struct tr_report *tr_node_report(struct tr_node *node, uint32_t target)
{
	unsigned low = 0;
	unsigned high = node->reported_count;

	while (low < high) {
		unsigned mid = (low + high) / 2;

		if (node->reported[mid].target < target)
			low = mid + 1;
		else
			high = mid;
	}
	if (low < node->reported_count && node->reported[low].target == target)
		return &node->reported[low];
	if (node->reported_count == node->reported_capacity) {
		node->reported_capacity = node->reported_capacity
						  ? node->reported_capacity * 2
						  : 8;
		node->reported = realloc(node->reported,
					 node->reported_capacity *
						 sizeof(*node->reported));
		if (!node->reported)
			abort();
	}
	memmove(&node->reported[low + 1], &node->reported[low],
		(node->reported_count - low) * sizeof(*node->reported));
	node->reported_count++;
	memset(&node->reported[low], 0, sizeof(*node->reported));
	return &node->reported[low];
}

/* What the VM told last of the target with a limit, made empty where it told
 * nothing yet. */
struct tr_sent_report *tr_node_sent_report(struct tr_node *node,
					   uint32_t target)
{
	struct tr_sent_report *grown;

	for (unsigned i = 0; i < node->sent_count; i++)
		if (node->sent[i].target == target)
			return &node->sent[i];
	grown = realloc(node->sent, (node->sent_count + 1) * sizeof(*grown));
	if (!grown)
		abort();
	node->sent = grown;
	grown += node->sent_count++;
	*grown = (struct tr_sent_report){ .target = target };
	return grown;
}

/*
 * What the VM told last of the organisation, made empty where it told nothing
 * yet. Kept in the order of the organisations' names.
 */
struct tr_limit_report *tr_node_limit_report(struct tr_node *node,
					     uint32_t name)
{
	unsigned low = 0;
	unsigned high = node->limits_count;

	while (low < high) {
		unsigned mid = (low + high) / 2;

		if (node->limits[mid].name < name)
			low = mid + 1;
		else
			high = mid;
	}
	if (low < node->limits_count && node->limits[low].name == name)
		return &node->limits[low];
	if (node->limits_count == node->limits_capacity) {
		node->limits_capacity =
			node->limits_capacity ? node->limits_capacity * 2 : 8;
		node->limits =
			realloc(node->limits,
				node->limits_capacity * sizeof(*node->limits));
		if (!node->limits)
			abort();
	}
	memmove(&node->limits[low + 1], &node->limits[low],
		(node->limits_count - low) * sizeof(*node->limits));
	node->limits_count++;
	memset(&node->limits[low], 0, sizeof(*node->limits));
	return &node->limits[low];
}

static bool heard_within(const struct tr_membership *m,
			 const struct tr_node *node, apr_time_t span,
			 apr_time_t now)
{
	if (node == m->nodes)
		return true;
	return node->heard_at && now - node->heard_at <= span;
}

/* The time between two routine messages to one VM of the group, all being of
 * one mind about its size, more or less. */
apr_time_t tr_membership_period(const struct tr_membership *m, apr_time_t now)
{
	apr_time_t period = (apr_time_t)m->near_count * PERIOD_A_VM;

	(void)now;
	return period > PERIOD_LEAST ? period : PERIOD_LEAST;
}

bool tr_node_alive(const struct tr_membership *m, const struct tr_node *node,
		   apr_time_t now)
{
	apr_time_t span = tr_membership_period(m, now) * MISSED_DOWN + SLACK;

	return heard_within(m, node, node->near ? span : AWAY_DOWN, now);
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
	       now - node->boot_heard_at >= TOLD_ALL_AFTER;
}

/* May callers be sent to the VM? */
bool tr_node_takes_callers(const struct tr_membership *m,
			   const struct tr_node *node, apr_time_t now)
{
	apr_time_t span = tr_membership_period(m, now) * MISSED_NAMED + SLACK;

	return node->ready && !node->leaving &&
	       heard_within(m, node, node->near ? span : AWAY_NAMED, now);
}

/* This VM's place, by address, among those of its group that take callers; vms:
 * how many these are, this one included. */
unsigned tr_membership_rank(const struct tr_membership *m, apr_time_t now,
			    unsigned *vms)
{
	unsigned place = 0;

	*vms = 1;
	for (unsigned i = 1; i < m->count; i++) {
		const struct tr_node *node = &m->nodes[i];

		if (!node->near || !tr_node_takes_callers(m, node, now))
			continue;
		++*vms;
		place += node->ip < m->nodes[0].ip;
	}
	return place;
}

/*
 * A VM of the group that is not heard and is due to be called again, or NULL.
 * One whose data centre is not known yet may be of the group; those of others
 * are called by their own groups, and by summaries while these are silent.
 */
struct tr_node *tr_membership_next_lost(struct tr_membership *m, apr_time_t now)
{
	apr_time_t gap = m->heard_any ? CALL_LOST : CALL_FIRST;

	for (unsigned i = 1; i < m->count; i++) {
		struct tr_node *node = &m->nodes[i];

		if (now - node->called_at < gap ||
		    (!node->near && *node->data_centre) ||
		    tr_node_alive(m, node, now))
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

/* How long a VM of the group may be silent until it is not heard lately: some
 * of its usual gaps, of which one message in forty is lost on a bad link, and
 * no more than a routine message takes. */
static apr_time_t silence(const struct tr_membership *m,
			  const struct tr_node *node, apr_time_t now)
{
	apr_time_t most = tr_membership_period(m, now) + SLACK;
	apr_time_t span = LATELY_GAPS * node->gap;

	if (span < LATELY_LEAST)
		span = LATELY_LEAST;
	return span < most ? span : most;
}

/* Is the VM not silent for much longer than usual? */
bool tr_node_heard_recently(const struct tr_membership *m,
			    const struct tr_node *node, apr_time_t now)
{
	if (!node->near)
		return tr_node_alive(m, node, now);
	return heard_within(m, node, silence(m, node, now), now);
}

/*
 * The part of the fleet that was heard a moment ago: of this group, those that
 * are not silent for much longer than usual; of the others, those that are
 * there. What the whole fleet must not overrun can't wait until silence counts
 * as a loss: a half of the VMs that is cut off in a flood lets through 1.23 of
 * what operators allow in that time (the load test of limits). Nor for a
 * routine message: with that one of seven played days with a cut of a third of
 * the VMs in a flood had 1.012 of it.
 */
double tr_membership_recent_share(const struct tr_membership *m, apr_time_t now)
{
	unsigned lately = 0;
	unsigned elsewhere = 0;

	for (unsigned i = 0; i < m->count; i++) {
		const struct tr_node *node = &m->nodes[i];

		lately += node->near && tr_node_heard_recently(m, node, now);
		elsewhere +=
			!node->near && tr_node_heard_recently(m, node, now);
	}
	return (double)lately / m->near_count * (m->near_count + elsewhere) /
	       tr_membership_size(m);
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

/*
 * How many VMs come before this one when the list has grown old and somebody
 * must read. Those that are silent for longer than usual don't count, nor those
 * that have just started and have no list: until they are held to be lost, or
 * have one, the list would grow older than operators allow. Those that could
 * not read count too: else, while the store is away, each that fails makes room
 * for the next, and all of a large fleet call it; 442 VMs made 4,062 calls on a
 * day with one such time.
 */
unsigned tr_membership_read_rank(const struct tr_membership *m, apr_time_t now)
{
	uint64_t mine = score(m->nodes);
	unsigned before = 0;

	for (unsigned i = 1; i < m->count; i++)
		before += score(&m->nodes[i]) > mine && !m->nodes[i].leaving &&
			  m->nodes[i].held[TR_RESOURCE_LIST] &&
			  tr_node_heard_recently(m, &m->nodes[i], now);
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
bool tr_membership_is_reader(const struct tr_membership *m, apr_time_t now)
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
