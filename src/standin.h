#ifndef STANDIN_H
#define STANDIN_H

#include <apr_pools.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct loop;

/* What the stand-ins share: start and end of a process, addresses, queries. */
struct standin {
	apr_pool_t *pool;
	struct loop *loop;
	const char *name;
	bool stopped;
};

int standin_init(struct standin *s, const char *name);
void standin_run(struct standin *s);
void standin_destroy(struct standin *s);
int standin_address(const char *text, char ip[46], uint16_t *port);
const char *standin_query(struct MHD_Connection *conn, const char *name,
			  const char *otherwise);
long standin_query_number(struct MHD_Connection *conn, const char *name,
			  long otherwise);
void standin_peer_ip(struct MHD_Connection *conn, char ip[46]);

#endif
