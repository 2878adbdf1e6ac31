/** auburn-front: answers callers by routes, streams through what replicas answer, runs items for
 * the dispatcher. One thread, one event loop, nothing durable. What its files show each other. */
#ifndef AUBURN_FR_H
#define AUBURN_FR_H

#include <ev.h>
#include <uthash.h>
#include "base/cf.h"
#include "client/ll.h"
#include "client/ul.h"
#include "net/hl.h"
#include "net/hu.h"
#include "net/ss.h"
#include "net/tm.h"
#include "net/wk.h"
#include "platform/pf.h"
#include "policy/ds.h"
#include "policy/lv.h"
#include "state/ru.h"

/** Settings of the process. */
typedef struct {
	char *name;
	char *zone;
	char *listen; /* ip:port for callers */
	char *directory; /* ip:port for callers that look for an entry; may be NULL */
	char *ready; /* ip:port for the platform's checks; may be NULL */
	char *metrics; /* ip:port of /metrics; may be NULL */
	char *upstream_list; /* ip:port of the list of replicas; may be NULL */
	cf_strs_t controls; /* ip:port of control processes */
	int64_t rpc_port; /* of all control processes, where `controls` gives another */
	int64_t link_port; /* where control processes take links */
	int64_t grace_s; /* a planned stop is ended by force after this */
} fr_settings_t;

status_t fr_settings_load(const char *path, fr_settings_t *s);
void fr_settings_free(fr_settings_t *s);

typedef struct fo fo_t;
typedef struct fb fb_t;
typedef struct fh fh_t;

/** A known replica. */
typedef struct {
	char *id;
	char *addr;
	uint64_t born;
	UT_hash_handle hh;
} fr_replica_t;

typedef struct {
	fr_settings_t s;
	struct ev_loop *loop;
	hl_t *callers;
	hl_t *directory;
	hl_t *ready;
	hl_t *metrics;
	hu_t *http;
	ll_t *leader;
	ul_t *list;
	deadline_t list_at; /* next read of the list by this process itself */
	ev_timer tick;
	ev_signal term;
	ev_signal hup;
	deadline_t exit_by; /* 0 while no stop is under way */
	deadline_t accept_until; /* connections of callers, during a stop */
	deadline_t quiet_since; /* no request since then; 0: connections are still accepted */
	const char *settings_path;
	ru_t *routes; /* NULL until a text is known */
	uint64_t routes_version;
	lw_text_id_t text; /* of the routes */
	wk_t *decoder; /* one thread: changes of routes follow one another */
	bool decoding;
	lw_conf_t next_conf; /* came meanwhile; owned */
	lw_view_t view;
	fr_replica_t *replicas;
	lv_t *leavers; /* as they told this process */
	ds_t *local; /* dispatches while no leader is linked; NULL otherwise */
	uint64_t last_request;
	fo_t *requests; /* hash by number */
	fb_t *items;
	fh_t *held; /* requests that wait for a text */
	deadline_t started;
	size_t body_bytes; /* of answers that are kept until they are whole */
} fr_t;

/* fr_link.c: the leader's link, routes and replicas */

void fr_link_start(fr_t *f);
void fr_link_tick(fr_t *f, deadline_t now);
/** A known replica; NULL when it isn't known. */
const fr_replica_t *fr_replica(const fr_t *f, str_t id);
/** The replica has said that it leaves. */
void fr_leaver(fr_t *f, lv_replica_t r);

/* fr_routes.c: the routes in force */

void fr_routes_start(fr_t *f);
/** Takes over routes that the leader sends, and says so. */
void fr_routes_take(fr_t *f, const lw_conf_t *m);

/* fr_ask.c: asking for a place, of the leader or, while there is none, of this process itself */

void fr_ask(fr_t *f, fo_t *o);
void fr_ask_drop(fr_t *f, fo_t *o);
void fr_ended(fr_t *f, fo_t *o, ds_outcome_t how);
void fr_ask_up(fr_t *f);
void fr_ask_down(fr_t *f);
void fr_ask_replicas(fr_t *f);

/* fx.c: one request at one replica */

typedef struct fx fx_t;

/** What an event is to a run. */
typedef enum {
	FX_NEXT, /* the stream has got on by it */
	FX_KNOWN, /* nothing new, or nothing that the stream consists of */
	FX_BAD /* not an event of this stream */
} fx_event_t;

typedef enum {
	FX_DONE, /* the answer came whole */
	FX_UNSENT, /* surely not received */
	FX_BROKEN, /* ended early or malformed */
	FX_SILENT /* no event in time */
} fx_end_t;

typedef struct {
	fr_t *f;
	str_t request; /* bytes to send; copied */
	str_t id; /* of the request; answers to others are passed over */
	lv_replica_t replica; /* copied */
	const char *addr;
	bool fresh; /* not on a kept connection */
	int64_t first_ms; /* without a first event for so long it ends; 0: it doesn't */
	int64_t pause_ms; /* without the next event for so long it ends; 0: it doesn't */
	void *ctx;
	void (*head)(void *ctx, const hp_head_t *h, const pf_reply_t *r);
	/** FX_BAD ends the run as broken. */
	fx_event_t (*event)(void *ctx, const ss_event_t *e);
	/** Bytes of an answer that isn't a stream of events, or behind its last whole event. False
	 * ends the run as broken. */
	bool (*bytes)(void *ctx, str_t piece);
	/** Called once, unless the run was cancelled; the run is freed after it. */
	void (*end)(void *ctx, fx_end_t how);
} fx_options_t;

fx_t *fx_start(const fx_options_t *o);
void fx_cancel(fx_t *x);

/* fo.c: an online request */

typedef enum { FO_ASKING, FO_RUNNING } fo_state_t;

struct fo {
	fr_t *f;
	hl_conn_t *conn;
	hl_request_t r;
	pf_call_t call;
	uint64_t number;
	fo_state_t state;
	char service[64];
	char replica[64]; /* that it runs at, or ran at last */
	ru_kind_t kind;
	bool resumable;
	bool returning; /* its caller has waited elsewhere already */
	unsigned attempts;
	unsigned priority;
	int64_t pause_ms;
	int64_t patience_ms;
	deadline_t objective;
	deadline_t deadline;
	deadline_t leaves; /* when its caller leaves unless an event has come */
	tm_t timer; /* at the deadline */
	fx_t *run;
	pf_reply_t reply; /* its views don't outlive the head */
	bool begun; /* the caller has got the head */
	bool offered; /* some replica may have run it */
	bool first_seen;
	unsigned tries; /* replicas that may have run it */
	unsigned not_run; /* replicas that said they didn't */
	long long last_event; /* that the caller has */
	char avoid[DS_AVOID_MAX][64];
	unsigned navoid;
	buf_t headers; /* of an answer that is passed on whole */
	buf_t body;
	deadline_t asked;
	deadline_t granted;
	int64_t first_ms; /* until its first byte; -1: none came */
	int64_t place_ms; /* waited for places, all tries */
	UT_hash_handle hh;
};

void fo_begin(fr_t *f, hl_conn_t *c, const hl_request_t *r, const pf_call_t *call,
	      const ru_route_t *route);
void fo_gone(fo_t *o);
void fo_granted(fo_t *o, lv_replica_t replica, str_t addr);
void fo_refused(fo_t *o, int64_t retry_ms);
/** True while it waits for a place. */
bool fo_is_asking(const fo_t *o);
fo_t *fo_find(fr_t *f, uint64_t number);

/* fb.c: an item of a lot */

void fb_run(fr_t *f, const lw_item_run_t *m);
void fb_stop(fr_t *f, const lw_item_ref_t *m);
/** Stops all, to be run elsewhere. */
void fb_stop_all(fr_t *f);
/** Tells the leader what ended while there was none. */
void fb_up(fr_t *f);
/** Reports what running items have made since. */
void fb_tick(fr_t *f, deadline_t now);
size_t fb_runs(const fr_t *f, lw_run_t *out, size_t max);
size_t fb_count(const fr_t *f);

/* fh.c: requests before a text is known */

void fh_hold(fr_t *f, hl_conn_t *c, const hl_request_t *r);
void fh_release(fr_t *f);
void fh_tick(fr_t *f, deadline_t now);

/* main.c: matches a request with a route and begins to answer it */
void fr_serve(fr_t *f, hl_conn_t *c, const hl_request_t *r);

/* fr_lot.c: calls on lots */

void fr_lot_open(fr_t *f, hl_conn_t *c, const hl_request_t *r, const pf_call_t *call,
		 const ru_route_t *route);
void fr_lot_call(fr_t *f, hl_conn_t *c, const pf_call_t *call);

/** What a connection's data points to, first member of each. */
typedef struct {
	enum { FR_ONLINE, FR_LOT, FR_HELD } kind; /* of: fo_t, or where the connection is kept */
	void *of;
} fr_data_t;

#endif
