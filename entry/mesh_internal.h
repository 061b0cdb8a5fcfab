#ifndef MESH_INTERNAL_H
#define MESH_INTERNAL_H

#include "mesh.h"
#include "mesh_xdr.h"
#include "pull.h"

#define MESH_READY	 1U
#define MESH_LEAVING	 2U
#define MESH_CANNOT_READ 4U
#define MESH_LISTS	 8U
#define MESH_ANSWER	 16U
#define RECORD_LEAVING	 1U
#define RECORD_GONE	 2U

struct mesh {
	struct entry *e;
	int fd;
	uint32_t fleet;
	uint64_t sequence;
	bool soon;
	bool lists;
	apr_time_t told_at;
	uint32_t row_again;
	struct pull pull;
	struct tr_pacer refusal_lines;
};

size_t mesh_encode(struct mesh_message *msg, rpcproc_t procedure, char *buf,
		   size_t size);
bool mesh_decode(char *buf, size_t len, struct mesh_message *msg,
		 rpcproc_t *procedure);
void mesh_fill_row(struct mesh_row *out, const struct tr_instance *row);
void mesh_read_row(const struct mesh_row *in, struct tr_symptom_totals *t);
uint32_t mesh_service_hash(const struct entry *e, unsigned service);
void mesh_call_one(struct mesh *mesh, uint32_t ip, bool answer);
void mesh_forget_told(struct mesh *mesh, struct tr_node *node);
void mesh_take(struct mesh *mesh, const struct mesh_message *msg, uint32_t ip);

#endif
