/* Encoding of messages between VMs as one-way ONC RPC calls. */
#include <rpc/rpc.h>
#include <string.h>

#include "mesh_internal.h"

#define RPC_VERSION 2

static void init_call(struct rpc_msg *call, rpcproc_t procedure)
{
	memset(call, 0, sizeof(*call));
	call->rm_direction = CALL;
	call->rm_call.cb_rpcvers = RPC_VERSION;
	call->rm_call.cb_prog = MESH_PEER;
	call->rm_call.cb_vers = MESH_VERSION;
	call->rm_call.cb_proc = procedure;
	call->rm_call.cb_cred = _null_auth;
	call->rm_call.cb_verf = _null_auth;
}

/* Encodes the message as a one-way call. Returns the length, or 0 if it does
 * not fit. */
size_t mesh_encode(struct mesh_message *msg, rpcproc_t procedure, char *buf,
		   size_t size)
{
	struct rpc_msg call;
	size_t len = 0;
	XDR xdr;

	init_call(&call, procedure);
	xdrmem_create(&xdr, buf, (u_int)size, XDR_ENCODE);
	if (xdr_callmsg(&xdr, &call) && xdr_mesh_message(&xdr, msg))
		len = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return len;
}

/* Whether a message of len bytes that was read up to end, in part from the
 * zeros behind it, is a whole one of this build or of an earlier one. */
static bool is_whole(size_t end, size_t len)
{
	return end <= len || end == len + MESH_LOAD_TAIL_BYTES ||
	       end == len + MESH_TAIL_BYTES;
}

/*
 * Decodes a message. The caller frees it with xdr_free(), also when this fails.
 * buf must have room for MESH_TAIL_BYTES more than len: the last fields, which
 * the messages of earlier builds lack, are read as zeros there.
 */
bool mesh_decode(char *buf, size_t len, struct mesh_message *msg,
		 rpcproc_t *procedure)
{
	char cred[2][MAX_AUTH_BYTES];
	struct rpc_msg call;
	bool ok;
	XDR xdr;

	memset(&call, 0, sizeof(call));
	memset(msg, 0, sizeof(*msg));
	call.rm_call.cb_cred.oa_base = cred[0];
	call.rm_call.cb_verf.oa_base = cred[1];
	memset(buf + len, 0, MESH_TAIL_BYTES);
	xdrmem_create(&xdr, buf, (u_int)(len + MESH_TAIL_BYTES), XDR_DECODE);
	ok = xdr_callmsg(&xdr, &call) && call.rm_call.cb_prog == MESH_PEER &&
	     call.rm_call.cb_vers == MESH_VERSION &&
	     xdr_mesh_message(&xdr, msg) && is_whole(xdr_getpos(&xdr), len);
	*procedure = call.rm_call.cb_proc;
	xdr_destroy(&xdr);
	return ok;
}

/* Fills in a target's totals, two per word. */
void mesh_fill_row(struct mesh_row *out, const struct tr_instance *row)
{
	const uint16_t *n = row->own.count;

	out->target = row->hash;
	for (int i = 0; i < TR_SYMPTOMS / 2; i++)
		out->totals[i] = (uint32_t)n[2 * i] << 16 | n[2 * i + 1];
	out->in_flight = row->in_flight;
}

void mesh_read_row(const struct mesh_row *in, struct tr_symptom_totals *t)
{
	for (int i = 0; i < TR_SYMPTOMS / 2; i++) {
		t->count[2 * i] = (uint16_t)(in->totals[i] >> 16);
		t->count[2 * i + 1] = (uint16_t)in->totals[i];
	}
}

/* Identifies a service in messages. */
uint32_t mesh_service_hash(const struct entry *e, unsigned service)
{
	return (uint32_t)tr_hash_string(e->roster.services[service].name);
}
