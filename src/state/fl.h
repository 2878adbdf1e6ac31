/**
 * State machine of group 0: the operators' text, sessions of entries, upstreams and their owners.
 * Pure: no clock, no I/O; the same commands give the same state and answers on every replica.
 */
#ifndef AUBURN_FL_H
#define AUBURN_FL_H

#include "proto/px.h"

typedef struct fl fl_t;

fl_t *fl_new(unsigned ledger_groups);
void fl_free(fl_t *f);
/** Applies one command and fills res, which owns its bytes. */
void fl_apply(fl_t *f, const aw_fleet_cmd_t *cmd, aw_fleet_res_t *res);
/** Answers AW_QUERY_CONF and AW_QUERY_VIEW; res owns its bytes. */
void fl_query(const fl_t *f, const aw_query_t *q, aw_query_res_t *res);
void fl_snapshot(const fl_t *f, buf_t *out);
status_t fl_restore(fl_t *f, str_t snap);

/** Replica that AW_FLEET_RETIRE named last under this name; 0 when it named none. */
uint64_t fl_retired(const fl_t *f, str_t name);
/** True when this replica is to hold nothing any more. */
bool fl_is_retired(const fl_t *f, uint64_t replica);

uint64_t fl_conf_number(const fl_t *f);
uint64_t fl_view_version(const fl_t *f);
/** Session with this name and boot, or 0. */
uint64_t fl_session_of(const fl_t *f, str_t name, uint64_t boot);
bool fl_session_open(const fl_t *f, uint64_t session);
/** Live sessions; returns how many were written, at most max. */
size_t fl_sessions(const fl_t *f, uint64_t *out, size_t max);

/** Closed sessions, oldest first, that AW_FLEET_FORGET has not named yet: the control leader tells
 * every ledger group of them (AW_LEDGER_SESSIONS_LOST) before it forgets them. Returns how many
 * were written, at most max. */
size_t fl_closed(const fl_t *f, uint64_t *out, size_t max);

/** Plans ownership: every live or leaving upstream gets an owner, spread within one of even for
 * each service over the members that aren't draining, its own zone first, with few moves. Those of
 * a closed session get a new owner at once, so close a session only once its lease has certainly
 * ended. Those of an open session are moved in two steps: a first plan releases them (owner 0), a
 * later one gives them to another. Those that are gone are released. Makes cmd an AW_FLEET_OWN,
 * which px_free frees, and returns the count of its changes. */
size_t fl_plan_owners(const fl_t *f, size_t max_changes, aw_fleet_cmd_t *cmd);

/** The same, but a released upstream waits until `seen` says that the session which owned it knows
 * of the view in which it was released, or is closed. */
typedef struct {
	size_t max_changes;
	bool (*seen)(void *ctx, uint64_t session, uint64_t view_version); /* NULL: always */
	void *ctx;
} fl_plan_t;
size_t fl_plan_owners_seen(const fl_t *f, const fl_plan_t *plan, aw_fleet_cmd_t *cmd);

#endif
