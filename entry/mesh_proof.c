/* Questions for the proof that a configuration is the newest; see lib/proof.c.
 */
#include "entry_settings.h"
#include "mesh_internal.h"
#include "proof.h"

/* Ask another VM for a younger proof, where this one's has grown old. */
void mesh_ask_proof(struct mesh *mesh, apr_time_t now)
{
	struct entry *e = mesh->e;
	const struct tr_node *node;
	struct mesh_message msg;

	if (!e->routes || !e->routes->organisations ||
	    !e->settings->bounds.fail_closed)
		return;
	node = tr_proof_query(&e->proof, &e->members, e->settings->key_proof_us,
			      &e->random, now);
	if (!node)
		return;
	mesh_fill_head(mesh, &msg);
	msg.question = e->proof.question;
	mesh_send_message(mesh, node->ip, &msg, MESH_TELL);
}

static void answer(struct mesh *mesh, uint64_t question, uint32_t ip)
{
	struct mesh_message msg;

	mesh_fill_head(mesh, &msg);
	msg.answers = question;
	mesh_send_message(mesh, ip, &msg, MESH_TELL);
}

/*
 * Answer the VM's question, or take its answer. What it holds was the newest
 * when its proof says; so what this VM holds was too, if it is not older.
 */
void mesh_handle_proof(struct mesh *mesh, struct tr_node *node,
		       const struct mesh_message *msg, apr_time_t now)
{
	struct entry *e = mesh->e;

	(void)now;
	if (msg->question)
		answer(mesh, msg->question, node->ip);
	if (!msg->answers || msg->proof_age_ms == UINT32_MAX || !e->routes ||
	    msg->config_revision > e->routes->revision)
		return;
	tr_proof_reply(&e->proof, msg->answers, TR_MSEC(msg->proof_age_ms));
}
