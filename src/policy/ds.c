#include "policy/ds.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include "policy/ds_core.h"

/** Mean time that an online request holds its place before any was seen, in us. */
#define HOLD_FIRST_US 700000
#define HOLD_WEIGHT   16
/** Weight of an item in the mean of those before it. */
#define ITEM_WEIGHT 32
/** A replica that failed is left alone this long, in ms, doubled with each failure since its last
 * success. A crash shows on the list only seconds later. */
#define SUSPECT_MS	250
#define SUSPECT_MAX_MS	2000
#define SUSPECT_DOUBLES 3
/** When most replicas of a service were silent at once, all count as busy for so long, in ms: about
 * as long as a request holds its place. */
#define BUSY_MS 700
/** A replica that said it was full gets nothing for this long, in ms: a few steps of its engine. */
#define FULL_MS 40

const char *ds_outcome_name(ds_outcome_t how)
{
	static const char *const names[] = {"ok",     "full",	"gone", "broken",
					    "silent", "failed", "left", "leaves"};

	return (size_t)how < sizeof(names) / sizeof(names[0]) ? names[how] : "unknown";
}

const char *ds_refusal_name(ds_refusal_t why)
{
	static const char *const names[] = {"no list", "deadline", "caller leaves", "objective"};

	return (size_t)why < sizeof(names) / sizeof(names[0]) ? names[why] : "unknown";
}

ds_t *ds_new(const ds_callbacks_t *cb, uint64_t random_seed)
{
	ds_t *d = mem_new(sizeof(*d));

	d->cb = *cb;
	d->random = random_seed | 1;
	return d;
}

static service_t *service_of(ds_t *d, str_t name)
{
	service_t *s;

	HASH_FIND(hh, d->services, name.p, name.n, s);
	if (s)
		return s;
	s = mem_new(sizeof(*s));
	s->name = str_dup(name);
	s->hold_us = HOLD_FIRST_US;
	HASH_ADD_KEYPTR(hh, d->services, s->name, name.n, s);
	return s;
}

static void replica_free(ds_t *d, replica_t *r)
{
	ds_prefix_forget(d, r);
	HASH_DEL(d->replicas, r);
	free(r->id);
	free(r->zone);
	free(r);
}

static void item_free(ds_item_t *it)
{
	free(it->avoid);
	free(it);
}

void ds_free(ds_t *d)
{
	ds_item_t *it;
	ds_item_t *next;
	run_t *run;
	entry_t *e;
	service_t *s;

	while (d->asks)
		ds_ask_free(d, d->asks);
	DL_FOREACH_SAFE(d->waiting, it, next)
	{
		DL_DELETE(d->waiting, it);
		item_free(it);
	}
	DL_FOREACH_SAFE(d->running, it, next)
	{
		DL_DELETE(d->running, it);
		item_free(it);
	}
	while ((run = d->runs)) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): what is freed was unlinked */
		HASH_DEL(d->runs, run);
		free(run);
	}
	while ((e = d->entries)) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): what is freed was unlinked */
		HASH_DEL(d->entries, e);
		free(e->zone);
		free(e);
	}
	while ((s = d->services)) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): what is freed was unlinked */
		HASH_DEL(d->services, s);
		free(s->name);
		free(s);
	}
	ds_prefix_forget(d, NULL);
	while (d->replicas)
		replica_free(d, d->replicas);
	free(d);
}

static replica_t *find_replica(const ds_t *d, str_t id)
{
	replica_t *r;

	HASH_FIND(hh, d->replicas, id.p, id.n, r);
	return r;
}

static replica_t *replica_of(ds_t *d, str_t id)
{
	replica_t *r = find_replica(d, id);

	if (r)
		return r;
	r = mem_new(sizeof(*r));
	r->id = str_dup(id);
	r->zone = str_dup(STR(""));
	r->service = service_of(d, STR(""));
	r->slots = 1;
	HASH_ADD_KEYPTR(hh, d->replicas, r->id, id.n, r);
	return r;
}

static void set_str(char **p, str_t s)
{
	if (str_eq(str_c(*p), s))
		return;
	free(*p);
	*p = str_dup(s);
}

static void drop_unlisted(ds_t *d)
{
	replica_t *r;
	replica_t *next;

	HASH_ITER (hh, d->replicas, r, next) {
		if (!r->listed && r->online == 0 && r->items == 0)
			replica_free(d, r);
	}
}

/* Forgets what was known of the replica that had this id before. */
static void begin_anew(ds_t *d, replica_t *r)
{
	ds_prefix_forget(d, r);
	r->strikes = 0;
	r->suspect_until = 0;
	r->busy_until = 0;
	r->full_until = 0;
}

void ds_replicas(ds_t *d, const ds_replica_t *v, size_t n, deadline_t now)
{
	for (replica_t *r = d->replicas; r; r = r->hh.next)
		r->listed = false;
	for (size_t i = 0; i < n; i++) {
		replica_t *r = replica_of(d, v[i].id);

		set_str(&r->zone, v[i].zone);
		r->service = service_of(d, v[i].service);
		r->slots = v[i].slots ? v[i].slots : 1;
		r->leaving = v[i].leaving;
		r->listed = true;
		if (r->born && v[i].born > r->born)
			begin_anew(d, r);
		r->born = v[i].born;
	}
	d->listed |= n > 0;
	drop_unlisted(d);
	ds_place(d, now);
}

void ds_leaves(ds_t *d, str_t replica)
{
	replica_t *r = find_replica(d, replica);

	if (r)
		r->leaving = true;
}

static entry_t *find_entry(const ds_t *d, uint64_t id)
{
	entry_t *e;

	HASH_FIND(hh, d->entries, &id, sizeof(id), e);
	return e;
}

void ds_entry_add(ds_t *d, uint64_t id, str_t zone, bool takes_items)
{
	entry_t *e = find_entry(d, id);

	if (!e) {
		e = mem_new(sizeof(*e));
		e->id = id;
		e->zone = str_dup(zone);
		HASH_ADD(hh, d->entries, id, sizeof(e->id), e);
	}
	set_str(&e->zone, zone);
	e->takes_items = takes_items;
}

static void drop_run(ds_t *d, run_t *run)
{
	run->replica->online--;
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): what is freed was unlinked */
	HASH_DEL(d->runs, run);
	free(run);
}

void ds_entry_remove(ds_t *d, uint64_t id, deadline_t now)
{
	entry_t *e = find_entry(d, id);
	run_t *run;
	run_t *next_run;
	ask_t *q;
	ask_t *next;

	if (!e)
		return;
	HASH_ITER (hh, d->runs, run, next_run) {
		if (run->key.entry == id)
			drop_run(d, run);
	}
	for (q = d->asks; q; q = next) {
		next = q->next;
		if (q->a.entry == id)
			ds_ask_free(d, q);
	}
	for (ds_item_t *it = d->running; it; it = it->next) {
		if (it->entry != id || it->lost_until)
			continue;
		ds_item_count(it, now);
		it->lost_until = now + DS_ADOPT_MS;
	}
	HASH_DEL(d->entries, e);
	free(e->zone);
	free(e);
	drop_unlisted(d);
	ds_place(d, now);
}

static run_t *find_run(const ds_t *d, uint64_t entry, uint64_t request)
{
	run_key_t key;
	run_t *run;

	memset(&key, 0, sizeof(key));
	key.entry = entry;
	key.request = request;
	HASH_FIND(hh, d->runs, &key, sizeof(key), run);
	return run;
}

/* By priority, then by when their callers leave; ds_place ranks them by what that leaves. */
static bool goes_before(const ask_t *a, const ask_t *b)
{
	if (a->a.priority != b->a.priority)
		return a->a.priority < b->a.priority;
	return a->a.leaves < b->a.leaves;
}

void ds_ask(ds_t *d, const ds_ask_t *ask, deadline_t now)
{
	ask_t *q = mem_new(sizeof(*q));
	ask_t *at;

	assert(ask->navoid <= DS_AVOID_MAX);
	q->a = *ask;
	q->service = service_of(d, ask->service);
	for (unsigned i = 0; i < ask->navoid; i++)
		q->avoid[i] = str_dup(ask->avoid[i]);
	d->nasks++;
	DL_FOREACH (d->asks, at) {
		if (goes_before(q, at))
			break;
	}
	if (at)
		DL_PREPEND_ELEM(d->asks, at, q);
	else
		DL_APPEND(d->asks, q);
	ds_place(d, now);
}

void ds_drop(ds_t *d, uint64_t entry, uint64_t request)
{
	ask_t *q;
	ask_t *next;

	for (q = d->asks; q; q = next) {
		next = q->next;
		if (q->a.entry == entry && q->a.request == request)
			ds_ask_free(d, q);
	}
}

/*
 * After all VMs lost power their old runs still hold places at the replicas, until the replicas
 * notice. Then every replica is silent at once, and leaving them all alone would leave no place.
 */
static bool most_are_silent(const ds_t *d, const replica_t *silent, deadline_t now)
{
	unsigned suspects = 1;
	unsigned all = 0;

	for (const replica_t *r = d->replicas; r; r = r->hh.next) {
		if (!r->listed || r->leaving || r->service != silent->service)
			continue;
		all++;
		suspects += r != silent && now < r->suspect_until;
	}
	return suspects * 2 > all && all > 1;
}

static void note_busy(ds_t *d, const service_t *s, deadline_t now)
{
	for (replica_t *r = d->replicas; r; r = r->hh.next) {
		if (r->service != s)
			continue;
		r->strikes = 0;
		r->suspect_until = 0;
		r->busy_until = now + BUSY_MS;
	}
}

static void judge(ds_t *d, replica_t *r, ds_outcome_t how, deadline_t now)
{
	int64_t ms;

	switch (how) {
	case DS_OK:
		r->strikes = 0;
		r->suspect_until = 0;
		return;
	case DS_LEFT:
		return;
	case DS_LEAVES:
		r->leaving = true;
		return;
	case DS_FULL:
		r->full_until = now + FULL_MS;
		return;
	case DS_SILENT:
		if (now < r->busy_until)
			return;
		if (now >= r->suspect_until && most_are_silent(d, r, now)) {
			note_busy(d, r->service, now);
			return;
		}
		break;
	default:
		break;
	}
	/* Runs that break together are one failure. */
	if (now < r->suspect_until)
		return;
	ms = (int64_t)SUSPECT_MS << (r->strikes < SUSPECT_DOUBLES ? r->strikes : SUSPECT_DOUBLES);
	r->suspect_until = now + (ms < SUSPECT_MAX_MS ? ms : SUSPECT_MAX_MS);
	r->strikes++;
}

void ds_ended(ds_t *d, uint64_t entry, uint64_t request, ds_outcome_t how, deadline_t now)
{
	run_t *run = find_run(d, entry, request);
	service_t *s;

	if (!run)
		return;
	judge(d, run->replica, how, now);
	s = run->replica->service;
	if (how == DS_OK)
		s->hold_us += ((now - run->since) * 1000 - s->hold_us) / HOLD_WEIGHT;
	drop_run(d, run);
	drop_unlisted(d);
	ds_place(d, now);
}

void ds_adopt(ds_t *d, uint64_t entry, uint64_t request, str_t replica, deadline_t now)
{
	run_t *run;

	if (find_run(d, entry, request))
		return;
	run = mem_new(sizeof(*run));
	run->key = (run_key_t){entry, request};
	run->replica = replica_of(d, replica);
	run->since = now;
	run->replica->online++;
	HASH_ADD(hh, d->runs, key, sizeof(run->key), run);
}

ds_item_t *ds_item_add(ds_t *d, str_t service, deadline_t due, void *data)
{
	ds_item_t *it = mem_new(sizeof(*it));

	it->service = service_of(d, service);
	it->due = due;
	it->data = data;
	ds_item_queue(d, it);
	return it;
}

void ds_item_adopt(ds_t *d, ds_item_t *it, uint64_t entry, str_t replica, deadline_t now)
{
	entry_t *e = find_entry(d, entry);

	ds_item_unplace(d, it);
	it->state = ITEM_RUNNING;
	it->lost_until = 0;
	it->entry = entry;
	it->replica = replica_of(d, replica);
	it->placed = now;
	it->replica->items++;
	if (e)
		e->items++;
	DL_APPEND(d->running, it);
	ds_place(d, now);
}

void ds_item_service(ds_t *d, ds_item_t *it, str_t service)
{
	it->service = service_of(d, service);
}

void ds_item_avoid(ds_item_t *it, str_t replica)
{
	free(it->avoid);
	it->avoid = str_dup(replica);
}

bool ds_item_has_service(const ds_item_t *it)
{
	return it->service->name[0] != 0;
}

bool ds_item_is_waiting(const ds_item_t *it)
{
	return it->state == ITEM_WAITING;
}

bool ds_item_may_adopt(const ds_item_t *it, deadline_t now)
{
	return it->state == ITEM_WAITING || it->lost_until > now;
}

void ds_item_back(ds_t *d, ds_item_t *it, ds_outcome_t how, deadline_t now)
{
	if (it->state == ITEM_WAITING)
		return;
	if (it->replica)
		judge(d, it->replica, how, now);
	ds_item_count(it, now);
	ds_item_unplace(d, it);
	ds_item_queue(d, it);
	drop_unlisted(d);
	ds_place(d, now);
}

void ds_item_remove(ds_t *d, ds_item_t *it, bool ended, deadline_t now)
{
	service_t *s = it->service;

	if (ended && it->replica) {
		judge(d, it->replica, DS_OK, now);
		ds_item_count(it, now);
		s->item_ms += s->item_ms ? (it->ran_ms - s->item_ms) / ITEM_WEIGHT : it->ran_ms;
	}
	if (!ended && it->state == ITEM_RUNNING && !it->lost_until)
		d->cb.stop(d->cb.ctx, it->data, it->entry);
	ds_item_unplace(d, it);
	item_free(it);
	drop_unlisted(d);
	ds_place(d, now);
}

void ds_hold_items(ds_t *d, deadline_t until)
{
	d->hold_until = until;
}

void ds_tick(ds_t *d, deadline_t now)
{
	ds_place(d, now);
}

void ds_stats(const ds_t *d, ds_stats_t *out)
{
	*out = (ds_stats_t){
		.asks_waiting = d->nasks, .items_waiting = d->nwaiting, .preempted = d->preempted};
	for (const replica_t *r = d->replicas; r; r = r->hh.next) {
		out->online += r->online;
		out->items += r->items;
		if (r->leaving || !r->listed)
			continue;
		out->replicas++;
		out->slots += r->slots;
	}
}
