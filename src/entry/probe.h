/** Asks engines: load reports, cache events, and the models that they hold. */
#ifndef AUBURN_PROBE_H
#define AUBURN_PROBE_H

#include <jansson.h>
#include "entry/upstream.h"

void probe_start(entry_ctx_t *en);

/** GETs JSON from an engine; NULL unless it answered 200. */
json_t *probe_get_json(entry_ctx_t *en, const char *addr, const char *path);

/** What is remembered of one replica between rounds. */
typedef struct probe_replica {
	upstream_t *up;
	uint64_t fence; /* of the ownership that the rest belongs to */
	deadline_t orders_from; /* no order before this */
	deadline_t next_state_read;
	bool prefixes_known;
	json_int_t last_seq; /* last cache event taken */
	struct probe_replica *next;
} probe_replica_t;

/** Takes new cache events; a gap makes the prefixes unknown until the whole list is read. */
void probe_cache_events(entry_ctx_t *en, const upstream_info_t *info, probe_replica_t *r);
/** Brings the replica to the model, version and adapter that the text wants. */
void probe_send_orders(entry_ctx_t *en, const upstream_info_t *info, const entry_config_t *c,
		       const config_service_t *s, probe_replica_t *r);

#endif
