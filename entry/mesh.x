/* Messages between entry VMs: one-way ONC RPC calls over UDP. Counters are
 * running totals that wrap around, so that later messages make up for a lost
 * one. */

const MESH_MAX_ID = 63;
const MESH_MAX_ADDRESS = 23;
const MESH_MAX_ROWS = 48;
const MESH_MAX_WORK = 16;
const MESH_MAX_RECORDS = 8;
const MESH_MAX_DEPARTURES = 48;
const MESH_MAX_NODES = 160;
const MESH_MAX_DATA_CENTRES = 32;
const MESH_MAX_MEMBERS = 160;
const MESH_MAX_STATES = 160;
const MESH_MAX_USAGE = 48;
const MESH_MAX_DEMANDS = 64;
const MESH_MAX_ENDS = 6;
const MESH_MAX_FATALS = 8;
const MESH_MAX_LIMITS = 16;
const MESH_MAX_LEAVING = 16;
const MESH_MAX_FLOWS = 32;
const MESH_MAX_FLOW_RATES = 32;
const MESH_MAX_HELD = 32;

/* The sender's running totals of outcomes at a target, two per word, and its
 * requests in flight there. */
struct mesh_row {
	unsigned int target;
	unsigned int totals[4];
	unsigned int in_flight;
};

/* Running totals for a service: requests in the upper half of the word, retries
 * in the lower. */
struct mesh_work {
	unsigned int service;
	unsigned int totals;
};

/* A target as the platform lists it. The flags of this and of a departure also
 * hold the era of the revision, see RECORD_ERA_SHIFT. */
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

/* A known target that is now leaving or gone. */
struct mesh_departure {
	unsigned int target;
	unsigned int flags;
	unsigned hyper revision;
};

/* Addresses of VMs of a data centre; an empty name stands for the sender's. */
struct mesh_data_centre {
	string name<MESH_MAX_ID>;
	unsigned int nodes<MESH_MAX_NODES>;
};

/* A VM of the sender's group that is not ready, is leaving or can't read the
 * store. */
struct mesh_member {
	unsigned int ip;
	unsigned int flags;
};

/* The state of a target as the sender's group sees it: the probability of a
 * gray failure, in thousandths, in the upper half of the word, and the requests
 * in flight there in the lower half. */
struct mesh_state {
	unsigned int target;
	unsigned int risk_and_in_flight;
};

/* An organisation's requests at the sender, as running totals: received in the
 * upper half of the word, admitted in the lower. */
struct mesh_usage {
	unsigned int organisation;
	unsigned int totals;
};

/* An organisation's request rate at the sender's group, in hundredths of a
 * request per second. */
struct mesh_demand {
	unsigned int organisation;
	unsigned int rate;
};

/* A target that ended while it ran the request: how long ago, and how many such
 * ends were known when the request was sent there. */
struct mesh_end {
	unsigned int target;
	unsigned int known;
	unsigned int ended_ms;
};

/* A request that made targets end. Ages in ms, 0 for never: when it was last
 * answered, since when it is refused, when it was last tried, and when it was
 * last sent as a trial of a suspected request. */
struct mesh_fatal {
	unsigned hyper identity;
	unsigned int answered_ms;
	unsigned int refused_ms;
	unsigned int tried_ms;
	unsigned int trial_ms;
	unsigned int tries;
	mesh_end ends<MESH_MAX_ENDS>;
};

/* A limit that a target has announced, in thousandths of a request per second,
 * or MESH_NO_LIMIT once it announces none; the age of that announcement; and
 * the sender's requests to the target, as a running total. */
const MESH_NO_LIMIT = 4294967295;
struct mesh_limit {
	unsigned int target;
	unsigned int rate;
	unsigned int age_ms;
	unsigned int sent;
};

/* What one organisation requests from one service at one rank, as running
 * totals of the sender: received in the upper half of the word, admitted in the
 * lower. The organisation is 0 for requests without one. */
struct mesh_flow {
	unsigned int service;
	unsigned int organisation;
	unsigned int rank;
	unsigned int totals;
};

/* The request rate of a flow at the sender's group, in hundredths of a request
 * per second. */
struct mesh_flow_rate {
	unsigned int service;
	unsigned int organisation;
	unsigned int rank;
	unsigned int rate;
};

/* Bytes of the sender's requests in flight at a target. */
struct mesh_held {
	unsigned int target;
	unsigned int kilobytes;
};

/* Every message describes its sender in the fields up to fleet_size; the lists
 * carry what is new or due to be sent again. Revisions are the store's numbers;
 * the flags also hold the era of as_of, see MESH_ERA_SHIFT. proof_age_ms: upper
 * bound for the age of the configuration, or UINT32_MAX without a proof.
 * question: identifies a request for such a proof, or 0. answers: the question
 * that this message replies to, or 0. */
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
	mesh_data_centre data_centres<MESH_MAX_DATA_CENTRES>;
	unsigned int members<MESH_MAX_MEMBERS>;
	mesh_member not_ready<MESH_MAX_MEMBERS>;
	mesh_state states<MESH_MAX_STATES>;
	mesh_work work<MESH_MAX_WORK>;
	mesh_usage usage<MESH_MAX_USAGE>;
	mesh_demand demands<MESH_MAX_DEMANDS>;
	mesh_row rows<MESH_MAX_ROWS>;
	mesh_record records<MESH_MAX_RECORDS>;
	mesh_departure departures<MESH_MAX_DEPARTURES>;
	mesh_fatal fatals<MESH_MAX_FATALS>;
	mesh_limit limits<MESH_MAX_LIMITS>;
	/* Targets that have announced that they are leaving. */
	unsigned int leaving<MESH_MAX_LEAVING>;
	/* Builds without eras end here. The place of the sender's configuration
	 * among all, 0 without one; and the least revision at which a VM has
	 * read the store in the era of as_of, 0 if it is not known. */
	unsigned hyper config_order;
	unsigned hyper era_start;
	/* Builds without overload control end here. The sender's processor
	 * share in thousandths of a core, less if its link can't serve as much,
	 * 0 if it is not known, and its requests in hand. */
	unsigned int capacity;
	unsigned int in_hand;
	mesh_flow flows<MESH_MAX_FLOWS>;
	mesh_flow_rate flow_rates<MESH_MAX_FLOW_RATES>;
	mesh_held held<MESH_MAX_HELD>;
};

program MESH_PEER {
	version MESH_VERSION {
		void MESH_REPORT(mesh_message) = 1;
		/* The same; the receiver forwards it within its data centre. */
		void MESH_FORWARD(mesh_message) = 2;
	} = 6;
} = 0x20544353;
