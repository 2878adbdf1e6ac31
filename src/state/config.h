/**
 * The operators' config: services, their dependencies, callers' limits and routes, checked before
 * it is accepted.
 */
#ifndef AUBURN_CONFIG_H
#define AUBURN_CONFIG_H

#include <stdbool.h>
#include <stdint.h>
#include "base/status.h"
#include "base/str.h"
#include "state/route_table.h"

/** CONFIG_ENGINE: model engines, which run streams; CONFIG_PLAIN: other HTTP services. */
typedef enum { CONFIG_ENGINE, CONFIG_PLAIN } config_service_kind_t;

typedef struct {
	char *name;
	config_service_kind_t kind;
	char **depends;
	size_t ndepends;
	double latency_weight; /* 0: batch throughput, 1: online tail latency */
	int64_t slots; /* requests that one replica runs at once */
	int64_t reserved_slots; /* key kept_slots: slots that batch items may not use */
	int64_t concurrency; /* online requests at once in the whole fleet; 0: no limit */
	int64_t step_bound_ms; /* longest time between tokens that batch items may cause */
	int64_t stall_ms; /* a stream without events for longer is aborted */
	int64_t online_deadline_ms; /* deadline of requests whose caller sets none */
	int64_t retry_percent; /* retry budget: percentage of requests that may be retried */
	bool repeatable; /* plain services: calls may run more than once */
	bool checks_fencing; /* its engines reject an old fencing token */
	char *model; /* model, version and adapter that its replicas load; may be NULL */
	char *version;
	char *adapter;
} config_service_t;

typedef struct {
	char *caller;
	int64_t rate_per_s; /* rate and burst of the caller's token bucket, in requests */
	int64_t burst;
	int64_t share; /* weight in the fair share */
} config_limit_t;

typedef struct {
	uint64_t number;
	int64_t retention_s; /* for which results can be read */
	int64_t address_ttl_s; /* for which clients may cache an address answer */
	int64_t weight_loads_per_min; /* for the whole fleet: loads of model weights by engines */
	config_service_t *services;
	size_t nservices;
	config_limit_t *limits;
	size_t nlimits;
	config_limit_t default_limit;
	route_table_t *routes; /* never NULL; may be empty */
} config_t;

/** Parses and checks a config: unknown keys, wrong types, limits, unknown or circular dependencies,
 * routes. The message of STATUS_INVALID begins with "text:LINE: KEY: ", or names the route. */
status_t config_parse(str_t text, config_t **out);
void config_free(config_t *cfg);
/** Returns NULL if there is none. */
const config_service_t *config_find_service(const config_t *cfg, str_t name);
/** Returns the caller's limit, or the default limit. */
const config_limit_t *config_limit_for(const config_t *cfg, str_t caller);
/** Appends a config in TOML with the API keys of its customers masked, line by line, so that it can
 * be shown. Comments inside the lists of keys are left out. */
void config_mask_keys(str_t text, buf_t *out);
/** Digest of a config's text, stored under the config's number. */
uint64_t config_digest(str_t text);

#endif
