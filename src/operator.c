#include "operator.h"

#include <inttypes.h>
#include <jansson.h>
#include <microhttpd.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "cleanup.h"
#include "config.h"
#include "error.h"
#include "events_json.h"
#include "headers.h"
#include "loop.h"
#include "metrics.h"
#include "peer.h"
#include "permit.h"
#include "request.h"
#include "server.h"

#define OPERATOR_CONNECTIONS 256
#define OPERATOR_IDLE_S	     60

/* The HTTP server and the modules on which it reports. */
struct operator_port {
	struct operator_parts parts;
	struct server *server;
	struct loop *loop;
};

/* The order of the service's owner that is in force for the target. */
static const char *order_name(const struct tr_target *t, apr_time_t now)
{
	if (t->order.kind == TR_ORDER_NONE || t->order.until <= now)
		return "none";
	return t->order.kind == TR_ORDER_EJECT ? "ejected" : "probation";
}

/* The state of the target as this VM sees it. */
static const char *state_name(const struct tr_target *t, apr_time_t now)
{
	if (!t->listed)
		return "gone";
	if (t->leaving)
		return "leaving";
	if (t->cold_until > now)
		return "cold";
	if (t->unreachable_until > now)
		return "unreachable";
	if (t->local.ejected_until > now)
		return "out-here";
	return t->avoided ? "avoided" : "in-use";
}

static json_t *target_json(const struct tr_target *t, apr_time_t now)
{
	return json_pack(
		"{s:s, s:s, s:s, s:s, s:b, s:f, s:i, s:i, s:I, s:I, s:I, s:I, "
		"s:I}",
		"name", t->name, "address", t->address, "state",
		state_name(t, now), "order", order_name(t, now), "honoured",
		(int)(t->order.honoured && t->order.until > now), "evidence",
		t->evidence.cell_sum, "in_flight", (int)t->in_flight,
		"home_slots", (int)t->home_slots, "sent", (json_int_t)t->sent,
		"answered", (json_int_t)t->answered, "refused",
		(json_int_t)t->refused, "well",
		(json_int_t)t->evidence.own.well, "bad",
		(json_int_t)t->evidence.own.bad);
}

static json_t *peer_json(const struct tr_peer *p, apr_time_t now)
{
	return json_pack("{s:s, s:b, s:b, s:b, s:b, s:I, s:I}", "name", p->name,
			 "in_cell", (int)p->in_cell, "up", (int)p->up,
			 "leaving", (int)p->leaving, "suspects_itself",
			 (int)p->suspects_itself, "heard_ms_ago",
			 p->known ? (json_int_t)((now - p->heard_at) / 1000)
				  : (json_int_t)-1,
			 "document_revision", (json_int_t)p->document_revision);
}

static json_t *counts_json(const struct tr_service_counts *c)
{
	return json_pack(
		"{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "requests",
		(json_int_t)c->requests, "answered", (json_int_t)c->answered,
		"not_run", (json_int_t)c->not_run, "unknown",
		(json_int_t)c->unknown, "retries", (json_int_t)c->retries,
		"shed", (json_int_t)c->shed, "ejections",
		(json_int_t)c->ejections, "restores", (json_int_t)c->restores,
		"floor_held", (json_int_t)c->floor_held);
}

static json_t *service_json(const struct operator_port *op,
			    const struct tr_service *svc, apr_time_t now)
{
	json_t *targets = json_array();
	json_t *peers = json_array();

	for (unsigned i = 0; i < svc->targets_count; i++)
		json_array_append_new(targets,
				      target_json(&svc->targets[i], now));
	for (unsigned i = 0; i < svc->peers_count; i++)
		json_array_append_new(peers, peer_json(&svc->peers[i], now));
	return json_pack(
		"{s:s, s:o, s:b, s:s, s:i, s:i, s:b, s:i, s:i, s:f, s:f, s:f, "
		"s:i, s:o, s:o, s:o}",
		"name", svc->name, "config",
		config_status(op->parts.config, svc), "in_cell",
		(int)svc->in_cell, "detector",
		svc->detector ? svc->detector->name : "", "floor",
		svc->document ? (int)svc->document->floor : 0, "in_use",
		(int)tr_floor_in_use(svc, now), "owner", (int)svc->vote.owner,
		"votes", (int)svc->vote.votes, "votes_needed",
		(int)svc->vote.needed, "sick_at", svc->rules.sick, "base_rate",
		svc->base_rate, "retry_tokens", svc->retries.tokens, "queued",
		(int)svc->queue.length, "counts", counts_json(&svc->counts),
		"targets", targets, "peers", peers);
}

static json_t *process_json(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return json_pack(
		"{s:f, s:I}", "cpu_s",
		(double)usage.ru_utime.tv_sec + usage.ru_stime.tv_sec +
			(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6,
		"max_rss_kb", (json_int_t)usage.ru_maxrss);
}

static json_t *link_json(const struct peer_link *link)
{
	const struct peer_counts *c = peer_get_counts(link);

	return json_pack(
		"{s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "sent",
		(json_int_t)c->sent, "sent_bytes", (json_int_t)c->sent_bytes,
		"received", (json_int_t)c->received, "received_bytes",
		(json_int_t)c->received_bytes, "bad_mac",
		(json_int_t)c->bad_mac, "undecodable",
		(json_int_t)c->undecodable, "stale", (json_int_t)c->stale);
}

static json_t *proxy_json(const struct proxy *proxy)
{
	const struct proxy_counts *c = &proxy->counts;

	return json_pack(
		"{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:i}", "requests",
		(json_int_t)c->requests, "answered", (json_int_t)c->answered,
		"not_run", (json_int_t)c->not_run, "unknown",
		(json_int_t)c->unknown, "replayed", (json_int_t)c->replayed,
		"forwarded", (json_int_t)c->forwarded, "hedged",
		(json_int_t)c->hedged, "in_flight", (int)proxy->in_flight);
}

static json_t *platform_json(const struct config *config)
{
	const struct config_counts *c = config_get_counts(config);

	return json_pack("{s:b, s:I, s:I, s:I, s:I, s:I}", "up",
			 (int)config_platform_up(config), "calls",
			 (json_int_t)c->platform_calls, "failures",
			 (json_int_t)c->platform_failures, "peer_pulls",
			 (json_int_t)c->peer_pulls, "old_revisions",
			 (json_int_t)c->old_revisions, "refused",
			 (json_int_t)c->refused);
}

static json_t *status_json(const struct operator_port *op)
{
	const struct tr_board *b = op->parts.board;
	apr_time_t now = tr_clock_now(&b->clock);
	json_t *services = json_array();
	char boot[TR_BOOT_SIZE * 2 + 1];
	const char *state = "serving";

	if (b->leaving)
		state = "leaving";
	else if (!b->fleet.count)
		state = "waiting for the platform";
	else if (b->suspects_itself)
		state = "suspects itself";
	for (int i = 0; i < TR_MAX_SERVICES; i++)
		if (b->services[i].used)
			json_array_append_new(
				services,
				service_json(op, &b->services[i], now));
	sodium_bin2hex(boot, sizeof(boot), b->boot.id, TR_BOOT_SIZE);
	return json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:f, s:I, s:i, s:i, s:o, s:o, s:o, "
		"s:o, s:o}",
		"vm", b->vm_name, "data_centre", b->data_centre, "region",
		op->parts.region ? op->parts.region : "", "state", state,
		"boot", boot, "uptime_s", (double)(now - b->started_at) / 1e6,
		"list_revision", (json_int_t)b->fleet.revision, "vms",
		(int)b->fleet.count, "keys_used", (int)b->dispatcher.used,
		"platform", platform_json(op->parts.config), "link",
		link_json(op->parts.link), "proxy", proxy_json(op->parts.proxy),
		"process", process_json(), "services", services);
}

/* Responds with JSON and its MAC under the fleet key; 404 if json is NULL. */
static enum MHD_Result reply_to_peer(struct operator_port *op,
				     struct MHD_Connection *conn, json_t *json)
{
	char *text = json ? json_dumps(json, JSON_COMPACT) : NULL;
	unsigned char mac[TR_MAC_SIZE];
	char hex[TR_MAC_SIZE * 2 + 1];
	struct MHD_Response *response;
	enum MHD_Result ret;

	json_decref(json);
	if (!text)
		return server_reply_json(
			conn, 404,
			json_pack("{s:s}", "error", "no such service here"));
	tr_mac(op->parts.secret, text, strlen(text), mac);
	sodium_bin2hex(hex, sizeof(hex), mac, sizeof(mac));
	response = MHD_create_response_from_buffer(strlen(text), text,
						   MHD_RESPMEM_MUST_FREE);
	MHD_add_response_header(response, HEADER_MAC, hex);
	ret = MHD_queue_response(conn, 200, response);
	MHD_destroy_response(response);
	return ret;
}

static enum MHD_Result reply_resource(struct operator_port *op,
				      struct MHD_Connection *conn)
{
	const char *service = MHD_lookup_connection_value(
		conn, MHD_GET_ARGUMENT_KIND, "service");

	return reply_to_peer(
		op, conn,
		service ? config_service_json(op->parts.config, service)
			: NULL);
}

static enum MHD_Result reply_events(struct operator_port *op,
				    struct MHD_Connection *conn)
{
	const char *since = MHD_lookup_connection_value(
		conn, MHD_GET_ARGUMENT_KIND, "since");

	return server_reply_json(
		conn, 200,
		events_json(op->parts.board->events, op->parts.board->vm_name,
			    since ? strtoull(since, NULL, 10) : 0));
}

static enum MHD_Result handler(void *ctx, struct MHD_Connection *conn,
			       const char *url, const char *method,
			       const char *version, const char *upload,
			       size_t *upload_len, void **con_cls)
{
	struct operator_port *op = ctx;

	(void)version;
	(void)upload;
	(void)con_cls;
	*upload_len = 0;
	if (strcmp(method, "GET") != 0)
		return server_reply_json(
			conn, 405, json_pack("{s:s}", "error", "expected GET"));
	if (!strcmp(url, "/status"))
		return server_reply_json(conn, 200, status_json(op));
	if (!strcmp(url, "/metrics"))
		return server_reply_text(conn, 200, "text/plain; version=0.0.4",
					 metrics_text(&op->parts));
	if (!strcmp(url, "/v1/events"))
		return reply_events(op, conn);
	if (!strcmp(url, "/peer/v1/resource"))
		return reply_resource(op, conn);
	if (!strcmp(url, "/peer/v1/vms"))
		return reply_to_peer(op, conn,
				     config_vm_list_json(op->parts.config));
	return server_reply_json(
		conn, 404,
		json_pack("{s:s}", "error",
			  "expected /status, /metrics or /v1/events"));
}

/* Starts to listen. Returns NULL and sets err if the address can't be bound. */
struct operator_port *operator_new(struct loop *loop,
				   const struct operator_parts *parts,
				   const char *ip, uint16_t port,
				   struct tr_error *err)
{
	struct operator_port *op = calloc(1, sizeof(*op));
	struct server_options options = {
		.ip = ip,
		.port = port,
		.field = "operator_port",
		.connections = OPERATOR_CONNECTIONS,
		.idle_s = OPERATOR_IDLE_S,
		.handler = handler,
		.ctx = op,
	};

	if (!op)
		return NULL;
	op->parts = *parts;
	op->loop = loop;
	op->server = server_new(loop, &options, err);
	if (op->server)
		return op;
	free(op);
	return NULL;
}

void operator_destroy(struct operator_port *op)
{
	server_destroy(op->server);
	free(op);
}
