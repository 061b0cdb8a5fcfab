/*
 * Common parts of the stand-in programs (platform, target, relay) and of the
 * command-line tools: process set-up, address parsing and query arguments.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include <apr_pools.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct loop;

struct standin {
	apr_pool_t *pool;
	struct loop *loop;
	const char *name; /* in log lines */
	bool stopped;	  /* SIGINT or SIGTERM was received */
};

int standin_init(struct standin *s, const char *name);
void standin_run(struct standin *s);
void standin_destroy(struct standin *s);
int standin_parse_address(const char *text, char ip[46], uint16_t *port);
const char *standin_query(struct MHD_Connection *conn, const char *name,
			  const char *fallback);
long standin_query_number(struct MHD_Connection *conn, const char *name,
			  long fallback);
void standin_peer_ip(struct MHD_Connection *conn, char ip[46]);

#endif
