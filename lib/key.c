/* Encoding and authentication of keys. */
#include "key.h"

#include <sodium.h>
#include <string.h>

#define KEY_BODY_SIZE 42
#define KEY_SIZE      (KEY_BODY_SIZE + TR_MAC_SIZE)

/* Writes an integer in network byte order and returns the next position. */
static unsigned char *put(unsigned char *at, uint64_t value, size_t bytes)
{
	while (bytes--)
		*at++ = (unsigned char)(value >> (8 * bytes));
	return at;
}

/* Reads an integer in network byte order and advances *at. */
static uint64_t get(const unsigned char **at, size_t bytes)
{
	uint64_t value = 0;

	while (bytes--)
		value = value << 8 | *(*at)++;
	return value;
}

static void compute_mac(const unsigned char *secret, const void *data,
			size_t len, unsigned char mac[TR_MAC_SIZE])
{
	crypto_generichash(mac, TR_MAC_SIZE, data, len, secret, TR_SECRET_SIZE);
}

/* Computes the MAC of data under the fleet key (keyed BLAKE2b, 16 bytes). */
void tr_mac(const struct tr_secret *secret, const void *data, size_t len,
	    unsigned char mac[TR_MAC_SIZE])
{
	compute_mac(secret->bytes, data, len, mac);
}

/*
 * Returns 0 if the MAC is valid under the fleet key or, during key rotation,
 * under the previous one; otherwise -1.
 */
int tr_mac_check(const struct tr_secret *secret, const void *data, size_t len,
		 const unsigned char mac[TR_MAC_SIZE])
{
	unsigned char want[TR_MAC_SIZE];

	compute_mac(secret->bytes, data, len, want);
	if (!sodium_memcmp(want, mac, TR_MAC_SIZE))
		return 0;
	if (!secret->has_previous)
		return -1;
	compute_mac(secret->previous, data, len, want);
	return sodium_memcmp(want, mac, TR_MAC_SIZE) ? -1 : 0;
}

/* Encodes a key as text that is safe in headers and URLs. */
void tr_key_write(const struct tr_key *key, const struct tr_secret *secret,
		  char text[TR_KEY_TEXT])
{
	unsigned char raw[KEY_SIZE];
	unsigned char *at = raw;

	memcpy(at, key->boot.id, TR_BOOT_SIZE);
	at = put(at + TR_BOOT_SIZE, key->number, 8);
	at = put(at, key->service, 8);
	at = put(at, key->expiry_s, 4);
	at = put(at, key->address, 4);
	at = put(at, key->port, 2);
	tr_mac(secret, raw, KEY_BODY_SIZE, at);
	sodium_bin2base64(text, TR_KEY_TEXT, raw, sizeof(raw),
			  sodium_base64_VARIANT_URLSAFE_NO_PADDING);
}

/*
 * Decodes a key. Returns -1 if it is malformed or its MAC is not of this fleet.
 */
int tr_key_read(struct tr_key *key, const struct tr_secret *secret,
		const char *text)
{
	unsigned char raw[KEY_SIZE];
	const unsigned char *at = raw;
	size_t len = 0;

	if (sodium_base642bin(raw, sizeof(raw), text, strlen(text), NULL, &len,
			      NULL, sodium_base64_VARIANT_URLSAFE_NO_PADDING))
		return -1;
	if (len != sizeof(raw) ||
	    tr_mac_check(secret, raw, KEY_BODY_SIZE, raw + KEY_BODY_SIZE))
		return -1;
	memcpy(key->boot.id, at, TR_BOOT_SIZE);
	at += TR_BOOT_SIZE;
	key->number = get(&at, 8);
	key->service = get(&at, 8);
	key->expiry_s = (uint32_t)get(&at, 4);
	key->address = (uint32_t)get(&at, 4);
	key->port = (uint16_t)get(&at, 2);
	return 0;
}
