/* Messages about requests: outcomes and requests in flight at targets, and
 * totals per service. */
#include <stdlib.h>

#include "mesh_internal.h"
#include "crossing_watch.h"

/* Unchanged rows sent again in each message, in case an earlier one was lost.
 */
#define ROWS_RESENT 2
/* Rows sent again because a VM's last request at the target has finished: until
 * they know, other VMs count it as in flight. */
#define FINISHED_RESENT 12
#define ROW_BYTES	24
/* VMs checked for being lost in each step, ten times a second: a thousand in
 * two seconds. */
#define NODES_CHECKED_PER_STEP 50
/* A VM of another group with at most this many outcomes at a target counts as
 * reporting it for the first time: it sends requests here only while its own
 * group is full, rarely twice to one target. */
#define FIRST_TOTALS_MAX 3

static unsigned total_count(const struct tr_symptom_totals *totals)
{
	unsigned sum = 0;

	for (int s = 0; s < TR_SYMPTOMS; s++)
		sum += totals->count[s];
	return sum;
}

/* Adds the rows whose last request was reported as finished in the previous
 * message. */
static void add_finished_again(struct tr_roster *roster,
			       struct mesh_message *msg, struct mesh_row *rows)
{
	for (unsigned i = 0;
	     i < roster->count && msg->rows.rows_len < FINISHED_RESENT; i++) {
		struct tr_instance *row = &roster->rows[i];

		if (!row->used || !row->report_again)
			continue;
		row->report_again = false;
		if (!row->dirty)
			mesh_fill_row(&rows[msg->rows.rows_len++], row);
	}
}

static void add_changed_rows(struct tr_roster *roster, struct mesh_message *msg,
			     struct mesh_row *rows, unsigned max)
{
	for (unsigned i = 0; i < roster->count && msg->rows.rows_len < max;
	     i++) {
		struct tr_instance *row = &roster->rows[i];

		if (!row->used || !row->dirty)
			continue;
		mesh_fill_row(&rows[msg->rows.rows_len++], row);
		row->dirty = false;
		row->report_again = !row->in_flight;
	}
}

/* Adds the targets with changes, as many as fit into room bytes, and some that
 * were sent before. */
void mesh_add_rows(struct mesh *mesh, struct mesh_message *msg,
		   struct mesh_row *rows, size_t room)
{
	struct tr_roster *roster = &mesh->e->roster;
	unsigned max = (unsigned)(room / ROW_BYTES);

	if (max > MESH_MAX_ROWS)
		max = MESH_MAX_ROWS;
	msg->rows.rows_val = rows;
	if (max > FINISHED_RESENT)
		add_finished_again(roster, msg, rows);
	add_changed_rows(roster, msg, rows, max);
	for (unsigned n = 0;
	     n < ROWS_RESENT && n < roster->count && msg->rows.rows_len < max;
	     n++) {
		const struct tr_instance *row =
			&roster->rows[mesh->next_row++ % roster->count];

		if (row->used && total_count(&row->own))
			mesh_fill_row(&rows[msg->rows.rows_len++], row);
	}
}

/* Adds the requests and retries of each service, continuing where the last
 * message ended. */
void mesh_add_work(struct mesh *mesh, struct mesh_message *msg,
		   struct mesh_work *work)
{
	const struct entry *e = mesh->e;

	msg->work.work_val = work;
	for (unsigned n = 0;
	     n < e->allowances_count && msg->work.work_len < MESH_MAX_WORK;
	     n++) {
		unsigned i = mesh->next_work++ % e->allowances_count;
		const struct tr_work_totals *own = &e->allowances[i].own;

		if (!own->requests && !own->repeats)
			continue;
		work[msg->work.work_len++] = (struct mesh_work){
			.service = mesh_service_hash(e, i),
			.totals = (uint32_t)own->requests << 16 | own->repeats,
		};
	}
}

/* Drops the requests in flight of a VM that is lost. Its totals are kept, since
 * it may go on counting and be heard again. */
void mesh_forget_reports(struct mesh *mesh, struct tr_node *node)
{
	for (unsigned i = 0; i < node->reported_count; i++) {
		struct tr_report *reported = &node->reported[i];
		struct tr_instance *row =
			tr_roster_by_hash(&mesh->e->roster, reported->target);

		if (row)
			row->others_in_flight -= reported->in_flight;
		reported->in_flight = 0;
		reported->overdue = 0;
	}
	mesh_forget_held(mesh, node);
	node->reports_work = false;
}

static struct tr_allowance *find_allowance(struct entry *e, uint32_t service)
{
	for (unsigned i = 0; i < e->roster.services_count; i++)
		if (mesh_service_hash(e, i) == service)
			return entry_allowance(e, i);
	return NULL;
}

/* Charges the retries that the VM's last process may have sent without
 * reporting them. */
static void charge_unreported(struct entry *e, const struct tr_node *node,
			      apr_time_t now)
{
	for (unsigned i = 0; i < node->work_count; i++) {
		const struct tr_work_report *work = &node->work[i];
		struct tr_allowance *a = find_allowance(e, work->service);

		if (a)
			tr_allowance_vm_restarted(a, &e->repeat_bound,
						  &work->bucket, work->at, now);
	}
}

/* Forgets everything about a VM that has restarted and counts from zero. */
void mesh_forget_node(struct mesh *mesh, struct tr_node *node, apr_time_t now)
{
	mesh_forget_reports(mesh, node);
	if (node->near)
		charge_unreported(mesh->e, node, now);
	free(node->reported);
	node->reported = NULL;
	node->reported_count = 0;
	node->reported_capacity = 0;
	free(node->work);
	node->work = NULL;
	node->work_count = 0;
	free(node->limits);
	node->limits = NULL;
	node->limits_count = 0;
	node->limits_capacity = 0;
	free(node->sent);
	node->sent = NULL;
	node->sent_count = 0;
	free(node->flows);
	node->flows = NULL;
	node->flows_count = 0;
	node->flows_capacity = 0;
	free(node->held_at);
	node->held_at = NULL;
	node->held_at_count = 0;
}

/* Drops the requests in flight of VMs that were lost; checks a few VMs in each
 * step. */
void mesh_forget_lost(struct mesh *mesh, apr_time_t now)
{
	struct tr_membership *m = &mesh->e->members;

	for (int i = 0; i < NODES_CHECKED_PER_STEP; i++) {
		struct tr_node *node = &m->nodes[mesh->next_node++ % m->count];

		if (node->reports_work && !tr_node_alive(m, node, now))
			mesh_forget_reports(mesh, node);
	}
}

/*
 * Whether a VM's first totals for a target count as new; what it counted before
 * this VM first heard it does not. A VM of another group reports only requests
 * that it sent here, so a few outcomes are its first.
 */
static bool counts_as_new(const struct tr_node *node,
			  const struct tr_symptom_totals *totals,
			  apr_time_t now)
{
	if (node->near)
		return tr_node_heard_from_start(node, now);
	return total_count(totals) <= FIRST_TOTALS_MAX;
}

/* How many requests finished without a reported outcome: those that were
 * overdue, those that were given up, and those of which a VM that is cut off
 * can't tell. LATE is also reported for an attempt that ended because it could
 * not connect. */
static int finished_silently(const struct tr_report *reported,
			     const struct mesh_row *in,
			     const struct tr_symptom_totals *totals)
{
	int ended = (int)reported->in_flight - (int)in->in_flight;

	for (int s = 0; s < TR_SYMPTOMS; s++)
		if (tr_symptom_ends_request((enum tr_symptom)s) ||
		    s == TR_SYMPTOM_LATE)
			ended -= (uint16_t)(totals->count[s] -
					    reported->totals.count[s]);
	return ended > 0 ? ended : 0;
}

static uint16_t added(const struct tr_report *reported,
		      const struct tr_symptom_totals *totals,
		      enum tr_symptom symptom)
{
	return (uint16_t)(totals->count[symptom] -
			  reported->totals.count[symptom]);
}

/*
 * Splits the requests that finished silently by what is known of them, and
 * updates how many overdue ones the VM has at the target. Sets *hangs to the
 * overdue ones, and *withdrawn to those of which nothing is known, not even
 * that they reached the target.
 */
static void count_finished(struct tr_report *reported,
			   const struct mesh_row *in,
			   const struct tr_symptom_totals *totals, int *hangs,
			   int *withdrawn)
{
	int overdue = reported->overdue +
		      added(reported, totals, TR_SYMPTOM_OVERDUE) -
		      added(reported, totals, TR_SYMPTOM_ANSWERED_OVERDUE);
	int finished = finished_silently(reported, in, totals);

	if (overdue < 0)
		overdue = 0;
	*hangs = finished < overdue ? finished : overdue;
	*withdrawn = finished - *hangs;
	reported->overdue = (uint16_t)(overdue - *hangs);
}

/* Whether the VM has sent the target a request since its last message, even if
 * it has finished since. */
static bool request_started(const struct tr_report *reported,
			    const struct mesh_row *in,
			    const struct tr_symptom_totals *totals)
{
	int begun = (int)in->in_flight - (int)reported->in_flight;

	for (int s = 0; s < TR_SYMPTOMS; s++)
		if (tr_symptom_ends_request((enum tr_symptom)s))
			begun += (uint16_t)(totals->count[s] -
					    reported->totals.count[s]);
	return begun > 0;
}

static void apply_row(struct mesh *mesh, struct tr_node *node,
		      const struct mesh_row *in, apr_time_t now)
{
	struct tr_roster *roster = &mesh->e->roster;
	struct tr_instance *row = tr_roster_by_hash(roster, in->target);
	struct tr_symptom_totals totals;
	struct tr_report *reported;
	bool old = false;
	int hangs;
	int withdrawn;

	if (!row)
		return;
	mesh_read_row(in, &totals);
	reported = tr_node_report(node, in->target);
	if (reported->target != row->hash) {
		reported->target = row->hash;
		old = !counts_as_new(node, &totals, now);
	}
	count_finished(reported, in, &totals, &hangs, &withdrawn);
	if (old)
		reported->overdue = 0;
	else if (hangs)
		tr_roster_end_hang(row, now);
	else if (withdrawn && row->used_at == reported->started_at)
		row->used_at = reported->used_before;
	row->others_in_flight += in->in_flight - reported->in_flight;
	if (old ? in->in_flight > reported->in_flight
		: request_started(reported, in, &totals)) {
		reported->used_before = row->used_at;
		reported->started_at = now;
		row->used_at = now;
	}
	reported->in_flight = (uint16_t)in->in_flight;
	if (!in->in_flight)
		mesh_forget_held_at(mesh, node, in->target);
	node->reports_work = true;
	for (int s = 0; s < TR_SYMPTOMS; s++) {
		uint16_t added = totals.count[s] - reported->totals.count[s];

		if (!added || old)
			continue;
		tr_roster_add_outcome(roster, row, (enum tr_symptom)s, added,
				      now);
	}
	reported->totals = totals;
}

static struct tr_work_report *get_work_report(struct tr_node *node,
					      uint32_t service)
{
	struct tr_work_report *work;

	for (unsigned i = 0; i < node->work_count; i++)
		if (node->work[i].service == service)
			return &node->work[i];
	node->work = g_realloc_n(node->work, node->work_count + 1,
				 sizeof(*node->work));
	work = &node->work[node->work_count++];
	memset(work, 0, sizeof(*work));
	return work;
}

static void apply_work(struct mesh *mesh, struct tr_node *node,
		       const struct mesh_work *in, apr_time_t now)
{
	struct entry *e = mesh->e;
	struct tr_work_totals reported = {
		.requests = (uint16_t)(in->totals >> 16),
		.repeats = (uint16_t)in->totals,
	};
	struct tr_work_report *work = get_work_report(node, in->service);

	bool is_first = !work->service;
	/* Totals from before this VM first heard the sender are not new. */
	bool is_new = !is_first || tr_node_heard_from_start(node, now);
	struct tr_allowance *a = is_new ? find_allowance(e, in->service) : NULL;

	if (a) {
		tr_allowance_reported(a, &e->repeat_bound, &work->totals,
				      &reported, is_first ? now : work->at,
				      now);
		tr_repeat_bucket_reported(&work->bucket, &e->repeat_bound,
					  &work->totals, &reported, now);
		if (node->here)
			crossing_note_arrivals(
				e, (uint32_t)(a - e->allowances),
				(uint16_t)(reported.requests -
					   work->totals.requests));
	}
	work->service = in->service;
	work->totals = reported;
	work->at = now;
}

static double unreported_by(const struct entry *e, const struct tr_node *node,
			    uint32_t service, apr_time_t now)
{
	for (unsigned i = 0; i < node->work_count; i++)
		if (node->work[i].service == service)
			return tr_repeat_bucket_unreported(
				&node->work[i].bucket, &e->repeat_bound,
				node->work[i].at, now);
	return 0;
}

/* Upper bound of the retries for the service that silent VMs of the group may
 * have sent since they were last heard. */
double mesh_unreported_repeats(const struct entry *e, uint32_t service,
			       apr_time_t now)
{
	const struct tr_membership *m = &e->members;
	uint32_t hash = mesh_service_hash(e, service);
	double sum = 0;

	for (unsigned i = 1; i < m->count; i++) {
		const struct tr_node *node = &m->nodes[i];

		if (node->near && !tr_node_heard_recently(m, node, now))
			sum += unreported_by(e, node, hash, now);
	}
	return sum;
}

/* Handles another VM's totals for services and targets. */
void mesh_handle_rows(struct mesh *mesh, struct tr_node *node,
		      const struct mesh_message *msg, apr_time_t now)
{
	for (u_int i = 0; i < msg->work.work_len; i++)
		apply_work(mesh, node, &msg->work.work_val[i], now);
	for (u_int i = 0; i < msg->rows.rows_len; i++)
		apply_row(mesh, node, &msg->rows.rows_val[i], now);
}
