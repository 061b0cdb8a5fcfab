/* What entry VMs tell each other: one-way ONC RPC calls over UDP. */

const MESH_MAX_ID = 63;
const MESH_MAX_ADDRESS = 23;
const MESH_MAX_ROWS = 48;
const MESH_MAX_WORK = 16;
const MESH_MAX_RECORDS = 8;
const MESH_MAX_NODES = 160;

/* Running totals of the sender's outcomes at a target, two a word. */
struct mesh_row {
	unsigned int target;
	unsigned int totals[4];
	unsigned int in_flight;
};

/* Requests for a service and those sent once more, two totals in a word. */
struct mesh_work {
	unsigned int service;
	unsigned int totals;
};

struct mesh_record {
	string id<MESH_MAX_ID>;
	string service<MESH_MAX_ID>;
	string address<MESH_MAX_ADDRESS>;
	string data_centre<MESH_MAX_ID>;
	unsigned int slots;
	unsigned int flags;
	unsigned int cold_ms;
	unsigned hyper revision;
	unsigned hyper born;
};

struct mesh_message {
	unsigned int fleet;
	unsigned int sender;
	unsigned hyper boot;
	unsigned hyper sequence;
	string data_centre<MESH_MAX_ID>;
	unsigned int flags;
	unsigned hyper config_revision;
	unsigned hyper as_of;
	unsigned int age_ms;
	unsigned hyper digest;
	unsigned int nodes<MESH_MAX_NODES>;
	mesh_work work<MESH_MAX_WORK>;
	mesh_row rows<MESH_MAX_ROWS>;
	mesh_record records<MESH_MAX_RECORDS>;
};

program MESH_PEER {
	version MESH_VERSION {
		void MESH_TELL(mesh_message) = 1;
		/* The same, to be handed on in the receiver's data centre. */
		void MESH_HAND_ON(mesh_message) = 2;
	} = 2;
} = 0x20544353;
