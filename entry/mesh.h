/* Messages between the entry VMs of a fleet. */
#ifndef MESH_H
#define MESH_H

#include "entry.h"

struct mesh *mesh_open(struct entry *e, struct tr_error *err);
void mesh_step(struct mesh *mesh);
void mesh_schedule_report(struct mesh *mesh);
void mesh_broadcast_list(struct mesh *mesh);
void mesh_report_departures(struct mesh *mesh);
void mesh_broadcast_now(struct mesh *mesh);
void mesh_broadcast_limit(struct mesh *mesh, uint32_t limit_index);
void mesh_broadcast_leaving(struct mesh *mesh, uint32_t target);
void mesh_add_seeds(struct mesh *mesh);
uint32_t mesh_proof_age(const struct entry *e);
double mesh_unreported_repeats(const struct entry *e, uint32_t service,
			       apr_time_t now);
void mesh_close(struct mesh *mesh);

#endif
