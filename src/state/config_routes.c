/* Routes and customers of the operators' config. */
#include <stdlib.h>
#include <string.h>
#include "state/config_internal.h"

#define NAME_BYTES_MAX	   128
#define PREFIX_BYTES_MAX   1024
#define SHARES_MAX	   32
#define TIMEOUT_MS_MAX	   (24LL * 3600 * 1000)
#define RETENTION_S_MAX	   (366LL * 86400)
#define ATTEMPTS_MAX	   16
#define PRIORITY_MAX	   9
#define TOKENS_MAX	   (1LL << 50)
#define KEYS_MAX	   64
#define RATE_MAX	   1000000000LL
#define TIMEOUT_DEFAULT_MS 30000
/** Limits on what clients send; this config format has no keys for them. Usual values of HTTP
 * servers. */
#define HEADER_BYTES 16384
#define BODY_BYTES   (8LL << 20)
#define HEADER_MS    5000
#define IDLE_MS	     60000

#define MS_PER_S 1000

static const struct {
	const char *word;
	route_kind_t kind;
} kinds[] = {{"repeatable", ROUTE_REPEATABLE},
	     {"once", ROUTE_ONCE},
	     {"stream", ROUTE_STREAM},
	     {"batch", ROUTE_BATCH}};

static status_t read_kind(const toml_doc_t *doc, const toml_table_t *t, const char *word,
			  route_spec_t *r)
{
	for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
		if (strcmp(kinds[i].word, word) == 0) {
			r->kind = kinds[i].kind;
			return STATUS_OK;
		}
	}
	return status_fail(STATUS_INVALID, "%s:%d: kind: unknown kind \"%s\"", toml_name(doc),
			   toml_line(t, "kind"), word);
}

/* "service" or "service=weight". */
static void read_share(const char *text, route_share_t *s)
{
	const char *eq = strrchr(text, '=');

	*s = eq ? (route_share_t){str_dup((str_t){text, (size_t)(eq - text)}), atoll(eq + 1)}
		: (route_share_t){str_dup(str_c(text)), 1};
}

static status_t read_route(const toml_doc_t *doc, const toml_table_t *t, route_spec_t *r)
{
	AUTO_FREE char *kind = NULL;
	toml_strs_t services = {0};
	int64_t retention_s = 0;
	const toml_key_t keys[] = {
		{"name", TOML_STR, true, 1, NAME_BYTES_MAX, &r->name},
		{"host", TOML_STR, true, 1, NAME_BYTES_MAX, &r->host},
		{"prefix", TOML_STR, true, 1, PREFIX_BYTES_MAX, &r->prefix},
		{"kind", TOML_STR, true, 1, NAME_BYTES_MAX, &kind},
		{"services", TOML_STRS, true, 1, SHARES_MAX, &services},
		{"timeout_ms", TOML_INT, false, 1, TIMEOUT_MS_MAX, &r->timeout_ms},
		{"objective_ms", TOML_INT, false, 1, TIMEOUT_MS_MAX, &r->objective_ms},
		{"pause_ms", TOML_INT, false, 0, TIMEOUT_MS_MAX, &r->pause_ms},
		{"patience_ms", TOML_INT, false, 0, TIMEOUT_MS_MAX, &r->give_up_ms},
		{"due_ms", TOML_INT, false, 0, TIMEOUT_MS_MAX, &r->due_ms},
		{"retention_s", TOML_INT, false, 1, RETENTION_S_MAX, &retention_s},
		{"attempts", TOML_INT, false, 1, ATTEMPTS_MAX, &r->attempts},
		{"priority", TOML_INT, false, 0, PRIORITY_MAX, &r->priority},
		{"waiting_tokens_max", TOML_INT, false, 0, TOKENS_MAX, &r->waiting_tokens_max},
		{"resumable", TOML_BOOL, false, 0, 0, &r->resumable},
		{"public", TOML_BOOL, false, 0, 0, &r->is_public},
		{0},
	};
	status_t st;

	r->timeout_ms = r->objective_ms = TIMEOUT_DEFAULT_MS;
	r->attempts = 1;
	st = toml_read(doc, t, keys, NULL);
	if (st == STATUS_OK)
		st = read_kind(doc, t, kind, r);
	r->retention_ms = retention_s * MS_PER_S;
	r->shares = mem_new((services.n + 1) * sizeof(*r->shares));
	for (; r->nshares < services.n; r->nshares++)
		read_share(services.v[r->nshares], &r->shares[r->nshares]);
	toml_strs_free(&services);
	return st;
}

static status_t read_customer(const toml_doc_t *doc, const toml_table_t *t, customers_t *out)
{
	toml_strs_t secrets = {0};
	customer_t c = {.priority = CUSTOMER_NO_PRIORITY};
	const toml_key_t keys[] = {
		{"name", TOML_STR, true, 1, CUSTOMER_NAME_BYTES_MAX, &c.name},
		{"keys", TOML_STRS, true, 0, KEYS_MAX, &secrets},
		{"rate_per_s", TOML_INT, false, 0, RATE_MAX, &c.rate_per_s},
		{"burst", TOML_INT, false, 0, RATE_MAX, &c.burst},
		{"priority", TOML_INT, false, 0, PRIORITY_MAX, &c.priority},
		{0},
	};
	status_t st = toml_read(doc, t, keys, NULL);

	c.keys = mem_new((secrets.n + 1) * sizeof(*c.keys));
	for (size_t i = 0; i < secrets.n && st == STATUS_OK; i++) {
		str_t key = str_c(secrets.v[i]);

		if (key.n == 0 || key.n > CUSTOMER_KEY_BYTES_MAX)
			st = status_fail(STATUS_INVALID,
					 "%s:%d: keys: key %zu is empty or longer than %d bytes",
					 toml_name(doc), toml_line(t, "keys"), i + 1,
					 CUSTOMER_KEY_BYTES_MAX);
		else
			c.keys[c.nkeys++] = customer_key_hash(key);
	}
	toml_strs_free(&secrets);
	if (st == STATUS_OK)
		return customers_add(out, &c);
	customer_free_contents(&c);
	return st;
}

static status_t read_customers(const toml_doc_t *doc, route_table_t *r)
{
	size_t n = toml_table_count(toml_root(doc), "customer");
	status_t st = STATUS_OK;

	if (n > 0)
		r->customers = customers_new();
	for (size_t i = 0; i < n && st == STATUS_OK; i++)
		st = read_customer(doc, toml_table_at(toml_root(doc), "customer", i), r->customers);
	return st;
}

static void copy_services(const config_t *cfg, route_table_t *r)
{
	r->services = mem_new((cfg->nservices + 1) * sizeof(*r->services));
	for (; r->nservices < cfg->nservices; r->nservices++) {
		const config_service_t *s = &cfg->services[r->nservices];

		r->services[r->nservices] = (route_service_t){
			.name = str_dup(str_c(s->name)),
			.health_path = str_dup(STR("")),
			.slots = s->slots,
		};
	}
}

status_t config_read_routes(const toml_doc_t *doc, config_t *cfg)
{
	size_t n = toml_table_count(toml_root(doc), "route");
	route_table_t *r = cfg->routes = route_table_new();
	status_t st = STATUS_OK;

	r->limits = (route_client_limits_t){HEADER_BYTES, BODY_BYTES, HEADER_MS, IDLE_MS};
	copy_services(cfg, r);
	st = read_customers(doc, r);
	r->routes = mem_new((n + 1) * sizeof(*r->routes));
	for (size_t i = 0; i < n && st == STATUS_OK; i++) {
		r->nroutes = i + 1;
		st = read_route(doc, toml_table_at(toml_root(doc), "route", i), &r->routes[i]);
	}
	return st == STATUS_OK ? route_table_build(r) : st;
}
