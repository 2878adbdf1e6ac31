/** Settings of an entry process, read from its TOML file. */
#ifndef AUBURN_EN_SETTINGS_H
#define AUBURN_EN_SETTINGS_H

#include "base/cf.h"
#include "base/status.h"
#include "policy/ow.h"

/** How the entry chooses replicas; all but EN_OWNER are there to be measured against it. */
typedef enum { EN_OWNER, EN_ALONE, EN_ALONE_CANCEL, EN_SPLIT } en_way_t;

/** A caller or an operator and its bearer key. */
typedef struct {
	char *name;
	char *key;
} en_identity_t;

typedef struct {
	char *name;
	char *zone;
	char *listen; /* ip:port of the HTTP side */
	char *peer; /* ip:port of the RPC side */
	char *peer_key; /* bearer key of calls between entries, the same in the whole fleet */
	cf_strs_t controls;
	int64_t ledger_groups;
	int64_t address_ttl_ms;
	int64_t max_body_bytes;
	int64_t max_items;
	int64_t max_connections;
	en_identity_t *callers;
	size_t ncallers;
	en_identity_t *operators;
	size_t noperators;
	en_way_t way;
	ow_preempt_t preempt;
	ow_keep_t keep;
} en_settings_t;

status_t en_settings_load(const char *path, en_settings_t *out);

#endif
