/* Token buckets, and a bounded map of them by caller. */
#include "policy/bucket.h"

#include <assert.h>
#include <stdlib.h>
#include <uthash.h>
#include "base/str.h"

#define MILLI 1000 /* millitokens in a token */

typedef struct {
	uint64_t caller;
	bucket_t bucket;
	UT_hash_handle hh; /* iterated from the least to the most recently used */
} node_t;

struct bucket_map {
	size_t max;
	node_t *by_caller;
};

static void refill(bucket_t *t, int64_t rate_per_s, int64_t burst, int64_t now_ms)
{
	int64_t full_milli = burst * MILLI;
	int64_t elapsed_ms = now_ms - t->refilled_ms;

	if (t->refilled_ms == 0) {
		t->millitokens = full_milli;
		t->refilled_ms = now_ms;
		return;
	}
	if (elapsed_ms <= 0)
		return;
	t->refilled_ms = now_ms;
	if (t->millitokens > full_milli) {
		t->millitokens = full_milli;
		return;
	}
	/* 1 token/s is 1 millitoken/ms. The comparison avoids an overflow of the product below. */
	if (rate_per_s > 0 && elapsed_ms >= (full_milli - t->millitokens) / rate_per_s + 1)
		t->millitokens = full_milli;
	else
		t->millitokens += elapsed_ms * rate_per_s;
}

bool bucket_take_n(bucket_t *t, int64_t n, int64_t rate_per_s, int64_t burst, int64_t now_ms,
		   int64_t max_wait_ms, int64_t *wait_ms)
{
	int64_t cost_milli = n * MILLI;

	assert(rate_per_s >= 0 && burst >= 0);
	refill(t, rate_per_s, burst, now_ms);
	*wait_ms = 0;
	if (t->millitokens < cost_milli)
		*wait_ms = rate_per_s == 0 || burst == 0
				   ? INT64_MAX
				   : (cost_milli - t->millitokens + rate_per_s - 1) / rate_per_s;
	if (*wait_ms > max_wait_ms)
		return false;
	t->millitokens -= cost_milli;
	return true;
}

bool bucket_take(bucket_t *t, int64_t rate_per_s, int64_t burst, int64_t now_ms,
		 int64_t *retry_after_ms)
{
	return bucket_take_n(t, 1, rate_per_s, burst, now_ms, 0, retry_after_ms);
}

void bucket_init(bucket_t *t, int64_t tokens, int64_t now_ms)
{
	assert(now_ms != 0);
	*t = (bucket_t){tokens * MILLI, now_ms};
}

int64_t bucket_level(const bucket_t *t)
{
	return t->millitokens / MILLI;
}

void bucket_return(bucket_t *t, int64_t n)
{
	t->millitokens += n * MILLI;
}

bucket_map_t *bucket_map_new(size_t max)
{
	bucket_map_t *m = mem_new(sizeof(*m));

	assert(max > 0);
	m->max = max;
	return m;
}

static void evict_least_recently_used(bucket_map_t *m)
{
	node_t *e = m->by_caller;

	assert(e && !e->hh.prev);
	HASH_DEL(m->by_caller, e);
	free(e);
}

void bucket_map_free(bucket_map_t *m)
{
	if (!m)
		return;
	while (m->by_caller)
		evict_least_recently_used(m);
	free(m);
}

static void append_most_recent(bucket_map_t *m, node_t *e)
{
	HASH_ADD(hh, m->by_caller, caller, sizeof(e->caller), e);
}

bucket_t *bucket_map_get(bucket_map_t *m, uint64_t caller, int64_t now_ms)
{
	node_t *e;

	HASH_FIND(hh, m->by_caller, &caller, sizeof(caller), e);
	if (e) {
		HASH_DEL(m->by_caller, e);
		append_most_recent(m, e);
		return &e->bucket;
	}
	if (HASH_COUNT(m->by_caller) >= m->max)
		evict_least_recently_used(m);
	e = mem_new(sizeof(*e));
	e->caller = caller;
	append_most_recent(m, e);
	assert(HASH_COUNT(m->by_caller) <= m->max);
	return &e->bucket;
}

size_t bucket_map_bytes(const bucket_map_t *m)
{
	return sizeof(*m) + HASH_COUNT(m->by_caller) * sizeof(node_t) +
	       (m->by_caller ? HASH_OVERHEAD(hh, m->by_caller) -
				       HASH_COUNT(m->by_caller) * sizeof(UT_hash_handle)
			     : 0);
}
