/* Tests of the dispatcher (policy/dispatch.h): batch items, and how online requests preempt them.
 * Guard against items that hold slots online requests need, against items that are preempted again
 * and again because they start in a peak, and against an item that runs twice or not at all after
 * its entry disconnected. */
#include <stdlib.h>
#include "dispatch_kit.h"

/* The item due last has the best chance to finish in time after it was preempted. */
START_TEST(an_online_request_preempts_the_item_due_last)
{
	dispatch_t *d = new_dispatcher(1, 2);
	int first;
	int last;

	dispatch_item_add(d, STR("s"), 5000, &first);
	dispatch_item_add(d, STR("s"), 9000, &last);
	dispatch_tick(d, 0);
	ck_assert_int_eq(neffects, 2);
	add_request(d, 1, 10);
	ck_assert_int_eq(neffects, 4);
	ck_assert_int_eq(effects[2].kind, ITEM_STOPPED);
	ck_assert_ptr_eq(effects[2].data, &last);
	ck_assert_int_eq(effects[3].kind, GRANTED);
	dispatch_free(d);
}
END_TEST

START_TEST(a_preempted_item_runs_again_once_a_slot_is_free)
{
	dispatch_t *d = new_dispatcher(1, 1);
	int data;
	dispatch_item_t *it = dispatch_item_add(d, STR("s"), 5000, &data);

	dispatch_tick(d, 0);
	add_request(d, 1, 10);
	dispatch_item_requeue(d, it, DISPATCH_CANCELLED, 20);
	ck_assert_int_eq(neffects, 3);
	dispatch_request_ended(d, 1, 1, DISPATCH_OK, 700);
	ck_assert_int_eq(neffects, 4);
	ck_assert_int_eq(effects[3].kind, ITEM_STARTED);
	ck_assert_ptr_eq(effects[3].data, &data);
	dispatch_free(d);
}
END_TEST

/* Makes a dispatcher with eight slots: online requests take seven, then an item takes the last and
 * is preempted after 30 ms, so early that one slot becomes reserved for online requests. */
static dispatch_t *after_early_preemption(dispatch_item_t **it, deadline_t due, int *data)
{
	dispatch_t *d = new_dispatcher(1, 8);

	for (uint64_t i = 1; i <= 7; i++)
		add_request(d, i, 0);
	*it = dispatch_item_add(d, STR("s"), due, data);
	dispatch_tick(d, 0);
	add_request(d, 8, 30);
	dispatch_item_requeue(d, *it, DISPATCH_CANCELLED, 31);
	ck_assert_int_eq(neffects, 10);
	return d;
}

/* Without a reserve, the item would start in the freed slot and be preempted by the next request
 * of the peak, milliseconds later. */
START_TEST(a_slot_freed_in_a_peak_is_reserved_for_online_requests)
{
	dispatch_item_t *it;
	int data;
	dispatch_t *d = after_early_preemption(&it, 9000, &data);

	dispatch_request_ended(d, 1, 1, DISPATCH_OK, 50);
	ck_assert_int_eq(neffects, 10);
	/* The next request gets the slot; no item is preempted for it. */
	add_request(d, 9, 60);
	ck_assert_int_eq(effects[10].kind, GRANTED);
	/* One slot is reserved; the second free one goes to the item. */
	dispatch_request_ended(d, 1, 2, DISPATCH_OK, 70);
	dispatch_request_ended(d, 1, 3, DISPATCH_OK, 80);
	ck_assert_int_eq(neffects, 12);
	ck_assert_int_eq(effects[11].kind, ITEM_STARTED);
	dispatch_free(d);
}
END_TEST

/* A reserve that outlasts its peak would leave slots unused. */
START_TEST(the_reserve_for_online_requests_shrinks_when_none_arrive)
{
	dispatch_item_t *it;
	int data;
	dispatch_t *d = after_early_preemption(&it, 9000, &data);

	dispatch_request_ended(d, 1, 1, DISPATCH_OK, 50);
	dispatch_tick(d, 270);
	ck_assert_int_eq(neffects, 10);
	dispatch_tick(d, 290);
	ck_assert_int_eq(neffects, 11);
	ck_assert_int_eq(effects[10].kind, ITEM_STARTED);
	dispatch_free(d);
}
END_TEST

/* The reserve must shrink in proportion to its size: by one slot at a time, a large fleet would
 * not use its slots before the next peak. */
START_TEST(between_peaks_items_get_nearly_all_slots_of_a_large_fleet)
{
	dispatch_t *d = new_dispatcher(12, 8);
	static int data[96];
	dispatch_item_t *it[96];
	dispatch_stats_t st;

	/* 24 items are preempted right after their start, so that a quarter of the slots is
	 * reserved. */
	for (int i = 0; i < 96; i++)
		it[i] = dispatch_item_add(d, STR("s"), 60000 + i, &data[i]);
	dispatch_tick(d, 0);
	for (uint64_t i = 1; i <= 24; i++)
		add_request(d, i, 10);
	for (int i = neffects - 48; i < neffects; i++) {
		const effect_t *e = &effects[i % EFFECTS_MAX];

		if (e->kind == ITEM_STOPPED)
			dispatch_item_requeue(d, it[(int *)e->data - data], DISPATCH_CANCELLED, 20);
	}
	for (uint64_t i = 1; i <= 24; i++)
		dispatch_request_ended(d, 1, i, DISPATCH_OK, 700);
	dispatch_stats(d, &st);
	ck_assert_uint_lt(st.items, 96 - 8);
	dispatch_tick(d, 2200);
	dispatch_stats(d, &st);
	ck_assert_uint_ge(st.items, 96 - 3);
	dispatch_free(d);
}
END_TEST

/* Left waiting for the end of a peak, an item with little slack would miss its due time. */
START_TEST(an_item_that_cannot_wait_out_a_peak_takes_a_reserved_slot)
{
	dispatch_item_t *it;
	int data;
	dispatch_t *d = after_early_preemption(&it, 2000, &data);

	dispatch_request_ended(d, 1, 1, DISPATCH_OK, 50);
	ck_assert_int_eq(neffects, 11);
	ck_assert_int_eq(effects[10].kind, ITEM_STARTED);
	dispatch_free(d);
}
END_TEST

START_TEST(an_item_without_a_free_slot_does_not_block_items_of_another_service)
{
	dispatch_t *d = new_dispatcher(1, 1);
	dispatch_replica_t v[] = {{STR("r0"), STR("a"), STR("s"), 1, false, 0},
				  {STR("t0"), STR("a"), STR("t"), 1, false, 0}};
	int first;
	int other;

	dispatch_set_replicas(d, v, 2, 0);
	add_request(d, 1, 0);
	dispatch_item_add(d, STR("s"), 5000, &first);
	dispatch_item_add(d, STR("t"), 9000, &other);
	dispatch_tick(d, 10);
	ck_assert_int_eq(neffects, 2);
	ck_assert_int_eq(effects[1].kind, ITEM_STARTED);
	ck_assert_ptr_eq(effects[1].data, &other);
	dispatch_free(d);
}
END_TEST

/* A slot of t is no use to a request of s: a peak of one service must not stop the items of
 * another. */
START_TEST(waiting_requests_block_items_of_their_own_service_only)
{
	dispatch_t *d = new_dispatcher(1, 1);
	dispatch_replica_t v[] = {{STR("r0"), STR("a"), STR("s"), 1, false, 0},
				  {STR("t0"), STR("a"), STR("t"), 1, false, 0}};
	dispatch_request_t waiting_req = make_request(2, 0);
	int own;
	int other;

	dispatch_set_replicas(d, v, 2, 0);
	add_request(d, 1, 0);
	waiting_req.returning = true;
	dispatch_request_add(d, &waiting_req, 0);
	dispatch_item_add(d, STR("s"), 9000, &own);
	dispatch_item_add(d, STR("t"), 9000, &other);
	dispatch_tick(d, 10);
	ck_assert_int_eq(neffects, 2);
	ck_assert_int_eq(effects[1].kind, ITEM_STARTED);
	ck_assert_ptr_eq(effects[1].data, &other);
	dispatch_request_ended(d, 1, 1, DISPATCH_OK, 20);
	ck_assert_int_eq(effects[2].kind, GRANTED);
	ck_assert_uint_eq(effects[2].request, 2);
	dispatch_free(d);
}
END_TEST

/* An item that is late anyway would take the slot of one that can still be in time. */
START_TEST(items_start_by_due_time_but_those_that_will_be_late_go_last)
{
	dispatch_t *d = new_dispatcher(1, 1);
	int too_late;
	int early;
	int late;

	add_request(d, 1, 0);
	dispatch_item_add(d, STR("s"), 900, &too_late);
	dispatch_item_add(d, STR("s"), 9000, &late);
	dispatch_item_add(d, STR("s"), 6000, &early);
	dispatch_request_ended(d, 1, 1, DISPATCH_OK, 1000);
	ck_assert_int_eq(effects[1].kind, ITEM_STARTED);
	ck_assert_ptr_eq(effects[1].data, &early);
	dispatch_free(d);
}
END_TEST

/* The entry may still run its items and reconnect. Started elsewhere at once, an item would run
 * twice. */
START_TEST(items_of_a_lost_entry_stay_assigned_for_a_while_then_run_elsewhere)
{
	dispatch_t *d = new_dispatcher(1, 1);
	int data;

	dispatch_item_add(d, STR("s"), 9000, &data);
	dispatch_tick(d, 0);
	dispatch_entry_remove(d, effects[0].entry, 100);
	dispatch_tick(d, 100 + DISPATCH_ADOPT_MS - 1);
	ck_assert_int_eq(neffects, 1);
	dispatch_tick(d, 100 + DISPATCH_ADOPT_MS);
	ck_assert_int_eq(neffects, 2);
	ck_assert_int_eq(effects[1].kind, ITEM_STARTED);
	ck_assert_uint_ne(effects[1].entry, effects[0].entry);
	dispatch_free(d);
}
END_TEST

START_TEST(an_entry_that_reconnects_keeps_its_item)
{
	dispatch_t *d = new_dispatcher(1, 1);
	int data;
	dispatch_item_t *it = dispatch_item_add(d, STR("s"), 9000, &data);

	dispatch_tick(d, 0);
	dispatch_entry_remove(d, effects[0].entry, 100);
	dispatch_entry_add(d, 9, STR("a"), true);
	ck_assert(dispatch_item_is_adoptable(it, 200));
	dispatch_item_adopt(d, it, 9, STR("r0"), 200);
	dispatch_tick(d, 100 + DISPATCH_ADOPT_MS + 10);
	ck_assert_int_eq(neffects, 1);
	dispatch_free(d);
}
END_TEST

/* A new leader does not know which items already run; started at once, they would run twice. */
START_TEST(no_item_starts_before_entries_have_reported_the_items_they_run)
{
	dispatch_t *d = new_dispatcher(1, 1);
	int data;

	dispatch_hold_items(d, 800);
	dispatch_item_add(d, STR("s"), 9000, &data);
	dispatch_tick(d, 700);
	ck_assert_int_eq(neffects, 0);
	dispatch_tick(d, 800);
	ck_assert_int_eq(neffects, 1);
	dispatch_free(d);
}
END_TEST

START_TEST(an_item_that_failed_on_a_replica_runs_on_another)
{
	dispatch_t *d = new_dispatcher(2, 1);
	int data;
	dispatch_item_t *it = dispatch_item_add(d, STR("s"), 9000, &data);

	dispatch_tick(d, 0);
	dispatch_item_avoid(it, str_c(effects[0].replica));
	dispatch_item_requeue(d, it, DISPATCH_CANCELLED, 10);
	ck_assert_int_eq(neffects, 2);
	ck_assert_str_ne(effects[1].replica, effects[0].replica);
	/* If no other replica has a free slot, the item runs on this one again. */
	add_request(d, 1, 20);
	dispatch_item_avoid(it, str_c(effects[1].replica));
	dispatch_item_requeue(d, it, DISPATCH_CANCELLED, 30);
	ck_assert_int_eq(effects[neffects - 1].kind, ITEM_STARTED);
	dispatch_free(d);
}
END_TEST

/* Guards against an item that goes back and forth between silent replicas beside a sound one. */
START_TEST(an_item_runs_on_all_replicas_before_it_comes_to_one_again)
{
	enum { REPLICAS = 5 };
	dispatch_t *d = new_dispatcher(REPLICAS, 2);
	int data;
	dispatch_item_t *it = dispatch_item_add(d, STR("s"), 60000, &data);

	dispatch_tick(d, 0);
	for (int run = 1; run < REPLICAS; run++) {
		dispatch_item_avoid(it, str_c(effects[run - 1].replica));
		dispatch_item_requeue(d, it, DISPATCH_CANCELLED, 10 * run);
		ck_assert_int_eq(neffects, run + 1);
		for (int earlier = 0; earlier < run; earlier++)
			ck_assert_str_ne(effects[run].replica, effects[earlier].replica);
	}
	dispatch_item_avoid(it, str_c(effects[REPLICAS - 1].replica));
	dispatch_item_requeue(d, it, DISPATCH_CANCELLED, 100);
	ck_assert_int_eq(neffects, REPLICAS + 1);
	dispatch_free(d);
}
END_TEST

/* After a failure a replica has one slot until a run succeeds; an item may hold it for seconds. */
START_TEST(a_replica_that_failed_is_used_again_once_an_item_on_it_makes_progress)
{
	dispatch_t *d = new_dispatcher(1, 4);
	int data;
	dispatch_item_t *it;

	add_request(d, 1, 0);
	dispatch_request_ended(d, 1, 1, DISPATCH_BROKEN, 100);
	it = dispatch_item_add(d, STR("s"), 60000, &data);
	dispatch_tick(d, 400);
	ck_assert_int_eq(effects[1].kind, ITEM_STARTED);
	dispatch_item_progressed(d, it, 600);
	add_request(d, 2, 610);
	ck_assert_int_eq(neffects, 3);
	ck_assert_int_eq(effects[2].kind, GRANTED);
	dispatch_free(d);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dispatch_items");
	TCase *t = tcase_create("all");

	tcase_set_timeout(t, 60);
	tcase_add_test(t, an_online_request_preempts_the_item_due_last);
	tcase_add_test(t, a_preempted_item_runs_again_once_a_slot_is_free);
	tcase_add_test(t, a_slot_freed_in_a_peak_is_reserved_for_online_requests);
	tcase_add_test(t, the_reserve_for_online_requests_shrinks_when_none_arrive);
	tcase_add_test(t, between_peaks_items_get_nearly_all_slots_of_a_large_fleet);
	tcase_add_test(t, an_item_that_cannot_wait_out_a_peak_takes_a_reserved_slot);
	tcase_add_test(t, an_item_without_a_free_slot_does_not_block_items_of_another_service);
	tcase_add_test(t, waiting_requests_block_items_of_their_own_service_only);
	tcase_add_test(t, items_start_by_due_time_but_those_that_will_be_late_go_last);
	tcase_add_test(t, items_of_a_lost_entry_stay_assigned_for_a_while_then_run_elsewhere);
	tcase_add_test(t, an_entry_that_reconnects_keeps_its_item);
	tcase_add_test(t, no_item_starts_before_entries_have_reported_the_items_they_run);
	tcase_add_test(t, an_item_that_failed_on_a_replica_runs_on_another);
	tcase_add_test(t, an_item_runs_on_all_replicas_before_it_comes_to_one_again);
	tcase_add_test(t, a_replica_that_failed_is_used_again_once_an_item_on_it_makes_progress);
	suite_add_tcase(s, t);
	return suite_run(s);
}
