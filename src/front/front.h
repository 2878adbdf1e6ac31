/**
 * auburn-front, an entry process: matches callers' requests with the operators' routes, runs them
 * on replicas and relays the answers; runs batch items for the leader. The leader is the control
 * process whose dispatcher assigns the replicas' slots to requests and items of all entries. A lot
 * is a batch of items that a caller submits in one request.
 *
 * One event loop, one thread for decoding configs, no durable state. This header is shared by the
 * files of the process.
 */
#ifndef AUBURN_FRONT_H
#define AUBURN_FRONT_H

#include <ev.h>
#include <uthash.h>
#include "base/toml.h"
#include "client/leader_link.h"
#include "client/upstream_list.h"
#include "net/http_server.h"
#include "net/http_client.h"
#include "net/sse.h"
#include "net/timeout.h"
#include "net/worker.h"
#include "platform/platform.h"
#include "policy/answer.h"
#include "policy/dispatch.h"
#include "policy/drain.h"
#include "policy/intake.h"
#include "policy/item_failures.h"
#include "policy/leaving.h"
#include "policy/poison.h"
#include "policy/proof.h"
#include "policy/quarantine.h"
#include "policy/quota.h"
#include "policy/reach.h"
#include "state/route_table.h"

typedef struct {
	char *name;
	char *zone;
	char *listen; /* ip:port for callers */
	char *directory; /* ip:port at which callers look up entries; may be NULL */
	char *ready; /* ip:port for the platform's readiness checks; may be NULL */
	char *metrics; /* ip:port of /metrics; may be NULL */
	char *upstream_list; /* ip:port of the replica list; may be NULL */
	toml_strs_t controls; /* ip:port at which control processes accept RPC */
	int64_t rpc_port; /* accepted but not used */
	int64_t link_port; /* port on which all control processes accept links from entries */
	int64_t grace_s; /* maximum duration of a planned stop */
	int64_t revoke_ms; /* within which a revoked key stops working, also at an entry that is cut
			      off; 0: only as configs arrive */
	double capacity; /* relative to other entries, e.g. a number of cores; 0: unknown */
	int64_t memory_mib; /* memory of the machine; 0: unknown */
	int64_t client_memory_mib; /* bound on buffers of clients; 0: a part of memory_mib */
	int64_t client_connections; /* bound on connections of clients; 0: by the descriptors */
} front_settings_t;

/** Loads the settings file. *s is to be freed after a failure, too. */
status_t front_settings_load(const char *path, front_settings_t *s);
void front_settings_free(front_settings_t *s);

typedef struct front_request front_request_t;
typedef struct front_item front_item_t;
typedef struct front_held front_held_t;
typedef struct front_reach front_reach_t;
typedef struct front_hop front_hop_t;
typedef struct front_load front_load_t;

/** A replica in this entry's view. */
typedef struct {
	char *id;
	char *addr;
	uint64_t start_time;
	UT_hash_handle hh;
} front_replica_t;

typedef struct {
	front_settings_t settings;
	struct ev_loop *loop;
	intake_t *intake; /* bounds on what the clients of all listeners hold */
	http_server_t *callers;
	http_server_t *directory;
	http_server_t *ready;
	http_server_t *metrics;
	http_client_t *http;
	leader_link_t *leader;
	upstream_list_t *upstream_list;
	deadline_t next_list_read; /* when this process next reads the replica list itself */
	ev_timer tick;
	ev_signal term;
	ev_signal hup;
	drain_stop_t stop; /* in progress; its times are 0 if there is none */
	deadline_t accept_until; /* during a stop: new connections are accepted until then */
	deadline_t idle_since; /* 0 while connections are accepted; then the last time at which a
				  request was open, at first the time when accepting stopped */
	drain_t *drain; /* how long requests take */
	const char *settings_path;
	route_table_t *routes; /* NULL until the first config is in force */
	uint64_t routes_version;
	link_config_id_t config_id; /* of the config that routes belongs to */
	proof_t proof; /* that the config in force is the newest */
	bool proof_valid; /* as of the last look */
	deadline_t proof_lost_at; /* 0: never */
	bool leader_counts; /* the linked leader counts requests against quotas */
	deadline_t next_question; /* which config is the newest */
	quota_t *quota; /* this entry's share of the quotas, for when there is no leader */
	unsigned fleet_entries; /* as the last leader said; 0: unknown */
	worker_pool_t *decoder; /* one thread: decodes one config at a time */
	bool decoding; /* decoder is decoding a config */
	deadline_t next_routes_try; /* when a config is asked for again; 0: the last one was read */
	link_config_t pending_config; /* the last that arrived during decoding; owned */
	link_view_t view; /* replicas, entries and control processes, as the leader last sent them;
			     without a leader, the replicas may be from upstream_list */
	link_entry_capacities_t capacities; /* of the entries in the view */
	front_replica_t *replicas; /* hash by id, from view */
	front_hop_t *hops;
	u_int leader_last_kind; /* of the messages that the leader knows, as it said; 0: it said
				   nothing */
	size_t item_text_bytes; /* of all items */
	link_item_patience_t patience; /* of the next run, as the leader told it; owned */
	item_failures_t *item_failures;
	uint64_t hop_random; /* state of prng_next() */
	front_reach_t *reach; /* whether this process reaches the replicas */
	struct front_pause *pause;
	leaving_t *leaving_replicas; /* as they announced to this process, or the leader told it */
	quarantine_t *quarantine; /* prompt parts that crash replicas */
	bool leader_quarantines; /* the linked leader counts the crashes */
	poison_t *poison; /* requests that crash replicas */
	bool leader_holds; /* the linked leader counts the crashes of requests */
	dispatch_t *local_dispatch; /* used while no leader is connected, NULL otherwise */
	uint64_t last_request; /* number of the latest online request */
	front_request_t *requests; /* hash by number */
	front_item_t *items; /* running, or ended and not reported yet */
	front_held_t *held; /* requests that wait for the first config */
	deadline_t started;
	bool speeds_stated; /* a replica has stated how long work takes */
	front_load_t *loads; /* hash by id: what replicas have said since the last report */
	deadline_t next_load_report;
	size_t buffered_bytes; /* total size of the `body` buffers of all online requests */
} front_t;

/* front_link.c: the link to the leader, and the replicas in the view */

void front_link_start(front_t *f);
/** While there is no leader: runs the local dispatcher and, after a while, stops the items and
 * reads the replica list. */
void front_link_tick(front_t *f, deadline_t now);
/** Tells the leader the capacity in the settings. */
void front_link_report_capacity(front_t *f);
/** True if the leader has said that it knows this kind of message. Those up to LINK_REQUEST_SOUND
 * have signs of their own. */
bool front_leader_knows(const front_t *f, link_kind_t kind);
/** Finds a replica in the view, or NULL. */
const front_replica_t *front_find_replica(const front_t *f, str_t id);
/** Records that a replica announced that it leaves; reports this to the leader and to the local
 * dispatcher unless it was known. */
void front_replica_leaving(front_t *f, replica_ref_t r);
/** True if the replica has announced, to any entry, that it leaves. */
bool front_replica_leaves(const front_t *f, replica_ref_t r);

/** Carries out a grant or an order to run an item. */
void front_link_carry_out(front_t *f, const link_msg_t *m);

/* front_pause.c: what the leader sent before and during a pause of this process */

typedef struct front_pause front_pause_t;

void front_pause_start(front_t *f);
/** True if the message is held until the link has been read. One that stops a held item ends it. */
bool front_pause_holds(front_t *f, const link_msg_t *m);
/** True after a pause until the link has been read: the leader may have dropped it. */
bool front_pause_is_reading(const front_t *f);
/** Drops the held messages: the leader has given them up. */
void front_pause_link_down(front_t *f);

/* front_routes.c: the route table in force */

void front_routes_start(front_t *f);
/** Decodes a config from the leader, a whole one or a delta. Then puts the config in force, unless
 * it is unreadable or not newer, and acknowledges it in either case. For a delta whose base is not
 * the config in force, only reports the id of the config in force. Of the configs that arrive
 * during decoding, only the last is decoded. */
void front_routes_update(front_t *f, const link_config_t *m);
/** Asks again for a config that could not be decoded. */
void front_routes_tick(front_t *f, deadline_t now);
/** Tells the leader that this config is in force here, which also asks it for the newest one. */
void front_routes_report(front_t *f, link_config_id_t id);

/* front_customer.c: customers, their API keys and their quotas */

/** Who calls. */
typedef struct {
	const customer_t *customer; /* in the config in force; NULL: none is known */
	customer_key_t key;
} front_caller_t;

/** What a call does with the key of its caller, if the config has customers. */
typedef enum {
	FRONT_KEY_IGNORED,
	FRONT_KEY_OPTIONAL, /* a known key tells the customer; a caller without one is nobody */
	FRONT_KEY_NEEDED
} front_key_use_t;

void front_customer_start(front_t *f);
/** Records that the leader was asked for the newest config. */
void front_customer_asked(front_t *f);
void front_customer_link_up(front_t *f);
void front_customer_link_down(front_t *f);
/** Asks for the newest config once in a period, and logs the loss of the proof. */
void front_customer_tick(front_t *f, deadline_t now);
/** Handles the leader's answer which config is the newest. */
void front_customer_newest(front_t *f, const link_config_id_t *id);
/** Identifies the caller of a request. Returns false if the request was answered, with 401, or is
 * held or refused for want of a proof. */
bool front_identify(front_t *f, http_conn_t *c, const http_request_t *r,
		    const platform_call_t *call, front_key_use_t use, front_caller_t *out);
/** Answers a request with 401. id: its own; reason: for the log. */
void front_refuse_key(front_t *f, http_conn_t *c, str_t id, const char *reason);
/** False if the config in force no longer has the key with which the request was sent. */
bool front_request_key_is_valid(const front_request_t *q);
/** Counts a request against the quota of its customer, unless it is counted already: here, or by
 * the leader, which refuses it later if it does not fit. If it does not fit here, returns false and
 * sets *retry_ms. */
bool front_quota_take(front_t *f, front_request_t *q, int64_t *retry_ms);
/** Gives back the count of a request that has not run. */
void front_quota_return(front_t *f, front_request_t *q);
/** Handles the leader's refusal of a request, here or at another entry, because of a quota. */
void front_quota_exceeded(front_t *f, const link_over_quota_t *m);
/** Limits a time after which a request fits into a quota. */
int64_t front_quota_retry_ms(int64_t retry_ms);

/* front_slot.c: slot requests to the leader or, while there is none, to a local dispatcher */

void front_slot_request(front_t *f, front_request_t *q);
/** Withdraws a request that waits for a slot. */
void front_slot_withdraw(front_t *f, front_request_t *q);
/** Releases the slot of a running request. how: the outcome of its attempt. */
void front_slot_release(front_t *f, front_request_t *q, dispatch_outcome_t how);
/** Frees the local dispatcher and requests slots for the waiting requests from the leader. */
void front_slot_leader_up(front_t *f);
/** Creates the local dispatcher, registers the running requests with it, and requests slots for the
 * waiting requests from it. */
void front_slot_leader_down(front_t *f);
/** Passes the replicas in the view on to the local dispatcher, if there is one. */
void front_slot_set_replicas(front_t *f);

/* front_reach.c: whether this entry reaches the replicas */

void front_reach_start(front_t *f);
/** Probes while in doubt. */
void front_reach_tick(front_t *f, deadline_t now);
/** A connection to the replica was made. */
void front_reach_connected(front_t *f, str_t replica);
/** An answer of the replica has begun. */
void front_reach_heard(front_t *f, str_t replica);
void front_reach_failed(front_t *f, str_t replica, reach_failure_t how);
/** True while this entry reaches no replica: it refuses online requests. */
bool front_is_cut_off(const front_t *f);
/** True if all entries are cut off, as far as this one knows. */
bool front_all_cut_off(const front_t *f);

/* front_hop.c: requests handed to another entry */

/** Hands a request that has not run to an entry that reaches replicas; false if none is known. */
bool front_hop_start(front_t *f, http_conn_t *c, const http_request_t *r, str_t id,
		     deadline_t deadline);
/** The caller has read what was written of the answer. */
void front_hop_caller_read(front_hop_t *p);
void front_hop_caller_left(front_hop_t *p);
/** Ends all handed-over requests with an answer, as the process ends. */
void front_hop_end_all(front_t *f);

/* front_quarantine.c: prompt parts that crash replicas */

void front_quarantine_start(front_t *f);
/** Tells the leader that this process knows the messages on prompt parts. */
void front_quarantine_offer(front_t *f);
void front_quarantine_link_down(front_t *f);
/** Handles the leader's list of suspected and blocked parts. */
void front_quarantine_update(front_t *f, const link_prompt_parts_t *m);
/** The answer to a prompt with these parts has begun. */
void front_quarantine_began(front_t *f, replica_ref_t replica, const prompt_parts_t *parts);
/** The replica has answered. */
void front_quarantine_alive(front_t *f, replica_ref_t replica);
/** The parts that may have crashed a replica: those with which no answer has just begun. */
void front_quarantine_suspects(const front_t *f, const prompt_parts_t *parts, prompt_parts_t *out);
/** The connection to the replica has ended before the answer to the request began. began: the run;
 * key: of an online request; NULL: an item. */
void front_quarantine_broke(front_t *f, str_t request, replica_ref_t replica,
			    const prompt_parts_t *parts, deadline_t began, const poison_key_t *key);
void front_quarantine_tick(front_t *f, deadline_t now);

/* front_poison.c: requests that crash replicas */

/** The connection of a run that ended before its answer was whole. */
typedef struct {
	str_t request; /* its id */
	replica_ref_t replica;
	poison_key_t key;
	const prompt_parts_t *parts;
	bool answer_began;
	deadline_t began_at; /* the run */
} front_crash_t;

void front_poison_start(front_t *f);
/** Tells the leader that this process knows the messages on these requests, and the held ones. */
void front_poison_offer(front_t *f);
void front_poison_link_down(front_t *f);
/** Handles the leader's list of suspected and held requests. */
void front_poison_update(front_t *f, const link_poisons_t *m);
void front_poison_crash(front_t *f, const front_crash_t *c);
/** A run of a request that crashed replicas before has ended with a whole answer. */
void front_poison_sound(front_t *f, const poison_key_t *key);
void front_poison_tick(front_t *f, deadline_t now);

/* front_load.c: what replicas say of their load */

void front_load_note(front_t *f, replica_ref_t replica, const platform_load_t *load);
/** Passes the figures on once in a period. */
void front_load_tick(front_t *f, deadline_t now);

/* front_attempt.c: one attempt to run a request or an item on a replica */

typedef struct front_attempt front_attempt_t;

/** How the request or item judges an event of the answer. */
typedef enum {
	FRONT_EVENT_NEW, /* the next event of the stream */
	FRONT_EVENT_NO_PROGRESS, /* repeated, or without an id */
	FRONT_EVENT_INVALID /* its id leaves a gap, or the limit of buffered bytes is reached */
} front_attempt_event_t;

typedef enum {
	FRONT_ATTEMPT_DONE, /* the answer is whole, see policy/answer.h */
	FRONT_ATTEMPT_UNSENT, /* no byte was written: the replica did not get the request */
	FRONT_ATTEMPT_BROKEN, /* the answer is not whole, had too many events in a row without
				 progress, lacked the id on a reused connection, or was rejected by
				 the callback event or bytes */
	FRONT_ATTEMPT_SILENT /* no event within the silence timeout */
} front_attempt_end_t;

typedef struct {
	front_t *f;
	str_t request; /* bytes to send; copied */
	str_t id; /* of the request; answers with another id are skipped */
	replica_ref_t replica; /* copied */
	prompt_parts_t prompt; /* parts of the prompt of the request */
	const char *addr;
	bool new_connection; /* don't reuse an idle connection, which the replica may be closing */
	int64_t first_event_ms; /* silence timeout until the first event; 0: none */
	int64_t event_gap_ms; /* silence timeout between events; 0: none */
	void *ctx;
	void (*head)(void *ctx, const http_head_t *h, const platform_reply_t *r);
	/** FRONT_EVENT_INVALID ends the attempt as broken. */
	front_attempt_event_t (*event)(void *ctx, const sse_event_t *e);
	/** Body bytes of an answer that is not a signed event stream with status 200. False ends
	 * the attempt as broken. */
	bool (*bytes)(void *ctx, str_t piece);
	/** The connection ended before the answer was whole; before end. NULL: the quarantine is
	 * told of it. */
	void (*cut)(void *ctx, replica_ref_t replica, bool answer_began, deadline_t began_at);
	/** Called once, unless the attempt is cancelled; the attempt is freed afterwards. */
	void (*end)(void *ctx, front_attempt_end_t how);
} front_attempt_options_t;

front_attempt_t *front_attempt_start(const front_attempt_options_t *o);
/** True once a byte of the request was written: the replica may run it. */
bool front_attempt_sent(const front_attempt_t *a);
/** Stops reading the answer, without a silence timeout, or goes on. */
void front_attempt_pause(front_attempt_t *a, bool paused);
bool front_attempt_is_paused(const front_attempt_t *a);
void front_attempt_cancel(front_attempt_t *a);

/* front_request.c: an online request */

typedef enum {
	FRONT_REQUEST_WAITING, /* for a slot */
	FRONT_REQUEST_RUNNING /* on a replica */
} front_request_state_t;

/** Who counts a request against the quota of its customer. */
typedef enum {
	FRONT_NOT_COUNTED,
	FRONT_COUNTED_HERE,
	FRONT_ASKS_LEADER_TO_COUNT, /* with the next slot request */
	FRONT_COUNTED_BY_LEADER
} front_count_t;

struct front_request {
	front_t *f;
	http_conn_t *conn;
	http_request_t req;
	platform_call_t call;
	uint64_t number; /* identifies the request in messages to the leader */
	front_request_state_t state;
	char service[64];
	char replica[DISPATCH_ID_KEPT + 1]; /* of the current or last attempt */
	char *customer; /* name; NULL: the route needs no key */
	customer_key_t key; /* with which it was sent, if customer is set */
	front_count_t counted_by;
	route_kind_t kind;
	bool resumable;
	bool returning; /* the caller has probably waited at another entry: the request counts as
			   past its objective */
	unsigned max_attempts;
	unsigned priority;
	uint64_t drain_kind; /* hash of its route */
	int64_t pause_ms; /* maximum pause between events, from the route */
	int64_t give_up_ms; /* the caller leaves after this time without an event; 0: it waits until
			       the deadline */
	deadline_t objective;
	deadline_t deadline;
	deadline_t give_up_at; /* when the caller leaves unless it gets another event first */
	timeout_t timer; /* expires at the deadline */
	front_attempt_t *attempt;
	platform_reply_t reply; /* decoded head of the current answer, without the id */
	bool head_sent; /* to the caller */
	bool may_have_run; /* an attempt failed after the replica may have started the request */
	bool probes; /* its hold ran out, and this entry tries it */
	unsigned attempts; /* that may have run on a replica, including the current one */
	unsigned not_run; /* attempts that a replica rejected or did not receive, without those that
			     were not sent because the replica leaves */
	long long last_event; /* id of the last event that the caller has */
	char avoid[DISPATCH_AVOID_MAX][64]; /* replicas of the first failed attempts */
	unsigned navoid;
	buf_t headers; /* of the answer */
	buf_t body; /* bytes of the answer not yet sent to the caller */
	deadline_t requested_at; /* when the current or last slot was first requested */
	deadline_t granted_at;
	int64_t first_byte_ms; /* time until the answer to the caller began; -1: it has not */
	int64_t slot_wait_ms; /* total time spent waiting for slots */
	UT_hash_handle hh;
};

/** Begins an online request: requests its first slot. */
void front_request_begin(front_t *f, http_conn_t *c, const http_request_t *r,
			 const platform_call_t *call, const route_spec_t *route,
			 const front_caller_t *caller);
/** An entry stops reading a replica's answer once its caller has left this many bytes unread, and
 * goes on when the caller has read them. */
#define FRONT_UNREAD_BYTES 262144
/** The caller has read what was written of the answer. */
void front_request_caller_read(front_request_t *q);
void front_request_caller_left(front_request_t *q);
/** A slot was granted: starts an attempt on the replica. If the replica leaves or its address is
 * unknown (addr is empty), requests another slot instead; ends the request if an unknown address
 * brings not_run to its limit. */
void front_request_granted(front_request_t *q, replica_ref_t replica, str_t addr);
/** No slot was granted: ends the request. */
void front_request_refused(front_request_t *q, int64_t retry_ms);
/** The customer's quota is used up: ends the request. by: who counted, for the log. */
void front_request_over_quota(front_request_t *q, int64_t retry_ms, const char *by);
/** This entry is cut off from the replicas: ends the requests that wait for a slot or connect. */
void front_request_end_unsent(front_t *f);
/** Ends a request that has had no event if a part of its prompt is blocked; returns true then. */
bool front_request_check_quarantine(front_request_t *q);
/** Ends a request that is held because it crashes replicas; returns true then. */
bool front_request_check_poison(front_request_t *q);
/** While this process stops: ends the requests that wait for a slot and can't end in time. */
void front_request_refuse_late(front_t *f);
/** Answers, or aborts, all requests: this process ends. */
void front_request_end_all(front_t *f);
/** True while the request waits for a slot. */
bool front_request_is_waiting(const front_request_t *q);
front_request_t *front_request_find(front_t *f, uint64_t number);

/* front_item.c: runs of batch items */

/** Runs an item on the replica that the leader chose; gives it back before the first config.
 * Cancels an earlier run of the item here. */
void front_item_run(front_t *f, const link_item_run_t *m);
/** Sets how long the replica may be silent in the run that the leader orders next. */
void front_item_set_patience(front_t *f, const link_item_patience_t *m);
/** Reports an item as unfinished that has not been run. reason: for the log; a literal. */
void front_item_give_back(front_t *f, const link_item_run_t *m, const char *reason);
void front_item_stop(front_t *f, const link_item_ref_t *m);
/** Stops all items, so that the leader can run them elsewhere. */
void front_item_stop_all(front_t *f);
/** Reports the items that ended but were not reported. */
void front_item_report_ends(front_t *f);
void front_item_start(front_t *f);
/** Answers a new leader's question for the failures reported to earlier ones. */
void front_item_report_failures(front_t *f);
/** A leader has connected: reports the items that ended before, and lets the next report of each
 * other item begin with its first event. */
void front_item_leader_up(front_t *f);
/** Reports the new events of each running item, at most once in a period; does nothing without a
 * leader. */
void front_item_report_progress(front_t *f, deadline_t now);
/** Lists the items that run, and those whose end is still to be reported; returns their number, at
 * most max. */
size_t front_item_runs(const front_t *f, link_run_t *out, size_t max);
/** Number of items that run, or that ended and are not reported yet. */
size_t front_item_count(const front_t *f);

/* front_held.c: requests that arrive before the first config, or before the first proof */

/** Holds a request. missing: what it waits for; since: when that was first missing, some seconds
 * ago: the request is refused instead. */
void front_held_add(front_t *f, http_conn_t *c, const http_request_t *r, const char *missing,
		    deadline_t since);
/** Serves all held requests; called when a config is in force, or proved to be the newest. */
void front_held_release(front_t *f);
/** Refuses the requests that were held for too long. */
void front_held_expire(front_t *f, deadline_t now);

/* main.c */

/** True from the signal to stop on. */
static inline bool front_is_stopping(const front_t *f)
{
	return f->stop.exit_by != 0;
}

/** Begins to answer a request: as a lot call, or by the route that it matches. */
void front_serve(front_t *f, http_conn_t *c, const http_request_t *r);

/* front_lot.c: calls that open, read and end batch lots */

/** A request to a batch route: opens a lot with the items in its body. */
void front_lot_open(front_t *f, http_conn_t *c, const http_request_t *r,
		    const platform_call_t *call, const route_spec_t *route,
		    const front_caller_t *caller);
/** Reads a lot's results or the body submitted for one of its open items, or ends the lot. A caller
 * without a key finds the lots that were opened without one, and gets 401 if there is none. */
void front_lot_call(front_t *f, http_conn_t *c, const platform_call_t *call,
		    const front_caller_t *caller);

/** The data of a caller's connection while a request is answered: this struct, or one that begins
 * with it. */
typedef struct {
	enum { FRONT_CONN_REQUEST, FRONT_CONN_LOT, FRONT_CONN_HELD, FRONT_CONN_HOP } kind;
	void *target; /* FRONT_CONN_REQUEST: the front_request_t; FRONT_CONN_HOP: the front_hop_t;
			 otherwise the http_conn_t * to set to NULL when the caller leaves */
} front_conn_data_t;

#endif
