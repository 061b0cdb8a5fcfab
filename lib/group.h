#ifndef TR_GROUP_H
#define TR_GROUP_H

/* Divides the VMs of a fleet into groups and finds the home of each target. */
#include "membership.h"

void tr_groups_rebuild(struct tr_membership *m);
void tr_groups_add_node(struct tr_membership *m, struct tr_node *node);
bool tr_groups_count_alive(struct tr_membership *m, apr_time_t now);
uint16_t tr_groups_home(const struct tr_membership *m, const char *data_centre,
			uint32_t target);

#endif
