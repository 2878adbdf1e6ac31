#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "entry/up_impl.h"

#define REPORT_FRESH_MS 3000
#define PREFIX_BYTES	256

static bool contains(up_t *const *v, size_t n, const up_t *u)
{
	for (size_t i = 0; i < n; i++)
		if (v[i] == u)
			return true;
	return false;
}

static bool knows_prefix(const up_t *u, uint64_t hash)
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

static bool breaker_lets(const up_t *u, int64_t now_ms)
{
	return u->breaker.state == RT_CLOSED || u->breaker.probe_at_ms <= now_ms;
}

static void own_report(up_t *u, pk_candidate_t *c, int64_t now_ms)
{
	ow_stats_t st;

	if (u->en->set.way == EN_ALONE || u->en->set.way == EN_ALONE_CANCEL)
		return;
	ro_stats(u->ro, &st);
	c->free_slots = (int)st.free_slots;
	c->queued = (int)st.queued;
	c->running = (int)(st.running_online + st.running_batch);
	c->sent_since = 0;
	c->reported = now_ms;
	if (u->avoid_until > now_ms) {
		c->free_slots = 0;
		c->queued += u->slots;
	}
}

static pk_candidate_t candidate(up_t *u, uint64_t prefix, int64_t now_ms)
{
	pk_candidate_t c = u->report;
	bool reachable = u->ro || (u->en->set.way == EN_OWNER && u->owner_addr[0]);

	c.slots = u->slots;
	c.same_zone = strcmp(u->zone, u->en->set.zone) == 0;
	c.owned_here = u->ro != NULL;
	c.prefix_known = knows_prefix(u, prefix);
	c.usable = u->state == AW_UP_LIVE && reachable && breaker_lets(u, now_ms);
	if (u->ro)
		own_report(u, &c, now_ms);
	return c;
}

typedef struct {
	str_t service;
	uint64_t prefix;
	up_t *const *tried;
	size_t ntried;
	int64_t now_ms;
	up_t **ups;
	pk_candidate_t *c;
	size_t n;
} gather_t;

static void gather(up_table_t *t, gather_t *g)
{
	pthread_rwlock_rdlock(&t->lock);
	g->ups = mem_new(t->n * sizeof(up_t *));
	g->c = mem_new(t->n * sizeof(pk_candidate_t));
	for (size_t i = 0; i < t->n; i++) {
		up_t *u = t->v[i];

		if (!str_eq(str_c(u->service), g->service) || contains(g->tried, g->ntried, u))
			continue;
		pthread_mutex_lock(&u->lock);
		g->ups[g->n] = u;
		g->c[g->n++] = candidate(u, g->prefix, g->now_ms);
		pthread_mutex_unlock(&u->lock);
	}
	pthread_rwlock_unlock(&t->lock);
}

static bool choose(up_t *u, int64_t now_ms, up_choice_t *out)
{
	bool ok;

	pthread_mutex_lock(&u->lock);
	ok = rt_breaker_allow(&u->breaker, now_ms);
	if (ok) {
		u->report.sent_since++;
		*out = (up_choice_t){.up = u, .id = u->id, .fence = u->fence, .ro = ro_ref(u->ro)};
		snprintf(out->owner_addr, sizeof(out->owner_addr), "%s", u->owner_addr);
	}
	pthread_mutex_unlock(&u->lock);
	return ok;
}

bool up_pick(up_table_t *t, str_t service, str_t prompt, up_t *const *tried, size_t ntried,
	     up_choice_t *out)
{
	gather_t g = {.service = service,
		      .prefix = up_prefix_of(prompt),
		      .tried = tried,
		      .ntried = ntried,
		      .now_ms = clk_now_ms()};
	bool found = false;

	gather(t, &g);
	while (!found) {
		int i = pk_pick(g.c, g.n, PK_TWO_CHOICES, en_random(), g.now_ms);

		if (i < 0)
			break;
		found = choose(g.ups[i], g.now_ms, out);
		g.c[i].usable = false;
	}
	free(g.ups);
	free(g.c);
	return found;
}

/* Time until a stream offered to the replica would give its first token. */
static int64_t wait_of(up_t *u, int64_t now_ms)
{
	pk_candidate_t c = candidate(u, 0, now_ms);
	ow_stats_t st;

	if (!c.usable)
		return INT64_MAX;
	if (c.reported + REPORT_FRESH_MS < now_ms || c.free_slots > c.sent_since)
		return 0;
	if (!u->ro)
		return u->drain_ms;
	ro_stats(u->ro, &st);
	return st.drain_ms + st.first_ms;
}

int64_t up_wait_ms(up_table_t *t, str_t service)
{
	int64_t now_ms = clk_now_ms();
	int64_t best = INT64_MAX;

	pthread_rwlock_rdlock(&t->lock);
	for (size_t i = 0; i < t->n && best > 0; i++) {
		up_t *u = t->v[i];
		int64_t wait;

		if (!str_eq(str_c(u->service), service))
			continue;
		pthread_mutex_lock(&u->lock);
		wait = wait_of(u, now_ms);
		pthread_mutex_unlock(&u->lock);
		if (wait < best)
			best = wait;
	}
	pthread_rwlock_unlock(&t->lock);
	return best == INT64_MAX ? 0 : best;
}

bool up_plain(up_table_t *t, str_t service, up_choice_t *out, char addr[64])
{
	int64_t now_ms = clk_now_ms();
	unsigned turn = atomic_fetch_add(&t->turn, 1);
	bool found = false;

	pthread_rwlock_rdlock(&t->lock);
	for (size_t i = 0; i < t->n && !found; i++) {
		up_t *u = t->v[(turn + i) % t->n];

		if (!str_eq(str_c(u->service), service))
			continue;
		pthread_mutex_lock(&u->lock);
		found = u->state == AW_UP_LIVE && rt_breaker_allow(&u->breaker, now_ms);
		if (found) {
			*out = (up_choice_t){.up = u, .id = u->id};
			snprintf(addr, 64, "%s", u->addr);
		}
		pthread_mutex_unlock(&u->lock);
	}
	pthread_rwlock_unlock(&t->lock);
	return found;
}

void up_report(up_table_t *t, const aw_load_t *load)
{
	up_t *u = up_find(t, px_str(load->id));

	if (!u)
		return;
	pthread_mutex_lock(&u->lock);
	if (load->fence == u->fence && !u->ro) {
		u->report.free_slots = load->free_slots;
		u->report.queued = load->queued;
		u->report.running = load->running;
		u->drain_ms = load->drain_ms;
		u->report.sent_since = 0;
		u->report.reported = clk_now_ms();
		free(u->prefixes);
		u->nprefixes = load->prefixes.prefixes_len;
		u->prefixes = mem_new(u->nprefixes * sizeof(uint64_t));
		for (size_t i = 0; i < u->nprefixes; i++)
			u->prefixes[i] = load->prefixes.prefixes_val[i];
	}
	pthread_mutex_unlock(&u->lock);
}

void up_engine_report(up_t *u, int running, int waiting, int slots)
{
	pthread_mutex_lock(&u->lock);
	u->report.running = running;
	u->report.queued = waiting;
	u->report.free_slots = slots > running + waiting ? slots - running - waiting : 0;
	u->report.sent_since = 0;
	u->report.reported = clk_now_ms();
	pthread_mutex_unlock(&u->lock);
}

unsigned up_reported_room(up_t *u, unsigned kept)
{
	int room;

	pthread_mutex_lock(&u->lock);
	room = u->report.free_slots - u->report.sent_since - (int)kept;
	if (u->report.reported + REPORT_FRESH_MS < clk_now_ms())
		room = 0;
	pthread_mutex_unlock(&u->lock);
	return room > 0 ? (unsigned)room : 0;
}

void up_avoid(up_t *u, deadline_t until)
{
	pthread_mutex_lock(&u->lock);
	u->avoid_until = until;
	pthread_mutex_unlock(&u->lock);
}

bool up_avoided(up_t *u)
{
	bool yes;

	pthread_mutex_lock(&u->lock);
	yes = u->avoid_until > clk_now_ms();
	pthread_mutex_unlock(&u->lock);
	return yes;
}

void up_count_sent(up_t *u)
{
	pthread_mutex_lock(&u->lock);
	u->report.sent_since++;
	pthread_mutex_unlock(&u->lock);
}

uint64_t up_prefix_of(str_t prompt)
{
	return str_hash((str_t){prompt.p, prompt.n < PREFIX_BYTES ? prompt.n : PREFIX_BYTES});
}
