/*
 * Connects to a target. If the target does not accept soon, other VMs are asked
 * to connect to it as well, one after the other, and the first connection is
 * used: this VM may have lost its own path. Nothing is sent to the target
 * before that, so a request can't run twice.
 */
#include "dial.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "crossing_watch.h"
#include "entry.h"
#include "entry_settings.h"
#include "path_watch.h"
#include "tunnel.h"

/* Time after which another VM is asked, and after which one more is. Connecting
 * takes a round trip, and a busy VM some tens of milliseconds. */
#define PEER_DELAY TR_MSEC(75)
/* VMs that did not reach the target either, from which on it counts as down. */
#define NO_ANSWERS_MAX 3
#define MAX_REPLY_HEAD 1024

/* A VM that was asked to connect to the target. */
struct dial_peer {
	struct dial *d;
	uint32_t ip;
	struct stream stream;
	struct message reply;
};

static void free_peer(struct dial_peer *p)
{
	struct dial *d = p->d;

	for (unsigned i = 0; i < d->asked_count; i++)
		if (d->peers[i] == p)
			d->peers[i] = NULL;
	stream_close(&p->stream);
	message_free(&p->reply);
	free(p);
}

/* Ends the dial without calling its owner. */
void dial_cancel(struct dial *d)
{
	if (!d->active)
		return;
	d->active = false;
	loop_cancel_timer(d->e->loop, d->timer);
	d->timer = NULL;
	if (d->own_pending)
		stream_close(&d->own);
	d->own_pending = false;
	for (unsigned i = 0; i < d->asked_count; i++)
		if (d->peers[i])
			free_peer(d->peers[i]);
}

/* Returns whether the failure tells of the target: other VMs did not reach it
 * either, or there are none. */
bool dial_failure_is_confirmed(const struct dial *d)
{
	const struct entry *e = d->e;
	apr_time_t now = entry_now(e);

	if (d->no_answers || d->asked_count)
		return d->no_answers;
	return tr_relay_is_alone(&e->members, now - e->started_at, now);
}

static bool peer_pending(const struct dial *d)
{
	for (unsigned i = 0; i < d->asked_count; i++)
		if (d->peers[i])
			return true;
	return false;
}

static void on_timer(void *ctx);

static void set_timer(struct dial *d)
{
	loop_cancel_timer(d->e->loop, d->timer);
	d->timer = loop_add_timer(d->e->loop, PEER_DELAY, on_timer, d);
}

static void finish(struct dial *d, struct stream *s, uint32_t peer)
{
	struct stream won = { .fd = -1 };

	stream_move(&won, s, s->calls, s->ctx);
	dial_cancel(d);
	d->calls->connected(d->ctx, &won, peer);
}

static void own_connected(void *ctx)
{
	struct dial *d = ctx;

	d->own_pending = false;
	path_note_connected(d->e, d->row);
	crossing_note_connected(d->e, d->row, entry_now(d->e) - d->started_at);
	finish(d, &d->own, 0);
}

static uint32_t service_of(const struct dial *d)
{
	return d->e->roster.rows[d->row].service;
}

static bool ask_next_peer(struct dial *d);

/* Asks the next VM after a failure, or reports the failure if none is left. */
static void after_failure(struct dial *d)
{
	if (d->no_answers < NO_ANSWERS_MAX &&
	    (peer_pending(d) || ask_next_peer(d) || d->own_pending))
		return;
	dial_cancel(d);
	d->calls->failed(d->ctx);
}

static void own_ended(void *ctx, enum stream_end why)
{
	struct dial *d = ctx;

	(void)why;
	d->own_pending = false;
	d->refused |= d->own.refused;
	after_failure(d);
}

static const struct stream_callbacks own_callbacks = {
	.connected = own_connected,
	.ended = own_ended,
};

/* The VM has connected to the target, so those asked before have no path. */
static void peer_connected(struct dial_peer *p)
{
	struct dial *d = p->d;
	struct entry *e = d->e;
	uint32_t row = d->row;
	apr_time_t now = entry_now(e);
	/* Just after the start an own connection may still come. */
	bool detour = !d->own_pending || now - d->started_at >= PEER_DELAY;

	for (unsigned i = 0; i < d->asked_count; i++)
		if (d->asked[i] != p->ip)
			tr_relay_declined(&e->relay_memory, d->asked[i],
					  service_of(d), now);
	finish(d, &p->stream, p->ip);
	/* Last, since it may end other attempts, and this one too. */
	if (detour) {
		crossing_note_unreached(e, row);
		path_note_detour(e, row);
	}
}

static void peer_failed(struct dial_peer *p)
{
	struct dial *d = p->d;

	free_peer(p);
	after_failure(d);
}

static void peer_received(void *ctx, const char *data, size_t len)
{
	struct dial_peer *p = ctx;
	struct dial *d = p->d;
	ssize_t used = message_feed(&p->reply, data, len);
	int status = p->reply.parser.status_code;

	if (used >= 0 && !p->reply.complete)
		return;
	if (used == (ssize_t)len && status == TUNNEL_OPEN) {
		peer_connected(p);
		return;
	}
	if (used >= 0 && status == TUNNEL_NO_PATH)
		tr_relay_declined(&d->e->relay_memory, p->ip, service_of(d),
				  entry_now(d->e));
	if (used >= 0 && status == TUNNEL_REFUSED)
		d->refused = true;
	if (used >= 0 &&
	    (status == TUNNEL_REFUSED || status == TUNNEL_NO_ANSWER))
		d->no_answers++;
	peer_failed(p);
}

static void peer_ended(void *ctx, enum stream_end why)
{
	(void)why;
	peer_failed(ctx);
}

static const struct stream_callbacks peer_callbacks = {
	.received = peer_received,
	.ended = peer_ended,
};

static int ask_peer(struct dial *d, uint32_t ip)
{
	const struct entry_settings *s = d->e->settings;
	struct dial_peer *p = calloc(1, sizeof(*p));
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)s->peer_port),
		.sin_addr.s_addr = ip,
	};
	char text[128];
	int len;

	if (!p)
		return -1;
	p->d = d;
	p->ip = ip;
	if (stream_connect(&p->stream, d->e->loop, &to, s->ip, &peer_callbacks,
			   p)) {
		free(p);
		return -1;
	}
	message_init(&p->reply, HTTP_RESPONSE, MAX_REPLY_HEAD, 0);
	len = snprintf(text, sizeof(text),
		       "GET " TUNNEL_PATH "%08" PRIx32 " HTTP/1.1\r\n"
		       "Host: peer\r\nConnection: Upgrade\r\n"
		       "Upgrade: " TUNNEL_PROTOCOL "\r\n\r\n",
		       d->hash);
	stream_write(&p->stream, text, (size_t)len);
	d->peers[d->asked_count - 1] = p;
	return 0;
}

/* Asks another VM to connect to the target. Returns whether one was asked. */
static bool ask_next_peer(struct dial *d)
{
	struct entry *e = d->e;

	while (!d->own_only && d->asked_count < TR_RELAY_MAX_ASKED) {
		const struct tr_relay_request req = {
			.service = service_of(d),
			.target_data_centre =
				e->roster.rows[d->row].data_centre,
			.asked = d->asked,
			.asked_count = d->asked_count,
		};
		const struct tr_node *node =
			tr_relay_choose(&e->members, &e->relay_memory, &req,
					&e->random, entry_now(e));

		if (!node)
			return false;
		d->asked[d->asked_count++] = node->ip;
		if (!ask_peer(d, node->ip)) {
			set_timer(d);
			return true;
		}
	}
	return false;
}

static void on_timer(void *ctx)
{
	struct dial *d = ctx;

	d->timer = NULL;
	ask_next_peer(d);
}

static void connect_own(struct dial *d)
{
	const struct tr_instance *row = &d->e->roster.rows[d->row];
	struct sockaddr_in to;

	if (stream_parse_address(row->address, &to))
		return;
	d->own_pending = !stream_connect(&d->own, d->e->loop, &to,
					 d->e->settings->ip, &own_callbacks, d);
	d->refused |= !d->own_pending && d->own.refused;
}

/*
 * Starts to connect to the target in the row of the roster. A VM that is cut
 * off asks another VM at once. Returns 0, or -1 if no connection could be
 * begun; the result is in d->refused then.
 */
int dial_start(struct dial *d, struct entry *e, uint32_t row,
	       const struct dial_callbacks *calls, void *ctx)
{
	bool own_only = d->own_only;

	memset(d, 0, sizeof(*d));
	d->own_only = own_only;
	d->e = e;
	d->calls = calls;
	d->ctx = ctx;
	d->row = row;
	d->hash = e->roster.rows[row].hash;
	d->started_at = entry_now(e);
	d->own.fd = -1;
	connect_own(d);
	if (path_is_cut(e, row) || !d->own_pending)
		ask_next_peer(d);
	d->active = d->own_pending || peer_pending(d);
	if (!d->active)
		return -1;
	if (!d->timer && !own_only)
		set_timer(d);
	return 0;
}
