/*
 * The daemon of an entry VM on a platform with a store: startup, the periodic
 * step, reload and shutdown.
 */
#include <apr_general.h>
#include <argtable2.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <sys/stat.h>
#include <unistd.h>

#include "crossing_watch.h"
#include "endpoints.h"
#include "entry_settings.h"
#include "error.h"
#include "eventlog.h"
#include "exchange.h"
#include "idle.h"
#include "mesh.h"
#include "path_watch.h"
#include "platform.h"
#include "reader.h"
#include "repeat.h"
#include "routes_check.h"
#include "tunnel.h"
#include "version.h"

#define EXIT_USAGE 2
/* Period of step(): a third of the shortest period of what it runs. */
#define TIME_STEP TR_MSEC(25)
/* The same until this VM can serve, because callers wait for that. */
#define TIME_STEP_AT_START TR_MSEC(5)
/* How often the settings file is checked for a change without a signal. */
#define SETTINGS_PERIOD TR_SEC(1)

/*
 * If organisations have limits, requests are held after the start for the first
 * of these times, plus a random time of up to the second at each VM. A VM that
 * knows of no other yet applies the whole limits by itself, and after the loss
 * of all VMs each does so. With five times the requests that a limit allows,
 * 1.05 of what operators allow passed in the window around such a loss (104
 * VMs), and 1.04 when all VMs served the held requests at once.
 */
#define LIMITS_SETTLE_MIN	TR_MSEC(200)
#define LIMITS_SETTLE_JITTER_MS 400

struct daemon {
	struct entry e;
	struct entry_settings *settings;
	const char *path;
	GSList *old_settings;
	apr_time_t settings_checked_at;
	struct timespec settings_mtime;
};

/* Goes through the phases of a shutdown and stops the loop at the end. */
static void step_stop(struct daemon *d, apr_time_t now)
{
	struct entry *e = &d->e;
	enum tr_stop_phase phase;

	/* It may have been reloaded. */
	e->stop.grace = d->settings->grace_us;
	phase = tr_stop_phase(&e->stop, now);
	if (phase >= TR_STOP_NO_IDLE)
		listener_close_idle(&e->front);
	if (phase >= TR_STOP_REFUSES) {
		listener_stop_accepting(&e->front);
		exchange_refuse_unread(e);
	}
	if (phase >= TR_STOP_OVER)
		exchange_reply_all(e);
	if (phase >= TR_STOP_OVER ||
	    (phase >= TR_STOP_REFUSES && !e->exchanges_count &&
	     !e->front.count && !e->tunnels_count))
		loop_stop(e->loop);
}

/*
 * Reloads the settings. What is bound to a socket stays as it is until a
 * restart. An invalid file changes nothing.
 */
static void reload(struct daemon *d)
{
	struct entry *e = &d->e;
	struct tr_error err = { 0 };
	struct entry_settings *s;
	char text[512];

	snprintf(err.file, sizeof(err.file), "%s", d->path);
	s = entry_settings_load(d->path, &err);
	if (!s) {
		tr_error_format(&err, text, sizeof(text));
		eventlog(EVENT_FAILURE, "reload-refused", "why=\"%s\"", text);
		return;
	}
	if (strcmp(s->front, d->settings->front) != 0 ||
	    strcmp(s->ip, d->settings->ip) != 0 ||
	    s->peer_port != d->settings->peer_port)
		eventlog(EVENT_FAILURE, "reload-partial",
			 "expected=\"a restart for new addresses\"");
	/* The open listeners use strings of the old settings. */
	d->old_settings = g_slist_prepend(d->old_settings, d->settings);
	d->settings = s;
	e->settings = s;
	entry_apply_bounds(e);
	reader_reload(e->reader);
	mesh_add_seeds(e->mesh);
	eventlog(EVENT_LIFECYCLE, "reload", "seeds=%u store=%s", s->seeds_count,
		 s->store);
}

/* Returns the time of the file's last change, or zero if it cannot be read. */
static struct timespec mtime_of(const char *path)
{
	struct stat st;

	if (stat(path, &st))
		return (struct timespec){ 0 };
	return st.st_mtim;
}

/*
 * Reloads the settings if the file has changed, which may happen without a
 * signal.
 */
static void check_settings_file(struct daemon *d, apr_time_t now)
{
	struct timespec at;

	if (now - d->settings_checked_at < SETTINGS_PERIOD)
		return;
	d->settings_checked_at = now;
	at = mtime_of(d->path);
	if (at.tv_sec == d->settings_mtime.tv_sec &&
	    at.tv_nsec == d->settings_mtime.tv_nsec)
		return;
	d->settings_mtime = at;
	if (at.tv_sec)
		reload(d);
}

static void on_sighup(void *ctx)
{
	struct daemon *d = ctx;

	d->settings_mtime = mtime_of(d->path);
	reload(d);
}

/*
 * Updates whether this VM is listed in lookups, which it is not while it may
 * not use callers' keys, and reports and logs a change.
 */
static void update_readiness(struct entry *e)
{
	bool takes = e->ready && entry_may_use_keys(e);
	apr_time_t age = tr_proof_age(&e->proof, entry_now(e));

	if (takes == e->members.nodes[0].ready)
		return;
	e->members.nodes[0].ready = takes;
	eventlog(EVENT_STATE, takes ? "takes-callers" : "turns-callers-away",
		 "proof_age_ms=%ld", e->proof.at ? (long)(age / 1000) : -1L);
	mesh_schedule_report(e->mesh);
}

/* Periodic work of the daemon; schedules itself again. */
static void step(void *ctx)
{
	struct daemon *d = ctx;
	struct entry *e = &d->e;
	apr_time_t now = entry_now(e);

	if (entry_check_pause(e, now)) {
		eventlog(EVENT_LIFECYCLE, "paused", "for_ms=%ld",
			 (long)((now - e->stepped_at) / 1000));
		reader_reset(e->reader);
		tr_limits_restart(&e->limits, now);
	}
	e->stepped_at = now;
	check_settings_file(d, now);
	exchange_resume_held(e);
	tr_roster_step(&e->roster, now);
	idle_step(e, now);
	repeat_step(e, now);
	admission_step(e, now);
	conn_pool_expire(e);
	path_step(e, now);
	crossing_step(e, now);
	reader_step(e->reader);
	mesh_step(e->mesh);
	update_readiness(e);
	if (!e->ready && e->routes && e->roster.confirmed_at &&
	    entry_is_settled(e)) {
		e->ready = true;
		eventlog(EVENT_LIFECYCLE, "ready", "version=%" PRIu64,
			 e->routes->version);
		mesh_schedule_report(e->mesh);
	}
	if (entry_is_leaving(e))
		step_stop(d, now);
	loop_add_timer(e->loop, e->ready ? TIME_STEP : TIME_STEP_AT_START, step,
		       d);
}

/* Gives up buffers while they exceed their limit, and logs it. */
static void relieve_buffers(struct entry *e)
{
	size_t bytes = e->buffers.bytes;

	tr_buffers_relieve(&e->buffers);
	if (e->buffers.given_up == e->buffers_given_up)
		return;
	entry_log_refusal(e, "buffers-full",
			  "bytes=%zu max=%zu given_up_total=%" PRIu64, bytes,
			  e->buffers.max, e->buffers.given_up);
	e->buffers_given_up = e->buffers.given_up;
}

static void before_poll(void *ctx)
{
	struct daemon *d = ctx;

	relieve_buffers(&d->e);
	eventlog_flush();
}

/* Begins the shutdown. */
static void on_stop_signal(void *ctx)
{
	struct daemon *d = ctx;
	struct entry *e = &d->e;

	if (entry_is_leaving(e))
		return;
	e->stop.since = entry_now(e);
	e->stop.grace = d->settings->grace_us;
	e->members.nodes[0].leaving = true;
	e->front.closing = true;
	eventlog(EVENT_LIFECYCLE, "stop", "in_hand=%u", e->exchanges_count);
	mesh_broadcast_now(e->mesh);
}

static int open_listener(struct daemon *d, struct listener *listener,
			 const char *field, const char *address,
			 const struct listener_callbacks *calls,
			 struct tr_error *err)
{
	if (!listener_open(listener, d->e.loop, address, &d->e.buffers, calls,
			   &d->e))
		return 0;
	return tr_error_set(err, TR_PORT_IN_USE, field, address,
			    "expected an address that can be bound: %s",
			    strerror(errno));
}

static int open_services(struct daemon *d, struct tr_error *err)
{
	struct entry_settings *s = d->settings;
	struct entry *e = &d->e;
	char address[64];

	e->mesh = mesh_open(e, err);
	if (!e->mesh)
		return -1;
	e->reader = reader_new(e);
	if (open_listener(d, &e->front, "front", s->front, &exchange_callbacks,
			  err) ||
	    open_listener(d, &e->directory, "directory", s->directory,
			  &endpoints_directory, err) ||
	    open_listener(d, &e->readiness, "ready", s->ready,
			  &endpoints_readiness, err))
		return -1;
	if (!s->metrics_port)
		return 0;
	snprintf(address, sizeof(address), "%s:%u", s->ip, s->metrics_port);
	return open_listener(d, &e->metrics, "metrics_port", address,
			     &endpoints_metrics, err);
}

static int init_entry(struct daemon *d, apr_pool_t *pool)
{
	struct entry_settings *s = d->settings;
	struct entry *e = &d->e;
	struct in_addr ip;
	uint64_t seeds[2];

	if (getrandom(seeds, sizeof(seeds), 0) != sizeof(seeds))
		return -1;
	e->loop = loop_new(pool);
	e->settings = s;
	e->dialect = &platform_dialect;
	e->random.state = seeds[0];
	e->split_position = tr_random_unit(&e->random);
	e->held_callers = g_ptr_array_new();
	e->started_at = entry_now(e);
	e->repeats_known_since = s->first_start ? 0 : e->started_at;
	e->limits_settle_at =
		e->started_at + LIMITS_SETTLE_MIN +
		TR_MSEC(tr_random_below(&e->random, LIMITS_SETTLE_JITTER_MS));
	entry_apply_bounds(e);
	e->front.fd = e->directory.fd = -1;
	e->readiness.fd = e->metrics.fd = -1;
	inet_pton(AF_INET, s->ip, &ip);
	return tr_membership_init(&e->members, ip.s_addr, seeds[1] | 1,
				  s->data_centre);
}

static void close_all(struct daemon *d)
{
	struct entry *e = &d->e;

	listener_close(&e->front);
	exchange_free_all(e);
	path_release(e);
	tunnel_free_all(e);
	conn_pool_clear(e);
	listener_close(&e->directory);
	listener_close(&e->readiness);
	listener_close(&e->metrics);
	reader_free(e->reader);
	mesh_close(e->mesh);
	tr_membership_release(&e->members);
	tr_roster_release(&e->roster);
	tr_routes_unref(e->routes);
	g_free(e->allowances);
	g_free(e->crossings);
	tr_limits_release(&e->limits);
	admission_release(e);
	tr_fatal_release(&e->fatals);
	tr_buffers_release(&e->buffers);
	g_ptr_array_free(e->held_callers, TRUE);
	if (e->times)
		g_array_free(e->times, TRUE);
	loop_destroy(e->loop);
}

static int print_error(const struct tr_error *err)
{
	char text[512];

	tr_error_format(err, text, sizeof(text));
	fprintf(stderr, "toucanreel-entry: %s\n", text);
	return EXIT_USAGE;
}

static int run_daemon(const char *path, bool check_only, apr_pool_t *pool)
{
	struct daemon d = { .path = path };
	struct tr_error err = { 0 };
	int code = EXIT_SUCCESS;

	snprintf(err.file, sizeof(err.file), "%s", path);
	d.settings = entry_settings_load(path, &err);
	if (!d.settings)
		return print_error(&err);
	if (check_only) {
		entry_settings_free(d.settings);
		return EXIT_SUCCESS;
	}
	eventlog_setup(d.settings->name);
	if (init_entry(&d, pool)) {
		fprintf(stderr, "toucanreel-entry: out of memory\n");
		return EXIT_FAILURE;
	}
	d.settings_mtime = mtime_of(path);
	loop_on_hangup(d.e.loop, on_sighup, &d);
	loop_on_terminate(d.e.loop, on_stop_signal, &d);
	if (open_services(&d, &err)) {
		code = print_error(&err);
	} else {
		eventlog(EVENT_LIFECYCLE, "start",
			 "version=%s front=%s data_centre=%s seeds=%u first=%d",
			 TOUCANREEL_VERSION, d.settings->front,
			 d.settings->data_centre, d.settings->seeds_count,
			 d.settings->first_start);
		loop_before_poll(d.e.loop, before_poll, &d);
		step(&d);
		loop_run(d.e.loop);
		eventlog(EVENT_LIFECYCLE, "end", "in_hand=%u",
			 d.e.exchanges_count);
		eventlog_flush();
	}
	close_all(&d);
	entry_settings_free(d.settings);
	g_slist_free_full(d.old_settings, (GDestroyNotify)entry_settings_free);
	return code;
}

int main(int argc, char **argv)
{
	struct arg_lit *help =
		arg_lit0("h", "help", "print this help and exit");
	struct arg_lit *version =
		arg_lit0(NULL, "version", "print the version and exit");
	struct arg_lit *check =
		arg_lit0(NULL, "check", "check the settings and exit");
	struct arg_file *file = arg_file0("s", "settings", "FILE",
					  "settings of this VM, in YAML");
	struct arg_file *check_routes = arg_file0(
		NULL, "check-routes", "FILE", "check a configuration and exit");
	struct arg_file *in_force = arg_file0(
		NULL, "in-force", "FILE", "the one in force, to compare with");
	struct arg_end *end = arg_end(8);
	void *table[] = { help,		version,  check, file,
			  check_routes, in_force, end };
	int errors = arg_parse(argc, argv, table);
	const char *path =
		file->count ? file->filename[0] : getenv("TOUCANREEL_CONFIG");
	apr_pool_t *pool;
	int code = EXIT_USAGE;

	if (help->count) {
		printf("Usage: toucanreel-entry");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		code = EXIT_SUCCESS;
	} else if (version->count) {
		printf("toucanreel-entry %s\n", TOUCANREEL_VERSION);
		code = EXIT_SUCCESS;
	} else if (!errors && check_routes->count) {
		code = routes_check(
			&platform_dialect, check_routes->filename[0],
			in_force->count ? in_force->filename[0] : NULL);
	} else if (!errors && in_force->count) {
		fprintf(stderr, "toucanreel-entry: --in-force: expected "
				"--check-routes FILE too\n");
	} else if (errors || !path) {
		arg_print_errors(stderr, end, "toucanreel-entry");
		fprintf(stderr, "toucanreel-entry: expected --settings FILE or "
				"TOUCANREEL_CONFIG\n");
	} else if (apr_initialize() == APR_SUCCESS) {
		apr_pool_create(&pool, NULL);
		code = run_daemon(path, check->count > 0, pool);
		apr_pool_destroy(pool);
		apr_terminate();
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
