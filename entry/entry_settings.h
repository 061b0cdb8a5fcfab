#ifndef ENTRY_SETTINGS_H
#define ENTRY_SETTINGS_H

/* The settings file of an entry VM. */
#include <stdbool.h>
#include <stdint.h>

struct tr_error;

/*
 * Bounds that the operator of the platform sets for the whole fleet. Durations
 * are texts such as "250ms"; struct entry_settings has them in microseconds.
 */
struct entry_bounds {
	double repeat_ratio;   /* repeats per request */
	uint32_t repeat_slack; /* repeats beyond the ratio, per window */
	double floor_share;    /* of a service's targets that must be in use */
	bool fail_closed;      /* without a proof, refuse callers' keys */
	double limit_over; /* by how much a limit may be overrun, 0.25 = 25 % */
	uint32_t limit_slack;
	char *limit_window; /* over which limits are measured */
	char *key_proof;    /* how long a revoked key may still be used */
	char *repeat_window;
	char *keep_most;
	char *grace;
	char *drain;
};

/* The settings of one entry VM. Addresses are IP:PORT. */
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
	double link_mbps;   /* bandwidth in megabits per second */
	uint32_t memory_mb; /* that the process may use, in megabytes */
	bool first_start;   /* no VM of the fleet has run before */
	char **seeds;
	unsigned seeds_count;
	struct entry_bounds bounds;
	/* Terms of the platform that are in force; the dialect says what they
	 * switch on. */
	char **terms;
	unsigned terms_count;
	/* Admission by rank and by organisation when a service is overloaded.
	 */
	bool overload_control;
	/* How much is sent to other data centres follows the room at home. */
	bool leave_data_centre;
	/* The speed of each target is learned. */
	bool learn_target_speed;
	/* Bytes in flight at a target are bounded. */
	bool bound_target_bytes;
	/* Lookups name VMs by their capacity and load. */
	bool weigh_vms;
	double cpu_share;    /* cores that the VM may use, 0 if not known */
	char **switched_off; /* names of mechanisms, for experiments */
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
bool entry_settings_has_term(const struct entry_settings *s, const char *term);
void entry_settings_free(struct entry_settings *settings);

#endif
