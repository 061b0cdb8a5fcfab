/* Requests that crash the targets that run them: what this VM sees of them, and
 * whether one may be sent on; see lib/fatal.c. */
#include <inttypes.h>
#include <stdio.h>

#include "eventlog.h"
#include "exchange_internal.h"
#include "fatal.h"
#include "mesh.h"

static const char *const change_words[] = {
	[TR_FATAL_REFUSED] = "refused",
	[TR_FATAL_SERVED] = "served",
};

/* The targets that ended, and how many ends were known when each was sent the
 * request: 1a2b3c4d:0,... */
static const char *ends_text(const struct tr_fatal *row, char *buf, size_t size)
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

/* A line where a request begins or ends to be refused. */
void exchange_fatal_log(const struct entry *e, uint64_t identity,
			enum tr_fatal_change change)
{
	const struct tr_fatal *row = tr_fatal_find(&e->fatals, identity);
	char ends[160];

	if (change == TR_FATAL_SAME || !row)
		return;
	eventlog(EVENT_BELIEF, "fatal-request",
		 "identity=%016" PRIx64 " state=%s ends=%u tries=%u targets=%s "
		 "again_in_ms=%ld",
		 identity, change_words[change], row->ends_count, row->tries,
		 ends_text(row, ends, sizeof(ends)),
		 (long)(tr_fatal_retry_after(&e->fatals, identity,
					     entry_now(e)) /
			1000));
}

/*
 * May the request be sent to a target? The others are told of one that is the
 * fleet's only one at once, so that they leave it at that.
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
		eventlog(EVENT_BELIEF, "fatal-request",
			 "identity=%016" PRIx64 " state=tried id=%s",
			 x->identity, x->id);
		mesh_broadcast_now(e->mesh);
	}
	if (verdict == TR_FATAL_REFUSE)
		e->counts.fatal++;
	return verdict;
}

/*
 * What the end of an attempt tells. A second target that ended is told to the
 * others at once: until they know, they send the same request on. A first one
 * has mostly ended under many requests at once, of which none will be heard of
 * again; they go together in the next message.
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
