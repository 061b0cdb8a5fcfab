/* Encodes and decodes the messages between VMs, see message.x. */
#ifndef CODEC_H
#define CODEC_H

#include <stddef.h>

#include "result.h"

struct tr_gossip;
struct tr_secret;

/* Most bytes of an encoded message, RPC header and MAC included. */
#define CODEC_MAX_DATAGRAM 1200

size_t codec_encode(const struct tr_gossip *msg, const struct tr_secret *secret,
		    char buf[CODEC_MAX_DATAGRAM]);
enum tr_result codec_decode_body(const char *body, size_t len,
				 struct tr_gossip *msg);

#endif
