/**
 * Link to the leader of group 0 among the control processes: tries the known control processes (see
 * policy/leader_search.h) until one says that it leads, holds the connection to it, and searches
 * again once the connection is lost or the leader is silent for too long. Runs on an event loop's
 * thread.
 */
#ifndef AUBURN_LEADER_LINK_H
#define AUBURN_LEADER_LINK_H

#include <ev.h>
#include "base/clock.h"
#include "policy/leaving.h"
#include "proto/link_xdr.h"
#include "proto/wire.h"

typedef struct leader_link leader_link_t;

/** The last kind of message that this build knows. */
#define LEADER_LINK_LAST_KIND LINK_ITEM_PATIENCE

/** Bytes of an "ip:port" string with its terminating zero. */
#define LEADER_LINK_ADDR_BYTES 32

/** Period of the checks of the link, in ms. */
#define LEADER_LINK_TICK_MS 25
/** An end of a link that has sent nothing for this long, in ms, sends a ping. */
#define LEADER_LINK_PING_MS 150
/** Silence timeout of the leader, in ms: longer than three ping periods, and shorter than the gap
 * that streams allow between events. */
#define LEADER_LINK_SILENCE_MS 500

typedef struct {
	struct ev_loop *loop;
	const char *const *controls; /* RPC addresses of the known control processes */
	size_t ncontrols;
	unsigned link_port; /* on which all control processes accept links */
	void *ctx;
	/** Fills the hello that opens a link. Its strings and arrays must stay valid until the next
	 * call. */
	void (*hello)(void *ctx, link_hello_t *out);
	/** Handles a message other than a reply, welcome or ping. */
	void (*message)(void *ctx, const link_msg_t *m);
	void (*up)(void *ctx); /* a leader was found */
	void (*down)(void *ctx); /* the link to the leader was lost */
} leader_link_options_t;

/** reply: NULL if none arrived before the deadline or the loss of the link. sent: the call may have
 * reached the leader. */
typedef void (*leader_link_reply_t)(void *ctx, const link_reply_t *reply, bool sent);

/** Name of a call in log lines. */
const char *leader_link_call_name(link_call_kind_t kind);

/** Makes the address at which a control process accepts links from its RPC address. STATUS_INVALID:
 * rpc_addr is not ip:port. */
status_t leader_link_make_addr(str_t rpc_addr, unsigned link_port,
			       char out[LEADER_LINK_ADDR_BYTES]);

leader_link_t *leader_link_new(const leader_link_options_t *o);
bool leader_link_is_up(const leader_link_t *l);
/** True if the encoded link_msg_t is of a kind that only newer builds know; *kind: its number. */
bool leader_link_kind_is_newer(str_t message, uint32_t *kind);
/** When the link went down or the first search began; 0 while it is up. */
deadline_t leader_link_down_since(const leader_link_t *l);
/** Number of bytes received over the link so far; 0 while it is down. */
uint64_t leader_link_received_bytes(const leader_link_t *l);
/** Sends a message; drops it while the link is down. */
void leader_link_send(leader_link_t *l, const link_msg_t *m);
/** Sends a message to which the leader responds at once with some message. If none arrives within
 * the time limit of an acknowledgement, see leader_search_ack_ms, the link is dropped. */
void leader_link_send_acked(leader_link_t *l, const link_msg_t *m);
/** Sends a message about something that a hello may have listed; while the link is down, once the
 * leader has answered a hello that is on its way. Drops it if there is none. */
void leader_link_send_deferred(leader_link_t *l, const link_msg_t *m);
/** Sends the hello again, after a change of its contents; only while the link is up. */
void leader_link_resend_hello(leader_link_t *l);
/** Sets the leaving replicas of a hello. They are valid until the next call. */
void leader_link_report_leaving(link_hello_t *out, const leaving_t *l);
/** Adds a control process to those that are tried as the leader. If there are too many, the one is
 * dropped that was added last the longest ago, and is not in the settings. */
void leader_link_add_control(leader_link_t *l, str_t rpc_addr);
/** Tries this control process next, as another process has named it as the leader. Ignored while
 * the link is up. */
void leader_link_hint(leader_link_t *l, str_t rpc_addr);
/** RPC address of the linked leader; empty while there is none. */
str_t leader_link_leader(const leader_link_t *l);
/** Lists the RPC addresses of up to max known control processes; returns their number. */
size_t leader_link_controls(const leader_link_t *l, str_t *out, size_t max);
/** Idle: drops the link and does not search for a leader. For a process that leads itself. */
void leader_link_set_idle(leader_link_t *l, bool idle);
/** Calls the leader. reply, which must not be NULL, runs exactly once, before the return if the
 * link is down. */
void leader_link_call(leader_link_t *l, link_call_arg_t *arg, deadline_t deadline,
		      leader_link_reply_t reply, void *ctx);

#endif
