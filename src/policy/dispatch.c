/* Dispatcher: its state, and the public functions that change it. */
#include "policy/dispatch.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include "policy/dispatch_internal.h"

/** Assumed mean slot time of an online request before the first one ends. */
#define HOLD_INITIAL_US 700000
/** A new sample moves a running mean by 1/HOLD_DIVISOR (requests) or 1/ITEM_DIVISOR (items) of its
 * distance from the mean. */
#define HOLD_DIVISOR 16
#define ITEM_DIVISOR 32
/** Back-off of a failed replica, doubled with each consecutive failure up to the maximum. Needed
 * because a crashed replica stays on the replica list for some seconds. */
#define SUSPECT_MS	    250
#define SUSPECT_MAX_MS	    2000
#define SUSPECT_MAX_DOUBLES 3
/** Once most replicas of a service are in back-off when another one is silent, silence does not
 * count as a failure for this long: about the time that a request holds its slot. */
#define IGNORE_SILENCE_MS 700
/** Silence counts as a failure while at least 1/ANSWERING_PART of the replicas answer. */
#define ANSWERING_PART 5
/** Back-off of a replica that rejected a run as full: its engine produces a few tokens in this
 * time. */
#define FULL_MS 40
/** Time to prefill a token of a prompt, unless it is set. */
#define PREFILL_NS 15000

const char *dispatch_outcome_name(dispatch_outcome_t how)
{
	static const char *const names[] = {[DISPATCH_OK] = "ok",
					    [DISPATCH_FULL] = "full",
					    [DISPATCH_UNREACHABLE] = "gone",
					    [DISPATCH_BROKEN] = "broken",
					    [DISPATCH_SILENT] = "silent",
					    [DISPATCH_FAILED] = "failed",
					    [DISPATCH_CANCELLED] = "left",
					    [DISPATCH_REPLICA_LEAVING] = "leaves"};

	return (size_t)how < sizeof(names) / sizeof(names[0]) ? names[how] : "unknown";
}

const char *dispatch_refusal_name(dispatch_refusal_t why)
{
	static const char *const names[] = {[DISPATCH_NO_REPLICA_LIST] = "no list",
					    [DISPATCH_PAST_DEADLINE] = "deadline",
					    [DISPATCH_CALLER_GIVES_UP] = "caller leaves",
					    [DISPATCH_ENTRY_CUT_OFF] = "entry cut off",
					    [DISPATCH_PAST_OBJECTIVE] = "objective"};

	return (size_t)why < sizeof(names) / sizeof(names[0]) ? names[why] : "unknown";
}

dispatch_t *dispatch_new(const dispatch_callbacks_t *cb, uint64_t random_seed)
{
	dispatch_t *d = mem_new(sizeof(*d));

	d->cb = *cb;
	d->next_orphan = DEADLINE_NEVER;
	d->prefill_ns = PREFILL_NS;
	d->random = random_seed | 1; /* prng_next() needs a state other than 0 */
	return d;
}

static service_t *get_service(dispatch_t *d, str_t name)
{
	service_t *s;

	HASH_FIND(hh, d->services, name.p, name.n, s);
	if (s)
		return s;
	s = mem_new(sizeof(*s));
	s->name = str_dup(name);
	s->mean_hold_us = HOLD_INITIAL_US;
	HASH_ADD_KEYPTR(hh, d->services, s->name, name.n, s);
	return s;
}

static void replica_free(dispatch_t *d, replica_t *r)
{
	dispatch_prefix_forget(d, r);
	if (r->prompts)
		prompt_cache_remove(d->prompts, r->prompts);
	dispatch_pairs_forget(d, 0, r);
	d->sample_stale = true;
	HASH_DEL(d->replicas, r);
	free(r->id);
	free(r->zone);
	free(r);
}

static void item_free(dispatch_item_t *it)
{
	for (unsigned i = 0; i < DISPATCH_AVOID_MAX; i++)
		free(it->avoid[i]);
	free(it->prompt);
	free(it);
}

void dispatch_free(dispatch_t *d)
{
	dispatch_item_t *it;
	dispatch_item_t *next;
	run_t *run;
	entry_t *e;
	service_t *s;

	while (d->waiters)
		dispatch_waiter_free(d, d->waiters);
	DL_FOREACH_SAFE(d->waiting_items, it, next)
	{
		DL_DELETE(d->waiting_items, it);
		item_free(it);
	}
	DL_FOREACH_SAFE(d->running_items, it, next)
	{
		DL_DELETE(d->running_items, it);
		item_free(it);
	}
	while ((run = d->runs)) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
		HASH_DEL(d->runs, run);
		free(run);
	}
	dispatch_pairs_free(d);
	while ((e = d->entries)) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
		HASH_DEL(d->entries, e);
		free(e->zone);
		free(e);
	}
	while ((s = d->services)) {
		/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
		HASH_DEL(d->services, s);
		dispatch_fair_free(s);
		free(s->name);
		free(s);
	}
	dispatch_prefix_forget(d, NULL);
	while (d->replicas)
		replica_free(d, d->replicas);
	prompt_cache_free(d->prompts);
	free(d->sample);
	free(d);
}

static replica_t *find_replica(const dispatch_t *d, str_t id)
{
	replica_t *r;

	HASH_FIND(hh, d->replicas, id.p, id.n, r);
	return r;
}

/* Finds a replica, or adds one that is not listed: an entry may report a run before the replica
 * list arrives. */
static replica_t *get_replica(dispatch_t *d, str_t id)
{
	replica_t *r = find_replica(d, id);

	if (r)
		return r;
	r = mem_new(sizeof(*r));
	r->id = str_dup(id);
	r->zone = str_dup(STR(""));
	r->service = get_service(d, STR(""));
	r->slots = 1;
	d->sample_stale = true;
	HASH_ADD_KEYPTR(hh, d->replicas, r->id, id.n, r);
	return r;
}

static void replace_str(char **p, str_t s)
{
	if (str_eq(str_c(*p), s))
		return;
	free(*p);
	*p = str_dup(s);
}

/* Frees the replicas that are not in the replica list and have no runs left. */
static void free_unlisted_replicas(dispatch_t *d)
{
	replica_t *r;
	replica_t *next;

	HASH_ITER (hh, d->replicas, r, next) {
		if (!r->listed && r->online == 0 && r->items == 0 && r->tokens == 0)
			replica_free(d, r);
	}
}

/* A replica restarted under the same id: resets the state that belonged to the old process. */
static void reset_replica(dispatch_t *d, replica_t *r)
{
	dispatch_prefix_forget(d, r);
	dispatch_prompts_forget(d, r);
	dispatch_pairs_forget(d, 0, r);
	r->failures = 0;
	r->suspect_until = 0;
	r->prefill_until_us = 0;
	r->ignore_silence_until = 0;
	r->full_until = 0;
	replica_speed_restarted(&r->speed, 0);
}

static void replace_replicas(dispatch_t *d, const dispatch_replica_t *v, size_t n)
{
	for (replica_t *r = d->replicas; r; r = r->hh.next)
		r->listed = false;
	for (size_t i = 0; i < n; i++) {
		replica_t *r = get_replica(d, v[i].id);

		replace_str(&r->zone, v[i].zone);
		r->service = get_service(d, v[i].service);
		r->slots = v[i].slots ? v[i].slots : 1;
		r->leaving = v[i].leaving;
		if (r->leaving)
			dispatch_prompts_forget(d, r);
		r->listed = true;
		if (r->start_time && v[i].start_time > r->start_time)
			reset_replica(d, r);
		r->start_time = v[i].start_time;
	}
	for (service_t *s = d->services; s; s = s->hh.next)
		s->counted_at = -1;
	free_unlisted_replicas(d);
}

void dispatch_set_replicas(dispatch_t *d, const dispatch_replica_t *v, size_t n, deadline_t now)
{
	replace_replicas(d, v, n);
	d->had_replicas |= n > 0;
	dispatch_place_all(d, now);
}

void dispatch_set_first_replicas(dispatch_t *d, const dispatch_replica_t *v, size_t n,
				 deadline_t now)
{
	replace_replicas(d, v, n);
	dispatch_place_all(d, now);
}

void dispatch_replica_leaving(dispatch_t *d, str_t replica)
{
	replica_t *r = find_replica(d, replica);

	if (!r)
		return;
	r->leaving = true;
	dispatch_prompts_forget(d, r);
}

void dispatch_replica_loads(dispatch_t *d, const dispatch_load_t *v, size_t n, deadline_t now)
{
	for (size_t i = 0; i < n; i++) {
		replica_t *r = find_replica(d, v[i].replica);

		/* A figure of a process that is gone says nothing about its successor. */
		if (!r || v[i].percent == 0 || (v[i].start_time && v[i].start_time < r->start_time))
			continue;
		r->service->states_speed = true;
		replica_speed_stated(&r->speed, v[i].start_time, v[i].percent, v[i].at);
	}
}

void dispatch_set_service(dispatch_t *d, str_t service, const dispatch_service_options_t *opts)
{
	get_service(d, service)->memory_tokens =
		opts->memory_tokens > 0 ? (uint64_t)opts->memory_tokens : 0;
}

void dispatch_on_contradicted(dispatch_t *d, void (*contradicted)(void *ctx, str_t replica))
{
	d->contradicted = contradicted;
}

void dispatch_speed_range(const dispatch_t *d, int64_t *fastest, int64_t *slowest, deadline_t now)
{
	*fastest = SPEED_MAX;
	*slowest = 0;
	for (const replica_t *r = d->replicas; r; r = r->hh.next) {
		int64_t f = replica_speed_factor(&r->speed, now);

		if (!r->listed || !r->service->states_speed)
			continue;
		*fastest = f < *fastest ? f : *fastest;
		*slowest = f > *slowest ? f : *slowest;
	}
	if (*slowest == 0)
		*fastest = *slowest = SPEED_MEAN;
}

static void report_contradicted(const dispatch_t *d, const replica_t *r, bool contradicted)
{
	if (contradicted && d->contradicted)
		d->contradicted(d->cb.ctx, str_c(r->id));
}

/* Learns the speed of the replica from a run that ended whole. */
static void note_run(const dispatch_t *d, const run_t *run, deadline_t now)
{
	speed_run_t ended = {run->since, run->percent, run->tokens_in, run->tokens_out};
	replica_t *r = run->replica;

	if (r->service->states_speed)
		report_contradicted(
			d, r, replica_speed_ended(&r->speed, &r->service->speeds, &ended, now));
}

/* As note_run, for an item. What it took on other replicas before says nothing about this one. */
static void note_item(const dispatch_t *d, const dispatch_item_t *it, deadline_t now)
{
	const service_t *s = it->service;
	replica_t *r = it->replica;

	if (!s->states_speed || it->ran_ms > 0 || !s->mean_item_ms)
		return;
	report_contradicted(d, r,
			    replica_speed_ran(&r->speed,
					      (now - it->placed_at) * SPEED_MEAN / s->mean_item_ms,
					      0, now));
}

static entry_t *find_entry(const dispatch_t *d, uint64_t id)
{
	entry_t *e;

	HASH_FIND(hh, d->entries, &id, sizeof(id), e);
	return e;
}

void dispatch_entry_add(dispatch_t *d, uint64_t id, str_t zone, bool takes_items)
{
	entry_t *e = find_entry(d, id);

	if (!e) {
		e = mem_new(sizeof(*e));
		e->id = id;
		e->zone = str_dup(zone);
		HASH_ADD(hh, d->entries, id, sizeof(e->id), e);
	}
	replace_str(&e->zone, zone);
	e->takes_items = takes_items;
}

static void free_run(dispatch_t *d, run_t *run)
{
	run->replica->online--;
	run->replica->tokens -= run->tokens;
	dispatch_prompt_release(d, run->replica, run->reserved_tokens);
	/* The run is in the table. NOLINTNEXTLINE(clang-analyzer-*) */
	HASH_DEL(d->runs, run);
	free(run);
}

void dispatch_entry_remove(dispatch_t *d, uint64_t id, deadline_t now)
{
	entry_t *e = find_entry(d, id);
	run_t *run;
	run_t *next_run;
	waiter_t *q;
	waiter_t *next;

	if (!e)
		return;
	HASH_ITER (hh, d->runs, run, next_run) {
		if (run->key.entry != id)
			continue;
		dispatch_fair_end(run, false, now);
		free_run(d, run);
	}
	for (q = d->waiters; q; q = next) {
		next = q->next;
		if (q->req.entry == id)
			dispatch_waiter_free(d, q);
	}
	for (dispatch_item_t *it = d->running_items; it; it = it->next) {
		if (it->entry != id || it->adopt_until)
			continue;
		dispatch_item_add_run_time(it, now);
		it->adopt_until = now + DISPATCH_ADOPT_MS;
		if (it->adopt_until < d->next_orphan)
			d->next_orphan = it->adopt_until;
	}
	dispatch_pairs_forget(d, id, NULL);
	HASH_DEL(d->entries, e);
	free(e->zone);
	free(e);
	free_unlisted_replicas(d);
}

static run_t *find_run(const dispatch_t *d, uint64_t entry, uint64_t request)
{
	run_key_t key;
	run_t *run;

	memset(&key, 0, sizeof(key));
	key.entry = entry;
	key.request = request;
	HASH_FIND(hh, d->runs, &key, sizeof(key), run);
	return run;
}

/* Queue order: by priority, then by the caller's give-up time. dispatch_place_all() goes through
 * the queue once for each request_rank_t, so the order holds within a rank. */
static bool queued_before(const waiter_t *a, const waiter_t *b)
{
	if (a->req.priority != b->req.priority)
		return a->req.priority < b->req.priority;
	return a->req.give_up_at < b->req.give_up_at;
}

void dispatch_request_add(dispatch_t *d, const dispatch_request_t *req, deadline_t now)
{
	waiter_t *q = mem_new(sizeof(*q));
	waiter_t *at;

	assert(req->navoid <= DISPATCH_AVOID_MAX);
	q->req = *req;
	q->service = get_service(d, req->service);
	prompt_chain_init(&q->prompt, &req->tokens);
	dispatch_note_arrival(q->service, req, now);
	for (unsigned i = 0; i < req->navoid; i++)
		q->avoid[i] = str_dup(req->avoid[i]);
	q->customer = str_dup(req->customer);
	q->req.customer = (str_t){q->customer, req->customer.n};
	dispatch_fair_join(q, now);
	d->nwaiters++;
	DL_FOREACH (d->waiters, at) {
		if (queued_before(q, at))
			break;
	}
	if (at)
		DL_PREPEND_ELEM(d->waiters, at, q);
	else
		DL_APPEND(d->waiters, q);
	dispatch_place_all(d, now);
}

void dispatch_request_withdraw(dispatch_t *d, uint64_t entry, uint64_t request)
{
	waiter_t *q;
	waiter_t *next;

	for (q = d->waiters; q; q = next) {
		next = q->next;
		if (q->req.entry == entry && q->req.request == request)
			dispatch_waiter_free(d, q);
	}
}

/*
 * True if most replicas of a service are in back-off, counting the one that has just been silent,
 * and few of the others answer. This happens after all VMs of the entries lost power: the old runs
 * occupy the replicas until the replicas notice that the entries are gone, and new runs get no
 * answer. A back-off from all replicas would leave no slot for new work. Where others answer, the
 * silent ones stay in back-off.
 */
static bool silence_is_common(const dispatch_t *d, const replica_t *silent, deadline_t now)
{
	unsigned suspects = 1;
	unsigned answering = 0;
	unsigned all = 0;

	for (const replica_t *r = d->replicas; r; r = r->hh.next) {
		if (!r->listed || r->leaving || r->service != silent->service)
			continue;
		all++;
		suspects += r != silent && now < r->suspect_until;
		answering += r != silent && dispatch_answers(r, now);
	}
	return suspects * 2 > all && all > 1 && answering * ANSWERING_PART < all;
}

/* Ends the failure back-off of all replicas of the service, whatever caused it, and ignores silence
 * for a while. */
static void reset_service_health(dispatch_t *d, const service_t *s, deadline_t now)
{
	for (replica_t *r = d->replicas; r; r = r->hh.next) {
		if (r->service != s)
			continue;
		r->failures = 0;
		r->suspect_until = 0;
		r->ignore_silence_until = now + IGNORE_SILENCE_MS;
	}
}

/* Updates back-off and `leaving` of a replica after a run ended there. Several runs that break
 * together count as one failure: during the back-off, further failures are ignored. */
static void update_health(dispatch_t *d, uint64_t entry, replica_t *r, dispatch_outcome_t how,
			  deadline_t now)
{
	int64_t ms;
	const entry_t *e = find_entry(d, entry);

	switch (how) {
	case DISPATCH_OK:
		dispatch_note_heard(d, entry, r, now);
		r->failures = 0;
		r->suspect_until = 0;
		return;
	case DISPATCH_CANCELLED:
		return;
	case DISPATCH_REPLICA_LEAVING:
		r->leaving = true;
		dispatch_prompts_forget(d, r);
		return;
	case DISPATCH_FULL:
		dispatch_note_heard(d, entry, r, now);
		r->full_until = now + FULL_MS;
		return;
	case DISPATCH_SILENT:
		if (now < r->ignore_silence_until)
			return;
		if (now >= r->suspect_until && silence_is_common(d, r, now)) {
			reset_service_health(d, r->service, now);
			return;
		}
		break;
	case DISPATCH_UNREACHABLE:
		if (dispatch_note_unreached(d, entry, r, now))
			return;
		break;
	default:
		break;
	}
	/* What breaks at an entry that is cut off says nothing about the replica. */
	if (now < r->suspect_until || (e && e->cut_off))
		return;
	/* Both may mean that its process ended. */
	if (how == DISPATCH_BROKEN || how == DISPATCH_UNREACHABLE)
		dispatch_prompts_forget(d, r);
	ms = (int64_t)SUSPECT_MS << (r->failures < SUSPECT_MAX_DOUBLES ? r->failures
								       : SUSPECT_MAX_DOUBLES);
	r->suspect_until = now + (ms < SUSPECT_MAX_MS ? ms : SUSPECT_MAX_MS);
	r->failures++;
}

bool dispatch_request_runs_at(const dispatch_t *d, uint64_t entry, uint64_t request, str_t replica)
{
	const run_t *run = find_run(d, entry, request);

	if (!run)
		return false;
	return replica.n == DISPATCH_ID_KEPT ? str_starts(str_c(run->replica->id), replica)
					     : str_eq(str_c(run->replica->id), replica);
}

void dispatch_request_ended(dispatch_t *d, uint64_t entry, uint64_t request, dispatch_outcome_t how,
			    deadline_t now)
{
	run_t *run = find_run(d, entry, request);
	service_t *s;

	if (!run)
		return;
	update_health(d, entry, run->replica, how, now);
	s = run->replica->service;
	if (how == DISPATCH_OK) {
		note_run(d, run, now);
		s->mean_hold_us += ((now - run->since) * 1000 - s->mean_hold_us) / HOLD_DIVISOR;
	}
	dispatch_fair_end(run, how == DISPATCH_OK, now);
	free_run(d, run);
	free_unlisted_replicas(d);
	dispatch_place_all(d, now);
}

void dispatch_request_adopt(dispatch_t *d, uint64_t entry, uint64_t request, str_t replica,
			    deadline_t now)
{
	run_t *run;

	if (find_run(d, entry, request))
		return;
	run = mem_new(sizeof(*run));
	run->key = (run_key_t){entry, request};
	run->replica = get_replica(d, replica);
	run->since = now;
	run->replica->online++;
	HASH_ADD(hh, d->runs, key, sizeof(run->key), run);
}

dispatch_item_t *dispatch_item_add(dispatch_t *d, str_t service, deadline_t due, void *data)
{
	dispatch_item_t *it = mem_new(sizeof(*it));

	it->service = get_service(d, service);
	it->due = due;
	it->data = data;
	dispatch_item_enqueue(d, it);
	return it;
}

void dispatch_item_set_tokens(dispatch_item_t *it, const dispatch_tokens_t *tokens)
{
	free(it->prompt);
	it->prompt = NULL;
	it->expected_tokens = (int64_t)tokens->in + tokens->out;
	if (it->state == ITEM_WAITING)
		it->tokens = dispatch_tokens_held(tokens);
	if (tokens->nparts == 0)
		return;
	it->prompt = mem_new(sizeof(*it->prompt));
	prompt_chain_init(it->prompt, tokens);
}

void dispatch_item_adopt(dispatch_t *d, dispatch_item_t *it, uint64_t entry, str_t replica,
			 deadline_t now)
{
	entry_t *e = find_entry(d, entry);

	dispatch_item_detach(d, it);
	it->state = ITEM_RUNNING;
	it->adopt_until = 0;
	it->entry = entry;
	it->replica = get_replica(d, replica);
	it->placed_at = now;
	it->replica->items++;
	dispatch_item_hold_memory(it, it->replica);
	if (e)
		e->items++;
	DL_APPEND(d->running_items, it);
}

void dispatch_item_set_service(dispatch_t *d, dispatch_item_t *it, str_t service)
{
	bool waits = it->state == ITEM_WAITING;

	it->service->items_waiting -= waits;
	it->service = get_service(d, service);
	it->service->items_waiting += waits;
}

void dispatch_item_avoid(dispatch_item_t *it, str_t replica)
{
	char **oldest = &it->avoid[it->navoid++ % DISPATCH_AVOID_MAX];

	free(*oldest);
	*oldest = str_dup(replica);
}

bool dispatch_item_has_service(const dispatch_item_t *it)
{
	return it->service->name[0] != 0;
}

bool dispatch_item_is_waiting(const dispatch_item_t *it)
{
	return it->state == ITEM_WAITING;
}

bool dispatch_item_is_adoptable(const dispatch_item_t *it, deadline_t now)
{
	return it->state == ITEM_WAITING || it->adopt_until > now;
}

void dispatch_item_progressed(dispatch_t *d, dispatch_item_t *it, deadline_t now)
{
	bool had_failed = it->replica && it->replica->failures > 0;

	if (it->state != ITEM_RUNNING || !it->replica)
		return;
	update_health(d, it->entry, it->replica, DISPATCH_OK, now);
	if (had_failed)
		dispatch_place_all(d, now);
}

void dispatch_item_requeue(dispatch_t *d, dispatch_item_t *it, dispatch_outcome_t how,
			   deadline_t now)
{
	if (it->state == ITEM_WAITING)
		return;
	if (it->replica)
		update_health(d, it->entry, it->replica, how, now);
	dispatch_item_add_run_time(it, now);
	dispatch_item_detach(d, it);
	dispatch_item_enqueue(d, it);
	free_unlisted_replicas(d);
	dispatch_place_all(d, now);
}

void dispatch_item_remove(dispatch_t *d, dispatch_item_t *it, bool ended, deadline_t now)
{
	service_t *s = it->service;

	if (ended && it->replica) {
		update_health(d, it->entry, it->replica, DISPATCH_OK, now);
		note_item(d, it, now);
		dispatch_item_add_run_time(it, now);
		s->mean_item_ms += s->mean_item_ms ? (it->ran_ms - s->mean_item_ms) / ITEM_DIVISOR
						   : it->ran_ms;
	}
	if (!ended && it->state == ITEM_RUNNING && !it->adopt_until)
		d->cb.stop_item(d->cb.ctx, it->data, it->entry);
	dispatch_item_detach(d, it);
	item_free(it);
	free_unlisted_replicas(d);
	dispatch_place_all(d, now);
}

void dispatch_hold_items(dispatch_t *d, deadline_t until)
{
	d->items_held_until = until;
}

void dispatch_tick(dispatch_t *d, deadline_t now)
{
	dispatch_pairs_tick(d, now);
	dispatch_place_now(d, now);
}

void dispatch_set_weighing(dispatch_t *d, const dispatch_weighing_t *w)
{
	d->weighing = *w;
}

void dispatch_defer(dispatch_t *d, void (*placement_due)(void *ctx))
{
	d->placement_due = placement_due;
}

void dispatch_set_prefill_ns(dispatch_t *d, int64_t ns_per_token)
{
	d->prefill_ns = ns_per_token;
}

void dispatch_prompt_tokens(const dispatch_t *d, uint64_t *granted, uint64_t *held)
{
	*granted = d->prompt_tokens;
	*held = d->prompt_tokens_held;
}

void dispatch_stats(const dispatch_t *d, dispatch_stats_t *out)
{
	*out = (dispatch_stats_t){.requests_waiting = d->nwaiters,
				  .items_waiting = d->nwaiting_items,
				  .preempted = d->preempted,
				  .items_examined = d->items_examined};
	for (const replica_t *r = d->replicas; r; r = r->hh.next) {
		out->online += r->online;
		out->items += r->items;
		if (r->leaving || !r->listed)
			continue;
		out->replicas++;
		out->slots += r->slots;
	}
}

const dispatch_share_t *dispatch_refusal_share(const dispatch_t *d)
{
	return &d->refusal;
}

void dispatch_entry_set_cut_off(dispatch_t *d, uint64_t id, bool cut_off, deadline_t now)
{
	entry_t *e = find_entry(d, id);

	if (!e || e->cut_off == cut_off)
		return;
	e->cut_off = cut_off;
	if (!cut_off)
		dispatch_pairs_forget(d, id, NULL);
	dispatch_place_all(d, now);
}
