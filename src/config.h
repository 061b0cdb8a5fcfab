/*
 * The configuration of a VM: reads it from the platform and from peers,
 * validates it and puts it into force.
 */
#ifndef CONFIG_H
#define CONFIG_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "board.h"

struct client;
struct loop;
struct config;

struct config_options {
	const char *platform; /* base URL, http://IP:PORT */
	const struct tr_secret *secret;
	/* Operator addresses of VMs to pull from while the platform is down. */
	const char *const *seeds;
	unsigned seeds_count;
};

/* Counters for the metrics and the status page. */
struct config_counts {
	uint64_t platform_calls;
	uint64_t platform_failures;
	uint64_t peer_pulls;
	uint64_t old_revisions; /* received, older than the one in force */
	uint64_t refused;	/* revisions that failed validation */
};

struct config *config_new(struct loop *loop, struct client *client,
			  struct tr_board *board,
			  const struct config_options *options);
void config_destroy(struct config *config);
struct tr_service *config_add_service(struct config *config,
				      const char *service);
void config_step(struct config *config);
void config_pull_newer(struct config *config, struct tr_service *svc,
		       const struct tr_peer *peer, uint64_t list_revision);
json_t *config_service_json(struct config *config, const char *service);
json_t *config_vm_list_json(struct config *config);
json_t *config_status(struct config *config, const struct tr_service *svc);
bool config_platform_up(const struct config *config);
bool config_has_vm_list(const struct config *config);
const struct config_counts *config_get_counts(const struct config *config);
void config_on_change(struct config *config, void (*fn)(void *ctx), void *ctx);

#endif
