/** Internals of the upstream table, shared by the upstream*.c files. */
#ifndef AUBURN_UPSTREAM_INTERNAL_H
#define AUBURN_UPSTREAM_INTERNAL_H

#include "entry/upstream.h"

struct upstream {
	entry_ctx_t *en;
	char *id;
	char *service;
	char *addr;
	char *zone;
	pthread_mutex_t lock; /* guards all below */
	wire_upstream_state_t state;
	uint64_t owner;
	uint64_t fence;
	char owner_addr[64];
	int slots;
	local_replica_t *replica;
	balance_candidate_t report; /* last load report, of the owner or the engine */
	deadline_t avoid_until;
	int64_t first_token_wait_ms; /* of a new stream, by the owner's last report */
	retry_breaker_t breaker;
	uint64_t *prefixes; /* sorted */
	size_t nprefixes;
};

struct upstream_table {
	entry_ctx_t *en;
	pthread_rwlock_t lock; /* guards the array, not the upstreams in it */
	upstream_t **upstreams; /* only grows */
	size_t n;
	atomic_uint next_plain; /* number of upstream_pick_plain calls: sets where one starts */
};

upstream_t *upstream_find(upstream_table_t *t, str_t id);

#endif
