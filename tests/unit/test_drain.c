/* Tests of policy/drain.h: plays planned stops. Guard against requests that are cut when their
 * entry ends, and against more refusals than that needs. */
#include <math.h>
#include <stdio.h>
#include <string.h>
#include "base/prng.h"
#include "policy/drain.h"
#include "suite_kit.h"

#define KIND 7

START_TEST(nothing_is_known_of_a_kind_without_requests)
{
	drain_t *d = drain_new();

	ck_assert_int_eq(drain_expected_ms(d, KIND, 5000), 5000);
	ck_assert(!drain_fits(d, &(drain_request_t){KIND, 1000, 6000}, 1000,
			      &(drain_stop_t){3000, 5000}));
	ck_assert(drain_fits(d, &(drain_request_t){KIND, 1000, 6000}, 1000,
			     &(drain_stop_t){3000, 6000}));
	drain_free(d);
}
END_TEST

START_TEST(longest_of_the_last_requests_counts_and_earlier_ones_do_not)
{
	drain_t *d = drain_new();

	drain_ended(d, KIND, 8000);
	for (int i = 1; i < DRAIN_SAMPLES; i++)
		drain_ended(d, KIND, 400);
	ck_assert_int_eq(drain_expected_ms(d, KIND, 0), 10000);
	drain_ended(d, KIND, 400);
	ck_assert_int_eq(drain_expected_ms(d, KIND, 0), 500);
	ck_assert_int_eq(drain_expected_ms(d, KIND + 1, 77), 77);
	drain_free(d);
}
END_TEST

/* Guards against a long request that is cut, as those before it on its route were short. */
START_TEST(late_request_is_served_only_if_its_deadline_ends_it)
{
	drain_t *d = drain_new();
	drain_stop_t stop = {2000, 7750};

	for (int i = 0; i < DRAIN_SAMPLES; i++)
		drain_ended(d, KIND, 200);
	ck_assert(!drain_fits(d, &(drain_request_t){KIND, 4500, 9500}, 4500, &stop));
	ck_assert(drain_fits(d, &(drain_request_t){KIND, 4500, 7750}, 4500, &stop));
	/* Its caller could not know of the stop. */
	ck_assert(drain_fits(d, &(drain_request_t){KIND, 2000, 9500}, 2000, &stop));
	ck_assert(drain_fits(d, &(drain_request_t){KIND, 2000, 9500}, 7500, &stop));
	ck_assert(!drain_fits(d, &(drain_request_t){KIND, 2000, 9500}, 7501, &stop));
	drain_free(d);
}
END_TEST

/* ---- planned stops ---- */

typedef enum {
	BY_DEADLINE, /* as drain_fits */
	BY_RECENT_RUNS, /* the longest of the last requests and a quarter more */
	BY_HALF_OF_THE_GRACE, /* a fixed share */
	BY_HINT, /* the request's own estimate of its length, at the usual pace */
	WAYS
} way_t;

typedef struct {
	unsigned served;
	unsigned cut;
	unsigned cut_late; /* of these, requests whose callers could know of the stop */
	unsigned refused_in_vain; /* would have ended in time */
} outcome_t;

/** Callers know of the stop after this long. */
#define KNOWN_MS 2000
/** One request in this many lasts until its deadline. */
#define LONG_EVERY 50
/** Deadlines, as a multiple of the median. */
#define DEADLINE_TIMES 4

static double normal(uint64_t *random)
{
	double sum = 0;

	for (int i = 0; i < 12; i++)
		sum += (double)(prng_next(random) % 1000000) / 1000000;
	return sum - 6;
}

/* One stop: a request every period_ms, whose runs spread by this much around the median. The entry
 * is frozen for frozen_ms in the middle of its grace: what it is to read waits. */
static void play(way_t way, int64_t grace_ms, int64_t median_ms, double spread, int64_t period_ms,
		 int64_t frozen_ms, bool longs, uint64_t seed, outcome_t *out)
{
	drain_t *d = drain_new();
	uint64_t random = seed;
	drain_stop_t stop = {KNOWN_MS, grace_ms};

	for (int i = 0; i < DRAIN_SAMPLES; i++)
		drain_ended(d, KIND, (int64_t)((double)median_ms * exp(spread * normal(&random))));
	for (deadline_t at = 0; at < grace_ms; at += period_ms) {
		int64_t ms = (int64_t)((double)median_ms * exp(spread * normal(&random)));
		int64_t hint = (int64_t)((double)ms * exp(0.7 * normal(&random)));
		drain_request_t r = {KIND, at, at + median_ms * DEADLINE_TIMES};
		deadline_t thaws = grace_ms / 2 + frozen_ms;
		deadline_t now = at >= grace_ms / 2 && at < thaws ? thaws : at;
		bool is_long = longs && prng_next(&random) % LONG_EVERY == 0;
		deadline_t end = is_long || now + ms > r.deadline ? r.deadline : now + ms;
		bool ends = end <= grace_ms;
		bool taken = way == BY_DEADLINE ? drain_fits(d, &r, now, &stop)
			     : way == BY_RECENT_RUNS
				     ? now + drain_expected_ms(d, KIND, 0) <= grace_ms
			     : way == BY_HALF_OF_THE_GRACE ? now <= grace_ms / 2
							   : now + hint <= grace_ms;

		out->served += taken && ends;
		out->cut += taken && !ends;
		out->cut_late += taken && !ends && at > KNOWN_MS;
		out->refused_in_vain += !taken && ends;
	}
	drain_free(d);
}

static outcome_t play_all(way_t way, bool longs)
{
	static const int64_t graces[] = {1000, 4000, 8000, 30000};
	static const int64_t medians[] = {200, 900, 5000, 20000};
	static const double spreads[] = {0.1, 0.25};
	outcome_t o = {0};

	for (uint64_t seed = 1; seed <= 4; seed++) {
		for (unsigned i = 0; i < 4 * 4 * 2 * 2 * 2; i++)
			play(way, graces[i % 4], medians[i / 4 % 4], spreads[i / 16 % 2],
			     i / 32 % 2 ? 5 : 70, i / 64 ? graces[i % 4] / 5 : 0, longs, seed, &o);
	}
	return o;
}

START_TEST(planned_stops_cut_almost_nothing)
{
	static const char *const names[WAYS] = {"deadline", "recent runs", "half of the grace",
						"hint"};
	outcome_t o[WAYS];

	for (int longs = 0; longs < 2; longs++) {
		for (int way = 0; way < WAYS; way++) {
			o[way] = play_all((way_t)way, longs);
			printf("%s, %s: served %u, cut %u, late ones %u, refused in vain %u\n",
			       longs ? "some long" : "all alike", names[way], o[way].served,
			       o[way].cut, o[way].cut_late, o[way].refused_in_vain);
		}
		/* One in a thousand of what is taken, and none of those that come late. */
		if (!longs)
			ck_assert_uint_le(o[BY_DEADLINE].cut * 1000, o[BY_DEADLINE].served);
		ck_assert_uint_eq(o[BY_DEADLINE].cut_late, 0);
		ck_assert_uint_lt(o[BY_DEADLINE].cut, o[BY_RECENT_RUNS].cut);
		ck_assert_uint_lt(o[BY_DEADLINE].cut, o[BY_HALF_OF_THE_GRACE].cut);
		ck_assert_uint_lt(o[BY_DEADLINE].cut, o[BY_HINT].cut);
		ck_assert_uint_lt(o[BY_DEADLINE].refused_in_vain,
				  o[BY_HALF_OF_THE_GRACE].refused_in_vain);
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("drain");
	TCase *t = tcase_create("drain");

	tcase_add_test(t, nothing_is_known_of_a_kind_without_requests);
	tcase_add_test(t, longest_of_the_last_requests_counts_and_earlier_ones_do_not);
	tcase_add_test(t, late_request_is_served_only_if_its_deadline_ends_it);
	tcase_add_test(t, planned_stops_cut_almost_nothing);
	suite_add_tcase(s, t);
	return suite_run(s);
}
