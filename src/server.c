#include "server.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <limits.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "error.h"
#include "loop.h"

#define LOG_MODULE "server"
#include "log.h"

#define CONNECTION_MEMORY (32 * 1024)
#define LISTEN_BACKLOG	  1024
/* Upper bound of the timer, in case MHD reports no timeout. */
#define MAX_WAIT_MS	  1000
#define MAX_RUNS_PER_POLL 16

struct server {
	struct loop *loop;
	struct MHD_Daemon *daemon;
	int epoll_fd;
	int listen_fd;
	bool run_pending; /* MHD must run before the next poll */
	struct loop_timer *timer;
};

static void run_mhd(struct server *server)
{
	server->run_pending = false;
	MHD_run(server->daemon);
}

static void timer_expired(void *ctx)
{
	struct server *server = ctx;

	server->timer = NULL;
	server->run_pending = true;
}

static void epoll_ready(void *ctx, int fd, int events)
{
	struct server *server = ctx;

	(void)fd;
	(void)events;
	server->run_pending = true;
}

/*
 * Runs MHD until it has nothing more to do, but a bounded number of times, so
 * that other users of the loop get their turn, and arms the timer for MHD's
 * next timeout.
 */
static void before_poll(void *ctx)
{
	struct server *server = ctx;
	MHD_UNSIGNED_LONG_LONG ms;

	for (int i = 0; i < MAX_RUNS_PER_POLL; i++) {
		if (server->run_pending)
			run_mhd(server);
		ms = ULONG_MAX;
		MHD_get_timeout(server->daemon, &ms);
		if (ms > 0 && !server->run_pending)
			break;
		server->run_pending = true;
	}
	if (server->timer && !server->run_pending)
		return;
	loop_cancel_timer(server->loop, server->timer);
	if (ms > MAX_WAIT_MS)
		ms = MAX_WAIT_MS;
	server->timer = loop_add_timer(server->loop,
				       server->run_pending ? 0 : TR_MSEC(ms),
				       timer_expired, server);
}

/* Makes MHD run soon; call after resuming a connection. */
void server_wake(struct server *server)
{
	server->run_pending = true;
}

static void log_message(void *ctx, const char *fmt, va_list ap)
{
	char text[256];

	(void)ctx;
	vsnprintf(text, sizeof(text), fmt, ap);
	text[strcspn(text, "\n")] = 0;
	log_debug("%s", text);
}

/* Starts to listen. Returns NULL and sets err if the address can't be bound. */
struct server *server_new(struct loop *loop, const struct server_options *o,
			  struct tr_error *err)
{
	struct server *server = calloc(1, sizeof(*server));
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons(o->port) };
	const union MHD_DaemonInfo *info;
	char text[64];

	if (!server)
		return NULL;
	inet_pton(AF_INET, o->ip, &addr.sin_addr);
	server->loop = loop;
	server->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG,
		o->port, NULL, NULL, o->handler, o->ctx,
		MHD_OPTION_EXTERNAL_LOGGER, log_message, NULL,
		MHD_OPTION_SOCK_ADDR, &addr, MHD_OPTION_CONNECTION_LIMIT,
		o->connections, MHD_OPTION_CONNECTION_TIMEOUT, o->idle_s,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY,
		MHD_OPTION_LISTEN_BACKLOG_SIZE, (unsigned)LISTEN_BACKLOG,
		MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_NOTIFY_COMPLETED,
		o->request_completed, o->ctx, MHD_OPTION_URI_LOG_CALLBACK,
		o->request_begin, o->ctx, MHD_OPTION_END);
	if (!server->daemon) {
		snprintf(text, sizeof(text), "%s:%u", o->ip, o->port);
		tr_error_set(err, TR_PORT_IN_USE, o->field, text,
			     "expected a free TCP port of this VM");
		free(server);
		return NULL;
	}
	info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	server->epoll_fd = info->epoll_fd;
	server->listen_fd = -1;
	server->run_pending = true;
	loop_watch(loop, server->epoll_fd, LOOP_READ, epoll_ready, server);
	loop_before_poll(loop, before_poll, server);
	return server;
}

void server_destroy(struct server *server)
{
	loop_unwatch(server->loop, server->epoll_fd);
	loop_cancel_timer(server->loop, server->timer);
	MHD_stop_daemon(server->daemon);
	if (server->listen_fd >= 0)
		close(server->listen_fd);
	free(server);
}

/* Stops accepting connections; open ones continue. */
void server_stop_listening(struct server *server)
{
	if (server->listen_fd < 0)
		server->listen_fd = MHD_quiesce_daemon(server->daemon);
}

unsigned server_connections(const struct server *server)
{
	const union MHD_DaemonInfo *info = MHD_get_daemon_info(
		server->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);

	return info ? info->num_connections : 0;
}

/* Queues a response with the text, which MHD frees. */
enum MHD_Result server_reply_text(struct MHD_Connection *conn, int status,
				  const char *type, char *text)
{
	struct MHD_Response *response;
	enum MHD_Result ret;

	if (!text)
		return MHD_NO;
	response = MHD_create_response_from_buffer(strlen(text), text,
						   MHD_RESPMEM_MUST_FREE);
	MHD_add_response_header(response, "Content-Type", type);
	ret = MHD_queue_response(conn, (unsigned)status, response);
	MHD_destroy_response(response);
	return ret;
}

/* Queues a response with JSON. Takes over the reference to json. */
enum MHD_Result server_reply_json(struct MHD_Connection *conn, int status,
				  void *json)
{
	char *text = json_dumps(json, JSON_INDENT(1));

	json_decref(json);
	return server_reply_text(conn, status, "application/json", text);
}
