/*
 * HTTP server for operators (/status, /metrics, /v1/events) and for peers,
 * which pull the documents and the list of VMs from it.
 */
#ifndef OPERATOR_H
#define OPERATOR_H

#include <stdint.h>

struct config;
struct loop;
struct operator_port;
struct peer_link;
struct proxy;
struct tr_board;
struct tr_error;
struct tr_secret;

/* What the port reports on. */
struct operator_parts {
	struct tr_board *board;
	struct config *config;
	struct proxy *proxy;
	struct peer_link *link;
	const struct tr_secret *secret;
	const char *region;
};

struct operator_port *operator_new(struct loop *loop,
				   const struct operator_parts *parts,
				   const char *ip, uint16_t port,
				   struct tr_error *err);
void operator_destroy(struct operator_port *op);

#endif
