/*
 * Which VM reads the store. Two VMs watch it for the whole fleet. Another VM
 * reads only when its list has become stale; the higher it ranks in the order
 * of readers, the sooner, so that one or two VMs replace a lost reader rather
 * than the whole fleet at once.
 *
 * What failed reads say: an interruption of the store is a time in which it
 * answered no VM that asked. Reads that began to fail before the last answer
 * that any VM had don't show one: this VM was cut off itself. Nor does a list
 * that is old since nobody asked, as when both readers are lost.
 *
 * Failure that this prevents: a VM that could not read is replaced as a reader
 * and asks no more. Minutes later the readers end and it takes over; its list
 * is a second old, and it took its old failures for an interruption. Targets
 * whose entries are missing were then kept for a while, by all VMs. The symptom
 * is an `interruption-ends` line whose last_failure_ms is larger than its
 * view_age_ms, and `target` lines with state=lapsed.
 */
#include "reading.h"

#include <string.h>

#include "clock.h"

/* The list is stale when no reader has confirmed it for two waits. */
#define VIEW_STALE TR_MSEC(1000)
/* Added to that for each VM that ranks before this one. */
#define VIEW_STALE_PER_RANK TR_MSEC(120)
/* Delay after a failure, doubled up to the maximum, so that the fleet does not
 * call a store that is down several times a second. */
#define RETRY_DELAY_MIN TR_MSEC(250)
#define RETRY_DELAY_MAX TR_MSEC(1500)
/* Consecutive failures after which another VM should read, and which show an
 * interruption to the VM that saw them. */
#define FAILURES_MIN 2
/* After this time a VM that can't read tries again, though others read: else it
 * would take no part until there is no other reader. */
#define RECHECK_INTERVAL TR_SEC(10)
/* A VM that hears a smaller share of the others may be the one that is cut off.
 */
#define HEARD_SHARE_MIN 0.5

/* Returns whether it is this VM's turn to read, once it has a list and a
 * configuration. */
bool tr_reading_is_due(const struct tr_reading *r,
		       const struct tr_roster *roster,
		       const struct tr_membership *m, apr_time_t now)
{
	apr_time_t age = now - roster->confirmed_at;

	if (tr_membership_is_reader(m, now))
		return true;
	if (m->nodes[0].cannot_read && now - r->failed_at >= RECHECK_INTERVAL)
		return true;
	if (age <= VIEW_STALE)
		return false;
	return age > VIEW_STALE + tr_membership_read_rank(m, now) *
					  VIEW_STALE_PER_RANK;
}

/* Records that a read that was sent at sent_at has failed or timed out. Returns
 * the delay before the next one. */
apr_time_t tr_reading_fail(struct tr_reading *r, struct tr_membership *m,
			   struct tr_random *random, apr_time_t sent_at,
			   apr_time_t now)
{
	struct tr_read_failures *f = &r->failures;

	if (!f->count++) {
		f->first_sent_at = sent_at;
		f->first_failed_at = now;
	}
	r->failed_at = now;
	if (f->count >= FAILURES_MIN)
		m->nodes[0].cannot_read = true;
	r->retry = r->retry ? r->retry * 2 : RETRY_DELAY_MIN;
	if (r->retry > RETRY_DELAY_MAX)
		r->retry = RETRY_DELAY_MAX;
	return r->retry / 2 + tr_random_below(random, (uint32_t)r->retry);
}

/* Forgets the failures, as after the process was suspended. */
void tr_reading_forget(struct tr_reading *r)
{
	memset(&r->failures, 0, sizeof(r->failures));
	r->retry = 0;
}

/* Records that a read was answered. */
void tr_reading_succeed(struct tr_reading *r, struct tr_membership *m)
{
	m->nodes[0].cannot_read = false;
	tr_reading_forget(r);
}

/* Leaves the store to the other VMs. Once these are answered, what this VM saw
 * says nothing of the store any more. */
void tr_reading_stop(struct tr_reading *r, const struct tr_roster *roster)
{
	if (tr_roster_last_answer(roster) > r->failed_at)
		tr_reading_forget(r);
}

/*
 * Returns whether the store has left this VM's reads unanswered for as long as
 * an interruption takes at least, after it had taken over from readers that
 * were not answered either. By then those after it in the order of readers have
 * asked too. What the readers themselves see is not reported: they may be the
 * only ones that are cut off.
 */
bool tr_reading_sees_outage(const struct tr_reading *r,
			    const struct tr_roster *roster)
{
	const struct tr_read_failures *f = &r->failures;

	return f->count &&
	       f->first_sent_at - tr_roster_last_answer(roster) > VIEW_STALE &&
	       r->failed_at - f->first_sent_at >= TR_INTERRUPTION_MIN;
}

/* Returns whether, if this VM is answered now, an interruption may end with
 * that, as its own reads or another VM say. One that is cut off from the others
 * does not know. */
bool tr_reading_may_end_interruption(const struct tr_reading *r,
				     const struct tr_roster *roster,
				     const struct tr_membership *m,
				     apr_time_t now)
{
	apr_time_t answer = tr_roster_last_answer(roster);

	if (tr_membership_recent_share(m, now) < HEARD_SHARE_MIN)
		return false;
	return (r->failures.count >= FAILURES_MIN &&
		r->failures.first_failed_at > answer) ||
	       tr_reading_sees_outage(r, roster) ||
	       tr_membership_sees_outage(m, answer);
}
