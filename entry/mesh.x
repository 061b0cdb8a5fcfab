/* What entry VMs tell each other: one-way ONC RPC calls over UDP. */

const MESH_MAX_ID = 63;
const MESH_MAX_ADDRESS = 23;
const MESH_MAX_ROWS = 48;
const MESH_MAX_WORK = 16;
const MESH_MAX_RECORDS = 8;
const MESH_MAX_MARKS = 48;
const MESH_MAX_NODES = 160;
const MESH_MAX_CENTRES = 32;
const MESH_MAX_MEMBERS = 160;
const MESH_MAX_STATES = 160;
const MESH_MAX_USES = 48;
const MESH_MAX_DEMANDS = 64;
const MESH_MAX_ENDS = 6;
const MESH_MAX_FATALS = 8;
const MESH_MAX_LIMITS = 16;
const MESH_MAX_LEAVING = 16;

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

/* A target that the others know has begun to leave, or is gone. */
struct mesh_mark {
	unsigned int target;
	unsigned int flags;
	unsigned hyper revision;
};

/* VMs by their addresses; without a name, of the sender's data centre. */
struct mesh_centre {
	string name<MESH_MAX_ID>;
	unsigned int nodes<MESH_MAX_NODES>;
};

/* A VM of the sender's group that is not simply ready. */
struct mesh_member {
	unsigned int ip;
	unsigned int flags;
};

/* What the sender's group knows of a target: the chance that it is gray, in
 * thousandths, in the upper half, and the requests there in the lower. */
struct mesh_state {
	unsigned int target;
	unsigned int risk_and_in_flight;
};

/* An organisation's requests at the sender: those that came, in the upper half
 * of the word, and those that it let through, as running totals. */
struct mesh_use {
	unsigned int organisation;
	unsigned int totals;
};

/* An organisation's requests at the sender's group, in hundredths a second. */
struct mesh_demand {
	unsigned int organisation;
	unsigned int rate;
};

/* A target that ended while it ran a request, how long ago, and how many such
 * ends were known when it was sent. */
struct mesh_end {
	unsigned int target;
	unsigned int known;
	unsigned int ended_ms;
};

/* A request under which targets ended. Ages in ms, 0 where it never happened:
 * when it was answered last, since when it is refused, when it was tried, and when
 * it was sent last as a suspect. */
struct mesh_fatal {
	unsigned hyper identity;
	unsigned int answered_ms;
	unsigned int refused_ms;
	unsigned int tried_ms;
	unsigned int trial_ms;
	unsigned int tries;
	mesh_end ends<MESH_MAX_ENDS>;
};

/* The limit that a target has named, in thousandths of a request a second, or
 * MESH_NO_LIMIT where it names none any more; how long ago an answer said so;
 * and how many requests the sender has sent it, as a running total. */
const MESH_NO_LIMIT = 4294967295;
struct mesh_limit {
	unsigned int target;
	unsigned int rate;
	unsigned int age_ms;
	unsigned int sent;
};

/* proof_age_ms: how old the configuration is proven to be at most, or
 * UINT32_MAX. question and answers are numbers: one that asks for such a proof,
 * and the one that this message answers. */
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
	unsigned int proof_age_ms;
	unsigned hyper question;
	unsigned hyper answers;
	unsigned int fleet_size;
	mesh_centre centres<MESH_MAX_CENTRES>;
	unsigned int members<MESH_MAX_MEMBERS>;
	mesh_member others<MESH_MAX_MEMBERS>;
	mesh_state states<MESH_MAX_STATES>;
	mesh_work work<MESH_MAX_WORK>;
	mesh_use uses<MESH_MAX_USES>;
	mesh_demand demands<MESH_MAX_DEMANDS>;
	mesh_row rows<MESH_MAX_ROWS>;
	mesh_record records<MESH_MAX_RECORDS>;
	mesh_mark marks<MESH_MAX_MARKS>;
	mesh_fatal fatals<MESH_MAX_FATALS>;
	mesh_limit limits<MESH_MAX_LIMITS>;
	/* Targets that have said in their answers that they leave. */
	unsigned int leaving<MESH_MAX_LEAVING>;
};

program MESH_PEER {
	version MESH_VERSION {
		void MESH_TELL(mesh_message) = 1;
		/* The same, to be handed on in the receiver's data centre. */
		void MESH_HAND_ON(mesh_message) = 2;
	} = 6;
} = 0x20544353;
