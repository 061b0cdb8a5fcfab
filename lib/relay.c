/*
 * Chooses the VM through which this one reaches a target. Nobody keeps a table
 * of who reaches what: a VM that is asked and has no path says so at once, and
 * is left out for a while by the VM that asked.
 */
#include "relay.h"

#include <string.h>

#include "clock.h"

/* How long a VM that did not connect is not asked again. */
#define DECLINED_FOR TR_SEC(2)
/* A VM that starts has heard of the others by then. */
#define OTHERS_KNOWN_AFTER TR_SEC(1)

/*
 * Returns whether there is no other VM that could tell a fault of this VM's
 * path from one of a target. Just after its start a VM does not know that.
 */
bool tr_relay_is_alone(const struct tr_membership *m, apr_time_t up_for,
		       apr_time_t now)
{
	if (m->count == 1)
		return true;
	return up_for >= OTHERS_KNOWN_AFTER && tr_membership_alive(m, now) == 1;
}

/* Records that the VM has no path to the targets of the service. */
void tr_relay_declined(struct tr_relay_memory *memory, uint32_t ip,
		       uint32_t service, apr_time_t now)
{
	memory->declined[memory->next].ip = ip;
	memory->declined[memory->next].service = service;
	memory->declined[memory->next].until = now + DECLINED_FOR;
	memory->next = (memory->next + 1) % TR_RELAY_DECLINED;
}

static bool has_declined(const struct tr_relay_memory *memory, uint32_t ip,
			 uint32_t service, apr_time_t now)
{
	for (unsigned i = 0; i < TR_RELAY_DECLINED; i++)
		if (memory->declined[i].ip == ip &&
		    memory->declined[i].service == service &&
		    now < memory->declined[i].until)
			return true;
	return false;
}

static bool was_asked(const struct tr_relay_request *req, uint32_t ip)
{
	for (unsigned i = 0; i < req->asked_count; i++)
		if (req->asked[i] == ip)
			return true;
	return false;
}

/*
 * Returns how well the VM suits. The first one asked is of this data centre,
 * which adds no traffic between data centres. The next is of another one, since
 * what cuts this VM off may affect its whole data centre. One that has declined
 * comes last.
 */
static int suitability(const struct tr_node *node,
		       const struct tr_relay_memory *memory,
		       const struct tr_relay_request *req, apr_time_t now)
{
	bool other = req->asked_count % 2;
	bool at_target = !strcmp(node->data_centre, req->target_data_centre);

	if (has_declined(memory, node->ip, req->service, now))
		return 0;
	if (other)
		return node->here ? 1 : 2 + at_target;
	return node->here ? 3 : 1 + at_target;
}

/*
 * Returns a VM that takes callers, is not cut off from all targets, and was not
 * asked before; NULL if there is none.
 */
const struct tr_node *tr_relay_choose(const struct tr_membership *m,
				      const struct tr_relay_memory *memory,
				      const struct tr_relay_request *req,
				      struct tr_random *random, apr_time_t now)
{
	const struct tr_node *found = NULL;
	unsigned equals = 0;
	int best = 0;

	for (unsigned i = 1; i < m->count; i++) {
		const struct tr_node *node = &m->nodes[i];
		int suits;

		if (node->cut_off || !tr_node_takes_callers(m, node, now) ||
		    was_asked(req, node->ip))
			continue;
		suits = suitability(node, memory, req, now);
		if (suits < best)
			continue;
		if (suits > best)
			equals = 0;
		best = suits;
		if (!tr_random_below(random, ++equals))
			found = node;
	}
	return found;
}
