/* Fetches JSON from several VMs at once, for the command-line tools. */
#ifndef GATHER_H
#define GATHER_H

#include <jansson.h>

struct client;
struct loop;

json_t *gather_json(struct loop *loop, struct client *client,
		    const char *const *urls, unsigned count);
json_t *gather_from_fleet(struct loop *loop, struct client *client,
			  const char *vm, const char *path);

#endif
