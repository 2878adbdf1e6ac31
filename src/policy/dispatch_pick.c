/* Choices of a replica, of an item that gives way, and of the entry that runs an item. */
#include <stdlib.h>
#include <string.h>
#include "base/prng.h"
#include "policy/dispatch_internal.h"

/** Costs of a choice, in places taken: another zone costs bytes between zones, another replica than
 * the one that read the shared parts costs reading them again; neither is worth a crowded replica.
 */
#define COST_OTHER_ZONE	  2
#define COST_OTHER_PREFIX 1
#define COST_SCALE	  4
/** Peaks of online requests last about this long, in ms, on the users' sheets. */
#define PEAK_MS 3000
/** Prompts whose replica is remembered; a table of this size takes about 1 MB. */
#define PREFIXES_MAX 8192

static unsigned used(const replica_t *r)
{
	return r->online + r->items;
}

/* A replica that has failed gets one request at a time until it has served one. */
static unsigned places(const replica_t *r)
{
	return r->failures > 0 ? 1 : r->slots;
}

static bool usable(const replica_t *r, const service_t *s, deadline_t now)
{
	return !r->leaving && r->listed && now >= r->suspect_until && r->service == s;
}

static bool avoided(const waiter_t *q, const replica_t *r)
{
	for (unsigned i = 0; i < q->req.navoid; i++) {
		if (strcmp(q->avoid[i], r->id) == 0)
			return true;
	}
	return false;
}

static replica_t *prefix_replica(const dispatch_t *d, uint64_t prefix)
{
	prefix_t *p = NULL;

	if (prefix)
		HASH_FIND(hh, d->prefixes, &prefix, sizeof(prefix), p);
	return p ? p->replica : NULL;
}

static unsigned cost(const replica_t *r, const replica_t *reader, str_t zone)
{
	unsigned c = used(r) * COST_SCALE / places(r);

	if (!str_eq(str_c(r->zone), zone))
		c += COST_OTHER_ZONE;
	if (reader && reader != r)
		c += COST_OTHER_PREFIX;
	return c;
}

replica_t *dispatch_pick_free(dispatch_t *d, const waiter_t *q, str_t zone, deadline_t now)
{
	replica_t *reader = prefix_replica(d, q->req.prefix);
	replica_t *best = NULL;
	unsigned best_cost = 0;
	unsigned ties = 0;

	for (replica_t *r = d->replicas; r; r = r->hh.next) {
		unsigned c;

		if (!usable(r, q->service, now) || now < r->full_until || avoided(q, r) ||
		    used(r) >= places(r))
			continue;
		c = cost(r, reader, zone);
		if (best && c > best_cost)
			continue;
		if (!best || c < best_cost)
			ties = 0;
		/* Dispatchers that work apart must not all choose the same one. */
		if (prng_next(&d->random) % ++ties != 0)
			continue;
		best = r;
		best_cost = c;
	}
	return best;
}

bool dispatch_item_has_slack(const dispatch_item_t *it, deadline_t now)
{
	return it->due - now - dispatch_item_remaining_ms(it, now) > PEAK_MS;
}

/*
 * True when a gives way rather than b. One that can wait out a peak and still be done in time goes
 * first, the one due last before others. When none can, one is given up for the others: that which
 * would need its place longest.
 */
static bool gives_way(const dispatch_item_t *a, const dispatch_item_t *b, str_t zone,
		      deadline_t now)
{
	bool a_waits = dispatch_item_has_slack(a, now);
	bool b_waits = dispatch_item_has_slack(b, now);
	bool a_near = str_eq(str_c(a->replica->zone), zone);
	bool b_near = str_eq(str_c(b->replica->zone), zone);

	if (a_waits != b_waits)
		return a_waits;
	if (!a_waits)
		return dispatch_item_remaining_ms(a, now) > dispatch_item_remaining_ms(b, now);
	return a_near == b_near ? a->due > b->due : a_near;
}

dispatch_item_t *dispatch_pick_victim(dispatch_t *d, const waiter_t *q, str_t zone, deadline_t now)
{
	dispatch_item_t *best = NULL;

	for (dispatch_item_t *it = d->running_items; it; it = it->next) {
		if (it->state != ITEM_RUNNING || !it->replica || it->adopt_until ||
		    !usable(it->replica, q->service, now) || avoided(q, it->replica) ||
		    it->replica->failures > 0)
			continue;
		if (!best || gives_way(it, best, zone, now))
			best = it;
	}
	return best;
}

dispatch_item_t *dispatch_pick_late_victim(dispatch_t *d, const dispatch_item_t *for_it,
					   deadline_t now)
{
	for (dispatch_item_t *it = d->running_items; it; it = it->next) {
		if (it->state == ITEM_RUNNING && it->replica && !it->adopt_until &&
		    it->replica->failures == 0 && usable(it->replica, for_it->service, now) &&
		    !dispatch_item_meets_due(it, now))
			return it;
	}
	return NULL;
}

static bool failed_there(const dispatch_item_t *it, const replica_t *r)
{
	return it->avoid && strcmp(it->avoid, r->id) == 0;
}

replica_t *dispatch_pick_for_item(dispatch_t *d, const dispatch_item_t *it, deadline_t now)
{
	replica_t *best = NULL;
	replica_t *last = NULL;

	for (replica_t *r = d->replicas; r; r = r->hh.next) {
		if (!usable(r, it->service, now) || now < r->full_until || used(r) >= places(r))
			continue;
		if (failed_there(it, r))
			last = r;
		else if (!best || used(r) * best->slots < used(best) * r->slots)
			best = r;
	}
	return best ? best : last;
}

entry_t *dispatch_pick_entry(dispatch_t *d, const replica_t *r)
{
	entry_t *best = NULL;
	bool best_near = false;

	for (entry_t *e = d->entries; e; e = e->hh.next) {
		bool near = strcmp(e->zone, r->zone) == 0;

		if (!e->takes_items)
			continue;
		if (best && (near < best_near || (near == best_near && e->items >= best->items)))
			continue;
		best = e;
		best_near = near;
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
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): what is freed was unlinked */
		HASH_DEL(d->prefixes, p);
		free(p);
	}
}

unsigned dispatch_count_slots(const dispatch_t *d, const service_t *s, deadline_t now)
{
	unsigned n = 0;

	for (const replica_t *r = d->replicas; r; r = r->hh.next) {
		if (usable(r, s, now))
			n += places(r);
	}
	return n;
}

unsigned dispatch_count_free_slots(const dispatch_t *d, const service_t *s, deadline_t now)
{
	unsigned n = 0;

	for (const replica_t *r = d->replicas; r; r = r->hh.next) {
		if (usable(r, s, now) && now >= r->full_until && used(r) < places(r))
			n += places(r) - used(r);
	}
	return n;
}
