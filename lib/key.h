/* Keys for requests that must not be repeated, and message authentication. */
#ifndef TR_KEY_H
#define TR_KEY_H

#include <apr_time.h>
#include <stddef.h>
#include <stdint.h>

#include "result.h"

#define TR_SECRET_SIZE 32
#define TR_BOOT_SIZE   16
#define TR_MAC_SIZE    16
/* Size of a key as text, with the terminating NUL. */
#define TR_KEY_TEXT 97

/*
 * The fleet key, shared by all VMs of a fleet; the previous one is still
 * accepted during key rotation.
 */
struct tr_secret {
	unsigned char bytes[TR_SECRET_SIZE];
	unsigned char previous[TR_SECRET_SIZE];
	int has_previous;
};

/* Random identifier of one process. */
struct tr_boot {
	unsigned char id[TR_BOOT_SIZE];
};

/*
 * A key for one request that must not be repeated. It names the only process
 * that may send the request on, so processes need not agree on anything.
 */
struct tr_key {
	struct tr_boot boot;
	uint64_t number;
	uint64_t service;
	uint32_t expiry_s; /* on the minting process's monotonic clock */
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
