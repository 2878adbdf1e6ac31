/*
 * Messages on links: connections (net/msgconn.h) from entries, and from control processes that do
 * not lead, to the leading control process. The leader also connects to control processes that have
 * no link to it, only to send LINK_WELCOME. Each frame is one link_msg_t. Times that run out are
 * sent as milliseconds left. A field named job holds the id of a lot.
 */
#ifdef RPC_HDR
%#include "proto/wire_xdr.h"
#endif

/* A config that is or was in force. */
struct link_config_id_t {
	unsigned hyper number;
	unsigned hyper digest;		/* of the config: numbers start again on empty disks */
};

/* A request or an item that the sender of a hello runs at a replica, or an item whose end it reports
 * next. */
struct link_run_t {
	unsigned hyper request;		/* the entry's id of an online request; 0 for an item */
	wire_bytes_t replica;
	wire_bytes_t job;
	unsigned int item;
};

/* A replica that announced that it leaves. */
struct link_leaving_t {
	wire_bytes_t replica;
	unsigned hyper start_time;	/* Unix ms; 0: unknown */
};

/* Value of replica in the hello of an entry that is cut off from the replicas. It sets draining too,
 * so that leaders that do not know this value leave it out of look-ups. */
const LINK_ENTRY_CUT_OFF = 1;
/* Value of replica in the hello of an entry that knows the kinds of messages up to this build's last
 * one; 0 and LINK_ENTRY_CUT_OFF leave that open. */
const LINK_ENTRY_KNOWS_KINDS = 2;
/* The same of a control process, as the digest of its text, whose number is 0. */
const LINK_CONTROL_KNOWS_KINDS = 1;

struct link_hello_t {
	wire_bytes_t name;
	wire_bytes_t addr;		/* ip:port for callers; empty for a control process */
	wire_bytes_t zone;
	bool draining;
	wire_bytes_t control;		/* ip:port of its RPC; empty for an entry */
	unsigned hyper replica;		/* id of its replica of group 0; of an entry: 0 or a value
					   LINK_ENTRY_* */
	link_config_id_t text;		/* config whose routes it uses; number 0: none, as of a
					   control process */
	link_run_t runs<>;
	link_leaving_t leaving_replicas<>;
};

struct link_welcome_t {
	bool leads;
	wire_bytes_t leader;		/* RPC ip:port of the leader if another process leads */
};

/* A part of prompts that is suspected of crashing replicas, or blocked; see policy/quarantine.h. */
struct link_prompt_part_t {
	unsigned hyper part;		/* its hash */
	bool blocked;
	unsigned int crashes;
	unsigned int level;
	int since_ms;			/* ago: the first of the crashes */
	int left_ms;			/* until the block ends */
	unsigned hyper group;		/* as in quarantine_part_t */
	unsigned int group_size;
};

struct link_prompt_parts_t {
	link_prompt_part_t parts<>;
};

/* The connection of a request ended before its answer began. */
struct link_crash_t {
	wire_bytes_t request;
	wire_bytes_t replica;
	unsigned hyper start_time;
	unsigned hyper parts<>;		/* of its prompt */
};

/* A request that is suspected of crashing replicas, or held for it; fields as in poison_state_t. */
struct link_poison_t {
	opaque key[16];
	bool held;
	unsigned int crashes;
	unsigned int level;
	int since_ms;			/* ago: the first of the crashes */
	int left_ms;			/* until the hold ends; negative once it has */
	unsigned hyper prober;
	unsigned int turn;
};

struct link_poisons_t {
	link_poison_t requests<>;
};

/* The connection of an online request ended before its answer was whole. */
struct link_request_crash_t {
	link_crash_t crash;		/* no parts if the answer had begun */
	opaque key[16];			/* hash of the request's content */
	int run_ms;			/* duration of the run */
};

struct link_request_sound_t {
	opaque key[16];
};

/* An answer to a prompt with this part began. */
struct link_sound_part_t {
	unsigned hyper part;
	int age_ms;
};

struct link_share_t {
	wire_bytes_t service;
	hyper weight;
};

/* Times in ms; fields as in route_spec_t. */
struct link_route_t {
	wire_bytes_t name;
	wire_bytes_t host;
	wire_bytes_t prefix;
	unsigned int kind;
	link_share_t shares<>;
	hyper timeout_ms;
	hyper objective_ms;
	hyper pause_ms;
	hyper give_up_ms;
	hyper due_ms;
	hyper retention_ms;
	hyper attempts;
	hyper priority;
	hyper waiting_tokens_max;	/* limit on the tokens of unfinished items; 0: none */
	bool resumable;
};

struct link_route_key_t {
	wire_bytes_t host;
	wire_bytes_t prefix;
};

struct link_service_t {
	wire_bytes_t name;
	wire_bytes_t health_path;
	hyper slots;
	hyper connections_max;
};

/* Bit of kind in link_route_t: requests need no key. */
const LINK_ROUTE_PUBLIC = 0x100;

/* Fields as in customer_t. */
struct link_customer_t {
	wire_bytes_t name;
	wire_bytes_t keys;		/* hashes of its API keys, 16 bytes each */
	hyper rate_per_s;
	hyper burst;
	hyper priority;
};

/* Delta of the customers; follows the link_routes_t of a config that has customers. */
struct link_customers_t {
	link_customer_t put<>;		/* added or changed */
	wire_bytes_t removed<>;		/* names */
};

/* Delta from the routes of one config, or from none, to the routes of another. */
struct link_routes_t {
	unsigned hyper label;		/* the operators' version of the config */
	hyper header_bytes;
	hyper body_bytes;
	hyper header_ms;
	hyper idle_ms;
	link_service_t services<>;	/* all of them */
	link_route_t put<>;		/* added or changed */
	link_route_key_t removed<>;
};

/* The routes in force. */
struct link_config_t {
	link_config_id_t text;
	link_config_id_t base;		/* config that the delta applies to; number 0: none */
	unsigned int size;		/* uncompressed size of the delta */
	wire_bytes_t change;		/* link_routes_t, deflated */
};

struct link_upstream_t {
	wire_bytes_t id;
	wire_bytes_t addr;
	wire_bytes_t zone;
	wire_bytes_t service;
	unsigned int slots;
	bool leaving;
	unsigned hyper start_time;	/* Unix ms; 0: unknown */
};

struct link_entry_t {
	wire_bytes_t addr;
	wire_bytes_t zone;
};

/* The view: the replicas, entries and control processes of which the leader knows. An entry gets
 * only its share of the replicas and entries. */
struct link_view_t {
	unsigned int age_ms;		/* age of the upstream list; UINT32_MAX: never read */
	bool has_upstreams;		/* else the upstreams sent last still apply */
	link_upstream_t upstreams<>;
	bool has_entries;		/* else the entries sent last still apply */
	link_entry_t entries<>;		/* entries that accept callers */
	wire_bytes_t controls<>;	/* RPC ip:port of each known control process */
};

/* Requests a slot at a replica for an online request. */
struct link_slot_request_t {
	unsigned hyper request;
	wire_bytes_t service;
	unsigned int priority;		/* 0 goes first */
	bool resumed;			/* resumes a stream that its caller is reading */
	bool returning;			/* the caller waited at another entry before, or an attempt
					   may have run */
	int objective_ms;		/* left until the first byte is due; negative if overdue */
	int deadline_ms;		/* caller timeout: left until the caller gives up */
	int give_up_left_ms;		/* left until the caller gives up unless an event arrives */
	unsigned hyper prefix;		/* hash of the shared prompt prefix; 0: none */
	wire_bytes_t avoid<>;		/* replicas that failed this request */
};

/* A part of a prompt and its tokens. */
struct link_prompt_tokens_t {
	unsigned hyper part;		/* its hash */
	unsigned int tokens;
};

/* What a request takes of a replica; goes before its slot request. Figures that its caller does not
 * state are 0. Leaders of older builds skip it. */
struct link_request_facts_t {
	unsigned hyper request;
	wire_bytes_t customer;		/* empty: none */
	unsigned int tokens_in;		/* of the prompt */
	unsigned int tokens_out;	/* expected; at most tokens_out_max */
	unsigned int tokens_out_max;
	link_prompt_tokens_t parts<>;	/* of the prompt, in order; the last is the request's own */
};

/* What a replica has said of its load. */
struct link_replica_load_t {
	wire_bytes_t replica;
	unsigned hyper start_time;
	unsigned int running;
	unsigned int waiting;
	unsigned int slots;
	unsigned int percent;		/* time that work takes now, 100 as usual; 0: not stated */
	int age_ms;
};

struct link_replica_loads_t {
	link_replica_load_t loads<>;
};

/* How much an entry can carry, against others. */
struct link_entry_capacity_t {
	wire_bytes_t addr;		/* ip:port for callers */
	unsigned int capacity;		/* thousandths; 0: unknown */
};

struct link_entry_capacities_t {
	link_entry_capacity_t entries<>;
};

struct link_grant_t {
	unsigned hyper request;
	wire_bytes_t replica;
	wire_bytes_t addr;		/* ip:port of the replica */
	unsigned hyper start_time;
};

struct link_refuse_t {
	unsigned hyper request;
	int retry_ms;			/* time after which the caller may try again */
};

enum link_outcome_t {
	LINK_OUTCOME_OK = 0,
	LINK_OUTCOME_FULL = 1,		/* the replica rejected it unrun: no free capacity */
	LINK_OUTCOME_UNREACHABLE = 2,	/* no connection, or another replica has the address */
	LINK_OUTCOME_BROKEN = 3,	/* the response ended early, was malformed or unsigned */
	LINK_OUTCOME_SILENT = 4,	/* silence timeout: no event for too long */
	LINK_OUTCOME_FAILED = 5,	/* the replica replied with an error */
	LINK_OUTCOME_CANCELLED = 6,	/* the caller gave up, the run was stopped, or the item
					   itself failed: not the replica's fault */
	LINK_OUTCOME_REPLICA_LEAVING = 7	/* the replica is leaving, so it was not called */
};

/* A slot request that counts against the quota of its customer. */
struct link_customer_slot_request_t {
	link_slot_request_t ask;
	wire_bytes_t customer;
};

/* The leader refused a request because of the quota. */
struct link_over_quota_t {
	unsigned hyper request;		/* 0: a request of another entry */
	wire_bytes_t customer;
	int retry_ms;			/* time until a request fits */
};

struct link_ended_t {
	unsigned hyper request;
	wire_bytes_t replica;
	link_outcome_t outcome;
	int first_ms;			/* from the request's arrival at the entry to the first byte
					   of its reply; -1: none */
};

struct link_item_run_t {
	wire_bytes_t job;
	unsigned int item;
	wire_bytes_t id;
	wire_bytes_t host;
	wire_bytes_t path;
	wire_bytes_t headers;		/* lines that end with CRLF */
	wire_bytes_t body;
	wire_bytes_t replica;
	wire_bytes_t addr;		/* ip:port of the replica */
	unsigned hyper start_time;
	wire_bytes_t text;		/* produced by earlier runs */
	unsigned int events;		/* number of events in text */
	int deadline_ms;
};

/* How long a replica may be silent in the run of this item, which follows. */
struct link_item_patience_t {
	wire_bytes_t job;
	unsigned int item;
	int silent_ms;
};

struct link_item_ref_t {
	wire_bytes_t job;
	unsigned int item;
};

/* Failed runs of an item that an entry has reported to earlier leaders. */
struct link_item_failures_t {
	wire_bytes_t job;
	unsigned int item;
	unsigned int failures;
};

struct link_failures_t {
	link_item_failures_t items<>;
};

enum link_item_end_t {
	LINK_ITEM_END_DONE = 0,
	LINK_ITEM_END_IMPOSSIBLE = 1,	/* the replica replied 422: none can run it */
	LINK_ITEM_END_FAILED = 2,	/* the replica replied 500: the run failed */
	LINK_ITEM_END_UNFINISHED = 3	/* stopped, or the replica rejected it or failed */
};

struct link_item_ended_t {
	wire_bytes_t job;
	unsigned int item;
	wire_bytes_t replica;
	link_item_end_t end;
	link_outcome_t outcome;
	wire_bytes_t text;
	unsigned int events;
};

/* New events of a running item since the last report, or since the run was started over this link.
 * Of a run that the hello listed, the first report has all events, also those of earlier runs, and
 * from is 0; builds of before left out what they had reported over other links. */
struct link_item_progress_t {
	wire_bytes_t job;
	unsigned int item;
	unsigned int from;		/* number of events before these */
	unsigned int events;		/* number of events after these */
	wire_bytes_t text;
};

enum link_call_kind_t {
	LINK_CALL_LOT_OPEN = 1,
	LINK_CALL_LOT_READ = 2,
	LINK_CALL_ITEM_BODY = 3,
	LINK_CALL_LOT_END = 4,
	LINK_CALL_CONFIG_SUBMIT = 5,
	LINK_CALL_CONFIG_GET = 6,
	LINK_CALL_RETIRE = 7,		/* retire a control process */
	LINK_CALL_RETIRE_STATUS = 8	/* progress of the retirement */
};

struct link_lot_read_t {
	wire_bytes_t job;
	unsigned int after;		/* position to read results from */
	int wait_ms;			/* longest wait for further results */
};

struct link_item_body_t {
	wire_bytes_t job;
	wire_bytes_t item;
};

union link_call_arg_t switch (link_call_kind_t kind) {
case LINK_CALL_LOT_OPEN:
	wire_lot_open_t open;
case LINK_CALL_LOT_READ:
	link_lot_read_t read;
case LINK_CALL_ITEM_BODY:
	link_item_body_t body;
case LINK_CALL_LOT_END:
	wire_bytes_t job;
case LINK_CALL_CONFIG_SUBMIT:
	wire_bytes_t text;
case LINK_CALL_CONFIG_GET:
	void;
case LINK_CALL_RETIRE:
case LINK_CALL_RETIRE_STATUS:
	wire_bytes_t node;
};

struct link_call_t {
	unsigned hyper id;
	link_call_arg_t what;
};

struct link_result_t {
	wire_bytes_t item;
	bool dead;			/* given up, without a result */
	wire_bytes_t text;
};

struct link_reply_t {
	unsigned hyper id;
	int status;			/* status_t */
	wire_bytes_t message;
	wire_bytes_t bytes;		/* ITEM_BODY, CONFIG_GET */
	unsigned int total;		/* LOT_READ: number of items of the lot */
	link_result_t results<>;	/* LOT_READ */
	bool empty;			/* RETIRE_STATUS: the process holds no replica any more */
};

enum link_kind_t {
	LINK_HELLO = 1,
	LINK_WELCOME = 2,
	LINK_CONFIG = 3,
	LINK_VIEW = 4,
	LINK_SLOT_REQUEST = 5,
	LINK_GRANT = 6,
	LINK_REFUSE = 7,
	LINK_WITHDRAW = 8,		/* the caller of a waiting request gave up */
	LINK_ENDED = 9,
	LINK_ITEM_RUN = 10,
	LINK_ITEM_STOP = 11,
	LINK_ITEM_ENDED = 12,
	LINK_CALL = 13,
	LINK_REPLY = 14,
	LINK_PING = 15,
	LINK_ITEM_PROGRESS = 16,
	LINK_LEAVING = 18,		/* to the leader, and from it to all others; entries and
					   control processes of older builds ignore it */
	LINK_CONFIG_IN_FORCE = 17,	/* from an entry: it uses the routes of this config. The
					   leader answers each with the newest config, confirmed by
					   a majority after the message arrived; number 0: not
					   confirmed. Leaders of older builds don't answer. */
	LINK_CUSTOMER_SLOT_REQUEST = 19,
	LINK_OVER_QUOTA = 20,
	LINK_QUOTA_RETURN = 21,		/* a counted request of this customer has not run */
	LINK_COUNTS_QUOTAS = 22,	/* from an entry, once the leader has answered its
					   LINK_CONFIG_IN_FORCE: it knows the messages on quotas */
	LINK_FLEET_ENTRIES = 23,	/* number of entries that accept callers. From an entry, after
					   LINK_COUNTS_QUOTAS: it knows the messages on prompt
					   parts; leaders of older builds ignore it. */
	LINK_PROMPT_PARTS = 24,		/* the suspected and blocked parts: all, from the leader, the
					   first time in reply to LINK_FLEET_ENTRIES; from an entry,
					   in reply to that: those that it knows as blocked */
	LINK_CRASH = 25,
	LINK_SOUND_PART = 26,		/* a part that the leader suspects or blocks */
	LINK_POISONS = 27,		/* the suspected and held requests: from an entry, after the
					   first LINK_PROMPT_PARTS, those that it knows as held; from
					   the leader, in reply to that and at each change, all */
	LINK_REQUEST_CRASH = 28,	/* in place of LINK_CRASH, to a leader that has sent
					   LINK_POISONS */
	LINK_REQUEST_SOUND = 29,	/* a run of a request that the leader suspects, or that has
					   crashed replicas at this entry, has ended whole */
	LINK_REQUEST_FACTS = 30,
	LINK_REPLICA_LOADS = 31,	/* from an entry */
	LINK_ENTRY_CAPACITIES = 32,	/* from an entry: its own; from the leader: of the
					   entries in the view that it sends */
	LINK_KINDS_KNOWN = 33,		/* from the leader, to an entry whose hello says that it knows
					   this kind: the last kind that the leader knows. Builds up
					   to 215a144 end a link on which a kind comes that they
					   don't know, so nothing above LINK_REQUEST_SOUND is sent
					   without this. */
	LINK_ASK_ITEM_FAILURES = 34,	/* from a new leader, to each entry once: it knows nothing of
					   what was reported before */
	LINK_ITEM_FAILURES = 35,	/* from an entry, in reply */
	LINK_ITEM_PATIENCE = 36		/* from the leader, before LINK_ITEM_RUN. Builds that don't
					   know it skip it. */
};

union link_msg_t switch (link_kind_t kind) {
case LINK_HELLO:
	link_hello_t hello;
case LINK_WELCOME:
	link_welcome_t welcome;
case LINK_CONFIG:
	link_config_t conf;
case LINK_VIEW:
	link_view_t view;
case LINK_SLOT_REQUEST:
	link_slot_request_t ask;
case LINK_GRANT:
	link_grant_t grant;
case LINK_REFUSE:
	link_refuse_t refuse;
case LINK_WITHDRAW:
	unsigned hyper request;
case LINK_ENDED:
	link_ended_t ended;
case LINK_ITEM_RUN:
	link_item_run_t run;
case LINK_ITEM_STOP:
	link_item_ref_t stop;
case LINK_ITEM_ENDED:
	link_item_ended_t item_ended;
case LINK_ITEM_PROGRESS:
	link_item_progress_t progress;
case LINK_LEAVING:
	link_leaving_t leaving_replica;
case LINK_CONFIG_IN_FORCE:
	link_config_id_t holds;
case LINK_CUSTOMER_SLOT_REQUEST:
	link_customer_slot_request_t customer_ask;
case LINK_OVER_QUOTA:
	link_over_quota_t over_quota;
case LINK_QUOTA_RETURN:
	wire_bytes_t customer;
case LINK_COUNTS_QUOTAS:
	void;
case LINK_FLEET_ENTRIES:
	unsigned int entries;
case LINK_PROMPT_PARTS:
	link_prompt_parts_t prompt_parts;
case LINK_CRASH:
	link_crash_t crash;
case LINK_SOUND_PART:
	link_sound_part_t sound;
case LINK_POISONS:
	link_poisons_t poisons;
case LINK_REQUEST_CRASH:
	link_request_crash_t request_crash;
case LINK_REQUEST_SOUND:
	link_request_sound_t request_sound;
case LINK_REQUEST_FACTS:
	link_request_facts_t facts;
case LINK_REPLICA_LOADS:
	link_replica_loads_t replica_loads;
case LINK_ENTRY_CAPACITIES:
	link_entry_capacities_t capacities;
case LINK_KINDS_KNOWN:
	unsigned int last_kind;
case LINK_ASK_ITEM_FAILURES:
	void;
case LINK_ITEM_FAILURES:
	link_failures_t item_failures;
case LINK_ITEM_PATIENCE:
	link_item_patience_t patience;
case LINK_CALL:
	link_call_t call;
case LINK_REPLY:
	link_reply_t reply;
case LINK_PING:
	void;
};
