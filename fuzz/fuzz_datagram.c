/* libFuzzer target for the decoder of peer datagrams. */
#include <stdint.h>

#include "codec.h"
#include "gossip.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct tr_gossip msg;
	struct tr_secret secret = { 0 };
	char buf[CODEC_MAX_DATAGRAM];

	/* A decoded message must encode again within CODEC_MAX_DATAGRAM bytes. */
	if (codec_decode_body((const char *)data, len, &msg) == TR_OK &&
	    codec_encode(&msg, &secret, buf) > CODEC_MAX_DATAGRAM)
		__builtin_trap();
	return 0;
}
