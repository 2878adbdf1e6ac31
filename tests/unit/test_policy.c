/* Tests of rate limits (policy/bucket.h), retries (policy/retry.h) and the choice of a replica
 * (policy/balance.h). Guard against callers that exceed their rate, retries that multiply an
 * overload, and load that gathers on a few replicas. */
#include <stdio.h>
#include <stdlib.h>
#include "base/prng.h"
#include "base/str.h"
#include "policy/balance.h"
#include "policy/retry.h"
#include "policy/bucket.h"
#include "policy/item_patience.h"
#include "suite_kit.h"

#define ROUNDS 20000

static uint64_t seed(void)
{
	const char *s = getenv("AUBURN_SEED");

	return s ? strtoull(s, NULL, 10) : 5;
}

START_TEST(a_bucket_gives_its_burst_then_its_rate)
{
	bucket_t bucket = {0};
	int64_t after;
	int taken = 0;

	for (int i = 0; i < 5; i++)
		ck_assert(bucket_take(&bucket, 10, 5, 1000, &after));
	ck_assert(!bucket_take(&bucket, 10, 5, 1000, &after));
	ck_assert_int_eq(after, 100);
	ck_assert(!bucket_take(&bucket, 10, 5, 1099, &after));
	ck_assert_int_eq(after, 1);
	ck_assert(bucket_take(&bucket, 10, 5, 1100, &after));
	for (int64_t now = 1100; now < 11100; now++)
		taken += bucket_take(&bucket, 10, 5, now, &after);
	ck_assert_int_eq(taken, 99);
}
END_TEST

/* The product of a long pause and a high rate must not overflow. */
START_TEST(a_bucket_stays_within_its_burst_after_a_long_pause)
{
	bucket_t bucket = {0};
	int64_t after;
	int taken = 0;

	ck_assert(bucket_take(&bucket, 1000000, 3, 1, &after));
	while (bucket_take(&bucket, 1000000, 3, INT64_MAX / 2, &after))
		taken++;
	ck_assert_int_eq(taken, 3);
	ck_assert(!bucket_take(&bucket, 0, 3, INT64_MAX / 2, &after));
	ck_assert_int_eq(after, INT64_MAX);
}
END_TEST

/* The callers' names come from outside, so their number is not limited. */
START_TEST(a_bucket_map_drops_the_least_recently_used_and_stays_bounded)
{
	bucket_map_t *map = bucket_map_new(100);
	size_t full;
	int64_t after;

	for (uint64_t c = 1; c <= 100; c++)
		ck_assert(bucket_take(bucket_map_get(map, c, 10), 1, 1, 10, &after));
	full = bucket_map_bytes(map);
	ck_assert(!bucket_take(bucket_map_get(map, 1, 10), 1, 1, 10, &after));
	for (uint64_t c = 101; c <= 150; c++)
		bucket_map_get(map, c, 10);
	/* The bucket of caller 1 was used again and is still empty; that of 2 was dropped and is
	 * full again. */
	ck_assert(!bucket_take(bucket_map_get(map, 1, 10), 1, 1, 10, &after));
	ck_assert(bucket_take(bucket_map_get(map, 2, 10), 1, 1, 10, &after));
	ck_assert_uint_eq(bucket_map_bytes(map), full);
	bucket_map_free(map);
}
END_TEST

/* When everything fails, retries without a budget would multiply the load. */
START_TEST(retries_stay_a_share_of_first_attempts)
{
	retry_budget_t b;
	int taken = 0;

	retry_budget_init(&b, 10);
	while (retry_budget_withdraw(&b))
		taken++;
	ck_assert_int_eq(taken, 10); /* the minimum that is allowed without first attempts */
	for (int i = 0; i < 1000; i++) {
		retry_budget_deposit(&b);
		taken += retry_budget_withdraw(&b);
	}
	ck_assert_int_eq(taken, 10 + 100);
}
END_TEST

START_TEST(only_calls_that_did_not_run_or_are_repeatable_are_retried)
{
	ck_assert(retry_allowed(VERDICT_NOT_RUN, false));
	ck_assert(retry_allowed(VERDICT_NOT_RUN, true));
	ck_assert(!retry_allowed(VERDICT_MAY_HAVE_RUN, false));
	ck_assert(retry_allowed(VERDICT_MAY_HAVE_RUN, true));
	ck_assert(!retry_allowed(VERDICT_RAN, false));
	ck_assert(!retry_allowed(VERDICT_RAN, true));
}
END_TEST

/* After three consecutive failures a replica gets no request for a pause that doubles with each
 * failed probe, then one probe at a time until one succeeds. */
START_TEST(the_breaker_lets_one_probe_through_after_a_doubling_pause)
{
	retry_breaker_t b;
	int64_t now = 1000;
	int64_t pause;
	int64_t last = 0;

	retry_breaker_init(&b);
	retry_breaker_failure(&b, now);
	retry_breaker_success(&b);
	retry_breaker_failure(&b, now);
	retry_breaker_failure(&b, now);
	ck_assert(retry_breaker_allow(&b, now)); /* only two consecutive failures */
	retry_breaker_failure(&b, now);
	for (int i = 0; i < 3; i++) {
		for (pause = 0; !retry_breaker_allow(&b, now + pause); pause++)
			ck_assert_int_lt(pause, 60000);
		now += pause;
		ck_assert(!retry_breaker_allow(&b, now)); /* the probe has not ended yet */
		if (last)
			ck_assert_int_eq(pause, 2 * last);
		last = pause;
		retry_breaker_failure(&b, now);
	}
	ck_assert(retry_breaker_allow(&b, now + 4 * last));
	retry_breaker_success(&b);
	ck_assert(retry_breaker_allow(&b, now) && retry_breaker_allow(&b, now));
}
END_TEST

static balance_candidate_t candidate(int free_slots, int queued)
{
	return (balance_candidate_t){.free_slots = free_slots,
				     .queued = queued,
				     .running = 8 - free_slots,
				     .slots = 8,
				     .same_zone = true,
				     .owned_here = true,
				     .usable = true,
				     .reported_at = 1};
}

START_TEST(the_pick_prefers_free_slots_then_zone_and_prefix)
{
	balance_candidate_t c[2] = {candidate(4, 0), candidate(2, 0)};

	ck_assert_int_eq(balance_pick(c, 2, BALANCE_TWO_CHOICES, 7, 1), 0);
	c[0].sent_since_report = 3; /* requests sent here since the replica reported its load */
	ck_assert_int_eq(balance_pick(c, 2, BALANCE_TWO_CHOICES, 7, 1), 1);
	c[0] = c[1];
	c[0].same_zone = false;
	ck_assert_int_eq(balance_pick(c, 2, BALANCE_LEAST_LOADED, 7, 1), 1);
	c[0].same_zone = true;
	c[0].prefix_known = true;
	ck_assert_int_eq(balance_pick(c, 2, BALANCE_LEAST_LOADED, 7, 1), 0);
	c[0].free_slots = 0; /* a queue outweighs a known prefix */
	c[0].queued = 2;
	ck_assert_int_eq(balance_pick(c, 2, BALANCE_LEAST_LOADED, 7, 1), 1);
	c[1].usable = false;
	ck_assert_int_eq(balance_pick(c, 2, BALANCE_TWO_CHOICES, 7, 1), 0);
	c[0].usable = false;
	ck_assert_int_eq(balance_pick(c, 2, BALANCE_TWO_CHOICES, 7, 1), -1);
	ck_assert_int_eq(balance_pick(c, 0, BALANCE_RANDOM, 7, 1), -1);
}
END_TEST

START_TEST(the_pick_spreads_load_and_never_takes_an_unusable_replica)
{
	uint64_t rnd = seed();
	balance_candidate_t c[18];
	int hits[18] = {0};

	for (int i = 0; i < 18; i++) {
		c[i] = candidate(8, 0);
		c[i].usable = i % 3 != 0;
	}
	for (int i = 0; i < ROUNDS; i++) {
		int at = balance_pick(c, 18, i % 3 ? BALANCE_TWO_CHOICES : BALANCE_RANDOM,
				      prng_next(&rnd), 1);

		ck_assert_int_ge(at, 0);
		ck_assert(c[at].usable);
		hits[at]++;
	}
	for (int i = 0; i < 18; i++) {
		if (c[i].usable)
			ck_assert_msg(hits[i] > ROUNDS / 24, "%d has %d", i, hits[i]);
	}
}
END_TEST

/* Guards against an item that is cut by the same time limit at each of its runs. */
START_TEST(a_run_that_follows_silent_ones_gets_more_time_up_to_a_bound)
{
	int64_t last = 0;

	for (unsigned n = 0; n < 5; n++) {
		ck_assert_int_gt(item_patience_ms(n), last);
		last = item_patience_ms(n);
	}
	ck_assert_int_eq(item_patience_ms(0), ITEM_PATIENCE_MS);
	ck_assert_int_eq(last, ITEM_PATIENCE_MAX_MS);
	ck_assert_int_eq(item_patience_ms(5), ITEM_PATIENCE_MAX_MS);
	ck_assert_int_eq(item_patience_ms(UINT32_MAX), ITEM_PATIENCE_MAX_MS);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("policy");
	TCase *t = tcase_create("policy");

	suite_add_tcase(s, t);
	tcase_add_test(t, a_bucket_gives_its_burst_then_its_rate);
	tcase_add_test(t, a_bucket_stays_within_its_burst_after_a_long_pause);
	tcase_add_test(t, a_bucket_map_drops_the_least_recently_used_and_stays_bounded);
	tcase_add_test(t, retries_stay_a_share_of_first_attempts);
	tcase_add_test(t, only_calls_that_did_not_run_or_are_repeatable_are_retried);
	tcase_add_test(t, the_breaker_lets_one_probe_through_after_a_doubling_pause);
	tcase_add_test(t, the_pick_prefers_free_slots_then_zone_and_prefix);
	tcase_add_test(t, the_pick_spreads_load_and_never_takes_an_unusable_replica);
	tcase_add_test(t, a_run_that_follows_silent_ones_gets_more_time_up_to_a_bound);
	return suite_run(s);
}
