/**
 * State machine of group 0: the operators' configs, sessions of entries, upstreams and their
 * owners. Pure: no clock, no I/O; the same commands give the same state and answers on every
 * replica.
 *
 * An entry is a process that answers callers. Its session lasts from SESSION_OPEN to SESSION_CLOSE;
 * a restarted entry gets a new session, and session numbers are never used again. An upstream is a
 * replica of a service in the upstream list. Its owner is the one session whose entry starts
 * streams on it. Each change of the owner, also to none, gives the upstream a higher fencing token
 * (fence), so that an engine can reject a former owner. The view is the list of open sessions and
 * of upstreams with their owners; its version grows with each change.
 */
#ifndef AUBURN_FLEET_H
#define AUBURN_FLEET_H

#include "proto/wire.h"

typedef struct fleet_state fleet_state_t;

/** Number of newest configs whose text is stored, and the most bytes of their texts; the newest is
 * stored whatever its size, older ones without their text. Each snapshot has all of them. */
#define FLEET_CONFIG_TEXTS_MAX	 50
#define FLEET_CONFIG_TEXTS_BYTES (4U << 20)

fleet_state_t *fleet_new(unsigned ledger_groups);
void fleet_free(fleet_state_t *f);
/** Applies one command and fills res, which owns its bytes. */
void fleet_apply_cmd(fleet_state_t *f, const wire_fleet_cmd_t *cmd, wire_fleet_res_t *res);
/** Answers WIRE_QUERY_CONFIG and WIRE_QUERY_VIEW; res owns its bytes. */
void fleet_query(const fleet_state_t *f, const wire_query_t *q, wire_query_res_t *res);
void fleet_snapshot(const fleet_state_t *f, buf_t *out);
status_t fleet_restore(fleet_state_t *f, str_t snap);

/** A control process is retired (WIRE_FLEET_RETIRE) when an operator removes its VM for good.
 * Returns true if one is under this key: the name of its VM or its RPC address. */
bool fleet_has_retired(const fleet_state_t *f, str_t key);
/** Returns true if the control process with this replica of group 0 is retired: it must no longer
 * hold a replica of any group. */
bool fleet_is_retired(const fleet_state_t *f, uint64_t replica);
/** Returns true if this replica is one that the process retired under this key had. */
bool fleet_is_retired_as(const fleet_state_t *f, str_t key, uint64_t replica);
/** Returns true if the control process of the VM with this name and RPC address is retired,
 * whatever replica it has now: the loss of its disk gives it another one. A new VM that has only
 * the name or only the address of a retired one is not. */
bool fleet_is_retired_vm(const fleet_state_t *f, str_t name, str_t addr);

/** Returns the number of the newest config; 0: there is none. */
uint64_t fleet_config_number(const fleet_state_t *f);
uint64_t fleet_view_version(const fleet_state_t *f);
/** Returns the open session with this name and boot number, or 0. */
uint64_t fleet_find_session(const fleet_state_t *f, str_t name, uint64_t boot);
bool fleet_session_is_open(const fleet_state_t *f, uint64_t session);
/** Writes at most max ids of open sessions to out and returns how many. */
size_t fleet_open_sessions(const fleet_state_t *f, uint64_t *out, size_t max);

/** Writes at most max closed sessions, oldest first, that WIRE_FLEET_FORGET has not named yet, and
 * returns how many. The control leader reports them to every ledger group
 * (WIRE_LEDGER_SESSIONS_LOST) before it forgets them. */
size_t fleet_closed_sessions(const fleet_state_t *f, uint64_t *out, size_t max);

/** Plans ownership: each upstream that is live or leaving gets an owner among the members (entries
 * with an open session) that are not draining. Once all changes are applied, the numbers of a
 * service's upstreams that the members own differ by at most one; owners in the upstream's own zone
 * are preferred, and few upstreams move. Upstreams of a closed session get a new owner at once, so
 * close a session only once its entry has certainly stopped using them. Upstreams of an open
 * session move in two steps: one plan releases them (owner 0), a later plan assigns them. Upstreams
 * that are gone are released. Sets cmd to a WIRE_FLEET_OWNERS, which wire_free frees, and returns
 * the number of its changes, at most max_changes. */
size_t fleet_plan_owners(const fleet_state_t *f, size_t max_changes, wire_fleet_cmd_t *cmd);

/** Options of a plan. session_has_view returns whether a session has received a version of the
 * view; a released upstream is assigned only once its former owner has received the view in which
 * it was released, or once that session is closed. */
typedef struct {
	size_t max_changes;
	bool (*session_has_view)(void *ctx, uint64_t session,
				 uint64_t view_version); /* NULL: always true */
	void *ctx;
} fleet_plan_options_t;
size_t fleet_plan_owners_with(const fleet_state_t *f, const fleet_plan_options_t *plan,
			      wire_fleet_cmd_t *cmd);

#endif
