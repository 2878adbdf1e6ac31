/** Routes: which requests are taken, where they go and what is promised about them. */
#ifndef AUBURN_RU_H
#define AUBURN_RU_H

#include <stdint.h>
#include "base/status.h"
#include "base/str.h"

typedef enum {
	RU_REPEATABLE, /* may run more than once */
	RU_ONCE, /* runs at most once for each attempt of the caller */
	RU_STREAM, /* answered as events; runs once unless it may be resumed */
	RU_BATCH /* lots of items that run later */
} ru_kind_t;

/** A share of a route's requests goes to this service. */
typedef struct {
	char *service;
	int64_t weight;
} ru_share_t;

/** Times in ms. */
typedef struct {
	char *name;
	char *host;
	char *prefix; /* begins and ends with a slash */
	ru_kind_t kind;
	ru_share_t *shares;
	size_t nshares;
	int64_t timeout_ms; /* the longest that a caller is kept waiting */
	int64_t objective_ms; /* until the first byte; RU_BATCH: until a lot is accepted */
	int64_t pause_ms; /* longest pause between events that is still in time */
	int64_t patience_ms; /* without an event for so long a caller leaves; 0: at its deadline */
	int64_t due_ms; /* RU_BATCH: from acceptance until all results are due */
	int64_t retention_ms; /* RU_BATCH: until an item may be given up */
	int64_t attempts; /* replicas that one attempt of a caller may be sent to */
	int64_t priority; /* 0 goes first */
	int64_t waiting_tokens_max; /* RU_BATCH: quota over all its callers; 0: none */
	bool resumable;
} ru_route_t;

typedef struct {
	char *name;
	char *health_path;
	int64_t slots; /* requests that a replica runs at once */
	int64_t connections_max; /* at one replica, from all callers */
} ru_service_t;

/** What a client may send, and how long it may take. */
typedef struct {
	int64_t header_bytes;
	int64_t body_bytes;
	int64_t header_ms;
	int64_t idle_ms;
} ru_limits_t;

typedef struct {
	uint64_t version; /* the operators' own number of it */
	ru_route_t *routes;
	size_t nroutes;
	ru_service_t *services;
	size_t nservices;
	ru_limits_t limits;
	struct ru_slot *slots; /* one a route */
	struct ru_slot *index; /* by host and prefix; NULL until ru_seal */
	size_t prefix_max; /* bytes of the longest prefix */
} ru_t;

ru_t *ru_new(void);
void ru_free(ru_t *r);
void ru_cleanup(ru_t **r);
#define AUTO_RU __attribute__((cleanup(ru_cleanup))) ru_t

/** Checks all routes and makes them findable; called once, when they are complete. ST_INVALID with
 * a message: an unknown service, two routes with one host and prefix, weights that add up to 0, a
 *  timeout of 0, a malformed prefix. */
status_t ru_seal(ru_t *r);
/** The route of this host with the longest prefix of path; NULL when there is none. */
const ru_route_t *ru_match(const ru_t *r, str_t host, str_t path);
/** The route of exactly this host and prefix; NULL when there is none. */
const ru_route_t *ru_find(const ru_t *r, str_t host, str_t prefix);
bool ru_route_eq(const ru_route_t *a, const ru_route_t *b);
/** Picks by weight; equal dice give equal answers. */
const char *ru_pick(const ru_route_t *r, uint64_t dice);
const ru_service_t *ru_service(const ru_t *r, str_t name);

#endif
