#ifndef CAPACITY_H
#define CAPACITY_H

#include <stddef.h>
#include <stdint.h>

struct tr_error;

/* The sizes to plan for. */
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
	double cell;
	double document_bytes;
	double list_row_bytes;
	double keys_share;
	double key_lifetime_s;
	double raised_share;
};

/* What one thing costs, measured by "./dev measure slopes". */
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

struct capacity_budgets {
	double core_percent;
	double mb;
	double bytes_a_second;
	double force_s;
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
