/* Parsers of the published lists of VMs and of targets, in JSON. */
#ifndef LISTS_H
#define LISTS_H

#include "fleet.h"
#include "service.h"

struct tr_error;

int lists_parse_vms(const char *text, size_t len, struct tr_fleet *fleet,
		    struct tr_error *err);
int lists_parse_targets(const char *text, size_t len,
			struct tr_target_entry *entries, unsigned max,
			unsigned *count, struct tr_error *err);

#endif
