/* Load balancing: chooses a replica by its reported load. */
#include "policy/balance.h"

#include <assert.h>

/* Costs by which candidates are compared. The share of slots in use is weighted with COST_FULL, so
 * a replica without free slots costs COST_FULL or more; its queued requests add to the load. */
#define COST_FULL	1000
#define COST_OTHER_ZONE 60
#define COST_HOP	30 /* the request goes through another entry, the replica's owner */
#define GAIN_PREFIX	150 /* subtracted if the prefix is probably cached and a slot is free */
#define COST_STALE	500 /* another entry's replica without a report in the last STALE_MS */
#define STALE_MS	3000
#define RANDOM_BITS	32 /* bits of rnd for the first of two choices; the rest is for the second */

static int64_t cost_of(const balance_candidate_t *c, int64_t now_ms)
{
	int64_t slots = c->slots > 0 ? c->slots : 1;
	int64_t free_slots = (int64_t)c->free_slots - c->sent_since_report;
	int64_t load = free_slots > 0 ? slots - free_slots : slots - free_slots + c->queued;
	int64_t cost = load * COST_FULL / slots;

	if (!c->same_zone)
		cost += COST_OTHER_ZONE;
	if (!c->owned_here)
		cost += COST_HOP;
	if (c->prefix_known && free_slots > 0)
		cost -= GAIN_PREFIX;
	if (!c->owned_here && (c->reported_at == 0 || now_ms - c->reported_at > STALE_MS))
		cost += COST_STALE;
	return cost;
}

static int cheaper(const balance_candidate_t *c, int a, int b, int64_t now_ms)
{
	return cost_of(&c[b], now_ms) < cost_of(&c[a], now_ms) ? b : a;
}

static size_t count_usable(const balance_candidate_t *c, size_t n)
{
	size_t usable = 0;

	for (size_t i = 0; i < n; i++)
		usable += c[i].usable;
	return usable;
}

/** Index of the k-th usable candidate, counted from 0. */
static int usable_at(const balance_candidate_t *c, size_t n, size_t k)
{
	for (size_t i = 0; i < n; i++) {
		if (!c[i].usable)
			continue;
		if (k == 0)
			return (int)i;
		k--;
	}
	assert(!"fewer usable candidates than counted");
	return -1;
}

static int pick_better_of_two(const balance_candidate_t *c, size_t n, size_t usable, uint64_t rnd,
			      int64_t now_ms)
{
	size_t first = (uint32_t)rnd % usable;
	size_t second;

	if (usable == 1)
		return usable_at(c, n, 0);
	second = (first + 1 + (rnd >> RANDOM_BITS) % (usable - 1)) % usable;
	assert(first != second);
	return cheaper(c, usable_at(c, n, first), usable_at(c, n, second), now_ms);
}

static int pick_least_loaded(const balance_candidate_t *c, size_t n, size_t usable, uint64_t rnd,
			     int64_t now_ms)
{
	size_t first = rnd % usable;
	int best = usable_at(c, n, first);

	/* Starts at a random candidate, so that ties don't all go to the same replica. */
	for (size_t k = 1; k < usable; k++)
		best = cheaper(c, best, usable_at(c, n, (first + k) % usable), now_ms);
	return best;
}

int balance_pick(const balance_candidate_t *c, size_t n, balance_policy_t policy, uint64_t rnd,
		 int64_t now_ms)
{
	size_t usable = count_usable(c, n);

	if (usable == 0)
		return -1;
	switch (policy) {
	case BALANCE_RANDOM:
		return usable_at(c, n, rnd % usable);
	case BALANCE_LEAST_LOADED:
		return pick_least_loaded(c, n, usable, rnd, now_ms);
	default:
		return pick_better_of_two(c, n, usable, rnd, now_ms);
	}
}
