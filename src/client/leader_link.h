/**
 * Link to the leader among the control processes: searches for it, holds one connection to it, and
 * searches again as soon as it is silent for too long. Runs on an event loop's thread.
 */
#ifndef AUBURN_LEADER_LINK_H
#define AUBURN_LEADER_LINK_H

#include <ev.h>
#include "base/clock.h"
#include "proto/link_xdr.h"
#include "proto/wire.h"

typedef struct leader_link leader_link_t;

/** Bytes of an "ip:port" string with its terminating zero. */
#define LEADER_LINK_ADDR_BYTES 32

/** Links are checked on this period, in ms. */
#define LEADER_LINK_TICK_MS 25
/** Either end sends a message, if only a ping, at least this often, in ms. */
#define LEADER_LINK_PING_MS 150
/** Silence timeout of the leader, in ms: three pings, and less than the longest gap that streams
 * allow between events. */
#define LEADER_LINK_SILENCE_MS 500

/** Silence timeout while an acknowledgement is due, in ms. A round trip takes a few ms, but a
 * process that has used up its CPU quota is paused for up to 100 ms. */
#define LEADER_LINK_ACK_MS 150

typedef struct {
	struct ev_loop *loop;
	const char *const *controls; /* RPC addresses of the known control processes */
	size_t ncontrols;
	unsigned link_port; /* on which all control processes accept links */
	void *ctx;
	/** Fills the hello that opens a link; out borrows memory that is valid until the next call.
	 */
	void (*hello)(void *ctx, link_hello_t *out);
	/** A message other than a reply, welcome or ping. */
	void (*message)(void *ctx, const link_msg_t *m);
	void (*up)(void *ctx);
	void (*down)(void *ctx);
} leader_link_options_t;

/** reply: NULL if none arrived in time. sent: the call may have reached the leader. */
typedef void (*leader_link_reply_t)(void *ctx, const link_reply_t *reply, bool sent);

/** Name of a call in log lines. */
const char *leader_link_call_name(link_call_kind_t kind);

/** Makes the link address of the control process with this RPC address. STATUS_INVALID: not
 * ip:port. */
status_t leader_link_make_addr(str_t rpc_addr, unsigned link_port,
			       char out[LEADER_LINK_ADDR_BYTES]);

leader_link_t *leader_link_new(const leader_link_options_t *o);
bool leader_link_is_up(const leader_link_t *l);
/** When the link went down; 0 while it is up. */
deadline_t leader_link_down_since(const leader_link_t *l);
/** Sends a message; drops it while the link is down. */
void leader_link_send(leader_link_t *l, const link_msg_t *m);
/** Sends a message that the leader acknowledges at once. Without an acknowledgement the link is
 * dropped. */
void leader_link_send_acked(leader_link_t *l, const link_msg_t *m);
/** Sends the hello again after a change of its contents. */
void leader_link_resend_hello(leader_link_t *l);
/** Adds a control process to those that are tried. */
void leader_link_add_control(leader_link_t *l, str_t rpc_addr);
/** Tries this control process next, as it is said to be the leader. */
void leader_link_hint(leader_link_t *l, str_t rpc_addr);
/** RPC address of the linked leader; empty while there is none. */
str_t leader_link_leader(const leader_link_t *l);
/** RPC addresses of all known control processes, up to max; returns how many. */
size_t leader_link_controls(const leader_link_t *l, str_t *out, size_t max);
/** Stops or resumes the search for a leader. A process that leads needs no link. */
void leader_link_set_idle(leader_link_t *l, bool idle);
/** Calls the leader; the callback runs exactly once. */
void leader_link_call(leader_link_t *l, link_call_arg_t *arg, deadline_t deadline,
		      leader_link_reply_t reply, void *ctx);

#endif
