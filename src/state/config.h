/** The operators' text: services, their dependencies and limits, checked before it is accepted. */
#ifndef AUBURN_CONFIG_H
#define AUBURN_CONFIG_H

#include <stdbool.h>
#include <stdint.h>
#include "base/status.h"
#include "base/str.h"
#include "state/route_table.h"

typedef enum { CONFIG_ENGINE, CONFIG_PLAIN } config_service_kind_t;

typedef struct {
	char *name;
	config_service_kind_t kind;
	char **depends;
	size_t ndepends;
	double latency_weight; /* 0 = batch throughput, 1 = online tail latency */
	int64_t slots; /* streams that one replica runs at once */
	int64_t reserved_slots; /* slots of a replica that batch may not use */
	int64_t concurrency; /* online requests at once over the fleet, 0 = no bound */
	int64_t step_bound_ms; /* time between tokens that batch may not push it over */
	int64_t stall_ms; /* a stream silent for longer is broken off */
	int64_t online_deadline_ms; /* when the caller names none */
	int64_t retry_percent; /* retry budget: share of requests that may be retried */
	bool repeatable; /* calls may run more than once (plain services) */
	bool checks_fencing; /* its engines refuse an old fencing number */
	char *model; /* model, version and adapter that its replicas must hold; may be NULL */
	char *version;
	char *adapter;
} config_service_t;

typedef struct {
	char *caller;
	int64_t rate_per_s;
	int64_t burst;
	int64_t share; /* weight in the fair share */
} config_limit_t;

typedef struct {
	uint64_t number;
	int64_t retention_s; /* how long results stay readable */
	int64_t address_ttl_s; /* how long an address answer may be kept */
	int64_t weight_loads_per_min; /* token bucket of the weight store */
	config_service_t *services;
	size_t nservices;
	config_limit_t *limits;
	size_t nlimits;
	config_limit_t default_limit;
	route_table_t *routes; /* never NULL; may hold none */
} config_t;

/** Parses and checks: unknown keys, wrong types, bounds, unknown or circular dependencies.
 *  STATUS_INVALID with "text:line: key: what". */
status_t config_parse(str_t text, config_t **out);
void config_free(config_t *t);
/** NULL when there is none. */
const config_service_t *config_find_service(const config_t *t, str_t name);
/** The caller's limit, or the default. */
const config_limit_t *config_limit_for(const config_t *t, str_t caller);
/** Digest of a text, as stored with its number. */
uint64_t config_digest(str_t text);

#endif
