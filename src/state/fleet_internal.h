/** Inside of the fleet's state machine. */
#ifndef AUBURN_FLEET_INTERNAL_H
#define AUBURN_FLEET_INTERNAL_H

#include <uthash.h>
#include "state/fleet.h"

/** Texts of the newest numbers that are kept whole. */
#define FLEET_CONFIG_TEXTS_MAX 50

/** What stands under one number of the operators' text, for ever. */
typedef struct {
	uint64_t digest;
	char *operator_name;
	uint32_t operator_n;
	char *text; /* NULL once dropped */
	uint32_t text_n;
} fleet_config_t;

typedef struct fleet_find_member {
	char *name;
	char *addr;
	char *peer;
	char *zone;
	uint64_t boot;
	uint64_t session;
	bool draining;
	UT_hash_handle hh; /* by session */
} fleet_member_t;

typedef struct fleet_find_upstream {
	char *id;
	char *addr;
	char *zone;
	char *service;
	wire_upstream_state_t state;
	uint64_t owner;
	uint64_t fence;
	uint64_t last_owner; /* who owned it before it was released */
	uint64_t released_view; /* view version of that release */
	bool listed; /* in the list that is being applied */
	UT_hash_handle hh; /* by id */
} fleet_upstream_t;

/** A control process that is to hold nothing any more. */
typedef struct {
	char *name;
	uint64_t replica;
} fleet_retired_t;

struct fl {
	unsigned ledger_groups;
	fleet_config_t *confs; /* number n at n - 1 */
	uint64_t nconfs;
	uint64_t confs_cap;
	fleet_member_t *members; /* open sessions */
	uint64_t *closed; /* sessions to tell the ledgers of, oldest first */
	size_t nclosed;
	size_t closed_cap;
	fleet_upstream_t *upstreams;
	fleet_retired_t *retired; /* oldest first */
	size_t nretired;
	size_t retired_cap;
	uint64_t last_session;
	uint64_t last_fence;
	uint64_t view_version;
};

fleet_member_t *fleet_find_member(const fleet_state_t *f, uint64_t session);
fleet_upstream_t *fleet_find_upstream(const fleet_state_t *f, str_t id);
void fleet_config_add(fleet_state_t *f, uint64_t digest, str_t operator_name, str_t text);
void fleet_config_drop_text(fleet_state_t *f, uint64_t number);
void fleet_member_add(fleet_state_t *f, fleet_member_t *m);
void fleet_upstream_add(fleet_state_t *f, fleet_upstream_t *u);
void fleet_upstream_free(fleet_state_t *f, fleet_upstream_t *u);
void fleet_retired_add(fleet_state_t *f, str_t name, uint64_t replica);
void fleet_closed_add(fleet_state_t *f, uint64_t session);

#endif
