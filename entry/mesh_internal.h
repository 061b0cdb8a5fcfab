/* Shared by the mesh_*.c files: message flags and sizes, storage for the parts
 * of a message, and the state of the mesh. */
#ifndef MESH_INTERNAL_H
#define MESH_INTERNAL_H

#include "list_check.h"
#include "mesh.h"
#include "mesh_xdr.h"
#include "pull.h"

#define MESH_READY	  1U
#define MESH_LEAVING	  2U
#define MESH_CANNOT_READ  4U
#define MESH_LIST_UPDATE  8U
#define MESH_REPLY	  16U /* to the first message of a VM */
#define MESH_CUT_OFF	  32U
#define MESH_SEES_OUTAGE  128U
#define MESH_KNOWS_ROUTES 64U /* up to the revision of its list */
/* The bits above the flags hold an era. */
#define MESH_ERA_SHIFT	 8
#define RECORD_ERA_SHIFT 8
/* Fits into one datagram without fragmentation on an ordinary link. */
#define DATAGRAM_MAX	  1400
#define HEADER_BYTES	  304
#define DATA_CENTRE_BYTES 80
#define NODE_BYTES	  4
/* Size of the fields of a message that builds without overload control lack,
 * and of those that builds without eras lack, too. */
#define MESH_LOAD_TAIL_BYTES 20
#define MESH_TAIL_BYTES	     (16 + MESH_LOAD_TAIL_BYTES)
#define NOTICES_BYTES                                  \
	(MESH_MAX_LIMITS * sizeof(struct mesh_limit) + \
	 MESH_MAX_LEAVING * sizeof(uint32_t))
#define RECORD_LEAVING	  1U
#define RECORD_GONE	  2U
#define RECORD_STALE_COPY 4U /* the store's copy says otherwise */
#define RECORD_LAPSED	  8U /* its entry is missing since an interruption */
/* For how long it is missing, in units of LAPSED_UNIT. */
#define RECORD_LAPSED_SHIFT 4
#define RECORD_LAPSED_MAX   15U
#define LAPSED_UNIT	    TR_MSEC(125)

/* Storage for the target changes of a message; its strings point into
 * target_records. */
struct mesh_changes {
	struct mesh_record records[MESH_MAX_RECORDS];
	struct tr_target_record target_records[MESH_MAX_RECORDS];
	struct mesh_departure departures[MESH_MAX_DEPARTURES];
};

/* Storage for the VM addresses in a message. */
struct mesh_nodes {
	struct mesh_data_centre data_centres[MESH_MAX_DATA_CENTRES];
	uint32_t nodes[MESH_MAX_NODES];
};

/* Storage for the requests in a message that made targets end. */
struct mesh_fatals {
	struct mesh_fatal rows[MESH_MAX_FATALS];
	struct mesh_end ends[MESH_MAX_FATALS][MESH_MAX_ENDS];
};

/* Storage for the target announcements in a message. */
struct mesh_notices {
	struct mesh_limit limits[MESH_MAX_LIMITS];
	uint32_t leaving[MESH_MAX_LEAVING];
};

struct mesh {
	struct entry *e;
	int fd;
	uint32_t fleet;
	uint64_t sequence;
	bool report_due;  /* broadcast as soon as the pace allows */
	bool list_update; /* the message reports a list just read */
	apr_time_t reported_at;
	/* Where the next message continues. */
	uint32_t next_row;
	uint32_t next_work;
	uint32_t next_leaving;
	uint32_t next_state;
	uint32_t next_held;
	uint32_t next_node;	   /* to check for being lost */
	uint32_t homes_generation; /* of the groups, when last assigned */
	apr_time_t contacted_at;
	apr_time_t groups_reported_at;
	apr_time_t summary_at;
	struct tr_list_check list_check;
	struct pull pull;
	struct tr_pacer rejection_log_pacer;
};

size_t mesh_encode(struct mesh_message *msg, rpcproc_t procedure, char *buf,
		   size_t size);
bool mesh_decode(char *buf, size_t len, struct mesh_message *msg,
		 rpcproc_t *procedure);
void mesh_fill_row(struct mesh_row *out, const struct tr_instance *row);
void mesh_read_row(const struct mesh_row *in, struct tr_symptom_totals *t);
uint64_t mesh_routes_order(const struct entry *e,
			   const struct mesh_message *msg);
uint32_t mesh_service_hash(const struct entry *e, unsigned service);
void mesh_add_nodes(struct mesh *mesh, struct mesh_message *msg,
		    struct mesh_nodes *storage, const char *dc, unsigned max,
		    apr_time_t now);
size_t mesh_nodes_size(const struct mesh_message *msg);
void mesh_add_changes(const struct mesh *mesh, struct mesh_message *msg,
		      struct mesh_changes *storage, uint32_t *next,
		      apr_time_t now);
size_t mesh_changes_size(const struct mesh_message *msg);
void mesh_broadcast_near(struct mesh *mesh, struct mesh_message *msg,
			 apr_time_t now);
void mesh_fill_header(struct mesh *mesh, struct mesh_message *msg);
void mesh_send(struct mesh *mesh, uint32_t ip, const char *buf, size_t len);
void mesh_send_message(struct mesh *mesh, uint32_t ip, struct mesh_message *msg,
		       rpcproc_t procedure);
const struct tr_node *mesh_pick_node(struct mesh *mesh, unsigned group,
				     bool alive, apr_time_t now);
void mesh_send_to_other_groups(struct mesh *mesh, const char *buf, size_t len,
			       apr_time_t now);
void mesh_groups_step(struct mesh *mesh, apr_time_t now);
void mesh_report_to_groups(struct mesh *mesh, apr_time_t now);
void mesh_request_proof(struct mesh *mesh, apr_time_t now);
void mesh_add_usage(struct mesh *mesh, struct mesh_message *msg,
		    struct mesh_usage *usage);
void mesh_add_flows(struct mesh *mesh, struct mesh_message *msg,
		    struct mesh_flow *rows, size_t room);
void mesh_send_flow_rates(struct mesh *mesh, apr_time_t now);
void mesh_add_demands(struct mesh *mesh, struct mesh_message *msg,
		      struct mesh_demand *demands, size_t room, apr_time_t now);
bool mesh_add_fatals(struct mesh *mesh, struct mesh_message *msg,
		     struct mesh_fatals *storage, size_t room, apr_time_t now);
void mesh_add_known_fatals(struct mesh *mesh, struct mesh_message *msg,
			   struct mesh_fatals *storage, size_t room,
			   apr_time_t now);
size_t mesh_fatals_size(const struct mesh_message *msg);
void mesh_send_fatals_to_groups(struct mesh *mesh,
				const struct mesh_message *reported,
				apr_time_t now);
size_t mesh_add_notices(struct mesh *mesh, struct mesh_message *msg,
			struct mesh_notices *storage, size_t room,
			apr_time_t now);
size_t mesh_add_repeated_notices(struct mesh *mesh, struct mesh_message *msg,
				 struct mesh_notices *storage, size_t room,
				 apr_time_t now);
size_t mesh_add_held(struct mesh *mesh, struct mesh_message *msg,
		     struct mesh_held *held, size_t room);
void mesh_add_held_at(const struct mesh *mesh, struct mesh_message *msg,
		      struct mesh_held *held, const struct tr_instance *row);
void mesh_forget_held_at(struct mesh *mesh, struct tr_node *node,
			 uint32_t target);
void mesh_forget_held(struct mesh *mesh, struct tr_node *node);
void mesh_forward(struct mesh *mesh, char *buf, size_t len);
void mesh_add_rows(struct mesh *mesh, struct mesh_message *msg,
		   struct mesh_row *rows, size_t room);
void mesh_add_work(struct mesh *mesh, struct mesh_message *msg,
		   struct mesh_work *work);
void mesh_contact_lost(struct mesh *mesh, apr_time_t now);
void mesh_contact_node(struct mesh *mesh, uint32_t ip, bool answer);
void mesh_forget_lost(struct mesh *mesh, apr_time_t now);
void mesh_forget_reports(struct mesh *mesh, struct tr_node *node);
void mesh_forget_node(struct mesh *mesh, struct tr_node *node, apr_time_t now);

/* Handles one part of a message; see mesh_receive.c. */
typedef void mesh_handler_fn(struct mesh *mesh, struct tr_node *node,
			     const struct mesh_message *msg, apr_time_t now);

mesh_handler_fn mesh_handle_changes;
mesh_handler_fn mesh_handle_rows;
mesh_handler_fn mesh_handle_fatals;
mesh_handler_fn mesh_handle_limits;
mesh_handler_fn mesh_handle_flows;
mesh_handler_fn mesh_handle_held;
mesh_handler_fn mesh_handle_notices;
mesh_handler_fn mesh_handle_proof;
mesh_handler_fn mesh_handle_nodes;
mesh_handler_fn mesh_handle_summary;
void mesh_handle_message(struct mesh *mesh, const struct mesh_message *msg,
			 uint32_t ip);

#endif
