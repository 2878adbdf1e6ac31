/**
 * The hub: the thread of a control process that serves links from entries, operators and callers
 * that look for an entry. While its process leads group 0 it also dispatches: it reads the list of
 * replicas, places online requests and items, and commits what becomes of lots. Otherwise it links
 * to the leader, passes calls on to it and keeps its view.
 */
#ifndef AUBURN_CN_HUB_H
#define AUBURN_CN_HUB_H

#include <ev.h>
#include <pthread.h>
#include <uthash.h>
#include "client/ll.h"
#include "client/ul.h"
#include "control/cn.h"
#include "net/hl.h"
#include "net/lk.h"
#include "net/wk.h"
#include "policy/ds.h"
#include "policy/lv.h"
#include "policy/sh.h"
#include "policy/tf.h"
#include "state/lo.h"
#include "state/ru.h"

/** Roles are checked, links watched and what waits placed on this period, in ms. */
#define HUB_TICK_MS 25
/** The list of replicas is read on this period, in ms: it lags by about as much. */
#define HUB_LIST_MS 1000

/** Control processes that are told who leads. */
#define HUB_ANNOUNCE_MAX 32

/** Replicas, and entries, that one entry is told of. */
#define HUB_SHARE_MAX 64

typedef struct hub hub_t;

/** Another process with a link to this one. */
typedef struct hub_peer {
	hub_t *h;
	uint64_t id;
	lk_t *link;
	bool greeted;
	bool draining;
	char name[64];
	char addr[32]; /* for callers; empty for a control process */
	char zone[32];
	char control[32]; /* ip:port of its RPC; empty for an entry */
	uint64_t replica; /* id of its replica of group 0 */
	deadline_t sent;
	uint64_t told_upstreams; /* digest of the share that it was told last; 0: none */
	uint64_t told_entries;
	uint64_t told_controls;
	UT_hash_handle hh;
} hub_peer_t;

/** Who made a call: another process, or a function of this one. */
typedef struct {
	uint64_t peer;
	uint64_t call;
	void (*reply)(void *ctx, const lw_reply_t *r);
	void *ctx;
} hub_caller_t;

typedef struct hub_lot hub_lot_t;

/** An item that isn't listed yet, as the dispatcher sees it. */
typedef struct {
	hub_lot_t *lot;
	uint32_t index;
	ds_item_t *run; /* NULL once it needs no further run */
	uint64_t entry; /* that was told to run it last */
	buf_t text; /* made by runs so far */
	uint32_t events;
	uint32_t saved_n; /* of the text, handed to the log */
	uint32_t saved_events;
	uint32_t failures;
	uint32_t attempts; /* failures that its route allows */
} hub_item_t;

struct hub_lot {
	hub_t *h;
	char *id;
	uint32_t nitems;
	uint32_t left; /* items with a run */
	hub_item_t *items;
	UT_hash_handle hh;
};

/** A read that waits for a result. */
typedef struct hub_waiter {
	hub_caller_t from;
	char *lot;
	uint32_t after;
	deadline_t until;
	struct hub_waiter *prev;
	struct hub_waiter *next;
} hub_waiter_t;

/** What is gathered for the next commit. */
typedef struct {
	aw_lots_cmd_t cmd;
	size_t opens_cap;
	size_t results_cap;
	size_t ends_cap;
	size_t progress_cap;
	hub_caller_t *open_from;
	hub_caller_t *end_from;
	size_t bytes;
} hub_batch_t;

/** Routes that a change may be made on, and the newest. */
#define HUB_ROUTES_KEPT (TF_BASES + 1)

/** The routes of a text, and the change from them to the newest once it was asked for. */
typedef struct {
	tf_text_t text;
	ru_t *routes;
	buf_t change; /* packed; of the newest: all of it */
	uint32_t change_size; /* unpacked; 0: not made yet */
} hub_routes_t;

typedef enum { HUB_FOLLOWS, HUB_STARTS, HUB_LEADS } hub_role_t;

struct hub {
	cn_t *cn;
	struct ev_loop *loop;
	ev_timer tick;
	deadline_t ticked; /* when it ran last */
	int listener;
	ev_io accept;
	hl_t *operators;
	hl_t *directory;
	hu_t *http;
	ul_t *list;
	ll_t *leader;
	wk_t *commits; /* one thread: commits follow one another */
	wk_t *calls; /* reads and changes of the text, which may wait out a partition */
	hub_role_t role;
	uint64_t term; /* that it leads in */
	hub_peer_t *peers;
	uint64_t peer_id;
	ds_t *ds;
	deadline_t list_at; /* next read of the list */
	deadline_t list_read; /* when it was read last, here or by the leader before; 0: never */
	lw_view_t view; /* newest known: own list, or the leader's */
	lv_t *leavers; /* as entries told */
	sh_point_t *upstream_ring; /* of the view's lists, for entries' shares of them */
	sh_point_t *entry_ring;
	bool rings_stale;
	bool view_changed;
	deadline_t view_at; /* changes are told then */
	hub_routes_t routes_kept[HUB_ROUTES_KEPT]; /* newest first */
	ru_t *routes; /* in force here: the first of these; NULL until a text was decoded */
	bool decoding; /* a newer text */
	uint64_t text_seen; /* number of the newest text that was decoded, or couldn't be */
	tf_t *fan_out; /* of the routes, while this process leads */
	hub_lot_t *lots;
	uint64_t lots_seen; /* serial of the newest lot that is dispatched */
	deadline_t lots_at; /* next look for lots that were given up */
	hub_waiter_t *waiters;
	hub_batch_t next;
	bool committing;
	_Atomic bool busy; /* calls of operators or look-ups are under way; for other threads */
	deadline_t announce_at;
	lk_t *announced[HUB_ANNOUNCE_MAX]; /* links that only tell who leads */
	size_t nannounced;
	pthread_mutex_t lock; /* guards candidates */
	gr_peer_t candidates[CN_CANDIDATES_MAX];
	unsigned ncandidates;
};

/* cn_hub.c */

void hub_send(hub_peer_t *p, const lw_msg_t *m);
hub_peer_t *hub_peer(hub_t *h, uint64_t id);
/** Answers a call; r->id is set here. */
void hub_reply(hub_t *h, const hub_caller_t *to, lw_reply_t *r);
void hub_reply_status(hub_t *h, const hub_caller_t *to, status_t st);

/* cn_hub_view.c: the list of replicas, entries and control processes */

void hub_view_start(hub_t *h);
/** Begins to lead with the replicas that the leader before knew. */
void hub_view_begin(hub_t *h);
/** A listed replica; NULL when it isn't listed. */
const lw_upstream_t *hub_replica(const hub_t *h, str_t id);
/** An entry has heard from a replica that it leaves. */
void hub_view_leaver(hub_t *h, const hub_peer_t *p, const lw_leaver_t *m);
void hub_view_tick(hub_t *h, deadline_t now);
/** Sends the newest view to one peer. */
void hub_view_send(hub_t *h, hub_peer_t *p);
/** Age of the list of upstreams; -1: it was never read. */
int64_t hub_list_age_ms(const hub_t *h);
/** Takes over the leader's view. */
void hub_view_learn(hub_t *h, const lw_view_t *v);

/* cn_hub_routes.c: the routes in force, decoded, and their way to the entries */

void hub_routes_begin(hub_t *h);
void hub_routes_end(hub_t *h);
/** Looks whether a newer text is in force, and sends routes on. */
void hub_routes_tick(hub_t *h, deadline_t now);
/** An entry has linked or is lost; holds: the text whose routes it has. */
void hub_routes_peer(hub_t *h, const hub_peer_t *p, const lw_text_id_t *holds);
void hub_routes_peer_lost(hub_t *h, const hub_peer_t *p);
/** An entry says what it holds. */
void hub_routes_held(hub_t *h, const hub_peer_t *p, const lw_text_id_t *holds);

/* cn_hub_dispatch.c: online requests and items at entries */

void hub_dispatch_begin(hub_t *h);
void hub_dispatch_end(hub_t *h);
void hub_dispatch_hello(hub_t *h, hub_peer_t *p, const lw_hello_t *hello);
void hub_dispatch_message(hub_t *h, hub_peer_t *p, const lw_msg_t *m);
void hub_dispatch_routes(hub_t *h);
/** Starts on lots accepted since, and stops what was ended or given up. */
void hub_lots_sync(hub_t *h);

/* cn_hub_lots.c: calls on lots, and their commits */

void hub_lots_call(hub_t *h, const hub_caller_t *from, const lw_what_t *what);
void hub_lots_result(hub_t *h, hub_item_t *it, bool dead, str_t text);
/** Keeps what the item has made since it was kept last, with the next commit. */
void hub_lots_progress(hub_t *h, hub_item_t *it);
/** Begins a commit of what was gathered, unless one is under way. */
void hub_commit(hub_t *h);
void hub_lots_tick(hub_t *h, deadline_t now);
void hub_lots_drop(hub_t *h);

/* cn_hub_text.c: changes and reads of the operators' text */

void hub_text_call(hub_t *h, const hub_caller_t *from, const lw_what_t *what);

/* cn_hub_retire.c: control processes that are to hold nothing any more */

void hub_retire_call(hub_t *h, const hub_caller_t *from, const lw_what_t *what);

/* cn_hub_http.c: operators and callers that look for an entry */

status_t hub_http_start(hub_t *h);

/* cn_hub.c: a call on this process while it leads */
void hub_call(hub_t *h, const hub_caller_t *from, const lw_what_t *what);

#endif
