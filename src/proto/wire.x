/*
 * ONC RPC messages between auburnwing's own processes, and the commands in the replicated logs. A
 * command is XDR-encoded once and stored as it is. Times that leave a process are wall-clock ms or
 * milliseconds left.
 *
 * Raft group 0 replicates the fleet: configs, sessions, upstreams, their owners, and lots. The
 * other Raft groups, numbered from 1, are the ledger groups: each stores a part of the requests and
 * jobs of callers, chosen by key. A session is one run of an entry, registered in group 0 and kept
 * open by heartbeats. The owner of an upstream is the session of the entry that dispatches work to
 * it; each change of owner has a new, higher fencing token. A view lists the sessions, upstreams
 * and owners.
 */

typedef opaque wire_bytes_t<>;

/* ---- group 0: the fleet ---- */

enum wire_upstream_state_t {
	WIRE_UPSTREAM_LIVE = 0,
	WIRE_UPSTREAM_LEAVING = 1,
	WIRE_UPSTREAM_GONE = 2
};

struct wire_upstream_t {
	wire_bytes_t id;
	wire_bytes_t addr;		/* HTTP ip:port */
	wire_bytes_t zone;
	wire_bytes_t service;
	wire_upstream_state_t state;
	unsigned hyper owner;		/* session of the owning entry; 0: none */
	unsigned hyper fence;		/* fencing token of this ownership */
};

/* An entry and its session. */
struct wire_member_t {
	wire_bytes_t name;
	wire_bytes_t addr;		/* ip:port for callers (HTTP) */
	wire_bytes_t peer;		/* ip:port for other entries (RPC) */
	wire_bytes_t zone;
	unsigned hyper boot;		/* random, new at each start */
	unsigned hyper session;		/* assigned by group 0; 0: none yet */
	bool draining;
};

struct wire_config_submit_t {
	unsigned hyper number;
	wire_bytes_t text;
	wire_bytes_t operator_name;
};

struct wire_session_close_t {
	unsigned hyper session;
	wire_bytes_t reason;
};

struct wire_owner_change_t {
	wire_bytes_t id;		/* upstream */
	unsigned hyper was_fence;	/* the change is skipped unless this is still the fencing
					   token */
	unsigned hyper session;		/* new owner; 0: none */
};

/* ---- group 0: batch lots, accepted as a whole and run item by item ---- */

struct wire_lot_item_t {
	wire_bytes_t id;
	wire_bytes_t path;
	wire_bytes_t headers;		/* lines that end with CRLF */
	wire_bytes_t body;
	unsigned int tokens;		/* counted against the route's quota */
};

struct wire_lot_open_t {
	wire_bytes_t lot;
	wire_bytes_t route;		/* route whose quota the lot counts against */
	wire_bytes_t host;
	hyper due_wall_ms;
	hyper drop_wall_ms;		/* items not done by then are given up */
	hyper forget_wall_ms;		/* the lot and its results are removed then */
	unsigned hyper quota;		/* limit on the tokens of the route's unfinished items;
					   0: none */
	wire_lot_item_t items<>;
};

struct wire_lot_result_t {
	wire_bytes_t lot;
	unsigned int item;
	bool dead;			/* given up, without a result */
	wire_bytes_t text;
};

/* Events that an item has produced, so that its next run resumes after a failure. */
struct wire_lot_progress_t {
	wire_bytes_t lot;
	unsigned int item;
	unsigned int from;		/* number of events before these; the progress is ignored
					   unless the stored item has just as many */
	unsigned int events;		/* number of events after these */
	wire_bytes_t text;		/* of these events */
};

/* Changes of lots gathered for one commit, in the order in which they are applied; lots that have
 * expired by now_wall_ms are removed before the opens. */
struct wire_lots_cmd_t {
	hyper now_wall_ms;
	wire_lot_progress_t progress<>;
	wire_lot_result_t results<>;
	wire_bytes_t ends<>;		/* ids of lots whose clients want no more results */
	wire_lot_open_t opens<>;
};

/* A control process that an operator retires: it must hold no replica of any group any more. A
 * command for each of its replica ids gives the name of its VM; a last one gives its RPC address, so
 * that the VM is recognized once its process has lost its disk and has a new id. Older builds ignore
 * the last one. */
struct wire_retire_t {
	wire_bytes_t key;		/* name or address */
	unsigned hyper replica;		/* id of its replica of group 0 */
};

enum wire_fleet_kind_t {
	WIRE_FLEET_CONFIG_SUBMIT = 1,
	WIRE_FLEET_SESSION_OPEN = 2,
	WIRE_FLEET_SESSION_DRAIN = 3,
	WIRE_FLEET_SESSION_CLOSE = 4,
	WIRE_FLEET_OWNERS = 5,
	WIRE_FLEET_UPSTREAMS = 6,
	WIRE_FLEET_FORGET = 7,		/* closed sessions that all ledger groups have recorded */
	WIRE_FLEET_LOTS = 8,
	WIRE_FLEET_RETIRE = 9
};

union wire_fleet_cmd_t switch (wire_fleet_kind_t kind) {
case WIRE_FLEET_CONFIG_SUBMIT:
	wire_config_submit_t submit;
case WIRE_FLEET_SESSION_OPEN:
	wire_member_t open;
case WIRE_FLEET_SESSION_DRAIN:
	unsigned hyper drain;
case WIRE_FLEET_SESSION_CLOSE:
	wire_session_close_t close;
case WIRE_FLEET_OWNERS:
	wire_owner_change_t own<>;
case WIRE_FLEET_UPSTREAMS:
	wire_upstream_t upstreams<>;
case WIRE_FLEET_FORGET:
	unsigned hyper forget<>;
case WIRE_FLEET_LOTS:
	wire_lots_cmd_t lots;
case WIRE_FLEET_RETIRE:
	wire_retire_t retire;
};

struct wire_fleet_res_t {
	int status;			/* status_t */
	wire_bytes_t message;
	unsigned hyper number;		/* CONFIG_SUBMIT: number of the config in force;
					   SESSION_OPEN: the session */
	unsigned hyper winner_digest;	/* CONFIG_SUBMIT: digest of the config that has the
					   submitted number */
	int opened<>;			/* LOTS: status_t of each lot opened */
};

struct wire_view_t {
	unsigned hyper view_version;	/* grows with each change of members, upstreams or owners */
	unsigned hyper conf_number;
	unsigned int ledger_groups;
	wire_member_t members<>;
	wire_upstream_t upstreams<>;
};

struct wire_config_t {
	unsigned hyper number;
	unsigned hyper digest;
	wire_bytes_t text;
	wire_bytes_t operator_name;
};

/* ---- ledger groups: requests, jobs, items ---- */

enum wire_state_t {
	WIRE_ACCEPTED = 0,		/* committed; no unrepeatable attempt is open */
	WIRE_ATTEMPTED = 1,		/* an unrepeatable call was started */
	WIRE_DONE = 2,			/* ran, result stored */
	WIRE_FAILED = 3,		/* final, no result */
	WIRE_CANCELLED = 4
};

struct wire_accept_t {
	wire_bytes_t caller;
	wire_bytes_t key;
	unsigned hyper digest;
	wire_bytes_t service;
	bool repeatable;
	hyper deadline_wall_ms;
	unsigned hyper session;		/* of the accepting entry */
	wire_bytes_t path;		/* path at the upstream */
	wire_bytes_t body;
	wire_bytes_t trace;		/* traceparent */
};

struct wire_attempt_t {
	wire_bytes_t caller;
	wire_bytes_t key;
	unsigned hyper token;		/* random; a resend has the same and gets the same answer */
	unsigned hyper session;
	wire_bytes_t upstream;
};

struct wire_finish_t {
	wire_bytes_t caller;
	wire_bytes_t key;
	wire_state_t state;		/* WIRE_DONE, WIRE_FAILED or WIRE_CANCELLED */
	int verdict;			/* verdict_t */
	int http_status;
	wire_bytes_t result;
	hyper now_wall_ms;
	unsigned hyper session;		/* of the sender; a session that does not hold the request
					   can only finish a repeatable one, as WIRE_DONE;
					   0: no session, unchecked */
};

struct wire_job_open_t {
	wire_bytes_t caller;
	wire_bytes_t job;
	unsigned hyper digest;		/* of all items in order */
	wire_bytes_t service;
	hyper deadline_wall_ms;
	unsigned int count;
	wire_bytes_t trace;
	hyper now_wall_ms;
	unsigned int share;		/* the caller's weight in fair sharing; 0 counts as 1 */
};

struct wire_job_items_t {
	wire_bytes_t caller;
	wire_bytes_t job;
	unsigned int first;
	wire_bytes_t bodies<>;
};

struct wire_job_ref_t {
	wire_bytes_t caller;
	wire_bytes_t job;
	hyper now_wall_ms;
};

struct wire_lease_t {
	unsigned hyper session;
	unsigned hyper seq;		/* grows with each new LEASE of the session for the service;
					   the same again is a resend and gets the items of the
					   first answer that the session still holds */
	wire_bytes_t service;
	unsigned int max;
	hyper now_wall_ms;
};

struct wire_item_t {
	wire_bytes_t caller;
	wire_bytes_t job;		/* empty for a request whose entry was lost */
	wire_bytes_t key;		/* key of the request if job is empty */
	unsigned int index;
	unsigned int attempt;
	bool alone;			/* suspected of killing replicas: runs alone on one */
	bool repeatable;
	hyper deadline_wall_ms;
	wire_bytes_t path;
	wire_bytes_t body;
	wire_bytes_t trace;
};

enum wire_blame_t {
	WIRE_BLAME_NONE = 0,		/* not run, preempted, or the entry stopped */
	WIRE_BLAME_ITEM = 1,		/* the item itself failed */
	WIRE_BLAME_REPLICA = 2		/* the replica or its VM died while it ran */
};

struct wire_item_result_t {
	wire_bytes_t caller;
	wire_bytes_t job;
	wire_bytes_t key;		/* key of the request if job is empty */
	unsigned int index;
	unsigned int attempt;
	bool done;
	wire_blame_t blame;		/* when not done */
	wire_bytes_t body;		/* result, or the reason of the failure */
};

struct wire_done_t {
	unsigned hyper session;
	hyper now_wall_ms;
	wire_item_result_t results<>;
};

struct wire_sessions_lost_t {
	unsigned hyper sessions<>;
	hyper now_wall_ms;
};

struct wire_expire_t {
	hyper now_wall_ms;
	hyper retention_ms;
};

enum wire_ledger_kind_t {
	WIRE_LEDGER_ACCEPT = 1,
	WIRE_LEDGER_ATTEMPT = 2,
	WIRE_LEDGER_FINISH = 3,
	WIRE_LEDGER_JOB_OPEN = 4,
	WIRE_LEDGER_JOB_ITEMS = 5,
	WIRE_LEDGER_JOB_SEAL = 6,
	WIRE_LEDGER_JOB_CANCEL = 7,
	WIRE_LEDGER_LEASE = 8,
	WIRE_LEDGER_DONE = 9,
	WIRE_LEDGER_SESSIONS_LOST = 10,
	WIRE_LEDGER_EXPIRE = 11
};

union wire_ledger_cmd_t switch (wire_ledger_kind_t kind) {
case WIRE_LEDGER_ACCEPT:
	wire_accept_t accept;
case WIRE_LEDGER_ATTEMPT:
	wire_attempt_t attempt;
case WIRE_LEDGER_FINISH:
	wire_finish_t finish;
case WIRE_LEDGER_JOB_OPEN:
	wire_job_open_t open;
case WIRE_LEDGER_JOB_ITEMS:
	wire_job_items_t items;
case WIRE_LEDGER_JOB_SEAL:
	wire_job_ref_t seal;
case WIRE_LEDGER_JOB_CANCEL:
	wire_job_ref_t cancel;
case WIRE_LEDGER_LEASE:
	wire_lease_t lease;
case WIRE_LEDGER_DONE:
	wire_done_t done;
case WIRE_LEDGER_SESSIONS_LOST:
	wire_sessions_lost_t lost;
case WIRE_LEDGER_EXPIRE:
	wire_expire_t expire;
};

struct wire_record_t {
	bool fresh;			/* created by this command */
	wire_state_t state;
	int verdict;
	int http_status;
	unsigned hyper session;		/* session of the entry that runs it */
	wire_bytes_t service;
	wire_bytes_t result;
};

struct wire_job_t {
	wire_bytes_t caller;
	wire_bytes_t job;
	wire_bytes_t service;
	unsigned hyper digest;
	bool sealed;
	bool cancelled;
	hyper deadline_wall_ms;
	unsigned int count;
	unsigned int received;
	unsigned int waiting;
	unsigned int leased;
	unsigned int done;
	unsigned int failed;
	unsigned int dropped;		/* cancelled items */
	bool fresh;
};

/* Answer to any ledger command or query. */
struct wire_ledger_res_t {
	int status;			/* status_t */
	wire_bytes_t message;
	wire_record_t record;		/* ACCEPT, ATTEMPT, FINISH */
	wire_job_t job;			/* JOB_* */
	wire_item_t items<>;		/* LEASE */
	unsigned int count;		/* DONE: results accepted; EXPIRE: records removed */
	wire_job_ref_t cancelled<>;	/* DONE, LEASE: cancelled jobs with items that this
					   session still leases */
};

/* ---- queries (linearizable reads, not logged) ---- */

enum wire_query_kind_t {
	WIRE_QUERY_CONFIG = 1,
	WIRE_QUERY_VIEW = 2,
	WIRE_QUERY_REQUEST = 3,
	WIRE_QUERY_JOB = 4,
	WIRE_QUERY_JOBS = 5,
	WIRE_QUERY_RESULTS = 6
};

struct wire_request_ref_t {
	wire_bytes_t caller;
	wire_bytes_t key;
};

struct wire_results_ref_t {
	wire_bytes_t caller;
	wire_bytes_t job;
	unsigned int first;
	unsigned int max;
};

struct wire_jobs_ref_t {
	wire_bytes_t caller;
	wire_bytes_t after;
	unsigned int max;
};

union wire_query_t switch (wire_query_kind_t kind) {
case WIRE_QUERY_CONFIG:
	unsigned hyper number;		/* 0: the one in force */
case WIRE_QUERY_VIEW:
	unsigned hyper known_version;
case WIRE_QUERY_REQUEST:
	wire_request_ref_t request;
case WIRE_QUERY_JOB:
	wire_job_ref_t job;
case WIRE_QUERY_JOBS:
	wire_jobs_ref_t jobs;
case WIRE_QUERY_RESULTS:
	wire_results_ref_t results;
};

struct wire_item_state_t {
	unsigned int index;
	wire_state_t state;
	unsigned int attempts;
	wire_bytes_t body;
};

struct wire_query_res_t {
	int status;
	wire_bytes_t message;
	wire_config_t conf;
	wire_view_t view;
	wire_record_t record;
	wire_job_t jobs<>;		/* JOB: one; JOBS: a page */
	wire_item_state_t items<>;	/* RESULTS */
};

/* ---- RPC ---- */

struct wire_exec_arg_t {
	unsigned int group;
	unsigned int wait_ms;		/* time left */
	bool forward;			/* the receiver forwards it if it is not the leader */
	wire_bytes_t payload;		/* an encoded command or query */
};

struct wire_exec_res_t {
	int status;			/* status_t of the replication, not of the command */
	wire_bytes_t message;
	wire_bytes_t leader;		/* ip:port of the leader if known */
	wire_bytes_t payload;		/* the encoded answer */
};

struct wire_heartbeat_arg_t {
	wire_member_t member;		/* session 0 asks for a new one */
	unsigned hyper conf_number;	/* of the config in force at the sender */
	unsigned hyper view_version;	/* of the view that the sender uses */
	bool forward;			/* the receiver forwards it if it is not the leader */
};

struct wire_heartbeat_res_t {
	int status;
	wire_bytes_t leader;
	unsigned hyper session;
	unsigned int lease_ms;		/* the lease ends this long after the request was sent */
	unsigned hyper conf_number;	/* newest */
	unsigned hyper view_version;	/* newest */
};

struct wire_raft_msg_t {
	unsigned int group;
	wire_bytes_t payload;
};

struct wire_raft_arg_t {
	wire_bytes_t from;		/* sender's ip:port */
	wire_raft_msg_t msgs<>;
};

/* Answer to AUBURN_STATUS (JSON) and AUBURN_EVENTS (log lines). */
struct wire_text_t {
	wire_bytes_t text;
};

struct wire_events_arg_t {
	wire_bytes_t needle;		/* the newest log lines that contain it are returned */
	unsigned int max;
};

/* Load of a replica, reported by its owner to the other entries. */
struct wire_load_t {
	wire_bytes_t id;		/* replica */
	unsigned hyper fence;
	int free_slots;
	int queued;
	int running;
	int step_us;			/* recent 95th percentile of the time between two tokens */
	int drain_ms;			/* estimated time to the first token of a new stream */
	unsigned hyper prefixes<>;	/* hashes of the prompt prefixes in its cache */
};

struct wire_load_arg_t {
	unsigned hyper session;
	wire_load_t loads<>;
};

program AUBURN_CONTROL {
	version AUBURN_CONTROL_V1 {
		wire_exec_res_t AUBURN_EXEC(wire_exec_arg_t) = 1;
		wire_exec_res_t AUBURN_QUERY(wire_exec_arg_t) = 2;
		wire_heartbeat_res_t AUBURN_HEARTBEAT(wire_heartbeat_arg_t) = 3;
		void AUBURN_RAFT(wire_raft_arg_t) = 4;
		wire_text_t AUBURN_STATUS(void) = 5;
		wire_text_t AUBURN_EVENTS(wire_events_arg_t) = 6;
	} = 1;
} = 0x20ab0001;

program AUBURN_PEER {
	version AUBURN_PEER_V1 {
		void AUBURN_LOAD(wire_load_arg_t) = 1;
	} = 1;
} = 0x20ab0002;
