#ifndef TR_KEY_H
#define TR_KEY_H

#include <apr_time.h>
#include <stddef.h>
#include <stdint.h>

#include "result.h"

#define TR_SECRET_SIZE 32
#define TR_BOOT_SIZE   16
#define TR_MAC_SIZE    16
/* Characters of a key as text, with the final zero. */
#define TR_KEY_TEXT 97

/* The fleet key, shared by all VMs of a user; previous is still accepted
 * while keys are rotated. */
struct tr_secret {
	unsigned char bytes[TR_SECRET_SIZE];
	unsigned char previous[TR_SECRET_SIZE];
	int has_previous;
};

/* One incarnation of one process. */
struct tr_boot {
	unsigned char id[TR_BOOT_SIZE];
};

/*
 * A key for one request that must not repeat. It names the one process that
 * may send the request on, so no two processes need to agree on anything.
 * Expiry is in seconds of the minting process's own monotonic clock.
 */
struct tr_key {
	struct tr_boot boot;
	uint64_t number;
	uint64_t service;
	uint32_t expiry_s;
	uint32_t address;
	uint16_t port;
};

void tr_key_write(const struct tr_key *key, const struct tr_secret *secret,
		  char text[TR_KEY_TEXT]);
int tr_key_read(struct tr_key *key, const struct tr_secret *secret,
		const char *text);
void tr_mac(const struct tr_secret *secret, const void *data, size_t len,
	    unsigned char mac[TR_MAC_SIZE]);
int tr_mac_check(const struct tr_secret *secret, const void *data, size_t len,
		 const unsigned char mac[TR_MAC_SIZE]);

#endif
