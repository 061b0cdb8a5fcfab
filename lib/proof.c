/*
 * How old what this VM believes can be at most. Keys are taken away by a newer
 * configuration, and a VM that is cut off hears of none: it may use a key only
 * while it can prove that its configuration was the newest a bounded time ago.
 *
 * What goes wrong without it: ages told in one-way messages are too small by as
 * much as the message lay on a slow link or in the socket of a paused process,
 * and nobody notices. One would notice by requests under a key that was taken
 * away longer ago than operators allow, at VMs that were paused or cut off. So
 * an age counts from when the question for it was sent, by the asker's own
 * clock, which goes on through pauses and does not follow the wall clock;
 * whatever delays the answer makes the proof older and never younger.
 */
#include "proof.h"

#include "clock.h"

/* Part of the bound that is not used: clocks of two VMs may run apart by some
 * parts in ten thousand, and what is sent arrives some ms later. */
#define MARGIN 0.04
/* Part of the bound after which a VM asks for a younger proof: the question may
 * then be lost several times before the proof ends. */
#define ASK_PART 0.12
/* How long an answer may take before another VM is asked: some round trips
 * between data centres of a region, and the turn of a busy loop. */
#define ANSWER_WAIT TR_MSEC(100)
/* What the asked VM's proof must be younger by, so that asking is worth it, as
 * a part of the bound. */
#define GAIN_PART 0.04

/* Everything that was accepted before then is known here. */
void tr_proof_renew(struct tr_proof *p, apr_time_t at)
{
	if (at > p->at)
		p->at = at;
}

/* How old the proof is, in us; APR_INT64_MAX where there is none. */
apr_time_t tr_proof_age(const struct tr_proof *p, apr_time_t now)
{
	return p->at ? now - p->at : APR_INT64_MAX;
}

/* Was the configuration the newest less than the bound ago? */
bool tr_proof_holds(const struct tr_proof *p, apr_time_t bound, apr_time_t now)
{
	return p->at && (double)(now - p->at) < (1 - MARGIN) * (double)bound;
}

/* Nearer VMs are asked first: their answers are soon there, and bytes between
 * data centres are dear. */
static int rank_of(const struct tr_node *node)
{
	return node->here ? 2 : node->near;
}

/*
 * Whom to ask now for a younger proof, or NULL. Ages that VMs told say only
 * whom to ask; one that was told too young costs a question.
 */
const struct tr_node *tr_proof_query(struct tr_proof *p,
				     const struct tr_membership *m,
				     apr_time_t bound, struct tr_random *random,
				     apr_time_t now)
{
	const struct tr_node *found = NULL;
	apr_time_t wanted = p->at + (apr_time_t)(GAIN_PART * (double)bound);
	unsigned seen = 0;

	if ((p->at && (double)(now - p->at) < ASK_PART * (double)bound) ||
	    (p->question && now - p->asked_at < ANSWER_WAIT))
		return NULL;
	for (unsigned i = 1; i < m->count; i++) {
		const struct tr_node *node = &m->nodes[i];

		if (node->proven_at < wanted || !node->proven_at ||
		    node->ip == p->asked || !tr_node_alive(m, node, now) ||
		    (found && rank_of(node) < rank_of(found)))
			continue;
		if (found && rank_of(node) > rank_of(found))
			seen = 0;
		if (!tr_random_below(random, ++seen))
			found = node;
	}
	p->asked = found ? found->ip : 0;
	if (!found)
		return NULL;
	p->question = tr_random_next(random) | 1;
	p->asked_at = now;
	return found;
}

/* The question was answered: at the VM that was asked the same configuration,
 * or an older one, was the newest so long ago. */
void tr_proof_reply(struct tr_proof *p, uint64_t question, apr_time_t age)
{
	if (!question || question != p->question)
		return;
	p->question = 0;
	p->asked = 0;
	tr_proof_renew(p, p->asked_at - age);
}
