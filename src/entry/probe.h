/** Polls engines for load, prefix cache events and loaded models, and orders them to load
 * models. */
#ifndef AUBURN_PROBE_H
#define AUBURN_PROBE_H

#include <jansson.h>
#include "entry/upstream.h"

void probe_start(entry_ctx_t *en);

/** Gets JSON from an engine; NULL unless the status is 200. */
json_t *probe_get_json(entry_ctx_t *en, const char *addr, const char *path);

/** State of one replica between rounds. */
typedef struct probe_replica {
	upstream_t *up;
	uint64_t fence; /* ownership to which the other fields belong */
	deadline_t orders_from; /* no order is sent earlier */
	deadline_t next_state_read;
	bool prefixes_known;
	json_int_t last_seq; /* last cache event applied */
	struct probe_replica *next;
} probe_replica_t;

/** Applies new events of the prefix cache. After a gap the next round reloads all prefixes. */
void probe_cache_events(entry_ctx_t *en, const upstream_info_t *info, probe_replica_t *r);
/** Orders the engine to load the model, version and adapter of the config if it lacks them. */
void probe_send_orders(entry_ctx_t *en, const upstream_info_t *info, const entry_config_t *c,
		       const config_service_t *s, probe_replica_t *r);

#endif
