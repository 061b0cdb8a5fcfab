/*
 * What the decisions cost as their sizes grow: each measured at three sizes or
 * more, with a straight line fitted and its error. For docs/CAPACITY.md.
 */
#include <arpa/inet.h>
#include <malloc.h>
#include <math.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "codec.h"
#include "docfile.h"
#include "error.h"
#include "gossip.h"
#include "member.h"
#include "service.h"

#define SIZES	 3
#define CENTRES	 4
#define LEAST_US 30000.0

struct point {
	double size;
	double us;
};

static apr_time_t now = TR_SEC(100);

static apr_time_t read_clock(void *ctx)
{
	(void)ctx;
	return now;
}

static double wall_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

/* Microseconds of one call, over enough calls to trust it. */
static double time_of(void (*call)(void *ctx), void *ctx)
{
	double began = wall_us();
	double took = 0;
	long n = 0;

	while (took < LEAST_US) {
		for (int i = 0; i < 10; i++)
			call(ctx);
		n += 10;
		took = wall_us() - began;
	}
	return took / (double)n;
}

/* Least squares; the error is the largest gap from the line, of the most. */
static void fit(const char *name, const struct point *p, const char *unit,
		const char *per)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0, worst = 0, most = 0;
	double slope, base;

	for (int i = 0; i < SIZES; i++) {
		sx += p[i].size;
		sy += p[i].us;
		sxx += p[i].size * p[i].size;
		sxy += p[i].size * p[i].us;
	}
	slope = (SIZES * sxy - sx * sy) / (SIZES * sxx - sx * sx);
	base = (sy - slope * sx) / SIZES;
	for (int i = 0; i < SIZES; i++) {
		worst = fmax(worst, fabs(base + slope * p[i].size - p[i].us));
		most = fmax(most, p[i].us);
	}
	for (int i = 0; i < SIZES; i++) {
		char at[64];

		snprintf(at, sizeof(at), "%s_at_%.0f", name, p[i].size);
		printf("%-44s %12.3f %-10s %-8s %s\n", at, p[i].us, unit, "-",
		       "ok");
	}
	printf("%-44s %12.5f %-10s %-8s %s\n", name, slope, per, "-", "ok");
	printf("%-44s %12.3f %-10s %-8s %s\n", name, base, "base", "-", "ok");
	printf("%-44s %12.1f %-10s %-8s %s\n", name, worst / most * 100,
	       "%_off_line", "-", "ok");
}

struct world {
	struct tr_board board;
	struct tr_service *svc;
	struct tr_document doc;
	struct tr_route route;
	char *centres[CENTRES];
	char names[CENTRES][8];
	struct tr_vm *vms;
	uint64_t sequence;
	struct tr_secret secret;
	char text[65536];
	size_t len;
};

static void make_vms(struct world *w, size_t count)
{
	w->vms = calloc(count, sizeof(*w->vms));
	for (size_t i = 0; i < count; i++) {
		struct tr_vm *vm = &w->vms[i];

		snprintf(vm->name, sizeof(vm->name), "vm-%zu", i);
		snprintf(vm->data_centre, sizeof(vm->data_centre), "dc-%zu",
			 i % CENTRES);
		vm->id = tr_hash_string(vm->name);
	}
	w->board.fleet.vms = w->vms;
	w->board.fleet.count = count;
}

static void make_targets(struct world *w, unsigned count)
{
	struct tr_target_entry entries[TR_MAX_TARGETS];

	memset(entries, 0, sizeof(entries));
	for (unsigned i = 0; i < count; i++) {
		snprintf(entries[i].name, sizeof(entries[i].name), "t-%u", i);
		snprintf(entries[i].address, sizeof(entries[i].address),
			 "127.0.0.1:%u", i + 1);
		snprintf(entries[i].data_centre, sizeof(entries[i].data_centre),
			 "dc-%u", i % CENTRES);
	}
	tr_service_set_targets(&w->board, w->svc, entries, count, 1);
}

static struct world *world_new(size_t vms, unsigned targets)
{
	struct world *w = calloc(1, sizeof(*w));

	for (int i = 0; i < CENTRES; i++) {
		snprintf(w->names[i], sizeof(w->names[i]), "dc-%d", i);
		w->centres[i] = w->names[i];
	}
	w->route.path = "/";
	w->doc.service = "svc";
	w->doc.team = "team";
	w->doc.data_centres = w->centres;
	w->doc.data_centres_count = CENTRES;
	w->doc.target_list = "svc";
	w->doc.floor = 1;
	w->doc.slots = 3;
	w->doc.routes = &w->route;
	w->doc.routes_count = 1;
	tr_document_defaults(&w->doc);
	w->board.clock = (struct tr_clock){ read_clock, NULL };
	w->board.random.state = 1;
	make_vms(w, vms);
	w->board.vm_id = w->vms[0].id;
	snprintf(w->board.data_centre, sizeof(w->board.data_centre), "dc-0");
	w->svc = tr_board_add_service(&w->board, "svc");
	tr_service_set_document(&w->board, w->svc, &w->doc, 1);
	make_targets(w, targets);
	return w;
}

static void world_free(struct world *w)
{
	tr_service_release(w->svc);
	free(w->vms);
	free(w);
}

static void call_step(void *ctx)
{
	struct world *w = ctx;

	now += TR_MSEC(50);
	tr_service_step(&w->board, w->svc, now);
}

static void bench_step(void)
{
	const unsigned sizes[SIZES] = { 10, 24, 64 };
	struct point p[SIZES];

	for (int i = 0; i < SIZES; i++) {
		struct world *w = world_new(32, sizes[i]);

		p[i] = (struct point){ sizes[i], time_of(call_step, w) };
		world_free(w);
	}
	fit("step_of_a_service", p, "us", "us/target");
}

static void call_message(void *ctx)
{
	struct world *w = ctx;
	struct tr_gossip msg;
	char buf[CODEC_MAX];

	tr_gossip_build(&w->board, w->svc, &w->svc->peers[0], ++w->sequence,
			&msg);
	w->len = codec_encode(&msg, &w->secret, buf);
	codec_decode_body(buf + 44, w->len - 44 - TR_MAC_SIZE, &msg);
	memcpy(msg.boot.id, "another", 7);
	msg.from = w->svc->peers[0].vm_id;
	msg.to = w->board.vm_id;
	tr_gossip_receive(&w->board, &msg);
}

static void bench_message(void)
{
	const unsigned sizes[SIZES] = { 3, 24, 64 };
	struct point p[SIZES];
	struct point bytes[SIZES];

	for (int i = 0; i < SIZES; i++) {
		struct world *w = world_new(32, sizes[i]);
		unsigned rows = (sizes[i] + 2) / 3;

		p[i] = (struct point){ rows, time_of(call_message, w) };
		bytes[i] = (struct point){ rows, (double)w->len };
		world_free(w);
	}
	fit("message_made_read_taken", p, "us", "us/row");
	fit("message_length", bytes, "bytes", "bytes/row");
}

static void call_cell(void *ctx)
{
	struct world *w = ctx;

	tr_member_update_cell(&w->board, w->svc);
}

static void bench_cell(void)
{
	const size_t sizes[SIZES] = { 32, 560, 5600 };
	struct point p[SIZES];

	for (int i = 0; i < SIZES; i++) {
		struct world *w = world_new(sizes[i], 24);

		p[i] = (struct point){ (double)sizes[i],
				       time_of(call_cell, w) };
		world_free(w);
	}
	fit("cell_chosen_anew", p, "us", "us/vm");
}

static void write_document(struct world *w, int routes)
{
	size_t len =
		(size_t)snprintf(w->text, sizeof(w->text),
				 "service: svc\nteam: t\ndata_centres: [a]\n"
				 "target_list: svc\nfloor: 1\nroutes:\n");

	for (int i = 0; i < routes; i++)
		len += (size_t)snprintf(w->text + len, sizeof(w->text) - len,
					"  - path: /route-%d\n"
					"    repeat: idempotent\n"
					"    priority: normal\n",
					i);
	w->len = len;
}

static void call_document(void *ctx)
{
	struct world *w = ctx;
	struct tr_error err;

	docfile_free(docfile_parse(w->text, w->len, "bench", &err));
}

static void call_route(void *ctx)
{
	struct world *w = ctx;

	tr_document_route(&w->doc, "GET", "/route-1");
}

/* What a document holds, its text included, which is kept for peers. */
static double document_bytes(struct world *w)
{
	struct tr_error err;
	size_t before = mallinfo2().uordblks;
	struct tr_document *doc = docfile_parse(w->text, w->len, "bench", &err);
	size_t after = mallinfo2().uordblks;

	docfile_free(doc);
	return (double)(after - before) + (double)w->len;
}

static void bench_document_memory(void)
{
	const int sizes[SIZES] = { 3, 48, 480 };
	struct point p[SIZES];

	for (int i = 0; i < SIZES; i++) {
		struct world *w = world_new(32, 10);

		write_document(w, sizes[i]);
		document_bytes(w);
		p[i] = (struct point){ sizes[i], document_bytes(w) };
		world_free(w);
	}
	fit("document_in_memory", p, "bytes", "bytes/route");
}

struct datagrams {
	int from;
	int to;
	struct sockaddr_in addr;
	size_t len;
};

static void call_datagram(void *ctx)
{
	struct datagrams *d = ctx;
	char buf[CODEC_MAX] = { 0 };

	if (sendto(d->from, buf, d->len, 0, (struct sockaddr *)&d->addr,
		   sizeof(d->addr)) > 0 &&
	    recv(d->to, buf, sizeof(buf), 0) < 0)
		abort();
}

/* The two system calls of a datagram, which the decisions do not make. */
static void bench_datagram(void)
{
	const size_t sizes[SIZES] = { 200, 400, 800 };
	struct point p[SIZES];
	struct datagrams d = { .addr = { .sin_family = AF_INET } };
	socklen_t len = sizeof(d.addr);

	d.addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	d.from = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	d.to = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	if (bind(d.to, (struct sockaddr *)&d.addr, sizeof(d.addr)) ||
	    getsockname(d.to, (struct sockaddr *)&d.addr, &len))
		return;
	for (int i = 0; i < SIZES; i++) {
		d.len = sizes[i];
		p[i] = (struct point){ (double)sizes[i],
				       time_of(call_datagram, &d) };
	}
	close(d.from);
	close(d.to);
	fit("datagram_sent_and_received", p, "us", "us/byte");
}

static void bench_routes(void)
{
	const int sizes[SIZES] = { 3, 48, 480 };
	struct point parse[SIZES];
	struct point match[SIZES];

	for (int i = 0; i < SIZES; i++) {
		struct world *w = world_new(32, 10);
		struct tr_route *routes =
			calloc((size_t)sizes[i], sizeof(*routes));

		write_document(w, sizes[i]);
		parse[i] =
			(struct point){ sizes[i], time_of(call_document, w) };
		for (int r = 0; r < sizes[i]; r++)
			routes[r].path = "/some/route";
		w->doc.routes = routes;
		w->doc.routes_count = (unsigned)sizes[i];
		match[i] = (struct point){ sizes[i], time_of(call_route, w) };
		world_free(w);
		free(routes);
	}
	fit("document_read_and_checked", parse, "us", "us/route");
	fit("route_found", match, "us", "us/route");
}

struct line {
	struct tr_queue q;
	struct tr_random random;
	uint32_t organisations;
};

static void call_queue(void *ctx)
{
	struct line *l = ctx;
	struct tr_waiter waiter = {
		.owner = l,
		.deadline = now + TR_SEC(1000),
		.organisation =
			1 + tr_random_below(&l->random, l->organisations),
		.priority = TR_PRIORITY_NORMAL,
	};
	uint32_t slot;
	void *evicted;

	tr_queue_push(&l->q, &waiter, 100, 0, now, &slot, &evicted);
	tr_queue_pop(&l->q, now);
}

static void bench_queue(void)
{
	const uint32_t sizes[SIZES] = { 10, 2700, 270000 };
	struct point p[SIZES];

	for (int i = 0; i < SIZES; i++) {
		struct line l = { .organisations = sizes[i] };

		tr_queue_init(&l.q, 64);
		p[i] = (struct point){ sizes[i], time_of(call_queue, &l) };
		tr_queue_release(&l.q);
	}
	fit("request_queued_and_taken", p, "us", "us/org");
}

struct keys {
	struct tr_dispatcher d;
	struct tr_secret secret;
};

static void call_key(void *ctx)
{
	struct keys *k = ctx;
	char text[TR_KEY_TEXT];
	struct tr_key key;
	uint32_t record;

	tr_dispatcher_mint(&k->d, 1, now, text);
	tr_key_read(&key, &k->secret, text);
	if (tr_dispatcher_admit(&k->d, &key, 1, 1, 0, now, &record) == TR_OK)
		tr_dispatcher_finish(&k->d, record, TR_OUTCOME_ANSWERED, 200,
				     "", "", 0);
	now += TR_MSEC(50);
	tr_dispatcher_sweep(&k->d, now, 8);
}

static void bench_keys(void)
{
	const uint32_t sizes[SIZES] = { 1000, 10000, 60000 };
	struct point p[SIZES];

	for (int i = 0; i < SIZES; i++) {
		struct keys k = { .secret = { { 1 }, { 0 }, 0 } };
		struct tr_boot boot = { { 1 } };

		tr_dispatcher_init(&k.d, &boot, &k.secret, sizes[i], 1, 1000);
		p[i] = (struct point){ sizes[i], time_of(call_key, &k) };
		tr_dispatcher_release(&k.d);
	}
	fit("key_minted_admitted_answered", p, "us", "us/key");
}

int main(void)
{
	if (sodium_init() < 0)
		return EXIT_FAILURE;
	bench_step();
	bench_message();
	bench_cell();
	bench_routes();
	bench_document_memory();
	bench_datagram();
	bench_queue();
	bench_keys();
	printf("%-44s %12zu %-10s %-8s %s\n", "row_of_a_service",
	       sizeof(struct tr_service), "bytes", "-", "ok");
	printf("%-44s %12zu %-10s %-8s %s\n", "record_of_a_key",
	       sizeof(struct tr_dispatch_record) + 2 * sizeof(uint32_t),
	       "bytes", "-", "ok");
	return EXIT_SUCCESS;
}
