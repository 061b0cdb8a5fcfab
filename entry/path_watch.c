/*
 * Watches this VM's paths to the targets of each service: announces when one is
 * cut and when it is whole again, and checks it by connections on which nothing
 * is sent.
 */
#include "path_watch.h"

#include <stdlib.h>
#include <string.h>

#include "eventlog.h"
#include "exchange.h"
#include "mesh.h"

/* Time for a connection of a check, as for one with a request. */
#define CHECK_TIMEOUT TR_MSEC(300)
/* How long a target that was reached through another VM is avoided where this
 * VM reaches others by itself. */
#define DETOUR_FOR TR_SEC(2)
/* A path on which something came within this time is not suspected because of
 * another one. */
#define HEARD_LATELY TR_MSEC(200)

static struct tr_path *path_of(const struct entry *e, uint32_t row)
{
	return &e->roster.services[e->roster.rows[row].service].path;
}

/* Returns whether the path to the target's service is cut. */
bool path_is_cut(const struct entry *e, uint32_t row)
{
	return path_of(e, row)->cut;
}

/* Returns whether the path to the target's service may be cut. */
bool path_is_doubtful(const struct entry *e, uint32_t row)
{
	const struct tr_path *p = path_of(e, row);

	return p->cut || p->suspected || p->detours;
}

/* Returns to how many services the path is cut. */
unsigned path_count_cut(const struct entry *e)
{
	unsigned n = 0;

	for (unsigned i = 0; i < e->roster.services_count; i++)
		n += e->roster.services[i].path.cut;
	return n;
}

/* Returns a random target of the service that is listed and is not leaving,
 * other than the one in the row except, or TR_NO_ROW. */
uint32_t path_choose_target(struct entry *e, uint32_t service, uint32_t except)
{
	const struct tr_roster *roster = &e->roster;
	uint32_t found = TR_NO_ROW;
	unsigned seen = 0;

	for (uint32_t i = 0; i < roster->count; i++) {
		const struct tr_instance *row = &roster->rows[i];

		if (i != except && row->used && row->service == service &&
		    !row->gone && !row->leaving && !row->says_leaving &&
		    !row->lapsed_at && !tr_random_below(&e->random, ++seen))
			found = i;
	}
	return found;
}

/* Returns whether this VM reaches the targets of no service that has any. */
static bool is_cut_off(struct entry *e)
{
	if (!path_count_cut(e))
		return false;
	for (uint32_t i = 0; i < e->roster.services_count; i++)
		if (!e->roster.services[i].path.cut &&
		    path_choose_target(e, i, TR_NO_ROW) != TR_NO_ROW)
			return false;
	return true;
}

/* Logs a change of the path to the target's service, and tells the other VMs
 * if this VM is cut off from all targets, or no longer is. */
static void announce(struct entry *e, uint32_t row)
{
	struct tr_node *self = &e->members.nodes[0];
	bool cut_off = is_cut_off(e);

	eventlog(EVENT_STATE, "path", "cut=%d service=%s cut_off=%d in_hand=%u",
		 path_is_cut(e, row),
		 e->roster.services[e->roster.rows[row].service].name, cut_off,
		 e->exchanges_count);
	if (self->cut_off == cut_off)
		return;
	self->cut_off = cut_off;
	mesh_broadcast_now(e->mesh);
}

/* Records a connection of this VM itself to a target. */
void path_note_connected(struct entry *e, uint32_t row)
{
	e->roster.rows[row].detour_until = 0;
	if (tr_path_connected(path_of(e, row), entry_now(e)))
		announce(e, row);
}

/*
 * Records a connection through another VM where this VM's own failed. Once the
 * path counts as cut, idle connections are of no use, requests that were sent
 * on connections of this VM are sent again if they may be, and the paths to
 * other services are checked.
 */
void path_note_detour(struct entry *e, uint32_t row)
{
	uint32_t service = e->roster.rows[row].service;
	apr_time_t now = entry_now(e);

	e->counts.detours++;
	e->roster.rows[row].detour_until = now + DETOUR_FOR;
	if (!tr_path_detoured(path_of(e, row)))
		return;
	conn_pool_clear_service(e, service);
	announce(e, row);
	for (uint32_t i = 0; i < e->roster.services_count; i++)
		tr_path_suspect(&e->roster.services[i].path,
				now - HEARD_LATELY);
	exchange_leave_cut_path(e, service);
}

/* A connection to the target failed that was made for another VM. */
void path_suspect(struct entry *e, uint32_t row)
{
	tr_path_suspect(path_of(e, row), entry_now(e) - HEARD_LATELY);
}

/* An attempt on an own connection, sent at the given time, is late. */
void path_late(struct entry *e, uint32_t row, apr_time_t sent_at)
{
	apr_time_t lately = entry_now(e) - HEARD_LATELY;

	tr_path_suspect(path_of(e, row), sent_at > lately ? sent_at : lately);
}

/* Returns whether what was noticed at the target at the given time may be due
 * to the path, and must not be reported yet. */
bool path_must_wait(const struct entry *e, uint32_t row, apr_time_t since)
{
	return tr_path_must_wait(path_of(e, row), since, entry_now(e));
}

/* Something came from the target on an own connection. */
void path_heard(struct entry *e, uint32_t row)
{
	tr_path_heard(path_of(e, row), entry_now(e));
}

static void check_connected(void *ctx, struct stream *s, uint32_t peer)
{
	(void)ctx;
	(void)peer;
	stream_close(s);
}

static void check_failed(void *ctx)
{
	(void)ctx;
}

static const struct dial_callbacks check_callbacks = {
	.connected = check_connected,
	.failed = check_failed,
};

/* Returns a check that is free, or NULL if the service is being checked or all
 * are in use. */
static struct path_check *free_check(struct entry *e, uint32_t service)
{
	struct path_check *found = NULL;

	for (int i = 0; i < PATH_CHECKS; i++) {
		struct path_check *c = &e->path_checks[i];

		if (!c->dial.active)
			found = c;
		else if (c->service == service)
			return NULL;
	}
	return found;
}

static void check_service(struct entry *e, uint32_t service, apr_time_t now)
{
	struct tr_path *path = &e->roster.services[service].path;
	struct path_check *c = free_check(e, service);
	uint32_t row = path_choose_target(e, service, TR_NO_ROW);

	if (!c || row == TR_NO_ROW)
		return;
	path->checked_at = now;
	c->service = service;
	/* While the path is cut, only an own connection tells anything new. */
	c->dial.own_only = path->cut;
	dial_start(&c->dial, e, row, &check_callbacks, c);
}

/* Checks the paths for which that is due. To be called every 25 ms or so. */
void path_step(struct entry *e, apr_time_t now)
{
	if (!e->path_checks)
		e->path_checks = calloc(PATH_CHECKS, sizeof(*e->path_checks));
	if (!e->path_checks)
		return;
	for (int i = 0; i < PATH_CHECKS; i++)
		if (now - e->path_checks[i].dial.started_at >= CHECK_TIMEOUT)
			dial_cancel(&e->path_checks[i].dial);
	for (uint32_t i = 0; i < e->roster.services_count; i++)
		if (tr_path_check_due(&e->roster.services[i].path, now))
			check_service(e, i, now);
}

/* Ends all checks at the end of the process. */
void path_release(struct entry *e)
{
	for (int i = 0; e->path_checks && i < PATH_CHECKS; i++)
		dial_cancel(&e->path_checks[i].dial);
	free(e->path_checks);
	e->path_checks = NULL;
}
