/**
 * auburn-front: answers callers according to the operators' routes, relays the replicas' answers to
 * them, and runs batch items for the leader's dispatcher. One thread, one event loop, no durable
 * state. This header is shared by the files of the process.
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
#include "policy/dispatch.h"
#include "policy/leaving.h"
#include "state/route_table.h"

/** Settings of the process. */
typedef struct {
	char *name;
	char *zone;
	char *listen; /* ip:port for callers */
	char *directory; /* ip:port at which callers look up entries; may be NULL */
	char *ready; /* ip:port for the platform's readiness checks; may be NULL */
	char *metrics; /* ip:port of /metrics; may be NULL */
	char *upstream_list; /* ip:port of the replica list; may be NULL */
	toml_strs_t controls; /* ip:port of the RPC of control processes */
	int64_t rpc_port; /* RPC port of all control processes; accepted but not used here */
	int64_t link_port; /* port on which control processes accept links */
	int64_t grace_s; /* maximum duration of a planned stop */
} front_settings_t;

status_t front_settings_load(const char *path, front_settings_t *s);
void front_settings_free(front_settings_t *s);

typedef struct front_request front_request_t;
typedef struct front_item front_item_t;
typedef struct front_held front_held_t;

/** A replica of the replica list. */
typedef struct {
	char *id;
	char *addr;
	uint64_t start_time;
	UT_hash_handle hh;
} front_replica_t;

typedef struct {
	front_settings_t settings;
	struct ev_loop *loop;
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
	deadline_t exit_by; /* end of a planned stop; 0 if none is in progress */
	deadline_t accept_until; /* during a stop: new connections are accepted until then */
	deadline_t idle_since; /* during a stop, after accept_until: the last time that a request
				  was open; 0 before */
	const char *settings_path;
	route_table_t *routes; /* NULL until the first config arrives */
	uint64_t routes_version;
	link_config_id_t config_id; /* of the config that routes belongs to */
	worker_pool_t *decoder; /* one thread, so that deltas are applied in order */
	bool decoding;
	link_config_t pending_config; /* arrived while another was being decoded; owned */
	link_view_t view; /* replicas, entries and control processes, from the leader; without a
			     leader, replicas are from upstream_list */
	front_replica_t *replicas; /* hash by id, from view */
	leaving_t *leaving_replicas; /* replicas whose announcement reached this process */
	dispatch_t *local_dispatch; /* used while no leader is connected, NULL otherwise */
	uint64_t last_request;
	front_request_t *requests; /* hash by number */
	front_item_t *items;
	front_held_t *held; /* requests that wait for the first config */
	deadline_t started;
	size_t buffered_bytes; /* total size of the `body` buffers of all online requests */
} front_t;

/* front_link.c: link to the leader, replicas */

void front_link_start(front_t *f);
void front_link_tick(front_t *f, deadline_t now);
/** Finds a listed replica, or NULL. */
const front_replica_t *front_find_replica(const front_t *f, str_t id);
/** Records that a replica announced that it leaves, and reports it to the leader. */
void front_replica_leaving(front_t *f, replica_ref_t r);

/* front_routes.c: the route table in force */

void front_routes_start(front_t *f);
/** Puts a config from the leader in force and acknowledges it. */
void front_routes_update(front_t *f, const link_config_t *m);

/* front_slot.c: requests slots from the leader or, without one, from a local dispatcher */

void front_slot_request(front_t *f, front_request_t *q);
/** Withdraws a request that waits for a slot. */
void front_slot_withdraw(front_t *f, front_request_t *q);
/** Releases the slot of a request; how: the outcome of its attempt. */
void front_slot_release(front_t *f, front_request_t *q, dispatch_outcome_t how);
/** Frees the local dispatcher and requests the slots of waiting requests from the leader. */
void front_slot_leader_up(front_t *f);
/** Creates the local dispatcher, registers the running requests with it, and requests the slots of
 * waiting requests from it. */
void front_slot_leader_down(front_t *f);
/** Passes the replica list on to the local dispatcher, if there is one. */
void front_slot_set_replicas(front_t *f);

/* front_attempt.c: one attempt to run a request or an item on a replica */

typedef struct front_attempt front_attempt_t;

/** The request's or item's verdict on an event of the answer. */
typedef enum {
	FRONT_EVENT_NEW, /* the next event of the stream */
	FRONT_EVENT_NO_PROGRESS, /* repeated, or without an id */
	FRONT_EVENT_INVALID /* its id leaves a gap, or it can't be buffered for lack of memory */
} front_attempt_event_t;

typedef enum {
	FRONT_ATTEMPT_DONE, /* the answer is complete */
	FRONT_ATTEMPT_UNSENT, /* the replica certainly did not receive the request */
	FRONT_ATTEMPT_BROKEN, /* the answer ended early, was malformed or too long, or was rejected
				 by the callback event or bytes */
	FRONT_ATTEMPT_SILENT /* no event within the silence timeout */
} front_attempt_end_t;

typedef struct {
	front_t *f;
	str_t request; /* bytes to send; copied */
	str_t id; /* of the request; answers with another id are ignored */
	replica_ref_t replica; /* copied */
	const char *addr;
	bool new_connection; /* don't reuse a kept-alive connection */
	int64_t first_event_ms; /* silence timeout until the first event; 0: none */
	int64_t event_gap_ms; /* silence timeout between events; 0: none */
	void *ctx;
	void (*head)(void *ctx, const http_head_t *h, const platform_reply_t *r);
	/** FRONT_EVENT_INVALID ends the attempt as broken. */
	front_attempt_event_t (*event)(void *ctx, const sse_event_t *e);
	/** Body bytes of an answer that is not an event stream, or the bytes that follow the last
	 * complete event of a stream. False ends the attempt as broken. */
	bool (*bytes)(void *ctx, str_t piece);
	/** Called once, unless the attempt is cancelled; the attempt is freed afterwards. */
	void (*end)(void *ctx, front_attempt_end_t how);
} front_attempt_options_t;

front_attempt_t *front_attempt_start(const front_attempt_options_t *o);
void front_attempt_cancel(front_attempt_t *a);

/* front_request.c: an online request */

typedef enum {
	FRONT_REQUEST_WAITING, /* for a slot */
	FRONT_REQUEST_RUNNING /* on a replica */
} front_request_state_t;

struct front_request {
	front_t *f;
	http_conn_t *conn;
	http_request_t req;
	platform_call_t call;
	uint64_t number;
	front_request_state_t state;
	char service[64];
	char replica[64]; /* of the current or last attempt */
	route_kind_t kind;
	bool resumable;
	bool returning; /* the caller has waited at another entry, so the objective is past */
	unsigned max_attempts;
	unsigned priority;
	int64_t pause_ms; /* maximum pause between events, from the route */
	int64_t give_up_ms; /* the caller leaves after this time without an event; 0: it waits until
			       the deadline */
	deadline_t objective;
	deadline_t deadline;
	deadline_t give_up_at; /* when the caller leaves unless it gets another event first */
	timeout_t timer; /* expires at the deadline */
	front_attempt_t *attempt;
	platform_reply_t reply; /* its views are valid only while the head is handled */
	bool head_sent; /* to the caller */
	bool may_have_run; /* an attempt failed after the replica may have started the request */
	bool first_seen; /* unused */
	unsigned attempts; /* that may have run on a replica, including the current one */
	unsigned not_run; /* attempts that a replica rejected or did not receive */
	long long last_event; /* id of the last event sent to the caller */
	char avoid[DISPATCH_AVOID_MAX][64]; /* replicas on which an attempt failed */
	unsigned navoid;
	buf_t headers; /* of the answer */
	buf_t body; /* bytes of the answer not yet sent to the caller */
	deadline_t requested_at; /* when the current or last slot was requested */
	deadline_t granted_at;
	int64_t first_byte_ms; /* time from the request to the first byte sent; -1: none yet */
	int64_t slot_wait_ms; /* total time spent waiting for slots */
	UT_hash_handle hh;
};

/** Begins an online request: requests its first slot. */
void front_request_begin(front_t *f, http_conn_t *c, const http_request_t *r,
			 const platform_call_t *call, const route_spec_t *route);
void front_request_caller_left(front_request_t *q);
/** A slot was granted: starts an attempt on the replica. */
void front_request_granted(front_request_t *q, replica_ref_t replica, str_t addr);
/** No slot was granted: ends the request. */
void front_request_refused(front_request_t *q, int64_t retry_ms);
/** True while the request waits for a slot. */
bool front_request_is_waiting(const front_request_t *q);
front_request_t *front_request_find(front_t *f, uint64_t number);

/* front_item.c: an item of a batch lot */

/** Runs an item as the leader orders; an earlier run of the same item is cancelled. */
void front_item_run(front_t *f, const link_item_run_t *m);
void front_item_stop(front_t *f, const link_item_ref_t *m);
/** Stops all items; the leader runs them elsewhere. */
void front_item_stop_all(front_t *f);
/** Reports the items that ended while no leader was connected. */
void front_item_report_ended(front_t *f);
/** Reports the events of running items since the last report. */
void front_item_report_progress(front_t *f, deadline_t now);
/** Lists the running items; returns their number, at most max. */
size_t front_item_runs(const front_t *f, link_run_t *out, size_t max);
size_t front_item_count(const front_t *f);

/* front_held.c: requests that arrive before the first config */

/** Holds a request, or refuses it if no config has arrived long after the start. */
void front_held_add(front_t *f, http_conn_t *c, const http_request_t *r);
/** Serves all held requests, after the first config has arrived. */
void front_held_release(front_t *f);
/** Refuses the requests that were held for too long. */
void front_held_expire(front_t *f, deadline_t now);

/* main.c */

/** Matches a request with a route and begins to answer it. */
void front_serve(front_t *f, http_conn_t *c, const http_request_t *r);

/* front_lot.c: calls that open, read and end batch lots */

/** A request to a batch route: opens a lot with the items in its body. */
void front_lot_open(front_t *f, http_conn_t *c, const http_request_t *r,
		    const platform_call_t *call, const route_spec_t *route);
/** Reads a lot's results or the body submitted for one of its open items, or ends the lot. */
void front_lot_call(front_t *f, http_conn_t *c, const platform_call_t *call);

/** The data of a caller's connection: this struct, or one that begins with it. */
typedef struct {
	enum { FRONT_CONN_REQUEST, FRONT_CONN_LOT, FRONT_CONN_HELD } kind;
	void *target; /* FRONT_CONN_REQUEST: the front_request_t; otherwise the http_conn_t * to set
			 to NULL when the caller leaves */
} front_conn_data_t;

#endif
