#ifndef TR_GROUP_H
#define TR_GROUP_H

#include "membership.h"

void tr_group_all(struct tr_membership *m);
void tr_group_add(struct tr_membership *m, struct tr_node *node);
bool tr_group_count(struct tr_membership *m, apr_time_t now);
uint16_t tr_group_home(const struct tr_membership *m, const char *data_centre,
		       uint32_t target);

#endif
