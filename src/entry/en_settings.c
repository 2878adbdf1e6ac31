#include "entry/en_settings.h"

#include <stdlib.h>
#include <string.h>
#include "base/rp.h"

#define ADDRESS_TTL_MS	  5000
#define ADDRESS_TTL_MAX	  600000
#define MAX_BODY_BYTES	  (8 << 20)
#define MAX_BODY_LIMIT	  (1LL << 30)
#define MAX_ITEMS	  60000
#define MAX_ITEMS_LIMIT	  540000
#define MAX_CONNECTIONS	  2000
#define CONNECTIONS_LIMIT 60000
#define CONTROLS_MAX	  16
#define GROUPS_MAX	  64
#define CONTROLS_MAX	  16
#define NAME_MAX_BYTES	  128
#define KEY_MIN_BYTES	  8

typedef struct {
	const char *name;
	int value;
} choice_t;

static const choice_t ways[] = {{"owner", EN_OWNER},
				{"alone", EN_ALONE},
				{"alone_cancel", EN_ALONE_CANCEL},
				{"split", EN_SPLIT},
				{NULL, 0}};
static const choice_t preempts[] = {{"none", OW_PREEMPT_NONE},
				    {"cancel", OW_PREEMPT_CANCEL},
				    {"resume", OW_PREEMPT_RESUME},
				    {NULL, 0}};
static const choice_t keeps[] = {
	{"none", OW_KEEP_NONE}, {"fixed", OW_KEEP_FIXED}, {"peak", OW_KEEP_PEAK}, {NULL, 0}};

static status_t choose(const cf_t *c, const cf_table_t *t, const char *key, const char *value,
		       const choice_t *choices, int *out)
{
	if (!value)
		return ST_OK;
	for (; choices->name; choices++) {
		if (strcmp(choices->name, value) != 0)
			continue;
		*out = choices->value;
		return ST_OK;
	}
	return st_fail(ST_INVALID, "%s:%d: %s: unknown value \"%s\"", cf_name(c), cf_line(t, key),
		       key, value);
}

static status_t read_bench(const cf_t *c, en_settings_t *s)
{
	const cf_table_t *t = cf_at(cf_root(c), "bench", 0);
	AUTO_FREE char *way = NULL;
	AUTO_FREE char *preempt = NULL;
	AUTO_FREE char *keep = NULL;
	const cf_key_t keys[] = {{"way", CF_STR, false, 1, NAME_MAX_BYTES, &way},
				 {"preempt", CF_STR, false, 1, NAME_MAX_BYTES, &preempt},
				 {"keep", CF_STR, false, 1, NAME_MAX_BYTES, &keep},
				 {NULL, CF_STR, false, 0, 0, NULL}};
	int value[3] = {EN_OWNER, OW_PREEMPT_RESUME, OW_KEEP_FIXED};
	status_t st = ST_OK;

	if (t)
		st = cf_read(c, t, keys, NULL);
	if (st == ST_OK && t)
		st = choose(c, t, "way", way, ways, &value[0]);
	if (st == ST_OK && t)
		st = choose(c, t, "preempt", preempt, preempts, &value[1]);
	if (st == ST_OK && t)
		st = choose(c, t, "keep", keep, keeps, &value[2]);
	s->way = (en_way_t)value[0];
	s->preempt = (ow_preempt_t)value[1];
	s->keep = (ow_keep_t)value[2];
	return st;
}

static status_t read_identities(const cf_t *c, const char *key, en_identity_t **out, size_t *n)
{
	size_t count = cf_count(cf_root(c), key);

	*out = mem_new(count * sizeof(**out));
	for (size_t i = 0; i < count; i++) {
		en_identity_t *id = &(*out)[i];
		const cf_key_t keys[] = {
			{"name", CF_STR, true, 1, NAME_MAX_BYTES, &id->name},
			{"key", CF_STR, true, KEY_MIN_BYTES, NAME_MAX_BYTES, &id->key},
			{NULL, CF_STR, false, 0, 0, NULL}};
		status_t st;

		*n = i + 1;
		st = cf_read(c, cf_at(cf_root(c), key, i), keys, NULL);
		if (st != ST_OK)
			return st;
	}
	return ST_OK;
}

static status_t read_root(const cf_t *c, en_settings_t *s)
{
	static const char *const sub[] = {"caller", "operator", "bench", NULL};
	const cf_key_t keys[] = {
		{"name", CF_STR, true, 1, NAME_MAX_BYTES, &s->name},
		{"zone", CF_STR, true, 1, NAME_MAX_BYTES, &s->zone},
		{"listen", CF_STR, true, 1, NAME_MAX_BYTES, &s->listen},
		{"peer", CF_STR, true, 1, NAME_MAX_BYTES, &s->peer},
		{"peer_key", CF_STR, true, KEY_MIN_BYTES, NAME_MAX_BYTES, &s->peer_key},
		{"controls", CF_STRS, true, 1, CONTROLS_MAX, &s->controls},
		{"ledger_groups", CF_INT, false, 1, GROUPS_MAX, &s->ledger_groups},
		{"address_ttl_ms", CF_INT, false, 0, ADDRESS_TTL_MAX, &s->address_ttl_ms},
		{"max_body_bytes", CF_INT, false, 1, MAX_BODY_LIMIT, &s->max_body_bytes},
		{"max_items", CF_INT, false, 1, MAX_ITEMS_LIMIT, &s->max_items},
		{"max_connections", CF_INT, false, 1, CONNECTIONS_LIMIT, &s->max_connections},
		{NULL, CF_STR, false, 0, 0, NULL}};
	status_t st = cf_read(c, cf_root(c), keys, sub);

	if (st == ST_OK)
		st = rp_check_addr(c, "listen", s->listen);
	if (st == ST_OK)
		st = rp_check_addr(c, "peer", s->peer);
	for (size_t i = 0; st == ST_OK && i < s->controls.n; i++)
		st = rp_check_addr(c, "controls", s->controls.v[i]);
	return st;
}

status_t en_settings_load(const char *path, en_settings_t *out)
{
	AUTO_CF *c = NULL;
	status_t st;

	*out = (en_settings_t){.ledger_groups = 2,
			       .address_ttl_ms = ADDRESS_TTL_MS,
			       .max_body_bytes = MAX_BODY_BYTES,
			       .max_items = MAX_ITEMS,
			       .max_connections = MAX_CONNECTIONS};
	st = cf_load(path, &c);
	if (st == ST_OK)
		st = read_root(c, out);
	if (st == ST_OK)
		st = read_bench(c, out);
	if (st == ST_OK)
		st = read_identities(c, "caller", &out->callers, &out->ncallers);
	if (st == ST_OK)
		st = read_identities(c, "operator", &out->operators, &out->noperators);
	return st;
}
