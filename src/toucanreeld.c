/* The daemon of one VM: sets up the modules and runs the loop. */
#include <apr_general.h>
#include <argtable2.h>
#include <arpa/inet.h>
#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "board.h"
#include "client.h"
#include "config.h"
#include "detector.h"
#include "error.h"
#include "gossip.h"
#include "health.h"
#include "loop.h"
#include "member.h"
#include "operator.h"
#include "peer.h"
#include "proxy.h"
#include "server.h"
#include "service.h"
#include "settings.h"
#include "version.h"

#define LOG_MODULE "main"
#include "log.h"

#define STEP_PERIOD	   TR_MSEC(50)
#define SWEEP_PERIOD	   TR_MSEC(10)
#define CONFIG_PERIOD	   TR_MSEC(100)
#define DRAIN_CHECK_PERIOD TR_MSEC(200)
#define SWEEP_RECORDS	   256
#define MEGABYTE	   (1024 * 1024)
#define EXIT_USAGE	   2

struct daemon {
	struct loop *loop;
	struct settings *settings;
	struct tr_secret secret;
	struct tr_board *board;
	struct tr_event_ring *events;
	struct client *client;
	struct config *config;
	struct proxy *proxy;
	struct peer_link *link;
	struct health *health;
	struct operator_port *operator_port;
	apr_time_t stop_at; /* once leaving, the latest end of the process */
	apr_time_t last_busy_at; /* when a request was last in flight */
};

static void periodic_step(void *ctx)
{
	struct daemon *d = ctx;
	apr_time_t now = tr_clock_now(&d->board->clock);

	for (int i = 0; i < TR_MAX_SERVICES; i++)
		if (d->board->services[i].used)
			tr_service_step(d->board, &d->board->services[i], now);
	peer_step(d->link);
	health_step(d->health);
	tr_dispatcher_sweep(&d->board->dispatcher, now, SWEEP_RECORDS);
	loop_add_timer(d->loop, STEP_PERIOD, periodic_step, d);
}

static void sweep_requests(void *ctx)
{
	struct daemon *d = ctx;

	proxy_sweep(d->proxy);
	loop_add_timer(d->loop, SWEEP_PERIOD, sweep_requests, d);
}

static void step_config(void *ctx)
{
	struct daemon *d = ctx;

	config_step(d->config);
	loop_add_timer(d->loop, CONFIG_PERIOD, step_config, d);
}

/*
 * Handles a peer's message about a service. The peer takes this VM for part of
 * the service's cell, so its document is fetched if it is not here yet.
 */
static void peer_message_received(void *ctx, const struct tr_gossip *msg)
{
	struct daemon *d = ctx;
	struct tr_service *svc = config_add_service(d->config, msg->service);
	struct tr_peer *peer = svc ? tr_member_find(svc, msg->from) : NULL;

	if (!peer)
		return;
	peer->document_revision = msg->document_revision;
	peer->targets_revision = msg->targets_revision;
	config_pull_newer(d->config, svc, peer, msg->list_revision);
}

/* Ends the loop once no caller is connected, or at the time limit. */
static void check_drained(void *ctx)
{
	struct daemon *d = ctx;
	apr_time_t now = tr_clock_now(&d->board->clock);

	if (d->proxy->in_flight)
		d->last_busy_at = now;
	if (now >= d->stop_at ||
	    (!server_connections(d->proxy->server) && !d->proxy->in_flight)) {
		loop_stop(d->loop);
		return;
	}
	loop_add_timer(d->loop, DRAIN_CHECK_PERIOD, check_drained, d);
}

/* The longest time for which callers may keep this VM's address, in us. */
static apr_time_t max_address_lifetime(const struct daemon *d)
{
	apr_time_t longest = 0;

	for (int i = 0; i < TR_MAX_SERVICES; i++) {
		const struct tr_service *svc = &d->board->services[i];
		apr_time_t keep;

		if (!svc->used || !svc->document || !svc->in_cell)
			continue;
		keep = TR_SEC(svc->document->keep_s);
		longest = keep > longest ? keep : longest;
	}
	return longest;
}

/*
 * On the first signal the VM drains: lookups omit it, while pending requests
 * and those of callers that keep its address are still served, for a limited
 * time. A second signal ends the process at once.
 */
static void on_signal(void *ctx)
{
	struct daemon *d = ctx;
	apr_time_t now = tr_clock_now(&d->board->clock);
	apr_time_t max_drain_time = TR_SEC(d->settings->stop_after_s);
	apr_time_t lifetime = max_address_lifetime(d);

	if (d->board->leaving) {
		loop_stop(d->loop);
		return;
	}
	d->board->leaving = true;
	d->stop_at =
		now + (lifetime < max_drain_time ? lifetime : max_drain_time);
	for (int i = 0; i < TR_MAX_SERVICES; i++)
		/* Tell the peers without waiting for the next period. */
		for (unsigned p = 0; p < d->board->services[i].peers_count; p++)
			d->board->services[i].peers[p].last_sent_at = 0;
	tr_board_event(d->board, TR_EVENT_STOP, "", d->board->vm_name,
		       "leaving, for at most %ld s",
		       (long)((d->stop_at - now) / APR_USEC_PER_SEC));
	log_info("shutting down: draining connections");
	loop_add_timer(d->loop, DRAIN_CHECK_PERIOD, check_drained, d);
}

static int init_board(struct daemon *d)
{
	struct settings *s = d->settings;
	struct tr_board *b = calloc(1, sizeof(*b));
	struct in_addr ip;
	uint64_t seed;

	d->events = calloc(1, sizeof(*d->events));
	if (!b || !d->events)
		return -1;
	d->board = b;
	b->clock = *loop_clock(d->loop);
	b->events = d->events;
	b->wall = loop_wall_time;
	b->started_at = tr_clock_now(&b->clock);
	b->vm_id = tr_hash_string(s->name);
	snprintf(b->vm_name, sizeof(b->vm_name), "%s", s->name);
	snprintf(b->data_centre, sizeof(b->data_centre), "%s", s->data_centre);
	randombytes_buf(&b->boot, sizeof(b->boot));
	randombytes_buf(&seed, sizeof(seed));
	b->random.state = seed;
	if (tr_dispatcher_init(&b->dispatcher, &b->boot, &d->secret,
			       s->keys_remembered, s->key_lifetime_s,
			       (size_t)s->answers_mb * MEGABYTE))
		return -1;
	inet_pton(AF_INET, s->address, &ip);
	b->dispatcher.address = ntohl(ip.s_addr);
	b->dispatcher.port = s->port;
	return 0;
}

static int start_modules(struct daemon *d, struct tr_error *err)
{
	struct settings *s = d->settings;
	struct config_options config = {
		.platform = s->platform,
		.secret = &d->secret,
		.seeds = (const char *const *)s->seeds,
		.seeds_count = s->seeds_count,
	};
	struct proxy_options proxy = {
		.ip = s->address,
		.port = s->port,
		.connections = s->connections,
		.body_buffer = (size_t)s->body_buffer_kb * 1024,
	};
	struct operator_parts parts;

	d->client = client_new(d->loop, s->address);
	d->config = config_new(d->loop, d->client, d->board, &config);
	d->proxy = proxy_new(d->loop, d->client, d->board, d->config,
			     &d->secret, &proxy, err);
	if (!d->proxy)
		return -1;
	d->health = health_new(d->client, d->board);
	config_on_change(d->config, proxy_config_changed, d->proxy);
	d->link = peer_open(d->loop, d->board, &d->secret, s->address,
			    s->peer_port, peer_message_received, d, err);
	if (!d->link)
		return -1;
	parts = (struct operator_parts){ d->board, d->config,  d->proxy,
					 d->link,  &d->secret, s->region };
	d->operator_port = operator_new(d->loop, &parts, s->address,
					s->operator_port, err);
	return d->operator_port ? 0 : -1;
}

static void stop_modules(struct daemon *d)
{
	if (d->operator_port)
		operator_destroy(d->operator_port);
	if (d->link)
		peer_close(d->link);
	if (d->health)
		health_destroy(d->health);
	if (d->proxy)
		proxy_destroy(d->proxy);
	if (d->config)
		config_destroy(d->config);
	if (d->client)
		client_destroy(d->client);
	if (d->board)
		tr_dispatcher_release(&d->board->dispatcher);
	free(d->board);
	free(d->events);
	settings_free(d->settings);
}

static void print_error(const struct tr_error *err)
{
	char text[512];

	tr_error_format(err, text, sizeof(text));
	fprintf(stderr, "toucanreeld: %s\n", text);
}

static int run_daemon(const char *path, apr_pool_t *pool, bool check_only)
{
	struct daemon d = { 0 };
	struct tr_error err = { 0 };
	int code = EXIT_USAGE;

	d.settings = settings_load(path, &err);
	if (!d.settings || settings_load_secret(d.settings, &d.secret, &err)) {
		print_error(&err);
		stop_modules(&d);
		return EXIT_USAGE;
	}
	if (check_only) {
		stop_modules(&d);
		return EXIT_SUCCESS;
	}
	memset(&err, 0, sizeof(err));
	snprintf(err.file, sizeof(err.file), "%s", path);
	log_setup((enum log_level)d.settings->log_level, d.settings->log_json,
		  d.settings->name);
	d.loop = loop_new(pool);
	if (!d.loop || init_board(&d) || start_modules(&d, &err)) {
		print_error(&err);
	} else {
		loop_on_terminate(d.loop, on_signal, &d);
		tr_board_event(d.board, TR_EVENT_START, "", d.board->vm_name,
			       "version %s", TOUCANREEL_VERSION);
		log_info("serving on %s:%u", d.settings->address,
			 d.settings->port);
		step_config(&d);
		periodic_step(&d);
		sweep_requests(&d);
		loop_run(d.loop);
		log_info("stopped");
		code = EXIT_SUCCESS;
	}
	stop_modules(&d);
	if (d.loop)
		loop_destroy(d.loop);
	return code;
}

int main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_lit *version =
		arg_lit0(NULL, "version", "print the version");
	struct arg_lit *check =
		arg_lit0(NULL, "check", "check the settings and exit");
	struct arg_file *file = arg_file0("s", "settings", "FILE",
					  "settings of this VM, in YAML");
	struct arg_end *end = arg_end(8);
	void *table[] = { help, version, check, file, end };
	apr_pool_t *pool;
	int code = EXIT_USAGE;
	int errors = arg_parse(argc, argv, table);

	if (help->count) {
		printf("Usage: toucanreeld");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		code = EXIT_SUCCESS;
	} else if (version->count) {
		printf("toucanreeld %s\n", TOUCANREEL_VERSION);
		code = EXIT_SUCCESS;
	} else if (errors || !file->count) {
		arg_print_errors(stderr, end, "toucanreeld");
		fprintf(stderr, "toucanreeld: expected --settings FILE\n");
	} else if (sodium_init() >= 0 && apr_initialize() == APR_SUCCESS &&
		   !curl_global_init(CURL_GLOBAL_DEFAULT)) {
		apr_pool_create(&pool, NULL);
		code = run_daemon(file->filename[0], pool, check->count > 0);
		apr_pool_destroy(pool);
		curl_global_cleanup();
		apr_terminate();
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
