/* HTTP server on the event loop, by libmicrohttpd (MHD). */
#ifndef SERVER_H
#define SERVER_H

#include <microhttpd.h>
#include <stdint.h>

struct loop;
struct server;
struct tr_error;

struct server_options {
	const char *ip;
	uint16_t port;
	const char *field;    /* the setting that errors about the port name */
	unsigned connections; /* limit of concurrent connections */
	unsigned idle_s;      /* idle timeout of a connection, 0: none */
	MHD_AccessHandlerCallback handler;
	MHD_RequestCompletedCallback request_completed;
	void *(*request_begin)(void *ctx, const char *uri,
			       struct MHD_Connection *conn);
	void *ctx;
};

struct server *server_new(struct loop *loop,
			  const struct server_options *options,
			  struct tr_error *err);
void server_destroy(struct server *server);
void server_wake(struct server *server);
void server_stop_listening(struct server *server);
unsigned server_connections(const struct server *server);
enum MHD_Result server_reply_text(struct MHD_Connection *conn, int status,
				  const char *type, char *text);
enum MHD_Result server_reply_json(struct MHD_Connection *conn, int status,
				  void *json);

#endif
