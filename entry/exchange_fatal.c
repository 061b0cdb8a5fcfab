/*
 * Requests that crash the targets that run them: reports what this VM sees of
 * them, and decides whether one may be sent; see lib/fatal.c.
 */
#include <inttypes.h>
#include <stdio.h>

#include "eventlog.h"
#include "exchange_internal.h"
#include "fatal.h"
#include "mesh.h"

static const char *const change_names[] = {
	[TR_FATAL_REFUSED] = "refused",
	[TR_FATAL_SERVED] = "served",
};

/*
 * Formats the targets that ended, each with the number of ends known when the
 * request was sent there: 1a2b3c4d:0,...
 */
static const char *format_ends(const struct tr_fatal *row, char *buf,
			       size_t size)
{
	size_t len = 0;

	buf[0] = 0;
	for (unsigned i = 0; i < row->ends_count && len < size; i++) {
		const struct tr_fatal_end *end = &row->ends[i];

		len += (size_t)snprintf(buf + len, size - len, "%s%08x:%u",
					i ? "," : "", end->target, end->known);
	}
	return buf;
}

/* Logs when a request begins or ceases to be refused. */
void exchange_fatal_log(const struct entry *e, uint64_t identity,
			enum tr_fatal_change change)
{
	const struct tr_fatal *row = tr_fatal_find(&e->fatals, identity);
	char ends[160];

	if (change == TR_FATAL_SAME || !row)
		return;
	eventlog(EVENT_STATE, "fatal-request",
		 "identity=%016" PRIx64 " state=%s ends=%u tries=%u targets=%s "
		 "again_in_ms=%ld",
		 identity, change_names[change], row->ends_count, row->tries,
		 format_ends(row, ends, sizeof(ends)),
		 (long)(tr_fatal_retry_after(&e->fatals, identity,
					     entry_now(e)) /
			1000));
}

/*
 * Returns whether the request may be sent to a target. If it is the fleet's one
 * trial, the other VMs are told at once so that they send none.
 */
enum tr_fatal_verdict exchange_fatal_admit(struct exchange *x)
{
	struct entry *e = x->e;
	enum tr_fatal_verdict verdict = TR_FATAL_PASS;

	if (!x->is_trial)
		verdict = tr_fatal_admit(&e->fatals, x->identity, &e->random,
					 entry_now(e));
	if (verdict == TR_FATAL_TRY) {
		x->is_trial = true;
		eventlog(EVENT_STATE, "fatal-request",
			 "identity=%016" PRIx64 " state=tried id=%s",
			 x->identity, x->id);
		mesh_broadcast_now(e->mesh);
	}
	if (verdict == TR_FATAL_REFUSE)
		e->counts.fatal++;
	return verdict;
}

/*
 * Records the end of an attempt. The second target that ended under a request
 * is reported to the other VMs at once, because until they know, they send the
 * same request on. A first one has mostly ended under many requests at once, of
 * which none will be seen again; these are reported together in the next
 * message.
 */
void exchange_fatal_observe(struct exchange *x, const struct upstream *u,
			    enum upstream_end how)
{
	struct entry *e = x->e;
	apr_time_t now = entry_now(e);
	const struct tr_fatal_end end = {
		.target = u->hash,
		.known = u->known_exits,
		.ended = u->broken_at,
	};

	if (how == UPSTREAM_ANSWERED || how == UPSTREAM_FAILED) {
		exchange_fatal_log(
			e, x->identity,
			tr_fatal_answered(&e->fatals, x->identity, now));
	} else if (how == UPSTREAM_BROKEN && u->target_exited) {
		exchange_fatal_log(e, x->identity,
				   tr_fatal_ended(&e->fatals, x->identity, &end,
						  &e->random, now));
		if (u->known_exits)
			mesh_broadcast_now(e->mesh);
		else
			mesh_schedule_report(e->mesh);
	}
}
