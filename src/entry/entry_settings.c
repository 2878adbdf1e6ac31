#include "entry/entry_settings.h"

#include <stdlib.h>
#include <string.h>
#include "base/rpc.h"

#define ADDRESS_TTL_DEFAULT_MS	5000
#define ADDRESS_TTL_LIMIT_MS	600000
#define MAX_BODY_DEFAULT_BYTES	(8 << 20)
#define MAX_BODY_LIMIT_BYTES	(1LL << 30)
#define MAX_ITEMS_DEFAULT	60000
#define MAX_ITEMS_LIMIT		540000
#define MAX_CONNECTIONS_DEFAULT 2000
#define MAX_CONNECTIONS_LIMIT	60000
#define CONTROLS_MAX		16
#define GROUPS_MAX		64
#define CONTROLS_MAX		16
#define NAME_MAX_BYTES		128
#define KEY_MIN_BYTES		8

typedef struct {
	const char *name;
	int value;
} enum_name_t;

static const enum_name_t modes[] = {{"owner", ENTRY_MODE_OWNER},
				    {"alone", ENTRY_MODE_ALONE},
				    {"alone_cancel", ENTRY_MODE_ALONE_CANCEL},
				    {"split", ENTRY_MODE_SPLIT},
				    {NULL, 0}};
static const enum_name_t preempts[] = {{"none", OWNER_PREEMPT_NONE},
				       {"cancel", OWNER_PREEMPT_CANCEL},
				       {"resume", OWNER_PREEMPT_RESUME},
				       {NULL, 0}};
static const enum_name_t reserves[] = {{"none", OWNER_RESERVE_NONE},
				       {"fixed", OWNER_RESERVE_FIXED},
				       {"peak", OWNER_RESERVE_PEAK},
				       {NULL, 0}};

/* Sets *out to the value of a named setting; leaves it as it is if the setting is absent. */
static status_t parse_enum(const toml_doc_t *c, const toml_table_t *t, const char *key,
			   const char *value, const enum_name_t *names, int *out)
{
	if (!value)
		return STATUS_OK;
	for (; names->name; names++) {
		if (strcmp(names->name, value) != 0)
			continue;
		*out = names->value;
		return STATUS_OK;
	}
	return status_fail(STATUS_INVALID, "%s:%d: %s: unknown value \"%s\"", toml_name(c),
			   toml_line(t, key), key, value);
}

/* Reads table [bench]: alternative ways of scheduling, to compare in benchmarks. */
static status_t read_bench(const toml_doc_t *c, entry_settings_t *s)
{
	const toml_table_t *t = toml_table_at(toml_root(c), "bench", 0);
	AUTO_FREE char *mode = NULL;
	AUTO_FREE char *preempt = NULL;
	AUTO_FREE char *reserve = NULL;
	const toml_key_t keys[] = {{"way", TOML_STR, false, 1, NAME_MAX_BYTES, &mode},
				   {"preempt", TOML_STR, false, 1, NAME_MAX_BYTES, &preempt},
				   {"keep", TOML_STR, false, 1, NAME_MAX_BYTES, &reserve},
				   {NULL, TOML_STR, false, 0, 0, NULL}};
	int value[3] = {ENTRY_MODE_OWNER, OWNER_PREEMPT_RESUME, OWNER_RESERVE_FIXED};
	status_t st = STATUS_OK;

	if (t)
		st = toml_read(c, t, keys, NULL);
	if (st == STATUS_OK && t)
		st = parse_enum(c, t, "way", mode, modes, &value[0]);
	if (st == STATUS_OK && t)
		st = parse_enum(c, t, "preempt", preempt, preempts, &value[1]);
	if (st == STATUS_OK && t)
		st = parse_enum(c, t, "keep", reserve, reserves, &value[2]);
	s->mode = (entry_mode_t)value[0];
	s->preempt = (owner_preempt_t)value[1];
	s->reserve = (owner_reserve_t)value[2];
	return st;
}

static status_t read_identities(const toml_doc_t *c, const char *key, entry_identity_t **out,
				size_t *n)
{
	size_t count = toml_table_count(toml_root(c), key);

	*out = mem_new(count * sizeof(**out));
	for (size_t i = 0; i < count; i++) {
		entry_identity_t *id = &(*out)[i];
		const toml_key_t keys[] = {
			{"name", TOML_STR, true, 1, NAME_MAX_BYTES, &id->name},
			{"key", TOML_STR, true, KEY_MIN_BYTES, NAME_MAX_BYTES, &id->key},
			{NULL, TOML_STR, false, 0, 0, NULL}};
		status_t st;

		*n = i + 1;
		st = toml_read(c, toml_table_at(toml_root(c), key, i), keys, NULL);
		if (st != STATUS_OK)
			return st;
	}
	return STATUS_OK;
}

static status_t read_root(const toml_doc_t *c, entry_settings_t *s)
{
	static const char *const sub[] = {"caller", "operator", "bench", NULL};
	const toml_key_t keys[] = {
		{"name", TOML_STR, true, 1, NAME_MAX_BYTES, &s->name},
		{"zone", TOML_STR, true, 1, NAME_MAX_BYTES, &s->zone},
		{"listen", TOML_STR, true, 1, NAME_MAX_BYTES, &s->listen},
		{"peer", TOML_STR, true, 1, NAME_MAX_BYTES, &s->peer},
		{"peer_key", TOML_STR, true, KEY_MIN_BYTES, NAME_MAX_BYTES, &s->peer_key},
		{"controls", TOML_STRS, true, 1, CONTROLS_MAX, &s->controls},
		{"ledger_groups", TOML_INT, false, 1, GROUPS_MAX, &s->ledger_groups},
		{"address_ttl_ms", TOML_INT, false, 0, ADDRESS_TTL_LIMIT_MS, &s->address_ttl_ms},
		{"max_body_bytes", TOML_INT, false, 1, MAX_BODY_LIMIT_BYTES, &s->max_body_bytes},
		{"max_items", TOML_INT, false, 1, MAX_ITEMS_LIMIT, &s->max_items},
		{"max_connections", TOML_INT, false, 1, MAX_CONNECTIONS_LIMIT, &s->max_connections},
		{NULL, TOML_STR, false, 0, 0, NULL}};
	status_t st = toml_read(c, toml_root(c), keys, sub);

	if (st == STATUS_OK)
		st = rpc_check_addr(c, "listen", s->listen);
	if (st == STATUS_OK)
		st = rpc_check_addr(c, "peer", s->peer);
	for (size_t i = 0; st == STATUS_OK && i < s->controls.n; i++)
		st = rpc_check_addr(c, "controls", s->controls.v[i]);
	return st;
}

status_t entry_settings_load(const char *path, entry_settings_t *out)
{
	AUTO_TOML *c = NULL;
	status_t st;

	*out = (entry_settings_t){.ledger_groups = 2,
				  .address_ttl_ms = ADDRESS_TTL_DEFAULT_MS,
				  .max_body_bytes = MAX_BODY_DEFAULT_BYTES,
				  .max_items = MAX_ITEMS_DEFAULT,
				  .max_connections = MAX_CONNECTIONS_DEFAULT};
	st = toml_load(path, &c);
	if (st == STATUS_OK)
		st = read_root(c, out);
	if (st == STATUS_OK)
		st = read_bench(c, out);
	if (st == STATUS_OK)
		st = read_identities(c, "caller", &out->callers, &out->ncallers);
	if (st == STATUS_OK)
		st = read_identities(c, "operator", &out->operators, &out->noperators);
	return st;
}
