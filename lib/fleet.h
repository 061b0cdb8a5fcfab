/* The published list of VMs, and the cells: the VMs that serve each service. */
#ifndef TR_FLEET_H
#define TR_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "document.h"

/* One VM of the published list. */
struct tr_vm {
	uint64_t id;
	char name[TR_NAME_MAX + 1];
	char data_centre[TR_NAME_MAX + 1];
	char address[46];      /* for port and operator_port */
	char peer_address[46]; /* for peer_port */
	uint16_t port;
	uint16_t peer_port;
	uint16_t operator_port;
	bool leaving;
};

/* The published list of VMs at one revision. */
struct tr_fleet {
	uint64_t revision;
	size_t count;
	struct tr_vm *vms;
};

/*
 * The VMs that serve one service, as indexes into the fleet, by falling
 * rendezvous score.
 */
struct tr_cell {
	size_t count;
	uint32_t members[TR_MAX_CELL];
};

const struct tr_vm *tr_fleet_find(const struct tr_fleet *fleet, uint64_t id);
void tr_cell_choose(struct tr_cell *cell, const struct tr_fleet *fleet,
		    const struct tr_document *doc);
bool tr_cell_has(const struct tr_cell *cell, const struct tr_fleet *fleet,
		 uint64_t vm_id);
size_t tr_cell_lookup(const struct tr_cell *cell, const struct tr_fleet *fleet,
		      const char *data_centre, uint64_t salt, uint32_t *out,
		      size_t max);

#endif
