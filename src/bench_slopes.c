/*
 * Measures how the cost of the library's operations grows with their sizes.
 * Each operation is timed at three sizes; the slope and intercept of a fitted
 * line and its error are printed for docs/CAPACITY.md.
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

/* Sizes that each cost is measured at. */
#define SIZES	       3
#define CENTRE_COUNT   4
#define MIN_MEASURE_US 30000.0

struct point {
	double size;
	double us;
};

static apr_time_t current_time = TR_SEC(100);

static apr_time_t read_clock(void *ctx)
{
	(void)ctx;
	return current_time;
}

static double wall_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

/* Returns the mean time of a call in microseconds, over at least
 * MIN_MEASURE_US. */
static double measure_us(void (*call)(void *ctx), void *ctx)
{
	double start = wall_us();
	double elapsed = 0;
	long n = 0;

	while (elapsed < MIN_MEASURE_US) {
		for (int i = 0; i < 10; i++)
			call(ctx);
		n += 10;
		elapsed = wall_us() - start;
	}
	return elapsed / (double)n;
}

/*
 * Fits a line by least squares and prints the points, slope and intercept. The
 * error is the largest distance from the line in percent of the largest value.
 */
static void print_fit(const char *name, const struct point *p, const char *unit,
		      const char *per)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0, max_error = 0, max_value = 0;
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
		max_error = fmax(max_error,
				 fabs(base + slope * p[i].size - p[i].us));
		max_value = fmax(max_value, p[i].us);
	}
	for (int i = 0; i < SIZES; i++) {
		char at[64];

		snprintf(at, sizeof(at), "%s_at_%.0f", name, p[i].size);
		printf("%-44s %12.3f %-10s %-8s %s\n", at, p[i].us, unit, "-",
		       "ok");
	}
	printf("%-44s %12.5f %-10s %-8s %s\n", name, slope, per, "-", "ok");
	printf("%-44s %12.3f %-10s %-8s %s\n", name, base, "base", "-", "ok");
	printf("%-44s %12.1f %-10s %-8s %s\n", name,
	       max_error / max_value * 100, "%_off_line", "-", "ok");
}

struct bench {
	struct tr_board board;
	struct tr_service *svc;
	struct tr_document doc;
	struct tr_route route;
	char *centres[CENTRE_COUNT];
	char names[CENTRE_COUNT][8];
	struct tr_vm *vms;
	uint64_t sequence;
	struct tr_secret secret;
	char text[65536];
	size_t len;
};

static void make_vms(struct bench *w, size_t count)
{
	w->vms = calloc(count, sizeof(*w->vms));
	for (size_t i = 0; i < count; i++) {
		struct tr_vm *vm = &w->vms[i];

		snprintf(vm->name, sizeof(vm->name), "vm-%zu", i);
		snprintf(vm->data_centre, sizeof(vm->data_centre), "dc-%zu",
			 i % CENTRE_COUNT);
		vm->id = tr_hash_string(vm->name);
	}
	w->board.fleet.vms = w->vms;
	w->board.fleet.count = count;
}

static void make_targets(struct bench *w, unsigned count)
{
	struct tr_target_entry entries[TR_MAX_TARGETS];

	memset(entries, 0, sizeof(entries));
	for (unsigned i = 0; i < count; i++) {
		snprintf(entries[i].name, sizeof(entries[i].name), "t-%u", i);
		snprintf(entries[i].address, sizeof(entries[i].address),
			 "127.0.0.1:%u", i + 1);
		snprintf(entries[i].data_centre, sizeof(entries[i].data_centre),
			 "dc-%u", i % CENTRE_COUNT);
	}
	tr_service_set_targets(&w->board, w->svc, entries, count, 1);
}

static struct bench *bench_new(size_t vms, unsigned targets)
{
	struct bench *w = calloc(1, sizeof(*w));

	for (int i = 0; i < CENTRE_COUNT; i++) {
		snprintf(w->names[i], sizeof(w->names[i]), "dc-%d", i);
		w->centres[i] = w->names[i];
	}
	w->route.path = "/";
	w->doc.service = "svc";
	w->doc.team = "team";
	w->doc.data_centres = w->centres;
	w->doc.data_centres_count = CENTRE_COUNT;
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

static void bench_free(struct bench *w)
{
	tr_service_release(w->svc);
	free(w->vms);
	free(w);
}

static void run_step(void *ctx)
{
	struct bench *w = ctx;

	current_time += TR_MSEC(50);
	tr_service_step(&w->board, w->svc, current_time);
}

static void bench_step(void)
{
	const unsigned sizes[SIZES] = { 10, 24, 64 };
	struct point p[SIZES];

	for (int i = 0; i < SIZES; i++) {
		struct bench *w = bench_new(32, sizes[i]);

		p[i] = (struct point){ sizes[i], measure_us(run_step, w) };
		bench_free(w);
	}
	print_fit("step_of_a_service", p, "us", "us/target");
}

static void run_message(void *ctx)
{
	struct bench *w = ctx;
	struct tr_gossip msg;
	char buf[CODEC_MAX_DATAGRAM];

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
		struct bench *w = bench_new(32, sizes[i]);
		unsigned rows = (sizes[i] + 2) / 3;

		p[i] = (struct point){ rows, measure_us(run_message, w) };
		bytes[i] = (struct point){ rows, (double)w->len };
		bench_free(w);
	}
	print_fit("message_made_read_taken", p, "us", "us/row");
	print_fit("message_length", bytes, "bytes", "bytes/row");
}

static void run_cell(void *ctx)
{
	struct bench *w = ctx;

	tr_member_update_cell(&w->board, w->svc);
}

static void bench_cell(void)
{
	const size_t sizes[SIZES] = { 32, 560, 5600 };
	struct point p[SIZES];

	for (int i = 0; i < SIZES; i++) {
		struct bench *w = bench_new(sizes[i], 24);

		p[i] = (struct point){ (double)sizes[i],
				       measure_us(run_cell, w) };
		bench_free(w);
	}
	print_fit("cell_chosen_anew", p, "us", "us/vm");
}

static void write_document(struct bench *w, int routes)
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

static void run_document(void *ctx)
{
	struct bench *w = ctx;
	struct tr_error err;

	docfile_free(docfile_parse(w->text, w->len, "bench", &err));
}

static void run_route(void *ctx)
{
	struct bench *w = ctx;

	tr_document_route(&w->doc, "GET", "/route-1");
}

/* Returns the memory of a parsed document in bytes, including its text, which a
 * VM keeps for its peers. */
static double document_bytes(struct bench *w)
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
		struct bench *w = bench_new(32, 10);

		write_document(w, sizes[i]);
		document_bytes(w);
		p[i] = (struct point){ sizes[i], document_bytes(w) };
		bench_free(w);
	}
	print_fit("document_in_memory", p, "bytes", "bytes/route");
}

struct datagrams {
	int from;
	int to;
	struct sockaddr_in addr;
	size_t len;
};

static void run_datagram(void *ctx)
{
	struct datagrams *d = ctx;
	char buf[CODEC_MAX_DATAGRAM] = { 0 };

	if (sendto(d->from, buf, d->len, 0, (struct sockaddr *)&d->addr,
		   sizeof(d->addr)) > 0 &&
	    recv(d->to, buf, sizeof(buf), 0) < 0)
		abort();
}

/* Measures the two system calls of a datagram, which the library leaves to its
 * caller. */
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
				       measure_us(run_datagram, &d) };
	}
	close(d.from);
	close(d.to);
	print_fit("datagram_sent_and_received", p, "us", "us/byte");
}

static void bench_routes(void)
{
	const int sizes[SIZES] = { 3, 48, 480 };
	struct point parse[SIZES];
	struct point match[SIZES];

	for (int i = 0; i < SIZES; i++) {
		struct bench *w = bench_new(32, 10);
		struct tr_route *routes =
			calloc((size_t)sizes[i], sizeof(*routes));

		write_document(w, sizes[i]);
		parse[i] =
			(struct point){ sizes[i], measure_us(run_document, w) };
		for (int r = 0; r < sizes[i]; r++)
			routes[r].path = "/some/route";
		w->doc.routes = routes;
		w->doc.routes_count = (unsigned)sizes[i];
		match[i] = (struct point){ sizes[i], measure_us(run_route, w) };
		bench_free(w);
		free(routes);
	}
	print_fit("document_read_and_checked", parse, "us", "us/route");
	print_fit("route_found", match, "us", "us/route");
}

struct queue_bench {
	struct tr_queue q;
	struct tr_random random;
	uint32_t organisations;
};

static void run_queue(void *ctx)
{
	struct queue_bench *l = ctx;
	struct tr_waiter waiter = {
		.owner = l,
		.deadline = current_time + TR_SEC(1000),
		.organisation =
			1 + tr_random_below(&l->random, l->organisations),
		.priority = TR_PRIORITY_NORMAL,
	};
	uint32_t slot;
	void *evicted;

	tr_queue_push(&l->q, &waiter, 100, 0, current_time, &slot, &evicted);
	tr_queue_pop(&l->q, current_time);
}

static void bench_queue(void)
{
	const uint32_t sizes[SIZES] = { 10, 2700, 270000 };
	struct point p[SIZES];

	for (int i = 0; i < SIZES; i++) {
		struct queue_bench l = { .organisations = sizes[i] };

		tr_queue_init(&l.q, 64);
		p[i] = (struct point){ sizes[i], measure_us(run_queue, &l) };
		tr_queue_release(&l.q);
	}
	print_fit("request_queued_and_taken", p, "us", "us/org");
}

struct key_bench {
	struct tr_dispatcher d;
	struct tr_secret secret;
};

static void run_key(void *ctx)
{
	struct key_bench *k = ctx;
	char text[TR_KEY_TEXT];
	struct tr_key key;
	uint32_t record;

	tr_dispatcher_mint(&k->d, 1, current_time, text);
	tr_key_read(&key, &k->secret, text);
	if (tr_dispatcher_admit(&k->d, &key, 1, 1, 0, current_time, &record) ==
	    TR_OK)
		tr_dispatcher_finish(&k->d, record, TR_OUTCOME_ANSWERED, 200,
				     "", "", 0);
	current_time += TR_MSEC(50);
	tr_dispatcher_sweep(&k->d, current_time, 8);
}

static void bench_keys(void)
{
	const uint32_t sizes[SIZES] = { 1000, 10000, 60000 };
	struct point p[SIZES];

	for (int i = 0; i < SIZES; i++) {
		struct key_bench k = { .secret = { { 1 }, { 0 }, 0 } };
		struct tr_boot boot = { { 1 } };

		tr_dispatcher_init(&k.d, &boot, &k.secret, sizes[i], 1, 1000);
		p[i] = (struct point){ sizes[i], measure_us(run_key, &k) };
		tr_dispatcher_release(&k.d);
	}
	print_fit("key_minted_admitted_answered", p, "us", "us/key");
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
