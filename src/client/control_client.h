/**
 * Client of the control processes, for entries and auburnctl: finds each group's leader, keeps
 * connections, sends a command again until its deadline (all commands are idempotent). When the
 * leader can't be reached from here, another control process is asked to pass the call on.
 */
#ifndef AUBURN_CONTROL_CLIENT_H
#define AUBURN_CONTROL_CLIENT_H

#include "base/clock.h"
#include "base/status.h"
#include "proto/wire.h"

typedef struct cc control_client_t;

control_client_t *control_client_new(const char *const *addrs, size_t n, unsigned ledger_groups);
void control_client_free(control_client_t *c);

/** Each returns the status of the replication: STATUS_OK means that res holds the answer, whose own
 *  status may be an error. STATUS_UNAVAILABLE: surely not done. STATUS_TIMEOUT: may be done.
 *  res is freed by the caller with wire_free. */
status_t control_client_fleet(control_client_t *c, const wire_fleet_cmd_t *cmd,
			      wire_fleet_res_t *res, deadline_t deadline);
/** The group follows from caller and key (or job) of the command. */
status_t control_client_ledger(control_client_t *c, const wire_ledger_cmd_t *cmd,
			       wire_ledger_res_t *res, deadline_t deadline);
/** For commands that name a group: LEASE, DONE, SESSIONS_LOST, EXPIRE. */
status_t control_client_ledger_group(control_client_t *c, unsigned group,
				     const wire_ledger_cmd_t *cmd, wire_ledger_res_t *res,
				     deadline_t deadline);
status_t control_client_query(control_client_t *c, unsigned group, const wire_query_t *q,
			      wire_query_res_t *res, deadline_t deadline);
status_t control_client_heartbeat(control_client_t *c, const wire_heartbeat_arg_t *arg,
				  wire_heartbeat_res_t *res, deadline_t deadline);
/** One call to the control process at addr, which must be one of those given to control_client_new.
 */
status_t control_client_call_at(control_client_t *c, const char *addr, unsigned proc,
				xdrproc_t xdr_arg, const void *arg, xdrproc_t xdr_res, void *res,
				deadline_t deadline);
/** Status or events of the control process number i, as text. */
status_t control_client_status(control_client_t *c, size_t i, buf_t *out, deadline_t deadline);
status_t control_client_events(control_client_t *c, size_t i, str_t needle, unsigned max,
			       buf_t *out, deadline_t deadline);
const char *control_client_addr(const control_client_t *c, size_t i);
unsigned control_client_group(const control_client_t *c, str_t caller, str_t key);
unsigned control_client_groups(const control_client_t *c);

#endif
