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

uint64_t fl_conf_number(const fl_t *f);
uint64_t fl_view_version(const fl_t *f);
/** Session with this name and boot, or 0. */
uint64_t fl_session_of(const fl_t *f, str_t name, uint64_t boot);
bool fl_session_open(const fl_t *f, uint64_t session);
/** Live sessions; returns how many were written, at most max. */
size_t fl_sessions(const fl_t *f, uint64_t *out, size_t max);

/** Plans ownership: every live or leaving upstream that an entry must own gets one, spread evenly,
 * its own zone first, few moves. `alive` tells if a session's lease may still run; replicas of a
 * session that is closed are moved. Appends changes to cmd (AW_FLEET_OWN); returns their count. */
size_t fl_plan_owners(const fl_t *f, size_t max_changes, aw_fleet_cmd_t *cmd);

#endif
