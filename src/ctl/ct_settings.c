#include "base/rp.h"
#include "ctl/ct.h"

#define LISTED_MAX 1000

static status_t check_addrs(const cf_t *c, const char *key, const cf_strs_t *s)
{
	char ip[64];
	unsigned port;

	for (size_t i = 0; i < s->n; i++) {
		if (rp_split_addr(s->v[i], ip, &port) != ST_OK)
			return st_fail(ST_INVALID, "%s:%d: %s: %s is not ip:port", cf_name(c),
				       cf_line(cf_root(c), key), key, s->v[i]);
	}
	return ST_OK;
}

status_t ct_settings_load(const char *path, ct_settings_t *s)
{
	const cf_key_t keys[] = {
		{"entries", CF_STRS, true, 1, LISTED_MAX, &s->entries},
		{"controls", CF_STRS, false, 0, LISTED_MAX, &s->controls},
		{"key", CF_STR, false, 1, 200, &s->key},
		{"operator_key", CF_STR, false, 1, 200, &s->operator_key},
		{0},
	};
	AUTO_CF *c = NULL;
	status_t st = cf_load(path, &c);

	if (st == ST_OK)
		st = cf_read(c, cf_root(c), keys, NULL);
	if (st == ST_OK)
		st = check_addrs(c, "entries", &s->entries);
	if (st == ST_OK)
		st = check_addrs(c, "controls", &s->controls);
	return st;
}
