#include "codec.h"

#include <rpc/rpc.h>
#include <string.h>

#include "gossip.h"
#include "message_xdr.h"

static void rows_to_wire(const struct tr_gossip *msg, struct wire_row *rows)
{
	for (uint32_t i = 0; i < msg->rows_count; i++) {
		rows[i].target = msg->rows[i].target;
		rows[i].well = msg->rows[i].well;
		rows[i].bad = msg->rows[i].bad;
		rows[i].bad_run = msg->rows[i].bad_run;
	}
}

static void orders_to_wire(const struct tr_gossip *msg,
			   struct wire_order *orders)
{
	for (uint32_t i = 0; i < msg->orders_count; i++) {
		orders[i].target = msg->orders[i].target;
		orders[i].kind = msg->orders[i].kind;
		orders[i].vantages = msg->orders[i].vantages;
	}
}

static size_t encode_body(const struct tr_gossip *msg, char *buf, size_t size)
{
	struct wire_row rows[TR_GOSSIP_ROWS];
	struct wire_order orders[TR_GOSSIP_ROWS];
	struct wire_gossip wire = {
		.service = (char *)msg->service,
		.from = msg->from,
		.to = msg->to,
		.sequence = msg->sequence,
		.sent_at = msg->sent_at,
		.echo = msg->echo,
		.hlc_wall = msg->hlc.wall,
		.hlc_count = msg->hlc.count,
		.flags = msg->flags,
		.list_revision = msg->list_revision,
		.document_revision = msg->document_revision,
		.targets_revision = msg->targets_revision,
		.rows = { msg->rows_count, rows },
		.orders = { msg->orders_count, orders },
	};
	XDR xdr;
	size_t len = 0;

	memcpy(wire.boot, msg->boot.id, sizeof(wire.boot));
	rows_to_wire(msg, rows);
	orders_to_wire(msg, orders);
	xdrmem_create(&xdr, buf, (u_int)size, XDR_ENCODE);
	if (xdr_wire_gossip(&xdr, &wire))
		len = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return len;
}

/*
 * Encodes a message as an ONC RPC call without a reply, with a MAC under the
 * fleet key. Returns its length, or 0 if it does not fit.
 */
size_t codec_encode(const struct tr_gossip *msg, const struct tr_secret *secret,
		    char buf[CODEC_MAX_DATAGRAM])
{
	char body[WIRE_MAX_BODY];
	struct wire_envelope env = { .body = { 0, body } };
	struct rpc_msg call = { .rm_xid = (uint32_t)msg->sequence,
				.rm_direction = CALL };
	size_t body_len = encode_body(msg, body, sizeof(body));
	size_t len = 0;
	XDR xdr;

	if (!body_len)
		return 0;
	env.body.body_len = (u_int)body_len;
	tr_mac(secret, body, body_len, (unsigned char *)env.mac);
	call.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	call.rm_call.cb_prog = WIRE_PEER;
	call.rm_call.cb_vers = WIRE_VERSION;
	call.rm_call.cb_proc = WIRE_GOSSIP;
	call.rm_call.cb_cred = _null_auth;
	call.rm_call.cb_verf = _null_auth;
	xdrmem_create(&xdr, buf, CODEC_MAX_DATAGRAM, XDR_ENCODE);
	if (xdr_callmsg(&xdr, &call) && xdr_wire_envelope(&xdr, &env))
		len = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return len;
}

static void rows_from_wire(const struct wire_gossip *wire,
			   struct tr_gossip *msg)
{
	msg->rows_count = wire->rows.rows_len;
	for (uint32_t i = 0; i < msg->rows_count; i++) {
		msg->rows[i].target = wire->rows.rows_val[i].target;
		msg->rows[i].well = wire->rows.rows_val[i].well;
		msg->rows[i].bad = wire->rows.rows_val[i].bad;
		msg->rows[i].bad_run = wire->rows.rows_val[i].bad_run;
	}
}

static void orders_from_wire(const struct wire_gossip *wire,
			     struct tr_gossip *msg)
{
	msg->orders_count = wire->orders.orders_len;
	for (uint32_t i = 0; i < msg->orders_count; i++) {
		msg->orders[i].target = wire->orders.orders_val[i].target;
		msg->orders[i].kind = wire->orders.orders_val[i].kind;
		msg->orders[i].vantages = wire->orders.orders_val[i].vantages;
	}
}

static bool is_valid(const struct tr_gossip *msg)
{
	for (uint32_t i = 0; i < msg->orders_count; i++)
		if (msg->orders[i].kind > TR_ORDER_PROBATION)
			return false;
	return *msg->service != 0;
}

/*
 * Decodes the body of an envelope whose MAC was verified. Returns TR_OK, or
 * TR_UNDECODABLE if it is malformed, has trailing bytes or an invalid value.
 */
enum tr_result codec_decode_body(const char *body, size_t len,
				 struct tr_gossip *msg)
{
	struct wire_gossip wire;
	enum tr_result res = TR_UNDECODABLE;
	XDR xdr;

	memset(&wire, 0, sizeof(wire));
	memset(msg, 0, sizeof(*msg));
	xdrmem_create(&xdr, (char *)body, (u_int)len, XDR_DECODE);
	if (xdr_wire_gossip(&xdr, &wire) && xdr_getpos(&xdr) == len) {
		strncpy(msg->service, wire.service, TR_NAME_MAX);
		msg->from = wire.from;
		msg->to = wire.to;
		memcpy(msg->boot.id, wire.boot, sizeof(wire.boot));
		msg->sequence = wire.sequence;
		msg->sent_at = wire.sent_at;
		msg->echo = wire.echo;
		msg->hlc.wall = wire.hlc_wall;
		msg->hlc.count = wire.hlc_count;
		msg->flags = wire.flags;
		msg->list_revision = wire.list_revision;
		msg->document_revision = wire.document_revision;
		msg->targets_revision = wire.targets_revision;
		rows_from_wire(&wire, msg);
		orders_from_wire(&wire, msg);
		if (is_valid(msg))
			res = TR_OK;
	}
	xdr_destroy(&xdr);
	xdr_free((xdrproc_t)xdr_wire_gossip, &wire);
	return res;
}
