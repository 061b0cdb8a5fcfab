/* The settings file of a VM. */
#ifndef SETTINGS_H
#define SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "key.h"

struct tr_error;

/* The settings of one VM, read once at startup. */
struct settings {
	char *name;
	char *address; /* IPv4 */
	char *data_centre;
	char *region;
	uint16_t port;
	uint16_t peer_port;
	uint16_t operator_port;
	char *platform;		  /* http://IP:PORT */
	char *fleet_key;	  /* path of the key file */
	char *previous_fleet_key; /* path, or NULL */
	uint32_t keys_remembered;
	uint32_t key_lifetime_s;
	uint32_t answers_mb;
	uint32_t body_buffer_kb;
	uint32_t connections;
	uint32_t stop_after_s;
	int log_level; /* an enum log_level */
	bool log_json; /* from log_format */
	char *log_format;
	char **seeds; /* operator addresses, IP:PORT */
	unsigned seeds_count;
};

struct settings *settings_load(const char *path, struct tr_error *err);
void settings_free(struct settings *settings);
int settings_load_secret(const struct settings *settings,
			 struct tr_secret *secret, struct tr_error *err);

#endif
