#ifndef SETTINGS_H
#define SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "key.h"

struct tr_error;

/* The settings of one VM, read once at start. */
struct settings {
	char *name;
	char *address;
	char *data_centre;
	char *region;
	uint16_t port;
	uint16_t peer_port;
	uint16_t operator_port;
	char *platform;
	char *fleet_key;
	char *previous_fleet_key;
	uint32_t keys_remembered;
	uint32_t key_lifetime_s;
	uint32_t answers_mb;
	uint32_t body_buffer_kb;
	uint32_t connections;
	uint32_t stop_after_s;
	int log_level;
	bool log_json;
	char *log_format;
	char **seeds;
	unsigned seeds_count;
};

struct settings *settings_load(const char *path, struct tr_error *err);
void settings_free(struct settings *settings);
int settings_load_secret(const struct settings *settings,
			 struct tr_secret *secret, struct tr_error *err);

#endif
