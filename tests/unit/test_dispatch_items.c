/* Unit tests of the dispatcher: items, and what online requests take from them. */
#include <stdlib.h>
#include "dispatch_kit.h"

START_TEST(an_online_request_takes_the_place_of_the_item_due_last)
{
	ds_t *d = fresh(1, 2);
	int first;
	int last;

	ds_item_add(d, STR("s"), 5000, &first);
	ds_item_add(d, STR("s"), 9000, &last);
	ds_tick(d, 0);
	ck_assert_int_eq(neffects, 2);
	ask(d, 1, 10);
	ck_assert_int_eq(neffects, 4);
	ck_assert_int_eq(effects[2].what, 'S');
	ck_assert_ptr_eq(effects[2].data, &last);
	ck_assert_int_eq(effects[3].what, 'g');
	ds_free(d);
}
END_TEST

START_TEST(a_stopped_item_runs_again_once_there_is_room)
{
	ds_t *d = fresh(1, 1);
	int data;
	ds_item_t *it = ds_item_add(d, STR("s"), 5000, &data);

	ds_tick(d, 0);
	ask(d, 1, 10);
	ds_item_back(d, it, DS_LEFT, 20);
	ck_assert_int_eq(neffects, 3);
	ds_ended(d, 1, 1, DS_OK, 700);
	ck_assert_int_eq(neffects, 4);
	ck_assert_int_eq(effects[3].what, 'R');
	ck_assert_ptr_eq(effects[3].data, &data);
	ds_free(d);
}
END_TEST

/* Sixteen places with this many online requests; room is kept for half of a standard deviation. */
static ds_t *with_online(uint64_t n)
{
	ds_t *d = fresh(2, 8);

	for (uint64_t i = 1; i <= n; i++)
		ask(d, i, 0);
	ck_assert_int_eq(neffects, (int)n);
	return d;
}

START_TEST(a_place_that_gets_free_in_a_peak_is_left_to_online_requests)
{
	ds_t *d = with_online(16);
	int data[2];

	ds_item_add(d, STR("s"), 9000, &data[0]);
	ds_item_add(d, STR("s"), 9001, &data[1]);
	ds_ended(d, 1, 1, DS_OK, 50);
	ck_assert_int_eq(neffects, 16);
	/* The next request finds it; nobody is stopped for that. */
	ask(d, 17, 60);
	ck_assert_int_eq(neffects, 17);
	ck_assert_int_eq(effects[16].what, 'g');
	/* With a second free place there is room for one item as well. */
	ds_ended(d, 1, 2, DS_OK, 70);
	ck_assert_int_eq(neffects, 17);
	ds_ended(d, 1, 3, DS_OK, 80);
	ck_assert_int_eq(neffects, 18);
	ck_assert_int_eq(effects[17].what, 'R');
	ask(d, 18, 90);
	ck_assert_int_eq(neffects, 19);
	ck_assert_int_eq(effects[18].what, 'g');
	ds_free(d);
}
END_TEST

START_TEST(the_room_kept_for_online_requests_goes_with_them)
{
	ds_t *d = with_online(16);
	static int data[16];
	ds_stats_t st;

	for (int i = 0; i < 16; i++)
		ds_item_add(d, STR("s"), 9000 + i, &data[i]);
	for (uint64_t i = 1; i <= 16; i++)
		ds_ended(d, 1, i, DS_OK, 50);
	ds_stats(d, &st);
	ck_assert_uint_eq(st.items, 16);
	ds_free(d);
}
END_TEST

START_TEST(between_two_peaks_items_get_nearly_all_places_of_a_large_fleet)
{
	ds_t *d = fresh(12, 8);
	static int data[96];
	ds_item_t *it[96];
	ds_stats_t st;

	for (int i = 0; i < 96; i++)
		it[i] = ds_item_add(d, STR("s"), 60000 + i, &data[i]);
	ds_tick(d, 0);
	for (uint64_t i = 1; i <= 24; i++)
		ask(d, i, 10);
	for (int i = neffects - 48; i < neffects; i++) {
		const effect_t *e = &effects[i % LOG_MAX];

		if (e->what == 'S')
			ds_item_back(d, it[(int *)e->data - data], DS_LEFT, 20);
	}
	for (uint64_t i = 1; i <= 24; i++)
		ds_ended(d, 1, i, DS_OK, 700);
	ds_stats(d, &st);
	ck_assert_uint_ge(st.items, 96 - 3);
	ds_free(d);
}
END_TEST

/* Ends one item that held its place for so long, so that others are known to need that. */
static void know_item_ms(ds_t *d, int64_t ms)
{
	int data;
	ds_item_t *it = ds_item_add(d, STR("s"), 60000, &data);

	ds_tick(d, 0);
	ds_item_remove(d, it, true, ms);
	neffects = 0;
}

/* Whatever its due time: in a peak places get free one by one, and the items that may take the last
 * of them would take them all, in the order in which they come too late. */
START_TEST(no_item_takes_the_room_kept_for_online_requests)
{
	ds_t *d = fresh(2, 8);
	int urgent;
	int late;

	know_item_ms(d, 4000);
	for (uint64_t i = 1; i <= 16; i++)
		ask(d, i, 4000);
	ds_item_add(d, STR("s"), 8500, &urgent);
	ds_item_add(d, STR("s"), 5000, &late);
	ds_ended(d, 1, 1, DS_OK, 4050);
	ck_assert_int_eq(neffects, 16);
	ds_free(d);
}
END_TEST

START_TEST(an_item_that_is_late_anyway_gives_way_first)
{
	ds_t *d = fresh(1, 3);
	int patient;
	int urgent;
	int late;

	know_item_ms(d, 4000);
	ds_item_add(d, STR("s"), 30000, &patient);
	ds_item_add(d, STR("s"), 8100, &urgent);
	ds_item_add(d, STR("s"), 6000, &late);
	ds_tick(d, 4000);
	ck_assert_int_eq(neffects, 3);
	ask(d, 1, 4010);
	ck_assert_int_eq(effects[3].what, 'S');
	ck_assert_ptr_eq(effects[3].data, &late);
	ask(d, 2, 4020);
	ck_assert_int_eq(effects[5].what, 'S');
	ck_assert_ptr_eq(effects[5].data, &patient);
	ds_free(d);
}
END_TEST

/* One place, items of 4 s: of four that are due within 9 s two can be done, and those due last
 * leave most time for what may come between. */
START_TEST(items_that_can_not_all_be_done_are_passed_over_from_the_front)
{
	ds_t *d = fresh(1, 1);
	static int data[4];

	know_item_ms(d, 4000);
	ask(d, 1, 4000);
	for (int i = 0; i < 4; i++)
		ds_item_add(d, STR("s"), 13600 + 100 * i, &data[i]);
	ds_ended(d, 1, 1, DS_OK, 4600);
	ck_assert_int_eq(neffects, 2);
	ck_assert_int_eq(effects[1].what, 'R');
	ck_assert_ptr_eq(effects[1].data, &data[2]);
	ds_free(d);
}
END_TEST

START_TEST(an_item_without_a_place_does_not_hold_up_those_of_another_service)
{
	ds_t *d = fresh(1, 1);
	ds_replica_t v[] = {{STR("r0"), STR("a"), STR("s"), 1, false, 0},
			    {STR("t0"), STR("a"), STR("t"), 1, false, 0}};
	int first;
	int other;

	ds_replicas(d, v, 2, 0);
	ask(d, 1, 0);
	ds_item_add(d, STR("s"), 5000, &first);
	ds_item_add(d, STR("t"), 9000, &other);
	ds_tick(d, 10);
	ck_assert_int_eq(neffects, 2);
	ck_assert_int_eq(effects[1].what, 'R');
	ck_assert_ptr_eq(effects[1].data, &other);
	ds_free(d);
}
END_TEST

/* A peak of one service is none of another's business. */
START_TEST(requests_that_wait_hold_up_items_of_their_own_service_only)
{
	ds_t *d = fresh(1, 1);
	ds_replica_t v[] = {{STR("r0"), STR("a"), STR("s"), 1, false, 0},
			    {STR("t0"), STR("a"), STR("t"), 1, false, 0}};
	ds_ask_t waits = ask_of(2, 0);
	int own;
	int other;

	ds_replicas(d, v, 2, 0);
	ask(d, 1, 0);
	waits.returning = true;
	ds_ask(d, &waits, 0);
	ds_item_add(d, STR("s"), 9000, &own);
	ds_item_add(d, STR("t"), 9000, &other);
	ds_tick(d, 10);
	ck_assert_int_eq(neffects, 2);
	ck_assert_int_eq(effects[1].what, 'R');
	ck_assert_ptr_eq(effects[1].data, &other);
	ds_ended(d, 1, 1, DS_OK, 20);
	ck_assert_int_eq(effects[2].what, 'g');
	ck_assert_uint_eq(effects[2].request, 2);
	ds_free(d);
}
END_TEST

START_TEST(items_run_earliest_due_first_but_hopeless_ones_last)
{
	ds_t *d = fresh(1, 1);
	int hopeless;
	int early;
	int late;

	ask(d, 1, 0);
	ds_item_add(d, STR("s"), 900, &hopeless);
	ds_item_add(d, STR("s"), 9000, &late);
	ds_item_add(d, STR("s"), 6000, &early);
	ds_ended(d, 1, 1, DS_OK, 1000);
	ck_assert_int_eq(effects[1].what, 'R');
	ck_assert_ptr_eq(effects[1].data, &early);
	ds_free(d);
}
END_TEST

START_TEST(items_of_a_lost_entry_wait_for_it_then_run_elsewhere)
{
	ds_t *d = fresh(1, 1);
	int data;

	ds_item_add(d, STR("s"), 9000, &data);
	ds_tick(d, 0);
	ds_entry_remove(d, effects[0].entry, 100);
	ds_tick(d, 100 + DS_ADOPT_MS - 1);
	ck_assert_int_eq(neffects, 1);
	ds_tick(d, 100 + DS_ADOPT_MS);
	ck_assert_int_eq(neffects, 2);
	ck_assert_int_eq(effects[1].what, 'R');
	ck_assert_uint_ne(effects[1].entry, effects[0].entry);
	ds_free(d);
}
END_TEST

START_TEST(an_entry_that_comes_back_keeps_its_item)
{
	ds_t *d = fresh(1, 1);
	int data;
	ds_item_t *it = ds_item_add(d, STR("s"), 9000, &data);

	ds_tick(d, 0);
	ds_entry_remove(d, effects[0].entry, 100);
	ds_entry_add(d, 9, STR("a"), true);
	ck_assert(ds_item_may_adopt(it, 200));
	ds_item_adopt(d, it, 9, STR("r0"), 200);
	ds_tick(d, 100 + DS_ADOPT_MS + 10);
	ck_assert_int_eq(neffects, 1);
	ds_free(d);
}
END_TEST

START_TEST(items_are_held_back_until_entries_have_told_what_they_run)
{
	ds_t *d = fresh(1, 1);
	int data;

	ds_hold_items(d, 800);
	ds_item_add(d, STR("s"), 9000, &data);
	ds_tick(d, 700);
	ck_assert_int_eq(neffects, 0);
	ds_tick(d, 800);
	ck_assert_int_eq(neffects, 1);
	ds_free(d);
}
END_TEST

START_TEST(an_item_that_failed_at_a_replica_is_run_at_another)
{
	ds_t *d = fresh(2, 1);
	int data;
	ds_item_t *it = ds_item_add(d, STR("s"), 9000, &data);

	ds_tick(d, 0);
	ds_item_avoid(it, str_c(effects[0].replica));
	ds_item_back(d, it, DS_LEFT, 10);
	ck_assert_int_eq(neffects, 2);
	ck_assert_str_ne(effects[1].replica, effects[0].replica);
	/* Where there is no other, it is tried there again. */
	ask(d, 1, 20);
	ds_item_avoid(it, str_c(effects[1].replica));
	ds_item_back(d, it, DS_LEFT, 30);
	ck_assert_int_eq(effects[neffects - 1].what, 'R');
	ds_free(d);
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
	tcase_add_test(t, the_room_kept_for_online_requests_goes_with_them);
	tcase_add_test(t, between_two_peaks_items_get_nearly_all_places_of_a_large_fleet);
	tcase_add_test(t, no_item_takes_the_room_kept_for_online_requests);
	tcase_add_test(t, an_item_that_is_late_anyway_gives_way_first);
	tcase_add_test(t, items_that_can_not_all_be_done_are_passed_over_from_the_front);
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
