#ifndef CAPACITY_H
#define CAPACITY_H

#include <stddef.h>
#include <stdint.h>

/*
 * Capacity model: what a fleet of given sizes costs each VM. The fields are
 * named after the keys of the YAML file, see examples/capacity.yaml.
 */

struct tr_error;

/* The sizes of the fleet to plan for. */
struct capacity_sizes {
	double vms;
	double servers;
	double services;
	double routes;
	double organisations;
	double requests_a_second;
	double changes_a_day;
	double restarts_a_day;
	double data_centres;
	double cell; /* VMs of a cell */
	double document_bytes;
	double list_row_bytes;
	double keys_share; /* of requests that need a key */
	double key_lifetime_s;
	double raised_share; /* of the time with the shorter gossip period */
};

/* The cost of each thing, as measured by "./dev measure slopes" and "path". */
struct capacity_slopes {
	double base_mb;
	double service_kb;
	double route_kb;
	double record_bytes;
	double message_bytes;
	double row_bytes;
	double message_us;
	double row_us;
	double step_us;
	double step_target_us;
	double idle_percent;
	double cell_us_a_vm;
	double document_us;
	double request_us;
};

/* The limits that the costs are compared with. */
struct capacity_budgets {
	double core_percent;
	double mb;
	double bytes_a_second;
	double force_s; /* until a change is in force in its cell */
	double platform_calls_a_second;
};

struct capacity_model {
	struct capacity_sizes sizes;
	struct capacity_slopes slopes;
	struct capacity_budgets budgets;
};

struct capacity_model *capacity_load(const char *path, struct tr_error *err);
void capacity_free(struct capacity_model *model);
char *capacity_page(const struct capacity_model *model);

#endif
