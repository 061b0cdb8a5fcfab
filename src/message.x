/*
 * The messages that the VMs of a cell send each other: one-way ONC RPC calls
 * over UDP. The structs mirror those of lib/gossip.h.
 */

const WIRE_MAX_ROWS = 32;
const WIRE_MAX_BODY = 1100;
const WIRE_MAX_NAME = 47;

/* Running totals of the outcomes that the sender saw at one target. */
struct wire_row {
	unsigned int target;
	unsigned int well;
	unsigned int bad;
	unsigned int bad_run;
};

/* An order from the owner of the service for one target. */
struct wire_order {
	unsigned int target;
	unsigned int kind;
	unsigned int vantages;
};

struct wire_gossip {
	string service<WIRE_MAX_NAME>;
	unsigned hyper from;
	unsigned hyper to;
	opaque boot[16];
	unsigned hyper sequence;
	hyper sent_at;
	hyper echo;
	unsigned hyper hlc_wall;
	unsigned int hlc_count;
	unsigned int flags;
	unsigned hyper list_revision;
	unsigned hyper document_revision;
	unsigned hyper targets_revision;
	wire_row rows<WIRE_MAX_ROWS>;
	wire_order orders<WIRE_MAX_ROWS>;
};

/* body is an encoded wire_gossip; mac authenticates it. */
struct wire_envelope {
	opaque body<WIRE_MAX_BODY>;
	opaque mac[16];
};

program WIRE_PEER {
	version WIRE_VERSION {
		void WIRE_GOSSIP(wire_envelope) = 1;
	} = 1;
} = 0x20544352;
