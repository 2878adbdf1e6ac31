/** Routes: which requests are taken, where they go and what is promised about them. */
#ifndef AUBURN_ROUTE_TABLE_H
#define AUBURN_ROUTE_TABLE_H

#include <stdint.h>
#include "base/status.h"
#include "base/str.h"

typedef enum {
	ROUTE_REPEATABLE, /* may run more than once */
	ROUTE_ONCE, /* runs at most once for each attempt of the caller */
	ROUTE_STREAM, /* answered as events; runs once unless it may be resumed */
	ROUTE_BATCH /* lots of items that run later */
} route_kind_t;

/** A share of a route's requests goes to this service. */
typedef struct {
	char *service;
	int64_t weight;
} route_share_t;

/** Times in ms. */
typedef struct {
	char *name;
	char *host;
	char *prefix; /* begins and ends with a slash */
	route_kind_t kind;
	route_share_t *shares;
	size_t nshares;
	int64_t timeout_ms; /* the longest that a caller is kept waiting */
	int64_t objective_ms; /* until the first byte; ROUTE_BATCH: until a lot is accepted */
	int64_t pause_ms; /* longest pause between events that is still in time */
	int64_t give_up_ms; /* without an event for so long a caller leaves; 0: at its deadline */
	int64_t due_ms; /* ROUTE_BATCH: from acceptance until all results are due */
	int64_t retention_ms; /* ROUTE_BATCH: until an item may be given up */
	int64_t attempts; /* replicas that one attempt of a caller may be sent to */
	int64_t priority; /* 0 goes first */
	int64_t waiting_tokens_max; /* ROUTE_BATCH: quota over all its callers; 0: none */
	bool resumable;
} route_spec_t;

typedef struct {
	char *name;
	char *health_path;
	int64_t slots; /* requests that a replica runs at once */
	int64_t connections_max; /* at one replica, from all callers */
} route_service_t;

/** What a client may send, and how long it may take. */
typedef struct {
	int64_t header_bytes;
	int64_t body_bytes;
	int64_t header_ms;
	int64_t idle_ms;
} route_client_limits_t;

typedef struct {
	uint64_t version; /* the operators' own number of it */
	route_spec_t *routes;
	size_t nroutes;
	route_service_t *services;
	size_t nservices;
	route_client_limits_t limits;
	struct route_index_node *slots; /* one a route */
	struct route_index_node *index; /* by host and prefix; NULL until route_table_build */
	size_t prefix_max; /* bytes of the longest prefix */
} route_table_t;

route_table_t *route_table_new(void);
void route_table_free(route_table_t *r);
void route_table_cleanup(route_table_t **r);
#define AUTO_ROUTE_TABLE __attribute__((cleanup(route_table_cleanup))) route_table_t

/** Checks all routes and makes them findable; called once, when they are complete. STATUS_INVALID
 * with a message: an unknown service, two routes with one host and prefix, weights that add up to
 * 0, a timeout of 0, a malformed prefix. */
status_t route_table_build(route_table_t *r);
/** The route of this host with the longest prefix of path; NULL when there is none. */
const route_spec_t *route_table_match(const route_table_t *r, str_t host, str_t path);
/** The route of exactly this host and prefix; NULL when there is none. */
const route_spec_t *route_table_find(const route_table_t *r, str_t host, str_t prefix);
bool route_spec_eq(const route_spec_t *a, const route_spec_t *b);
/** Picks by weight; equal dice give equal answers. */
const char *route_pick_service(const route_spec_t *r, uint64_t dice);
const route_service_t *route_table_service(const route_table_t *r, str_t name);

#endif
