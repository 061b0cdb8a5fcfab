#ifndef ENTRY_SETTINGS_H
#define ENTRY_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

struct tr_error;

/*
 * Bounds that the operator of the platform sets for the whole fleet. Of
 * callers' keys: for how long one may be used after it was taken away
 * (key_proof), and whether a VM that can't tell must refuse it then; of
 * organisations' limits: by how much one may be overrun in which window.
 */
struct entry_bounds {
	double repeat_ratio;
	uint32_t repeat_slack;
	double floor_share;
	bool fail_closed;
	double limit_over;
	uint32_t limit_slack;
	char *limit_window;
	char *key_proof;
	char *repeat_window;
	char *keep_most;
	char *grace;
	char *drain;
};

/* The settings of one entry VM. Addresses are IP:PORT. first_start: no VM of
 * the fleet has run before. */
struct entry_settings {
	char *name;
	char *ip;
	char *data_centre;
	char *region;
	char *front;
	char *ready;
	char *directory;
	char *store;
	uint32_t peer_port;
	uint32_t metrics_port;
	double link_mbps;
	bool first_start;
	char **seeds;
	unsigned seeds_count;
	struct entry_bounds bounds;
	char **switched_off;
	unsigned switched_off_count;
	int64_t repeat_window_us;
	int64_t keep_most_us;
	int64_t grace_us;
	int64_t drain_us;
	int64_t limit_window_us;
	int64_t key_proof_us;
};

struct entry_settings *entry_settings_load(const char *path,
					   struct tr_error *err);
void entry_settings_free(struct entry_settings *settings);

#endif
