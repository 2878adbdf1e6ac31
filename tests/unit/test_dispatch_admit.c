/* Tests of admission (policy/dispatch_admit.c) under a simulated overload, for a service of which
 * the replicas state how long work takes. Guard against requests that are held and then refused,
 * callers that all return together, and slots that go to late requests while others could be in
 * time. */
#include <stdlib.h>
#include "dispatch_kit.h"

#define REPLICAS    12
#define SLOTS	    8
#define STREAM_MS   600
#define RUN_MS	    30000
#define PEAK_MS	    2200
#define PERIOD_MS   5200
#define CALLERS_MAX 65536
/** Requests that the slots serve per second. */
#define CAPACITY (REPLICAS * SLOTS * 1000.0 / STREAM_MS)

/** A caller: one request and, if that is refused, another one. */
typedef struct {
	deadline_t asked_at; /* the current request */
	deadline_t retry_at; /* 0: it does not return */
	deadline_t ends_at; /* of its run; 0: none */
	bool returned;
	bool over; /* answered, refused twice or gone */
} caller_t;

typedef struct {
	dispatch_t *dispatch;
	deadline_t now;
	caller_t *callers;
	unsigned n;
	unsigned oldest; /* all before it are over */
	unsigned in_time; /* first event within the objective of the first request */
	unsigned in_time_on_return; /* within the objective of the second */
	unsigned late;
	unsigned refused_late; /* refused after more than 250 ms */
	unsigned lost; /* refused twice or gone */
	unsigned returns_most; /* callers that return in the same 100 ms */
	unsigned returns[RUN_MS / 100 + 40];
} play_t;

/* Lengths of streams differ widely: from 0.3 to 1.7 times the mean. */
static int64_t stream_ms(uint64_t request)
{
	return STREAM_MS * (300 + (int64_t)(request / 2 * 7919 % 1401)) / 1000;
}

static void on_grant(void *ctx, uint64_t entry, uint64_t request, str_t replica)
{
	play_t *p = ctx;
	caller_t *c = &p->callers[request / 2];

	c->ends_at = p->now + stream_ms(request);
	if (p->now - c->asked_at > 270)
		p->late++;
	else if (c->returned)
		p->in_time_on_return++;
	else
		p->in_time++;
}

static void on_refuse(void *ctx, uint64_t entry, uint64_t request, int64_t retry_ms,
		      dispatch_refusal_t why)
{
	play_t *p = ctx;
	caller_t *c = &p->callers[request / 2];

	p->refused_late += p->now - c->asked_at > 250;
	if (c->returned) {
		c->over = true;
		p->lost++;
		return;
	}
	c->retry_at = p->now + retry_ms;
	p->returns[c->retry_at / 100]++;
}

static void ask(play_t *p, unsigned i)
{
	caller_t *c = &p->callers[i];
	dispatch_request_t req = make_request(2 * (uint64_t)i + c->returned, p->now);

	c->asked_at = p->now;
	c->retry_at = 0;
	req.returning = c->returned;
	dispatch_request_add(p->dispatch, &req, p->now);
}

static void step(play_t *p)
{
	for (unsigned i = p->oldest; i < p->n; i++) {
		caller_t *c = &p->callers[i];

		if (c->over) {
			p->oldest += i == p->oldest;
		} else if (c->ends_at && p->now >= c->ends_at) {
			c->over = true;
			dispatch_request_ended(p->dispatch, 1, 2 * (uint64_t)i + c->returned,
					       DISPATCH_OK, p->now);
		} else if (c->retry_at && p->now >= c->retry_at) {
			c->returned = true;
			ask(p, i);
		}
	}
}

/* Plays RUN_MS of a square wave with this mean rate. */
static play_t *play(double mean_per_s)
{
	static dispatch_callbacks_t cb;
	play_t *p = calloc(1, sizeof(*p));
	dispatch_load_t load = {STR("r0"), 0, 1, 0, SLOTS, 100, 0};
	double owed = 0;

	neffects = 0;
	p->dispatch = new_dispatcher(REPLICAS, SLOTS);
	dispatch_free(p->dispatch);
	cb = (dispatch_callbacks_t){p, on_grant, on_refuse, record_item_start, record_item_stop};
	p->dispatch = dispatch_new(&cb, 3);
	{
		dispatch_replica_t v[REPLICAS];
		static char ids[REPLICAS][16];

		for (unsigned i = 0; i < REPLICAS; i++) {
			snprintf(ids[i], sizeof(ids[i]), "r%u", i);
			v[i] = (dispatch_replica_t){str_c(ids[i]), STR("a"), STR("s"),
						    SLOTS,	   false,    0};
		}
		dispatch_entry_add(p->dispatch, 1, STR("a"), true);
		dispatch_set_replicas(p->dispatch, v, REPLICAS, 0);
	}
	dispatch_replica_loads(p->dispatch, &load, 1, 0);
	p->callers = calloc(CALLERS_MAX, sizeof(*p->callers));
	for (p->now = 1; p->now < RUN_MS; p->now++) {
		owed += mean_per_s * (p->now % PERIOD_MS < PEAK_MS ? 1.85 : 0.378) / 1000.0;
		step(p);
		while (owed >= 1) {
			ask(p, p->n++);
			owed -= 1;
		}
		dispatch_tick(p->dispatch, p->now);
	}
	for (unsigned i = 0; i < RUN_MS / 100; i++) {
		if (p->returns[i] > p->returns_most)
			p->returns_most = p->returns[i];
	}
	printf("%.1f times the capacity: %u callers, in time %u, on return %u, late %u, lost %u, "
	       "refused after 250 ms %u, most returns in 100 ms %u\n",
	       mean_per_s / CAPACITY, p->n, p->in_time, p->in_time_on_return, p->late, p->lost,
	       p->refused_late, p->returns_most);
	return p;
}

static void play_free(play_t *p)
{
	dispatch_free(p->dispatch);
	free(p->callers);
	free(p);
}

/* What the slots serve must not fall as more arrives, and most of it must be in time. */
START_TEST(goodput_does_not_fall_as_the_load_grows_to_four_times_the_capacity)
{
	static const double loads[] = {1.0, 1.5, 2.0, 3.0, 4.0};
	unsigned before = 0;

	for (unsigned i = 0; i < sizeof(loads) / sizeof(loads[0]); i++) {
		play_t *p = play(loads[i] * CAPACITY);
		unsigned good = p->in_time + p->in_time_on_return;

		/* A tenth is left for the order of arrivals. */
		ck_assert_uint_ge(good * 10, before * 9);
		ck_assert_uint_le(p->late * 5, good);
		before = good > before ? good : before;
		play_free(p);
	}
}
END_TEST

/* A caller that waits for more than 250 ms and is refused then could have gone elsewhere. */
START_TEST(no_request_is_held_and_then_refused_in_overload)
{
	play_t *p = play(2.0 * CAPACITY);

	ck_assert_uint_eq(p->refused_late, 0);
	play_free(p);
}
END_TEST

/* Callers that are refused in a peak must not make another one. */
START_TEST(refused_callers_do_not_return_together)
{
	play_t *p = play(2.0 * CAPACITY);

	/* No more in any 100 ms than twice what arrives in the peak. */
	ck_assert_uint_le(p->returns_most, (unsigned)(2 * 1.85 * 2.0 * CAPACITY / 10));
	play_free(p);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dispatch_admit");
	TCase *t = tcase_create("all");

	tcase_set_timeout(t, 60);
	tcase_add_test(t, goodput_does_not_fall_as_the_load_grows_to_four_times_the_capacity);
	tcase_add_test(t, no_request_is_held_and_then_refused_in_overload);
	tcase_add_test(t, refused_callers_do_not_return_together);
	suite_add_tcase(s, t);
	return suite_run(s);
}
