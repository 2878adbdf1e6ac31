/**
 * RPC client of the control processes: finds the leader of each group, pools connections and
 * retries a command or query until its deadline (all commands are idempotent). When the leader
 * cannot be reached directly, the client asks another control process to forward the call. Group 0
 * holds the fleet state; each ledger group holds a part of the requests and jobs. Thread-safe.
 */
#ifndef AUBURN_CONTROL_CLIENT_H
#define AUBURN_CONTROL_CLIENT_H

#include "base/clock.h"
#include "base/status.h"
#include "proto/wire.h"

typedef struct control_client control_client_t;

/** addrs: RPC addresses of the control processes; copied. */
control_client_t *control_client_new(const char *const *addrs, size_t n, unsigned ledger_groups);
void control_client_free(control_client_t *c);

/** Commits a command of group 0. This function, the two for the ledger and control_client_query
 * return whether the command or query was executed. STATUS_OK: res holds the answer, whose own
 * status may be an error. STATUS_UNAVAILABLE: not done, unless another process forwarded the
 * command and lost the leader's answer. STATUS_TIMEOUT: may have been done. STATUS_INVALID,
 * STATUS_LIMIT: refused. The caller frees res with wire_free. */
status_t control_client_fleet(control_client_t *c, const wire_fleet_cmd_t *cmd,
			      wire_fleet_res_t *res, deadline_t deadline);
/** Commits a command in the ledger group to which its caller and key (or job) belong. */
status_t control_client_ledger(control_client_t *c, const wire_ledger_cmd_t *cmd,
			       wire_ledger_res_t *res, deadline_t deadline);
/** Commits a command that names no key or job in the given ledger group: LEASE, DONE,
 * SESSIONS_LOST, EXPIRE. */
status_t control_client_ledger_group(control_client_t *c, unsigned group,
				     const wire_ledger_cmd_t *cmd, wire_ledger_res_t *res,
				     deadline_t deadline);
/** Reads the state of a group at its leader, after a read barrier. */
status_t control_client_query(control_client_t *c, unsigned group, const wire_query_t *q,
			      wire_query_res_t *res, deadline_t deadline);
/** Sends a heartbeat to the leader of group 0 until it succeeds. STATUS_UNAVAILABLE: it did not
 * before the deadline. */
status_t control_client_heartbeat(control_client_t *c, const wire_heartbeat_arg_t *arg,
				  wire_heartbeat_res_t *res, deadline_t deadline);
/** Calls the control process at addr once, without retries; returns the status of rpc_client_call.
 * STATUS_UNAVAILABLE also if addr was not given to control_client_new. Like the next two functions,
 * waits 700 ms at most, even if the deadline is later. */
status_t control_client_call_at(control_client_t *c, const char *addr, unsigned proc,
				xdrproc_t xdr_arg, const void *arg, xdrproc_t xdr_res, void *res,
				deadline_t deadline);
/** Appends to out the status, as JSON, of the control process with index i in addrs. */
status_t control_client_status(control_client_t *c, size_t i, buf_t *out, deadline_t deadline);
/** Appends to out the newest log lines of control process i that contain needle, at most max. */
status_t control_client_events(control_client_t *c, size_t i, str_t needle, unsigned max,
			       buf_t *out, deadline_t deadline);
/** RPC address with index i in addrs. */
const char *control_client_addr(const control_client_t *c, size_t i);
/** Ledger group that holds the caller's key or job. */
unsigned control_client_group(const control_client_t *c, str_t caller, str_t key);
/** Number of ledger groups; group 0 is not counted. */
unsigned control_client_groups(const control_client_t *c);

#endif
