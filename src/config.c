/*
 * The configuration of a VM: the documents and target lists of its services
 * and the list of VMs, read from the platform or from peers.
 */
#include "config.h"

#include <stdlib.h>
#include <string.h>

#include "config_internal.h"
#include "docfile.h"
#include "loop.h"
#include "service.h"

#define CONFIRM_TIMEOUT TR_SEC(5)
#define NEW_SERVICE_TTL TR_SEC(60)

struct config_service *config_service_of(struct config *config,
					 const struct tr_service *svc)
{
	return &config->services[svc - config->board->services];
}

apr_time_t config_now(const struct config *config)
{
	return tr_clock_now(&config->board->clock);
}

/* Calls the handler set with config_on_change. */
void config_notify_change(struct config *config)
{
	if (config->on_change)
		config->on_change(config->on_change_ctx);
}

/*
 * Marks the document as confirmed once a peer with a confirmed document
 * reports no newer revision, once every peer of the cell was heard without a
 * newer one, or after CONFIRM_TIMEOUT. Without this, a VM that is replaced
 * while the platform returns stale data would bring an old document back into
 * force.
 */
static void update_confirmed(struct config *config, struct tr_service *svc)
{
	apr_time_t now = config_now(config);
	bool all = true;
	bool any = false;

	if (svc->confirmed || !svc->document)
		return;
	for (unsigned i = 0; i < svc->peers_count; i++) {
		const struct tr_peer *peer = &svc->peers[i];

		if (!peer->in_cell)
			continue;
		/* Without an echo of this process, the message may predate the
		 * revision that an earlier process of this VM held. */
		if (!peer->last_echo_at ||
		    peer->document_revision > svc->document_revision) {
			all = false;
			continue;
		}
		any |= peer->confirmed;
	}
	if (!any && !all && now - svc->added_at < CONFIRM_TIMEOUT)
		return;
	svc->confirmed = true;
	svc->confirmed_alone = !any && !all;
	config_notify_change(config);
}

static void remove_service(struct config *config, struct tr_service *svc)
{
	struct config_service *cs = config_service_of(config, svc);

	client_fetch_cancel(config->client, cs->platform.fetch);
	client_fetch_cancel(config->client, cs->pull.fetch);
	docfile_free(cs->previous_document);
	docfile_free(svc->document);
	free(cs->document.text);
	free(cs->targets.text);
	memset(cs, 0, sizeof(*cs));
	tr_service_release(svc);
}

/*
 * Starts the reads and pulls that are due and removes services that this VM no
 * longer needs. To be called several times a second.
 */
void config_step(struct config *config)
{
	struct tr_board *board = config->board;
	apr_time_t now = config_now(config);

	config_step_fetchers(config);
	for (int i = 0; i < TR_MAX_SERVICES; i++) {
		struct tr_service *svc = &board->services[i];

		if (!svc->used)
			continue;
		update_confirmed(config, svc);
		/* A request that still refers to the row would otherwise find
		 * another service in it. */
		if (!svc->in_cell && now > svc->needed_until && !svc->users)
			remove_service(config, svc);
	}
}

/*
 * Adds a service on the first request or message that names it, and starts to
 * read its configuration. Returns the existing row if there is one, or NULL if
 * no row is free.
 */
struct tr_service *config_add_service(struct config *config,
				      const char *service)
{
	struct tr_service *svc = tr_board_service(config->board, service);
	struct config_service *cs;

	if (svc)
		return svc;
	svc = tr_board_add_service(config->board, service);
	if (!svc)
		return NULL;
	svc->needed_until = config_now(config) + NEW_SERVICE_TTL;
	cs = config_service_of(config, svc);
	cs->platform = (struct fetcher){ .config = config, .svc = svc };
	cs->pull = (struct fetcher){ .config = config, .svc = svc };
	config_fetch_now(config, &cs->platform);
	return svc;
}

static json_t *value_json(const struct value *value)
{
	if (!value->text)
		return json_null();
	return json_pack("{s:I, s:s%}", "revision",
			 (json_int_t)value->state.revision, "text", value->text,
			 value->len);
}

/*
 * The document and target list of a service in the format that peers pull, or
 * NULL if this VM does not have the service.
 */
json_t *config_service_json(struct config *config, const char *service)
{
	struct tr_service *svc = tr_board_service(config->board, service);
	const struct config_service *cs;

	if (!svc)
		return NULL;
	cs = config_service_of(config, svc);
	return json_pack("{s:o, s:o}", DOCUMENT_VALUE,
			 value_json(&cs->document), TARGETS_VALUE,
			 value_json(&cs->targets));
}

/* The list of VMs in the format that peers pull. */
json_t *config_vm_list_json(struct config *config)
{
	return json_pack("{s:o}", VM_LIST_RESOURCE,
			 value_json(&config->vm_list));
}

/* The revisions in force, and the last refused revision with its reason. */
json_t *config_status(struct config *config, const struct tr_service *svc)
{
	const struct config_service *cs = config_service_of(config, svc);

	return json_pack("{s:I, s:I, s:b, s:b, s:I, s:s}", "document_revision",
			 (json_int_t)svc->document_revision, "targets_revision",
			 (json_int_t)svc->targets_revision, "confirmed",
			 (int)svc->confirmed, "confirmed_alone",
			 (int)svc->confirmed_alone, "refused_revision",
			 (json_int_t)cs->document.state.refused,
			 "refused_reason", cs->document.refused_reason);
}

bool config_platform_up(const struct config *config)
{
	return config->platform_up;
}

bool config_has_vm_list(const struct config *config)
{
	return config->board->fleet.count > 0;
}

const struct config_counts *config_get_counts(const struct config *config)
{
	return &config->counts;
}

/*
 * Sets the function to call whenever a document or list comes into force or is
 * confirmed, and when the platform has no document for a service.
 */
void config_on_change(struct config *config, void (*fn)(void *ctx), void *ctx)
{
	config->on_change = fn;
	config->on_change_ctx = ctx;
}

/* Creates the configuration of a VM; board must outlive it. */
struct config *config_new(struct loop *loop, struct client *client,
			  struct tr_board *board,
			  const struct config_options *options)
{
	struct config *config = calloc(1, sizeof(*config));

	if (!config)
		return NULL;
	config->loop = loop;
	config->client = client;
	config->board = board;
	config->options = *options;
	config->vm_list_platform.config = config;
	config->vm_list_pull.config = config;
	return config;
}

void config_destroy(struct config *config)
{
	for (int i = 0; i < TR_MAX_SERVICES; i++) {
		struct tr_service *svc = &config->board->services[i];

		if (svc->used)
			remove_service(config, svc);
	}
	client_fetch_cancel(config->client, config->vm_list_platform.fetch);
	client_fetch_cancel(config->client, config->vm_list_pull.fetch);
	free(config->vm_list.text);
	free(config->board->fleet.vms);
	free(config);
}
