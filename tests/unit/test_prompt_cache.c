/* Tests of the belief of cached prompts (policy/prompt_cache.h) and of placement by it, under
 * simulated loads. Guard against a belief that outlives its replica or grows without bound, hot
 * spots at the replica that holds a popular prompt, and placement that costs callers more time than
 * the saved prefill. */
#include "base/prng.h"
#include "dispatch_kit.h"
#include "policy/prompt_cache.h"

#define FLEET	     71
#define SLOTS	     8
#define MEMORY	     101495
#define PREFILL_NS   15000
#define RUN_MS	     60000
#define REQUESTS     32768
#define RESTARTS_MS  4000 /* between two restarts; the list shows one LIST_MS later */
#define LIST_MS	     1000
#define PREFILLED_MS 200 /* after this, 8,000 tokens are prefilled */

static prompt_chain_t make_chain(const dispatch_part_t *parts, unsigned n)
{
	dispatch_tokens_t t = {.nparts = n};
	prompt_chain_t chain;

	memcpy(t.parts, parts, n * sizeof(*parts));
	prompt_chain_init(&chain, &t);
	return chain;
}

START_TEST(a_part_counts_only_after_all_parts_before_it)
{
	prompt_cache_t *c = prompt_cache_new(100);
	prompt_store_t *a = prompt_cache_add(c, "a", 250);
	prompt_store_t *b = prompt_cache_add(c, "b", 0);
	prompt_chain_t abc = make_chain((dispatch_part_t[]){{1, 100}, {2, 100}, {3, 50}}, 3);
	prompt_chain_t ab = make_chain((dispatch_part_t[]){{1, 100}, {2, 100}}, 2);
	prompt_chain_t xb = make_chain((dispatch_part_t[]){{9, 100}, {2, 100}}, 2);
	void *found[4];

	prompt_cache_record(c, a, &abc, 1);
	ck_assert_uint_eq(prompt_cache_held(c, a, &abc, 1), 250);
	ck_assert_uint_eq(prompt_cache_held(c, a, &xb, 1), 0);
	prompt_cache_record(c, b, &ab, 2);
	ck_assert_uint_eq(prompt_cache_find(c, &abc, 2, found, 4), 2);
	ck_assert_str_eq(found[0], "a");
	/* Eviction of the last part first; tokens of a running request take memory. */
	prompt_cache_reserve(c, a, 1);
	ck_assert_uint_eq(prompt_cache_held(c, a, &abc, 2), 200);
	prompt_cache_reserve(c, a, -1);
	prompt_cache_record(c, a, &xb, 3);
	ck_assert_uint_eq(prompt_cache_held(c, a, &xb, 3), 200);
	ck_assert_uint_eq(prompt_cache_held(c, a, &abc, 3), 0);
	ck_assert_uint_eq(prompt_cache_held(c, b, &ab, 2 + PROMPT_CACHE_AGE_MS), 200);
	ck_assert_uint_eq(prompt_cache_held(c, b, &ab, 3 + PROMPT_CACHE_AGE_MS), 0);
	prompt_cache_forget(c, b);
	ck_assert_uint_eq(prompt_cache_find(c, &ab, 3, found, 4), 0);
	prompt_cache_remove(c, a);
	ck_assert_uint_eq(prompt_cache_parts(c), 0);
	prompt_cache_remove(c, b);
	prompt_cache_free(c);
}
END_TEST

START_TEST(the_table_is_bounded_at_3000_replicas)
{
	static prompt_store_t *stores[3000];
	prompt_cache_t *c = prompt_cache_new(PROMPT_CACHE_PARTS_MAX);
	prompt_chain_t chain = {0};
	void *found[8];

	for (unsigned i = 0; i < 3000; i++)
		stores[i] = prompt_cache_add(c, &stores[i], MEMORY);
	for (unsigned i = 0; i < 300000; i++) {
		chain = make_chain((dispatch_part_t[]){{1, 100}, {i + 2, 10}}, 2);
		prompt_cache_record(c, stores[i % 3000], &chain, i / 100);
	}
	ck_assert_uint_eq(prompt_cache_parts(c), PROMPT_CACHE_PARTS_MAX);
	ck_assert_uint_eq(prompt_cache_find(c, &chain, 3000, found, 8), 8);
	ck_assert_ptr_eq(found[0], &stores[2999]);
	for (unsigned i = 0; i < 3000; i++)
		prompt_cache_remove(c, stores[i]);
	ck_assert_uint_eq(prompt_cache_parts(c), 0);
	prompt_cache_free(c);
}
END_TEST

/* ---- placement ---- */

static char ids[3000][16];

/* Sets replicas r0, r1, ... in three zones. starts: their start times, NULL: all 1. */
static void set_fleet(dispatch_t *d, unsigned n, const uint64_t *starts, deadline_t now)
{
	dispatch_replica_t *v = mem_new(n * sizeof(*v));
	static const char *const zones[] = {"a", "b", "c"};

	for (unsigned i = 0; i < n; i++) {
		snprintf(ids[i], sizeof(ids[i]), "r%u", i);
		v[i] = (dispatch_replica_t){
			str_c(ids[i]), str_c(zones[i % 3]), STR("s"), SLOTS, false, 1};
		if (starts)
			v[i].start_time = starts[i];
	}
	dispatch_set_replicas(d, v, n, now);
	free(v);
}

static dispatch_t *new_fleet(const dispatch_callbacks_t *cb, unsigned n, uint64_t seed)
{
	dispatch_t *d = dispatch_new(cb, seed);
	dispatch_load_t load = {STR("r0"), 1, 0, 0, SLOTS, 100, 0};

	dispatch_set_weighing(d, &(dispatch_weighing_t){true, true});
	neffects = 0;
	dispatch_entry_add(d, 1, STR("a"), true);
	dispatch_entry_add(d, 2, STR("b"), true);
	dispatch_entry_add(d, 3, STR("c"), true);
	set_fleet(d, n, NULL, 0);
	dispatch_replica_loads(d, &load, 1, 0);
	return d;
}

/* Adds a request with a long shared part, or a short one, and returns the replica it got. */
static const char *grant(dispatch_t *d, uint64_t request, uint32_t shared, deadline_t now)
{
	dispatch_request_t req = make_request(request, now);

	req.tokens = (dispatch_tokens_t){.in = shared + 10, .out = 10, .nparts = 2};
	req.tokens.parts[0] = (dispatch_part_t){77, shared};
	req.tokens.parts[1] = (dispatch_part_t){1000 + request, 10};
	dispatch_request_add(d, &req, now);
	return effects[(neffects - 1) % EFFECTS_MAX].replica;
}

static uint64_t held_tokens(const dispatch_t *d)
{
	uint64_t granted;
	uint64_t held;

	dispatch_prompt_tokens(d, &granted, &held);
	return held;
}

START_TEST(the_belief_ends_with_a_restart_a_crash_and_leaving)
{
	dispatch_t *d = new_fleet(&callbacks, 6, 7);
	uint64_t starts[6] = {2, 2, 2, 2, 2, 2};
	static char holder[32];
	uint64_t held;

	grant(d, 1, 8000, 1);
	dispatch_request_ended(d, 1, 1, DISPATCH_OK, 2);
	grant(d, 2, 8000, 3);
	dispatch_request_ended(d, 1, 2, DISPATCH_OK, 4);
	ck_assert_uint_eq(held_tokens(d), 8000);
	set_fleet(d, 6, starts, 5);
	grant(d, 3, 8000, 6);
	ck_assert_uint_eq(held_tokens(d), 8000);
	dispatch_request_ended(d, 1, 3, DISPATCH_BROKEN, 7);
	snprintf(holder, sizeof(holder), "%s", grant(d, 4, 8000, 5000));
	ck_assert_uint_eq(held_tokens(d), 8000);
	dispatch_request_ended(d, 1, 4, DISPATCH_OK, 5001);
	dispatch_replica_leaving(d, str_c(holder));
	set_fleet(d, 6, starts, 5002);
	held = held_tokens(d);
	grant(d, 5, 8000, 5003);
	ck_assert_uint_eq(held_tokens(d), held);
	dispatch_free(d);
}
END_TEST

START_TEST(a_hot_prompt_spreads_before_its_replica_is_full)
{
	dispatch_t *d = new_fleet(&callbacks, 6, 7);
	unsigned at[6] = {0};
	unsigned most = 0;

	for (unsigned i = 0; i < 12; i++) {
		unsigned *n = &at[atoi(grant(d, 1 + i, 8000, 1 + i * PREFILLED_MS) + 1)];

		++*n;
		most = *n > most ? *n : most;
		ck_assert_uint_lt(most, SLOTS);
	}
	/* All but the two first at each of two replicas were expected to find it. */
	ck_assert_uint_ge(held_tokens(d), 10 * 8000);
	dispatch_free(d);
}
END_TEST

START_TEST(a_saving_below_the_noise_changes_nothing)
{
	dispatch_t *d = new_fleet(&callbacks, 6, 7);
	unsigned used = 0;

	for (unsigned i = 0; i < 64; i++) {
		used |= 1U << atoi(grant(d, 1 + i, 100, 1 + i) + 1);
		dispatch_request_ended(d, 1, 1 + i, DISPATCH_OK, 1 + i);
	}
	/* Both replicas in the zone of the entry. */
	ck_assert_uint_eq(used, 1U << 0 | 1U << 3);
	dispatch_free(d);
}
END_TEST

START_TEST(holders_in_a_large_fleet_are_considered_for_requests_and_items)
{
	dispatch_t *d = new_fleet(&callbacks, 3000, 7);
	dispatch_tokens_t t = {.in = 8000, .nparts = 1, .parts = {{77, 8000}}};
	static char holder[32];

	snprintf(holder, sizeof(holder), "%s", grant(d, 1, 8000, 1));
	for (unsigned i = 2; i < 7; i++)
		ck_assert_str_eq(grant(d, i, 8000, i * PREFILLED_MS), holder);
	dispatch_request_ended(d, 1, 2, DISPATCH_OK, 2000);
	dispatch_request_ended(d, 1, 3, DISPATCH_OK, 2000);
	dispatch_item_set_tokens(dispatch_item_add(d, STR("s"), 90000, ids), &t);
	dispatch_tick(d, 2000);
	ck_assert_int_eq(effects[neffects - 1].kind, ITEM_STARTED);
	ck_assert_str_eq(effects[neffects - 1].replica, holder);
	dispatch_free(d);
}
END_TEST

/* ---- simulated loads ---- */

typedef enum { LAST_HOLDER, LONGEST_MATCH, TRADE_OFF, POLICIES } policy_t;
static const char *const policy_names[] = {"last holder", "longest match", "trade-off"};

typedef struct {
	prompt_chain_t chain; /* with the true output */
	deadline_t arrived, ends;
	unsigned replica;
	bool running;
} sim_request_t;

/** The replicas prefill one prompt after the other; their caches are kept by instances of their own
 * of the module, with the true output and memory, and lose all at a restart. */
typedef struct {
	dispatch_t *d;
	deadline_t now;
	uint64_t random;
	prompt_cache_t *cache;
	prompt_store_t *stores[FLEET];
	int64_t prefill_until_us[FLEET];
	unsigned running[FLEET];
	sim_request_t requests[REQUESTS];
	uint64_t n, oldest;
	int64_t first_us[REQUESTS];
	size_t nfirst;
	uint64_t prefilled, refused;
	unsigned documents; /* 0: short prompts */
} sim_t;

static unsigned draw(sim_t *p, unsigned n)
{
	return (unsigned)(prng_next(&p->random) >> 16) % n;
}

static void on_grant(void *ctx, uint64_t entry, uint64_t request, str_t replica)
{
	sim_t *p = ctx;
	sim_request_t *q = &p->requests[request];
	unsigned r = (unsigned)atoi(replica.p + 1);
	uint32_t miss =
		q->chain.tokens - prompt_cache_held(p->cache, p->stores[r], &q->chain, p->now);
	int64_t *until = &p->prefill_until_us[r];

	*until = (*until > p->now * 1000 ? *until : p->now * 1000) +
		 (int64_t)miss * PREFILL_NS / 1000;
	prompt_cache_record(p->cache, p->stores[r], &q->chain, p->now);
	p->prefilled += miss;
	/* The first step takes up to 16 ms, by the number of streams. */
	p->first_us[p->nfirst] = *until - q->arrived * 1000 + 16000 * p->running[r] / SLOTS;
	q->ends = q->arrived + p->first_us[p->nfirst++] / 1000 + 350 +
		  (deadline_t)(request * 37 % 350);
	q->replica = r;
	q->running = true;
	p->running[r]++;
}

static void on_refuse(void *ctx, uint64_t entry, uint64_t request, int64_t retry_ms,
		      dispatch_refusal_t why)
{
	((sim_t *)ctx)->refused++;
}

/* Short prompts: a first part of 16, a second of 2,126, an own part. */
static void short_parts(sim_t *p, dispatch_tokens_t *t)
{
	unsigned a = draw(p, 2126);
	unsigned b = draw(p, 2126);
	unsigned second = a < b ? a : b;

	t->nparts = 3;
	t->parts[0] = (dispatch_part_t){1 + second % 16, 90 + second % 16};
	t->parts[1] = (dispatch_part_t){100 + second, 80 + second % 41};
	t->parts[2] = (dispatch_part_t){10000 + p->n, 250};
}

/* Long prompts: a common first part, one of the documents, of which the first is in every fourth
 * request, and a session whose part grows; 3,300 to 11,300 tokens. */
static void long_parts(sim_t *p, dispatch_tokens_t *t)
{
	unsigned document = draw(p, 4) == 0 ? 0 : draw(p, p->documents);

	t->nparts = 3;
	t->parts[0] = (dispatch_part_t){1, 300};
	t->parts[1] = (dispatch_part_t){100 + document, 2500 + document % 120 * 50};
	t->parts[2] = (dispatch_part_t){10000 + document * 8 + draw(p, 8),
					500 + (uint32_t)(p->now / 40) % 2000};
}

static void arrive(sim_t *p, policy_t policy)
{
	dispatch_request_t req = make_request(p->n, p->now);
	dispatch_tokens_t t = {0};
	uint32_t out = 40 + draw(p, 160);

	req.entry = 1 + p->n % 3;
	(p->documents ? long_parts : short_parts)(p, &t);
	t.out = out;
	prompt_chain_init(&p->requests[p->n].chain, &t);
	p->requests[p->n].arrived = p->now;
	t.out = 20 + draw(p, 2 * out); /* the estimate is often far off */
	t.in = p->requests[p->n].chain.tokens;
	for (unsigned i = 0; i + 1 < t.nparts; i++)
		req.prefix = req.prefix * 31 + t.parts[i].part;
	if (policy != LAST_HOLDER)
		req.tokens = t;
	p->n++;
	dispatch_request_add(p->d, &req, p->now);
}

static void end_runs(sim_t *p, int broken_replica)
{
	for (uint64_t i = p->oldest; i < p->n; i++) {
		sim_request_t *q = &p->requests[i];
		bool broken = q->running && (int)q->replica == broken_replica;

		if (!q->running || (!broken && p->now < q->ends))
			continue;
		q->running = false;
		p->running[q->replica]--;
		dispatch_request_ended(p->d, 1 + i % 3, i, broken ? DISPATCH_BROKEN : DISPATCH_OK,
				       p->now);
	}
	while (p->oldest + 4000 < p->n)
		p->oldest++;
}

static int compare(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

typedef struct {
	int64_t p50_us, p99_us;
	uint64_t prefilled, refused;
} result_t;

static result_t simulate(policy_t policy, unsigned documents, double rate, uint64_t seed)
{
	sim_t *p = mem_new(sizeof(*p));
	dispatch_callbacks_t cb = {p, on_grant, on_refuse, NULL, NULL};
	uint64_t starts[FLEET];
	double due = 0;
	result_t x;

	p->documents = documents;
	p->random = seed;
	p->d = new_fleet(&cb, FLEET, seed);
	p->cache = prompt_cache_new(1000000);
	if (policy == LONGEST_MATCH)
		dispatch_set_prefill_ns(p->d, 1000000000);
	for (unsigned i = 0; i < FLEET; i++) {
		starts[i] = 1;
		p->stores[i] = prompt_cache_add(p->cache, p, MEMORY);
	}
	for (p->now = 1; p->now < RUN_MS; p->now++) {
		unsigned victim = (unsigned)(p->now / RESTARTS_MS * 13) % FLEET;
		bool restarts = p->now % RESTARTS_MS == 0;

		if (restarts) {
			starts[victim]++;
			prompt_cache_forget(p->cache, p->stores[victim]);
		}
		end_runs(p, restarts ? (int)victim : -1);
		if (p->now % RESTARTS_MS == LIST_MS)
			set_fleet(p->d, FLEET, starts, p->now);
		due += rate / 1000 * (p->now % 5200 < 2200 ? 1.85 : 0.378);
		while (due >= 1) {
			due--;
			arrive(p, policy);
		}
	}
	qsort(p->first_us, p->nfirst, sizeof(p->first_us[0]), compare);
	x = (result_t){p->first_us[p->nfirst / 2], p->first_us[p->nfirst * 99 / 100], p->prefilled,
		       p->refused};
	printf("%u documents, %.0f/s, seed %d, %-13s: p50 %.1f ms, p99 %.1f ms, prefilled %.2f M "
	       "tokens, refused %d of %d\n",
	       documents, rate, (int)seed, policy_names[policy], (double)x.p50_us / 1000,
	       (double)x.p99_us / 1000, (double)x.prefilled / 1e6, (int)x.refused, (int)p->n);
	dispatch_free(p->d);
	for (unsigned i = 0; i < FLEET; i++)
		prompt_cache_remove(p->cache, p->stores[i]);
	prompt_cache_free(p->cache);
	free(p);
	return x;
}

static void compare_policies(unsigned documents, double rate)
{
	for (uint64_t seed = 1; seed <= 3; seed++) {
		result_t x[POLICIES];

		for (int i = 0; i < POLICIES; i++)
			x[i] = simulate((policy_t)i, documents, rate, seed);
		ck_assert_int_le(x[TRADE_OFF].p99_us, x[LAST_HOLDER].p99_us);
		ck_assert_uint_le(x[TRADE_OFF].prefilled, x[LAST_HOLDER].prefilled);
		ck_assert_uint_le(x[TRADE_OFF].refused, x[LAST_HOLDER].refused);
	}
}

START_TEST(the_trade_off_is_no_worse_than_the_last_holder_for_short_prompts)
{
	compare_policies(0, 330);
}
END_TEST

START_TEST(the_trade_off_is_no_worse_than_the_last_holder_for_long_prompts)
{
	compare_policies(120, 330);
	/* Nearly all slots in use at the peaks; more documents than fit into the memory. */
	compare_policies(120, 480);
	compare_policies(2400, 330);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("prompt_cache");
	TCase *t = tcase_create("prompt_cache");

	tcase_set_timeout(t, 120);
	tcase_add_test(t, a_part_counts_only_after_all_parts_before_it);
	tcase_add_test(t, the_table_is_bounded_at_3000_replicas);
	tcase_add_test(t, the_belief_ends_with_a_restart_a_crash_and_leaving);
	tcase_add_test(t, a_hot_prompt_spreads_before_its_replica_is_full);
	tcase_add_test(t, a_saving_below_the_noise_changes_nothing);
	tcase_add_test(t, holders_in_a_large_fleet_are_considered_for_requests_and_items);
	tcase_add_test(t, the_trade_off_is_no_worse_than_the_last_holder_for_short_prompts);
	tcase_add_test(t, the_trade_off_is_no_worse_than_the_last_holder_for_long_prompts);
	suite_add_tcase(s, t);
	return suite_run(s);
}
