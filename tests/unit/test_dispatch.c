/* Unit tests of the dispatcher: online requests. */
#include <stdlib.h>
#include "dispatch_kit.h"
#include "policy/leaving.h"

START_TEST(a_free_place_of_the_own_zone_is_granted)
{
	dispatch_t *d = fresh(2, 2);

	ask(d, 1, 0);
	ck_assert_int_eq(neffects, 1);
	ck_assert_int_eq(effects[0].what, 'g');
	ck_assert_str_eq(effects[0].replica, "r0");
	dispatch_free(d);
}
END_TEST

START_TEST(no_replica_gets_more_than_it_runs_at_once)
{
	dispatch_t *d = fresh(4, 3);
	unsigned at[4] = {0};

	for (uint64_t i = 1; i <= 12; i++)
		ask(d, i, 0);
	ck_assert_int_eq(neffects, 12);
	for (int i = 0; i < 12; i++)
		at[effects[i].replica[1] - '0']++;
	for (int i = 0; i < 4; i++)
		ck_assert_uint_eq(at[i], 3);
	dispatch_free(d);
}
END_TEST

START_TEST(a_new_request_that_would_be_late_is_refused_with_the_time_of_room)
{
	dispatch_t *d = fresh(1, 1);

	ask(d, 1, 0);
	ask(d, 2, 0);
	ck_assert_int_eq(effects[1].what, 'r');
	ck_assert_uint_eq(effects[1].request, 2);
	ck_assert_int_ge(effects[1].retry_ms, 300);
	ck_assert_int_eq(effects[1].why, DISPATCH_PAST_OBJECTIVE);
	dispatch_free(d);
}
END_TEST

START_TEST(one_that_comes_back_waits_and_lets_those_in_time_go_first)
{
	dispatch_t *d = fresh(1, 8);
	dispatch_request_t back = ask_of(20, 0);

	back.returning = true;
	for (uint64_t i = 1; i <= 8; i++)
		ask(d, i, 0);
	dispatch_request_add(d, &back, 0);
	ask(d, 21, 0);
	ck_assert_int_eq(neffects, 8);
	dispatch_request_ended(d, 1, 1, DISPATCH_OK, 50);
	ck_assert_uint_eq(effects[8].request, 21);
	dispatch_request_ended(d, 1, 2, DISPATCH_OK, 60);
	ck_assert_uint_eq(effects[9].request, 20);
	dispatch_free(d);
}
END_TEST

START_TEST(what_can_not_end_before_its_caller_gives_up_is_refused_at_once)
{
	dispatch_t *d = fresh(1, 1);
	dispatch_request_t back = ask_of(20, 0);

	back.returning = true;
	back.deadline = 500;
	ask(d, 1, 0);
	dispatch_request_add(d, &back, 0);
	ck_assert_int_eq(effects[1].what, 'r');
	ck_assert_uint_eq(effects[1].request, 20);
	ck_assert_int_eq(effects[1].why, DISPATCH_PAST_DEADLINE);
	dispatch_free(d);
}
END_TEST

START_TEST(one_whose_caller_leaves_before_there_is_room_is_refused_at_once)
{
	dispatch_t *d = fresh(1, 1);
	int granted = 0;
	int refused = 0;

	/* One place that is held for 0.7 s: it serves four more callers within 3.2 s. */
	for (uint64_t i = 1; i <= 10; i++) {
		dispatch_request_t back = ask_of(i, 0);

		back.returning = true;
		dispatch_request_add(d, &back, 0);
	}
	for (int i = 0; i < neffects; i++) {
		granted += effects[i].what == 'g';
		refused += effects[i].what == 'r';
	}
	ck_assert_int_eq(granted, 1);
	ck_assert_int_eq(refused, 5);
	dispatch_free(d);
}
END_TEST

START_TEST(a_place_that_gets_free_too_late_is_not_given_to_a_caller_who_leaves)
{
	dispatch_t *d = fresh(1, 1);
	dispatch_request_t back = ask_of(2, 0);

	back.returning = true;
	ask(d, 1, 0);
	dispatch_request_add(d, &back, 0);
	dispatch_tick(d, 2400);
	ck_assert_int_eq(neffects, 1);
	dispatch_tick(d, 3190);
	ck_assert_int_eq(neffects, 2);
	ck_assert_int_eq(effects[1].what, 'r');
	ck_assert_int_eq(effects[1].why, DISPATCH_CALLER_GIVES_UP);
	dispatch_request_ended(d, 1, 1, DISPATCH_OK, 3195);
	ck_assert_int_eq(neffects, 2);
	dispatch_free(d);
}
END_TEST

START_TEST(short_requests_wait_for_a_place_within_a_short_objective)
{
	dispatch_t *d = fresh(1, 1);
	dispatch_request_t a;

	/* Requests hold their place for 10 ms: the next one has it in time. */
	for (uint64_t i = 1; i <= 200; i++) {
		ask(d, i, (deadline_t)i * 20);
		dispatch_request_ended(d, 1, i, DISPATCH_OK, (deadline_t)i * 20 + 10);
	}
	ask(d, 201, 5000);
	neffects = 0;
	a = ask_of(202, 5001);
	a.objective = 5001 + 40;
	dispatch_request_add(d, &a, 5001);
	ck_assert_int_eq(neffects, 0);
	dispatch_request_ended(d, 1, 201, DISPATCH_OK, 5010);
	ck_assert_int_eq(effects[0].what, 'g');
	dispatch_free(d);
}
END_TEST

START_TEST(short_requests_of_one_service_do_not_shorten_the_estimate_of_another)
{
	dispatch_t *d = fresh(1, 1);
	dispatch_replica_t v[] = {{STR("r0"), STR("a"), STR("s"), 1, false, 0},
				  {STR("t0"), STR("a"), STR("t"), 1, false, 0}};
	dispatch_request_t a;

	dispatch_set_replicas(d, v, 2, 0);
	for (uint64_t i = 1; i <= 200; i++) {
		a = ask_of(i, (deadline_t)i * 20);
		a.service = STR("t");
		dispatch_request_add(d, &a, (deadline_t)i * 20);
		dispatch_request_ended(d, 1, i, DISPATCH_OK, (deadline_t)i * 20 + 10);
	}
	ask(d, 201, 5000);
	neffects = 0;
	/* That of s holds its place for 0.7 s, as far as is known. */
	ask(d, 202, 5001);
	ck_assert_int_eq(neffects, 1);
	ck_assert_int_eq(effects[0].what, 'r');
	ck_assert_int_eq(effects[0].why, DISPATCH_PAST_OBJECTIVE);
	dispatch_free(d);
}
END_TEST

START_TEST(waiting_requests_of_one_service_do_not_count_for_another)
{
	dispatch_t *d = fresh(1, 1);
	dispatch_replica_t v[] = {{STR("r0"), STR("a"), STR("s"), 1, false, 0},
				  {STR("t0"), STR("a"), STR("t"), 4, false, 0}};

	dispatch_set_replicas(d, v, 2, 0);
	/* The queue alternates between both services; that of s holds four, as when it is alone. */
	for (uint64_t i = 1; i <= 20; i++) {
		dispatch_request_t back = ask_of(i, 0);

		back.returning = true;
		back.service = i % 2 ? STR("s") : STR("t");
		back.give_up_at += (deadline_t)i;
		dispatch_request_add(d, &back, 0);
	}
	{
		dispatch_stats_t st;
		int refused_s = 0;

		dispatch_stats(d, &st);
		for (int i = 0; i < neffects; i++)
			refused_s += effects[i].what == 'r' && effects[i].request % 2;
		ck_assert_int_eq(refused_s, 10 - 1 - 4);
		ck_assert_uint_eq(st.requests_waiting, 4 + 6);
	}
	dispatch_free(d);
}
END_TEST

START_TEST(a_replica_that_failed_is_left_alone_then_tried_with_one)
{
	dispatch_t *d = fresh(2, 4);
	int on_failed = 0;

	ask(d, 1, 0);
	ck_assert_str_eq(effects[0].replica, "r0");
	dispatch_request_ended(d, 1, 1, DISPATCH_BROKEN, 10);
	for (uint64_t i = 2; i <= 4; i++) {
		ask(d, i, 20);
		ck_assert_str_eq(effects[i - 1].replica, "r1");
	}
	for (uint64_t i = 5; i <= 9; i++)
		ask(d, i, 400);
	for (int i = 4; i < neffects; i++)
		on_failed += effects[i].what == 'g' && strcmp(effects[i].replica, "r0") == 0;
	ck_assert_int_eq(on_failed, 1);
	dispatch_free(d);
}
END_TEST

START_TEST(replicas_that_are_all_silent_at_once_are_busy_not_failed)
{
	dispatch_t *d = fresh(4, 2);
	int granted;

	for (uint64_t i = 1; i <= 8; i++)
		ask(d, i, 0);
	for (uint64_t i = 1; i <= 8; i++)
		dispatch_request_ended(d, 1, i, DISPATCH_SILENT, 180);
	granted = neffects;
	for (uint64_t i = 11; i <= 18; i++)
		ask(d, i, 185);
	ck_assert_int_eq(neffects, granted + 8);
	for (int i = granted; i < neffects; i++)
		ck_assert_int_eq(effects[i].what, 'g');
	dispatch_free(d);
}
END_TEST

START_TEST(one_silent_replica_of_many_is_left_alone)
{
	dispatch_t *d = fresh(4, 2);

	for (uint64_t i = 1; i <= 8; i++)
		ask(d, i, 0);
	for (uint64_t i = 1; i <= 8; i++)
		dispatch_request_ended(
			d, 1, i,
			strcmp(effects[i - 1].replica, "r1") ? DISPATCH_OK : DISPATCH_SILENT, 180);
	for (uint64_t i = 11; i <= 16; i++)
		ask(d, i, 185);
	ck_assert_int_eq(neffects, 14);
	for (int i = 8; i < neffects; i++)
		ck_assert_str_ne(effects[i].replica, "r1");
	dispatch_free(d);
}
END_TEST

START_TEST(runs_that_break_together_are_one_failure)
{
	dispatch_t *d = fresh(2, 4);
	int on_failed = 0;

	for (uint64_t i = 1; i <= 8; i++)
		ask(d, i, 0);
	for (uint64_t i = 1; i <= 8; i++) {
		if (strcmp(effects[i - 1].replica, "r0") == 0)
			dispatch_request_ended(d, 1, i, DISPATCH_BROKEN, 10);
	}
	/* Tried again after the first wait, not after one doubled four times. */
	ask(d, 20, 270);
	for (int i = 8; i < neffects; i++)
		on_failed += strcmp(effects[i].replica, "r0") == 0;
	ck_assert_int_eq(on_failed, 1);
	dispatch_free(d);
}
END_TEST

START_TEST(a_replica_that_failed_a_request_is_avoided_by_it)
{
	dispatch_t *d = fresh(2, 4);
	dispatch_request_t a = ask_of(1, 0);

	a.avoid[a.navoid++] = STR("r0");
	dispatch_request_add(d, &a, 0);
	ck_assert_str_eq(effects[0].replica, "r1");
	dispatch_free(d);
}
END_TEST

START_TEST(a_request_waits_for_the_first_list)
{
	dispatch_t *d = dispatch_new(&callbacks, 7);
	dispatch_replica_t v = {STR("r0"), STR("a"), STR("s"), 4, false, 0};

	neffects = 0;
	dispatch_entry_add(d, 1, STR("a"), true);
	dispatch_set_replicas(d, NULL, 0, 0);
	ask(d, 1, 0);
	dispatch_tick(d, 400);
	ck_assert_int_eq(neffects, 0);
	dispatch_set_replicas(d, &v, 1, 410);
	ck_assert_int_eq(effects[0].what, 'g');
	dispatch_free(d);
	d = dispatch_new(&callbacks, 7);
	neffects = 0;
	ask(d, 1, 0);
	dispatch_tick(d, 1999);
	ck_assert_int_eq(neffects, 0);
	dispatch_tick(d, 2000);
	ck_assert_int_eq(neffects, 1);
	ck_assert_int_eq(effects[0].what, 'r');
	ck_assert_int_eq(effects[0].why, DISPATCH_NO_REPLICA_LIST);
	dispatch_free(d);
}
END_TEST

START_TEST(a_leaving_replica_gets_no_new_work)
{
	dispatch_t *d = fresh(1, 4);
	dispatch_replica_t v = {STR("r0"), STR("a"), STR("s"), 4, true, 0};

	dispatch_set_replicas(d, &v, 1, 0);
	ask(d, 1, 0);
	ck_assert_int_eq(effects[0].what, 'r');
	dispatch_free(d);
}
END_TEST

START_TEST(the_replica_that_read_a_prompt_gets_its_like)
{
	dispatch_t *d = fresh(4, 4);
	dispatch_request_t a = ask_of(1, 0);
	char first[32];

	a.prefix = 77;
	dispatch_request_add(d, &a, 0);
	snprintf(first, sizeof(first), "%s", effects[0].replica);
	dispatch_request_ended(d, 1, 1, DISPATCH_OK, 500);
	for (uint64_t i = 2; i < 12; i++) {
		a.request = i;
		dispatch_request_add(d, &a, 1000 * (deadline_t)i);
		ck_assert_str_eq(effects[neffects - 1].replica, first);
		dispatch_request_ended(d, 1, i, DISPATCH_OK, 1000 * (deadline_t)i + 500);
	}
	dispatch_free(d);
}
END_TEST

START_TEST(a_replica_that_says_it_leaves_gets_no_new_work)
{
	dispatch_t *d = fresh(2, 4);

	dispatch_replica_leaving(d, STR("r0"));
	for (uint64_t i = 1; i <= 4; i++)
		ask(d, i, 0);
	ck_assert_int_eq(neffects, 4);
	for (int i = 0; i < 4; i++)
		ck_assert_str_eq(effects[i].replica, "r1");
	dispatch_free(d);
}
END_TEST

START_TEST(a_place_given_back_by_an_entry_that_knows_better_is_not_given_again)
{
	dispatch_t *d = fresh(2, 4);

	ask(d, 1, 0);
	ck_assert_str_eq(effects[0].replica, "r0");
	dispatch_request_ended(d, 1, 1, DISPATCH_REPLICA_LEAVING, 1);
	for (uint64_t i = 2; i <= 5; i++)
		ask(d, i, 2);
	for (int i = 1; i <= 4; i++)
		ck_assert_str_eq(effects[i].replica, "r1");
	dispatch_free(d);
}
END_TEST

/* Failures, and the prompts it had read, were those of the one before. */
START_TEST(a_replica_that_starts_again_under_its_id_is_another_one)
{
	dispatch_replica_t v = {STR("r0"), STR("a"), STR("s"), 4, false, 1000};
	dispatch_t *d = fresh(0, 0);

	dispatch_set_replicas(d, &v, 1, 0);
	ask(d, 1, 0);
	dispatch_request_ended(d, 1, 1, DISPATCH_BROKEN, 1);
	ask(d, 2, 2);
	ck_assert_int_eq(effects[1].what, 'r'); /* it is suspected */
	neffects = 0;
	v.start_time = 2000;
	dispatch_set_replicas(d, &v, 1, 3);
	for (uint64_t i = 3; i <= 6; i++)
		ask(d, i, 4);
	ck_assert_int_eq(neffects, 4);
	for (int i = 0; i < 4; i++)
		ck_assert_int_eq(effects[i].what, 'g');
	dispatch_free(d);
}
END_TEST

START_TEST(leavers_are_known_by_id_and_start)
{
	leaving_t *l = leaving_new();
	replica_ref_t known[4];

	ck_assert(leaving_add(l, (replica_ref_t){STR("i-1"), 1000}));
	ck_assert(!leaving_add(l, (replica_ref_t){STR("i-1"), 1000}));
	ck_assert(leaving_add(l, (replica_ref_t){STR("i-2"), 0}));
	ck_assert(leaving_contains(l, (replica_ref_t){STR("i-1"), 1000}));
	ck_assert(leaving_contains(l, (replica_ref_t){STR("i-1"), 0}));
	ck_assert(leaving_contains(l, (replica_ref_t){STR("i-2"), 700}));
	ck_assert(!leaving_contains(l, (replica_ref_t){STR("i-3"), 1000}));
	ck_assert_uint_eq(leaving_list(l, known, 4), 2);
	/* It started again: the one that left isn't remembered. */
	ck_assert(!leaving_contains(l, (replica_ref_t){STR("i-1"), 1001}));
	ck_assert(!leaving_contains(l, (replica_ref_t){STR("i-1"), 1000}));
	ck_assert(!leaving_contains(l, (replica_ref_t){STR("i-2"), 701}));
	ck_assert_uint_eq(leaving_list(l, known, 4), 0);
	leaving_free(l);
}
END_TEST

START_TEST(leavers_are_bounded_in_number)
{
	leaving_t *l = leaving_new();
	static replica_ref_t known[LEAVING_MAX + 1];

	for (unsigned i = 0; i < 3 * LEAVING_MAX; i++) {
		char id[16];

		snprintf(id, sizeof(id), "i-%u", i);
		leaving_add(l, (replica_ref_t){str_c(id), 1});
	}
	ck_assert_uint_eq(leaving_list(l, known, LEAVING_MAX + 1), LEAVING_MAX);
	ck_assert(leaving_contains(l, (replica_ref_t){STR("i-3071"), 1}));
	leaving_free(l);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dispatch");
	TCase *t = tcase_create("all");

	tcase_set_timeout(t, 60);
	tcase_add_test(t, a_free_place_of_the_own_zone_is_granted);
	tcase_add_test(t, no_replica_gets_more_than_it_runs_at_once);
	tcase_add_test(t, a_new_request_that_would_be_late_is_refused_with_the_time_of_room);
	tcase_add_test(t, one_that_comes_back_waits_and_lets_those_in_time_go_first);
	tcase_add_test(t, what_can_not_end_before_its_caller_gives_up_is_refused_at_once);
	tcase_add_test(t, one_whose_caller_leaves_before_there_is_room_is_refused_at_once);
	tcase_add_test(t, a_place_that_gets_free_too_late_is_not_given_to_a_caller_who_leaves);
	tcase_add_test(t, short_requests_wait_for_a_place_within_a_short_objective);
	tcase_add_test(t, short_requests_of_one_service_do_not_shorten_the_estimate_of_another);
	tcase_add_test(t, waiting_requests_of_one_service_do_not_count_for_another);
	tcase_add_test(t, a_replica_that_failed_is_left_alone_then_tried_with_one);
	tcase_add_test(t, replicas_that_are_all_silent_at_once_are_busy_not_failed);
	tcase_add_test(t, one_silent_replica_of_many_is_left_alone);
	tcase_add_test(t, runs_that_break_together_are_one_failure);
	tcase_add_test(t, a_replica_that_failed_a_request_is_avoided_by_it);
	tcase_add_test(t, a_request_waits_for_the_first_list);
	tcase_add_test(t, a_leaving_replica_gets_no_new_work);
	tcase_add_test(t, the_replica_that_read_a_prompt_gets_its_like);
	tcase_add_test(t, a_replica_that_says_it_leaves_gets_no_new_work);
	tcase_add_test(t, a_place_given_back_by_an_entry_that_knows_better_is_not_given_again);
	tcase_add_test(t, a_replica_that_starts_again_under_its_id_is_another_one);
	tcase_add_test(t, leavers_are_known_by_id_and_start);
	tcase_add_test(t, leavers_are_bounded_in_number);
	suite_add_tcase(s, t);
	return suite_run(s);
}
