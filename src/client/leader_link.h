/**
 * Link to the control process that leads: finds it, keeps one connection to it, and looks for the
 * next one as soon as it falls silent. Runs on an event loop's thread.
 */
#ifndef AUBURN_LEADER_LINK_H
#define AUBURN_LEADER_LINK_H

#include <ev.h>
#include "base/clock.h"
#include "proto/link_xdr.h"
#include "proto/wire.h"

typedef struct ll leader_link_t;

/** Bytes of an ip:port with its end. */
#define LEADER_LINK_ADDR_BYTES 32

/** Links are checked and pinged on this period, in ms. */
#define LEADER_LINK_TICK_MS 25
/** Either end says something at least this often, in ms. */
#define LEADER_LINK_PING_MS 150
/** A leader that says nothing for this long, in ms, is taken for lost: three pings, and under the
 * pause that streams allow. */
#define LEADER_LINK_SILENCE_MS 500

/** A leader that was asked something and says nothing for this long, in ms, is taken for lost too:
 * a round trip takes a few, and a process out of its share of a core stands still for up to a tenth
 * of a second. */
#define LEADER_LINK_ACK_MS 150

typedef struct {
	struct ev_loop *loop;
	const char *const *controls; /* ip:port of the RPC of known control processes */
	size_t ncontrols;
	unsigned link_port; /* where control processes take links, the same on all */
	void *ctx;
	/** Fills the hello that opens a link; what it points to lives until the next call. */
	void (*hello)(void *ctx, link_hello_t *out);
	void (*message)(void *ctx, const link_msg_t *m);
	void (*up)(void *ctx);
	void (*down)(void *ctx);
} leader_link_options_t;

/** reply is NULL when none came in time; sent: the call may have reached the leader. */
typedef void (*leader_link_reply_t)(void *ctx, const link_reply_t *reply, bool sent);

/** What a call is named in log lines. */
const char *leader_link_call_name(link_call_kind_t kind);

/** Where the control process with this RPC address takes links. STATUS_INVALID: not ip:port. */
status_t leader_link_make_addr(str_t rpc_addr, unsigned link_port,
			       char out[LEADER_LINK_ADDR_BYTES]);

leader_link_t *leader_link_new(const leader_link_options_t *o);
bool leader_link_is_up(const leader_link_t *l);
/** When the link went down; 0 while it is up. */
deadline_t leader_link_down_since(const leader_link_t *l);
/** Sends, or drops the message while the link is down. */
void leader_link_send(leader_link_t *l, const link_msg_t *m);
/** Sends what the leader acknowledges at once; it is taken for lost when it doesn't. */
void leader_link_send_acked(leader_link_t *l, const link_msg_t *m);
/** Sends the hello again, after a change of what it says. */
void leader_link_resend_hello(leader_link_t *l);
/** A control process that may lead. */
void leader_link_add_control(leader_link_t *l, str_t rpc_addr);
/** A control process that says that it leads: it is tried next. */
void leader_link_hint(leader_link_t *l, str_t rpc_addr);
/** RPC address of the linked leader; empty while there is none. */
str_t leader_link_leader(const leader_link_t *l);
/** RPC addresses of all known control processes, up to max; returns how many. */
size_t leader_link_controls(const leader_link_t *l, str_t *out, size_t max);
/** Pauses or resumes looking for a leader: a process that leads needs no link. */
void leader_link_set_idle(leader_link_t *l, bool idle);
/** A call with an answer; the callback comes once. */
void leader_link_call(leader_link_t *l, link_call_arg_t *what, deadline_t deadline,
		      leader_link_reply_t reply, void *ctx);

#endif
