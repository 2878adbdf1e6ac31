#include "policy/quota.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include "policy/bucket.h"

#define MS_PER_S 1000
/** The tolerance is split into this many parts. A leader starts with one part, and may take one
 * part in advance, of which its successor knows nothing: a window with two changes of leader uses
 * up all of them. */
#define TOLERANCE_PARTS 4
/** Parts that a change of leader uses up; entries without a leader may use the others. */
#define LEADER_PARTS 2

typedef struct {
	char *customer;
	bucket_t bucket;
	deadline_t next_notice; /* see quota_notice_due */
	UT_hash_handle hh;
} counter_t;

struct quota {
	bool leader;
	quota_tolerance_t tolerance; /* of a leader */
	counter_t *counters;
};

quota_t *quota_new_leader(const quota_tolerance_t *tolerance)
{
	quota_t *q = mem_new(sizeof(*q));

	q->leader = true;
	q->tolerance = *tolerance;
	return q;
}

quota_t *quota_new_share(void)
{
	return mem_new(sizeof(quota_t));
}

void quota_free(quota_t *q)
{
	counter_t *c;

	if (!q)
		return;
	while ((c = q->counters)) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
		HASH_DEL(q->counters, c);
		free(c->customer);
		free(c);
	}
	free(q);
}

/* Requests by which the customer may exceed its quota in a window. */
static int64_t tolerance_of(const quota_t *q, const quota_customer_t *c)
{
	const quota_tolerance_t *t = &q->tolerance;
	int64_t limit = c->rate_per_s * t->window_ms / MS_PER_S + c->burst;

	return limit * t->over_percent / 100 + t->slack;
}

static counter_t *find_counter(const quota_t *q, str_t customer)
{
	counter_t *k;

	HASH_FIND(hh, q->counters, customer.p, customer.n, k);
	return k;
}

/* Finds the customer's bucket, or adds one with `tokens` in it. */
static counter_t *get_counter(quota_t *q, str_t customer, int64_t tokens, deadline_t now)
{
	counter_t *k = find_counter(q, customer);

	if (k)
		return k;
	k = mem_new(sizeof(*k));
	k->customer = str_dup(customer);
	bucket_init(&k->bucket, tokens, now);
	HASH_ADD_KEYPTR(hh, q->counters, k->customer, customer.n, k);
	return k;
}

bool quota_take(quota_t *q, const quota_customer_t *c, unsigned entries, int64_t max_wait_ms,
		deadline_t now, int64_t *wait_ms)
{
	int64_t cost = entries;
	int64_t depth = c->burst > cost ? c->burst : cost;
	int64_t start = depth;
	int64_t longest_ms = 0;

	assert(entries > 0);
	*wait_ms = 0;
	if (c->rate_per_s == 0 && c->burst == 0)
		return true;
	if (q->leader) {
		start = tolerance_of(q, c) / TOLERANCE_PARTS;
		longest_ms = c->rate_per_s ? start * MS_PER_S / c->rate_per_s : 0;
	}
	return bucket_take_n(&get_counter(q, c->customer, start, now)->bucket, cost, c->rate_per_s,
			     depth, now, max_wait_ms < longest_ms ? max_wait_ms : longest_ms,
			     wait_ms);
}

bool quota_is_low(const quota_t *q, const quota_customer_t *c)
{
	const counter_t *k = find_counter(q, c->customer);
	int64_t spare = tolerance_of(q, c) * (TOLERANCE_PARTS - LEADER_PARTS) / TOLERANCE_PARTS;

	return k && c->burst - bucket_level(&k->bucket) > spare;
}

void quota_return(quota_t *q, str_t customer, unsigned entries)
{
	counter_t *k = find_counter(q, customer);

	if (k)
		bucket_return(&k->bucket, entries);
}

void quota_exhaust(quota_t *q, str_t customer, deadline_t now)
{
	bucket_init(&get_counter(q, customer, 0, now)->bucket, 0, now);
}

bool quota_notice_due(quota_t *q, str_t customer, deadline_t now, int64_t period_ms)
{
	counter_t *k = find_counter(q, customer);

	if (!k || now < k->next_notice)
		return false;
	k->next_notice = now + period_ms;
	return true;
}

size_t quota_customers(const quota_t *q)
{
	return HASH_COUNT(q->counters);
}
