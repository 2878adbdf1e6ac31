#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "entry/upstream_internal.h"

#define REPORT_FRESH_MS 3000 /* an older load report is not used */
#define PREFIX_BYTES	256

static bool contains(upstream_t *const *v, size_t n, const upstream_t *u)
{
	for (size_t i = 0; i < n; i++)
		if (v[i] == u)
			return true;
	return false;
}

static bool has_prefix(const upstream_t *u, uint64_t hash)
{
	size_t lo = 0;
	size_t hi = u->nprefixes;

	while (lo < hi) {
		size_t mid = lo + (hi - lo) / 2;

		if (u->prefixes[mid] < hash)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo < u->nprefixes && u->prefixes[lo] == hash;
}

static bool breaker_may_allow(const upstream_t *u, int64_t now_ms)
{
	return u->breaker.state == RETRY_BREAKER_CLOSED || u->breaker.probe_at_ms <= now_ms;
}

/* Replaces the last report by the exact state of a local replica. Not in modes alone and
 * alone_cancel, where other entries dispatch to the replica too. */
static void fill_from_local(upstream_t *u, balance_candidate_t *c, int64_t now_ms)
{
	owner_stats_t st;

	if (u->en->settings.mode == ENTRY_MODE_ALONE ||
	    u->en->settings.mode == ENTRY_MODE_ALONE_CANCEL)
		return;
	local_replica_stats(u->replica, &st);
	c->free_slots = (int)st.free_slots;
	c->queued = (int)st.queued;
	c->running = (int)(st.running_online + st.running_batch);
	c->sent_since_report = 0;
	c->reported_at = now_ms;
	if (u->avoid_until > now_ms) {
		c->free_slots = 0;
		c->queued += u->slots;
	}
}

static balance_candidate_t make_candidate(upstream_t *u, uint64_t prefix, int64_t now_ms)
{
	balance_candidate_t c = u->report;
	bool reachable =
		u->replica || (u->en->settings.mode == ENTRY_MODE_OWNER && u->owner_addr[0]);

	c.slots = u->slots;
	c.same_zone = strcmp(u->zone, u->en->settings.zone) == 0;
	c.owned_here = u->replica != NULL;
	c.prefix_known = has_prefix(u, prefix);
	c.usable = u->state == WIRE_UPSTREAM_LIVE && reachable && breaker_may_allow(u, now_ms);
	if (u->replica)
		fill_from_local(u, &c, now_ms);
	return c;
}

typedef struct {
	str_t service;
	uint64_t prefix;
	upstream_t *const *tried;
	size_t ntried;
	int64_t now_ms;
	upstream_t **ups;
	balance_candidate_t *c;
	size_t n;
} candidates_t;

static void gather_candidates(upstream_table_t *t, candidates_t *g)
{
	pthread_rwlock_rdlock(&t->lock);
	g->ups = mem_new(t->n * sizeof(upstream_t *));
	g->c = mem_new(t->n * sizeof(balance_candidate_t));
	for (size_t i = 0; i < t->n; i++) {
		upstream_t *u = t->upstreams[i];

		if (!str_eq(str_c(u->service), g->service) || contains(g->tried, g->ntried, u))
			continue;
		pthread_mutex_lock(&u->lock);
		g->ups[g->n] = u;
		g->c[g->n++] = make_candidate(u, g->prefix, g->now_ms);
		pthread_mutex_unlock(&u->lock);
	}
	pthread_rwlock_unlock(&t->lock);
}

/* Asks the breaker to let a request through; if it does, counts a stream as sent and fills *out.
 * Returns false if the breaker refuses. */
static bool claim_choice(upstream_t *u, int64_t now_ms, upstream_choice_t *out)
{
	bool ok;

	pthread_mutex_lock(&u->lock);
	ok = retry_breaker_allow(&u->breaker, now_ms);
	if (ok) {
		u->report.sent_since_report++;
		*out = (upstream_choice_t){.upstream = u,
					   .id = u->id,
					   .fence = u->fence,
					   .replica = local_replica_ref(u->replica)};
		snprintf(out->owner_addr, sizeof(out->owner_addr), "%s", u->owner_addr);
	}
	pthread_mutex_unlock(&u->lock);
	return ok;
}

bool upstream_pick(upstream_table_t *t, str_t service, str_t prompt, upstream_t *const *tried,
		   size_t ntried, upstream_choice_t *out)
{
	candidates_t g = {.service = service,
			  .prefix = upstream_prefix_hash(prompt),
			  .tried = tried,
			  .ntried = ntried,
			  .now_ms = clock_now_ms()};
	bool found = false;

	gather_candidates(t, &g);
	while (!found) {
		int i = balance_pick(g.c, g.n, BALANCE_TWO_CHOICES, entry_random(), g.now_ms);

		if (i < 0)
			break;
		found = claim_choice(g.ups[i], g.now_ms, out);
		g.c[i].usable = false;
	}
	free(g.ups);
	free(g.c);
	return found;
}

/* Estimated time to the first token of a new stream; 0 if a slot is free or the last report is too
 * old, INT64_MAX if the replica is not usable. */
static int64_t estimate_wait_ms(upstream_t *u, int64_t now_ms)
{
	balance_candidate_t c = make_candidate(u, 0, now_ms);
	owner_stats_t st;

	if (!c.usable)
		return INT64_MAX;
	if (c.reported_at + REPORT_FRESH_MS < now_ms || c.free_slots > c.sent_since_report)
		return 0;
	if (!u->replica)
		return u->first_token_wait_ms;
	local_replica_stats(u->replica, &st);
	return st.drain_ms + st.first_token_ms;
}

int64_t upstream_min_wait_ms(upstream_table_t *t, str_t service)
{
	int64_t now_ms = clock_now_ms();
	int64_t best = INT64_MAX;

	pthread_rwlock_rdlock(&t->lock);
	for (size_t i = 0; i < t->n && best > 0; i++) {
		upstream_t *u = t->upstreams[i];
		int64_t wait;

		if (!str_eq(str_c(u->service), service))
			continue;
		pthread_mutex_lock(&u->lock);
		wait = estimate_wait_ms(u, now_ms);
		pthread_mutex_unlock(&u->lock);
		if (wait < best)
			best = wait;
	}
	pthread_rwlock_unlock(&t->lock);
	return best == INT64_MAX ? 0 : best;
}

bool upstream_pick_plain(upstream_table_t *t, str_t service, upstream_choice_t *out, char addr[64])
{
	int64_t now_ms = clock_now_ms();
	unsigned turn = atomic_fetch_add(&t->next_plain, 1);
	bool found = false;

	pthread_rwlock_rdlock(&t->lock);
	for (size_t i = 0; i < t->n && !found; i++) {
		upstream_t *u = t->upstreams[(turn + i) % t->n];

		if (!str_eq(str_c(u->service), service))
			continue;
		pthread_mutex_lock(&u->lock);
		found = u->state == WIRE_UPSTREAM_LIVE && retry_breaker_allow(&u->breaker, now_ms);
		if (found) {
			*out = (upstream_choice_t){.upstream = u, .id = u->id};
			snprintf(addr, 64, "%s", u->addr);
		}
		pthread_mutex_unlock(&u->lock);
	}
	pthread_rwlock_unlock(&t->lock);
	return found;
}

void upstream_owner_report(upstream_table_t *t, const wire_load_t *load)
{
	upstream_t *u = upstream_find(t, wire_str(load->id));

	if (!u)
		return;
	pthread_mutex_lock(&u->lock);
	if (load->fence == u->fence && !u->replica) {
		u->report.free_slots = load->free_slots;
		u->report.queued = load->queued;
		u->report.running = load->running;
		u->first_token_wait_ms = load->drain_ms;
		u->report.sent_since_report = 0;
		u->report.reported_at = clock_now_ms();
		free(u->prefixes);
		u->nprefixes = load->prefixes.prefixes_len;
		u->prefixes = mem_new(u->nprefixes * sizeof(uint64_t));
		for (size_t i = 0; i < u->nprefixes; i++)
			u->prefixes[i] = load->prefixes.prefixes_val[i];
	}
	pthread_mutex_unlock(&u->lock);
}

void upstream_engine_report(upstream_t *u, int running, int waiting, int slots)
{
	pthread_mutex_lock(&u->lock);
	u->report.running = running;
	u->report.queued = waiting;
	u->report.free_slots = slots > running + waiting ? slots - running - waiting : 0;
	u->report.sent_since_report = 0;
	u->report.reported_at = clock_now_ms();
	pthread_mutex_unlock(&u->lock);
}

unsigned upstream_reported_headroom(upstream_t *u, unsigned reserved_slots)
{
	int headroom;

	pthread_mutex_lock(&u->lock);
	headroom = u->report.free_slots - u->report.sent_since_report - (int)reserved_slots;
	if (u->report.reported_at + REPORT_FRESH_MS < clock_now_ms())
		headroom = 0;
	pthread_mutex_unlock(&u->lock);
	return headroom > 0 ? (unsigned)headroom : 0;
}

void upstream_avoid(upstream_t *u, deadline_t until)
{
	pthread_mutex_lock(&u->lock);
	u->avoid_until = until;
	pthread_mutex_unlock(&u->lock);
}

bool upstream_is_avoided(upstream_t *u)
{
	bool yes;

	pthread_mutex_lock(&u->lock);
	yes = u->avoid_until > clock_now_ms();
	pthread_mutex_unlock(&u->lock);
	return yes;
}

void upstream_count_sent(upstream_t *u)
{
	pthread_mutex_lock(&u->lock);
	u->report.sent_since_report++;
	pthread_mutex_unlock(&u->lock);
}

uint64_t upstream_prefix_hash(str_t prompt)
{
	return str_hash((str_t){prompt.p, prompt.n < PREFIX_BYTES ? prompt.n : PREFIX_BYTES});
}
