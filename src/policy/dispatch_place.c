/* Puts what waits onto replicas: online requests first, then items by due time. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "policy/dispatch_internal.h"

/** A refused caller isn't asked to come back sooner, in ms: a place takes about this long to free
 * on a busy fleet. */
#define RETRY_MIN_MS 50
/** Nor later, in ms: the callers' deadlines are a few seconds. */
#define RETRY_MAX_MS 1500
/** Retry-After when no replica takes work, in ms: about how long a list needs to show one. */
#define RETRY_NONE_MS 500
/** A stream's first event comes within this long of the grant, in ms: its prompt is read in a few
 * steps of the engine, each of some ms. */
#define FIRST_EVENT_MS 50
/** An item that is stopped sooner after it got its place, in ms, hasn't gained what the place cost:
 * its prompt and the events made so far are read again within tens of ms. */
#define YOUNG_MS 500
/** In this time, in ms, the room kept for online requests shrinks by a place and by this part of
 * it: between two peaks of 2 s most of it is gone, on fleets of any size. */
#define KEEP_SHRINK_MS	 250
#define KEEP_SHRINK_PART 4
/** It is at most this part of the places, so that items have most of what online leaves. */
#define KEEP_PART 4
/** Requests wait so long for the first list of replicas, in ms: a leader reads it within tens of
 * ms, an entry without one after 1.5 s. */
#define LIST_WAIT_MS 2000
/** An item is taken to need at least this much longer, in ms: those that last longer than most. */
#define ITEM_LEFT_MIN_MS 500

static str_t zone_of(dispatch_t *d, uint64_t entry)
{
	entry_t *e;

	HASH_FIND(hh, d->entries, &entry, sizeof(entry), e);
	return e ? str_c(e->zone) : (str_t){"", 0};
}

/* What is known of a service as of this pass. */
static service_t *look_at(dispatch_t *d, service_t *s, deadline_t now)
{
	if (s->pass == d->pass)
		return s;
	s->pass = d->pass;
	s->slots = dispatch_count_slots(d, s, now);
	s->no_slot_for_requests = false;
	s->no_slot_for_items = false;
	s->only_reserved_left = false;
	s->waiting_ahead = 0;
	for (; s->reserved_slots > 0 && now >= s->reserve_decay_at;
	     s->reserve_decay_at += KEEP_SHRINK_MS)
		s->reserved_slots -= 1 + s->reserved_slots / KEEP_SHRINK_PART;
	return s;
}

void dispatch_waiter_free(dispatch_t *d, waiter_t *q)
{
	DL_DELETE(d->waiters, q);
	d->nwaiters--;
	for (unsigned i = 0; i < q->req.navoid; i++)
		free(q->avoid[i]);
	free(q);
}

void dispatch_item_detach(dispatch_t *d, dispatch_item_t *it)
{
	entry_t *e;

	if (it->replica)
		it->replica->items--;
	it->replica = NULL;
	if (it->state == ITEM_WAITING) {
		DL_DELETE(d->waiting_items, it);
		d->nwaiting_items--;
		return;
	}
	HASH_FIND(hh, d->entries, &it->entry, sizeof(it->entry), e);
	if (e && e->items > 0)
		e->items--;
	DL_DELETE(d->running_items, it);
}

void dispatch_item_enqueue(dispatch_t *d, dispatch_item_t *it)
{
	dispatch_item_t *before = d->waiting_items ? d->waiting_items->prev : NULL;

	it->state = ITEM_WAITING;
	it->adopt_until = 0;
	d->nwaiting_items++;
	/* Walks from the tail: new items are mostly due last. */
	while (before && before->due > it->due)
		before = before == d->waiting_items ? NULL : before->prev;
	if (before)
		DL_APPEND_ELEM(d->waiting_items, before, it);
	else
		DL_PREPEND(d->waiting_items, it);
}

static void grant(dispatch_t *d, waiter_t *q, replica_t *r, deadline_t now)
{
	run_t *run = mem_new(sizeof(*run));
	uint64_t entry = q->req.entry;
	uint64_t request = q->req.request;

	run->key = (run_key_t){entry, request};
	run->replica = r;
	run->since = now;
	r->online++;
	HASH_ADD(hh, d->runs, key, sizeof(run->key), run);
	dispatch_prefix_record(d, q->req.prefix, r);
	dispatch_waiter_free(d, q);
	d->cb.grant(d->cb.ctx, entry, request, str_c(r->id));
}

static void refuse(dispatch_t *d, waiter_t *q, int64_t retry_ms, dispatch_refusal_t why)
{
	uint64_t entry = q->req.entry;
	uint64_t request = q->req.request;

	dispatch_waiter_free(d, q);
	if (retry_ms < RETRY_MIN_MS)
		retry_ms = RETRY_MIN_MS;
	d->cb.refuse(d->cb.ctx, entry, request, retry_ms > RETRY_MAX_MS ? RETRY_MAX_MS : retry_ms,
		     why);
}

void dispatch_item_add_run_time(dispatch_item_t *it, deadline_t now)
{
	if (it->replica)
		it->ran_ms += now - it->placed_at;
	it->placed_at = now;
}

/*
 * When more items come than can be done, the earliest due first would make all of them late: each
 * is begun in turn and none is finished in time. So those that have no chance let the others go
 * first.
 */
int64_t dispatch_item_remaining_ms(const dispatch_item_t *it, deadline_t now)
{
	int64_t held_ms = it->replica ? now - it->placed_at : 0;
	int64_t left = it->service->mean_item_ms - it->ran_ms - held_ms;

	return left > ITEM_LEFT_MIN_MS ? left : ITEM_LEFT_MIN_MS;
}

bool dispatch_item_meets_due(const dispatch_item_t *it, deadline_t now)
{
	return it->due > now + dispatch_item_remaining_ms(it, now);
}

/* In a peak a place that gets free is asked for again within ms. An item that takes it is stopped
 * at once and has only read its prompt again; so each such stop keeps one more place free. */
static void keep_more(dispatch_t *d, const dispatch_item_t *it, deadline_t now)
{
	service_t *s = look_at(d, it->replica->service, now);

	if (now - it->placed_at >= YOUNG_MS || s->reserved_slots >= s->slots / KEEP_PART)
		return;
	s->reserved_slots++;
	s->reserve_decay_at = now + KEEP_SHRINK_MS;
}

static void preempt(dispatch_t *d, dispatch_item_t *it, deadline_t now)
{
	keep_more(d, it, now);
	dispatch_item_add_run_time(it, now);
	it->replica->items--;
	it->replica = NULL;
	it->state = ITEM_STOPPING;
	d->preempted++;
	d->cb.stop_item(d->cb.ctx, it->data, it->entry);
}

static bool place_ask(dispatch_t *d, waiter_t *q, deadline_t now)
{
	str_t zone = zone_of(d, q->req.entry);
	replica_t *r = dispatch_pick_free(d, q, zone, now);
	dispatch_item_t *victim;

	if (!r) {
		victim = dispatch_pick_victim(d, q, zone, now);
		if (!victim)
			return false;
		r = victim->replica;
		preempt(d, victim, now);
	}
	grant(d, q, r, now);
	return true;
}

/*
 * After a fault callers come in a herd that takes seconds to serve. A caller past its objective
 * loses nothing more by waiting until shortly before it gives up, so those that can still be
 * answered in time go first: as many are served in all, and more of them in time.
 */
typedef enum { RANK_RESUMED, RANK_IN_TIME, RANK_LATE, RANKS } rank_t;

static rank_t rank_of(const waiter_t *q, deadline_t now)
{
	if (q->req.resumed)
		return RANK_RESUMED;
	return !q->req.returning && now <= q->req.objective ? RANK_IN_TIME : RANK_LATE;
}

/* True when it may wait on. Refused are a request that can't be answered before its caller leaves,
 * even if all places served only those before it, and a new one that would get its place only after
 * its objective: it is told when to come back. */
static bool judge_ask(dispatch_t *d, waiter_t *q, rank_t rank, const service_t *s, deadline_t now)
{
	int64_t wait_ms = s->slots ? s->mean_hold_us * (s->waiting_ahead + 1) / s->slots / 1000
				   : RETRY_NONE_MS;
	int64_t hold_ms = s->mean_hold_us / 1000;
	int64_t first_ms = hold_ms < FIRST_EVENT_MS ? hold_ms : FIRST_EVENT_MS;

	if (!d->had_replicas && now < d->list_deadline && now + first_ms <= q->req.give_up_at)
		return true;
	if (!d->had_replicas)
		refuse(d, q, wait_ms, DISPATCH_NO_REPLICA_LIST);
	else if (now + hold_ms > q->req.deadline)
		refuse(d, q, wait_ms, DISPATCH_PAST_DEADLINE);
	else if (now + first_ms + (s->slots ? wait_ms : 0) > q->req.give_up_at)
		refuse(d, q, wait_ms, DISPATCH_CALLER_GIVES_UP);
	else if (rank == RANK_IN_TIME && now + wait_ms + first_ms > q->req.objective)
		refuse(d, q, wait_ms, DISPATCH_PAST_OBJECTIVE);
	else
		return true;
	return false;
}

static void place_asks(dispatch_t *d, deadline_t now)
{
	for (unsigned rank = 0; rank < RANKS; rank++) {
		waiter_t *q;
		waiter_t *next;

		for (q = d->waiters; q; q = next) {
			service_t *s;

			next = q->next;
			if (rank_of(q, now) != rank)
				continue;
			s = look_at(d, q->service, now);
			if (!s->no_slot_for_requests && place_ask(d, q, now))
				continue;
			s->no_slot_for_requests |= q->req.navoid == 0;
			s->waiting_ahead += judge_ask(d, q, (rank_t)rank, s, now);
		}
	}
}

static void place_item(dispatch_t *d, dispatch_item_t *it, deadline_t now)
{
	service_t *s = look_at(d, it->service, now);
	bool can_wait = dispatch_item_has_slack(it, now);
	dispatch_item_t *late = NULL;
	replica_t *r = NULL;
	entry_t *e;

	/* Requests of its service that wait go first; those of others don't concern it. */
	if (s->waiting_ahead > 0 || s->no_slot_for_items || (s->only_reserved_left && can_wait))
		return;
	/* One that can't wait out a peak takes the room kept for online requests as well. */
	s->only_reserved_left =
		s->reserved_slots > 0 && dispatch_count_free_slots(d, s, now) <= s->reserved_slots;
	if (s->only_reserved_left && can_wait)
		return;
	r = dispatch_pick_for_item(d, it, now);
	if (!r && dispatch_item_meets_due(it, now))
		late = dispatch_pick_late_victim(d, it, now);
	if (late)
		r = late->replica;
	e = r ? dispatch_pick_entry(d, r) : NULL;
	s->no_slot_for_items = !e;
	if (!e)
		return;
	if (late)
		preempt(d, late, now);
	dispatch_item_detach(d, it);
	it->state = ITEM_RUNNING;
	it->replica = r;
	it->placed_at = now;
	it->entry = e->id;
	r->items++;
	e->items++;
	DL_APPEND(d->running_items, it);
	d->cb.start_item(d->cb.ctx, it->data, e->id, str_c(r->id));
}

/* Items that were begun go first: what they hold of their replicas' time is lost if they come late.
 */
typedef enum { TURN_BEGUN, TURN_NEW, TURN_LATE, TURNS } turn_t;

static turn_t turn_of(const dispatch_item_t *it, deadline_t now)
{
	if (!dispatch_item_meets_due(it, now))
		return TURN_LATE;
	return it->ran_ms > 0 ? TURN_BEGUN : TURN_NEW;
}

static void place_items(dispatch_t *d, deadline_t now)
{
	for (unsigned turn = 0; turn < TURNS; turn++) {
		dispatch_item_t *it;
		dispatch_item_t *next;

		for (it = d->waiting_items; it; it = next) {
			next = it->next;
			if (turn_of(it, now) == turn)
				place_item(d, it, now);
		}
	}
}

/* False while requests wait for all services: items needn't be looked at one by one then. */
static bool items_may_run(dispatch_t *d, deadline_t now)
{
	if (!d->waiters)
		return true;
	for (service_t *s = d->services; s; s = s->hh.next) {
		const service_t *looked = look_at(d, s, now);

		if (looked->waiting_ahead == 0 && looked->slots > 0)
			return true;
	}
	return false;
}

static void requeue_lost(dispatch_t *d, deadline_t now)
{
	dispatch_item_t *it;
	dispatch_item_t *next;

	for (it = d->running_items; it; it = next) {
		next = it->next;
		if (!it->adopt_until || now < it->adopt_until)
			continue;
		dispatch_item_detach(d, it);
		dispatch_item_enqueue(d, it);
	}
}

void dispatch_place_all(dispatch_t *d, deadline_t now)
{
	if (d->placing) {
		d->place_again = true;
		return;
	}
	if (!d->list_deadline)
		d->list_deadline = now + LIST_WAIT_MS;
	d->placing = true;
	do {
		d->place_again = false;
		d->pass++;
		requeue_lost(d, now);
		place_asks(d, now);
		if (now >= d->items_held_until && items_may_run(d, now))
			place_items(d, now);
	} while (d->place_again);
	d->placing = false;
}
