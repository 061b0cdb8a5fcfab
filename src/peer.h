/* The UDP socket on which a VM exchanges messages with its peers. */
#ifndef PEER_H
#define PEER_H

#include <stdint.h>

struct loop;
struct peer_link;
struct tr_board;
struct tr_error;
struct tr_gossip;
struct tr_secret;

struct peer_counts {
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t received;
	uint64_t received_bytes;
	uint64_t bad_mac;
	uint64_t undecodable;
	uint64_t stale; /* duplicate, out of order or from a former process */
	uint64_t oversized; /* not sent: did not fit in a datagram */
};

/* Called for each authenticated message, before it is processed. */
typedef void (*peer_message_fn)(void *ctx, const struct tr_gossip *msg);

struct peer_link *peer_open(struct loop *loop, struct tr_board *board,
			    const struct tr_secret *secret, const char *ip,
			    uint16_t port, peer_message_fn on_message,
			    void *ctx, struct tr_error *err);
void peer_close(struct peer_link *link);
void peer_step(struct peer_link *link);
const struct peer_counts *peer_get_counts(const struct peer_link *link);

#endif
