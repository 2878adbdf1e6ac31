#include "state/ru.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

ru_t *ru_new(void)
{
	return mem_new(sizeof(ru_t));
}

static void route_free(ru_route_t *r)
{
	for (size_t i = 0; i < r->nshares; i++)
		free(r->shares[i].service);
	free(r->shares);
	free(r->name);
	free(r->host);
	free(r->prefix);
}

void ru_free(ru_t *r)
{
	if (!r)
		return;
	for (size_t i = 0; i < r->nroutes; i++)
		route_free(&r->routes[i]);
	for (size_t i = 0; i < r->nservices; i++) {
		free(r->services[i].name);
		free(r->services[i].health_path);
	}
	free(r->routes);
	free(r->services);
	free(r);
}

void ru_cleanup(ru_t **r)
{
	ru_free(*r);
}

const ru_service_t *ru_service(const ru_t *r, str_t name)
{
	for (size_t i = 0; i < r->nservices; i++) {
		if (str_eq(str_c(r->services[i].name), name))
			return &r->services[i];
	}
	return NULL;
}

static status_t check_shares(const ru_t *r, const ru_route_t *t)
{
	int64_t sum = 0;

	for (size_t i = 0; i < t->nshares; i++) {
		if (!ru_service(r, str_c(t->shares[i].service)))
			return st_fail(ST_INVALID, "route \"%s\": service \"%s\" does not exist",
				       t->name, t->shares[i].service);
		if (t->shares[i].weight < 0)
			return st_fail(ST_INVALID, "route \"%s\": a weight is negative", t->name);
		sum += t->shares[i].weight;
	}
	if (sum == 0)
		return st_fail(ST_INVALID, "route \"%s\": its weights add up to 0", t->name);
	return ST_OK;
}

static status_t check_route(const ru_t *r, const ru_route_t *t)
{
	size_t n = strlen(t->prefix);

	if (n == 0 || t->prefix[0] != '/' || t->prefix[n - 1] != '/')
		return st_fail(ST_INVALID,
			       "route \"%s\": prefix \"%s\" does not begin and end with a slash",
			       t->name, t->prefix);
	if (t->timeout_ms <= 0)
		return st_fail(ST_INVALID, "route \"%s\": a timeout of %lld ms", t->name,
			       (long long)t->timeout_ms);
	for (const ru_route_t *u = r->routes; u < t; u++) {
		if (strcasecmp(u->host, t->host) == 0 && strcmp(u->prefix, t->prefix) == 0)
			return st_fail(ST_INVALID, "routes \"%s\" and \"%s\" share host and prefix",
				       u->name, t->name);
	}
	return check_shares(r, t);
}

status_t ru_check(const ru_t *r)
{
	for (size_t i = 0; i < r->nroutes; i++) {
		status_t st = check_route(r, &r->routes[i]);

		if (st != ST_OK)
			return st;
	}
	return ST_OK;
}

static bool same_host(str_t a, const char *b)
{
	return strlen(b) == a.n && strncasecmp(a.p, b, a.n) == 0;
}

const ru_route_t *ru_match(const ru_t *r, str_t host, str_t path)
{
	const ru_route_t *best = NULL;
	const char *colon = memchr(host.p, ':', host.n);

	if (colon)
		host.n = (size_t)(colon - host.p);
	for (size_t i = 0; i < r->nroutes; i++) {
		const ru_route_t *t = &r->routes[i];

		if (!same_host(host, t->host) || !str_starts(path, str_c(t->prefix)))
			continue;
		if (!best || strlen(t->prefix) > strlen(best->prefix))
			best = t;
	}
	return best;
}

const char *ru_pick(const ru_route_t *r, uint64_t dice)
{
	uint64_t sum = 0;

	for (size_t i = 0; i < r->nshares; i++)
		sum += (uint64_t)r->shares[i].weight;
	assert(sum > 0);
	dice %= sum;
	for (size_t i = 0; i < r->nshares; i++) {
		if (dice < (uint64_t)r->shares[i].weight)
			return r->shares[i].service;
		dice -= (uint64_t)r->shares[i].weight;
	}
	return r->shares[0].service;
}
