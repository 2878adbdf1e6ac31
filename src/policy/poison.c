#include "policy/poison.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include "policy/crash_series.h"

/** Number of crashes from which a request is held. */
#define CRASHES_MIN 3
/** Maximum number of crashes that are recorded of one request. */
#define CRASHES_MAX 8
/** An answer that ends this soon after a crash, in ms, may have been sent before it. */
#define OVERTAKEN_MS 100
/** Crashes count for this long, in ms. */
#define WINDOW_MS 600000
/** A hold that the deciding process does not confirm ends after this long, in ms. */
#define CONFIRM_MS 500
/** Duration of the first hold, in ms; each further one is twice as long, up to LEVEL_MAX times. */
#define HOLD_MS	  300000
#define LEVEL_MAX 4
/** A prober has this long, in ms, before another one is named. */
#define PROBE_MS 10000
/** A request whose hold ran out is forgotten if it has not come for this long, in ms. */
#define REMEMBER_MS 7200000
/** Maximum number of replica processes that are kept; beyond it the oldest is dropped. */
#define PROCESSES_MAX 4096

typedef struct {
	uint64_t process; /* hash of the replica's id and start time */
	deadline_t at;
	deadline_t began; /* the run */
} crash_t;

typedef struct {
	poison_key_t key;
	crash_t crashes[CRASHES_MAX]; /* in the order of their reports */
	unsigned ncrashes;
	unsigned told; /* crashes that another process knows */
	deadline_t told_at;
	deadline_t told_since; /* first of them */
	bool held;
	bool confirmed; /* the hold is that of the deciding process */
	deadline_t confirm_by;
	deadline_t since; /* as in poison_state_t, while held */
	deadline_t until;
	unsigned level;
	uint64_t prober;
	unsigned turn;
	deadline_t probe_until; /* of the prober */
	bool probed; /* by this process, in this turn */
	UT_hash_handle hh;
} request_t;

/** A replica process that has crashed; iterated in the order of the crashes. */
typedef struct {
	uint64_t process;
	deadline_t at;
	bool explained; /* by a request that is held */
	UT_hash_handle hh;
} process_t;

struct poison {
	poison_callbacks_t cb;
	request_t *requests;
	process_t *processes;
	bool follows;
	uint64_t version;
};

poison_t *poison_new(const poison_callbacks_t *cb)
{
	poison_t *p = mem_new(sizeof(*p));

	p->cb = *cb;
	return p;
}

static void free_request(poison_t *p, request_t *r)
{
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
	HASH_DEL(p->requests, r);
	free(r);
	p->version++;
}

static void free_process(poison_t *p, process_t *x)
{
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
	HASH_DEL(p->processes, x);
	free(x);
}

void poison_free(poison_t *p)
{
	if (!p)
		return;
	while (p->requests)
		free_request(p, p->requests);
	while (p->processes)
		free_process(p, p->processes);
	free(p);
}

static request_t *find_request(const poison_t *p, const poison_key_t *key)
{
	request_t *r;

	HASH_FIND(hh, p->requests, key->v, sizeof(key->v), r);
	return r;
}

static process_t *find_process(const poison_t *p, uint64_t process)
{
	process_t *x;

	HASH_FIND(hh, p->processes, &process, sizeof(process), x);
	return x;
}

static request_t *get_request(poison_t *p, const poison_key_t *key)
{
	request_t *r = find_request(p, key);

	if (r)
		return r;
	if (HASH_COUNT(p->requests) >= POISON_MAX) {
		for (r = p->requests; r && r->held; r = r->hh.next)
			;
		free_request(p, r ? r : p->requests);
	}
	r = mem_new(sizeof(*r));
	r->key = *key;
	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): unlinked before free() */
	HASH_ADD(hh, p->requests, key, sizeof(r->key), r);
	p->version++;
	return r;
}

static process_t *add_process(poison_t *p, uint64_t process, deadline_t now)
{
	process_t *x;

	if (HASH_COUNT(p->processes) >= PROCESSES_MAX)
		free_process(p, p->processes);
	x = mem_new(sizeof(*x));
	x->process = process;
	x->at = now;
	HASH_ADD(hh, p->processes, process, sizeof(x->process), x);
	return x;
}

/* Number of crashes that came one after the other. */
static unsigned count_serial(const request_t *r)
{
	crash_series_t series = {0};

	for (unsigned i = 0; i < r->ncrashes; i++)
		crash_series_add(&series, r->crashes[i].began, r->crashes[i].at);
	return series.n;
}

static unsigned count_crashes(const request_t *r)
{
	unsigned n = count_serial(r);

	return r->told > n ? r->told : n;
}

static poison_state_t describe(const request_t *r)
{
	return (poison_state_t){
		.key = r->key,
		.held = r->held,
		.crashes = count_crashes(r),
		.level = r->level,
		.since = r->held       ? r->since
			 : r->ncrashes ? r->crashes[0].at
				       : r->told_since,
		.until = r->until,
		.prober = r->prober,
		.turn = r->turn,
	};
}

static void report(poison_t *p, poison_event_t what, const request_t *r)
{
	poison_state_t x = describe(r);

	p->version++;
	p->cb.event(p->cb.ctx, what, &x);
}

static void drop_crash(request_t *r, unsigned i)
{
	r->ncrashes--;
	for (; i < r->ncrashes; i++)
		r->crashes[i] = r->crashes[i + 1];
}

/* Index of the crash of this process, or ncrashes. */
static unsigned find_crash(const request_t *r, uint64_t process)
{
	unsigned i = 0;

	while (i < r->ncrashes && r->crashes[i].process != process)
		i++;
	return i;
}

/* Forgets a request of which nothing is known any more. */
static void settle(poison_t *p, request_t *r)
{
	if (r->ncrashes == 0 && !r->held && r->told == 0 && r->level == 0)
		free_request(p, r);
}

/* The crashes of a held request count for no other one. */
static void explain_crashes(poison_t *p, const request_t *held)
{
	for (unsigned i = 0; i < held->ncrashes; i++) {
		process_t *x = find_process(p, held->crashes[i].process);
		request_t *r;
		request_t *next;

		if (!x || x->explained)
			continue;
		x->explained = true;
		HASH_ITER (hh, p->requests, r, next) {
			unsigned at = find_crash(r, x->process);

			if (r == held || r->held || at == r->ncrashes)
				continue;
			drop_crash(r, at);
			p->version++;
			settle(p, r);
		}
	}
}

static void hold(poison_t *p, request_t *r, deadline_t now)
{
	poison_state_t x = describe(r);

	r->since = x.since ? x.since : now;
	r->held = true;
	r->confirmed = false;
	r->confirm_by = now + CONFIRM_MS;
	r->until = now + ((int64_t)HOLD_MS << r->level);
	r->prober = 0;
	report(p, POISON_HELD, r);
	explain_crashes(p, r);
}

static void release(poison_t *p, request_t *r)
{
	bool held = r->held;

	r->ncrashes = 0;
	r->told = 0;
	r->level = 0;
	r->held = false;
	if (held)
		report(p, POISON_RELEASED, r);
	settle(p, r);
}

static void take_back(poison_t *p, process_t *x)
{
	uint64_t process = x->process;
	request_t *r;
	request_t *next;

	free_process(p, x);
	HASH_ITER (hh, p->requests, r, next) {
		unsigned at = find_crash(r, process);

		if (at == r->ncrashes)
			continue;
		drop_crash(r, at);
		report(p, POISON_TAKEN_BACK, r);
		if (r->held && r->level == 0 && count_crashes(r) < CRASHES_MIN) {
			r->held = false;
			report(p, POISON_RELEASED, r);
		}
		settle(p, r);
	}
}

static uint64_t process_key(replica_ref_t r)
{
	return str_hash(r.id) ^ (r.start_time * 0x9e3779b97f4a7c15ULL);
}

void poison_alive(poison_t *p, replica_ref_t replica, deadline_t now)
{
	process_t *x = p->processes ? find_process(p, process_key(replica)) : NULL;

	if (x && now - x->at > OVERTAKEN_MS)
		take_back(p, x);
}

void poison_crash(poison_t *p, const poison_key_t *key, replica_ref_t replica, deadline_t began,
		  deadline_t now)
{
	uint64_t process = process_key(replica);
	process_t *x = find_process(p, process);
	request_t *r;

	if (x && now - x->at > CRASH_TOGETHER_MS) {
		/* It has accepted a connection since. */
		take_back(p, x);
		return;
	}
	r = find_request(p, key);
	if (x && x->explained && !(r && r->held))
		return;
	if (!x)
		x = add_process(p, process, now);
	r = get_request(p, key);
	if (find_crash(r, process) < r->ncrashes || r->ncrashes == CRASHES_MAX)
		return;
	r->crashes[r->ncrashes++] = (crash_t){process, x->at, began};
	r->told += r->told > 0;
	p->version++;
	if (r->held && r->until > now)
		explain_crashes(p, r);
	else if (count_crashes(r) >= (r->level ? 1 : CRASHES_MIN))
		hold(p, r, now);
}

void poison_sound(poison_t *p, const poison_key_t *key)
{
	request_t *r = find_request(p, key);

	if (r)
		release(p, r);
}

bool poison_holds(const poison_t *p, const poison_key_t *key, uint64_t self, deadline_t now,
		  poison_state_t *out)
{
	const request_t *r = p->requests ? find_request(p, key) : NULL;

	if (!r || !r->held || (r->until <= now && r->prober == self && !r->probed))
		return false;
	*out = describe(r);
	return true;
}

bool poison_is_probed_by(const poison_t *p, const poison_key_t *key, uint64_t self)
{
	const request_t *r = find_request(p, key);

	return r && r->held && r->prober == self && !r->probed;
}

void poison_probe(poison_t *p, const poison_key_t *key)
{
	request_t *r = find_request(p, key);

	if (r && r->held)
		r->probed = true;
}

bool poison_needs_prober(const poison_t *p, deadline_t now, poison_key_t *out)
{
	for (const request_t *r = p->requests; r; r = r->hh.next) {
		if (!r->held || r->until > now || (r->prober && r->probe_until > now))
			continue;
		*out = r->key;
		return true;
	}
	return false;
}

void poison_set_prober(poison_t *p, const poison_key_t *key, uint64_t prober, deadline_t now)
{
	request_t *r = find_request(p, key);

	if (!r)
		return;
	r->prober = prober;
	r->turn++;
	r->probe_until = now + PROBE_MS;
	r->probed = false;
	p->version++;
}

static void drop_old_crashes(request_t *r, deadline_t now)
{
	while (r->ncrashes > 0 && r->crashes[0].at + WINDOW_MS < now)
		drop_crash(r, 0);
	if (r->told && r->told_at + WINDOW_MS < now)
		r->told = 0;
}

void poison_tick(poison_t *p, deadline_t now)
{
	request_t *r;
	request_t *next;

	/* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): nodes are unlinked first */
	while (p->processes && p->processes->at + WINDOW_MS < now)
		free_process(p, p->processes);
	HASH_ITER (hh, p->requests, r, next) {
		if (!r->held) {
			drop_old_crashes(r, now);
			settle(p, r);
		} else if (r->until + REMEMBER_MS <= now ||
			   (p->follows && !r->confirmed && r->confirm_by <= now)) {
			release(p, r);
		} else if (r->until <= now && r->ncrashes + r->told > 0) {
			r->ncrashes = 0;
			r->told = 0;
			r->level += r->level < LEVEL_MAX;
			report(p, POISON_EXPIRED, r);
		}
	}
}

void poison_adopt(poison_t *p, const poison_state_t *x, deadline_t now)
{
	request_t *r = get_request(p, &x->key);
	bool was_held = r->held;

	r->told = x->crashes;
	r->told_at = now;
	r->told_since = x->since;
	if (!x->held)
		return;
	r->held = true;
	r->confirmed = true;
	r->since = x->since;
	r->until = x->until;
	r->level = x->level;
	if (r->turn != x->turn || r->prober != x->prober)
		r->probed = false;
	r->prober = x->prober;
	r->turn = x->turn;
	if (!was_held)
		report(p, POISON_HELD, r);
}

static const poison_state_t *find_state(const poison_state_t *v, size_t n, const request_t *r)
{
	for (size_t i = 0; i < n; i++) {
		if (memcmp(v[i].key.v, r->key.v, sizeof(r->key.v)) == 0)
			return &v[i];
	}
	return NULL;
}

void poison_retain(poison_t *p, const poison_state_t *v, size_t n)
{
	request_t *r;
	request_t *next;

	HASH_ITER (hh, p->requests, r, next) {
		const poison_state_t *x = find_state(v, n, r);

		if (r->held && r->confirmed && !(x && x->held)) {
			release(p, r);
		} else if (!x) {
			r->told = 0;
			settle(p, r);
		}
	}
}

void poison_follow(poison_t *p, bool follows)
{
	p->follows = follows;
}

bool poison_is_empty(const poison_t *p)
{
	return p->requests == NULL;
}

bool poison_has(const poison_t *p, const poison_key_t *key)
{
	return p->requests && find_request(p, key);
}

size_t poison_list(const poison_t *p, unsigned crashes_min, poison_state_t *out, size_t max)
{
	size_t n = 0;

	for (int held = 1; held >= 0; held--) {
		for (const request_t *r = p->requests; r && n < max; r = r->hh.next) {
			if (r->held == (held == 1) && (r->held || count_crashes(r) >= crashes_min))
				out[n++] = describe(r);
		}
	}
	return n;
}

uint64_t poison_version(const poison_t *p)
{
	return p->version;
}
