/* Settings file of auburn-front. */
#include <stdlib.h>
#include "base/rpc.h"
#include "front/front.h"

#define ADDR_MAX	256
#define CONTROLS_MAX	16
#define PORT_MAX	65535
#define GRACE_DEFAULT_S 8
#define GRACE_MAX_S	3600
#define REVOKE_MIN_MS	2000
#define REVOKE_MAX_MS	86400000
#define CAPACITY_MAX	100000

/* Checks a setting that holds an ip:port; NULL: it is not set. */
static status_t check_addr(const toml_doc_t *c, const char *key, const char *addr)
{
	return addr ? rpc_check_addr(c, key, addr) : STATUS_OK;
}

status_t front_settings_load(const char *path, front_settings_t *s)
{
	const toml_key_t keys[] = {
		{"name", TOML_STR, true, 1, 63, &s->name},
		{"zone", TOML_STR, true, 1, 31, &s->zone},
		{"listen", TOML_STR, true, 9, 30, &s->listen},
		{"directory", TOML_STR, false, 9, 30, &s->directory},
		{"ready", TOML_STR, false, 9, 30, &s->ready},
		{"metrics", TOML_STR, false, 9, 30, &s->metrics},
		{"upstream_list", TOML_STR, false, 9, 30, &s->upstream_list},
		{"controls", TOML_STRS, true, 1, CONTROLS_MAX, &s->controls},
		{"rpc_port", TOML_INT, false, 1, PORT_MAX, &s->rpc_port},
		{"link_port", TOML_INT, true, 1, PORT_MAX, &s->link_port},
		{"grace_s", TOML_INT, false, 1, GRACE_MAX_S, &s->grace_s},
		{"revoke_ms", TOML_INT, false, REVOKE_MIN_MS, REVOKE_MAX_MS, &s->revoke_ms},
		{"capacity", TOML_REAL, false, 0, CAPACITY_MAX, &s->capacity},
		{"memory_mib", TOML_INT, false, 0, 1048576, &s->memory_mib},
		{"client_memory_mib", TOML_INT, false, 0, 1048576, &s->client_memory_mib},
		{"client_connections", TOML_INT, false, 0, 1048576, &s->client_connections},
		{0},
	};
	AUTO_TOML *c = NULL;
	status_t st;

	*s = (front_settings_t){.grace_s = GRACE_DEFAULT_S};
	st = toml_load(path, &c);
	if (st == STATUS_OK)
		st = toml_read(c, toml_root(c), keys, NULL);
	if (st == STATUS_OK)
		st = check_addr(c, "listen", s->listen);
	if (st == STATUS_OK)
		st = check_addr(c, "directory", s->directory);
	if (st == STATUS_OK)
		st = check_addr(c, "ready", s->ready);
	if (st == STATUS_OK)
		st = check_addr(c, "metrics", s->metrics);
	if (st == STATUS_OK)
		st = check_addr(c, "upstream_list", s->upstream_list);
	for (size_t i = 0; st == STATUS_OK && i < s->controls.n; i++)
		st = check_addr(c, "controls", s->controls.v[i]);
	return st;
}

void front_settings_free(front_settings_t *s)
{
	free(s->name);
	free(s->zone);
	free(s->listen);
	free(s->directory);
	free(s->ready);
	free(s->metrics);
	free(s->upstream_list);
	toml_strs_free(&s->controls);
}
