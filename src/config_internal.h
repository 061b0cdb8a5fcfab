/* Types and functions shared by the config_*.c files. */
#ifndef CONFIG_INTERNAL_H
#define CONFIG_INTERNAL_H

#include "client.h"
#include "config.h"
#include "revision.h"

#define DOCUMENT_VALUE	 "document"
#define TARGETS_VALUE	 "targets"
#define VM_LIST_RESOURCE "vms"

/* One published value, in the revision that is in force. */
struct value {
	struct tr_revision_state state;
	char *text;
	size_t len;
	char refused_reason[512]; /* why state.refused failed validation */
};

/*
 * Repeated requests for one service or for the list of VMs, either to the
 * platform or to peers. At most one request is in flight.
 */
struct fetcher {
	struct config *config;
	struct tr_service *svc; /* NULL for the list of VMs */
	struct fetch *fetch;	/* request in flight, or NULL */
	uint64_t index; /* of the platform's last response, 0 for none */
	apr_time_t next_at;
	apr_time_t period;
	unsigned failures; /* consecutive, at most MAX_DOUBLINGS */
	bool watching;	   /* the request in flight is a blocking query */
};

struct config_service {
	struct value document;
	struct value targets;
	struct fetcher platform;
	struct fetcher pull;
	/* The document replaced last; freed at the next replacement. */
	struct tr_document *previous_document;
};

struct config {
	struct loop *loop;
	struct client *client;
	struct tr_board *board;
	struct config_options options;
	struct config_service services[TR_MAX_SERVICES];
	struct value vm_list;
	struct fetcher vm_list_platform;
	struct fetcher vm_list_pull;
	bool platform_up;
	bool platform_logged; /* platform_up was logged at least once */
	struct config_counts counts;
	void (*on_change)(void *ctx);
	void *on_change_ctx;
};

apr_time_t config_now(const struct config *config);
struct config_service *config_service_of(struct config *config,
					 const struct tr_service *svc);
void config_notify_change(struct config *config);

/* config_offer.c */
void config_apply_document(struct config *config, struct tr_service *svc,
			   uint64_t revision, const char *text, size_t len,
			   const char *source);
void config_apply_targets(struct config *config, struct tr_service *svc,
			  uint64_t revision, const char *text, size_t len,
			  const char *source);
void config_apply_vm_list(struct config *config, uint64_t revision,
			  const char *text, size_t len, const char *source);

/* config_read.c */
void config_step_fetchers(struct config *config);
void config_fetch_now(struct config *config, struct fetcher *fetcher);

#endif
