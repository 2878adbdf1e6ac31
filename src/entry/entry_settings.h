/** Settings of an entry process, read from its TOML file. */
#ifndef AUBURN_ENTRY_SETTINGS_H
#define AUBURN_ENTRY_SETTINGS_H

#include "base/toml.h"
#include "base/status.h"
#include "policy/owner.h"

/** How the entry dispatches to replicas. All but ENTRY_MODE_OWNER exist for comparison in
 * benchmarks. */
typedef enum {
	ENTRY_MODE_OWNER, /* each replica has one owner; the other entries forward to the owner */
	ENTRY_MODE_ALONE, /* each entry dispatches to every replica, by the engines' load reports */
	ENTRY_MODE_ALONE_CANCEL, /* the same, and online streams preempt batch streams */
	ENTRY_MODE_SPLIT /* each entry dispatches to every replica within its share of the slots */
} entry_mode_t;

/** A caller or an operator and its bearer key. */
typedef struct {
	char *name;
	char *key;
} entry_identity_t;

typedef struct {
	char *name;
	char *zone;
	char *listen; /* ip:port of the HTTP server */
	char *peer; /* ip:port of the RPC server for other entries */
	char *peer_key; /* bearer key of HTTP calls between entries, the same in all entries */
	toml_strs_t controls;
	int64_t ledger_groups;
	int64_t address_ttl_ms;
	int64_t max_body_bytes;
	int64_t max_items;
	int64_t max_connections;
	entry_identity_t *callers;
	size_t ncallers;
	entry_identity_t *operators;
	size_t noperators;
	/* from table [bench] */
	entry_mode_t mode;
	owner_preempt_t preempt;
	owner_reserve_t reserve;
} entry_settings_t;

status_t entry_settings_load(const char *path, entry_settings_t *out);

#endif
