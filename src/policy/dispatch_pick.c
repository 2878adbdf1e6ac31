/* Dispatcher: choice of a replica, of an item to preempt, and of the entry that runs an item. */
#include <stdlib.h>
#include <string.h>
#include "base/prng.h"
#include "policy/dispatch_internal.h"

/** Costs by which replicas are ranked for a request. The share of slots in use costs up to
 * COST_SCALE. COST_OTHER_ZONE stands for the traffic between zones, COST_OTHER_PREFIX for
 * processing the prompt's prefix again on a replica that was not the last to be granted it. Both
 * together weigh less than a full replica. */
#define COST_OTHER_ZONE	  2
#define COST_OTHER_PREFIX 1
#define COST_SCALE	  4
/** With this many replicas or more, a request considers SAMPLE_SIZE of them, drawn at random, and
 * all only if none of these has a free slot: going through 3,000 replicas for each request took 124
 * us, more than the leader has. The best of so many is close to the best of all. */
#define SAMPLE_FROM 400
#define SAMPLE_SIZE 96
/** Width of a class of speeds, in thousandths of the service's mean. */
#define SPEED_CLASS 250
/** Typical length of a peak of online requests. */
#define PEAK_MS 3000
/** Maximum number of recorded prompt prefixes; a table of this size takes about 1 MB. */
#define PREFIXES_MAX 8192

static unsigned slots_used(const replica_t *r)
{
	return r->online + r->items;
}

/* Slots that may be in use: only one after a failure, until a run succeeds, the replica restarts or
 * reset_service_health() is called. */
static unsigned slots_allowed(const replica_t *r)
{
	return r->failures > 0 ? 1 : r->slots;
}

/* True if the replica may get work of this service: listed, not leaving, not in back-off after a
 * failure. */
static bool is_usable(const replica_t *r, const service_t *s, deadline_t now)
{
	return !r->leaving && r->listed && now >= r->suspect_until && r->service == s;
}

static bool is_avoided(const waiter_t *q, const replica_t *r)
{
	for (unsigned i = 0; i < q->req.navoid; i++) {
		if (strcmp(q->avoid[i], r->id) == 0)
			return true;
	}
	return false;
}

/* The replica that was last granted a prompt with this prefix, or NULL. */
static replica_t *find_prefix_holder(const dispatch_t *d, uint64_t prefix)
{
	prefix_t *p = NULL;

	if (prefix)
		HASH_FIND(hh, d->prefixes, &prefix, sizeof(prefix), p);
	return p ? p->replica : NULL;
}

static unsigned placement_cost(const replica_t *r, const replica_t *prefix_holder, str_t zone)
{
	unsigned c = slots_used(r) * COST_SCALE / slots_allowed(r);

	if (!str_eq(str_c(r->zone), zone))
		c += COST_OTHER_ZONE;
	if (prefix_holder && prefix_holder != r)
		c += COST_OTHER_PREFIX;
	return c;
}

static str_t zone_of(const entry_t *e)
{
	return e ? str_c(e->zone) : (str_t){"", 0};
}

/* The best of the replicas seen so far for a request. */
typedef struct {
	replica_t *replica;
	int64_t cost;
	unsigned ties;
} choice_t;

/* Considers a replica for a request. */
static void consider(dispatch_t *d, choice_t *best, waiter_t *q, const entry_t *e, replica_t *r,
		     const replica_t *prefix_holder, deadline_t now)
{
	int64_t c;

	if (!is_usable(r, q->service, now) || now < r->full_until || is_avoided(q, r) ||
	    slots_used(r) >= slots_allowed(r) || !dispatch_reaches(d, e, r, now))
		return;
	if (!dispatch_has_memory(r, dispatch_tokens_held(&q->req.tokens))) {
		q->unfit = true;
		return;
	}
	c = q->service->states_speed && (d->weighing.speed || d->weighing.prompts)
		    ? dispatch_cost_us(d, q, r, prefix_holder, zone_of(e), now)
		    : placement_cost(r, prefix_holder, zone_of(e));
	if (best->replica && c > best->cost)
		return;
	if (!best->replica || c < best->cost)
		best->ties = 0;
	/* Random choice among ties (reservoir sampling): independent dispatchers must not all
	 * choose the same replica. */
	if (prng_next(&d->random) % ++best->ties != 0)
		return;
	best->replica = r;
	best->cost = c;
}

static void build_sample(dispatch_t *d)
{
	if (!d->sample_stale)
		return;
	free(d->sample);
	d->sample = mem_new((HASH_COUNT(d->replicas) + 1) * sizeof(*d->sample));
	d->nsample = 0;
	for (replica_t *r = d->replicas; r; r = r->hh.next)
		d->sample[d->nsample++] = r;
	d->sample_stale = false;
}

/** Replicas that have the beginning of a request's prompt cached. */
typedef struct {
	void *holders[DISPATCH_HOLDERS_MAX];
	unsigned n;
} match_t;

static match_t find_match(dispatch_t *d, const waiter_t *q, deadline_t now)
{
	match_t m = {.n = 0};

	d->match_number++;
	if (!q->service->states_speed || !d->weighing.prompts || !d->prompts || q->prompt.n == 0)
		return m;
	m.n = prompt_cache_find(d->prompts, &q->prompt, now, m.holders, DISPATCH_HOLDERS_MAX);
	for (unsigned i = 0; i < m.n; i++)
		((replica_t *)m.holders[i])->match_number = d->match_number;
	return m;
}

/* Considers SAMPLE_SIZE replicas drawn at random, and those that hold the beginning of the prompt.
 */
static void consider_sample(dispatch_t *d, choice_t *best, waiter_t *q, const entry_t *e,
			    replica_t *prefix_holder, const match_t *m, deadline_t now)
{
	build_sample(d);
	for (unsigned i = 0; i < SAMPLE_SIZE; i++) {
		unsigned j = i + (unsigned)(prng_next(&d->random) % (d->nsample - i));
		replica_t *r = d->sample[j];

		d->sample[j] = d->sample[i];
		d->sample[i] = r;
		consider(d, best, q, e, r, prefix_holder, now);
	}
	if (prefix_holder)
		consider(d, best, q, e, prefix_holder, prefix_holder, now);
	for (unsigned i = 0; i < m->n; i++)
		consider(d, best, q, e, m->holders[i], prefix_holder, now);
}

replica_t *dispatch_pick_free(dispatch_t *d, waiter_t *q, const entry_t *e, deadline_t now)
{
	replica_t *prefix_holder = find_prefix_holder(d, q->req.prefix);
	match_t m = find_match(d, q, now);
	choice_t best = {0};

	q->unfit = false;
	if (HASH_COUNT(d->replicas) >= SAMPLE_FROM)
		consider_sample(d, &best, q, e, prefix_holder, &m, now);
	if (best.replica)
		return best.replica;
	for (replica_t *r = d->replicas; r; r = r->hh.next)
		consider(d, &best, q, e, r, prefix_holder, now);
	return best.replica;
}

bool dispatch_item_has_slack(const dispatch_item_t *it, deadline_t now)
{
	return it->due - now - dispatch_item_remaining_ms(it, now) > PEAK_MS;
}

deadline_t dispatch_slack_from(const service_t *s, deadline_t now)
{
	return dispatch_in_time_from(s, now) + PEAK_MS;
}

/* Factors of the same class differ too little to matter; 0 for services that don't state any. */
static int64_t speed_class(const replica_t *r, deadline_t now)
{
	return r->service->states_speed ? replica_speed_factor(&r->speed, now) / SPEED_CLASS : 0;
}

/*
 * True if item a is a better victim for preemption than b. Items with slack (able to wait out a
 * peak and still finish by their due time) are preempted first; among them those on replicas in the
 * zone of the requesting entry, then those with the latest due time. If no item has slack, the
 * preempted one will probably be late, so it is the one with the most remaining work.
 */
static bool better_victim(const dispatch_item_t *a, const dispatch_item_t *b, str_t zone,
			  deadline_t now)
{
	bool a_slack = dispatch_item_has_slack(a, now);
	bool b_slack = dispatch_item_has_slack(b, now);
	bool a_same_zone = str_eq(str_c(a->replica->zone), zone);
	bool b_same_zone = str_eq(str_c(b->replica->zone), zone);

	if (a_slack != b_slack)
		return a_slack;
	if (!a_slack)
		return dispatch_item_remaining_ms(a, now) > dispatch_item_remaining_ms(b, now);
	return a_same_zone == b_same_zone ? a->due > b->due : a_same_zone;
}

/* True if the replica has memory for so many tokens once the item has been stopped. */
static bool fits_after(const dispatch_item_t *it, uint64_t tokens)
{
	return dispatch_has_memory(it->replica, tokens > it->tokens ? tokens - it->tokens : 0);
}

dispatch_item_t *dispatch_pick_victim(dispatch_t *d, const waiter_t *q, const entry_t *e,
				      deadline_t now)
{
	dispatch_item_t *best = NULL;

	for (dispatch_item_t *it = d->running_items; it; it = it->next) {
		if (it->state != ITEM_RUNNING || !it->replica || it->adopt_until ||
		    !is_usable(it->replica, q->service, now) || is_avoided(q, it->replica) ||
		    it->replica->failures > 0 || !dispatch_reaches(d, e, it->replica, now))
			continue;
		if (!fits_after(it, dispatch_tokens_held(&q->req.tokens)))
			continue;
		if (!best || better_victim(it, best, zone_of(e), now))
			best = it;
	}
	return best;
}

dispatch_item_t *dispatch_pick_late_victim(dispatch_t *d, const service_t *s, deadline_t now)
{
	for (dispatch_item_t *it = d->running_items; it; it = it->next) {
		d->items_examined++;
		if (it->state == ITEM_RUNNING && it->replica && !it->adopt_until &&
		    it->replica->failures == 0 && is_usable(it->replica, s, now) &&
		    !dispatch_item_meets_due(it, now))
			return it;
	}
	return NULL;
}

/* True if one of the item's last runs failed or was silent on this replica. */
static bool failed_on(const dispatch_item_t *it, const replica_t *r)
{
	for (unsigned i = 0; i < DISPATCH_AVOID_MAX; i++) {
		if (it->avoid[i] && strcmp(it->avoid[i], r->id) == 0)
			return true;
	}
	return false;
}

/* The speed class of a replica for an item, lower is better; 0 for all on which it meets its due
 * time. To leave the fast ones to online requests made items on slow replicas late. */
static int64_t item_class(const dispatch_t *d, const dispatch_item_t *it, const replica_t *r,
			  deadline_t now)
{
	int64_t factor = replica_speed_factor(&r->speed, now);
	int64_t ms = dispatch_item_remaining_ms(it, now) * factor / SPEED_MEAN;

	if (!r->service->states_speed || !d->weighing.speed)
		return 0;
	return now + ms + PEAK_MS < it->due ? 0 : speed_class(r, now);
}

static bool can_take_item(dispatch_t *d, const dispatch_item_t *it, const replica_t *r,
			  deadline_t now)
{
	return is_usable(r, it->service, now) && now >= r->full_until &&
	       slots_used(r) < slots_allowed(r) && (!d->pairs || dispatch_pick_entry(d, r, now));
}

/* Returns the least loaded replica, or one that has the beginning of the item's prompt cached if
 * that saves more time than its load costs. */
static replica_t *prefer_holder(dispatch_t *d, const dispatch_item_t *it, replica_t *least_loaded,
				deadline_t now)
{
	replica_t *best = least_loaded;
	int64_t best_us = dispatch_item_cost_us(d, it, best, now);
	void *holders[DISPATCH_HOLDERS_MAX];
	unsigned n = prompt_cache_find(d->prompts, it->prompt, now, holders, DISPATCH_HOLDERS_MAX);

	for (unsigned i = 0; i < n; i++) {
		replica_t *r = holders[i];
		int64_t us;

		if (!can_take_item(d, it, r, now) || failed_on(it, r) ||
		    !dispatch_has_memory(r, it->tokens) ||
		    (d->weighing.speed && speed_class(r, now) > speed_class(least_loaded, now)))
			continue;
		us = dispatch_item_cost_us(d, it, r, now);
		if (us >= best_us)
			continue;
		best = r;
		best_us = us;
	}
	return best;
}

replica_t *dispatch_pick_for_item(dispatch_t *d, const dispatch_item_t *it, deadline_t now)
{
	replica_t *best[2] = {NULL, NULL}; /* of those on which it has not failed, and the others */
	int64_t best_class[2] = {0, 0};
	bool no_memory = false;

	for (replica_t *r = d->replicas; r; r = r->hh.next) {
		int64_t class;
		bool failed;

		if (!can_take_item(d, it, r, now))
			continue;
		if (!dispatch_has_memory(r, it->tokens)) {
			no_memory = true;
			continue;
		}
		failed = failed_on(it, r);
		class = item_class(d, it, r, now);
		if (best[failed] &&
		    (class > best_class[failed] ||
		     (class == best_class[failed] &&
		      slots_used(r) * best[failed]->slots >= slots_used(best[failed]) * r->slots)))
			continue;
		best[failed] = r;
		best_class[failed] = class;
	}
	if (no_memory && !best[0] && !best[1])
		it->service->no_memory_for = it->tokens;
	if (best[0] && it->prompt && d->prompts && d->weighing.prompts && it->service->states_speed)
		best[0] = prefer_holder(d, it, best[0], now);
	return best[0] ? best[0] : best[1];
}

entry_t *dispatch_pick_entry(dispatch_t *d, const replica_t *r, deadline_t now)
{
	entry_t *best = NULL;
	bool best_same_zone = false;

	for (entry_t *e = d->entries; e; e = e->hh.next) {
		bool same_zone = strcmp(e->zone, r->zone) == 0;

		if (!e->takes_items || !dispatch_reaches(d, e, r, now))
			continue;
		if (best && (same_zone < best_same_zone ||
			     (same_zone == best_same_zone && e->items >= best->items)))
			continue;
		best = e;
		best_same_zone = same_zone;
	}
	return best;
}

void dispatch_prefix_record(dispatch_t *d, uint64_t prefix, replica_t *r)
{
	prefix_t *p = NULL;

	if (!prefix)
		return;
	HASH_FIND(hh, d->prefixes, &prefix, sizeof(prefix), p);
	if (p) {
		p->replica = r;
		return;
	}
	if (HASH_COUNT(d->prefixes) >= PREFIXES_MAX) {
		p = d->prefixes;
		HASH_DEL(d->prefixes, p);
	} else {
		p = mem_new(sizeof(*p));
	}
	*p = (prefix_t){.prefix = prefix, .replica = r};
	HASH_ADD(hh, d->prefixes, prefix, sizeof(p->prefix), p);
}

void dispatch_prefix_forget(dispatch_t *d, const replica_t *r)
{
	prefix_t *p;
	prefix_t *next;

	HASH_ITER (hh, d->prefixes, p, next) {
		if (r && p->replica != r)
			continue;
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
		HASH_DEL(d->prefixes, p);
		free(p);
	}
}

unsigned dispatch_count_slots(const dispatch_t *d, const service_t *s, deadline_t now)
{
	unsigned n = 0;

	for (const replica_t *r = d->replicas; r; r = r->hh.next) {
		if (is_usable(r, s, now))
			n += slots_allowed(r);
	}
	return n;
}

unsigned dispatch_count_free_slots(const dispatch_t *d, const service_t *s, deadline_t now)
{
	unsigned n = 0;

	for (const replica_t *r = d->replicas; r; r = r->hh.next) {
		if (is_usable(r, s, now) && now >= r->full_until &&
		    slots_used(r) < slots_allowed(r))
			n += slots_allowed(r) - slots_used(r);
	}
	return n;
}
