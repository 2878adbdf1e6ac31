/* Unit tests of the dispatcher: items, and what online requests take from them. */
#include <stdlib.h>
#include "dispatch_kit.h"

START_TEST(an_online_request_takes_the_place_of_the_item_due_last)
{
	dispatch_t *d = fresh(1, 2);
	int first;
	int last;

	dispatch_item_add(d, STR("s"), 5000, &first);
	dispatch_item_add(d, STR("s"), 9000, &last);
	dispatch_tick(d, 0);
	ck_assert_int_eq(neffects, 2);
	ask(d, 1, 10);
	ck_assert_int_eq(neffects, 4);
	ck_assert_int_eq(effects[2].kind, 'S');
	ck_assert_ptr_eq(effects[2].data, &last);
	ck_assert_int_eq(effects[3].kind, 'g');
	dispatch_free(d);
}
END_TEST

START_TEST(a_stopped_item_runs_again_once_there_is_room)
{
	dispatch_t *d = fresh(1, 1);
	int data;
	dispatch_item_t *it = dispatch_item_add(d, STR("s"), 5000, &data);

	dispatch_tick(d, 0);
	ask(d, 1, 10);
	dispatch_item_requeue(d, it, DISPATCH_CANCELLED, 20);
	ck_assert_int_eq(neffects, 3);
	dispatch_request_ended(d, 1, 1, DISPATCH_OK, 700);
	ck_assert_int_eq(neffects, 4);
	ck_assert_int_eq(effects[3].kind, 'R');
	ck_assert_ptr_eq(effects[3].data, &data);
	dispatch_free(d);
}
END_TEST

/* Eight places with online requests in seven and an item in one, which is stopped young. */
static dispatch_t *after_a_young_stop(dispatch_item_t **it, deadline_t due, int *data)
{
	dispatch_t *d = fresh(1, 8);

	for (uint64_t i = 1; i <= 7; i++)
		ask(d, i, 0);
	*it = dispatch_item_add(d, STR("s"), due, data);
	dispatch_tick(d, 0);
	ask(d, 8, 30);
	dispatch_item_requeue(d, *it, DISPATCH_CANCELLED, 31);
	ck_assert_int_eq(neffects, 10);
	return d;
}

START_TEST(a_place_that_gets_free_in_a_peak_is_left_to_online_requests)
{
	dispatch_item_t *it;
	int data;
	dispatch_t *d = after_a_young_stop(&it, 9000, &data);

	dispatch_request_ended(d, 1, 1, DISPATCH_OK, 50);
	ck_assert_int_eq(neffects, 10);
	/* The next request finds it; nobody is stopped for that. */
	ask(d, 9, 60);
	ck_assert_int_eq(effects[10].kind, 'g');
	/* With a second free place there is room for the item as well. */
	dispatch_request_ended(d, 1, 2, DISPATCH_OK, 70);
	dispatch_request_ended(d, 1, 3, DISPATCH_OK, 80);
	ck_assert_int_eq(neffects, 12);
	ck_assert_int_eq(effects[11].kind, 'R');
	dispatch_free(d);
}
END_TEST

START_TEST(the_room_kept_for_online_requests_shrinks_when_none_come)
{
	dispatch_item_t *it;
	int data;
	dispatch_t *d = after_a_young_stop(&it, 9000, &data);

	dispatch_request_ended(d, 1, 1, DISPATCH_OK, 50);
	dispatch_tick(d, 270);
	ck_assert_int_eq(neffects, 10);
	dispatch_tick(d, 290);
	ck_assert_int_eq(neffects, 11);
	ck_assert_int_eq(effects[10].kind, 'R');
	dispatch_free(d);
}
END_TEST

START_TEST(between_two_peaks_items_get_nearly_all_places_of_a_large_fleet)
{
	dispatch_t *d = fresh(12, 8);
	static int data[96];
	dispatch_item_t *it[96];
	dispatch_stats_t st;

	/* 24 items are stopped young: a quarter of the places is kept. */
	for (int i = 0; i < 96; i++)
		it[i] = dispatch_item_add(d, STR("s"), 60000 + i, &data[i]);
	dispatch_tick(d, 0);
	for (uint64_t i = 1; i <= 24; i++)
		ask(d, i, 10);
	for (int i = neffects - 48; i < neffects; i++) {
		const effect_t *e = &effects[i % LOG_MAX];

		if (e->kind == 'S')
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

START_TEST(an_item_that_can_not_wait_out_a_peak_takes_the_kept_room)
{
	dispatch_item_t *it;
	int data;
	dispatch_t *d = after_a_young_stop(&it, 2000, &data);

	dispatch_request_ended(d, 1, 1, DISPATCH_OK, 50);
	ck_assert_int_eq(neffects, 11);
	ck_assert_int_eq(effects[10].kind, 'R');
	dispatch_free(d);
}
END_TEST

START_TEST(an_item_without_a_place_does_not_hold_up_those_of_another_service)
{
	dispatch_t *d = fresh(1, 1);
	dispatch_replica_t v[] = {{STR("r0"), STR("a"), STR("s"), 1, false, 0},
				  {STR("t0"), STR("a"), STR("t"), 1, false, 0}};
	int first;
	int other;

	dispatch_set_replicas(d, v, 2, 0);
	ask(d, 1, 0);
	dispatch_item_add(d, STR("s"), 5000, &first);
	dispatch_item_add(d, STR("t"), 9000, &other);
	dispatch_tick(d, 10);
	ck_assert_int_eq(neffects, 2);
	ck_assert_int_eq(effects[1].kind, 'R');
	ck_assert_ptr_eq(effects[1].data, &other);
	dispatch_free(d);
}
END_TEST

/* A peak of one service is none of another's business. */
START_TEST(requests_that_wait_hold_up_items_of_their_own_service_only)
{
	dispatch_t *d = fresh(1, 1);
	dispatch_replica_t v[] = {{STR("r0"), STR("a"), STR("s"), 1, false, 0},
				  {STR("t0"), STR("a"), STR("t"), 1, false, 0}};
	dispatch_request_t waits = ask_of(2, 0);
	int own;
	int other;

	dispatch_set_replicas(d, v, 2, 0);
	ask(d, 1, 0);
	waits.returning = true;
	dispatch_request_add(d, &waits, 0);
	dispatch_item_add(d, STR("s"), 9000, &own);
	dispatch_item_add(d, STR("t"), 9000, &other);
	dispatch_tick(d, 10);
	ck_assert_int_eq(neffects, 2);
	ck_assert_int_eq(effects[1].kind, 'R');
	ck_assert_ptr_eq(effects[1].data, &other);
	dispatch_request_ended(d, 1, 1, DISPATCH_OK, 20);
	ck_assert_int_eq(effects[2].kind, 'g');
	ck_assert_uint_eq(effects[2].request, 2);
	dispatch_free(d);
}
END_TEST

START_TEST(items_run_earliest_due_first_but_hopeless_ones_last)
{
	dispatch_t *d = fresh(1, 1);
	int hopeless;
	int early;
	int late;

	ask(d, 1, 0);
	dispatch_item_add(d, STR("s"), 900, &hopeless);
	dispatch_item_add(d, STR("s"), 9000, &late);
	dispatch_item_add(d, STR("s"), 6000, &early);
	dispatch_request_ended(d, 1, 1, DISPATCH_OK, 1000);
	ck_assert_int_eq(effects[1].kind, 'R');
	ck_assert_ptr_eq(effects[1].data, &early);
	dispatch_free(d);
}
END_TEST

START_TEST(items_of_a_lost_entry_wait_for_it_then_run_elsewhere)
{
	dispatch_t *d = fresh(1, 1);
	int data;

	dispatch_item_add(d, STR("s"), 9000, &data);
	dispatch_tick(d, 0);
	dispatch_entry_remove(d, effects[0].entry, 100);
	dispatch_tick(d, 100 + DISPATCH_ADOPT_MS - 1);
	ck_assert_int_eq(neffects, 1);
	dispatch_tick(d, 100 + DISPATCH_ADOPT_MS);
	ck_assert_int_eq(neffects, 2);
	ck_assert_int_eq(effects[1].kind, 'R');
	ck_assert_uint_ne(effects[1].entry, effects[0].entry);
	dispatch_free(d);
}
END_TEST

START_TEST(an_entry_that_comes_back_keeps_its_item)
{
	dispatch_t *d = fresh(1, 1);
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

START_TEST(items_are_held_back_until_entries_have_told_what_they_run)
{
	dispatch_t *d = fresh(1, 1);
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

START_TEST(an_item_that_failed_at_a_replica_is_run_at_another)
{
	dispatch_t *d = fresh(2, 1);
	int data;
	dispatch_item_t *it = dispatch_item_add(d, STR("s"), 9000, &data);

	dispatch_tick(d, 0);
	dispatch_item_avoid(it, str_c(effects[0].replica));
	dispatch_item_requeue(d, it, DISPATCH_CANCELLED, 10);
	ck_assert_int_eq(neffects, 2);
	ck_assert_str_ne(effects[1].replica, effects[0].replica);
	/* Where there is no other, it is tried there again. */
	ask(d, 1, 20);
	dispatch_item_avoid(it, str_c(effects[1].replica));
	dispatch_item_requeue(d, it, DISPATCH_CANCELLED, 30);
	ck_assert_int_eq(effects[neffects - 1].kind, 'R');
	dispatch_free(d);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dispatch_items");
	TCase *t = tcase_create("all");

	tcase_set_timeout(t, 60);
	tcase_add_test(t, an_online_request_takes_the_place_of_the_item_due_last);
	tcase_add_test(t, a_stopped_item_runs_again_once_there_is_room);
	tcase_add_test(t, a_place_that_gets_free_in_a_peak_is_left_to_online_requests);
	tcase_add_test(t, the_room_kept_for_online_requests_shrinks_when_none_come);
	tcase_add_test(t, between_two_peaks_items_get_nearly_all_places_of_a_large_fleet);
	tcase_add_test(t, an_item_that_can_not_wait_out_a_peak_takes_the_kept_room);
	tcase_add_test(t, an_item_without_a_place_does_not_hold_up_those_of_another_service);
	tcase_add_test(t, requests_that_wait_hold_up_items_of_their_own_service_only);
	tcase_add_test(t, items_run_earliest_due_first_but_hopeless_ones_last);
	tcase_add_test(t, items_of_a_lost_entry_wait_for_it_then_run_elsewhere);
	tcase_add_test(t, an_entry_that_comes_back_keeps_its_item);
	tcase_add_test(t, items_are_held_back_until_entries_have_told_what_they_run);
	tcase_add_test(t, an_item_that_failed_at_a_replica_is_run_at_another);
	suite_add_tcase(s, t);
	return suite_run(s);
}
