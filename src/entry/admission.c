#include "entry/admission.h"

#include <assert.h>
#include <stdlib.h>
#include <uthash.h>

#define CALLERS_MAX 20000

typedef struct {
	uint64_t service; /* hash of the name */
	int64_t running;
	UT_hash_handle hh;
} service_count_t;

struct admission {
	pthread_mutex_t lock;
	bucket_map_t *buckets;
	service_count_t *counts;
};

admission_t *admission_new(void)
{
	admission_t *a = mem_new(sizeof(*a));

	pthread_mutex_init(&a->lock, NULL);
	a->buckets = bucket_map_new(CALLERS_MAX);
	return a;
}

bool admission_take_rate(admission_t *a, str_t caller, const config_limit_t *limit,
			 int64_t *retry_after_ms)
{
	int64_t now = clock_now_ms();
	bool ok;

	pthread_mutex_lock(&a->lock);
	ok = bucket_take(bucket_map_get(a->buckets, str_hash(caller), now), limit->rate_per_s,
			 limit->burst, now, retry_after_ms);
	pthread_mutex_unlock(&a->lock);
	return ok;
}

static service_count_t *get_service_count(admission_t *a, str_t service)
{
	uint64_t h = str_hash(service);
	service_count_t *c;

	HASH_FIND(hh, a->counts, &h, sizeof(h), c);
	if (!c) {
		c = mem_new(sizeof(*c));
		c->service = h;
		HASH_ADD(hh, a->counts, service, sizeof(c->service), c);
	}
	return c;
}

bool admission_enter(admission_t *a, str_t service, int64_t bound, unsigned entries)
{
	int64_t share = entries ? (bound + entries - 1) / entries : bound;
	service_count_t *c;
	bool ok;

	pthread_mutex_lock(&a->lock);
	c = get_service_count(a, service);
	ok = bound == 0 || c->running < share;
	if (ok)
		c->running++;
	pthread_mutex_unlock(&a->lock);
	return ok;
}

void admission_leave(admission_t *a, str_t service)
{
	service_count_t *c;

	pthread_mutex_lock(&a->lock);
	c = get_service_count(a, service);
	assert(c->running > 0);
	c->running--;
	pthread_mutex_unlock(&a->lock);
}
