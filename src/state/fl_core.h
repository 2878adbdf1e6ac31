/** Inside of the fleet's state machine. */
#ifndef AUBURN_FL_CORE_H
#define AUBURN_FL_CORE_H

#include <uthash.h>
#include "state/fl.h"

/** Texts of the newest numbers that are kept whole. */
#define FL_TEXTS_KEPT 50

/** What stands under one number of the operators' text, for ever. */
typedef struct {
	uint64_t digest;
	char *operator_name;
	uint32_t operator_n;
	char *text; /* NULL once dropped */
	uint32_t text_n;
} fl_conf_t;

typedef struct fl_member {
	char *name;
	char *addr;
	char *peer;
	char *zone;
	uint64_t boot;
	uint64_t session;
	bool draining;
	UT_hash_handle hh; /* by session */
} fl_member_t;

typedef struct fl_upstream {
	char *id;
	char *addr;
	char *zone;
	char *service;
	aw_upstream_state_t state;
	uint64_t owner;
	uint64_t fence;
	uint64_t last_owner; /* who owned it before it was released */
	uint64_t released_view; /* view version of that release */
	bool listed; /* in the list that is being applied */
	UT_hash_handle hh; /* by id */
} fl_upstream_t;

/** A control process that is to hold nothing any more. */
typedef struct {
	char *name;
	uint64_t replica;
} fl_retired_t;

struct fl {
	unsigned ledger_groups;
	fl_conf_t *confs; /* number n at n - 1 */
	uint64_t nconfs;
	uint64_t confs_cap;
	fl_member_t *members; /* open sessions */
	uint64_t *closed; /* sessions to tell the ledgers of, oldest first */
	size_t nclosed;
	size_t closed_cap;
	fl_upstream_t *upstreams;
	fl_retired_t *retired; /* oldest first */
	size_t nretired;
	size_t retired_cap;
	uint64_t last_session;
	uint64_t last_fence;
	uint64_t view_version;
};

fl_member_t *fl_member(const fl_t *f, uint64_t session);
fl_upstream_t *fl_upstream(const fl_t *f, str_t id);
void fl_conf_add(fl_t *f, uint64_t digest, str_t operator_name, str_t text);
void fl_conf_drop_text(fl_t *f, uint64_t number);
void fl_member_add(fl_t *f, fl_member_t *m);
void fl_upstream_add(fl_t *f, fl_upstream_t *u);
void fl_upstream_free(fl_t *f, fl_upstream_t *u);
void fl_retired_add(fl_t *f, str_t name, uint64_t replica);
void fl_closed_add(fl_t *f, uint64_t session);

#endif
