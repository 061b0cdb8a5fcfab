/*
 * Upper bound on the age of this VM's configuration. Keys are revoked by a
 * newer configuration, which a VM that is cut off does not receive: it may
 * accept a key only while it can prove that its configuration was the newest a
 * bounded time ago.
 *
 * Failure that this prevents: an age reported in a one-way message is too small
 * by the time that the message spent on a slow link or in the socket of a
 * suspended process, and nobody notices. The symptom is requests accepted under
 * a key that was revoked longer ago than operators allow, at VMs that were
 * suspended or cut off. So an age counts from when the query for it was sent,
 * by the clock of the VM that asked, which keeps running while the VM is
 * suspended and does not follow the wall clock. Any delay of the reply makes
 * the proof older and never younger.
 */
#include "proof.h"

#include "clock.h"

/*
 * Share of the bound that is not used: the clocks of two VMs may drift apart by
 * a few parts in ten thousand, and what is sent arrives some ms later.
 */
#define SAFETY_MARGIN 0.04
/*
 * Share of the bound after which a VM asks for a newer proof. The query may
 * then be lost several times before the proof expires.
 */
#define RENEW_SHARE 0.12
/*
 * How long to wait for a reply before another VM is asked: a few round trips
 * between data centres of a region, and the delay of a busy event loop.
 */
#define REPLY_TIMEOUT TR_MSEC(100)
/*
 * By how much the proof of another VM must be newer to justify a query, as a
 * share of the bound.
 */
#define MIN_GAIN_SHARE 0.04

/* Records that every configuration accepted before this time is known here. */
void tr_proof_renew(struct tr_proof *p, apr_time_t at)
{
	if (at > p->at)
		p->at = at;
}

/* Returns the age of the proof in us, or APR_INT64_MAX if there is none. */
apr_time_t tr_proof_age(const struct tr_proof *p, apr_time_t now)
{
	return p->at ? now - p->at : APR_INT64_MAX;
}

/* Whether the configuration was the newest less than bound ago. */
bool tr_proof_holds(const struct tr_proof *p, apr_time_t bound, apr_time_t now)
{
	return p->at &&
	       (double)(now - p->at) < (1 - SAFETY_MARGIN) * (double)bound;
}

/*
 * Near VMs are preferred: their replies arrive sooner, and traffic between data
 * centres is expensive.
 */
static int proximity(const struct tr_node *node)
{
	return node->here ? 2 : node->near;
}

/*
 * Returns the VM to query now for a newer proof, or NULL if none is due, and
 * opens the query. The ages that VMs announce only serve to choose one; an age
 * announced too low costs one query.
 */
const struct tr_node *tr_proof_query(struct tr_proof *p,
				     const struct tr_membership *m,
				     apr_time_t bound, struct tr_random *random,
				     apr_time_t now)
{
	const struct tr_node *found = NULL;
	apr_time_t min_proven_at =
		p->at + (apr_time_t)(MIN_GAIN_SHARE * (double)bound);
	unsigned seen = 0;

	if ((p->at && (double)(now - p->at) < RENEW_SHARE * (double)bound) ||
	    (p->question && now - p->query_sent_at < REPLY_TIMEOUT))
		return NULL;
	for (unsigned i = 1; i < m->count; i++) {
		const struct tr_node *node = &m->nodes[i];

		if (node->proven_at < min_proven_at || !node->proven_at ||
		    node->ip == p->queried_ip || !tr_node_alive(m, node, now) ||
		    (found && proximity(node) < proximity(found)))
			continue;
		if (found && proximity(node) > proximity(found))
			seen = 0;
		if (!tr_random_below(random, ++seen))
			found = node;
	}
	p->queried_ip = found ? found->ip : 0;
	if (!found)
		return NULL;
	p->question = tr_random_next(random) | 1;
	p->query_sent_at = now;
	return found;
}

/*
 * Takes in the reply to a query: at the VM that was asked, this configuration
 * or an older one was the newest age us before the reply.
 */
void tr_proof_reply(struct tr_proof *p, uint64_t question, apr_time_t age)
{
	if (!question || question != p->question)
		return;
	p->question = 0;
	p->queried_ip = 0;
	tr_proof_renew(p, p->query_sent_at - age);
}
