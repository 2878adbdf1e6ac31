/** Asks engines: load reports, cache events, and the models that they hold. */
#ifndef AUBURN_PR_H
#define AUBURN_PR_H

#include <jansson.h>
#include "entry/up.h"

void pr_start(en_t *en);

/** GETs JSON from an engine; NULL unless it answered 200. */
json_t *pr_get(en_t *en, const char *addr, const char *path);

/** What is remembered of one replica between rounds. */
typedef struct pr_replica {
	up_t *up;
	uint64_t fence; /* of the ownership that the rest belongs to */
	deadline_t orders_from; /* no order before this */
	deadline_t next_state;
	bool prefixes_known;
	json_int_t seq; /* last cache event taken */
	struct pr_replica *next;
} pr_replica_t;

/** Takes new cache events; a gap makes the prefixes unknown until the whole list is read. */
void pr_cache(en_t *en, const up_info_t *info, pr_replica_t *r);
/** Brings the replica to the model, version and adapter that the text wants. */
void pr_orders(en_t *en, const up_info_t *info, const en_conf_t *c, const tx_service_t *s,
	       pr_replica_t *r);

#endif
