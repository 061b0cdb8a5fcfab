/*
 * UDP relay between VMs that drops, delays, reorders and duplicates datagrams
 * by rule, also in one direction only. Each VM has its own port on the relay,
 * and VMs send from their own address, so source and destination are known.
 * Routes are read from a file with lines "PORT IP:PORT"; rules are set by
 * POST /_rule?from=IP-PREFIX&to=IP-PREFIX&mode=drop|delay|double|ok&ms=N.
 */
#include <argtable2.h>
#include <arpa/inet.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "error.h"
#include "event.h"
#include "events_json.h"
#include "hash.h"
#include "loop.h"
#include "server.h"
#include "standin.h"

#define MAX_ROUTES	    1024
#define MAX_RULES	    64
#define MAX_DATAGRAM	    2048
#define MAX_CONTROL_CALLERS 64

enum mode {
	MODE_OK,
	MODE_DROP,
	MODE_DELAY,
	MODE_DOUBLE,
	MODE_COUNT,
};

static const char *const mode_names[MODE_COUNT] = { "ok", "drop", "delay",
						    "double" };

/* A port of the relay and the VM to which it leads. */
struct route {
	int fd;
	struct sockaddr_in to;
	char to_ip[46];
};

/* Addresses are matched by prefix; the last rule that matches counts. */
struct rule {
	char from[46];
	char to[46];
	enum mode mode;
	uint32_t ms; /* MODE_DELAY: the longest delay */
};

struct relay {
	struct standin standin;
	struct server *server;
	struct route routes[MAX_ROUTES];
	unsigned routes_count;
	struct rule rules[MAX_RULES];
	unsigned rules_count;
	struct tr_random random;
	struct tr_event_ring events;
	uint64_t passed;
	uint64_t lost;
};

/* A datagram to be sent later. */
struct delayed {
	int fd;
	struct sockaddr_in to;
	size_t len;
	char data[MAX_DATAGRAM];
};

static struct relay relay_state;

static const struct rule *find_rule(const struct relay *relay, const char *from,
				    const char *to)
{
	for (unsigned i = relay->rules_count; i-- > 0;) {
		const struct rule *rule = &relay->rules[i];

		if (!strncmp(from, rule->from, strlen(rule->from)) &&
		    !strncmp(to, rule->to, strlen(rule->to)))
			return rule;
	}
	return NULL;
}

static void send_datagram(int fd, const struct sockaddr_in *to,
			  const char *data, size_t len)
{
	if (sendto(fd, data, len, MSG_DONTWAIT, (const struct sockaddr *)to,
		   sizeof(*to)) < 0)
		relay_state.lost++;
	else
		relay_state.passed++;
}

static void send_delayed(void *ctx)
{
	struct delayed *delayed = ctx;

	send_datagram(delayed->fd, &delayed->to, delayed->data, delayed->len);
	free(delayed);
}

/* Delays each datagram by a random time up to ms, which reorders them. */
static void delay(struct relay *relay, const struct route *route,
		  const char *data, size_t len, uint32_t ms)
{
	struct delayed *delayed = malloc(sizeof(*delayed));

	if (!delayed)
		return;
	delayed->fd = route->fd;
	delayed->to = route->to;
	delayed->len = len;
	memcpy(delayed->data, data, len);
	loop_add_timer(relay->standin.loop,
		       TR_MSEC(tr_random_below(&relay->random, ms + 1)),
		       send_delayed, delayed);
}

static void relay_datagram(struct relay *relay, const struct route *route,
			   const char *from, const char *data, size_t len)
{
	const struct rule *rule = find_rule(relay, from, route->to_ip);

	switch (rule ? rule->mode : MODE_OK) {
	case MODE_DROP:
		relay->lost++;
		return;
	case MODE_DELAY:
		delay(relay, route, data, len, rule->ms);
		return;
	case MODE_DOUBLE:
		send_datagram(route->fd, &route->to, data, len);
		break;
	default:
		break;
	}
	send_datagram(route->fd, &route->to, data, len);
}

static void datagram_received(void *ctx, int fd, int events)
{
	const struct route *route = ctx;
	struct sockaddr_in from;
	socklen_t from_len = sizeof(from);
	char data[MAX_DATAGRAM];
	char ip[46];
	ssize_t len;

	(void)events;
	len = recvfrom(fd, data, sizeof(data), MSG_DONTWAIT,
		       (struct sockaddr *)&from, &from_len);
	if (len <= 0)
		return;
	inet_ntop(AF_INET, &from.sin_addr, ip, sizeof(ip));
	relay_datagram(&relay_state, route, ip, data, (size_t)len);
}

static int add_route(struct relay *relay, const char *ip, unsigned port,
		     const char *to)
{
	struct route *route = &relay->routes[relay->routes_count];
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons((uint16_t)port) };
	uint16_t to_port;

	if (relay->routes_count == MAX_ROUTES ||
	    standin_parse_address(to, route->to_ip, &to_port))
		return -1;
	inet_pton(AF_INET, ip, &addr.sin_addr);
	route->to.sin_family = AF_INET;
	route->to.sin_port = htons(to_port);
	inet_pton(AF_INET, route->to_ip, &route->to.sin_addr);
	route->fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	if (route->fd < 0 ||
	    bind(route->fd, (struct sockaddr *)&addr, sizeof(addr)))
		return -1;
	loop_watch(relay->standin.loop, route->fd, LOOP_READ, datagram_received,
		   route);
	relay->routes_count++;
	return 0;
}

/* Reads the routes file and binds a socket for each route. 0 or -1. */
static int read_routes(struct relay *relay, const char *ip, const char *path)
{
	FILE *f = fopen(path, "r");
	char to[64];
	unsigned port;
	int line = 0;
	int res = f ? 0 : -1;

	while (!res && fscanf(f, "%u %63s", &port, to) == 2) {
		line++;
		res = add_route(relay, ip, port, to);
	}
	if (f)
		fclose(f);
	if (res)
		fprintf(stderr,
			"toucanreel-relay: %s:%d: expected a free port and "
			"IP:PORT\n",
			path, line);
	return res;
}

static enum MHD_Result set_rule(struct relay *relay,
				struct MHD_Connection *conn)
{
	const char *mode = standin_query(conn, "mode", "ok");
	struct rule rule = { .ms = (uint32_t)standin_query_number(conn, "ms",
								  100) };
	int found = -1;

	for (int i = 0; i < MODE_COUNT; i++)
		if (!strcmp(mode, mode_names[i]))
			found = i;
	if (found < 0)
		return server_reply_json(conn, 400,
					 json_pack("{s:s}", "error",
						   "expected mode ok, drop, "
						   "delay or double"));
	rule.mode = (enum mode)found;
	snprintf(rule.from, sizeof(rule.from), "%s",
		 standin_query(conn, "from", ""));
	snprintf(rule.to, sizeof(rule.to), "%s", standin_query(conn, "to", ""));
	if (rule.mode == MODE_OK && !*rule.from && !*rule.to)
		relay->rules_count = 0;
	else if (relay->rules_count < MAX_RULES)
		relay->rules[relay->rules_count++] = rule;
	tr_event_append(&relay->events, loop_wall_time(NULL), TR_EVENT_FAULT,
			"", "relay", "%s from '%s' to '%s'", mode, rule.from,
			rule.to);
	return server_reply_json(conn, 200, json_pack("{s:s}", "mode", mode));
}

static enum MHD_Result handler(void *ctx, struct MHD_Connection *conn,
			       const char *url, const char *method,
			       const char *version, const char *upload,
			       size_t *upload_len, void **con_cls)
{
	struct relay *relay = ctx;

	(void)method;
	(void)version;
	(void)upload;
	*upload_len = 0;
	if (!*con_cls) {
		*con_cls = relay;
		return MHD_YES;
	}
	if (!strcmp(url, "/_rule"))
		return set_rule(relay, conn);
	if (!strcmp(url, "/v1/events"))
		return server_reply_json(
			conn, 200, events_json(&relay->events, "relay", 0));
	return server_reply_json(conn, 200,
				 json_pack("{s:I, s:I}", "passed",
					   (json_int_t)relay->passed, "lost",
					   (json_int_t)relay->lost));
}

static int run(struct relay *relay, const char *control, const char *routes)
{
	struct tr_error err = { 0 };
	struct server_options options = {
		.field = "control",
		.connections = MAX_CONTROL_CALLERS,
		.handler = handler,
		.ctx = relay,
	};
	char ip[46];
	char text[512];

	if (standin_parse_address(control, ip, &options.port)) {
		fprintf(stderr,
			"toucanreel-relay: --control: '%s': expected "
			"IP:PORT\n",
			control);
		return 2;
	}
	options.ip = ip;
	relay->random.state = 1;
	if (read_routes(relay, ip, routes))
		return 2;
	relay->server = server_new(relay->standin.loop, &options, &err);
	if (!relay->server) {
		tr_error_format(&err, text, sizeof(text));
		fprintf(stderr, "toucanreel-relay: %s\n", text);
		return 2;
	}
	standin_run(&relay->standin);
	server_destroy(relay->server);
	return 0;
}

int main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *control = arg_str1("c", "control", "IP:PORT",
					   "address for HTTP control calls");
	struct arg_file *routes = arg_file1("r", "routes", "FILE",
					    "routes, a line PORT IP:PORT each");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, control, routes, end };
	int code = 2;
	int errors = arg_parse(argc, argv, table);

	if (help->count) {
		printf("Usage: toucanreel-relay");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		code = 0;
	} else if (errors) {
		arg_print_errors(stderr, end, "toucanreel-relay");
	} else if (!standin_init(&relay_state.standin, "relay")) {
		code = run(&relay_state, control->sval[0], routes->filename[0]);
		standin_destroy(&relay_state.standin);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
