/*
 * Messages on the links between entries (and control processes that don't lead) and the control
 * process that leads: one lw_msg_t a frame. Durations are milliseconds left when it was sent.
 */
#ifdef RPC_HDR
%#include "proto/aw_xdr.h"
#endif

/* A text that is or was in force. */
struct lw_text_id_t {
	unsigned hyper number;
	unsigned hyper digest;		/* of its bytes: numbers begin anew on empty disks */
};

/* A request or an item that an entry has at a replica. */
struct lw_run_t {
	unsigned hyper request;		/* the entry's number of an online request; 0 for an item */
	aw_bytes_t replica;
	aw_bytes_t job;
	unsigned int item;
};

/* A replica that said that it leaves. */
struct lw_leaver_t {
	aw_bytes_t replica;
	unsigned hyper born;		/* when it started, Unix ms; 0: not known */
};

struct lw_hello_t {
	aw_bytes_t name;
	aw_bytes_t addr;		/* ip:port for callers; empty for a control process */
	aw_bytes_t zone;
	bool draining;
	aw_bytes_t control;		/* ip:port of its RPC; empty for an entry */
	unsigned hyper replica;		/* id of its replica of group 0 */
	lw_text_id_t text;		/* whose routes it holds; number 0: none */
	lw_run_t runs<>;
	lw_leaver_t leavers<>;
};

struct lw_welcome_t {
	bool leads;
	aw_bytes_t leader;		/* ip:port of the leader's RPC, if known and another */
};

struct lw_share_t {
	aw_bytes_t service;
	hyper weight;
};

/* Times in ms; the fields are those of ru_route_t. */
struct lw_route_t {
	aw_bytes_t name;
	aw_bytes_t host;
	aw_bytes_t prefix;
	unsigned int kind;
	lw_share_t shares<>;
	hyper timeout_ms;
	hyper objective_ms;
	hyper pause_ms;
	hyper patience_ms;
	hyper due_ms;
	hyper retention_ms;
	hyper attempts;
	hyper priority;
	hyper waiting_tokens_max;
	bool resumable;
};

struct lw_route_key_t {
	aw_bytes_t host;
	aw_bytes_t prefix;
};

struct lw_service_t {
	aw_bytes_t name;
	aw_bytes_t health_path;
	hyper slots;
	hyper connections_max;
};

/* What makes the routes of one text of those of another, or of none. */
struct lw_routes_t {
	unsigned hyper label;		/* the operators' own number of the text */
	hyper header_bytes;
	hyper body_bytes;
	hyper header_ms;
	hyper idle_ms;
	lw_service_t services<>;	/* all of them */
	lw_route_t put<>;		/* added or changed */
	lw_route_key_t removed<>;
};

/* The routes in force. */
struct lw_conf_t {
	lw_text_id_t text;
	lw_text_id_t base;		/* that the change is made on; number 0: none */
	unsigned int size;		/* of the change, unpacked */
	aw_bytes_t change;		/* an lw_routes_t, deflated */
};

struct lw_upstream_t {
	aw_bytes_t id;
	aw_bytes_t addr;
	aw_bytes_t zone;
	aw_bytes_t service;
	unsigned int slots;
	bool leaving;
	unsigned hyper born;		/* when it started, Unix ms; 0: not known */
};

struct lw_entry_t {
	aw_bytes_t addr;
	aw_bytes_t zone;
};

struct lw_view_t {
	unsigned int age_ms;		/* of the list of upstreams; UINT32_MAX: never read */
	bool has_upstreams;		/* else those told before stand */
	lw_upstream_t upstreams<>;
	bool has_entries;
	lw_entry_t entries<>;		/* that take callers */
	aw_bytes_t controls<>;		/* ip:port of the RPC of each known control process */
};

/* Asks for a place at a replica for an online request. */
struct lw_ask_t {
	unsigned hyper request;
	aw_bytes_t service;
	unsigned int priority;		/* 0 goes first */
	bool resumed;			/* goes on with a stream that its caller reads already */
	bool returning;			/* its caller has waited elsewhere already */
	int objective_ms;		/* left until the first byte is due; negative when it is past */
	int deadline_ms;		/* left until its caller gives up */
	int leaves_ms;			/* left until its caller leaves unless an event has come */
	unsigned hyper prefix;		/* hash of the shared parts of its prompt */
	aw_bytes_t avoid<>;		/* replicas that failed it */
};

struct lw_grant_t {
	unsigned hyper request;
	aw_bytes_t replica;
	aw_bytes_t addr;		/* ip:port of the replica */
	unsigned hyper born;
};

struct lw_refuse_t {
	unsigned hyper request;
	int retry_ms;
};

enum lw_outcome_t {
	LW_OK = 0,
	LW_FULL = 1,			/* the replica said that it didn't run it for want of room */
	LW_GONE = 2,			/* no connection, or another replica answers there */
	LW_BROKEN = 3,			/* the answer ended early or was malformed */
	LW_SILENT = 4,			/* no event came for too long */
	LW_FAILED = 5,			/* the replica answered with a failure */
	LW_LEFT = 6,			/* the caller left, or the run was stopped */
	LW_LEAVES = 7			/* the replica had said that it leaves, and wasn't asked */
};

struct lw_ended_t {
	unsigned hyper request;
	aw_bytes_t replica;
	lw_outcome_t outcome;
	int first_ms;			/* until the first byte; -1: none came */
};

struct lw_item_run_t {
	aw_bytes_t job;
	unsigned int item;
	aw_bytes_t id;
	aw_bytes_t host;
	aw_bytes_t path;
	aw_bytes_t headers;		/* lines that end with CRLF */
	aw_bytes_t body;
	aw_bytes_t replica;
	aw_bytes_t addr;		/* ip:port of the replica */
	unsigned hyper born;
	aw_bytes_t text;		/* made by earlier runs */
	unsigned int events;		/* that text holds */
	int deadline_ms;
};

struct lw_item_ref_t {
	aw_bytes_t job;
	unsigned int item;
};

enum lw_item_end_t {
	LW_ITEM_DONE = 0,
	LW_ITEM_IMPOSSIBLE = 1,		/* the replica says that it can never be done */
	LW_ITEM_FAILED = 2,		/* the replica answered with a failure */
	LW_ITEM_BACK = 3		/* not finished: stopped, or its replica was lost */
};

struct lw_item_ended_t {
	aw_bytes_t job;
	unsigned int item;
	aw_bytes_t replica;
	lw_item_end_t end;
	lw_outcome_t outcome;
	aw_bytes_t text;
	unsigned int events;
};

/* Events of a running item since the last report. */
struct lw_item_progress_t {
	aw_bytes_t job;
	unsigned int item;
	unsigned int from;
	unsigned int events;
	aw_bytes_t text;
};

enum lw_call_kind_t {
	LW_CALL_OPEN = 1,
	LW_CALL_READ = 2,
	LW_CALL_BODY = 3,
	LW_CALL_END = 4,
	LW_CALL_SUBMIT = 5,
	LW_CALL_CONF = 6,
	LW_CALL_RETIRE = 7,		/* empty a control process */
	LW_CALL_RETIRED = 8		/* how far that is */
};

struct lw_read_t {
	aw_bytes_t job;
	unsigned int after;
	int wait_ms;
};

struct lw_body_t {
	aw_bytes_t job;
	aw_bytes_t item;
};

union lw_what_t switch (lw_call_kind_t kind) {
case LW_CALL_OPEN:
	aw_lot_open_t open;
case LW_CALL_READ:
	lw_read_t read;
case LW_CALL_BODY:
	lw_body_t body;
case LW_CALL_END:
	aw_bytes_t job;
case LW_CALL_SUBMIT:
	aw_bytes_t text;
case LW_CALL_CONF:
	void;
case LW_CALL_RETIRE:
case LW_CALL_RETIRED:
	aw_bytes_t node;
};

struct lw_call_t {
	unsigned hyper id;
	lw_what_t what;
};

struct lw_result_t {
	aw_bytes_t item;
	bool dead;
	aw_bytes_t text;
};

struct lw_reply_t {
	unsigned hyper id;
	int status;			/* status_t */
	aw_bytes_t message;
	aw_bytes_t bytes;		/* BODY, CONF */
	unsigned int total;		/* READ: items of the job */
	lw_result_t results<>;		/* READ */
	bool empty;			/* RETIRED: it holds nothing any more */
};

enum lw_kind_t {
	LW_HELLO = 1,
	LW_WELCOME = 2,
	LW_CONF = 3,
	LW_VIEW = 4,
	LW_ASK = 5,
	LW_GRANT = 6,
	LW_REFUSE = 7,
	LW_DROP = 8,			/* the caller of a waiting request left */
	LW_ENDED = 9,
	LW_ITEM_RUN = 10,
	LW_ITEM_STOP = 11,
	LW_ITEM_ENDED = 12,
	LW_CALL = 13,
	LW_REPLY = 14,
	LW_PING = 15,
	LW_ITEM_PROGRESS = 16,
	LW_LEAVER = 18,
	LW_HOLDS = 17			/* the sender has the routes of this text in force */
};

union lw_msg_t switch (lw_kind_t kind) {
case LW_HELLO:
	lw_hello_t hello;
case LW_WELCOME:
	lw_welcome_t welcome;
case LW_CONF:
	lw_conf_t conf;
case LW_VIEW:
	lw_view_t view;
case LW_ASK:
	lw_ask_t ask;
case LW_GRANT:
	lw_grant_t grant;
case LW_REFUSE:
	lw_refuse_t refuse;
case LW_DROP:
	unsigned hyper request;
case LW_ENDED:
	lw_ended_t ended;
case LW_ITEM_RUN:
	lw_item_run_t run;
case LW_ITEM_STOP:
	lw_item_ref_t stop;
case LW_ITEM_ENDED:
	lw_item_ended_t item_ended;
case LW_ITEM_PROGRESS:
	lw_item_progress_t progress;
case LW_LEAVER:
	lw_leaver_t leaver;
case LW_HOLDS:
	lw_text_id_t holds;
case LW_CALL:
	lw_call_t call;
case LW_REPLY:
	lw_reply_t reply;
case LW_PING:
	void;
};
