/**
 * State machine of group 0: the operators' text, sessions of entries, upstreams and their owners.
 * Pure: no clock, no I/O; the same commands give the same state and answers on every replica.
 */
#ifndef AUBURN_FLEET_H
#define AUBURN_FLEET_H

#include "proto/wire.h"

typedef struct fl fleet_state_t;

fleet_state_t *fleet_new(unsigned ledger_groups);
void fleet_free(fleet_state_t *f);
/** Applies one command and fills res, which owns its bytes. */
void fleet_apply_cmd(fleet_state_t *f, const wire_fleet_cmd_t *cmd, wire_fleet_res_t *res);
/** Answers WIRE_QUERY_CONFIG and WIRE_QUERY_VIEW; res owns its bytes. */
void fleet_query(const fleet_state_t *f, const wire_query_t *q, wire_query_res_t *res);
void fleet_snapshot(const fleet_state_t *f, buf_t *out);
status_t fleet_restore(fleet_state_t *f, str_t snap);

/** Replica that WIRE_FLEET_RETIRE named last under this name; 0 when it named none. */
uint64_t fleet_retired_replica(const fleet_state_t *f, str_t name);
/** True when this replica is to hold nothing any more. */
bool fleet_is_retired(const fleet_state_t *f, uint64_t replica);

uint64_t fleet_config_number(const fleet_state_t *f);
uint64_t fleet_view_version(const fleet_state_t *f);
/** Session with this name and boot, or 0. */
uint64_t fleet_find_session(const fleet_state_t *f, str_t name, uint64_t boot);
bool fleet_session_is_open(const fleet_state_t *f, uint64_t session);
/** Live sessions; returns how many were written, at most max. */
size_t fleet_open_sessions(const fleet_state_t *f, uint64_t *out, size_t max);

/** Closed sessions, oldest first, that WIRE_FLEET_FORGET has not named yet: the control leader
 * tells every ledger group of them (WIRE_LEDGER_SESSIONS_LOST) before it forgets them. Returns how
 * many were written, at most max. */
size_t fleet_closed_sessions(const fleet_state_t *f, uint64_t *out, size_t max);

/** Plans ownership: every live or leaving upstream gets an owner, spread within one of even for
 * each service over the members that aren't draining, its own zone first, with few moves. Those of
 * a closed session get a new owner at once, so close a session only once its lease has certainly
 * ended. Those of an open session are moved in two steps: a first plan releases them (owner 0), a
 * later one gives them to another. Those that are gone are released. Makes cmd an
 * WIRE_FLEET_OWNERS, which wire_free frees, and returns the count of its changes. */
size_t fleet_plan_owners(const fleet_state_t *f, size_t max_changes, wire_fleet_cmd_t *cmd);

/** The same, but a released upstream waits until `seen` says that the session which owned it knows
 * of the view in which it was released, or is closed. */
typedef struct {
	size_t max_changes;
	bool (*session_saw)(void *ctx, uint64_t session, uint64_t view_version); /* NULL: always */
	void *ctx;
} fleet_plan_options_t;
size_t fleet_plan_owners_with(const fleet_state_t *f, const fleet_plan_options_t *plan,
			      wire_fleet_cmd_t *cmd);

#endif
