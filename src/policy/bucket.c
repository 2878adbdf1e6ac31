#include "policy/bucket.h"

#include <assert.h>
#include <stdlib.h>
#include <uthash.h>
#include "base/str.h"

#define MILLI 1000 /* thousandths of a token */

typedef struct {
	uint64_t caller;
	bucket_t bucket;
	UT_hash_handle hh; /* iterated in order of last use, oldest first */
} entry_t;

struct bucket_map {
	size_t max;
	entry_t *by_caller;
};

static void refill(bucket_t *t, int64_t rate_per_s, int64_t burst, int64_t now_ms)
{
	int64_t full = burst * MILLI;
	int64_t passed = now_ms - t->refilled_ms;

	if (t->refilled_ms == 0) {
		t->millitokens = full;
		t->refilled_ms = now_ms;
		return;
	}
	if (passed <= 0)
		return;
	t->refilled_ms = now_ms;
	/* One thousandth of a token a ms for each token a second. */
	if (rate_per_s > 0 && passed >= (full - t->millitokens) / rate_per_s + 1)
		t->millitokens = full;
	else
		t->millitokens += passed * rate_per_s;
}

bool bucket_take(bucket_t *t, int64_t rate_per_s, int64_t burst, int64_t now_ms,
		 int64_t *retry_after_ms)
{
	assert(rate_per_s >= 0 && burst >= 0);
	refill(t, rate_per_s, burst, now_ms);
	*retry_after_ms = 0;
	if (t->millitokens >= MILLI) {
		t->millitokens -= MILLI;
		return true;
	}
	if (rate_per_s == 0 || burst == 0)
		*retry_after_ms = INT64_MAX;
	else
		*retry_after_ms = (MILLI - t->millitokens + rate_per_s - 1) / rate_per_s;
	return false;
}

bucket_map_t *bucket_map_new(size_t max)
{
	bucket_map_t *m = mem_new(sizeof(*m));

	assert(max > 0);
	m->max = max;
	return m;
}

static void drop_oldest(bucket_map_t *m)
{
	entry_t *e = m->by_caller;

	assert(e && !e->hh.prev);
	HASH_DEL(m->by_caller, e);
	free(e);
}

void bucket_map_free(bucket_map_t *m)
{
	if (!m)
		return;
	while (m->by_caller)
		drop_oldest(m);
	free(m);
}

static void add_last(bucket_map_t *m, entry_t *e)
{
	HASH_ADD(hh, m->by_caller, caller, sizeof(e->caller), e);
}

bucket_t *bucket_map_get(bucket_map_t *m, uint64_t caller, int64_t now_ms)
{
	entry_t *e;

	HASH_FIND(hh, m->by_caller, &caller, sizeof(caller), e);
	if (e) {
		HASH_DEL(m->by_caller, e);
		add_last(m, e);
		return &e->bucket;
	}
	if (HASH_COUNT(m->by_caller) >= m->max)
		drop_oldest(m);
	e = mem_new(sizeof(*e));
	e->caller = caller;
	add_last(m, e);
	assert(HASH_COUNT(m->by_caller) <= m->max);
	return &e->bucket;
}

size_t bucket_map_bytes(const bucket_map_t *m)
{
	return sizeof(*m) + HASH_COUNT(m->by_caller) * sizeof(entry_t) +
	       (m->by_caller ? HASH_OVERHEAD(hh, m->by_caller) -
				       HASH_COUNT(m->by_caller) * sizeof(UT_hash_handle)
			     : 0);
}
