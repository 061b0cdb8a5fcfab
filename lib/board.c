/*
 * The shared state of a VM: finding and adding services, and recording events.
 */
#include "board.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* Returns the service of that name if this VM serves it, or NULL. */
struct tr_service *tr_board_service(struct tr_board *board, const char *name)
{
	return tr_board_service_by_id(board, tr_hash_string(name));
}

struct tr_service *tr_board_service_by_id(struct tr_board *board, uint64_t id)
{
	for (int i = 0; i < TR_MAX_SERVICES; i++)
		if (board->services[i].used && board->services[i].id == id)
			return &board->services[i];
	return NULL;
}

/*
 * Returns the service of that name, adding it if needed; NULL when no row is
 * free.
 */
struct tr_service *tr_board_add_service(struct tr_board *board,
					const char *name)
{
	struct tr_service *svc = tr_board_service(board, name);

	for (int i = 0; !svc && i < TR_MAX_SERVICES; i++) {
		if (board->services[i].used)
			continue;
		svc = &board->services[i];
		memset(svc, 0, sizeof(*svc));
		svc->used = true;
		snprintf(svc->name, sizeof(svc->name), "%s", name);
		svc->id = tr_hash_string(name);
		svc->added_at = tr_clock_now(&board->clock);
		tr_retry_init(&svc->retries);
	}
	return svc;
}

/*
 * Returns the index of this VM's data centre in the service's document, or -1.
 */
int tr_board_vantage(const struct tr_board *board, const struct tr_service *svc)
{
	if (!svc->document)
		return -1;
	return tr_document_vantage(svc->document, board->data_centre);
}

/* Returns the target with that id, listed or not, or NULL. */
struct tr_target *tr_service_target(struct tr_service *svc, uint32_t id)
{
	for (unsigned i = 0; i < svc->targets_count; i++)
		if (svc->targets[i].id == id)
			return &svc->targets[i];
	return NULL;
}

/* Records an event, with the time of the wall clock, if the VM keeps events. */
void tr_board_event(struct tr_board *board, enum tr_event_kind kind,
		    const char *service, const char *subject,
		    const char *detail, ...)
{
	char text[96];
	va_list ap;

	if (!board->events || !board->wall)
		return;
	va_start(ap, detail);
	vsnprintf(text, sizeof(text), detail, ap);
	va_end(ap);
	tr_event_append(board->events, board->wall(board->wall_ctx), kind,
			service, subject, "%s", text);
}
