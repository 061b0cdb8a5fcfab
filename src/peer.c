/*
 * Sends and receives the messages between VMs. Incoming datagrams are
 * dispatched by the RPC library; outgoing ones are written by codec.c.
 */
#include "peer.h"

#include <arpa/inet.h>
#include <rpc/rpc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "codec.h"
#include "error.h"
#include "gossip.h"
#include "loop.h"
#include "member.h"
#include "message_xdr.h"
#include "pacer.h"

#define LOG_MODULE "peer"
#include "log.h"

#define SOCKET_BUFFER (512 * 1024)
/* Budget of a VM for control messages of all services: 7 KB/s by the two-year
 * plan (docs/CAPACITY.md), less the messages that are sent regardless. */
#define CONTROL_BYTES_PER_S 6000.0

struct peer_link {
	struct loop *loop;
	struct tr_board *board;
	const struct tr_secret *secret;
	int fd;
	SVCXPRT *transport;
	uint64_t sequence;
	struct tr_pacer pacer;
	struct peer_counts counts;
	peer_message_fn on_message;
	void *ctx;
};

/* Global, because the RPC library passes no context to its dispatcher. */
static struct peer_link *the_link;

static void receive(struct peer_link *link, const struct wire_envelope *env)
{
	struct tr_gossip msg;

	link->counts.received++;
	link->counts.received_bytes += env->body.body_len;
	if (tr_mac_check(link->secret, env->body.body_val, env->body.body_len,
			 (const unsigned char *)env->mac)) {
		link->counts.bad_mac++;
		return;
	}
	if (codec_decode_body(env->body.body_val, env->body.body_len, &msg) !=
	    TR_OK) {
		link->counts.undecodable++;
		return;
	}
	if (msg.from == link->board->vm_id)
		return;
	link->on_message(link->ctx, &msg);
	if (tr_gossip_receive(link->board, &msg) == TR_STALE_DATAGRAM)
		link->counts.stale++;
}

static void dispatch(struct svc_req *req, SVCXPRT *transport)
{
	struct wire_envelope env;

	if (!the_link || req->rq_proc != WIRE_GOSSIP)
		return;
	memset(&env, 0, sizeof(env));
	if (!svc_getargs(transport, (xdrproc_t)xdr_wire_envelope, (char *)&env))
		the_link->counts.undecodable++;
	else
		receive(the_link, &env);
	svc_freeargs(transport, (xdrproc_t)xdr_wire_envelope, (char *)&env);
}

static void on_readable(void *ctx, int fd, int events)
{
	(void)ctx;
	(void)events;
	svc_getreq_common(fd);
}

static int bind_socket(const char *ip, uint16_t port, struct tr_error *err)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(port) };
	int size = SOCKET_BUFFER;
	char text[64];
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	inet_pton(AF_INET, ip, &addr.sin_addr);
	if (fd >= 0 && !bind(fd, (struct sockaddr *)&addr, sizeof(addr))) {
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
		return fd;
	}
	if (fd >= 0)
		close(fd);
	snprintf(text, sizeof(text), "%s:%u", ip, port);
	return tr_error_set(err, TR_PORT_IN_USE, "peer_port", text,
			    "expected a free UDP port of this VM");
}

/*
 * Opens the link to the peers on a UDP port. Returns NULL and sets err if the
 * port cannot be used.
 */
struct peer_link *peer_open(struct loop *loop, struct tr_board *board,
			    const struct tr_secret *secret, const char *ip,
			    uint16_t port, peer_message_fn on_message,
			    void *ctx, struct tr_error *err)
{
	struct peer_link *link = calloc(1, sizeof(*link));

	if (!link)
		return NULL;
	link->loop = loop;
	link->board = board;
	link->secret = secret;
	link->on_message = on_message;
	link->ctx = ctx;
	link->fd = bind_socket(ip, port, err);
	if (link->fd < 0) {
		free(link);
		return NULL;
	}
	link->transport =
		svc_dg_create(link->fd, CODEC_MAX_DATAGRAM, CODEC_MAX_DATAGRAM);
	if (!link->transport || !svc_reg(link->transport, WIRE_PEER,
					 WIRE_VERSION, dispatch, NULL)) {
		tr_error_set(err, TR_PORT_IN_USE, "peer_port", "",
			     "expected a socket that the RPC library accepts");
		close(link->fd);
		free(link);
		return NULL;
	}
	the_link = link;
	loop_watch(loop, link->fd, LOOP_READ, on_readable, link);
	return link;
}

void peer_close(struct peer_link *link)
{
	loop_unwatch(link->loop, link->fd);
	svc_unreg(WIRE_PEER, WIRE_VERSION);
	svc_destroy(link->transport);
	the_link = NULL;
	free(link);
}

static void send_to(struct peer_link *link, struct tr_service *svc,
		    struct tr_peer *peer)
{
	const struct tr_vm *vm =
		tr_fleet_find(&link->board->fleet, peer->vm_id);
	struct sockaddr_in addr = { .sin_family = AF_INET };
	struct tr_gossip msg;
	char buf[CODEC_MAX_DATAGRAM];
	size_t len;

	if (!vm || inet_pton(AF_INET, vm->peer_address, &addr.sin_addr) != 1)
		return;
	addr.sin_port = htons(vm->peer_port);
	tr_gossip_build(link->board, svc, peer, ++link->sequence, &msg);
	len = codec_encode(&msg, link->secret, buf);
	if (!len) {
		link->counts.oversized++;
		return;
	}
	if (sendto(link->fd, buf, len, MSG_DONTWAIT, (struct sockaddr *)&addr,
		   sizeof(addr)) < 0)
		return;
	link->counts.sent++;
	link->counts.sent_bytes += len;
	tr_pacer_consume(&link->pacer, (double)len);
}

/* Sends the messages that are due to the peers of every service. */
void peer_step(struct peer_link *link)
{
	struct tr_board *board = link->board;
	apr_time_t now = tr_clock_now(&board->clock);

	for (int s = 0; s < TR_MAX_SERVICES; s++) {
		struct tr_service *svc = &board->services[s];

		if (!svc->used || !svc->document || !svc->in_cell)
			continue;
		for (unsigned i = 0; i < svc->peers_count; i++)
			if (svc->peers[i].in_cell &&
			    tr_gossip_due(svc, &svc->peers[i],
					  tr_pacer_allows(&link->pacer,
							  CONTROL_BYTES_PER_S,
							  now),
					  now))
				send_to(link, svc, &svc->peers[i]);
	}
}

const struct peer_counts *peer_get_counts(const struct peer_link *link)
{
	return &link->counts;
}
