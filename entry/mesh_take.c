/* What is done with another VM's message. */
#include <stdlib.h>
#include <string.h>

#include "eventlog.h"
#include "mesh_internal.h"

/* VMs that are looked at ten times a second for whether they are lost: a
 * thousand in two seconds. */
#define FORGOTTEN_A_STEP 50
/* Outcomes of a VM of another group at one target that can be its first: it
 * sends here only while its own group is full, seldom twice to one target. */
#define FIRST_TOTALS 3

/* What the VM told is void: it restarted, or is lost with its requests. */
void mesh_forget_told(struct mesh *mesh, struct tr_node *node)
{
	for (unsigned i = 0; i < node->told_count; i++) {
		const struct tr_told *told = &node->told[i];
		struct tr_instance *row =
			tr_roster_by_hash(&mesh->e->roster, told->target);

		if (row)
			row->others_in_flight -= told->in_flight;
	}
	free(node->told);
	node->told = NULL;
	node->told_count = 0;
	node->told_room = 0;
	free(node->work);
	node->work = NULL;
	node->work_count = 0;
	free(node->limits);
	node->limits = NULL;
	node->limits_count = 0;
	node->limits_room = 0;
	free(node->sent);
	node->sent = NULL;
	node->sent_count = 0;
}

/* Forget what VMs told that are lost since; a few at each step. */
void mesh_forget_lost(struct mesh *mesh, apr_time_t now)
{
	struct tr_membership *m = &mesh->e->members;

	for (int i = 0; i < FORGOTTEN_A_STEP; i++) {
		struct tr_node *node = &m->nodes[mesh->node_next++ % m->count];

		if ((node->told_count || node->work_count ||
		     node->limits_count || node->sent_count) &&
		    !tr_node_alive(m, node, now))
			mesh_forget_told(mesh, node);
	}
}

static unsigned sum_of(const struct tr_symptom_totals *totals)
{
	unsigned sum = 0;

	for (int s = 0; s < TR_SYMPTOMS; s++)
		sum += totals->count[s];
	return sum;
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

static void take_row(struct mesh *mesh, struct tr_node *node,
		     const struct mesh_row *in, apr_time_t now)
{
	struct tr_roster *roster = &mesh->e->roster;
	struct tr_instance *row = tr_roster_by_hash(roster, in->target);
	struct tr_symptom_totals totals;
	struct tr_told *told;
	bool old = false;

	if (!row)
		return;
	mesh_read_row(in, &totals);
	told = tr_node_told(node, in->target);
	if (told->target != row->hash) {
		told->target = row->hash;
		old = !is_news(node, &totals, now);
	}
	row->others_in_flight += in->in_flight - told->in_flight;
	if (in->in_flight > told->in_flight)
		row->used_at = now;
	told->in_flight = (uint16_t)in->in_flight;
	for (int s = 0; s < TR_SYMPTOMS; s++) {
		uint16_t news = totals.count[s] - told->totals.count[s];

		if (!news || old)
			continue;
		tr_roster_outcome(roster, row, (enum tr_symptom)s, news, now);
		/* Prompt, so it was begun a moment ago. What hangs is no sign
		 * that the target is being used. */
		if (s == TR_SYMPTOM_GOOD)
			row->used_at = now;
	}
	told->totals = totals;
}

static struct tr_told_work *told_work_of(struct tr_node *node, uint32_t service)
{
	struct tr_told_work *work;

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
	struct tr_work_totals told = {
		.requests = (uint16_t)(in->totals >> 16),
		.repeats = (uint16_t)in->totals,
	};
	struct tr_told_work *work = told_work_of(node, in->service);

	/* What it counted before this VM listened is old. */
	for (unsigned i = 0; work->service && i < e->roster.services_count; i++)
		if (mesh_service_hash(e, i) == in->service)
			tr_allowance_heard(entry_allowance(e, i),
					   &e->repeat_bound, &work->totals,
					   &told, now);
	work->service = in->service;
	work->totals = told;
}

static void take_record(struct mesh *mesh, const struct mesh_record *in)
{
	struct tr_target_record r = {
		.slots = in->slots,
		.leaving = in->flags & RECORD_LEAVING,
		.gone = in->flags & RECORD_GONE,
		.cold_for = TR_MSEC(in->cold_ms),
		.revision = in->revision,
		.born = in->born,
	};

	strncpy(r.id, in->id, TR_ID_MAX);
	strncpy(r.service, in->service, TR_ID_MAX);
	strncpy(r.address, in->address, TR_ADDRESS_MAX);
	strncpy(r.data_centre, in->data_centre, TR_ID_MAX);
	entry_target(mesh->e, &r, "peer");
}

/* A target that is not known here is in the list that is pulled. */
static void take_mark(struct mesh *mesh, const struct mesh_mark *in)
{
	struct entry *e = mesh->e;
	struct tr_instance *row = tr_roster_by_hash(&e->roster, in->target);
	struct tr_target_record r;

	if (!row || row->superseded)
		return;
	tr_roster_record(&e->roster, row, &r, entry_now(e));
	r.leaving = in->flags & RECORD_LEAVING;
	r.gone = in->flags & RECORD_GONE;
	r.revision = in->revision;
	entry_target(e, &r, "peer");
}

static void take_list(struct mesh *mesh, const struct tr_node *node,
		      const struct mesh_message *msg, apr_time_t now)
{
	const struct tr_list_told told = {
		.as_of = msg->as_of,
		.digest = msg->digest,
		.age = TR_MSEC(msg->age_ms),
	};

	if (tr_list_check_told(&mesh->list_check, &mesh->e->roster, &told,
			       &mesh->e->random, now))
		pull_targets(&mesh->pull, node->ip);
}

static void take_nodes(struct mesh *mesh, const struct mesh_message *msg)
{
	for (u_int c = 0; c < msg->centres.centres_len; c++) {
		const struct mesh_centre *centre = &msg->centres.centres_val[c];
		const char *name =
			*centre->name ? centre->name : msg->data_centre;

		for (u_int i = 0; i < centre->nodes.nodes_len; i++)
			tr_membership_learn_at(&mesh->e->members,
					       centre->nodes.nodes_val[i],
					       name);
	}
}

/* Take in a message of the VM at the address. */
void mesh_take(struct mesh *mesh, const struct mesh_message *msg, uint32_t ip)
{
	struct entry *e = mesh->e;
	struct tr_node_news news = {
		.ip = ip,
		.boot = msg->boot,
		.sequence = msg->sequence,
		.data_centre = msg->data_centre,
		.ready = msg->flags & MESH_READY,
		.leaving = msg->flags & MESH_LEAVING,
		.cannot_read = msg->flags & MESH_CANNOT_READ,
		.held = { msg->config_revision, msg->as_of > 0 },
		.fleet_size = msg->fleet_size,
		.proof_age = msg->proof_age_ms == UINT32_MAX
				     ? -1
				     : TR_MSEC(msg->proof_age_ms),
	};
	apr_time_t now = entry_now(e);
	struct tr_node *node;
	bool restarted;

	e->counts.messages_in++;
	node = tr_membership_heard(&e->members, &news, now, &restarted);
	if (!node)
		return;
	if (restarted) {
		mesh_forget_told(mesh, node);
		if (!(msg->flags & MESH_ANSWER))
			mesh_call_one(mesh, ip, true);
	}
	for (u_int i = 0; i < msg->records.records_len; i++)
		take_record(mesh, &msg->records.records_val[i]);
	for (u_int i = 0; i < msg->marks.marks_len; i++)
		take_mark(mesh, &msg->marks.marks_val[i]);
	for (u_int i = 0; i < msg->work.work_len; i++)
		take_work(mesh, node, &msg->work.work_val[i], now);
	for (u_int i = 0; i < msg->rows.rows_len; i++)
		take_row(mesh, node, &msg->rows.rows_val[i], now);
	mesh_take_fatals(mesh, msg, now);
	mesh_take_limits(mesh, node, msg, now);
	mesh_take_notices(mesh, node, msg, now);
	mesh_take_proof(mesh, msg, ip);
	take_list(mesh, node, msg, now);
	/* From here on the VM's row may move. */
	take_nodes(mesh, msg);
	mesh_take_summary(mesh, msg, now);
}
