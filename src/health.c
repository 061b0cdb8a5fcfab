/*
 * Active health checks for the "health" detector, a baseline that is compared
 * with the default one. A probe costs a target about 25 ms; the default
 * detector needs none.
 */
#include "health.h"

#include <stdio.h>
#include <stdlib.h>

#include "client.h"
#include "detector.h"

#define PROBE_PERIOD  TR_MSEC(250)
#define PROBE_TIMEOUT TR_MSEC(200)
#define PROBE_PATH    "/_health"

struct health {
	struct client *client;
	struct tr_board *board;
	apr_time_t next_at;
	struct probe *probes;
};

struct probe {
	struct health *health;
	struct probe *next;
	struct fetch *fetch;
	uint64_t service;
	uint32_t target;
};

static void remove_probe(struct probe *probe)
{
	struct probe **at = &probe->health->probes;

	while (*at && *at != probe)
		at = &(*at)->next;
	if (*at)
		*at = probe->next;
	free(probe);
}

static void on_probe_response(void *ctx, const struct fetch_response *response)
{
	struct probe *probe = ctx;
	struct tr_board *board = probe->health->board;
	struct tr_service *svc = tr_board_service_by_id(board, probe->service);
	struct tr_target *target =
		svc ? tr_service_target(svc, probe->target) : NULL;

	if (target && svc->detector)
		svc->detector->health(board, svc, target,
				      response->status == 200,
				      tr_clock_now(&board->clock));
	remove_probe(probe);
}

static void start_probe(struct health *health, const struct tr_service *svc,
			const struct tr_target *target)
{
	struct probe *probe = calloc(1, sizeof(*probe));
	char url[128];

	if (!probe)
		return;
	probe->health = health;
	probe->service = svc->id;
	probe->target = target->id;
	probe->next = health->probes;
	health->probes = probe;
	snprintf(url, sizeof(url), "http://%s%s", target->address, PROBE_PATH);
	probe->fetch = client_fetch(health->client, url, NULL, PROBE_TIMEOUT,
				    on_probe_response, probe);
	if (!probe->fetch)
		remove_probe(probe);
}

/*
 * Probes all targets of the services that use health checks, once a
 * PROBE_PERIOD. To be called several times a second.
 */
void health_step(struct health *health)
{
	apr_time_t now = tr_clock_now(&health->board->clock);

	if (now < health->next_at)
		return;
	health->next_at = now + PROBE_PERIOD;
	for (int s = 0; s < TR_MAX_SERVICES; s++) {
		const struct tr_service *svc = &health->board->services[s];

		if (!svc->used || !svc->document || !svc->in_cell ||
		    svc->detector != tr_detector(TR_DETECTOR_HEALTH))
			continue;
		for (unsigned i = 0; i < svc->targets_count; i++)
			if (svc->targets[i].listed)
				start_probe(health, svc, &svc->targets[i]);
	}
}

struct health *health_new(struct client *client, struct tr_board *board)
{
	struct health *health = calloc(1, sizeof(*health));

	if (!health)
		return NULL;
	health->client = client;
	health->board = board;
	return health;
}

void health_destroy(struct health *health)
{
	while (health->probes) {
		client_fetch_cancel(health->client, health->probes->fetch);
		remove_probe(health->probes);
	}
	free(health);
}
