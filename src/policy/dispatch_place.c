/* Dispatcher: assigns waiting online requests to slots, then waiting items. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "policy/dispatch_internal.h"

/** An item preempted sooner than this after it got its slot has not made up for the cost of the
 * start: processing its prompt and its earlier events again takes tens of ms. */
#define EARLY_PREEMPT_MS 500
/** In each period the reserve for online requests shrinks by one slot plus 1/RESERVE_DECAY_PART of
 * itself, so that most of it is gone between two peaks 2 s apart, whatever the fleet's size. */
#define RESERVE_DECAY_MS   250
#define RESERVE_DECAY_PART 4
/** The reserve is at most 1/RESERVE_MAX_PART of the slots, so that items can use most of the slots
 * that online requests leave free. */
#define RESERVE_MAX_PART 4
/** How long requests wait for the first replica list: a leader reads the list within tens of ms, an
 * entry without a leader after 1.5 s. */
#define LIST_WAIT_MS 2000
/** Minimum estimate of an item's remaining time, for items that ran longer than the mean and while
 * there is no mean yet. */
#define REMAINING_MIN_MS 500
/** Period in which running items are searched for one to preempt for another item: time alone makes
 * an item late, so a search after each event finds none for as long. */
#define LATE_CHECK_MS 20

/** Period in which the requests without a slot of a service with fair shares are judged: to order
 * all of them in each placement took 43 us with 400 waiting. Short against the 75 ms within which
 * a refusal leaves its caller time for another attempt. */
#define JUDGE_MS 5
/** Replicas that requests may go through in a rank without finding a free slot that suits them: 32
 * requests at 3,000 replicas, where each takes 0.1 ms, and all of them in small fleets. */
#define UNFIT_LOOKS_MAX 100000
/** A request for which an item was preempted because of its memory preempts no other one until its
 * entry has had this time to stop it. */
#define STOP_MS 50

static entry_t *find_entry(const dispatch_t *d, uint64_t entry)
{
	entry_t *e;

	HASH_FIND(hh, d->entries, &entry, sizeof(entry), e);
	return e;
}

/* On the first use of a service in a pass, recomputes its per-pass fields and decays its reserve;
 * returns the service. */
static service_t *refresh_service(dispatch_t *d, service_t *s, deadline_t now)
{
	if (s->pass == d->pass)
		return s;
	s->pass = d->pass;
	if (s->counted_at != now || s->slots == 0)
		s->slots = dispatch_count_slots(d, s, now);
	s->counted_at = now;
	s->no_slot_for_requests = false;
	s->no_slot_for_items = false;
	s->only_reserved_left = false;
	s->judging = now >= s->judge_at;
	s->were_waiting = s->waiting_ahead;
	s->no_memory_for = UINT64_MAX;
	s->waiting_ahead = 0;
	for (; s->reserved_slots > 0 && now >= s->reserve_decay_at;
	     s->reserve_decay_at += RESERVE_DECAY_MS)
		s->reserved_slots -= 1 + s->reserved_slots / RESERVE_DECAY_PART;
	return s;
}

void dispatch_waiter_free(dispatch_t *d, waiter_t *q)
{
	dispatch_fair_leave(q);
	DL_DELETE(d->waiters, q);
	d->nwaiters--;
	for (unsigned i = 0; i < q->req.navoid; i++)
		free(q->avoid[i]);
	free(q->customer);
	free(q);
}

/* Releases the item's slot and memory if it holds a slot. */
static void release_slot(dispatch_t *d, dispatch_item_t *it)
{
	if (!it->replica)
		return;
	it->replica->items--;
	dispatch_prompt_release(d, it->replica, it->reserved_tokens);
	it->reserved_tokens = 0;
	it->replica = NULL;
}

void dispatch_item_detach(dispatch_t *d, dispatch_item_t *it)
{
	entry_t *e;

	release_slot(d, it);
	dispatch_item_hold_memory(it, NULL);
	if (it->state == ITEM_WAITING) {
		DL_DELETE(d->waiting_items, it);
		d->nwaiting_items--;
		it->service->items_waiting--;
		return;
	}
	e = find_entry(d, it->entry);
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
	it->service->items_waiting++;
	/* Searches from the tail because new items usually have the latest due time. */
	while (before && before->due > it->due)
		before = before == d->waiting_items ? NULL : before->prev;
	if (before)
		DL_APPEND_ELEM(d->waiting_items, before, it);
	else
		DL_PREPEND(d->waiting_items, it);
}

static void grant_slot(dispatch_t *d, waiter_t *q, replica_t *r, deadline_t now)
{
	run_t *run = mem_new(sizeof(*run));
	uint64_t entry = q->req.entry;
	uint64_t request = q->req.request;

	run->key = (run_key_t){entry, request};
	run->replica = r;
	run->since = now;
	run->tokens = dispatch_tokens_held(&q->req.tokens);
	run->tokens_in = q->req.tokens.in;
	run->tokens_out = q->req.tokens.out;
	run->percent = replica_speed_percent(&r->speed, now);
	r->online++;
	r->tokens += run->tokens;
	HASH_ADD(hh, d->runs, key, sizeof(run->key), run);
	dispatch_prefix_record(d, q->req.prefix, r);
	run->reserved_tokens = dispatch_prompt_granted(
		d, &q->prompt, (int64_t)q->req.tokens.in + q->req.tokens.out, r, now);
	dispatch_pair_tried(d, entry, r, now);
	dispatch_fair_grant(q, run);
	dispatch_waiter_free(d, q);
	d->cb.grant(d->cb.ctx, entry, request, str_c(r->id));
}

void dispatch_item_add_run_time(dispatch_item_t *it, deadline_t now)
{
	if (it->replica)
		it->ran_ms += now - it->placed_at;
	it->placed_at = now;
}

int64_t dispatch_item_remaining_ms(const dispatch_item_t *it, deadline_t now)
{
	int64_t held_ms = it->replica ? now - it->placed_at : 0;
	int64_t left_ms = it->service->mean_item_ms - it->ran_ms - held_ms;

	return left_ms > REMAINING_MIN_MS ? left_ms : REMAINING_MIN_MS;
}

deadline_t dispatch_in_time_from(const service_t *s, deadline_t now)
{
	return now + (s->mean_item_ms > REMAINING_MIN_MS ? s->mean_item_ms : REMAINING_MIN_MS);
}

bool dispatch_item_meets_due(const dispatch_item_t *it, deadline_t now)
{
	return it->due > now + dispatch_item_remaining_ms(it, now);
}

/* Adds a slot to the service's reserve if an item is preempted early, for a request or for another
 * item. In a peak, a free slot is requested again within milliseconds: an item that takes it is
 * preempted before it did anything but process its prompt again. */
static void grow_reserve(dispatch_t *d, const dispatch_item_t *it, deadline_t now)
{
	service_t *s = refresh_service(d, it->replica->service, now);

	if (now - it->placed_at >= EARLY_PREEMPT_MS ||
	    s->reserved_slots >= s->slots / RESERVE_MAX_PART)
		return;
	s->reserved_slots++;
	s->reserve_decay_at = now + RESERVE_DECAY_MS;
}

/* Orders the entry to stop an item. The item's slot counts as free at once, not only when the entry
 * has stopped the item. */
static void preempt_item(dispatch_t *d, dispatch_item_t *it, deadline_t now)
{
	grow_reserve(d, it, now);
	dispatch_item_add_run_time(it, now);
	release_slot(d, it);
	it->state = ITEM_STOPPING;
	d->preempted++;
	d->cb.stop_item(d->cb.ctx, it->data, it->entry);
}

/* Grants a slot to the request, preempting an item if no slot is free; false if neither is
 * possible. */
static bool place_request(dispatch_t *d, waiter_t *q, deadline_t now)
{
	const entry_t *e = find_entry(d, q->req.entry);
	dispatch_item_t *victim;
	replica_t *r;

	if (!dispatch_could_hold(q->service, dispatch_tokens_held(&q->req.tokens))) {
		q->unfit = true;
		return false;
	}
	r = dispatch_pick_free(d, q, e, now);
	if (!r) {
		victim = now < q->no_victim_until ? NULL : dispatch_pick_victim(d, q, e, now);
		if (!victim)
			return false;
		r = victim->replica;
		preempt_item(d, victim, now);
		/* The replica holds the item's tokens until its entry has stopped it, which takes
		 * ms, not the wait that admission estimates. */
		if (!dispatch_has_memory(r, dispatch_tokens_held(&q->req.tokens))) {
			q->unfit = true;
			q->admitted = true;
			q->no_victim_until = now + STOP_MS;
			return false;
		}
	}
	grant_slot(d, q, r, now);
	return true;
}

/* Records what a request that found no slot shows for the next ones of its service. */
static void note_unplaced(const dispatch_t *d, service_t *s, const waiter_t *q)
{
	s->unfit += q->unfit && dispatch_could_hold(s, dispatch_tokens_held(&q->req.tokens));
	s->no_slot_for_requests |=
		!q->unfit && q->req.navoid == 0 && dispatch_reaches_all(d, q->req.entry);
}

/* Grants a slot to the request, lets it go on waiting or refuses it. */
static void place_or_admit(dispatch_t *d, waiter_t *q, dispatch_rank_t rank, deadline_t now)
{
	service_t *s = q->service;

	if (!s->no_slot_for_requests && s->unfit * HASH_COUNT(d->replicas) < UNFIT_LOOKS_MAX) {
		if (place_request(d, q, now))
			return;
		note_unplaced(d, s, q);
	}
	s->waiting_ahead += dispatch_admit(d, q, rank, s, now);
}

/* Handles the requests collected for the fair order of their services. */
static void place_collected(dispatch_t *d, dispatch_rank_t rank, deadline_t now)
{
	for (service_t *s = d->services; s; s = s->hh.next) {
		waiter_t *q;

		if (s->nturns > 0 && s->judging) {
			s->judge_at = now + JUDGE_MS;
			fair_share_set_level(s->fair);
		}
		while ((s->judging || !s->no_slot_for_requests) && (q = dispatch_fair_next(s)))
			place_or_admit(d, q, rank, now);
		s->waiting_ahead += s->ncollected;
		dispatch_fair_drop(s);
	}
}

/* Goes through the waiting requests rank by rank, and by priority within a rank, in the order of
 * the queue or of fair shares. */
static void place_requests(dispatch_t *d, deadline_t now)
{
	for (unsigned rank = 0; rank < DISPATCH_RANKS; rank++) {
		unsigned priority = 0;
		bool collected = false;
		waiter_t *q;
		waiter_t *next;

		for (service_t *s = d->services; s; s = s->hh.next)
			s->unfit = 0;
		for (q = d->waiters; q; q = next) {
			if (collected && q->req.priority != priority) {
				place_collected(d, (dispatch_rank_t)rank, now);
				collected = false;
			}
			next = q->next;
			if (dispatch_rank_of(q, now) != rank)
				continue;
			refresh_service(d, q->service, now);
			if (dispatch_is_fair(q->service, now)) {
				dispatch_fair_collect(q, now);
				priority = q->req.priority;
				collected = true;
			} else {
				place_or_admit(d, q, (dispatch_rank_t)rank, now);
			}
		}
		if (collected)
			place_collected(d, (dispatch_rank_t)rank, now);
	}
}

/* Starts a waiting item in a free slot or, if the item can still meet its due time, in the slot of
 * a running item that can't. Does nothing if there is no such slot, if requests wait for the
 * item's service, or if the item has slack and all free slots are reserved for online requests. */
static void place_item(dispatch_t *d, dispatch_item_t *it, deadline_t now)
{
	service_t *s = refresh_service(d, it->service, now);
	bool has_slack = dispatch_item_has_slack(it, now);
	dispatch_item_t *late = NULL;
	replica_t *r = NULL;
	entry_t *e;

	if (s->waiting_ahead > 0 || s->no_slot_for_items || (s->only_reserved_left && has_slack) ||
	    it->tokens >= s->no_memory_for)
		return;
	/* An item without slack may use the slots reserved for online requests as well. */
	s->only_reserved_left =
		s->reserved_slots > 0 && dispatch_count_free_slots(d, s, now) <= s->reserved_slots;
	if (s->only_reserved_left && has_slack)
		return;
	r = dispatch_pick_for_item(d, it, now);
	if (!r && it->tokens >= s->no_memory_for)
		return;
	if (!r && dispatch_item_meets_due(it, now))
		late = dispatch_pick_late_victim(d, s, now);
	if (late && dispatch_has_memory(late->replica, it->tokens))
		r = late->replica;
	e = r ? dispatch_pick_entry(d, r, now) : NULL;
	s->no_slot_for_items = !e;
	if (!e)
		return;
	if (late)
		preempt_item(d, late, now);
	dispatch_item_detach(d, it);
	it->state = ITEM_RUNNING;
	it->replica = r;
	dispatch_item_hold_memory(it, r);
	it->placed_at = now;
	it->reserved_tokens = dispatch_prompt_granted(d, it->prompt, it->expected_tokens, r, now);
	it->entry = e->id;
	dispatch_pair_tried(d, e->id, r, now);
	r->items++;
	e->items++;
	DL_APPEND(d->running_items, it);
	d->cb.start_item(d->cb.ctx, it->data, e->id, str_c(r->id));
}

/*
 * Order in which waiting items are started; within a rank, by due time. Items that already ran
 * since dispatch_item_add go first: the replica time spent on them is wasted if they finish late.
 * Items that are not expected to meet their due time go last: in overload, serving strictly by due
 * time would start each item in turn and finish none of them in time.
 */
typedef enum { ITEM_RANK_RESUMED, ITEM_RANK_NEW, ITEM_RANK_LATE, ITEM_RANKS } item_rank_t;

static item_rank_t item_rank_of(const dispatch_item_t *it, deadline_t now)
{
	if (!dispatch_item_meets_due(it, now))
		return ITEM_RANK_LATE;
	return it->ran_ms > 0 ? ITEM_RANK_RESUMED : ITEM_RANK_NEW;
}

/* False if no item of the service can start: none waits, requests wait, or there is neither a free
 * slot nor a running item to preempt. */
static bool can_start_items(dispatch_t *d, service_t *s, deadline_t now)
{
	unsigned free;

	refresh_service(d, s, now);
	if (s->items_waiting == 0 || s->waiting_ahead > 0 || s->no_slot_for_items)
		return false;
	free = dispatch_count_free_slots(d, s, now);
	s->only_reserved_left = free > 0 && free <= s->reserved_slots;
	if (free > 0)
		return true;
	if (now < s->next_late_check)
		return false;
	if (dispatch_pick_late_victim(d, s, now))
		return true;
	s->next_late_check = now + LATE_CHECK_MS;
	return false;
}

/* True if neither this waiting item nor one of its service that is due later can start in this
 * rank. */
static bool ends_rank(const dispatch_item_t *it, item_rank_t rank, deadline_t now)
{
	const service_t *s = it->service;

	if (s->no_slot_for_items)
		return true;
	if (rank == ITEM_RANK_LATE)
		return it->due > dispatch_in_time_from(s, now);
	return s->only_reserved_left && it->due > dispatch_slack_from(s, now);
}

/* Starts the waiting items of a rank that can start. The walk ends when no service has more. */
static void place_rank(dispatch_t *d, item_rank_t rank, deadline_t now)
{
	unsigned left = 0; /* services whose items can start */
	dispatch_item_t *it;
	dispatch_item_t *next;

	for (service_t *s = d->services; s; s = s->hh.next) {
		s->rank_done = s->no_slot_for_items;
		left += !s->rank_done;
	}
	for (it = d->waiting_items; it && left > 0; it = next) {
		service_t *s = it->service;

		next = it->next;
		d->items_examined++;
		if (s->rank_done)
			continue;
		s->rank_done = ends_rank(it, rank, now);
		if (!s->rank_done && item_rank_of(it, now) == rank) {
			place_item(d, it, now);
			s->no_slot_for_items |= s->items_waiting == 0;
			s->rank_done = s->no_slot_for_items;
		}
		left -= s->rank_done;
	}
}

static void place_items(dispatch_t *d, deadline_t now)
{
	for (service_t *s = d->services; s; s = s->hh.next)
		s->no_slot_for_items = !can_start_items(d, s, now);
	for (unsigned rank = 0; rank < ITEM_RANKS; rank++)
		place_rank(d, (item_rank_t)rank, now);
}

/* Queues the items again whose entry disconnected and which no entry reported in time. */
static void requeue_orphaned_items(dispatch_t *d, deadline_t now)
{
	dispatch_item_t *it;
	dispatch_item_t *next;

	if (now < d->next_orphan)
		return;
	d->next_orphan = DEADLINE_NEVER;
	for (it = d->running_items; it; it = next) {
		next = it->next;
		d->items_examined++;
		if (it->adopt_until > now && it->adopt_until < d->next_orphan)
			d->next_orphan = it->adopt_until;
		if (!it->adopt_until || now < it->adopt_until)
			continue;
		dispatch_item_detach(d, it);
		dispatch_item_enqueue(d, it);
	}
}

void dispatch_place_all(dispatch_t *d, deadline_t now)
{
	if (!d->placement_due) {
		dispatch_place_now(d, now);
		return;
	}
	if (d->is_due)
		return;
	d->is_due = true;
	d->placement_due(d->cb.ctx);
}

void dispatch_place_now(dispatch_t *d, deadline_t now)
{
	/* Called again from a callback: the outer call then does another pass. */
	if (d->placing) {
		d->place_again = true;
		return;
	}
	if (!d->list_deadline)
		d->list_deadline = now + LIST_WAIT_MS;
	d->placing = true;
	d->is_due = false;
	do {
		d->place_again = false;
		d->pass++;
		requeue_orphaned_items(d, now);
		place_requests(d, now);
		if (now >= d->items_held_until)
			place_items(d, now);
	} while (d->place_again);
	d->placing = false;
}
