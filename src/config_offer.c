/* What is offered to a VM, by the platform or by peers, and what it takes. */
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

static bool is_news(struct config *config, const struct value *value,
		    uint64_t revision, const char *what, const char *source)
{
	switch (tr_revision_compare(&value->held, revision)) {
	case TR_REVISION_NEWER:
		return true;
	case TR_REVISION_OLDER:
		if (config->counts.old_revisions++ % 50 == 0)
			tr_board_event(config->board, TR_EVENT_OLD_REVISION,
				       what, source, "offered %lu, held %lu",
				       (unsigned long)revision,
				       (unsigned long)value->held.revision);
		return false;
	case TR_REVISION_CURRENT:
	case TR_REVISION_REFUSED:
		break;
	}
	return false;
}

static void keep(struct value *value, uint64_t revision, const char *text,
		 size_t len)
{
	char *copy = malloc(len + 1);

	if (!copy)
		return;
	memcpy(copy, text, len);
	copy[len] = 0;
	free(value->text);
	value->text = copy;
	value->len = len;
	tr_revision_accept(&value->held, revision);
	*value->reason = 0;
}

static void refuse(struct config *config, struct value *value,
		   uint64_t revision, const char *service,
		   const struct tr_error *err)
{
	tr_revision_refuse(&value->held, revision);
	tr_error_format(err, value->reason, sizeof(value->reason));
	config->counts.refused++;
	tr_board_event(config->board, TR_EVENT_REFUSED, service, err->field,
		       "revision %lu: %s", (unsigned long)revision,
		       tr_result_name(err->code));
	log_warning("%s: refused revision %lu: %s", service,
		    (unsigned long)revision, value->reason);
}

/* Let peers hear of a change at once, not at their next calm tick. */
static void hurry_gossip(struct tr_service *svc)
{
	for (unsigned i = 0; i < svc->peers_count; i++)
		svc->peers[i].last_sent_at = 0;
}

/* A document of some revision was read or pulled: is it to be in force? */
void config_offer_document(struct config *config, struct tr_service *svc,
			   uint64_t revision, const char *text, size_t len,
			   const char *source)
{
	struct config_service *cs = config_service_of(config, svc);
	struct tr_document *doc;
	struct tr_error err;

	if (!is_news(config, &cs->document, revision, svc->name, source))
		return;
	doc = docfile_parse(text, len, svc->name, &err);
	if (doc && strcmp(doc->service, svc->name) != 0) {
		tr_error_set(&err, TR_CONTRADICTION, "service", doc->service,
			     "expected %s, as in its place of publication",
			     svc->name);
		docfile_free(doc);
		doc = NULL;
	}
	if (!doc) {
		refuse(config, &cs->document, revision, svc->name, &err);
		return;
	}
	docfile_free(cs->retired);
	cs->retired = svc->document;
	keep(&cs->document, revision, text, len);
	tr_service_set_document(config->board, svc, doc, revision);
	hurry_gossip(svc);
	log_info("%s: document revision %lu in force, from %s", svc->name,
		 (unsigned long)revision, source);
	config_changed(config);
}

/* The same for a published list of targets. */
void config_offer_targets(struct config *config, struct tr_service *svc,
			  uint64_t revision, const char *text, size_t len,
			  const char *source)
{
	struct config_service *cs = config_service_of(config, svc);
	struct tr_target_entry *entries;
	struct tr_error err = { 0 };
	unsigned count = 0;

	if (!svc->document || svc->document->targets_count ||
	    !is_news(config, &cs->targets, revision, svc->name, source))
		return;
	entries = calloc(TARGETS_MAX, sizeof(*entries));
	if (!entries)
		return;
	snprintf(err.file, sizeof(err.file), "%s/targets", svc->name);
	if (lists_parse_targets(text, len, entries, TARGETS_MAX, &count,
				&err)) {
		refuse(config, &cs->targets, revision, svc->name, &err);
	} else {
		keep(&cs->targets, revision, text, len);
		tr_service_set_targets(config->board, svc, entries, count,
				       revision);
		hurry_gossip(svc);
		config_changed(config);
	}
	free(entries);
}

static void recompute_cells(struct config *config)
{
	struct tr_board *board = config->board;

	for (int i = 0; i < TR_MAX_SERVICES; i++)
		if (board->services[i].used)
			tr_member_update_cell(board, &board->services[i]);
}

/* The same for the published list of VMs. */
void config_offer_list(struct config *config, uint64_t revision,
		       const char *text, size_t len, const char *source)
{
	struct tr_fleet fleet = { .revision = revision };
	struct tr_board *board = config->board;
	struct tr_error err = { 0 };

	if (!is_news(config, &config->list, revision, LIST_RESOURCE, source))
		return;
	snprintf(err.file, sizeof(err.file), "vms");
	if (lists_parse_vms(text, len, &fleet, &err)) {
		refuse(config, &config->list, revision, LIST_RESOURCE, &err);
		return;
	}
	keep(&config->list, revision, text, len);
	free(board->fleet.vms);
	board->fleet = fleet;
	recompute_cells(config);
	for (int i = 0; i < TR_MAX_SERVICES; i++)
		if (board->services[i].used)
			hurry_gossip(&board->services[i]);
	tr_board_event(board, TR_EVENT_LIST, "", "vms",
		       "revision %lu, %zu VMs, from %s",
		       (unsigned long)revision, fleet.count, source);
	config_changed(config);
}
