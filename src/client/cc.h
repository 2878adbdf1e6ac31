/**
 * Client of the control processes, for entries and auburnctl: finds each group's leader, keeps
 * connections, sends a command again until its deadline (all commands are idempotent). When the
 * leader can't be reached from here, another control process is asked to pass the call on.
 */
#ifndef AUBURN_CC_H
#define AUBURN_CC_H

#include "base/clk.h"
#include "base/status.h"
#include "proto/px.h"

typedef struct cc cc_t;

cc_t *cc_new(const char *const *addrs, size_t n, unsigned ledger_groups);
void cc_free(cc_t *c);

/** Each returns the status of the replication: ST_OK means that res holds the answer, whose own
 *  status may be an error. ST_UNAVAILABLE: surely not done. ST_TIMEOUT: may be done.
 *  res is freed by the caller with px_free. */
status_t cc_fleet(cc_t *c, const aw_fleet_cmd_t *cmd, aw_fleet_res_t *res, deadline_t deadline);
/** The group follows from caller and key (or job) of the command. */
status_t cc_ledger(cc_t *c, const aw_ledger_cmd_t *cmd, aw_ledger_res_t *res, deadline_t deadline);
/** For commands that name a group: LEASE, DONE, SESSIONS_LOST, EXPIRE. */
status_t cc_ledger_group(cc_t *c, unsigned group, const aw_ledger_cmd_t *cmd, aw_ledger_res_t *res,
			 deadline_t deadline);
status_t cc_query(cc_t *c, unsigned group, const aw_query_t *q, aw_query_res_t *res,
		  deadline_t deadline);
status_t cc_beat(cc_t *c, const aw_beat_arg_t *arg, aw_beat_res_t *res, deadline_t deadline);
/** One call to the control process at addr, which must be one of those given to cc_new. */
status_t cc_call_at(cc_t *c, const char *addr, unsigned proc, xdrproc_t xdr_arg, const void *arg,
		    xdrproc_t xdr_res, void *res, deadline_t deadline);
/** Status or events of the control process number i, as text. */
status_t cc_status(cc_t *c, size_t i, buf_t *out, deadline_t deadline);
status_t cc_events(cc_t *c, size_t i, str_t needle, unsigned max, buf_t *out, deadline_t deadline);
const char *cc_addr(const cc_t *c, size_t i);
unsigned cc_group(const cc_t *c, str_t caller, str_t key);
unsigned cc_groups(const cc_t *c);

#endif
