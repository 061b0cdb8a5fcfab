#include "config.h"

#include <stdlib.h>
#include <string.h>

#include "config_internal.h"
#include "docfile.h"
#include "loop.h"
#include "service.h"

#define JOIN_WAIT  TR_SEC(5)
#define ATTEND_FOR TR_SEC(60)

struct config_service *config_service_of(struct config *config,
					 const struct tr_service *svc)
{
	return &config->services[svc - config->board->services];
}

apr_time_t config_now(const struct config *config)
{
	return tr_clock_now(&config->board->clock);
}

/* Something came into force: tell who waits for it. */
void config_changed(struct config *config)
{
	if (config->on_change)
		config->on_change(config->on_change_ctx);
}

/*
 * A document is confirmed once a peer that has served says that it holds no
 * newer one, or all of the cell were heard, or, alone, after a while. A VM
 * that was replaced while the platform is stale would else bring an old
 * document back into force.
 */
static void step_confirmed(struct config *config, struct tr_service *svc)
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
		/* Without an echo of this process it may have been sent before
		 * the revision that an earlier process here held. */
		if (!peer->last_echo_at ||
		    peer->document_revision > svc->document_revision) {
			all = false;
			continue;
		}
		any |= peer->confirmed;
	}
	if (!any && !all && now - svc->added_at < JOIN_WAIT)
		return;
	svc->confirmed = true;
	svc->confirmed_alone = !any && !all;
	config_changed(config);
}

static void release(struct config *config, struct tr_service *svc)
{
	struct config_service *cs = config_service_of(config, svc);

	client_fetch_cancel(config->client, cs->platform.fetch);
	client_fetch_cancel(config->client, cs->pull.fetch);
	docfile_free(cs->retired);
	docfile_free(svc->document);
	free(cs->document.text);
	free(cs->targets.text);
	memset(cs, 0, sizeof(*cs));
	tr_service_release(svc);
}

/* Read, watch and pull as needed; call a few times a second. */
void config_step(struct config *config)
{
	struct tr_board *board = config->board;
	apr_time_t now = config_now(config);

	config_step_readers(config);
	for (int i = 0; i < TR_MAX_SERVICES; i++) {
		struct tr_service *svc = &board->services[i];

		if (!svc->used)
			continue;
		step_confirmed(config, svc);
		/* A request that still holds the row would else find another
		 * service in it. */
		if (!svc->in_cell && now > svc->needed_until && !svc->users)
			release(config, svc);
	}
}

/* Begin to serve a service whose name came with a request or a message. */
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
	svc->needed_until = config_now(config) + ATTEND_FOR;
	cs = config_service_of(config, svc);
	cs->platform = (struct reader){ .config = config, .svc = svc };
	cs->pull = (struct reader){ .config = config, .svc = svc };
	config_read_now(config, &cs->platform);
	return svc;
}

static json_t *value_json(const struct value *value)
{
	if (!value->text)
		return json_null();
	return json_pack("{s:I, s:s%}", "revision",
			 (json_int_t)value->held.revision, "text", value->text,
			 value->len);
}

/* The values of a service as a peer pulls them, or NULL. */
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

json_t *config_vm_list_json(struct config *config)
{
	return json_pack("{s:o}", LIST_RESOURCE, value_json(&config->list));
}

/* Revisions in force, and what was refused and why. */
json_t *config_status(struct config *config, const struct tr_service *svc)
{
	const struct config_service *cs = config_service_of(config, svc);

	return json_pack("{s:I, s:I, s:b, s:b, s:I, s:s}", "document_revision",
			 (json_int_t)svc->document_revision, "targets_revision",
			 (json_int_t)svc->targets_revision, "confirmed",
			 (int)svc->confirmed, "confirmed_alone",
			 (int)svc->confirmed_alone, "refused_revision",
			 (json_int_t)cs->document.held.refused,
			 "refused_reason", cs->document.reason);
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

/* Call fn whenever something came into force. */
void config_on_change(struct config *config, void (*fn)(void *ctx), void *ctx)
{
	config->on_change = fn;
	config->on_change_ctx = ctx;
}

/* Configuration of a VM; board outlives it. */
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
	config->list_platform.config = config;
	config->list_pull.config = config;
	return config;
}

void config_destroy(struct config *config)
{
	for (int i = 0; i < TR_MAX_SERVICES; i++) {
		struct tr_service *svc = &config->board->services[i];

		if (svc->used)
			release(config, svc);
	}
	client_fetch_cancel(config->client, config->list_platform.fetch);
	client_fetch_cancel(config->client, config->list_pull.fetch);
	free(config->list.text);
	free(config->board->fleet.vms);
	free(config);
}
