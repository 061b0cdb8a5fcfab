/*
 * HTTP client on the event loop, by libcurl: whole fetches into memory, and
 * easy handles for the proxy, which streams.
 */
#ifndef CLIENT_H
#define CLIENT_H

#include <apr_time.h>
#include <curl/curl.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct loop;
struct client;
struct fetch;

struct fetch_response {
	long status; /* 0: no response, for the reason in curl */
	CURLcode curl;
	const char *body; /* NUL-terminated */
	size_t len;
	uint64_t index;	 /* X-Consul-Index, or 0 */
	const char *mac; /* Toucanreel-Mac in hex, or "" */
};

typedef void (*fetch_fn)(void *ctx, const struct fetch_response *answer);
typedef void (*client_done_fn)(void *owner, CURLcode code);

struct client *client_new(struct loop *loop, const char *source_ip);
void client_destroy(struct client *client);
struct fetch *client_fetch(struct client *client, const char *url,
			   const char *post, apr_time_t timeout, fetch_fn fn,
			   void *ctx);
void client_fetch_cancel(struct client *client, struct fetch *fetch);
CURL *client_easy_new(struct client *client, client_done_fn fn, void *owner);
int client_easy_start(struct client *client, CURL *easy);
void client_easy_release(struct client *client, CURL *easy);

#endif
