/** Polls the engines of local replicas for load, prefix cache events and loaded models, and orders
 * them to load models. */
#ifndef AUBURN_PROBE_H
#define AUBURN_PROBE_H

#include <jansson.h>
#include "entry/upstream.h"

void probe_start(entry_ctx_t *en);

/** Gets JSON from an engine; NULL unless the status is 200. */
json_t *probe_get_json(entry_ctx_t *en, const char *addr, const char *path);

/** State of one replica between two rounds of probe_thread. */
typedef struct probe_replica {
	upstream_t *up;
	uint64_t fence; /* when it changes, the fields below are reset */
	deadline_t orders_from; /* no order is sent before this time */
	deadline_t next_state_read;
	bool prefixes_known;
	json_int_t last_seq; /* last cache event applied */
	struct probe_replica *next;
} probe_replica_t;

/** Reads the engine's list of cached prefixes in the first round, then its changes. After a missed
 * change the next round reads the whole list again. */
void probe_cache_events(entry_ctx_t *en, const upstream_info_t *info, probe_replica_t *r);
/** Orders the engine to load the service's model, version and adapter if they are neither loaded
 * nor being loaded, and if the fleet's rate of loads allows it. */
void probe_send_orders(entry_ctx_t *en, const upstream_info_t *info, const entry_config_t *c,
		       const config_service_t *s, probe_replica_t *r);

#endif
