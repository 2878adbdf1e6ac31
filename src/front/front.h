/** auburn-front: answers callers by routes, streams through what replicas answer, runs items for
 * the dispatcher. One thread, one event loop, nothing durable. What its files show each other. */
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
	char *directory; /* ip:port for callers that look for an entry; may be NULL */
	char *ready; /* ip:port for the platform's checks; may be NULL */
	char *metrics; /* ip:port of /metrics; may be NULL */
	char *upstream_list; /* ip:port of the list of replicas; may be NULL */
	toml_strs_t controls; /* ip:port of control processes */
	int64_t rpc_port; /* of all control processes, where `controls` gives another */
	int64_t link_port; /* where control processes take links */
	int64_t grace_s; /* a planned stop is ended by force after this */
} front_settings_t;

status_t front_settings_load(const char *path, front_settings_t *s);
void front_settings_free(front_settings_t *s);

typedef struct front_request front_request_t;
typedef struct front_item front_item_t;
typedef struct front_held front_held_t;

/** A known replica. */
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
	deadline_t next_list_read; /* next read of the list by this process itself */
	ev_timer tick;
	ev_signal term;
	ev_signal hup;
	deadline_t exit_by; /* 0 while no stop is under way */
	deadline_t accept_until; /* connections of callers, during a stop */
	deadline_t idle_since; /* no request since then; 0: connections are still accepted */
	const char *settings_path;
	route_table_t *routes; /* NULL until a text is known */
	uint64_t routes_version;
	link_config_id_t config_id; /* of the routes */
	worker_pool_t *decoder; /* one thread: changes of routes follow one another */
	bool decoding;
	link_config_t pending_config; /* came meanwhile; owned */
	link_view_t view;
	front_replica_t *replicas;
	leaving_t *leaving_replicas; /* as they told this process */
	dispatch_t *local; /* dispatches while no leader is linked; NULL otherwise */
	uint64_t last_request;
	front_request_t *requests; /* hash by number */
	front_item_t *items;
	front_held_t *held; /* requests that wait for a text */
	deadline_t started;
	size_t buffered_bytes; /* of answers that are kept until they are whole */
} front_t;

/* fr_link.c: the leader's link, routes and replicas */

void front_link_start(front_t *f);
void front_link_tick(front_t *f, deadline_t now);
/** A known replica; NULL when it isn't known. */
const front_replica_t *front_find_replica(const front_t *f, str_t id);
/** The replica has said that it leaves. */
void front_replica_leaving(front_t *f, leaving_replica_t r);

/* fr_routes.c: the routes in force */

void front_routes_start(front_t *f);
/** Takes over routes that the leader sends, and says so. */
void front_routes_update(front_t *f, const link_config_t *m);

/* front_slot_request.c: asking for a place, of the leader or, while there is none, of this process
 * itself */

void front_slot_request(front_t *f, front_request_t *o);
void front_slot_withdraw(front_t *f, front_request_t *o);
void front_slot_release(front_t *f, front_request_t *o, dispatch_outcome_t how);
void front_slot_leader_up(front_t *f);
void front_slot_leader_down(front_t *f);
void front_slot_set_replicas(front_t *f);

/* front_attempt.c: one request at one replica */

typedef struct front_attempt front_attempt_t;

/** What an event is to a run. */
typedef enum {
	FRONT_EVENT_NEW, /* the stream has got on by it */
	FRONT_EVENT_IGNORED, /* nothing new, or nothing that the stream consists of */
	FRONT_EVENT_INVALID /* not an event of this stream */
} front_attempt_event_t;

typedef enum {
	FRONT_ATTEMPT_DONE, /* the answer came whole */
	FRONT_ATTEMPT_UNSENT, /* surely not received */
	FRONT_ATTEMPT_BROKEN, /* ended early or malformed */
	FRONT_ATTEMPT_SILENT /* no event in time */
} front_attempt_end_t;

typedef struct {
	front_t *f;
	str_t request; /* bytes to send; copied */
	str_t id; /* of the request; answers to others are passed over */
	leaving_replica_t replica; /* copied */
	const char *addr;
	bool new_connection; /* not on a kept connection */
	int64_t first_event_ms; /* without a first event for so long it ends; 0: it doesn't */
	int64_t event_gap_ms; /* without the next event for so long it ends; 0: it doesn't */
	void *ctx;
	void (*head)(void *ctx, const http_head_t *h, const platform_reply_t *r);
	/** FRONT_EVENT_INVALID ends the run as broken. */
	front_attempt_event_t (*event)(void *ctx, const sse_event_t *e);
	/** Bytes of an answer that isn't a stream of events, or behind its last whole event. False
	 * ends the run as broken. */
	bool (*bytes)(void *ctx, str_t piece);
	/** Called once, unless the run was cancelled; the run is freed after it. */
	void (*end)(void *ctx, front_attempt_end_t how);
} front_attempt_options_t;

front_attempt_t *front_attempt_start(const front_attempt_options_t *o);
void front_attempt_cancel(front_attempt_t *x);

/* front_request.c: an online request */

typedef enum { FRONT_REQUEST_WAITING, FRONT_REQUEST_RUNNING } front_request_state_t;

struct front_request {
	front_t *f;
	http_conn_t *conn;
	http_request_t r;
	platform_call_t call;
	uint64_t number;
	front_request_state_t state;
	char service[64];
	char replica[64]; /* that it runs at, or ran at last */
	route_kind_t kind;
	bool resumable;
	bool returning; /* its caller has waited elsewhere already */
	unsigned max_attempts;
	unsigned priority;
	int64_t event_gap_ms;
	int64_t give_up_ms;
	deadline_t objective;
	deadline_t deadline;
	deadline_t give_up_at; /* when its caller leaves unless an event has come */
	timeout_t timer; /* at the deadline */
	front_attempt_t *run;
	platform_reply_t reply; /* its views don't outlive the head */
	bool head_sent; /* the caller has got the head */
	bool may_have_run; /* some replica may have run it */
	bool first_seen;
	unsigned tries; /* replicas that may have run it */
	unsigned not_run; /* replicas that said they didn't */
	long long last_event; /* that the caller has */
	char avoid[DISPATCH_AVOID_MAX][64];
	unsigned navoid;
	buf_t headers; /* of an answer that is passed on whole */
	buf_t body;
	deadline_t requested_at;
	deadline_t granted;
	int64_t first_ms; /* until its first byte; -1: none came */
	int64_t place_ms; /* waited for places, all tries */
	UT_hash_handle hh;
};

void front_request_begin(front_t *f, http_conn_t *c, const http_request_t *r,
			 const platform_call_t *call, const route_spec_t *route);
void front_request_caller_left(front_request_t *o);
void front_request_granted(front_request_t *o, leaving_replica_t replica, str_t addr);
void front_request_refused(front_request_t *o, int64_t retry_ms);
/** True while it waits for a place. */
bool front_request_is_waiting(const front_request_t *o);
front_request_t *front_request_find(front_t *f, uint64_t number);

/* front_item.c: an item of a lot */

void front_item_run(front_t *f, const link_item_run_t *m);
void front_item_stop(front_t *f, const link_item_ref_t *m);
/** Stops all, to be run elsewhere. */
void front_item_stop_all(front_t *f);
/** Tells the leader what ended while there was none. */
void front_item_report_ended(front_t *f);
/** Reports what running items have made since. */
void front_item_report_progress(front_t *f, deadline_t now);
size_t front_item_runs(const front_t *f, link_run_t *out, size_t max);
size_t front_item_count(const front_t *f);

/* front_held.c: requests before a text is known */

void front_held_add(front_t *f, http_conn_t *c, const http_request_t *r);
void front_held_release(front_t *f);
void front_held_expire(front_t *f, deadline_t now);

/* main.c: matches a request with a route and begins to answer it */
void front_serve(front_t *f, http_conn_t *c, const http_request_t *r);

/* fr_lot.c: calls on lots */

void front_lot_open(front_t *f, http_conn_t *c, const http_request_t *r,
		    const platform_call_t *call, const route_spec_t *route);
void front_lot_call(front_t *f, http_conn_t *c, const platform_call_t *call);

/** What a connection's data points to, first member of each. */
typedef struct {
	enum {
		FRONT_CONN_REQUEST,
		FRONT_CONN_LOT,
		FRONT_CONN_HELD
	} kind; /* of: front_request_t, or where the connection is kept */
	void *target;
} front_conn_data_t;

#endif
