#include "base/rpc.h"
#include "ctl/ctl.h"

#define ADDRS_MAX 1000

static status_t check_addrs(const toml_doc_t *c, const char *key, const toml_strs_t *s)
{
	char ip[64];
	unsigned port;

	for (size_t i = 0; i < s->n; i++) {
		if (rpc_parse_addr(s->v[i], ip, &port) != STATUS_OK)
			return status_fail(STATUS_INVALID, "%s:%d: %s: %s is not ip:port",
					   toml_name(c), toml_line(toml_root(c), key), key,
					   s->v[i]);
	}
	return STATUS_OK;
}

status_t ctl_settings_load(const char *path, ctl_settings_t *s)
{
	const toml_key_t keys[] = {
		{"entries", TOML_STRS, true, 1, ADDRS_MAX, &s->entries},
		{"controls", TOML_STRS, false, 0, ADDRS_MAX, &s->controls},
		{"key", TOML_STR, false, 1, 200, &s->key},
		{"operator_key", TOML_STR, false, 1, 200, &s->operator_key},
		{0},
	};
	AUTO_TOML *c = NULL;
	status_t st = toml_load(path, &c);

	if (st == STATUS_OK)
		st = toml_read(c, toml_root(c), keys, NULL);
	if (st == STATUS_OK)
		st = check_addrs(c, "entries", &s->entries);
	if (st == STATUS_OK)
		st = check_addrs(c, "controls", &s->controls);
	return st;
}
