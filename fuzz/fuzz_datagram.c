/* libFuzzer: any bytes as the body of a peer's datagram. */
#include <stdint.h>

#include "codec.h"
#include "gossip.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct tr_gossip msg;
	struct tr_secret secret = { 0 };
	char buf[CODEC_MAX_DATAGRAM];

	/* What was read can be written again, and is short enough. */
	if (codec_decode_body((const char *)data, len, &msg) == TR_OK &&
	    codec_encode(&msg, &secret, buf) > CODEC_MAX_DATAGRAM)
		__builtin_trap();
	return 0;
}
