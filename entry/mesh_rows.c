/* What VMs tell each other of their work: outcomes at targets, and requests for
 * services. */
#include <stdlib.h>

#include "mesh_internal.h"

/* Unchanged rows repeated in each message, in case an earlier one was lost. */
#define ROWS_AGAIN 2
/* Of them, those where a VM's last request has ended since: until that is heard
 * others count it as in flight. */
#define ENDS_AGAIN  12
#define BYTES_A_ROW 24
/* VMs that are looked at ten times a second for whether they are lost: a
 * thousand in two seconds. */
#define FORGOTTEN_A_STEP 50
/* Outcomes of a VM of another group at one target that can be its first: it
 * sends here only while its own group is full, seldom twice to one target. */
#define FIRST_TOTALS 3

static unsigned sum_of(const struct tr_symptom_totals *totals)
{
	unsigned sum = 0;

	for (int s = 0; s < TR_SYMPTOMS; s++)
		sum += totals->count[s];
	return sum;
}

/* Ends that were told in the message before this one. */
static void add_ends(struct tr_roster *roster, struct mesh_message *msg,
		     struct mesh_row *rows)
{
	for (unsigned i = 0;
	     i < roster->count && msg->rows.rows_len < ENDS_AGAIN; i++) {
		struct tr_instance *row = &roster->rows[i];

		if (!row->used || !row->report_again)
			continue;
		row->report_again = false;
		if (!row->dirty)
			mesh_fill_row(&rows[msg->rows.rows_len++], row);
	}
}

static void add_changed(struct tr_roster *roster, struct mesh_message *msg,
			struct mesh_row *rows, unsigned most)
{
	for (unsigned i = 0; i < roster->count && msg->rows.rows_len < most;
	     i++) {
		struct tr_instance *row = &roster->rows[i];

		if (!row->used || !row->dirty)
			continue;
		mesh_fill_row(&rows[msg->rows.rows_len++], row);
		row->dirty = false;
		row->report_again = !row->in_flight;
	}
}

/* Targets at which something has changed, as many as there is room for in
 * bytes, and some that were told before. */
void mesh_add_rows(struct mesh *mesh, struct mesh_message *msg,
		   struct mesh_row *rows, size_t room)
{
	struct tr_roster *roster = &mesh->e->roster;
	unsigned most = (unsigned)(room / BYTES_A_ROW);

	if (most > MESH_MAX_ROWS)
		most = MESH_MAX_ROWS;
	msg->rows.rows_val = rows;
	if (most > ENDS_AGAIN)
		add_ends(roster, msg, rows);
	add_changed(roster, msg, rows, most);
	for (unsigned n = 0;
	     n < ROWS_AGAIN && n < roster->count && msg->rows.rows_len < most;
	     n++) {
		const struct tr_instance *row =
			&roster->rows[mesh->row_again++ % roster->count];

		if (row->used && sum_of(&row->own))
			mesh_fill_row(&rows[msg->rows.rows_len++], row);
	}
}

/* How many requests came for each service, and were sent once more; going on
 * where the last message ended. */
void mesh_add_work(struct mesh *mesh, struct mesh_message *msg,
		   struct mesh_work *work)
{
	const struct entry *e = mesh->e;

	msg->work.work_val = work;
	for (unsigned n = 0;
	     n < e->allowances_count && msg->work.work_len < MESH_MAX_WORK;
	     n++) {
		unsigned i = mesh->work_next++ % e->allowances_count;
		const struct tr_work_totals *own = &e->allowances[i].own;

		if (!own->requests && !own->repeats)
			continue;
		work[msg->work.work_len++] = (struct mesh_work){
			.service = mesh_service_hash(e, i),
			.totals = (uint32_t)own->requests << 16 | own->repeats,
		};
	}
}

/* The VM is lost, and with it what it has in flight. What it counted is kept:
 * it may go on counting, and be heard again. */
void mesh_forget_reports(struct mesh *mesh, struct tr_node *node)
{
	for (unsigned i = 0; i < node->reported_count; i++) {
		struct tr_report *reported = &node->reported[i];
		struct tr_instance *row =
			tr_roster_by_hash(&mesh->e->roster, reported->target);

		if (row)
			row->others_in_flight -= reported->in_flight;
		reported->in_flight = 0;
	}
	node->reports_work = false;
}

static struct tr_allowance *allowance_of(struct entry *e, uint32_t service)
{
	for (unsigned i = 0; i < e->roster.services_count; i++)
		if (mesh_service_hash(e, i) == service)
			return entry_allowance(e, i);
	return NULL;
}

/* What the VM's last process may have sent and not told counts as sent. */
static void keep_untold(struct entry *e, const struct tr_node *node,
			apr_time_t now)
{
	for (unsigned i = 0; i < node->work_count; i++) {
		const struct tr_work_report *work = &node->work[i];
		struct tr_allowance *a = allowance_of(e, work->service);

		if (a)
			tr_allowance_vm_restarted(a, &e->repeat_bound,
						  &work->bucket, work->at, now);
	}
}

/* The VM has restarted, and counts anew. */
void mesh_forget_node(struct mesh *mesh, struct tr_node *node, apr_time_t now)
{
	mesh_forget_reports(mesh, node);
	if (node->near)
		keep_untold(mesh->e, node, now);
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
}

/* Forget what VMs have in flight that are lost since; a few at each step. */
void mesh_forget_lost(struct mesh *mesh, apr_time_t now)
{
	struct tr_membership *m = &mesh->e->members;

	for (int i = 0; i < FORGOTTEN_A_STEP; i++) {
		struct tr_node *node = &m->nodes[mesh->node_next++ % m->count];

		if (node->reports_work && !tr_node_alive(m, node, now))
			mesh_forget_reports(mesh, node);
	}
}

/*
 * Is what the VM tells of a target for the first time news? What it counted
 * before this VM listened is old. A VM of another group tells only of what it
 * sent here, so a few outcomes are the first.
 */
static bool is_news(const struct tr_node *node,
		    const struct tr_symptom_totals *totals, apr_time_t now)
{
	if (node->near)
		return tr_node_heard_from_start(node, now);
	return sum_of(totals) <= FIRST_TOTALS;
}

/* Did a request end of which the VM tells no outcome? It was overdue, and told
 * as such when it came to that. LATE is also said of an attempt that ended
 * because it could not connect. */
static bool hang_ended(const struct tr_report *reported,
		       const struct mesh_row *in,
		       const struct tr_symptom_totals *totals)
{
	int ended = (int)reported->in_flight - (int)in->in_flight;

	for (int s = 0; s < TR_SYMPTOMS; s++)
		if (tr_symptom_ends_request((enum tr_symptom)s) ||
		    s == TR_SYMPTOM_LATE)
			ended -= (uint16_t)(totals->count[s] -
					    reported->totals.count[s]);
	return ended > 0;
}

/* Did the VM send a request there since its last message, whether it still runs
 * or not? */
static bool has_begun(const struct tr_report *reported,
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

static void take_row(struct mesh *mesh, struct tr_node *node,
		     const struct mesh_row *in, apr_time_t now)
{
	struct tr_roster *roster = &mesh->e->roster;
	struct tr_instance *row = tr_roster_by_hash(roster, in->target);
	struct tr_symptom_totals totals;
	struct tr_report *reported;
	bool old = false;

	if (!row)
		return;
	mesh_read_row(in, &totals);
	reported = tr_node_report(node, in->target);
	if (reported->target != row->hash) {
		reported->target = row->hash;
		old = !is_news(node, &totals, now);
	}
	if (!old && hang_ended(reported, in, &totals))
		tr_roster_end_hang(row, now);
	row->others_in_flight += in->in_flight - reported->in_flight;
	if (old ? in->in_flight > reported->in_flight
		: has_begun(reported, in, &totals))
		row->used_at = now;
	reported->in_flight = (uint16_t)in->in_flight;
	node->reports_work = true;
	for (int s = 0; s < TR_SYMPTOMS; s++) {
		uint16_t news = totals.count[s] - reported->totals.count[s];

		if (!news || old)
			continue;
		tr_roster_add_outcome(roster, row, (enum tr_symptom)s, news,
				      now);
	}
	reported->totals = totals;
}

static struct tr_work_report *work_report_of(struct tr_node *node,
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

static void take_work(struct mesh *mesh, struct tr_node *node,
		      const struct mesh_work *in, apr_time_t now)
{
	struct entry *e = mesh->e;
	struct tr_work_totals reported = {
		.requests = (uint16_t)(in->totals >> 16),
		.repeats = (uint16_t)in->totals,
	};
	struct tr_work_report *work = work_report_of(node, in->service);

	bool is_first = !work->service;
	/* What it counted before this VM listened is old. */
	bool is_news = !is_first || tr_node_heard_from_start(node, now);
	struct tr_allowance *a = is_news ? allowance_of(e, in->service) : NULL;

	if (a) {
		tr_allowance_reported(a, &e->repeat_bound, &work->totals,
				      &reported, is_first ? now : work->at,
				      now);
		tr_repeat_bucket_reported(&work->bucket, &e->repeat_bound,
					  &work->totals, &reported, now);
	}
	work->service = in->service;
	work->totals = reported;
	work->at = now;
}

static double untold_by(const struct entry *e, const struct tr_node *node,
			uint32_t service, apr_time_t now)
{
	for (unsigned i = 0; i < node->work_count; i++)
		if (node->work[i].service == service)
			return tr_repeat_bucket_unreported(
				&node->work[i].bucket, &e->repeat_bound,
				node->work[i].at, now);
	return 0;
}

/* How many repeats for the service VMs of the group that are silent may have
 * sent since they were heard. */
double mesh_unreported_repeats(const struct entry *e, uint32_t service,
			       apr_time_t now)
{
	const struct tr_membership *m = &e->members;
	uint32_t hash = mesh_service_hash(e, service);
	double sum = 0;

	for (unsigned i = 1; i < m->count; i++) {
		const struct tr_node *node = &m->nodes[i];

		if (node->near && !tr_node_heard_recently(m, node, now))
			sum += untold_by(e, node, hash, now);
	}
	return sum;
}

/* Take in what another VM did at targets. */
void mesh_handle_rows(struct mesh *mesh, struct tr_node *node,
		      const struct mesh_message *msg, apr_time_t now)
{
	for (u_int i = 0; i < msg->work.work_len; i++)
		take_work(mesh, node, &msg->work.work_val[i], now);
	for (u_int i = 0; i < msg->rows.rows_len; i++)
		take_row(mesh, node, &msg->rows.rows_val[i], now);
}
