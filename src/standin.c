#include "standin.h"

#include <apr_general.h>
#include <arpa/inet.h>
#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "loop.h"

static void stop(void *ctx)
{
	struct standin *s = ctx;

	s->stopped = true;
	loop_stop(s->loop);
}

/* Sets up the libraries, the loop and signal handling. Returns 0 or -1. */
int standin_init(struct standin *s, const char *name)
{
	if (sodium_init() < 0 || apr_initialize() != APR_SUCCESS ||
	    curl_global_init(CURL_GLOBAL_DEFAULT))
		return -1;
	memset(s, 0, sizeof(*s));
	apr_pool_create(&s->pool, NULL);
	s->name = name;
	s->loop = loop_new(s->pool);
	if (!s->loop)
		return -1;
	log_setup(LOG_LEVEL_INFO, false, name);
	loop_on_terminate(s->loop, stop, s);
	return 0;
}

void standin_run(struct standin *s)
{
	loop_run(s->loop);
}

void standin_destroy(struct standin *s)
{
	loop_destroy(s->loop);
	apr_pool_destroy(s->pool);
	curl_global_cleanup();
	apr_terminate();
}

/* Parses IP:PORT, IPv4 only. Returns 0 or -1. */
int standin_parse_address(const char *text, char ip[46], uint16_t *port)
{
	const char *colon = strrchr(text, ':');
	unsigned char raw[4];
	long n = colon ? strtol(colon + 1, NULL, 10) : 0;

	if (!colon || colon - text > 15 || n < 1 || n > 65535)
		return -1;
	snprintf(ip, 46, "%.*s", (int)(colon - text), text);
	*port = (uint16_t)n;
	return inet_pton(AF_INET, ip, raw) == 1 ? 0 : -1;
}

/* Value of a query argument, or the default. */
const char *standin_query(struct MHD_Connection *conn, const char *name,
			  const char *fallback)
{
	const char *value =
		MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, name);

	return value ? value : fallback;
}

long standin_query_number(struct MHD_Connection *conn, const char *name,
			  long fallback)
{
	const char *value = standin_query(conn, name, NULL);

	return value ? strtol(value, NULL, 10) : fallback;
}

/* Writes the IPv4 address of the connection's client to ip, "" if unknown. */
void standin_peer_ip(struct MHD_Connection *conn, char ip[46])
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		conn, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	const struct sockaddr_in *in =
		info ? (const struct sockaddr_in *)(const void *)
				info->client_addr
		     : NULL;

	*ip = 0;
	if (in)
		inet_ntop(AF_INET, &in->sin_addr, ip, 46);
}
