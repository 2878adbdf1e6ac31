/** Settings of an entry process, read from its TOML file. */
#ifndef AUBURN_ENTRY_SETTINGS_H
#define AUBURN_ENTRY_SETTINGS_H

#include "base/toml.h"
#include "base/status.h"
#include "policy/owner.h"

/** How the entry chooses replicas; all but ENTRY_MODE_OWNER are there to be measured against it. */
typedef enum {
	ENTRY_MODE_OWNER,
	ENTRY_MODE_ALONE,
	ENTRY_MODE_ALONE_CANCEL,
	ENTRY_MODE_SPLIT
} entry_mode_t;

/** A caller or an operator and its bearer key. */
typedef struct {
	char *name;
	char *key;
} entry_identity_t;

typedef struct {
	char *name;
	char *zone;
	char *listen; /* ip:port of the HTTP side */
	char *peer; /* ip:port of the RPC side */
	char *peer_key; /* bearer key of calls between entries, the same in the whole fleet */
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
	entry_mode_t mode;
	owner_preempt_t preempt;
	owner_reserve_t reserve;
} entry_settings_t;

status_t entry_settings_load(const char *path, entry_settings_t *out);

#endif
