/*
 * Draws the VM that forwards a message within another data centre: traffic
 * between data centres is expensive, and this divides it by the number of VMs
 * in a data centre. The VM is random for each message, so that a dead or frozen
 * one loses few messages, for which later totals make up.
 *
 * Failure that this prevents: in a data centre of two VMs one ends, and for the
 * seconds in which it counts as up every other message to the data centre is
 * lost, among them that a target has left. The symptom is `target` lines that
 * come late, on the VMs of one data centre.
 */
#include "forwarder.h"

#include <string.h>

/* A VM that was heard recently and stays is preferred, then one that stays. */
static int preference(const struct tr_membership *m, const struct tr_node *node,
		      apr_time_t now)
{
	return node->leaving ? 0 : 1 + tr_node_heard_recently(m, node, now);
}

static unsigned find_centre(const struct tr_node *const *drawn, unsigned n,
			    const char *data_centre)
{
	unsigned c = 0;

	while (c < n && strcmp(drawn[c]->data_centre, data_centre) != 0)
		c++;
	return c;
}

/* Draws one VM for each other data centre in which VMs of this group are up.
 * Returns how many were drawn. */
unsigned tr_forwarders_draw(const struct tr_membership *m,
			    struct tr_random *random,
			    const struct tr_node *drawn[TR_FORWARDERS_MAX],
			    apr_time_t now)
{
	unsigned seen[TR_FORWARDERS_MAX];
	int best[TR_FORWARDERS_MAX];
	unsigned n = 0;

	for (unsigned i = 1; i < m->count; i++) {
		const struct tr_node *node = &m->nodes[i];
		int preferred;
		unsigned c;

		if (!node->near || node->here || !tr_node_alive(m, node, now))
			continue;
		preferred = preference(m, node, now);
		c = find_centre(drawn, n, node->data_centre);
		if (c == TR_FORWARDERS_MAX || (c < n && preferred < best[c]))
			continue;
		if (c == n || preferred > best[c])
			seen[c] = 0;
		n += c == n;
		best[c] = preferred;
		if (!tr_random_below(random, ++seen[c]))
			drawn[c] = node;
	}
	return n;
}
