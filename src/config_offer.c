/*
 * Validates documents and lists that were read from the platform or pulled
 * from peers, and puts newer revisions into force.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config_internal.h"
#include "docfile.h"
#include "error.h"
#include "lists.h"
#include "member.h"
#include "service.h"

#define LOG_MODULE "config"
#include "log.h"

#define TARGETS_MAX TR_MAX_TARGETS

/*
 * Whether revision is newer than the one in force and was not refused before.
 * Counts older ones, and records an event for every 50th of them.
 */
static bool is_newer(struct config *config, const struct value *value,
		     uint64_t revision, const char *what, const char *source)
{
	switch (tr_revision_compare(&value->state, revision)) {
	case TR_REVISION_NEWER:
		return true;
	case TR_REVISION_OLDER:
		if (config->counts.old_revisions++ % 50 == 0)
			tr_board_event(config->board, TR_EVENT_OLD_REVISION,
				       what, source, "offered %lu, held %lu",
				       (unsigned long)revision,
				       (unsigned long)value->state.revision);
		return false;
	case TR_REVISION_CURRENT:
	case TR_REVISION_REFUSED:
		break;
	}
	return false;
}

/* Copies the text and records its revision as the one in force. */
static void store_value(struct value *value, uint64_t revision,
			const char *text, size_t len)
{
	char *copy = malloc(len + 1);

	if (!copy)
		return;
	memcpy(copy, text, len);
	copy[len] = 0;
	free(value->text);
	value->text = copy;
	value->len = len;
	tr_revision_accept(&value->state, revision);
	*value->refused_reason = 0;
}

/* Records and logs that a revision failed validation. */
static void refuse_value(struct config *config, struct value *value,
			 uint64_t revision, const char *service,
			 const struct tr_error *err)
{
	tr_revision_refuse(&value->state, revision);
	tr_error_format(err, value->refused_reason,
			sizeof(value->refused_reason));
	config->counts.refused++;
	tr_board_event(config->board, TR_EVENT_REFUSED, service, err->field,
		       "revision %lu: %s", (unsigned long)revision,
		       tr_result_name(err->code));
	log_warning("%s: refused revision %lu: %s", service,
		    (unsigned long)revision, value->refused_reason);
}

/* Makes the next message to each peer due at once, to announce a change. */
static void trigger_gossip(struct tr_service *svc)
{
	for (unsigned i = 0; i < svc->peers_count; i++)
		svc->peers[i].last_sent_at = 0;
}

/*
 * Puts a document into force if its revision is newer and it passes
 * validation. source, "platform" or "peer", is for logs and events.
 */
void config_apply_document(struct config *config, struct tr_service *svc,
			   uint64_t revision, const char *text, size_t len,
			   const char *source)
{
	struct config_service *cs = config_service_of(config, svc);
	struct tr_document *doc;
	struct tr_error err;

	if (!is_newer(config, &cs->document, revision, svc->name, source))
		return;
	doc = docfile_parse(text, len, svc->name, &err);
	if (doc && strcmp(doc->service, svc->name) != 0) {
		tr_error_set(&err, TR_CONTRADICTION, "service", doc->service,
			     "expected %s, the name it is published under",
			     svc->name);
		docfile_free(doc);
		doc = NULL;
	}
	if (!doc) {
		refuse_value(config, &cs->document, revision, svc->name, &err);
		return;
	}
	docfile_free(cs->previous_document);
	cs->previous_document = svc->document;
	store_value(&cs->document, revision, text, len);
	tr_service_set_document(config->board, svc, doc, revision);
	trigger_gossip(svc);
	log_info("%s: document revision %lu in force, from %s", svc->name,
		 (unsigned long)revision, source);
	config_notify_change(config);
}

/*
 * The same for a published list of targets. Ignored unless the service has a
 * document that does not list its targets itself.
 */
void config_apply_targets(struct config *config, struct tr_service *svc,
			  uint64_t revision, const char *text, size_t len,
			  const char *source)
{
	struct config_service *cs = config_service_of(config, svc);
	struct tr_target_entry *entries;
	struct tr_error err = { 0 };
	unsigned count = 0;

	if (!svc->document || svc->document->targets_count ||
	    !is_newer(config, &cs->targets, revision, svc->name, source))
		return;
	entries = calloc(TARGETS_MAX, sizeof(*entries));
	if (!entries)
		return;
	snprintf(err.file, sizeof(err.file), "%s/targets", svc->name);
	if (lists_parse_targets(text, len, entries, TARGETS_MAX, &count,
				&err)) {
		refuse_value(config, &cs->targets, revision, svc->name, &err);
	} else {
		store_value(&cs->targets, revision, text, len);
		tr_service_set_targets(config->board, svc, entries, count,
				       revision);
		trigger_gossip(svc);
		config_notify_change(config);
	}
	free(entries);
}

static void update_cells(struct config *config)
{
	struct tr_board *board = config->board;

	for (int i = 0; i < TR_MAX_SERVICES; i++)
		if (board->services[i].used)
			tr_member_update_cell(board, &board->services[i]);
}

/* The same for the list of VMs; updates the cells of all services. */
void config_apply_vm_list(struct config *config, uint64_t revision,
			  const char *text, size_t len, const char *source)
{
	struct tr_fleet fleet = { .revision = revision };
	struct tr_board *board = config->board;
	struct tr_error err = { 0 };

	if (!is_newer(config, &config->vm_list, revision, VM_LIST_RESOURCE,
		      source))
		return;
	snprintf(err.file, sizeof(err.file), "vms");
	if (lists_parse_vms(text, len, &fleet, &err)) {
		refuse_value(config, &config->vm_list, revision,
			     VM_LIST_RESOURCE, &err);
		return;
	}
	store_value(&config->vm_list, revision, text, len);
	free(board->fleet.vms);
	board->fleet = fleet;
	update_cells(config);
	for (int i = 0; i < TR_MAX_SERVICES; i++)
		if (board->services[i].used)
			trigger_gossip(&board->services[i]);
	tr_board_event(board, TR_EVENT_LIST, "", "vms",
		       "revision %lu, %zu VMs, from %s",
		       (unsigned long)revision, fleet.count, source);
	config_notify_change(config);
}
