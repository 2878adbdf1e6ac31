/**
 * Link to the control process that leads: finds it, keeps one connection to it, and looks for the
 * next one as soon as it falls silent. Runs on an event loop's thread.
 */
#ifndef AUBURN_LL_H
#define AUBURN_LL_H

#include <ev.h>
#include "base/clk.h"
#include "proto/lw_xdr.h"
#include "proto/px.h"

typedef struct ll ll_t;

/** Bytes of an ip:port with its end. */
#define LL_ADDR_BYTES 32

/** Links are checked and pinged on this period, in ms. */
#define LL_TICK_MS 25
/** Either end says something at least this often, in ms. */
#define LL_PING_MS 150
/** A leader that says nothing for this long, in ms, is taken for lost: three pings, and under the
 * pause that streams allow. */
#define LL_SILENT_MS 500

/** A leader that was asked something and says nothing for this long, in ms, is taken for lost too:
 * a round trip takes a few, and a process out of its share of a core stands still for up to a tenth
 * of a second. */
#define LL_ANSWER_MS 150

typedef struct {
	struct ev_loop *loop;
	const char *const *controls; /* ip:port of the RPC of known control processes */
	size_t ncontrols;
	unsigned link_port; /* where control processes take links, the same on all */
	void *ctx;
	/** Fills the hello that opens a link; what it points to lives until the next call. */
	void (*hello)(void *ctx, lw_hello_t *out);
	void (*message)(void *ctx, const lw_msg_t *m);
	void (*up)(void *ctx);
	void (*down)(void *ctx);
} ll_options_t;

/** reply is NULL when none came in time; sent: the call may have reached the leader. */
typedef void (*ll_reply_t)(void *ctx, const lw_reply_t *reply, bool sent);

/** What a call is named in log lines. */
const char *ll_call_name(lw_call_kind_t kind);

/** Where the control process with this RPC address takes links. ST_INVALID: not ip:port. */
status_t ll_link_addr(str_t rpc_addr, unsigned link_port, char out[LL_ADDR_BYTES]);

ll_t *ll_new(const ll_options_t *o);
bool ll_is_up(const ll_t *l);
/** When the link went down; 0 while it is up. */
deadline_t ll_down_since(const ll_t *l);
/** Sends, or drops the message while the link is down. */
void ll_send(ll_t *l, const lw_msg_t *m);
/** Sends what the leader acknowledges at once; it is taken for lost when it doesn't. */
void ll_ask(ll_t *l, const lw_msg_t *m);
/** Sends the hello again, after a change of what it says. */
void ll_greet(ll_t *l);
/** A control process that may lead. */
void ll_add_control(ll_t *l, str_t rpc_addr);
/** A control process that says that it leads: it is tried next. */
void ll_hint(ll_t *l, str_t rpc_addr);
/** RPC address of the linked leader; empty while there is none. */
str_t ll_leader(const ll_t *l);
/** RPC addresses of all known control processes, up to max; returns how many. */
size_t ll_controls(const ll_t *l, str_t *out, size_t max);
/** Pauses or resumes looking for a leader: a process that leads needs no link. */
void ll_set_idle(ll_t *l, bool idle);
/** A call with an answer; the callback comes once. */
void ll_call(ll_t *l, lw_what_t *what, deadline_t deadline, ll_reply_t reply, void *ctx);

#endif
