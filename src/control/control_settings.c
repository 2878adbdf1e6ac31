/* Settings file of auburn-control. */
#include <stdlib.h>
#include <string.h>
#include "base/rpc.h"
#include "control/control.h"

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
#define DEFAULT_QUOTA_WINDOW_S	 5
#define DEFAULT_QUOTA_OVER	 0.1
#define DEFAULT_QUOTA_SLACK	 20
#define QUOTA_WINDOW_S_MAX	 3600
#define QUOTA_SLACK_MAX		 1000000

static status_t check_addrs(const toml_doc_t *c, const char *key, const toml_strs_t *s)
{
	for (size_t i = 0; i < s->n; i++) {
		status_t st = rpc_check_addr(c, key, s->v[i]);

		if (st != STATUS_OK)
			return st;
	}
	return STATUS_OK;
}

static status_t set_addr_routes(const toml_doc_t *c, const toml_strs_t *routes)
{
	for (size_t i = 0; i < routes->n; i++) {
		AUTO_FREE char *addr = str_dup(str_c(routes->v[i]));
		char *eq = strchr(addr, '=');

		if (eq)
			*eq = 0;
		if (!eq || rpc_add_redirect(addr, eq + 1) != STATUS_OK)
			return status_fail(STATUS_INVALID,
					   "%s:%d: routes: %s is not ip:port=ip:port", toml_name(c),
					   toml_line(toml_root(c), "routes"), routes->v[i]);
	}
	return STATUS_OK;
}

/* Sets the port of all addresses. Used if `controls` lists the processes with a port other than
 * that of their RPC servers. */
static void replace_ports(toml_strs_t *addrs, unsigned port)
{
	for (size_t i = 0; i < addrs->n; i++) {
		AUTO_BUF b = {0};
		char ip[64];
		unsigned other;

		if (rpc_parse_addr(addrs->v[i], ip, &other) != STATUS_OK)
			continue;
		buf_addf(&b, "%s:%u", ip, port);
		free(addrs->v[i]);
		addrs->v[i] = str_dup(str_buf(&b));
	}
}

status_t control_settings_load(const char *path, control_settings_t *s)
{
	const toml_key_t keys[] = {
		{"name", TOML_STR, true, 1, 64, &s->name},
		{"zone", TOML_STR, true, 1, 31, &s->zone},
		{"listen", TOML_STR, true, 9, 60, &s->listen},
		{"http", TOML_STR, false, 9, 60, &s->http},
		{"data", TOML_STR, true, 1, 4000, &s->data},
		{"platform", TOML_STR, false, 1, 2000, &s->platform},
		{"controls", TOML_STRS, true, 1, GROUP_PEERS_MAX, &s->controls},
		{"spares", TOML_STRS, false, 0, GROUP_PEERS_MAX, &s->spares},
		{"routes", TOML_STRS, false, 0, ROUTES_MAX, &s->addr_routes},
		{"operators", TOML_STR, false, 9, 60, &s->operators},
		{"directory", TOML_STR, false, 9, 60, &s->directory},
		{"upstream_list", TOML_STR, false, 9, 60, &s->upstream_list},
		{"rpc_port", TOML_INT, false, 1, PORT_MAX, &s->rpc_port},
		{"link_port", TOML_INT, false, 1, PORT_MAX, &s->link_port},
		{"tolerate", TOML_INT, false, 0, (GROUP_PEERS_MAX - 1) / 2, &s->tolerate},
		{"memory_mib", TOML_INT, false, 0, 1048576, &s->memory_mib},
		{"client_memory_mib", TOML_INT, false, 0, 1048576, &s->client_memory_mib},
		{"client_connections", TOML_INT, false, 0, 1048576, &s->client_connections},
		{"lot_ttl_ms", TOML_INT, false, 1000, 86400000, &s->lot_ttl_ms},
		{"quota_window_s", TOML_INT, false, 1, QUOTA_WINDOW_S_MAX, &s->quota_window_s},
		{"quota_over", TOML_REAL, false, 0, 1, &s->quota_over},
		{"quota_slack", TOML_INT, false, 0, QUOTA_SLACK_MAX, &s->quota_slack},
		{"weigh_speed", TOML_BOOL, false, 0, 0, &s->weigh_speed},
		{"weigh_prompts", TOML_BOOL, false, 0, 0, &s->weigh_prompts},
		{"bootstrap", TOML_BOOL, false, 0, 0, &s->bootstrap},
		{"ledger_groups", TOML_INT, false, 0, CONTROL_GROUPS_MAX - 1, &s->ledger_groups},
		{"tick_ms", TOML_INT, false, 5, 1000, &s->tick_ms},
		{"election_ms", TOML_INT, false, 50, 60000, &s->election_ms},
		{"lease_ms", TOML_INT, false, 200, 60000, &s->lease_ms},
		{"replace_grace_ms", TOML_INT, false, 500, 86400000, &s->replace_grace_ms},
		{"platform_poll_ms", TOML_INT, false, 50, 60000, &s->platform_poll_ms},
		{"snapshot_entries", TOML_INT, false, 10, 10000000, &s->snapshot_entries},
		{"snapshot_mib", TOML_INT, false, 1, 4096, &s->snapshot_mib},
		{0},
	};
	AUTO_TOML *c = NULL;
	status_t st;

	*s = (control_settings_t){
		.ledger_groups = DEFAULT_GROUPS,
		.tick_ms = DEFAULT_TICK_MS,
		.election_ms = DEFAULT_ELECTION_MS,
		.lease_ms = DEFAULT_LEASE_MS,
		.replace_grace_ms = DEFAULT_REPLACE_GRACE_MS,
		.platform_poll_ms = DEFAULT_PLATFORM_POLL_MS,
		.snapshot_entries = DEFAULT_SNAPSHOT_ENTRIES,
		.snapshot_mib = DEFAULT_SNAPSHOT_MIB,
		.lot_ttl_ms = DEFAULT_LOT_TTL_MS,
		.quota_window_s = DEFAULT_QUOTA_WINDOW_S,
		.quota_over = DEFAULT_QUOTA_OVER,
		.quota_slack = DEFAULT_QUOTA_SLACK,
	};
	st = toml_load(path, &c);
	if (st == STATUS_OK)
		st = toml_read(c, toml_root(c), keys, NULL);
	if (st == STATUS_OK)
		st = rpc_check_addr(c, "listen", s->listen);
	if (st == STATUS_OK && s->http)
		st = rpc_check_addr(c, "http", s->http);
	if (st == STATUS_OK)
		st = check_addrs(c, "controls", &s->controls);
	if (st == STATUS_OK)
		st = check_addrs(c, "spares", &s->spares);
	if (st == STATUS_OK)
		st = set_addr_routes(c, &s->addr_routes);
	if (st == STATUS_OK && s->operators)
		st = rpc_check_addr(c, "operators", s->operators);
	if (st == STATUS_OK && s->directory)
		st = rpc_check_addr(c, "directory", s->directory);
	if (st == STATUS_OK && s->upstream_list)
		st = rpc_check_addr(c, "upstream_list", s->upstream_list);
	if (st == STATUS_OK && s->rpc_port)
		replace_ports(&s->controls, (unsigned)s->rpc_port);
	return st;
}
