/** Internal structure of the fleet's state machine, shared by its files. */
#ifndef AUBURN_FLEET_INTERNAL_H
#define AUBURN_FLEET_INTERNAL_H

#include <uthash.h>
#include "state/fleet.h"

/** One numbered config. Numbers and digests are stored for ever. */
typedef struct {
	uint64_t digest;
	char *operator_name;
	uint32_t operator_n;
	char *text; /* NULL if dropped */
	uint32_t text_n;
} fleet_config_t;

/** An entry with an open session. */
typedef struct fleet_member {
	char *name;
	char *addr; /* for callers (HTTP) */
	char *peer; /* for other entries (RPC) */
	char *zone;
	uint64_t boot; /* random, new at each start of the entry */
	uint64_t session;
	bool draining;
	UT_hash_handle hh; /* by session */
} fleet_member_t;

typedef struct fleet_upstream {
	char *id;
	char *addr;
	char *zone;
	char *service;
	wire_upstream_state_t state;
	uint64_t owner; /* session; 0: none */
	uint64_t fence; /* fencing token of this ownership */
	uint64_t last_owner; /* owner before the last release; 0: never released */
	uint64_t released_view; /* version of the view since that release */
	bool listed; /* in the upstream list that is being applied */
	UT_hash_handle hh; /* by id */
} fleet_upstream_t;

/** A control process that must no longer hold replicas; it has a record for each key and replica.
 */
typedef struct {
	char *key; /* name of its VM, or its RPC address */
	uint64_t replica; /* id of its replica of group 0 */
} fleet_retired_t;

struct fleet_state {
	unsigned ledger_groups;
	fleet_config_t *configs; /* config number n is at n - 1 */
	uint64_t nconfigs;
	uint64_t configs_cap;
	fleet_member_t *members; /* open sessions */
	uint64_t *closed; /* closed sessions to report to the ledgers, oldest first */
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

/** Returns the member with this open session, or NULL. */
fleet_member_t *fleet_find_member(const fleet_state_t *f, uint64_t session);
fleet_upstream_t *fleet_find_upstream(const fleet_state_t *f, str_t id);
void fleet_config_add(fleet_state_t *f, uint64_t digest, str_t operator_name, str_t text);
void fleet_config_drop_text(fleet_state_t *f, uint64_t number);
/** Drops the texts beyond the limits. */
void fleet_config_drop_old_texts(fleet_state_t *f);
void fleet_member_add(fleet_state_t *f, fleet_member_t *m);
void fleet_upstream_add(fleet_state_t *f, fleet_upstream_t *u);
void fleet_upstream_free(fleet_state_t *f, fleet_upstream_t *u);
void fleet_retired_add(fleet_state_t *f, str_t key, uint64_t replica);
/** Adds a closed session that must be reported to the ledgers. */
void fleet_closed_add(fleet_state_t *f, uint64_t session);

#endif
