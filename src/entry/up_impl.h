/** Inside of the upstream table; for the up_ files only. */
#ifndef AUBURN_UP_IMPL_H
#define AUBURN_UP_IMPL_H

#include "entry/up.h"

struct up {
	en_t *en;
	char *id;
	char *service;
	char *addr;
	char *zone;
	pthread_mutex_t lock; /* guards all below */
	aw_upstream_state_t state;
	uint64_t owner;
	uint64_t fence;
	char owner_addr[64];
	int slots;
	ro_t *ro;
	pk_candidate_t report;
	deadline_t avoid_until;
	int64_t drain_ms; /* as its owner last said */
	rt_breaker_t breaker;
	uint64_t *prefixes; /* sorted */
	size_t nprefixes;
};

struct up_table {
	en_t *en;
	pthread_rwlock_t lock; /* guards the array, not what it points to */
	up_t **v;
	size_t n;
	atomic_uint turn;
};

up_t *up_find(up_table_t *t, str_t id);

#endif
