/* Tests of the dispatcher (policy/dispatch.h): online requests, the health of replicas, and
 * replicas that leave. Guard against a request that waits although its caller can no longer use
 * the answer, against more requests on a replica than it has slots, and against work for a replica
 * that failed or leaves. */
#include <stdlib.h>
#include "dispatch_kit.h"

START_TEST(a_free_slot_in_the_zone_of_the_entry_is_granted)
{
	dispatch_t *d = new_dispatcher(2, 2);

	add_request(d, 1, 0);
	ck_assert_int_eq(neffects, 1);
	ck_assert_int_eq(effects[0].kind, GRANTED);
	ck_assert_str_eq(effects[0].replica, "r0");
	dispatch_free(d);
}
END_TEST

START_TEST(no_replica_is_granted_more_requests_than_it_has_slots)
{
	dispatch_t *d = new_dispatcher(4, 3);
	unsigned per_replica[4] = {0};

	for (uint64_t i = 1; i <= 12; i++)
		add_request(d, i, 0);
	ck_assert_int_eq(neffects, 12);
	for (int i = 0; i < 12; i++)
		per_replica[effects[i].replica[1] - '0']++;
	for (int i = 0; i < 4; i++)
		ck_assert_uint_eq(per_replica[i], 3);
	dispatch_free(d);
}
END_TEST

START_TEST(a_new_request_that_would_miss_its_objective_is_refused_with_a_retry_time)
{
	dispatch_t *d = new_dispatcher(1, 1);

	add_request(d, 1, 0);
	add_request(d, 2, 0);
	ck_assert_int_eq(effects[1].kind, REFUSED);
	ck_assert_uint_eq(effects[1].request, 2);
	ck_assert_int_ge(effects[1].retry_ms, 300);
	ck_assert_int_eq(effects[1].why, DISPATCH_PAST_OBJECTIVE);
	dispatch_free(d);
}
END_TEST

/* A returning request counts as past its objective. Served first, it would make requests late that
 * can still meet theirs. */
START_TEST(a_returning_request_waits_behind_requests_that_can_meet_their_objective)
{
	dispatch_t *d = new_dispatcher(1, 8);
	dispatch_request_t req = make_request(20, 0);

	req.returning = true;
	for (uint64_t i = 1; i <= 8; i++)
		add_request(d, i, 0);
	dispatch_request_add(d, &req, 0);
	add_request(d, 21, 0);
	ck_assert_int_eq(neffects, 8);
	dispatch_request_ended(d, 1, 1, DISPATCH_OK, 50);
	ck_assert_uint_eq(effects[8].request, 21);
	dispatch_request_ended(d, 1, 2, DISPATCH_OK, 60);
	ck_assert_uint_eq(effects[9].request, 20);
	dispatch_free(d);
}
END_TEST

/* Waiting would only cost the caller the time in which it could try elsewhere. */
START_TEST(a_request_that_cannot_end_by_its_deadline_is_refused_at_once)
{
	dispatch_t *d = new_dispatcher(1, 1);
	dispatch_request_t req = make_request(20, 0);

	req.returning = true;
	req.deadline = 500;
	add_request(d, 1, 0);
	dispatch_request_add(d, &req, 0);
	ck_assert_int_eq(effects[1].kind, REFUSED);
	ck_assert_uint_eq(effects[1].request, 20);
	ck_assert_int_eq(effects[1].why, DISPATCH_PAST_DEADLINE);
	dispatch_free(d);
}
END_TEST

/* A queue longer than the callers' give-up time would serve only callers that are about to
 * leave. */
START_TEST(a_request_whose_caller_gives_up_before_a_slot_is_free_is_refused_at_once)
{
	dispatch_t *d = new_dispatcher(1, 1);
	int granted = 0;
	int refused = 0;

	/* A request holds the slot for 0.7 s by the initial estimate, so that four more callers get
	 * it within the 3.2 s after which they give up. */
	for (uint64_t i = 1; i <= 10; i++) {
		dispatch_request_t req = make_request(i, 0);

		req.returning = true;
		dispatch_request_add(d, &req, 0);
	}
	for (int i = 0; i < neffects; i++) {
		granted += effects[i].kind == GRANTED;
		refused += effects[i].kind == REFUSED;
	}
	ck_assert_int_eq(granted, 1);
	ck_assert_int_eq(refused, 5);
	dispatch_free(d);
}
END_TEST

/* A slot that is granted so late that no event arrives before the give-up time is wasted. */
START_TEST(a_waiting_request_is_refused_shortly_before_its_caller_gives_up)
{
	dispatch_t *d = new_dispatcher(1, 1);
	dispatch_request_t req = make_request(2, 0);

	req.returning = true;
	add_request(d, 1, 0);
	dispatch_request_add(d, &req, 0);
	dispatch_tick(d, 2400);
	ck_assert_int_eq(neffects, 1);
	dispatch_tick(d, 3190);
	ck_assert_int_eq(neffects, 2);
	ck_assert_int_eq(effects[1].kind, REFUSED);
	ck_assert_int_eq(effects[1].why, DISPATCH_CALLER_GIVES_UP);
	dispatch_request_ended(d, 1, 1, DISPATCH_OK, 3195);
	ck_assert_int_eq(neffects, 2);
	dispatch_free(d);
}
END_TEST

/* The decision to wait follows the measured hold time: with a fixed estimate, services with short
 * requests would refuse requests that a slot reaches in time. */
START_TEST(a_request_waits_if_slots_become_free_within_its_objective)
{
	dispatch_t *d = new_dispatcher(1, 1);
	dispatch_request_t req;

	/* These requests bring the estimated hold time down to about 10 ms. */
	for (uint64_t i = 1; i <= 200; i++) {
		add_request(d, i, (deadline_t)i * 20);
		dispatch_request_ended(d, 1, i, DISPATCH_OK, (deadline_t)i * 20 + 10);
	}
	add_request(d, 201, 5000);
	neffects = 0;
	req = make_request(202, 5001);
	req.objective = 5001 + 40;
	dispatch_request_add(d, &req, 5001);
	ck_assert_int_eq(neffects, 0);
	dispatch_request_ended(d, 1, 201, DISPATCH_OK, 5010);
	ck_assert_int_eq(effects[0].kind, GRANTED);
	dispatch_free(d);
}
END_TEST

/* With one estimate for all services, the short requests of t would let a request of s wait for a
 * slot that comes too late. */
START_TEST(hold_times_of_one_service_do_not_change_the_estimate_of_another)
{
	dispatch_t *d = new_dispatcher(1, 1);
	dispatch_replica_t v[] = {{STR("r0"), STR("a"), STR("s"), 1, false, 0},
				  {STR("t0"), STR("a"), STR("t"), 1, false, 0}};
	dispatch_request_t req;

	dispatch_set_replicas(d, v, 2, 0);
	for (uint64_t i = 1; i <= 200; i++) {
		req = make_request(i, (deadline_t)i * 20);
		req.service = STR("t");
		dispatch_request_add(d, &req, (deadline_t)i * 20);
		dispatch_request_ended(d, 1, i, DISPATCH_OK, (deadline_t)i * 20 + 10);
	}
	add_request(d, 201, 5000);
	neffects = 0;
	/* Requests of s hold their slot for 0.7 s by the initial estimate. */
	add_request(d, 202, 5001);
	ck_assert_int_eq(neffects, 1);
	ck_assert_int_eq(effects[0].kind, REFUSED);
	ck_assert_int_eq(effects[0].why, DISPATCH_PAST_OBJECTIVE);
	dispatch_free(d);
}
END_TEST

/* Requests of both services alternate in one queue. Counting those of t as ahead of those of s
 * would refuse requests of s that a slot reaches in time. */
START_TEST(the_queue_of_one_service_does_not_count_for_another)
{
	dispatch_t *d = new_dispatcher(1, 1);
	dispatch_replica_t v[] = {{STR("r0"), STR("a"), STR("s"), 1, false, 0},
				  {STR("t0"), STR("a"), STR("t"), 4, false, 0}};

	dispatch_set_replicas(d, v, 2, 0);
	/* The requests alternate between both services. Four of s may wait, as many as if s were
	 * the only service. */
	for (uint64_t i = 1; i <= 20; i++) {
		dispatch_request_t req = make_request(i, 0);

		req.returning = true;
		req.service = i % 2 ? STR("s") : STR("t");
		req.give_up_at += (deadline_t)i;
		dispatch_request_add(d, &req, 0);
	}
	{
		dispatch_stats_t st;
		int refused_s = 0;

		dispatch_stats(d, &st);
		for (int i = 0; i < neffects; i++)
			refused_s += effects[i].kind == REFUSED && effects[i].request % 2;
		ck_assert_int_eq(refused_s, 10 - 1 - 4);
		ck_assert_uint_eq(st.requests_waiting, 4 + 6);
	}
	dispatch_free(d);
}
END_TEST

/* A crashed replica stays on the list for some seconds. Without back-off, all requests of that
 * time would fail on it. */
START_TEST(a_failed_replica_gets_no_work_for_a_while_then_one_request)
{
	dispatch_t *d = new_dispatcher(2, 4);
	int on_failed = 0;

	add_request(d, 1, 0);
	ck_assert_str_eq(effects[0].replica, "r0");
	dispatch_request_ended(d, 1, 1, DISPATCH_BROKEN, 10);
	for (uint64_t i = 2; i <= 4; i++) {
		add_request(d, i, 20);
		ck_assert_str_eq(effects[i - 1].replica, "r1");
	}
	for (uint64_t i = 5; i <= 9; i++)
		add_request(d, i, 400);
	for (int i = 4; i < neffects; i++)
		on_failed += effects[i].kind == GRANTED && strcmp(effects[i].replica, "r0") == 0;
	ck_assert_int_eq(on_failed, 1);
	dispatch_free(d);
}
END_TEST

/* After a loss of power of all VMs, the old runs occupy the replicas for a while, and all are
 * silent. Backing off from all of them would leave no slot for new work. */
START_TEST(replicas_that_are_all_silent_at_once_do_not_count_as_failed)
{
	dispatch_t *d = new_dispatcher(4, 2);
	int granted;

	for (uint64_t i = 1; i <= 8; i++)
		add_request(d, i, 0);
	for (uint64_t i = 1; i <= 8; i++)
		dispatch_request_ended(d, 1, i, DISPATCH_SILENT, 180);
	granted = neffects;
	for (uint64_t i = 11; i <= 18; i++)
		add_request(d, i, 185);
	ck_assert_int_eq(neffects, granted + 8);
	for (int i = granted; i < neffects; i++)
		ck_assert_int_eq(effects[i].kind, GRANTED);
	dispatch_free(d);
}
END_TEST

START_TEST(replicas_that_are_silent_get_no_new_work_while_others_answer)
{
	dispatch_t *d = new_dispatcher(10, 2);

	for (uint64_t i = 1; i <= 20; i++)
		add_request(d, i, 0);
	for (uint64_t i = 1; i <= 20; i++) {
		bool silent = effects[i - 1].replica[1] < '6';

		dispatch_request_ended(d, 1, i, silent ? DISPATCH_SILENT : DISPATCH_OK, 180);
	}
	for (uint64_t i = 21; i <= 28; i++)
		add_request(d, i, 185);
	ck_assert_int_eq(neffects, 28);
	for (int i = 20; i < neffects; i++) {
		ck_assert_int_eq(effects[i].kind, GRANTED);
		ck_assert_int_ge(effects[i].replica[1], '6');
	}
	dispatch_free(d);
}
END_TEST

/* The exception for replicas that are all silent must not cover a single one that hangs. */
START_TEST(one_silent_replica_of_many_gets_no_new_work)
{
	dispatch_t *d = new_dispatcher(4, 2);

	for (uint64_t i = 1; i <= 8; i++)
		add_request(d, i, 0);
	for (uint64_t i = 1; i <= 8; i++)
		dispatch_request_ended(
			d, 1, i,
			strcmp(effects[i - 1].replica, "r1") ? DISPATCH_OK : DISPATCH_SILENT, 180);
	for (uint64_t i = 11; i <= 16; i++)
		add_request(d, i, 185);
	ck_assert_int_eq(neffects, 14);
	for (int i = 8; i < neffects; i++)
		ck_assert_str_ne(effects[i].replica, "r1");
	dispatch_free(d);
}
END_TEST

/* When a replica crashes, all its runs break at once. Counted one by one, they would double the
 * back-off with each run. */
START_TEST(runs_that_break_together_count_as_one_failure)
{
	dispatch_t *d = new_dispatcher(2, 4);
	int on_failed = 0;

	for (uint64_t i = 1; i <= 8; i++)
		add_request(d, i, 0);
	for (uint64_t i = 1; i <= 8; i++) {
		if (strcmp(effects[i - 1].replica, "r0") == 0)
			dispatch_request_ended(d, 1, i, DISPATCH_BROKEN, 10);
	}
	/* The back-off is that of one failure, not doubled for each broken run. */
	add_request(d, 20, 270);
	for (int i = 8; i < neffects; i++)
		on_failed += strcmp(effects[i].replica, "r0") == 0;
	ck_assert_int_eq(on_failed, 1);
	dispatch_free(d);
}
END_TEST

START_TEST(a_request_avoids_the_replicas_that_failed_it)
{
	dispatch_t *d = new_dispatcher(2, 4);
	dispatch_request_t req = make_request(1, 0);

	req.avoid[req.navoid++] = STR("r0");
	dispatch_request_add(d, &req, 0);
	ck_assert_str_eq(effects[0].replica, "r1");
	dispatch_free(d);
}
END_TEST

/* A new leader has no list for its first moments; an empty list counts as none. Refusing requests
 * then would fail all that arrive during a failover. The wait ends after 2 s. */
START_TEST(a_request_waits_for_the_first_replica_list)
{
	dispatch_t *d = dispatch_new(&callbacks, 7);
	dispatch_replica_t v = {STR("r0"), STR("a"), STR("s"), 4, false, 0};

	neffects = 0;
	dispatch_entry_add(d, 1, STR("a"), true);
	dispatch_set_replicas(d, NULL, 0, 0);
	add_request(d, 1, 0);
	dispatch_tick(d, 400);
	ck_assert_int_eq(neffects, 0);
	dispatch_set_replicas(d, &v, 1, 410);
	ck_assert_int_eq(effects[0].kind, GRANTED);
	dispatch_free(d);
	d = dispatch_new(&callbacks, 7);
	neffects = 0;
	add_request(d, 1, 0);
	dispatch_tick(d, 1999);
	ck_assert_int_eq(neffects, 0);
	dispatch_tick(d, 2000);
	ck_assert_int_eq(neffects, 1);
	ck_assert_int_eq(effects[0].kind, REFUSED);
	ck_assert_int_eq(effects[0].why, DISPATCH_NO_REPLICA_LIST);
	dispatch_free(d);
}
END_TEST

/* After a restart of the fleet hundreds of requests wait while a list of thousands of replicas is
 * read. Those that fit on the replicas read so far run; the others must not be refused by an
 * estimate that knows only these. */
START_TEST(replicas_of_the_first_pages_get_work)
{
	dispatch_t *d = dispatch_new(&callbacks, 7);
	dispatch_replica_t v[2] = {{STR("r0"), STR("a"), STR("s"), 4, false, 0},
				   {STR("r1"), STR("a"), STR("s"), 4, false, 0}};

	neffects = 0;
	dispatch_entry_add(d, 1, STR("a"), true);
	for (uint64_t i = 1; i <= 40; i++)
		add_request(d, i, 0);
	ck_assert_int_eq(neffects, 0);
	dispatch_set_first_replicas(d, v, 1, 20);
	ck_assert_int_eq(neffects, 4);
	dispatch_tick(d, 250);
	ck_assert_int_eq(neffects, 4);
	dispatch_set_replicas(d, v, 2, 260);
	ck_assert_int_ge(neffects, 8);
	for (int i = 0; i < 8; i++)
		ck_assert_int_eq(effects[i].kind, GRANTED);
	dispatch_free(d);
}
END_TEST

START_TEST(a_replica_listed_as_leaving_gets_no_new_work)
{
	dispatch_t *d = new_dispatcher(1, 4);
	dispatch_replica_t v = {STR("r0"), STR("a"), STR("s"), 4, true, 0};

	dispatch_set_replicas(d, &v, 1, 0);
	add_request(d, 1, 0);
	ck_assert_int_eq(effects[0].kind, REFUSED);
	dispatch_free(d);
}
END_TEST

/* The replica that was granted a prefix has it in its cache; any other would process the prompt
 * anew. */
START_TEST(requests_with_the_same_prefix_go_to_the_same_replica)
{
	dispatch_t *d = new_dispatcher(4, 4);
	dispatch_request_t req = make_request(1, 0);
	char first[32];

	req.prefix = 77;
	dispatch_request_add(d, &req, 0);
	snprintf(first, sizeof(first), "%s", effects[0].replica);
	dispatch_request_ended(d, 1, 1, DISPATCH_OK, 500);
	for (uint64_t i = 2; i < 12; i++) {
		req.request = i;
		dispatch_request_add(d, &req, 1000 * (deadline_t)i);
		ck_assert_str_eq(effects[neffects - 1].replica, first);
		dispatch_request_ended(d, 1, i, DISPATCH_OK, 1000 * (deadline_t)i + 500);
	}
	dispatch_free(d);
}
END_TEST

/* The replica announced that it leaves; the list shows this only seconds later. */
START_TEST(a_replica_marked_as_leaving_gets_no_new_work)
{
	dispatch_t *d = new_dispatcher(2, 4);

	dispatch_replica_leaving(d, STR("r0"));
	for (uint64_t i = 1; i <= 4; i++)
		add_request(d, i, 0);
	ck_assert_int_eq(neffects, 4);
	for (int i = 0; i < 4; i++)
		ck_assert_str_eq(effects[i].replica, "r1");
	dispatch_free(d);
}
END_TEST

/* The entry knew of the announcement before the leader did and ended the granted run without
 * sending it. Granting the replica again would cost each request a round trip. */
START_TEST(a_replica_that_an_entry_reports_as_leaving_gets_no_new_work)
{
	dispatch_t *d = new_dispatcher(2, 4);

	add_request(d, 1, 0);
	ck_assert_str_eq(effects[0].replica, "r0");
	dispatch_request_ended(d, 1, 1, DISPATCH_REPLICA_LEAVING, 1);
	for (uint64_t i = 2; i <= 5; i++)
		add_request(d, i, 2);
	for (int i = 1; i <= 4; i++)
		ck_assert_str_eq(effects[i].replica, "r1");
	dispatch_free(d);
}
END_TEST

/* A replica with a later start time under the same id is a new process: the failures of the
 * earlier one say nothing about it. */
START_TEST(a_restarted_replica_has_no_failures)
{
	dispatch_replica_t v = {STR("r0"), STR("a"), STR("s"), 4, false, 1000};
	dispatch_t *d = new_dispatcher(0, 0);

	dispatch_set_replicas(d, &v, 1, 0);
	add_request(d, 1, 0);
	dispatch_request_ended(d, 1, 1, DISPATCH_BROKEN, 1);
	add_request(d, 2, 2);
	ck_assert_int_eq(effects[1].kind, REFUSED); /* r0 is in back-off */
	neffects = 0;
	v.start_time = 2000;
	dispatch_set_replicas(d, &v, 1, 3);
	for (uint64_t i = 3; i <= 6; i++)
		add_request(d, i, 4);
	ck_assert_int_eq(neffects, 4);
	for (int i = 0; i < 4; i++)
		ck_assert_int_eq(effects[i].kind, GRANTED);
	dispatch_free(d);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dispatch");
	TCase *t = tcase_create("all");

	tcase_set_timeout(t, 60);
	tcase_add_test(t, a_free_slot_in_the_zone_of_the_entry_is_granted);
	tcase_add_test(t, no_replica_is_granted_more_requests_than_it_has_slots);
	tcase_add_test(t, a_new_request_that_would_miss_its_objective_is_refused_with_a_retry_time);
	tcase_add_test(t, a_returning_request_waits_behind_requests_that_can_meet_their_objective);
	tcase_add_test(t, a_request_that_cannot_end_by_its_deadline_is_refused_at_once);
	tcase_add_test(t, a_request_whose_caller_gives_up_before_a_slot_is_free_is_refused_at_once);
	tcase_add_test(t, a_waiting_request_is_refused_shortly_before_its_caller_gives_up);
	tcase_add_test(t, a_request_waits_if_slots_become_free_within_its_objective);
	tcase_add_test(t, hold_times_of_one_service_do_not_change_the_estimate_of_another);
	tcase_add_test(t, the_queue_of_one_service_does_not_count_for_another);
	tcase_add_test(t, a_failed_replica_gets_no_work_for_a_while_then_one_request);
	tcase_add_test(t, replicas_that_are_all_silent_at_once_do_not_count_as_failed);
	tcase_add_test(t, replicas_that_are_silent_get_no_new_work_while_others_answer);
	tcase_add_test(t, one_silent_replica_of_many_gets_no_new_work);
	tcase_add_test(t, runs_that_break_together_count_as_one_failure);
	tcase_add_test(t, a_request_avoids_the_replicas_that_failed_it);
	tcase_add_test(t, a_request_waits_for_the_first_replica_list);
	tcase_add_test(t, replicas_of_the_first_pages_get_work);
	tcase_add_test(t, a_replica_listed_as_leaving_gets_no_new_work);
	tcase_add_test(t, requests_with_the_same_prefix_go_to_the_same_replica);
	tcase_add_test(t, a_replica_marked_as_leaving_gets_no_new_work);
	tcase_add_test(t, a_replica_that_an_entry_reports_as_leaving_gets_no_new_work);
	tcase_add_test(t, a_restarted_replica_has_no_failures);
	suite_add_tcase(s, t);
	return suite_run(s);
}
