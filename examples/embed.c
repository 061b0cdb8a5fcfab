/*
 * Embeds libtoucanreel with I/O of the program's own: one VM and five targets,
 * with simulated requests and a simulated clock. One target fails every
 * request; the library must avoid it, so that it gets less than a twentieth of
 * the requests.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "board.h"
#include "service.h"

#define TARGETS	 5
#define REQUESTS 2000

static apr_time_t current_time = TR_SEC(1);

static apr_time_t read_clock(void *ctx)
{
	(void)ctx;
	return current_time;
}

static void fill_targets(struct tr_target_entry *entries)
{
	for (int i = 0; i < TARGETS; i++) {
		memset(&entries[i], 0, sizeof(entries[i]));
		snprintf(entries[i].name, sizeof(entries[i].name), "target-%d",
			 i);
		snprintf(entries[i].address, sizeof(entries[i].address),
			 "127.0.0.1:%d", 9000 + i);
		snprintf(entries[i].data_centre, sizeof(entries[i].data_centre),
			 "here");
	}
}

/* Stands in for the I/O: target-2 fails every request. */
static enum tr_attempt_end send_request(const struct tr_target *target)
{
	return strcmp(target->name, "target-2") ? TR_ATTEMPT_ANSWERED
						: TR_ATTEMPT_BROKEN;
}

static void run_request(struct tr_board *board, struct tr_service *svc)
{
	enum tr_pick_kind kind;
	struct tr_target *target =
		tr_service_pick(board, svc, true, NULL, &kind);
	apr_time_t start = current_time;

	if (!target)
		return;
	tr_attempt_begin(svc, target, kind, start);
	current_time += TR_MSEC(5);
	tr_attempt_end(board, svc, target, 0, send_request(target), start,
		       false, current_time);
	tr_service_step(board, svc, current_time);
}

int main(void)
{
	struct tr_board *board = calloc(1, sizeof(*board));
	struct tr_target_entry entries[TARGETS];
	struct tr_route route = { .path = "/" };
	char *centres[] = { "here" };
	struct tr_document doc = {
		.service = "demo",
		.team = "demo",
		.data_centres = centres,
		.data_centres_count = 1,
		.target_list = "demo",
		.floor = 3,
		.slots = 3,
		.routes = &route,
		.routes_count = 1,
	};
	struct tr_service *svc;
	unsigned long faulty_sent = 0;

	if (!board)
		return EXIT_FAILURE;
	board->clock = (struct tr_clock){ read_clock, NULL };
	board->random.state = 1;
	snprintf(board->data_centre, sizeof(board->data_centre), "here");
	tr_document_defaults(&doc);
	svc = tr_board_add_service(board, "demo");
	tr_service_set_document(board, svc, &doc, 1);
	fill_targets(entries);
	tr_service_set_targets(board, svc, entries, TARGETS, 1);
	for (int i = 0; i < REQUESTS; i++)
		run_request(board, svc);
	for (unsigned i = 0; i < svc->targets_count; i++) {
		const struct tr_target *t = &svc->targets[i];

		printf("%s: sent %lu, answered %lu%s\n", t->name,
		       (unsigned long)t->sent, (unsigned long)t->answered,
		       t->avoided ? ", avoided" : "");
		if (!strcmp(t->name, "target-2"))
			faulty_sent = (unsigned long)t->sent;
	}
	tr_service_release(svc);
	free(board);
	return faulty_sent < REQUESTS / 20 ? EXIT_SUCCESS : EXIT_FAILURE;
}
