/* Parsing and checking of the operators' config, except its routes. */
#include "state/config.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>
#include "state/config_internal.h"

#define RETENTION_S_DEFAULT   86400
#define RETENTION_S_MAX	      (366LL * 86400)
#define ADDRESS_TTL_S_DEFAULT 30
#define ADDRESS_TTL_S_MAX     3600
#define WEIGHT_LOADS_DEFAULT  6
#define NAME_BYTES_MAX	      128
#define DEPENDS_MAX	      64
#define SLOTS_MAX	      4096
#define CONCURRENCY_MAX	      1000000
#define STEP_BOUND_MS_MAX     60000
#define STALL_MS_DEFAULT      10000
#define TIMEOUT_MS_MAX	      (24LL * 3600 * 1000)
#define ONLINE_DEADLINE_MS    30000
#define SLOTS_DEFAULT	      8
#define RETRY_PERCENT_DEFAULT 20
#define RATE_DEFAULT	      100
#define BURST_DEFAULT	      200
#define RATE_MAX	      1000000
#define SHARE_MAX	      1000

uint64_t config_digest(str_t text)
{
	return XXH3_64bits(text.p, text.n);
}

static void service_free(config_service_t *s)
{
	for (size_t i = 0; i < s->ndepends; i++)
		free(s->depends[i]);
	free(s->depends);
	free(s->name);
	free(s->model);
	free(s->version);
	free(s->adapter);
}

void config_free(config_t *cfg)
{
	if (!cfg)
		return;
	for (size_t i = 0; i < cfg->nservices; i++)
		service_free(&cfg->services[i]);
	for (size_t i = 0; i < cfg->nlimits; i++)
		free(cfg->limits[i].caller);
	route_table_free(cfg->routes);
	free(cfg->default_limit.caller);
	free(cfg->services);
	free(cfg->limits);
	free(cfg);
}

const config_service_t *config_find_service(const config_t *cfg, str_t name)
{
	for (size_t i = 0; i < cfg->nservices; i++)
		if (str_eq(str_c(cfg->services[i].name), name))
			return &cfg->services[i];
	return NULL;
}

const config_limit_t *config_limit_for(const config_t *cfg, str_t caller)
{
	for (size_t i = 0; i < cfg->nlimits; i++)
		if (str_eq(str_c(cfg->limits[i].caller), caller))
			return &cfg->limits[i];
	return &cfg->default_limit;
}

static status_t fail_at(const toml_doc_t *doc, const toml_table_t *t, const char *key,
			const char *what, const char *value)
{
	return status_fail(STATUS_INVALID, "%s:%d: %s: %s \"%s\"", toml_name(doc),
			   toml_line(t, key), key, what, value);
}

static status_t read_kind(const toml_doc_t *doc, const toml_table_t *t, const char *kind,
			  config_service_t *s)
{
	if (!kind || strcmp(kind, "engine") == 0)
		s->kind = CONFIG_ENGINE;
	else if (strcmp(kind, "plain") == 0)
		s->kind = CONFIG_PLAIN;
	else
		return fail_at(doc, t, "kind", "neither \"engine\" nor \"plain\" but", kind);
	return STATUS_OK;
}

static status_t read_service(const toml_doc_t *doc, const toml_table_t *t, config_service_t *s)
{
	AUTO_FREE char *kind = NULL;
	toml_strs_t depends = {0};
	const toml_key_t keys[] = {
		{"name", TOML_STR, true, 1, NAME_BYTES_MAX, &s->name},
		{"kind", TOML_STR, false, 1, NAME_BYTES_MAX, &kind},
		{"depends", TOML_STRS, false, 0, DEPENDS_MAX, &depends},
		{"latency_weight", TOML_REAL, false, 0, 1, &s->latency_weight},
		{"slots", TOML_INT, false, 1, SLOTS_MAX, &s->slots},
		{"kept_slots", TOML_INT, false, 0, SLOTS_MAX, &s->reserved_slots},
		{"concurrency", TOML_INT, false, 0, CONCURRENCY_MAX, &s->concurrency},
		{"step_bound_ms", TOML_INT, false, 0, STEP_BOUND_MS_MAX, &s->step_bound_ms},
		{"stall_ms", TOML_INT, false, 1, TIMEOUT_MS_MAX, &s->stall_ms},
		{"online_deadline_ms", TOML_INT, false, 1, TIMEOUT_MS_MAX, &s->online_deadline_ms},
		{"retry_percent", TOML_INT, false, 0, 100, &s->retry_percent},
		{"repeatable", TOML_BOOL, false, 0, 0, &s->repeatable},
		{"checks_fencing", TOML_BOOL, false, 0, 0, &s->checks_fencing},
		{"model", TOML_STR, false, 1, NAME_BYTES_MAX, &s->model},
		{"version", TOML_STR, false, 1, NAME_BYTES_MAX, &s->version},
		{"adapter", TOML_STR, false, 1, NAME_BYTES_MAX, &s->adapter},
		{0},
	};
	status_t st;

	*s = (config_service_t){
		.latency_weight = 0.5,
		.slots = SLOTS_DEFAULT,
		.stall_ms = STALL_MS_DEFAULT,
		.online_deadline_ms = ONLINE_DEADLINE_MS,
		.retry_percent = RETRY_PERCENT_DEFAULT,
		.repeatable = true,
	};
	st = toml_read(doc, t, keys, NULL);
	s->depends = depends.v;
	s->ndepends = depends.n;
	if (st == STATUS_OK)
		st = read_kind(doc, t, kind, s);
	if (st == STATUS_OK && s->reserved_slots >= s->slots)
		st = status_fail(STATUS_INVALID,
				 "%s:%d: kept_slots: %lld of %lld slots leave none for batch",
				 toml_name(doc), toml_line(t, "kept_slots"),
				 (long long)s->reserved_slots, (long long)s->slots);
	return st;
}

static status_t read_services(const toml_doc_t *doc, config_t *cfg)
{
	size_t n = toml_table_count(toml_root(doc), "service");

	cfg->services = mem_new(n * sizeof(*cfg->services));
	for (size_t i = 0; i < n; i++) {
		const toml_table_t *at = toml_table_at(toml_root(doc), "service", i);
		config_service_t *s = &cfg->services[i];
		status_t st = read_service(doc, at, s);
		const config_service_t *duplicate =
			s->name ? config_find_service(cfg, str_c(s->name)) : NULL;

		cfg->nservices = i + 1;
		if (st != STATUS_OK)
			return st;
		if (duplicate)
			return fail_at(doc, at, "name", "a second service", s->name);
	}
	return STATUS_OK;
}

static status_t read_limit(const toml_doc_t *doc, const toml_table_t *t, config_limit_t *l)
{
	const toml_key_t keys[] = {
		{"caller", TOML_STR, true, 1, NAME_BYTES_MAX, &l->caller},
		{"rate_per_s", TOML_INT, false, 1, RATE_MAX, &l->rate_per_s},
		{"burst", TOML_INT, false, 1, RATE_MAX, &l->burst},
		{"share", TOML_INT, false, 1, SHARE_MAX, &l->share},
		{0},
	};

	return toml_read(doc, t, keys, NULL);
}

static bool is_default(const config_limit_t *l)
{
	return strcmp(l->caller, "*") == 0;
}

/** Moves the limit of caller "*" out of the list; it applies to all other callers. */
static void extract_default_limit(config_t *cfg)
{
	for (size_t i = 0; i < cfg->nlimits; i++) {
		if (!is_default(&cfg->limits[i]))
			continue;
		free(cfg->default_limit.caller);
		cfg->default_limit = cfg->limits[i];
		cfg->limits[i] = cfg->limits[--cfg->nlimits];
		return;
	}
}

static bool is_duplicate_limit(const config_t *cfg, const config_limit_t *l)
{
	for (const config_limit_t *at = cfg->limits; at < l; at++)
		if (strcmp(at->caller, l->caller) == 0)
			return true;
	return false;
}

/** Reads the [[limit]] tables; keys that a table does not set get the built-in defaults. */
static status_t read_limits(const toml_doc_t *doc, config_t *cfg)
{
	size_t n = toml_table_count(toml_root(doc), "limit");
	status_t st = STATUS_OK;

	cfg->limits = mem_new(n * sizeof(*cfg->limits));
	for (size_t i = 0; i < n && st == STATUS_OK; i++) {
		const toml_table_t *at = toml_table_at(toml_root(doc), "limit", i);
		config_limit_t *l = &cfg->limits[i];

		*l = (config_limit_t){NULL, RATE_DEFAULT, BURST_DEFAULT, 1};
		st = read_limit(doc, at, l);
		cfg->nlimits = i + 1;
		if (st == STATUS_OK && is_duplicate_limit(cfg, l))
			st = fail_at(doc, at, "caller", "a second limit for", l->caller);
	}
	if (st == STATUS_OK)
		extract_default_limit(cfg);
	return st;
}

/** Depth-first search for circular dependencies. */
typedef struct {
	const toml_doc_t *doc;
	const config_t *cfg;
	enum { UNVISITED, ON_PATH, VISITED } * visit_states;
	const config_service_t **path; /* services being visited, from the root down */
	size_t depth;
} cycle_search_t;

/** Fails with the names of the services in the cycle. */
static status_t fail_circular(const cycle_search_t *s, const toml_table_t *table,
			      const config_service_t *to)
{
	AUTO_BUF cycle = {0};
	size_t i = 0;

	while (s->path[i] != to)
		i++;
	for (; i < s->depth; i++)
		buf_addf(&cycle, "%s -> ", s->path[i]->name);
	buf_add(&cycle, str_c(to->name));
	return fail_at(s->doc, table, "depends", "circular:", cycle.p);
}

/** Visits a service and all that it depends on, directly or not. */
static status_t visit_service(cycle_search_t *s, size_t at)
{
	const config_service_t *service = &s->cfg->services[at];
	const toml_table_t *table = toml_table_at(toml_root(s->doc), "service", at);
	status_t st = STATUS_OK;

	s->visit_states[at] = ON_PATH;
	s->path[s->depth++] = service;
	for (size_t i = 0; i < service->ndepends && st == STATUS_OK; i++) {
		const config_service_t *to =
			config_find_service(s->cfg, str_c(service->depends[i]));
		size_t next = to ? (size_t)(to - s->cfg->services) : 0;

		if (!to)
			st = fail_at(s->doc, table, "depends", "no service", service->depends[i]);
		else if (s->visit_states[next] == ON_PATH)
			st = fail_circular(s, table, to);
		else if (s->visit_states[next] == UNVISITED)
			st = visit_service(s, next);
	}
	s->depth--;
	s->visit_states[at] = VISITED;
	return st;
}

static status_t check_dependencies(const toml_doc_t *doc, const config_t *cfg)
{
	cycle_search_t s = {.doc = doc, .cfg = cfg};
	status_t st = STATUS_OK;

	s.visit_states = mem_new(cfg->nservices * sizeof(*s.visit_states));
	s.path = mem_new(cfg->nservices * sizeof(config_service_t *));
	for (size_t i = 0; i < cfg->nservices && st == STATUS_OK; i++)
		if (s.visit_states[i] == UNVISITED)
			st = visit_service(&s, i);
	free(s.visit_states);
	free(s.path);
	return st;
}

static status_t read_config(const toml_doc_t *doc, config_t *cfg)
{
	const toml_key_t keys[] = {
		{"retention_s", TOML_INT, false, 1, RETENTION_S_MAX, &cfg->retention_s},
		{"address_ttl_s", TOML_INT, false, 1, ADDRESS_TTL_S_MAX, &cfg->address_ttl_s},
		{"weight_loads_per_min", TOML_INT, false, 1, RATE_MAX, &cfg->weight_loads_per_min},
		{0},
	};
	const char *const sub[] = {"service", "limit", "route", "customer", NULL};
	status_t st = toml_read(doc, toml_root(doc), keys, sub);

	if (st == STATUS_OK)
		st = read_services(doc, cfg);
	if (st == STATUS_OK)
		st = read_limits(doc, cfg);
	if (st == STATUS_OK)
		st = check_dependencies(doc, cfg);
	if (st == STATUS_OK)
		st = config_read_routes(doc, cfg);
	return st;
}

status_t config_parse(str_t text, config_t **out)
{
	AUTO_TOML *doc = NULL;
	config_t *cfg;
	status_t st = toml_parse(text, "text", &doc);

	*out = NULL;
	if (st != STATUS_OK)
		return st;
	cfg = mem_new(sizeof(*cfg));
	cfg->retention_s = RETENTION_S_DEFAULT;
	cfg->address_ttl_s = ADDRESS_TTL_S_DEFAULT;
	cfg->weight_loads_per_min = WEIGHT_LOADS_DEFAULT;
	cfg->default_limit = (config_limit_t){str_dup(STR("*")), RATE_DEFAULT, BURST_DEFAULT, 1};
	st = read_config(doc, cfg);
	if (st == STATUS_OK)
		*out = cfg;
	else
		config_free(cfg);
	return st;
}
