/**
 * Route table: which requests are accepted, which services they go to, and their limits and
 * objectives.
 */
#ifndef AUBURN_ROUTE_TABLE_H
#define AUBURN_ROUTE_TABLE_H

#include <stdint.h>
#include "base/status.h"
#include "base/str.h"
#include "state/customers.h"

typedef enum {
	ROUTE_REPEATABLE, /* may run more than once */
	ROUTE_ONCE, /* runs at most once for each request that a caller sends */
	ROUTE_STREAM, /* answered as events; runs once unless resumable */
	ROUTE_BATCH /* takes lots (batches of items, see lots.h), which run later */
} route_kind_t;

/** A service of a route, and the weight with which requests go to it. */
typedef struct {
	char *service;
	int64_t weight;
} route_share_t;

/** One route; times in ms. */
typedef struct {
	char *name;
	char *host;
	char *prefix; /* begins and ends with a slash */
	route_kind_t kind;
	route_share_t *shares;
	size_t nshares;
	int64_t timeout_ms; /* longest time for which a caller waits */
	int64_t objective_ms; /* time until the first byte; ROUTE_BATCH: until a lot is accepted */
	int64_t pause_ms; /* longest pause between two events that still meets the objective */
	int64_t give_up_ms; /* key patience_ms: caller timeout between events; 0: none */
	int64_t due_ms; /* ROUTE_BATCH: from acceptance until all results are due */
	int64_t retention_ms; /* ROUTE_BATCH: time after which an unfinished item may be given up */
	int64_t attempts; /* replicas that may be tried for one request */
	int64_t priority; /* 0 is the highest */
	int64_t waiting_tokens_max; /* ROUTE_BATCH: quota for all callers together; 0: none */
	bool resumable;
	bool is_public; /* requests need no key although the table has customers */
} route_spec_t;

typedef struct {
	char *name;
	char *health_path;
	int64_t slots; /* requests that one replica runs at once */
	int64_t connections_max; /* to one replica, from all callers */
	int64_t memory_tokens; /* that one replica can hold; 0: unknown, as in decoded deltas */
} route_service_t;

/** Limits on what a client sends and on how long it takes. */
typedef struct {
	int64_t header_bytes;
	int64_t body_bytes;
	int64_t header_ms; /* from the first byte of a request to the end of its header */
	int64_t idle_ms; /* without a byte, between requests or within a body */
} route_client_limits_t;

typedef struct {
	uint64_t version; /* the operators' own number of this table */
	route_spec_t *routes;
	size_t nroutes;
	route_service_t *services;
	size_t nservices;
	route_client_limits_t limits;
	customers_t *customers; /* NULL: requests need no key */
	struct route_index_node *nodes; /* one per route */
	struct route_index_node *index; /* by host and prefix; NULL before route_table_build */
	size_t prefix_max; /* bytes of the longest prefix */
} route_table_t;

route_table_t *route_table_new(void);
void route_table_free(route_table_t *r);
void route_table_cleanup(route_table_t **r);
#define AUTO_ROUTE_TABLE __attribute__((cleanup(route_table_cleanup))) route_table_t

/** Checks all routes and builds the index; called once, when the table is complete. STATUS_INVALID
 * with a message: an unknown service, two routes with the same host and prefix, a negative weight,
 * weights that add up to 0, a timeout that is not positive, a malformed prefix. */
status_t route_table_build(route_table_t *r);
/** Returns the route of this host with the longest prefix of path, or NULL. Ignores the port and
 * the case of the host. */
const route_spec_t *route_table_match(const route_table_t *r, str_t host, str_t path);
/** Returns the route of exactly this host and prefix, or NULL. */
const route_spec_t *route_table_find(const route_table_t *r, str_t host, str_t prefix);
bool route_spec_eq(const route_spec_t *a, const route_spec_t *b);
/** Picks a service by weight; equal random values give equal answers. */
const char *route_pick_service(const route_spec_t *r, uint64_t rnd);
/** True if a batch route needs no key. */
bool route_table_has_public_lots(const route_table_t *r);
/** Returns the service with this name, or NULL. */
const route_service_t *route_table_service(const route_table_t *r, str_t name);

#endif
