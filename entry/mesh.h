#ifndef MESH_H
#define MESH_H

#include "entry.h"

struct mesh *mesh_open(struct entry *e, struct tr_error *err);
void mesh_step(struct mesh *mesh);
void mesh_tell_soon(struct mesh *mesh);
void mesh_tell_list(struct mesh *mesh);
void mesh_tell_now(struct mesh *mesh);
void mesh_tell_limit(struct mesh *mesh, uint32_t place);
void mesh_tell_leaving(struct mesh *mesh, uint32_t target);
void mesh_seeds(struct mesh *mesh);
uint32_t mesh_proof_age(const struct entry *e);
double mesh_untold_repeats(const struct entry *e, uint32_t service,
			   apr_time_t now);
void mesh_close(struct mesh *mesh);

#endif
