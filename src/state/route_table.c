#include "state/route_table.h"

#include <assert.h>
#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <uthash.h>

/** Longest host name in DNS, in bytes. */
#define HOST_BYTES_MAX 255

/** A route in the hash table. */
struct route_index_node {
	const route_spec_t *route;
	char *key; /* host in lower case, followed by the prefix */
	UT_hash_handle hh;
};

route_table_t *route_table_new(void)
{
	return mem_new(sizeof(route_table_t));
}

static void spec_free(route_spec_t *r)
{
	for (size_t i = 0; i < r->nshares; i++)
		free(r->shares[i].service);
	free(r->shares);
	free(r->name);
	free(r->host);
	free(r->prefix);
}

void route_table_free(route_table_t *r)
{
	if (!r)
		return;
	HASH_CLEAR(hh, r->index);
	for (size_t i = 0; i < r->nroutes; i++) {
		spec_free(&r->routes[i]);
		if (r->nodes)
			free(r->nodes[i].key);
	}
	free(r->nodes);
	for (size_t i = 0; i < r->nservices; i++) {
		free(r->services[i].name);
		free(r->services[i].health_path);
	}
	customers_free(r->customers);
	free(r->routes);
	free(r->services);
	free(r);
}

void route_table_cleanup(route_table_t **r)
{
	route_table_free(*r);
}

const route_service_t *route_table_service(const route_table_t *r, str_t name)
{
	for (size_t i = 0; i < r->nservices; i++) {
		if (str_eq(str_c(r->services[i].name), name))
			return &r->services[i];
	}
	return NULL;
}

bool route_table_has_public_lots(const route_table_t *r)
{
	for (size_t i = 0; i < r->nroutes; i++) {
		if (r->routes[i].kind == ROUTE_BATCH && r->routes[i].is_public)
			return true;
	}
	return false;
}

static status_t check_shares(const route_table_t *r, const route_spec_t *t)
{
	int64_t sum = 0;

	for (size_t i = 0; i < t->nshares; i++) {
		if (!route_table_service(r, str_c(t->shares[i].service)))
			return status_fail(STATUS_INVALID,
					   "route \"%s\": service \"%s\" does not exist", t->name,
					   t->shares[i].service);
		if (t->shares[i].weight < 0)
			return status_fail(STATUS_INVALID, "route \"%s\": a weight is negative",
					   t->name);
		sum += t->shares[i].weight;
	}
	if (sum == 0)
		return status_fail(STATUS_INVALID, "route \"%s\": its weights add up to 0",
				   t->name);
	return STATUS_OK;
}

static status_t check_route(const route_table_t *r, const route_spec_t *t)
{
	size_t n = strlen(t->prefix);

	if (n == 0 || t->prefix[0] != '/' || t->prefix[n - 1] != '/')
		return status_fail(
			STATUS_INVALID,
			"route \"%s\": prefix \"%s\" does not begin and end with a slash", t->name,
			t->prefix);
	if (t->timeout_ms <= 0)
		return status_fail(STATUS_INVALID,
				   "route \"%s\": timeout of %lld ms is not positive", t->name,
				   (long long)t->timeout_ms);
	return check_shares(r, t);
}

/* Appends the hash key of a host and prefix. */
static void append_key(buf_t *b, str_t host, str_t prefix)
{
	for (size_t i = 0; i < host.n; i++)
		buf_addc(b, (char)tolower((unsigned char)host.p[i]));
	buf_add(b, prefix);
}

static struct route_index_node *find_node(const route_table_t *r, const char *key, size_t n)
{
	struct route_index_node *node;

	HASH_FIND(hh, r->index, key, n, node);
	return node;
}

/* Adds a route to the hash table; two routes must not have the same host and prefix. */
static status_t index_route(route_table_t *r, size_t i)
{
	const route_spec_t *t = &r->routes[i];
	struct route_index_node *node = &r->nodes[i];
	const struct route_index_node *other;
	AUTO_BUF key = {0};

	append_key(&key, str_c(t->host), str_c(t->prefix));
	other = find_node(r, key.p, key.n);
	if (other)
		return status_fail(STATUS_INVALID, "routes \"%s\" and \"%s\" share host and prefix",
				   other->route->name, t->name);
	node->route = t;
	node->key = str_dup(str_buf(&key));
	HASH_ADD_KEYPTR(hh, r->index, node->key, key.n, node);
	if (strlen(t->prefix) > r->prefix_max)
		r->prefix_max = strlen(t->prefix);
	return STATUS_OK;
}

status_t route_table_build(route_table_t *r)
{
	assert(!r->nodes);
	r->nodes = mem_new((r->nroutes + 1) * sizeof(*r->nodes));
	for (size_t i = 0; i < r->nroutes; i++) {
		status_t st = check_route(r, &r->routes[i]);

		if (st == STATUS_OK)
			st = index_route(r, i);
		if (st != STATUS_OK)
			return st;
	}
	return STATUS_OK;
}

const route_spec_t *route_table_find(const route_table_t *r, str_t host, str_t prefix)
{
	AUTO_BUF key = {0};
	const struct route_index_node *node;

	append_key(&key, host, prefix);
	node = find_node(r, key.p, key.n);
	return node ? node->route : NULL;
}

static bool same_shares(const route_spec_t *a, const route_spec_t *b)
{
	if (a->nshares != b->nshares)
		return false;
	for (size_t i = 0; i < a->nshares; i++) {
		if (a->shares[i].weight != b->shares[i].weight ||
		    strcmp(a->shares[i].service, b->shares[i].service) != 0)
			return false;
	}
	return true;
}

bool route_spec_eq(const route_spec_t *a, const route_spec_t *b)
{
	return strcmp(a->name, b->name) == 0 && strcmp(a->host, b->host) == 0 &&
	       strcmp(a->prefix, b->prefix) == 0 && a->kind == b->kind && same_shares(a, b) &&
	       a->timeout_ms == b->timeout_ms && a->objective_ms == b->objective_ms &&
	       a->pause_ms == b->pause_ms && a->give_up_ms == b->give_up_ms &&
	       a->due_ms == b->due_ms && a->retention_ms == b->retention_ms &&
	       a->attempts == b->attempts && a->priority == b->priority &&
	       a->waiting_tokens_max == b->waiting_tokens_max && a->resumable == b->resumable &&
	       a->is_public == b->is_public;
}

/* Every prefix ends with a slash, so only prefixes of the path that end with one are looked up. */
const route_spec_t *route_table_match(const route_table_t *r, str_t host, str_t path)
{
	const char *colon = memchr(host.p, ':', host.n);
	AUTO_BUF key = {0};

	if (colon)
		host.n = (size_t)(colon - host.p);
	if (host.n > HOST_BYTES_MAX)
		return NULL;
	if (path.n > r->prefix_max)
		path.n = r->prefix_max;
	append_key(&key, host, path);
	for (size_t n = key.n; n > host.n; n--) {
		const struct route_index_node *node;

		if (key.p[n - 1] != '/')
			continue;
		node = find_node(r, key.p, n);
		if (node)
			return node->route;
	}
	return NULL;
}

const char *route_pick_service(const route_spec_t *r, uint64_t rnd)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < r->nshares; i++)
		sum += (uint64_t)r->shares[i].weight;
	assert(sum > 0);
	rnd %= sum;
	for (size_t i = 0; i < r->nshares; i++) {
		if (rnd < (uint64_t)r->shares[i].weight)
			return r->shares[i].service;
		rnd -= (uint64_t)r->shares[i].weight;
	}
	return r->shares[0].service;
}
