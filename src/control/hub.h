/**
 * The hub: the thread of a control process that serves links from entries, operators and callers
 * that look for an entry. While its process leads group 0 it also dispatches: it reads the list of
 * replicas, places online requests and items, and commits what becomes of lots. Otherwise it links
 * to the leader, passes calls on to it and keeps its view.
 */
#ifndef AUBURN_HUB_H
#define AUBURN_HUB_H

#include <ev.h>
#include <pthread.h>
#include <uthash.h>
#include "client/leader_link.h"
#include "client/upstream_list.h"
#include "control/control.h"
#include "net/http_server.h"
#include "net/msgconn.h"
#include "net/worker.h"
#include "policy/dispatch.h"
#include "policy/leaving.h"
#include "policy/ring.h"
#include "policy/fanout.h"
#include "state/lots.h"
#include "state/route_table.h"

/** Roles are checked, links watched and what waits placed on this period, in ms. */
#define HUB_TICK_MS 25
/** The list of replicas is read on this period, in ms: it lags by about as much. */
#define HUB_LIST_PERIOD_MS 1000

/** Control processes that are told who leads. */
#define HUB_ANNOUNCE_MAX 32

/** Replicas, and entries, that one entry is told of. */
#define HUB_SHARE_MAX 64

typedef struct hub hub_t;

/** Another process with a link to this one. */
typedef struct hub_peer {
	hub_t *hub;
	uint64_t id;
	msgconn_t *link;
	bool registered;
	bool draining;
	char name[64];
	char addr[32]; /* for callers; empty for a control process */
	char zone[32];
	char rpc_addr[32]; /* ip:port of its RPC; empty for an entry */
	uint64_t replica; /* id of its replica of group 0 */
	deadline_t last_sent;
	uint64_t sent_upstreams; /* digest of the share that it was told last; 0: none */
	uint64_t sent_entries;
	uint64_t sent_controls;
	UT_hash_handle hh;
} hub_peer_t;

/** Who made a call: another process, or a function of this one. */
typedef struct {
	uint64_t peer;
	uint64_t call_id;
	void (*reply)(void *ctx, const link_reply_t *r);
	void *ctx;
} hub_origin_t;

typedef struct hub_lot hub_lot_t;

/** An item that isn't listed yet, as the dispatcher sees it. */
typedef struct {
	hub_lot_t *lot;
	uint32_t index;
	dispatch_item_t *dispatch_ref; /* NULL once it needs no further run */
	uint64_t entry; /* that was told to run it last */
	buf_t text; /* made by runs so far */
	uint32_t events;
	uint32_t saved_bytes; /* of the text, handed to the log */
	uint32_t saved_events;
	uint32_t failures;
	uint32_t attempts_max; /* failures that its route allows */
} hub_item_t;

struct hub_lot {
	hub_t *hub;
	char *id;
	uint32_t nitems;
	uint32_t unfinished; /* items with a run */
	hub_item_t *items;
	UT_hash_handle hh;
};

/** A read that waits for a result. */
typedef struct hub_waiter {
	hub_origin_t origin;
	char *lot;
	uint32_t after;
	deadline_t deadline;
	struct hub_waiter *prev;
	struct hub_waiter *next;
} hub_waiter_t;

/** What is gathered for the next commit. */
typedef struct {
	wire_lots_cmd_t cmd;
	size_t opens_cap;
	size_t results_cap;
	size_t ends_cap;
	size_t progress_cap;
	hub_origin_t *open_origins;
	hub_origin_t *end_origins;
	size_t bytes;
} hub_batch_t;

/** Routes that a change may be made on, and the newest. */
#define HUB_RECENT_ROUTES (FANOUT_BASES + 1)

/** The routes of a text, and the change from them to the newest once it was asked for. */
typedef struct {
	fanout_config_id_t config;
	route_table_t *routes;
	buf_t delta; /* packed; of the newest: all of it */
	uint32_t delta_size; /* unpacked; 0: not made yet */
} hub_routes_t;

typedef enum { HUB_FOLLOWER, HUB_STARTING, HUB_LEADER } hub_role_t;

struct hub {
	control_t *control;
	struct ev_loop *loop;
	ev_timer tick;
	deadline_t last_tick; /* when it ran last */
	int listener;
	ev_io accept_watcher;
	http_server_t *operators;
	http_server_t *directory;
	http_client_t *http;
	upstream_list_t *upstream_list;
	leader_link_t *leader_link;
	worker_pool_t *commit_worker; /* one thread: commits follow one another */
	worker_pool_t
		*call_workers; /* reads and changes of the text, which may wait out a partition */
	hub_role_t role;
	uint64_t term; /* that it leads in */
	hub_peer_t *peers;
	uint64_t peer_id;
	dispatch_t *dispatch;
	deadline_t next_list_read; /* next read of the list */
	deadline_t
		last_list_read; /* when it was read last, here or by the leader before; 0: never */
	link_view_t view; /* newest known: own list, or the leader's */
	leaving_t *leaving_replicas; /* as entries told */
	ring_point_t *upstream_ring; /* of the view's lists, for entries' shares of them */
	ring_point_t *entry_ring;
	bool rings_stale;
	bool view_changed;
	deadline_t next_view; /* changes are told then */
	hub_routes_t recent_routes[HUB_RECENT_ROUTES]; /* newest first */
	route_table_t
		*routes; /* in force here: the first of these; NULL until a text was decoded */
	bool decoding; /* a newer text */
	uint64_t config_seen; /* number of the newest text that was decoded, or couldn't be */
	fanout_t *fan_out; /* of the routes, while this process leads */
	hub_lot_t *lots;
	uint64_t last_lot_serial; /* serial of the newest lot that is dispatched */
	deadline_t next_lots_sync; /* next look for lots that were given up */
	hub_waiter_t *waiters;
	hub_batch_t batch;
	bool committing;
	_Atomic bool busy; /* calls of operators or look-ups are under way; for other threads */
	deadline_t next_announce;
	msgconn_t *announce_links[HUB_ANNOUNCE_MAX]; /* links that only tell who leads */
	size_t nannounce_links;
	pthread_mutex_t lock; /* guards candidates */
	group_peer_t candidates[CONTROL_CANDIDATES_MAX];
	unsigned ncandidates;
};

/* cn_hub.c */

void hub_send(hub_peer_t *p, const link_msg_t *m);
hub_peer_t *hub_peer(hub_t *h, uint64_t id);
/** Answers a call; r->id is set here. */
void hub_reply(hub_t *h, const hub_origin_t *to, link_reply_t *r);
void hub_reply_status(hub_t *h, const hub_origin_t *to, status_t st);

/* cn_hub_view.c: the list of replicas, entries and control processes */

void hub_view_init(hub_t *h);
/** Begins to lead with the replicas that the leader before knew. */
void hub_view_start_leading(hub_t *h);
/** A listed replica; NULL when it isn't listed. */
const link_upstream_t *hub_find_replica(const hub_t *h, str_t id);
/** An entry has heard from a replica that it leaves. */
void hub_view_note_leaving(hub_t *h, const hub_peer_t *p, const link_leaving_t *m);
void hub_view_tick(hub_t *h, deadline_t now);
/** Sends the newest view to one peer. */
void hub_view_send(hub_t *h, hub_peer_t *p);
/** Age of the list of upstreams; -1: it was never read. */
int64_t hub_list_age_ms(const hub_t *h);
/** Takes over the leader's view. */
void hub_view_adopt(hub_t *h, const link_view_t *v);

/* cn_hub_routes.c: the routes in force, decoded, and their way to the entries */

void hub_routes_start_leading(hub_t *h);
void hub_routes_stop_leading(hub_t *h);
/** Looks whether a newer text is in force, and sends routes on. */
void hub_routes_tick(hub_t *h, deadline_t now);
/** An entry has linked or is lost; holds: the text whose routes it has. */
void hub_routes_add_peer(hub_t *h, const hub_peer_t *p, const link_config_id_t *holds);
void hub_routes_remove_peer(hub_t *h, const hub_peer_t *p);
/** An entry says what it holds. */
void hub_routes_ack(hub_t *h, const hub_peer_t *p, const link_config_id_t *holds);

/* cn_hub_dispatch.c: online requests and items at entries */

void hub_dispatch_start_leading(hub_t *h);
void hub_dispatch_stop_leading(hub_t *h);
void hub_dispatch_hello(hub_t *h, hub_peer_t *p, const link_hello_t *hello);
void hub_dispatch_message(hub_t *h, hub_peer_t *p, const link_msg_t *m);
void hub_dispatch_reroute(hub_t *h);
/** Starts on lots accepted since, and stops what was ended or given up. */
void hub_lots_sync(hub_t *h);

/* cn_hub_lots.c: calls on lots, and their commits */

void hub_lots_handle_call(hub_t *h, const hub_origin_t *from, const link_call_arg_t *what);
void hub_lots_add_result(hub_t *h, hub_item_t *it, bool dead, str_t text);
/** Keeps what the item has made since it was kept last, with the next commit. */
void hub_lots_add_progress(hub_t *h, hub_item_t *it);
/** Begins a commit of what was gathered, unless one is under way. */
void hub_lots_commit(hub_t *h);
void hub_lots_tick(hub_t *h, deadline_t now);
void hub_lots_stop_leading(hub_t *h);

/* cn_hub_text.c: changes and reads of the operators' text */

void hub_config_handle_call(hub_t *h, const hub_origin_t *from, const link_call_arg_t *what);

/* cn_hub_retire.c: control processes that are to hold nothing any more */

void hub_retire_handle_call(hub_t *h, const hub_origin_t *from, const link_call_arg_t *what);

/* cn_hub_http.c: operators and callers that look for an entry */

status_t hub_http_start(hub_t *h);

/* cn_hub.c: a call on this process while it leads */
void hub_handle_call(hub_t *h, const hub_origin_t *from, const link_call_arg_t *what);

#endif
