#include "ctl/ct.h"

#define LISTED_MAX 1000

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
	return st;
}
