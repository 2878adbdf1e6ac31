/*
 * Messages between auburnwing's own processes (ONC RPC) and the commands that the
 * replicated logs carry. A command is XDR-encoded once and stored as it is.
 * Times that leave a process are wall-clock ms or milliseconds left.
 */

typedef opaque aw_bytes_t<>;

/* ---- group 0: the fleet ---- */

enum aw_upstream_state_t { AW_UP_LIVE = 0, AW_UP_LEAVING = 1, AW_UP_GONE = 2 };

struct aw_upstream_t {
	aw_bytes_t id;
	aw_bytes_t addr;		/* ip:port of its HTTP side */
	aw_bytes_t zone;
	aw_bytes_t service;
	aw_upstream_state_t state;
	unsigned hyper owner;		/* session of the owning entry, 0 = none */
	unsigned hyper fence;		/* fencing number of this ownership */
};

struct aw_member_t {
	aw_bytes_t name;
	aw_bytes_t addr;		/* ip:port for callers (HTTP) */
	aw_bytes_t peer;		/* ip:port for other entries (RPC) */
	aw_bytes_t zone;
	unsigned hyper boot;		/* random, new at each start */
	unsigned hyper session;		/* given by group 0 */
	bool draining;
};

struct aw_conf_submit_t {
	unsigned hyper number;
	aw_bytes_t text;
	aw_bytes_t operator_name;
};

struct aw_session_close_t {
	unsigned hyper session;
	aw_bytes_t reason;
};

struct aw_own_change_t {
	aw_bytes_t id;			/* upstream */
	unsigned hyper was_fence;	/* skipped unless it still stands */
	unsigned hyper session;		/* new owner, 0 = none */
};

/* ---- group 0: batch lots, which are accepted whole and run item by item ---- */

struct aw_lot_item_t {
	aw_bytes_t id;
	aw_bytes_t path;
	aw_bytes_t headers;		/* lines that end with CRLF */
	aw_bytes_t body;
	unsigned int tokens;
};

struct aw_lot_open_t {
	aw_bytes_t lot;
	aw_bytes_t route;		/* whose quota it counts for */
	aw_bytes_t host;
	hyper due_wall_ms;
	hyper drop_wall_ms;		/* items that aren't done by then are given up */
	hyper forget_wall_ms;		/* results are readable until then */
	unsigned hyper quota;		/* tokens that may wait on the route; 0: no bound */
	aw_lot_item_t items<>;
};

struct aw_lot_result_t {
	aw_bytes_t lot;
	unsigned int item;
	bool dead;
	aw_bytes_t text;
};

/* Events that an item has made since, so that no run begins anew after a fault. */
struct aw_lot_progress_t {
	aw_bytes_t lot;
	unsigned int item;
	unsigned int from;		/* passed over unless as many are held */
	unsigned int events;		/* held afterwards */
	aw_bytes_t text;		/* appended */
};

/* What was gathered for one commit, in the order in which it is applied. */
struct aw_lots_cmd_t {
	hyper now_wall_ms;
	aw_lot_progress_t progress<>;
	aw_lot_result_t results<>;
	aw_bytes_t ends<>;
	aw_lot_open_t opens<>;
};

/* A control process that is to hold nothing any more. */
struct aw_retire_t {
	aw_bytes_t name;
	unsigned hyper replica;		/* id of its replica of group 0 */
};

enum aw_fleet_kind_t {
	AW_FLEET_CONF_SUBMIT = 1,
	AW_FLEET_SESSION_OPEN = 2,
	AW_FLEET_SESSION_DRAIN = 3,
	AW_FLEET_SESSION_CLOSE = 4,
	AW_FLEET_OWN = 5,
	AW_FLEET_UPSTREAMS = 6,
	AW_FLEET_FORGET = 7,		/* closed sessions that every ledger group was told of */
	AW_FLEET_LOTS = 8,
	AW_FLEET_RETIRE = 9
};

union aw_fleet_cmd_t switch (aw_fleet_kind_t kind) {
case AW_FLEET_CONF_SUBMIT:
	aw_conf_submit_t submit;
case AW_FLEET_SESSION_OPEN:
	aw_member_t open;
case AW_FLEET_SESSION_DRAIN:
	unsigned hyper drain;
case AW_FLEET_SESSION_CLOSE:
	aw_session_close_t close;
case AW_FLEET_OWN:
	aw_own_change_t own<>;
case AW_FLEET_UPSTREAMS:
	aw_upstream_t upstreams<>;
case AW_FLEET_FORGET:
	unsigned hyper forget<>;
case AW_FLEET_LOTS:
	aw_lots_cmd_t lots;
case AW_FLEET_RETIRE:
	aw_retire_t retire;
};

struct aw_fleet_res_t {
	int status;			/* status_t */
	aw_bytes_t message;
	unsigned hyper number;		/* CONF_SUBMIT: the number in force; SESSION_OPEN: the session */
	unsigned hyper winner_digest;	/* CONF_SUBMIT: digest of the text that holds the number asked for */
	int opened<>;			/* LOTS: status_t of each of its opens */
};

struct aw_view_t {
	unsigned hyper view_version;	/* grows with each change of members, upstreams, owners */
	unsigned hyper conf_number;
	unsigned int ledger_groups;
	aw_member_t members<>;
	aw_upstream_t upstreams<>;
};

struct aw_conf_t {
	unsigned hyper number;
	unsigned hyper digest;
	aw_bytes_t text;
	aw_bytes_t operator_name;
};

/* ---- ledger groups: requests, jobs, items ---- */

enum aw_state_t {
	AW_ACCEPTED = 0,	/* committed, no attempt that may not be repeated is open */
	AW_ATTEMPTED = 1,	/* a call that may not be repeated was begun */
	AW_DONE = 2,		/* ran, result stored */
	AW_FAILED = 3,		/* final, no result */
	AW_CANCELLED = 4
};

struct aw_accept_t {
	aw_bytes_t caller;
	aw_bytes_t key;
	unsigned hyper digest;
	aw_bytes_t service;
	bool repeatable;
	hyper deadline_wall_ms;
	unsigned hyper session;		/* of the accepting entry */
	aw_bytes_t path;		/* path at the upstream */
	aw_bytes_t body;
	aw_bytes_t trace;		/* traceparent */
};

struct aw_attempt_t {
	aw_bytes_t caller;
	aw_bytes_t key;
	unsigned hyper token;		/* random; the same token again gets the same answer */
	unsigned hyper session;
	aw_bytes_t upstream;
};

struct aw_finish_t {
	aw_bytes_t caller;
	aw_bytes_t key;
	aw_state_t state;		/* AW_DONE, AW_FAILED or AW_CANCELLED */
	int verdict;			/* verdict_t */
	int http_status;
	aw_bytes_t result;
	hyper now_wall_ms;
	unsigned hyper session;		/* of the sender; one that doesn't hold the request can't fail it. 0 = unchecked */
};

struct aw_job_open_t {
	aw_bytes_t caller;
	aw_bytes_t job;
	unsigned hyper digest;		/* of all items in order */
	aw_bytes_t service;
	hyper deadline_wall_ms;
	unsigned int count;
	aw_bytes_t trace;
	hyper now_wall_ms;
	unsigned int share;		/* the caller's weight in the fair share; 0 counts as 1 */
};

struct aw_job_items_t {
	aw_bytes_t caller;
	aw_bytes_t job;
	unsigned int first;
	aw_bytes_t bodies<>;
};

struct aw_job_ref_t {
	aw_bytes_t caller;
	aw_bytes_t job;
	hyper now_wall_ms;
};

struct aw_lease_t {
	unsigned hyper session;
	unsigned hyper seq;		/* the session's count of lease commands; a resend gets the same items */
	aw_bytes_t service;
	unsigned int max;
	hyper now_wall_ms;
};

struct aw_item_t {
	aw_bytes_t caller;
	aw_bytes_t job;			/* empty for a request whose entry was lost */
	aw_bytes_t key;			/* the request's key then */
	unsigned int index;
	unsigned int attempt;
	bool alone;			/* suspected of killing replicas: nothing else beside it */
	bool repeatable;
	hyper deadline_wall_ms;
	aw_bytes_t path;
	aw_bytes_t body;
	aw_bytes_t trace;
};

enum aw_blame_t {
	AW_BLAME_NONE = 0,		/* given back unrun, preempted, or its entry stopped */
	AW_BLAME_ITEM = 1,		/* it failed of itself */
	AW_BLAME_REPLICA = 2		/* the replica or its VM died with it */
};

struct aw_item_result_t {
	aw_bytes_t caller;
	aw_bytes_t job;
	aw_bytes_t key;			/* as in aw_item_t: the request's key when job is empty */
	unsigned int index;
	unsigned int attempt;
	bool done;
	aw_blame_t blame;		/* when not done */
	aw_bytes_t body;		/* result, or the reason of the failure */
};

struct aw_done_t {
	unsigned hyper session;
	hyper now_wall_ms;
	aw_item_result_t results<>;
};

struct aw_sessions_lost_t {
	unsigned hyper sessions<>;
	hyper now_wall_ms;
};

struct aw_expire_t {
	hyper now_wall_ms;
	hyper retention_ms;
};

enum aw_ledger_kind_t {
	AW_LEDGER_ACCEPT = 1,
	AW_LEDGER_ATTEMPT = 2,
	AW_LEDGER_FINISH = 3,
	AW_LEDGER_JOB_OPEN = 4,
	AW_LEDGER_JOB_ITEMS = 5,
	AW_LEDGER_JOB_SEAL = 6,
	AW_LEDGER_JOB_CANCEL = 7,
	AW_LEDGER_LEASE = 8,
	AW_LEDGER_DONE = 9,
	AW_LEDGER_SESSIONS_LOST = 10,
	AW_LEDGER_EXPIRE = 11
};

union aw_ledger_cmd_t switch (aw_ledger_kind_t kind) {
case AW_LEDGER_ACCEPT:
	aw_accept_t accept;
case AW_LEDGER_ATTEMPT:
	aw_attempt_t attempt;
case AW_LEDGER_FINISH:
	aw_finish_t finish;
case AW_LEDGER_JOB_OPEN:
	aw_job_open_t open;
case AW_LEDGER_JOB_ITEMS:
	aw_job_items_t items;
case AW_LEDGER_JOB_SEAL:
	aw_job_ref_t seal;
case AW_LEDGER_JOB_CANCEL:
	aw_job_ref_t cancel;
case AW_LEDGER_LEASE:
	aw_lease_t lease;
case AW_LEDGER_DONE:
	aw_done_t done;
case AW_LEDGER_SESSIONS_LOST:
	aw_sessions_lost_t lost;
case AW_LEDGER_EXPIRE:
	aw_expire_t expire;
};

struct aw_record_t {
	bool fresh;			/* this command made it */
	aw_state_t state;
	int verdict;
	int http_status;
	unsigned hyper session;		/* entry that works on it */
	aw_bytes_t service;
	aw_bytes_t result;
};

struct aw_job_t {
	aw_bytes_t caller;
	aw_bytes_t job;
	aw_bytes_t service;
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

/* answer to any ledger command or query */
struct aw_ledger_res_t {
	int status;			/* status_t */
	aw_bytes_t message;
	aw_record_t record;		/* ACCEPT, ATTEMPT, FINISH */
	aw_job_t job;			/* JOB_* */
	aw_item_t items<>;		/* LEASE */
	unsigned int count;		/* DONE: results taken; EXPIRE: things removed */
	aw_job_ref_t cancelled<>;	/* DONE, LEASE: cancelled jobs with items still leased to this session */
};

/* ---- queries (linearizable reads, not logged) ---- */

enum aw_query_kind_t {
	AW_QUERY_CONF = 1,
	AW_QUERY_VIEW = 2,
	AW_QUERY_REQUEST = 3,
	AW_QUERY_JOB = 4,
	AW_QUERY_JOBS = 5,
	AW_QUERY_RESULTS = 6
};

struct aw_request_ref_t {
	aw_bytes_t caller;
	aw_bytes_t key;
};

struct aw_results_ref_t {
	aw_bytes_t caller;
	aw_bytes_t job;
	unsigned int first;
	unsigned int max;
};

struct aw_jobs_ref_t {
	aw_bytes_t caller;
	aw_bytes_t after;
	unsigned int max;
};

union aw_query_t switch (aw_query_kind_t kind) {
case AW_QUERY_CONF:
	unsigned hyper number;		/* 0 = the one in force */
case AW_QUERY_VIEW:
	unsigned hyper known_version;
case AW_QUERY_REQUEST:
	aw_request_ref_t request;
case AW_QUERY_JOB:
	aw_job_ref_t job;
case AW_QUERY_JOBS:
	aw_jobs_ref_t jobs;
case AW_QUERY_RESULTS:
	aw_results_ref_t results;
};

struct aw_item_state_t {
	unsigned int index;
	aw_state_t state;
	unsigned int attempts;
	aw_bytes_t body;
};

struct aw_query_res_t {
	int status;
	aw_bytes_t message;
	aw_conf_t conf;
	aw_view_t view;
	aw_record_t record;
	aw_job_t jobs<>;		/* JOB: one; JOBS: a page */
	aw_item_state_t items<>;	/* RESULTS */
};

/* ---- RPC ---- */

struct aw_exec_arg_t {
	unsigned int group;
	unsigned int wait_ms;		/* time left */
	bool forward;			/* a process that doesn't lead passes it on to the leader */
	aw_bytes_t payload;		/* an encoded command or query */
};

struct aw_exec_res_t {
	int status;			/* status_t of the replication, not of the command */
	aw_bytes_t message;
	aw_bytes_t leader;		/* ip:port of the leader if known */
	aw_bytes_t payload;		/* the encoded answer */
};

struct aw_beat_arg_t {
	aw_member_t member;		/* session 0 asks for one */
	unsigned hyper conf_number;	/* in force at the sender */
	unsigned hyper view_version;
	bool forward;			/* as in aw_exec_arg_t */
};

struct aw_beat_res_t {
	int status;
	aw_bytes_t leader;
	unsigned hyper session;
	unsigned int lease_ms;		/* counted from when the sender sent */
	unsigned hyper conf_number;
	unsigned hyper view_version;
};

struct aw_raft_msg_t {
	unsigned int group;
	aw_bytes_t payload;
};

struct aw_raft_arg_t {
	aw_bytes_t from;		/* sender's ip:port */
	aw_raft_msg_t msgs<>;
};

struct aw_text_t {
	aw_bytes_t text;
};

struct aw_events_arg_t {
	aw_bytes_t needle;
	unsigned int max;
};

struct aw_load_t {
	aw_bytes_t id;			/* replica */
	unsigned hyper fence;
	int free_slots;
	int queued;
	int running;
	int step_us;			/* recent time between tokens */
	int drain_ms;			/* until a stream offered now would give its first token */
	unsigned hyper prefixes<>;	/* hashes of prefixes that its cache holds */
};

struct aw_load_arg_t {
	unsigned hyper session;
	aw_load_t loads<>;
};

program AUBURN_CONTROL {
	version AUBURN_CONTROL_V1 {
		aw_exec_res_t AUBURN_EXEC(aw_exec_arg_t) = 1;
		aw_exec_res_t AUBURN_QUERY(aw_exec_arg_t) = 2;
		aw_beat_res_t AUBURN_BEAT(aw_beat_arg_t) = 3;
		void AUBURN_RAFT(aw_raft_arg_t) = 4;
		aw_text_t AUBURN_STATUS(void) = 5;
		aw_text_t AUBURN_EVENTS(aw_events_arg_t) = 6;
	} = 1;
} = 0x20ab0001;

program AUBURN_PEER {
	version AUBURN_PEER_V1 {
		void AUBURN_LOAD(aw_load_arg_t) = 1;
	} = 1;
} = 0x20ab0002;
