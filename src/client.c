#include "client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "field.h"
#include "loop.h"

#define POOL_MAX	     256
#define BODY_MAX	     (8 * 1024 * 1024)
#define CONNECT_MS	     400L
#define MAX_IDLE_CONNECTIONS 512L

/* Callback for the end of a transfer, kept in CURLOPT_PRIVATE. */
struct easy_owner {
	client_done_fn fn;
	void *owner;
	bool running;
};

struct client {
	struct loop *loop;
	CURLM *multi;
	struct loop_timer *timer;
	char interface[64];   /* for CURLOPT_INTERFACE, or "" */
	CURL *pool[POOL_MAX]; /* easy handles for reuse */
	int pooled;
	bool destroyed;
};

struct fetch {
	struct client *client;
	CURL *easy;
	fetch_fn fn;
	void *ctx;
	char *body;
	size_t len;
	uint64_t index;
	char mac[80];
	struct curl_slist *headers;
};

static struct easy_owner *get_owner(CURL *easy)
{
	char *owner = NULL;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &owner);
	return (struct easy_owner *)(void *)owner;
}

/* Reports the transfers that have ended to their owners. */
static void report_finished(struct client *client)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(client->multi, &left))) {
		struct easy_owner *owner;
		CURLcode code = msg->data.result;
		CURL *easy = msg->easy_handle;

		if (msg->msg != CURLMSG_DONE)
			continue;
		owner = get_owner(easy);
		curl_multi_remove_handle(client->multi, easy);
		owner->running = false;
		owner->fn(owner->owner, code);
	}
}

static void socket_ready(void *ctx, int fd, int events)
{
	struct client *client = ctx;
	int mask = 0;
	int running;

	if (events & LOOP_READ)
		mask |= CURL_CSELECT_IN;
	if (events & LOOP_WRITE)
		mask |= CURL_CSELECT_OUT;
	curl_multi_socket_action(client->multi, fd, mask, &running);
	report_finished(client);
}

static int socket_changed(CURL *easy, curl_socket_t fd, int what, void *ctx,
			  void *per_socket)
{
	struct client *client = ctx;
	int events = 0;

	(void)easy;
	(void)per_socket;
	if (what == CURL_POLL_REMOVE) {
		loop_unwatch(client->loop, fd);
		return 0;
	}
	if (what & CURL_POLL_IN)
		events |= LOOP_READ;
	if (what & CURL_POLL_OUT)
		events |= LOOP_WRITE;
	loop_watch(client->loop, fd, events, socket_ready, client);
	return 0;
}

static void timer_fired(void *ctx)
{
	struct client *client = ctx;
	int running;

	client->timer = NULL;
	curl_multi_socket_action(client->multi, CURL_SOCKET_TIMEOUT, 0,
				 &running);
	report_finished(client);
}

static int timer_changed(CURLM *multi, long ms, void *ctx)
{
	struct client *client = ctx;

	(void)multi;
	loop_cancel_timer(client->loop, client->timer);
	client->timer = NULL;
	if (ms >= 0)
		client->timer = loop_add_timer(client->loop, TR_MSEC(ms),
					       timer_fired, client);
	return 0;
}

/*
 * Creates an HTTP client on the loop. source_ip, unless NULL, is the source
 * address of its connections, for targets that accept only some callers.
 */
struct client *client_new(struct loop *loop, const char *source_ip)
{
	struct client *client = calloc(1, sizeof(*client));

	if (!client)
		return NULL;
	client->loop = loop;
	client->multi = curl_multi_init();
	if (source_ip)
		snprintf(client->interface, sizeof(client->interface),
			 "host!%s", source_ip);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION,
			  socket_changed);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, timer_changed);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
	curl_multi_setopt(client->multi, CURLMOPT_MAXCONNECTS,
			  MAX_IDLE_CONNECTIONS);
	return client;
}

void client_destroy(struct client *client)
{
	client->destroyed = true;
	for (int i = 0; i < client->pooled; i++)
		curl_easy_cleanup(client->pool[i]);
	loop_cancel_timer(client->loop, client->timer);
	client->timer = NULL;
	/* This may call timer_changed, which sets a timer again. */
	curl_multi_cleanup(client->multi);
	loop_cancel_timer(client->loop, client->timer);
	free(client);
}

/*
 * Returns an easy handle with the common options: HTTP only, no redirects, no
 * proxy, no signals. fn is called once, when the transfer ends by itself; not
 * after client_easy_release. NULL if memory runs out.
 */
CURL *client_easy_new(struct client *client, client_done_fn fn, void *owner)
{
	CURL *easy = client->pooled ? client->pool[--client->pooled]
				    : curl_easy_init();
	struct easy_owner *state = calloc(1, sizeof(*state));

	if (!easy || !state) {
		free(state);
		return NULL;
	}
	state->fn = fn;
	state->owner = owner;
	curl_easy_reset(easy);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, state);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_MS);
	if (*client->interface)
		curl_easy_setopt(easy, CURLOPT_INTERFACE, client->interface);
	return easy;
}

/* Starts the transfer. Returns 0 or -1. */
int client_easy_start(struct client *client, CURL *easy)
{
	get_owner(easy)->running = true;
	if (curl_multi_add_handle(client->multi, easy) == CURLM_OK)
		return 0;
	get_owner(easy)->running = false;
	return -1;
}

/*
 * Returns a handle to the pool. A transfer that is still running is cancelled
 * and its connection closed, so that a late answer is not read by another.
 */
void client_easy_release(struct client *client, CURL *easy)
{
	struct easy_owner *state = get_owner(easy);

	if (state->running)
		curl_multi_remove_handle(client->multi, easy);
	free(state);
	if (client->pooled < POOL_MAX && !client->destroyed)
		client->pool[client->pooled++] = easy;
	else
		curl_easy_cleanup(easy);
}

static void fetch_free(struct fetch *fetch)
{
	client_easy_release(fetch->client, fetch->easy);
	curl_slist_free_all(fetch->headers);
	free(fetch->body);
	free(fetch);
}

static size_t fetch_receive_body(char *data, size_t size, size_t n, void *ctx)
{
	struct fetch *fetch = ctx;
	size_t chunk_len = size * n;
	char *grown;

	if (fetch->len + chunk_len > BODY_MAX)
		return 0;
	grown = realloc(fetch->body, fetch->len + chunk_len + 1);
	if (!grown)
		return 0;
	memcpy(grown + fetch->len, data, chunk_len);
	fetch->body = grown;
	fetch->len += chunk_len;
	fetch->body[fetch->len] = 0;
	return chunk_len;
}

static size_t fetch_receive_header(char *data, size_t size, size_t n, void *ctx)
{
	struct fetch *fetch = ctx;
	char line[256];
	size_t whole = size * n;
	size_t len = whole < sizeof(line) - 1 ? whole : sizeof(line) - 1;

	while (whole && (data[whole - 1] == '\r' || data[whole - 1] == '\n'))
		whole--;
	/* libcurl passes on any line. */
	if (whole && strncmp(data, "HTTP/", 5) != 0 &&
	    !field_is_line(data, whole))
		return 0;
	memcpy(line, data, len);
	line[len] = 0;
	if (!strncasecmp(line, "X-Consul-Index:", 15))
		fetch->index = strtoull(line + 15, NULL, 10);
	if (!strncasecmp(line, "Toucanreel-Mac:", 15))
		sscanf(line + 15, " %79s", fetch->mac);
	return size * n;
}

static void fetch_done(void *owner, CURLcode code)
{
	struct fetch *fetch = owner;
	struct fetch_response answer = {
		.curl = code,
		.body = fetch->body ? fetch->body : "",
		.len = fetch->len,
		.index = fetch->index,
		.mac = fetch->mac,
	};

	if (code == CURLE_OK)
		curl_easy_getinfo(fetch->easy, CURLINFO_RESPONSE_CODE,
				  &answer.status);
	fetch->fn(fetch->ctx, &answer);
	fetch_free(fetch);
}

/*
 * Gets a URL, or posts to it if post is not NULL, and calls fn with the whole
 * response. timeout is in us. NULL if the transfer can't be started.
 */
struct fetch *client_fetch(struct client *client, const char *url,
			   const char *post, apr_time_t timeout, fetch_fn fn,
			   void *ctx)
{
	struct fetch *fetch = calloc(1, sizeof(*fetch));

	if (!fetch)
		return NULL;
	fetch->client = client;
	fetch->fn = fn;
	fetch->ctx = ctx;
	fetch->easy = client_easy_new(client, fetch_done, fetch);
	curl_easy_setopt(fetch->easy, CURLOPT_URL, url);
	curl_easy_setopt(fetch->easy, CURLOPT_TIMEOUT_MS,
			 (long)(timeout / 1000));
	curl_easy_setopt(fetch->easy, CURLOPT_WRITEFUNCTION,
			 fetch_receive_body);
	curl_easy_setopt(fetch->easy, CURLOPT_WRITEDATA, fetch);
	curl_easy_setopt(fetch->easy, CURLOPT_HEADERFUNCTION,
			 fetch_receive_header);
	curl_easy_setopt(fetch->easy, CURLOPT_HEADERDATA, fetch);
	if (post) {
		fetch->headers = curl_slist_append(NULL, "Expect:");
		curl_easy_setopt(fetch->easy, CURLOPT_HTTPHEADER,
				 fetch->headers);
		curl_easy_setopt(fetch->easy, CURLOPT_COPYPOSTFIELDS, post);
	}
	if (client_easy_start(client, fetch->easy)) {
		fetch_free(fetch);
		return NULL;
	}
	return fetch;
}

/* Cancels a fetch; its callback is not called. */
void client_fetch_cancel(struct client *client, struct fetch *fetch)
{
	(void)client;
	if (fetch)
		fetch_free(fetch);
}
