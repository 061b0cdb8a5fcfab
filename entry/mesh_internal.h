#ifndef MESH_INTERNAL_H
#define MESH_INTERNAL_H

#include "list_check.h"
#include "mesh.h"
#include "mesh_xdr.h"
#include "pull.h"

#define MESH_READY	 1U
#define MESH_LEAVING	 2U
#define MESH_CANNOT_READ 4U
#define MESH_LISTS	 8U
#define MESH_ANSWER	 16U
/* One datagram, without fragments on an ordinary link. */
#define DATAGRAM_MOST 1400
#define BYTES_HEAD    268
#define BYTES_CENTRE  80
#define BYTES_A_NODE  4
#define BYTES_NOTICES                                  \
	(MESH_MAX_LIMITS * sizeof(struct mesh_limit) + \
	 MESH_MAX_LEAVING * sizeof(uint32_t))
#define RECORD_LEAVING 1U
#define RECORD_GONE    2U

/* Room for the changes of one message. */
struct mesh_changes {
	struct mesh_record records[MESH_MAX_RECORDS];
	struct tr_target_record typed[MESH_MAX_RECORDS];
	struct mesh_mark marks[MESH_MAX_MARKS];
};

/* Room for the VMs that one message names. */
struct mesh_nodes {
	struct mesh_centre centres[MESH_MAX_CENTRES];
	uint32_t nodes[MESH_MAX_NODES];
};

/* Room for the requests under which targets ended that one message tells. */
struct mesh_fatals {
	struct mesh_fatal rows[MESH_MAX_FATALS];
	struct mesh_end ends[MESH_MAX_FATALS][MESH_MAX_ENDS];
};

/* Room for what targets said of themselves that one message tells. */
struct mesh_notices {
	struct mesh_limit limits[MESH_MAX_LIMITS];
	uint32_t leaving[MESH_MAX_LEAVING];
};

struct mesh {
	struct entry *e;
	int fd;
	uint32_t fleet;
	uint64_t sequence;
	bool soon;
	bool lists;
	apr_time_t reported_at;
	uint32_t row_again;
	uint32_t work_next;
	uint32_t leaving_again;
	uint32_t state_next;
	uint32_t node_next;
	uint32_t homes_of;
	apr_time_t probed_at;
	apr_time_t away_reported_at;
	apr_time_t summary_at;
	struct tr_list_check list_check;
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
void mesh_add_nodes(struct mesh *mesh, struct mesh_message *msg,
		    struct mesh_nodes *lists, const char *centre, unsigned most,
		    apr_time_t now);
size_t mesh_bytes_of_nodes(const struct mesh_message *msg);
void mesh_add_changes(const struct mesh *mesh, struct mesh_message *msg,
		      struct mesh_changes *lists, uint32_t *next,
		      apr_time_t now);
size_t mesh_bytes_of_changes(const struct mesh_message *msg);
void mesh_tell_near(struct mesh *mesh, struct mesh_message *msg,
		    apr_time_t now);
void mesh_fill_head(struct mesh *mesh, struct mesh_message *msg);
void mesh_send(struct mesh *mesh, uint32_t ip, const char *buf, size_t len);
void mesh_send_message(struct mesh *mesh, uint32_t ip, struct mesh_message *msg,
		       rpcproc_t procedure);
const struct tr_node *mesh_draw(struct mesh *mesh, unsigned group, bool alive,
				apr_time_t now);
void mesh_to_other_groups(struct mesh *mesh, const char *buf, size_t len,
			  apr_time_t now);
void mesh_away_step(struct mesh *mesh, apr_time_t now);
void mesh_away_tell(struct mesh *mesh, apr_time_t now);
void mesh_ask_proof(struct mesh *mesh, apr_time_t now);
void mesh_add_uses(struct mesh *mesh, struct mesh_message *msg,
		   struct mesh_use *uses);
void mesh_add_demands(struct mesh *mesh, struct mesh_message *msg,
		      struct mesh_demand *demands, size_t room, apr_time_t now);
bool mesh_add_fatals(struct mesh *mesh, struct mesh_message *msg,
		     struct mesh_fatals *lists, size_t room, apr_time_t now);
void mesh_add_known_fatals(struct mesh *mesh, struct mesh_message *msg,
			   struct mesh_fatals *lists, size_t room,
			   apr_time_t now);
size_t mesh_bytes_of_fatals(const struct mesh_message *msg);
void mesh_fatals_to_groups(struct mesh *mesh,
			   const struct mesh_message *reported, apr_time_t now);
size_t mesh_add_notices(struct mesh *mesh, struct mesh_message *msg,
			struct mesh_notices *lists, size_t room,
			apr_time_t now);
size_t mesh_add_notices_again(struct mesh *mesh, struct mesh_message *msg,
			      struct mesh_notices *lists, size_t room,
			      apr_time_t now);
void mesh_hand_on(struct mesh *mesh, char *buf, size_t len);
void mesh_add_rows(struct mesh *mesh, struct mesh_message *msg,
		   struct mesh_row *rows, size_t room);
void mesh_add_work(struct mesh *mesh, struct mesh_message *msg,
		   struct mesh_work *work);
void mesh_call_lost(struct mesh *mesh, apr_time_t now);
void mesh_call_one(struct mesh *mesh, uint32_t ip, bool answer);
void mesh_forget_lost(struct mesh *mesh, apr_time_t now);
void mesh_forget_reports(struct mesh *mesh, struct tr_node *node);
void mesh_forget_node(struct mesh *mesh, struct tr_node *node, apr_time_t now);

/* What takes in one part of a message; see mesh_handle_message.c. */
typedef void mesh_handler_fn(struct mesh *mesh, struct tr_node *node,
			     const struct mesh_message *msg, apr_time_t now);

mesh_handler_fn mesh_handle_changes;
mesh_handler_fn mesh_handle_rows;
mesh_handler_fn mesh_handle_fatals;
mesh_handler_fn mesh_handle_limits;
mesh_handler_fn mesh_handle_notices;
mesh_handler_fn mesh_handle_proof;
mesh_handler_fn mesh_handle_nodes;
mesh_handler_fn mesh_handle_summary;
void mesh_handle_message(struct mesh *mesh, const struct mesh_message *msg,
			 uint32_t ip);

#endif
