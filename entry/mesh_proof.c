/* Requests for a proof that the configuration is current; see lib/proof.c. */
#include "entry_settings.h"
#include "mesh_internal.h"
#include "proof.h"

/* Asks another VM for a more recent proof once this VM's has aged. */
void mesh_request_proof(struct mesh *mesh, apr_time_t now)
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
	mesh_fill_header(mesh, &msg);
	msg.question = e->proof.question;
	mesh_send_message(mesh, node->ip, &msg, MESH_REPORT);
}

static void send_answer(struct mesh *mesh, uint64_t question, uint32_t ip)
{
	struct mesh_message msg;

	mesh_fill_header(mesh, &msg);
	msg.answers = question;
	mesh_send_message(mesh, ip, &msg, MESH_REPORT);
}

/*
 * Replies to a question, or uses a reply. The sender's configuration was
 * current at the time of its proof; so this VM's configuration was too, unless
 * it is older.
 */
void mesh_handle_proof(struct mesh *mesh, struct tr_node *node,
		       const struct mesh_message *msg, apr_time_t now)
{
	struct entry *e = mesh->e;

	(void)now;
	if (msg->question)
		send_answer(mesh, msg->question, node->ip);
	if (!msg->answers || msg->proof_age_ms == UINT32_MAX || !e->routes ||
	    mesh_routes_order(e, msg) > entry_routes_order(e))
		return;
	tr_proof_reply(&e->proof, msg->answers, TR_MSEC(msg->proof_age_ms));
}
