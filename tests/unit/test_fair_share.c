/* Tests of fair shares between customers (policy/fair_share.h), alone and in the dispatcher under a
 * simulated overload. Guard against customers who lose their slots to others' excess, slots left
 * empty for the sake of fairness, credit for idle times, and memory that grows with the number of
 * customers. */
#include "base/prng.h"
#include "dispatch_kit.h"
#include "policy/fair_share.h"

#define REPLICAS  44
#define SLOTS	  8
#define PLAY_MS	  8000
#define PERIOD_MS 5200
#define PEAK_MS	  2200
#define CUSTOMERS 79
#define CALLS_MAX 65536
/** Requests of all customers but the largest, and of the largest, per second: 3 times 164, of which
 * the largest has a third, and it sends twice that. */
#define OTHERS_PER_S  328.0
#define LARGEST_PER_S 328.0
/** A customer that sends fewer in PLAY_MS stays below an equal share of the slots in the peaks. */
#define SMALL_MAX 40

typedef struct {
	unsigned customer;
	unsigned attempt;
	deadline_t asked_at;
	deadline_t retry_at; /* 0: none */
	deadline_t ends_at; /* 0: does not run */
	int64_t wait_ms; /* -1: no slot in the first attempt */
} call_t;

typedef struct {
	bool named; /* requests state their customer, but not those of a largest one with more than
		       LARGEST_PER_S */
	bool stated; /* replicas state their speed: admission by estimates */
	double largest; /* requests per second of the largest customer */
	/* Results. */
	unsigned in_time; /* granted within 250 ms */
	unsigned granted, sent[CUSTOMERS], refused[CUSTOMERS], got[CUSTOMERS];
	unsigned refused_late; /* after more than 75 ms */
	unsigned empty_ms; /* in which a slot was free while a request waited */
	unsigned small_sent, small_refused;
	int64_t small_p90, small_p99;
	dispatch_t *d;
	deadline_t now;
	call_t calls[CALLS_MAX];
	unsigned n;
	uint64_t random;
} play_t;

static void on_grant(void *ctx, uint64_t entry, uint64_t request, str_t replica)
{
	play_t *p = ctx;
	call_t *c = &p->calls[request];

	c->ends_at = p->now + 350 + (int64_t)(prng_next(&p->random) % 351);
	if (c->attempt == 0)
		c->wait_ms = p->now - c->asked_at;
	p->granted++;
	p->in_time += p->now - c->asked_at <= 250;
	p->got[c->customer]++;
}

static void on_refuse(void *ctx, uint64_t entry, uint64_t request, int64_t retry_ms,
		      dispatch_refusal_t why)
{
	play_t *p = ctx;
	call_t *c = &p->calls[request];

	p->refused[c->customer]++;
	p->refused_late += p->now - c->asked_at > 75;
	if (c->attempt == 0)
		c->retry_at = p->now + retry_ms;
}

static void ask(play_t *p, unsigned i)
{
	call_t *c = &p->calls[i];
	dispatch_request_t req = make_request(i, p->now);
	char name[16];

	snprintf(name, sizeof(name), "customer%u", c->customer);
	if (p->named && (c->customer > 0 || p->largest <= LARGEST_PER_S))
		req.customer = str_c(name);
	req.returning = c->attempt > 0;
	c->asked_at = p->now;
	p->sent[c->customer]++;
	dispatch_request_add(p->d, &req, p->now);
}

static void ask_new(play_t *p, unsigned customer)
{
	p->calls[p->n] = (call_t){.customer = customer, .wait_ms = -1};
	ask(p, p->n++);
}

/* A customer other than the largest; the rates fall with its number, as 1 / (number + 1). */
static unsigned draw_other(play_t *p, double weights)
{
	double x = (double)(prng_next(&p->random) % 1000000) / 1e6 * weights;
	unsigned i = 1;

	for (; i < CUSTOMERS - 1 && x > 1.0 / (i + 1); i++)
		x -= 1.0 / (i + 1);
	return i;
}

static int by_wait(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static void sum_up(play_t *p)
{
	static int64_t waits[CALLS_MAX];
	unsigned n = 0;

	for (unsigned i = 1; i < CUSTOMERS; i++) {
		if (p->sent[i] >= SMALL_MAX)
			continue;
		p->small_sent += p->sent[i];
		p->small_refused += p->refused[i];
	}
	for (unsigned i = 0; i < p->n; i++) {
		const call_t *c = &p->calls[i];

		if (p->sent[c->customer] < SMALL_MAX && c->wait_ms >= 0)
			waits[n++] = c->wait_ms;
	}
	qsort(waits, n, sizeof(*waits), by_wait);
	if (n > 0) {
		p->small_p90 = waits[n * 90 / 100];
		p->small_p99 = waits[n * 99 / 100];
	}
	printf("%s, %s, largest %.0f/s: small customers %u of %u refused, wait p90 %d p99 %d ms; "
	       "granted %u, in time %u (largest %u), refused after 75 ms %u, ms with a slot empty "
	       "%u\n",
	       p->named ? "fair shares" : "order of arrival", p->stated ? "estimates" : "classic",
	       p->largest, p->small_refused, p->small_sent, (int)p->small_p90, (int)p->small_p99,
	       p->granted, p->in_time, p->got[0], p->refused_late, p->empty_ms);
	fflush(stdout);
}

static void start(play_t *p, const dispatch_callbacks_t *cb)
{
	dispatch_load_t load = {STR("r0"), 0, 1, 0, SLOTS, 100, 0};
	dispatch_replica_t v[REPLICAS];
	static char ids[REPLICAS][16];

	p->random = 5;
	p->d = dispatch_new(cb, 3);
	for (unsigned i = 0; i < REPLICAS; i++) {
		snprintf(ids[i], sizeof(ids[i]), "r%u", i);
		v[i] = (dispatch_replica_t){str_c(ids[i]), STR("a"), STR("s"), SLOTS, false, 0};
	}
	dispatch_entry_add(p->d, 1, STR("a"), true);
	dispatch_set_replicas(p->d, v, REPLICAS, 0);
	if (p->stated)
		dispatch_replica_loads(p->d, &load, 1, 0);
}

static void step(play_t *p)
{
	for (unsigned i = 0; i < p->n; i++) {
		call_t *c = &p->calls[i];

		if (c->ends_at && p->now >= c->ends_at) {
			c->ends_at = 0;
			dispatch_request_ended(p->d, 1, i, DISPATCH_OK, p->now);
		} else if (c->retry_at && p->now >= c->retry_at) {
			c->retry_at = 0;
			c->attempt++;
			ask(p, i);
		}
	}
}

static play_t *play(bool named, bool stated, double largest)
{
	play_t *p = calloc(1, sizeof(*p));
	dispatch_callbacks_t cb = {p, on_grant, on_refuse, record_item_start, record_item_stop};
	double weights = 0;
	double owed = 0;
	double owed_largest = 0;
	dispatch_stats_t st;

	*p = (play_t){.named = named, .stated = stated, .largest = largest};
	start(p, &cb);
	for (unsigned i = 1; i < CUSTOMERS; i++)
		weights += 1.0 / (i + 1);
	for (p->now = 1; p->now < PLAY_MS; p->now++) {
		double wave = p->now % PERIOD_MS < PEAK_MS ? 1.85 : 0.378;

		step(p);
		owed += OTHERS_PER_S * wave / 1000;
		while (owed >= 1) {
			ask_new(p, draw_other(p, weights));
			owed -= 1;
		}

		owed_largest += largest * wave / 1000;
		while (owed_largest >= 1) {
			ask_new(p, 0);
			owed_largest -= 1;
		}
		dispatch_tick(p->d, p->now);
		dispatch_stats(p->d, &st);
		p->empty_ms += st.requests_waiting > 0 && st.online < st.slots;
	}
	sum_up(p);
	dispatch_free(p->d);
	return p;
}

/* The target of docs/LOAD.md, section A, with each kind of admission. */
START_TEST(small_customers_are_served_in_overload)
{
	play_t *arrival = play(false, _i, LARGEST_PER_S);
	play_t *fair = play(true, _i, LARGEST_PER_S);

	ck_assert_uint_gt(fair->small_sent, 500);
	ck_assert_uint_le(fair->small_refused * 100, fair->small_sent);
	ck_assert_int_le(fair->small_p90, 100);
	ck_assert_uint_eq(fair->empty_ms, 0);
	/* With estimates, fewer requests of the largest customer wait at the end of a peak. */
	ck_assert_uint_ge(fair->granted, arrival->granted);
	free(arrival);
	free(fair);
}
END_TEST

#define ALL_MAX 10000

/* Runs n requests, each of the customer in the queue with the lowest virtual time; every customer
 * always has one waiting. Counts what each got. */
static void share_out(fair_share_t *f, fair_customer_t *const *c, unsigned customers, unsigned n,
		      unsigned *got)
{
	for (unsigned i = 0; i < n; i++) {
		unsigned least = 0;
		int64_t cost;

		for (unsigned j = 1; j < customers; j++) {
			if (fair_share_start(f, c[j]) < fair_share_start(f, c[least]))
				least = j;
		}
		cost = fair_share_grant(f, c[least], fair_share_cost(100, 50), true);
		got[least]++;
		fair_share_join(f, fair_share_name(c[least]), least == 1 ? 3000 : 1000, i);
		fair_share_end(f, c[least], cost, 500, true, i);
	}
}

START_TEST(shares_follow_weights_and_idle_customers_have_no_credit)
{
	fair_share_t *f = fair_share_new();
	fair_customer_t *c[3];
	unsigned got[3] = {0};

	c[0] = fair_share_join(f, STR("one"), FAIR_WEIGHT_ONE, 0);
	c[1] = fair_share_join(f, STR("three"), 3 * FAIR_WEIGHT_ONE, 0);
	share_out(f, c, 2, 4000, got);
	ck_assert_int_le(abs((int)got[1] - 3000), 20);
	/* One that comes late gets an equal share from then on, not what it missed. */
	c[2] = fair_share_join(f, STR(""), FAIR_WEIGHT_ONE, 4000);
	memset(got, 0, sizeof(got));
	share_out(f, c, 3, 500, got);
	ck_assert_int_le(abs((int)got[2] - 100), 20);
	fair_share_free(f);
}
END_TEST

/* A customer that used spare slots alone, or that states huge costs, must not be shut out. */
START_TEST(debt_is_bounded)
{
	fair_share_t *f = fair_share_new();
	fair_customer_t *greedy = NULL;
	fair_customer_t *other = fair_share_join(f, STR("other"), FAIR_WEIGHT_ONE, 0);
	int64_t cost = fair_share_cost(0, 0);
	int64_t before;

	for (unsigned i = 0; i < 1000; i++) {
		greedy = fair_share_join(f, STR("greedy"), FAIR_WEIGHT_ONE, i);
		fair_share_grant(f, greedy, cost, false);
	}
	before = fair_share_start(f, greedy);
	ck_assert_int_gt(before, fair_share_start(f, other));
	ck_assert_int_le(before - fair_share_start(f, other), 64 * cost);
	ck_assert_int_le(fair_share_cost(UINT32_MAX, UINT32_MAX), 1000000);
	fair_share_free(f);
}
END_TEST

START_TEST(memory_is_bounded_with_10000_customers)
{
	fair_share_t *f = fair_share_new();
	static fair_customer_t *c[ALL_MAX];
	char name[16];

	for (unsigned round = 0; round < 3; round++) {
		for (unsigned i = 0; i < ALL_MAX; i++) {
			snprintf(name, sizeof(name), "c%u.%u", round, i);
			c[i] = fair_share_join(f, str_c(name), FAIR_WEIGHT_ONE, round);
		}
		ck_assert_uint_le(fair_share_count(f), ALL_MAX + FAIR_IDLE_MAX);
		for (unsigned i = 0; i < ALL_MAX; i++)
			fair_share_leave(f, c[i]);
		ck_assert_uint_le(fair_share_count(f), FAIR_IDLE_MAX + 1);
	}
	for (unsigned i = 0; i < 2 * FAIR_IDLE_MAX; i++)
		fair_share_leave(f, fair_share_join(f, STR("last"), FAIR_WEIGHT_ONE, 60000));
	ck_assert_uint_eq(fair_share_count(f), 1);
	fair_share_free(f);
}
END_TEST

/* Requests without a customer, ten times as many as those of all customers, are one customer
 * together and leave the others their slots. */
START_TEST(requests_without_a_customer_at_ten_times_the_demand)
{
	play_t *p = play(true, true, 10 * OTHERS_PER_S);

	ck_assert_uint_le(p->small_refused * 100, p->small_sent);
	ck_assert_int_le(p->small_p90, 100);
	ck_assert_uint_eq(p->empty_ms, 0);
	free(p);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("fair_share");
	TCase *t = tcase_create("all");

	tcase_set_timeout(t, 60);
	tcase_add_loop_test(t, small_customers_are_served_in_overload, 0, 2);
	tcase_add_test(t, requests_without_a_customer_at_ten_times_the_demand);
	tcase_add_test(t, shares_follow_weights_and_idle_customers_have_no_credit);
	tcase_add_test(t, debt_is_bounded);
	tcase_add_test(t, memory_is_bounded_with_10000_customers);
	suite_add_tcase(s, t);
	return suite_run(s);
}
