#ifndef CONFIG_INTERNAL_H
#define CONFIG_INTERNAL_H

#include "client.h"
#include "config.h"
#include "revision.h"

#define DOCUMENT_VALUE "document"
#define TARGETS_VALUE  "targets"
#define LIST_RESOURCE  "vms"

/* One published value: the text in force, and the newest that was refused. */
struct value {
	struct tr_revision_state held;
	char *text;
	size_t len;
	char reason[512];
};

/* One read or watch of the platform, or one pull from a peer. */
struct reader {
	struct config *config;
	struct tr_service *svc;
	struct fetch *fetch;
	uint64_t index;
	apr_time_t next_at;
	apr_time_t period;
	unsigned failures;
	bool watching;
};

struct config_service {
	struct value document;
	struct value targets;
	struct reader platform;
	struct reader pull;
	struct tr_document *retired;
};

struct config {
	struct loop *loop;
	struct client *client;
	struct tr_board *board;
	struct config_options options;
	struct config_service services[TR_MAX_SERVICES];
	struct value list;
	struct reader list_platform;
	struct reader list_pull;
	bool platform_up;
	bool platform_said;
	struct config_counts counts;
	void (*on_change)(void *ctx);
	void *on_change_ctx;
};

apr_time_t config_now(const struct config *config);
struct config_service *config_service_of(struct config *config,
					 const struct tr_service *svc);
void config_changed(struct config *config);

/* config_offer.c */
void config_offer_document(struct config *config, struct tr_service *svc,
			   uint64_t revision, const char *text, size_t len,
			   const char *source);
void config_offer_targets(struct config *config, struct tr_service *svc,
			  uint64_t revision, const char *text, size_t len,
			  const char *source);
void config_offer_list(struct config *config, uint64_t revision,
		       const char *text, size_t len, const char *source);

/* config_read.c */
void config_step_readers(struct config *config);
void config_read_now(struct config *config, struct reader *reader);

#endif
