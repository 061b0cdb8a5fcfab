/* Connections to targets on behalf of VMs that can't reach them. */
#include "tunnel.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "entry_settings.h"
#include "frame.h"
#include "path_watch.h"

/* Time after which another target is tried too, and then until the reply: half
 * of the time that the other VM waits for any connection. */
#define WITNESS_DELAY	TR_MSEC(75)
#define WITNESS_TIMEOUT TR_MSEC(75)
/* A connection that carries nothing for this long has lost its other VM. */
#define IDLE_TIMEOUT TR_SEC(60)
/* Time for the other VM to close after the end of the stream. */
#define LINGER_TIMEOUT TR_MSEC(500)
/* Bytes waiting for one side from which on the other is not read. */
#define MAX_PENDING_BYTES 262144
/* Two descriptors each, a fifth of what a VM has. */
#define MAX_TUNNELS 400

/* A connection to a target, and the one to the VM that it is for. */
struct tunnel {
	struct entry *e;
	uint32_t row;
	struct tunnel *next;
	struct tunnel *prev;
	/* The VM's request; NULL from the time the tunnel is open. */
	struct caller *caller;
	struct stream vm;
	struct stream target;
	/* A connection to another target of the service, which tells a fault of
	 * the target from one of this VM's path. */
	struct stream witness;
	uint32_t witness_row;
	bool has_witness; /* it was begun */
	bool path_is_whole;
	bool failed; /* the connection to the target */
	bool ending; /* the target has ended; what is left is sent */
	struct loop_timer *timer;
};

static void free_tunnel(struct tunnel *t)
{
	struct entry *e = t->e;

	loop_cancel_timer(e->loop, t->timer);
	stream_close(&t->vm);
	stream_close(&t->target);
	stream_close(&t->witness);
	if (t->prev)
		t->prev->next = t->next;
	else
		e->tunnels = t->next;
	if (t->next)
		t->next->prev = t->prev;
	e->tunnels_count--;
	free(t);
}

static void on_timeout(void *ctx);

static void set_timer(struct tunnel *t, apr_time_t timeout)
{
	loop_cancel_timer(t->e->loop, t->timer);
	t->timer = loop_add_timer(t->e->loop, timeout, on_timeout, t);
}

/* Declines the request: there is no connection. */
static void decline(struct caller *caller, int status)
{
	const struct caller_reply reply = { .status = status, .close = true };

	caller->handler_data = NULL;
	caller_reply(caller, &reply);
}

/* Replies that there is no connection, and whether the target is to blame. */
static void fail(struct tunnel *t)
{
	struct caller *caller = t->caller;
	int status = TUNNEL_NO_PATH;

	if (t->path_is_whole)
		status = t->target.refused ? TUNNEL_REFUSED : TUNNEL_NO_ANSWER;
	else
		path_suspect(t->e, t->row);
	free_tunnel(t);
	decline(caller, status);
}

static void witness_connected(void *ctx)
{
	struct tunnel *t = ctx;

	stream_close(&t->witness);
	t->path_is_whole = true;
	path_note_connected(t->e, t->witness_row);
	if (t->failed)
		fail(t);
}

static void witness_ended(void *ctx, enum stream_end why)
{
	struct tunnel *t = ctx;

	(void)why;
	if (t->failed)
		fail(t);
}

static const struct stream_callbacks witness_callbacks = {
	.connected = witness_connected,
	.ended = witness_ended,
};

/* Connects to another target of the service. Where there is none, the one that
 * was asked for is to blame. */
static void connect_witness(struct tunnel *t)
{
	const struct tr_roster *roster = &t->e->roster;
	uint32_t other =
		path_choose_target(t->e, roster->rows[t->row].service, t->row);
	struct sockaddr_in to;

	set_timer(t, WITNESS_TIMEOUT);
	t->has_witness = true;
	t->witness_row = other;
	t->path_is_whole = other == TR_NO_ROW;
	if (!t->path_is_whole &&
	    !stream_parse_address(roster->rows[other].address, &to) &&
	    !stream_connect(&t->witness, t->e->loop, &to, t->e->settings->ip,
			    &witness_callbacks, t))
		return;
	if (t->failed)
		fail(t);
}

/* The connection to the target failed. */
static void target_failed(struct tunnel *t)
{
	t->failed = true;
	if (!t->has_witness)
		connect_witness(t);
	else if (t->path_is_whole || t->witness.fd < 0)
		fail(t);
}

static void on_timeout(void *ctx)
{
	struct tunnel *t = ctx;

	t->timer = NULL;
	if (!t->caller)
		free_tunnel(t);
	else if (!t->has_witness)
		connect_witness(t);
	else
		fail(t);
}

/* Lets the VM close first, so that what was sent is not lost by a reset. */
static void end_vm_side(struct tunnel *t)
{
	shutdown(t->vm.fd, SHUT_WR);
	set_timer(t, LINGER_TIMEOUT);
}

static void vm_received(void *ctx, const char *data, size_t len)
{
	struct tunnel *t = ctx;

	if (t->ending)
		return;
	set_timer(t, IDLE_TIMEOUT);
	stream_write(&t->target, data, len);
	if (stream_pending(&t->target) > MAX_PENDING_BYTES)
		stream_pause(&t->vm);
}

static void vm_drained(void *ctx)
{
	struct tunnel *t = ctx;

	if (t->ending)
		end_vm_side(t);
	else
		stream_resume(&t->target);
}

static void vm_ended(void *ctx, enum stream_end why)
{
	(void)why;
	free_tunnel(ctx);
}

/* Memory is short: to the other VM, it looks like the loss of this one. */
static void give_up(void *ctx)
{
	free_tunnel(ctx);
}

static const struct tr_buffer_use relayed_use = {
	.kind = TR_BUFFER_RELAYED,
	.give_up = give_up,
};

static const struct stream_callbacks vm_callbacks = {
	.received = vm_received,
	.ended = vm_ended,
	.drained = vm_drained,
};

static void target_connected(void *ctx)
{
	static const char open[] = "HTTP/1.1 101 Switching Protocols\r\n"
				   "Connection: Upgrade\r\n"
				   "Upgrade: " TUNNEL_PROTOCOL "\r\n\r\n";
	struct tunnel *t = ctx;
	struct caller *caller = t->caller;

	path_note_connected(t->e, t->row);
	stream_close(&t->witness);
	t->caller = NULL;
	t->e->counts.tunnels++;
	caller_detach(caller, &t->vm, &vm_callbacks, t);
	stream_account(&t->vm, &t->e->buffers, &relayed_use);
	stream_account(&t->target, &t->e->buffers, &relayed_use);
	stream_write(&t->vm, open, sizeof(open) - 1);
	set_timer(t, IDLE_TIMEOUT);
}

static void target_received(void *ctx, const char *data, size_t len)
{
	struct tunnel *t = ctx;

	set_timer(t, IDLE_TIMEOUT);
	frame_write(&t->vm, data, len);
	if (stream_pending(&t->vm) > MAX_PENDING_BYTES)
		stream_pause(&t->target);
}

static void target_drained(void *ctx)
{
	struct tunnel *t = ctx;

	if (!t->caller)
		stream_resume(&t->vm);
}

static void target_ended(void *ctx, enum stream_end why)
{
	struct tunnel *t = ctx;

	if (t->caller) {
		target_failed(t);
		return;
	}
	t->ending = true;
	if (why == STREAM_CLOSED)
		frame_write(&t->vm, NULL, 0);
	else
		frame_write_broken(&t->vm);
	if (stream_is_drained(&t->vm))
		end_vm_side(t);
}

static const struct stream_callbacks target_callbacks = {
	.connected = target_connected,
	.received = target_received,
	.ended = target_ended,
	.drained = target_drained,
};

static const struct tr_instance *find_target(struct entry *e,
					     struct caller *caller)
{
	const char *text = message_target(&caller->in) + strlen(TUNNEL_PATH);

	return tr_roster_by_hash(&e->roster, (uint32_t)strtoul(text, NULL, 16));
}

static uint32_t row_index(const struct entry *e, const struct tr_instance *row)
{
	return (uint32_t)(row - e->roster.rows);
}

/* Returns whether the request comes from a VM of the fleet. */
static bool is_from_vm(const struct entry *e, const struct caller *caller)
{
	struct sockaddr_in from = { 0 };
	socklen_t len = sizeof(from);

	return !getpeername(caller->stream.fd, (struct sockaddr *)&from,
			    &len) &&
	       tr_membership_has_heard(&e->members, from.sin_addr.s_addr);
}

/* Handles a VM's request for a connection to a target. */
void tunnel_request(struct entry *e, struct caller *caller)
{
	const struct tr_instance *row = find_target(e, caller);
	struct sockaddr_in to;
	struct tunnel *t;

	if (!is_from_vm(e, caller)) {
		decline(caller, TUNNEL_FORBIDDEN);
		return;
	}
	if (!row || !row->used || row->gone || row->leaving ||
	    row->says_leaving || stream_parse_address(row->address, &to)) {
		decline(caller, TUNNEL_UNKNOWN);
		return;
	}
	if (path_is_cut(e, row_index(e, row)) || entry_is_leaving(e) ||
	    e->tunnels_count >= MAX_TUNNELS) {
		decline(caller, TUNNEL_NO_PATH);
		return;
	}
	t = calloc(1, sizeof(*t));
	if (!t) {
		decline(caller, TUNNEL_NO_PATH);
		return;
	}
	t->e = e;
	t->row = row_index(e, row);
	t->caller = caller;
	t->vm.fd = -1;
	t->target.fd = -1;
	t->witness.fd = -1;
	t->next = e->tunnels;
	if (t->next)
		t->next->prev = t;
	e->tunnels = t;
	e->tunnels_count++;
	caller->handler_data = t;
	if (stream_connect(&t->target, e->loop, &to, e->settings->ip,
			   &target_callbacks, t)) {
		target_failed(t);
		return;
	}
	set_timer(t, WITNESS_DELAY);
}

/* The VM has disconnected before its tunnel was open. */
void tunnel_caller_gone(struct caller *caller)
{
	if (caller->handler_data)
		free_tunnel(caller->handler_data);
}

/* Closes all tunnels at the end of the process. */
void tunnel_free_all(struct entry *e)
{
	struct tunnel *next;

	for (struct tunnel *t = e->tunnels; t; t = next) {
		next = t->next;
		if (t->caller)
			t->caller->handler_data = NULL;
		free_tunnel(t);
	}
}
