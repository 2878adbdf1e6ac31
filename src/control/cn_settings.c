#include <stdlib.h>
#include <string.h>
#include "base/rp.h"
#include "control/cn.h"

#define DEFAULT_GROUPS		 2
#define DEFAULT_TICK_MS		 20
#define DEFAULT_ELECTION_MS	 400
#define DEFAULT_LEASE_MS	 2000
#define DEFAULT_REPLACE_GRACE_MS 60000
#define DEFAULT_PLATFORM_POLL_MS 1000
#define DEFAULT_SNAPSHOT_ENTRIES 20000
#define DEFAULT_SNAPSHOT_MIB	 64
#define DEFAULT_LOT_TTL_MS	 120000
#define ROUTES_MAX		 64
#define PORT_MAX		 65535

static status_t check_addrs(const cf_t *c, const char *key, const cf_strs_t *s)
{
	for (size_t i = 0; i < s->n; i++) {
		status_t st = rp_check_addr(c, key, s->v[i]);

		if (st != ST_OK)
			return st;
	}
	return ST_OK;
}

static status_t set_routes(const cf_t *c, const cf_strs_t *routes)
{
	for (size_t i = 0; i < routes->n; i++) {
		AUTO_FREE char *addr = str_dup(str_c(routes->v[i]));
		char *eq = strchr(addr, '=');

		if (eq)
			*eq = 0;
		if (!eq || rp_route(addr, eq + 1) != ST_OK)
			return st_fail(ST_INVALID, "%s:%d: routes: %s is not ip:port=ip:port",
				       cf_name(c), cf_line(cf_root(c), "routes"), routes->v[i]);
	}
	return ST_OK;
}

/* Control processes are listed by another of their addresses. */
static void set_port(cf_strs_t *addrs, unsigned port)
{
	for (size_t i = 0; i < addrs->n; i++) {
		AUTO_BUF b = {0};
		char ip[64];
		unsigned other;

		if (rp_split_addr(addrs->v[i], ip, &other) != ST_OK)
			continue;
		buf_addf(&b, "%s:%u", ip, port);
		free(addrs->v[i]);
		addrs->v[i] = str_dup(str_buf(&b));
	}
}

status_t cn_settings_load(const char *path, cn_settings_t *s)
{
	const cf_key_t keys[] = {
		{"name", CF_STR, true, 1, 64, &s->name},
		{"zone", CF_STR, true, 1, 31, &s->zone},
		{"listen", CF_STR, true, 9, 60, &s->listen},
		{"http", CF_STR, false, 9, 60, &s->http},
		{"data", CF_STR, true, 1, 4000, &s->data},
		{"platform", CF_STR, false, 1, 2000, &s->platform},
		{"controls", CF_STRS, true, 1, GR_PEERS_MAX, &s->controls},
		{"spares", CF_STRS, false, 0, GR_PEERS_MAX, &s->spares},
		{"routes", CF_STRS, false, 0, ROUTES_MAX, &s->routes},
		{"operators", CF_STR, false, 9, 60, &s->operators},
		{"directory", CF_STR, false, 9, 60, &s->directory},
		{"upstream_list", CF_STR, false, 9, 60, &s->upstream_list},
		{"rpc_port", CF_INT, false, 1, PORT_MAX, &s->rpc_port},
		{"link_port", CF_INT, false, 1, PORT_MAX, &s->link_port},
		{"tolerate", CF_INT, false, 0, (GR_PEERS_MAX - 1) / 2, &s->tolerate},
		{"memory_mib", CF_INT, false, 0, 1048576, &s->memory_mib},
		{"lot_ttl_ms", CF_INT, false, 1000, 86400000, &s->lot_ttl_ms},
		{"bootstrap", CF_BOOL, false, 0, 0, &s->bootstrap},
		{"ledger_groups", CF_INT, false, 0, CN_GROUPS_MAX - 1, &s->ledger_groups},
		{"tick_ms", CF_INT, false, 5, 1000, &s->tick_ms},
		{"election_ms", CF_INT, false, 50, 60000, &s->election_ms},
		{"lease_ms", CF_INT, false, 200, 60000, &s->lease_ms},
		{"replace_grace_ms", CF_INT, false, 500, 86400000, &s->replace_grace_ms},
		{"platform_poll_ms", CF_INT, false, 50, 60000, &s->platform_poll_ms},
		{"snapshot_entries", CF_INT, false, 10, 10000000, &s->snapshot_entries},
		{"snapshot_mib", CF_INT, false, 1, 4096, &s->snapshot_mib},
		{0},
	};
	AUTO_CF *c = NULL;
	status_t st;

	*s = (cn_settings_t){
		.ledger_groups = DEFAULT_GROUPS,
		.tick_ms = DEFAULT_TICK_MS,
		.election_ms = DEFAULT_ELECTION_MS,
		.lease_ms = DEFAULT_LEASE_MS,
		.replace_grace_ms = DEFAULT_REPLACE_GRACE_MS,
		.platform_poll_ms = DEFAULT_PLATFORM_POLL_MS,
		.snapshot_entries = DEFAULT_SNAPSHOT_ENTRIES,
		.snapshot_mib = DEFAULT_SNAPSHOT_MIB,
		.lot_ttl_ms = DEFAULT_LOT_TTL_MS,
	};
	st = cf_load(path, &c);
	if (st == ST_OK)
		st = cf_read(c, cf_root(c), keys, NULL);
	if (st == ST_OK)
		st = rp_check_addr(c, "listen", s->listen);
	if (st == ST_OK && s->http)
		st = rp_check_addr(c, "http", s->http);
	if (st == ST_OK)
		st = check_addrs(c, "controls", &s->controls);
	if (st == ST_OK)
		st = check_addrs(c, "spares", &s->spares);
	if (st == ST_OK)
		st = set_routes(c, &s->routes);
	if (st == ST_OK && s->operators)
		st = rp_check_addr(c, "operators", s->operators);
	if (st == ST_OK && s->directory)
		st = rp_check_addr(c, "directory", s->directory);
	if (st == ST_OK && s->upstream_list)
		st = rp_check_addr(c, "upstream_list", s->upstream_list);
	if (st == ST_OK && s->rpc_port)
		set_port(&s->controls, (unsigned)s->rpc_port);
	return st;
}
