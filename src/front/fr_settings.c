#include <stdlib.h>
#include "base/rp.h"
#include "front/fr.h"

#define ADDR_MAX	256
#define CONTROLS_MAX	16
#define PORT_MAX	65535
#define GRACE_DEFAULT_S 8
#define GRACE_MAX_S	3600

static status_t check(const cf_t *c, const char *key, const char *addr)
{
	return addr ? rp_check_addr(c, key, addr) : ST_OK;
}

status_t fr_settings_load(const char *path, fr_settings_t *s)
{
	const cf_key_t keys[] = {
		{"name", CF_STR, true, 1, 63, &s->name},
		{"zone", CF_STR, true, 1, 31, &s->zone},
		{"listen", CF_STR, true, 9, 30, &s->listen},
		{"directory", CF_STR, false, 9, 30, &s->directory},
		{"ready", CF_STR, false, 9, 30, &s->ready},
		{"metrics", CF_STR, false, 9, 30, &s->metrics},
		{"upstream_list", CF_STR, false, 9, 30, &s->upstream_list},
		{"controls", CF_STRS, true, 1, CONTROLS_MAX, &s->controls},
		{"rpc_port", CF_INT, false, 1, PORT_MAX, &s->rpc_port},
		{"link_port", CF_INT, true, 1, PORT_MAX, &s->link_port},
		{"grace_s", CF_INT, false, 1, GRACE_MAX_S, &s->grace_s},
		{0},
	};
	AUTO_CF *c = NULL;
	status_t st;

	*s = (fr_settings_t){.grace_s = GRACE_DEFAULT_S};
	st = cf_load(path, &c);
	if (st == ST_OK)
		st = cf_read(c, cf_root(c), keys, NULL);
	if (st == ST_OK)
		st = check(c, "listen", s->listen);
	if (st == ST_OK)
		st = check(c, "directory", s->directory);
	if (st == ST_OK)
		st = check(c, "ready", s->ready);
	if (st == ST_OK)
		st = check(c, "metrics", s->metrics);
	if (st == ST_OK)
		st = check(c, "upstream_list", s->upstream_list);
	for (size_t i = 0; st == ST_OK && i < s->controls.n; i++)
		st = check(c, "controls", s->controls.v[i]);
	return st;
}

void fr_settings_free(fr_settings_t *s)
{
	free(s->name);
	free(s->zone);
	free(s->listen);
	free(s->directory);
	free(s->ready);
	free(s->metrics);
	free(s->upstream_list);
	cf_strs_free(&s->controls);
}
