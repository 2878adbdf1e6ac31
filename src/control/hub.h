/**
 * The hub: the event-loop thread of a control process. It serves links from entries and other
 * control processes, and HTTP calls of operators and of callers that look up entries. While its
 * process leads group 0, the hub is also the dispatcher: it reads the upstream list, assigns online
 * requests and items to slots, and commits the progress and results of lots. Otherwise it links to
 * the leader, forwards calls to it and copies its view.
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

/** Period of the checks of role and links, and of the dispatcher's tick, in ms. */
#define HUB_TICK_MS 25
/** Period of reads of the upstream list, in ms: the list lags by about as much. */
#define HUB_LIST_PERIOD_MS 1000

/** Most control processes that receive the leader's announcements. */
#define HUB_ANNOUNCE_MAX 32

/** Most replicas, and most entries, in the view sent to one entry. */
#define HUB_SHARE_MAX 64

typedef struct hub hub_t;

/** A linked process: an entry, or a control process that does not lead. */
typedef struct hub_peer {
	hub_t *hub;
	uint64_t id;
	msgconn_t *link;
	bool registered; /* its hello has arrived while this process leads */
	bool draining;
	char name[64];
	char addr[32]; /* ip:port for callers; empty for a control process */
	char zone[32];
	char rpc_addr[32]; /* RPC address; empty for an entry */
	uint64_t replica; /* id of its Raft replica of group 0; 0 for an entry */
	deadline_t last_sent;
	uint64_t sent_upstreams; /* digests of the share of the view sent last; 0: none */
	uint64_t sent_entries;
	uint64_t sent_controls;
	UT_hash_handle hh;
} hub_peer_t;

/** Origin of a call: a linked process, or a function of this process that gets the reply. */
typedef struct {
	uint64_t peer;
	uint64_t call_id;
	void (*reply)(void *ctx, const link_reply_t *r); /* NULL: a linked process */
	void *ctx;
} hub_origin_t;

typedef struct hub_lot hub_lot_t;

/** An item of a dispatched lot, and its state in the dispatcher. */
typedef struct {
	hub_lot_t *lot;
	uint32_t index;
	dispatch_item_t *dispatch_ref; /* NULL once the item is finished */
	uint64_t entry; /* which received the latest run */
	buf_t text; /* output of all runs so far */
	uint32_t events; /* contained in text */
	uint32_t saved_bytes; /* part of text that was added to a commit */
	uint32_t saved_events;
	uint32_t failures;
	uint32_t attempts_max; /* allowed by its route */
} hub_item_t;

struct hub_lot {
	hub_t *hub;
	char *id;
	uint32_t nitems;
	uint32_t unfinished; /* items that are not finished */
	hub_item_t *items;
	UT_hash_handle hh;
};

/** A read that waits for results of a lot. */
typedef struct hub_waiter {
	hub_origin_t origin;
	char *lot;
	uint32_t after; /* results before this position are known to the reader */
	deadline_t deadline;
	struct hub_waiter *prev;
	struct hub_waiter *next;
} hub_waiter_t;

/** Commands gathered for the next commit, and the calls that wait for them. */
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

/** Route tables held: the newest, and the bases of deltas. */
#define HUB_RECENT_ROUTES (FANOUT_BASES + 1)

/** The routes of a config, and the delta from them to the newest, made on first use. */
typedef struct {
	fanout_config_id_t config;
	route_table_t *routes;
	buf_t delta; /* compressed; of the newest routes: all of them */
	uint32_t delta_size; /* uncompressed; 0: not made yet */
} hub_routes_t;

typedef enum { HUB_FOLLOWER, HUB_STARTING, HUB_LEADER } hub_role_t;

struct hub {
	control_t *control;
	struct ev_loop *loop;
	ev_timer tick;
	deadline_t last_tick;
	int listener;
	ev_io accept_watcher;
	http_server_t *operators; /* NULL if not configured */
	http_server_t *directory; /* NULL if not configured */
	http_client_t *http;
	upstream_list_t *upstream_list;
	leader_link_t *leader_link;
	worker_pool_t *commit_worker; /* one thread: commits are sequential */
	worker_pool_t *call_workers; /* for work that would block the loop */
	hub_role_t role;
	uint64_t term; /* of the leadership */
	hub_peer_t *peers;
	uint64_t peer_id;
	dispatch_t *dispatch;
	deadline_t next_list_read;
	deadline_t last_list_read; /* by this process or the previous leader; 0: never */
	link_view_t view; /* newest known: the own list, or the leader's view */
	leaving_t *leaving_replicas; /* reported by entries */
	ring_point_t *upstream_ring; /* over the view's lists, to select the shares of entries */
	ring_point_t *entry_ring;
	bool rings_stale; /* the lists have changed since the rings were built */
	bool view_changed; /* since the last view was sent */
	deadline_t next_view; /* earliest time of the next view */
	hub_routes_t recent_routes[HUB_RECENT_ROUTES]; /* newest first */
	route_table_t *routes; /* in force: recent_routes[0]; NULL: none yet */
	bool decoding; /* a newer config */
	uint64_t config_seen; /* number of the newest config that was decoded, or could not be */
	fanout_t *fan_out; /* of route deltas; NULL while this process does not lead */
	hub_lot_t *lots;
	uint64_t last_lot_serial; /* of the newest lot added to the dispatcher */
	deadline_t next_lots_sync; /* next search for ended and expired lots */
	hub_waiter_t *waiters;
	hub_batch_t batch;
	bool committing;
	_Atomic bool busy; /* see hub_is_busy */
	deadline_t next_announce;
	msgconn_t *announce_links[HUB_ANNOUNCE_MAX]; /* links that only announce the leader */
	size_t nannounce_links;
	pthread_mutex_t lock; /* guards candidates */
	group_peer_t candidates[CONTROL_CANDIDATES_MAX];
	unsigned ncandidates;
};

/* hub.c */

void hub_send(hub_peer_t *p, const link_msg_t *m);
/** The linked process with this id; NULL if its link is lost. */
hub_peer_t *hub_find_peer(hub_t *h, uint64_t id);
/** Replies to a call; sets r->id. */
void hub_reply(hub_t *h, const hub_origin_t *to, link_reply_t *r);
void hub_reply_status(hub_t *h, const hub_origin_t *to, status_t st);

/* hub_view.c: the view of replicas, entries and control processes */

void hub_view_init(hub_t *h);
/** Starts leading with the replicas of the previous leader's view. */
void hub_view_start_leading(hub_t *h);
/** The replica of a service with this id in the view, or NULL. */
const link_upstream_t *hub_find_replica(const hub_t *h, str_t id);
/** Handles an entry's report that a replica is leaving. */
void hub_view_note_leaving(hub_t *h, const hub_peer_t *p, const link_leaving_t *m);
void hub_view_tick(hub_t *h, deadline_t now);
/** Sends the view, or for an entry its share of it, to one peer. */
void hub_view_send(hub_t *h, hub_peer_t *p);
/** Age of the upstream list; -1: never read. */
int64_t hub_list_age_ms(const hub_t *h);
/** Copies the leader's view. */
void hub_view_adopt(hub_t *h, const link_view_t *v);

/* hub_routes.c: decodes the routes in force and sends them to the entries */

void hub_routes_start_leading(hub_t *h);
void hub_routes_stop_leading(hub_t *h);
/** Starts decoding if a newer config is in force, and sends pending deltas. */
void hub_routes_tick(hub_t *h, deadline_t now);
/** Adds an entry to the fan-out. holds: the config whose routes the entry has. */
void hub_routes_add_peer(hub_t *h, const hub_peer_t *p, const link_config_id_t *holds);
void hub_routes_remove_peer(hub_t *h, const hub_peer_t *p);
/** Handles an entry's report of the config whose routes it has. */
void hub_routes_ack(hub_t *h, const hub_peer_t *p, const link_config_id_t *holds);

/* hub_dispatch.c: online requests and items at entries */

void hub_dispatch_start_leading(hub_t *h);
void hub_dispatch_stop_leading(hub_t *h);
/** Adds an entry to the dispatcher and adopts the runs that its hello lists. */
void hub_dispatch_hello(hub_t *h, hub_peer_t *p, const link_hello_t *hello);
void hub_dispatch_message(hub_t *h, hub_peer_t *p, const link_msg_t *m);
/** Routes the items anew after a change of the config. */
void hub_dispatch_reroute(hub_t *h);
/** Adds newly accepted lots to the dispatcher; stops items of ended and expired lots. */
void hub_lots_sync(hub_t *h);

/* hub_lots.c: calls on lots, and their commits */

void hub_lots_handle_call(hub_t *h, const hub_origin_t *from, const link_call_arg_t *arg);
/** Adds an item's result to the next commit; dead: the item failed for good. */
void hub_lots_add_result(hub_t *h, hub_item_t *it, bool dead, str_t text);
/** Adds the item's output since its last progress to the next commit. */
void hub_lots_add_progress(hub_t *h, hub_item_t *it);
/** Starts the next commit unless one is in progress or nothing was gathered. */
void hub_lots_commit(hub_t *h);
void hub_lots_tick(hub_t *h, deadline_t now);
/** Fails all calls that wait for results or for the next commit. */
void hub_lots_stop_leading(hub_t *h);

/* hub_config.c: changes and reads of the operators' config */

void hub_config_handle_call(hub_t *h, const hub_origin_t *from, const link_call_arg_t *arg);

/* hub_retire.c: retires control processes */

void hub_retire_handle_call(hub_t *h, const hub_origin_t *from, const link_call_arg_t *arg);

/* hub_http.c: HTTP calls of operators and of callers that look up entries */

status_t hub_http_start(hub_t *h);

/* hub.c: executes a call; fails with STATUS_UNAVAILABLE unless this process leads */
void hub_handle_call(hub_t *h, const hub_origin_t *from, const link_call_arg_t *arg);

#endif
