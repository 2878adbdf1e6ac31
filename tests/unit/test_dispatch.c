/* Unit tests of the dispatcher, and the peak load played against it. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "policy/ds.h"
#include "suite_kit.h"

#define LOG_MAX 64

typedef struct {
	char what; /* g, r, R, S */
	uint64_t entry;
	uint64_t request;
	char replica[32];
	int64_t retry_ms;
	ds_refusal_t why;
	void *data;
} effect_t;

static effect_t effects[LOG_MAX];
static int neffects;

static effect_t *effect(char what)
{
	effect_t *e = &effects[neffects++ % LOG_MAX];

	*e = (effect_t){.what = what};
	return e;
}

static void on_grant(void *ctx, uint64_t entry, uint64_t request, str_t replica)
{
	effect_t *e = effect('g');

	e->entry = entry;
	e->request = request;
	snprintf(e->replica, sizeof(e->replica), "%.*s", STR_ARG(replica));
}

static void on_refuse(void *ctx, uint64_t entry, uint64_t request, int64_t retry_ms,
		      ds_refusal_t why)
{
	effect_t *e = effect('r');

	e->entry = entry;
	e->request = request;
	e->retry_ms = retry_ms;
	e->why = why;
}

static void on_run(void *ctx, void *data, uint64_t entry, str_t replica)
{
	effect_t *e = effect('R');

	e->entry = entry;
	e->data = data;
	snprintf(e->replica, sizeof(e->replica), "%.*s", STR_ARG(replica));
}

static void on_stop(void *ctx, void *data, uint64_t entry)
{
	effect_t *e = effect('S');

	e->entry = entry;
	e->data = data;
}

static const ds_callbacks_t callbacks = {NULL, on_grant, on_refuse, on_run, on_stop};

static ds_t *fresh(unsigned replicas, unsigned slots)
{
	ds_t *d = ds_new(&callbacks, 7);
	ds_replica_t v[16];
	static char ids[16][16];

	neffects = 0;
	for (unsigned i = 0; i < replicas; i++) {
		snprintf(ids[i], sizeof(ids[i]), "r%u", i);
		v[i] = (ds_replica_t){str_c(ids[i]), i % 2 ? STR("b") : STR("a"), STR("s"), slots,
				      false};
	}
	ds_entry_add(d, 1, STR("a"), true);
	ds_entry_add(d, 2, STR("b"), true);
	ds_replicas(d, v, replicas, 0);
	return d;
}

static ds_ask_t ask_of(uint64_t request, deadline_t now)
{
	return (ds_ask_t){.entry = 1,
			  .request = request,
			  .service = STR("s"),
			  .objective = now + 300,
			  .deadline = now + 5000,
			  .leaves = now + 3200};
}

static void ask(ds_t *d, uint64_t request, deadline_t now)
{
	ds_ask_t a = ask_of(request, now);

	ds_ask(d, &a, now);
}

START_TEST(a_free_place_of_the_own_zone_is_granted)
{
	ds_t *d = fresh(2, 2);

	ask(d, 1, 0);
	ck_assert_int_eq(neffects, 1);
	ck_assert_int_eq(effects[0].what, 'g');
	ck_assert_str_eq(effects[0].replica, "r0");
	ds_free(d);
}
END_TEST

START_TEST(no_replica_gets_more_than_it_runs_at_once)
{
	ds_t *d = fresh(4, 3);
	unsigned at[4] = {0};

	for (uint64_t i = 1; i <= 12; i++)
		ask(d, i, 0);
	ck_assert_int_eq(neffects, 12);
	for (int i = 0; i < 12; i++)
		at[effects[i].replica[1] - '0']++;
	for (int i = 0; i < 4; i++)
		ck_assert_uint_eq(at[i], 3);
	ds_free(d);
}
END_TEST

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

/* Eight places with online requests in seven and an item in one, which is stopped young. */
static ds_t *after_a_young_stop(ds_item_t **it, deadline_t due, int *data)
{
	ds_t *d = fresh(1, 8);

	for (uint64_t i = 1; i <= 7; i++)
		ask(d, i, 0);
	*it = ds_item_add(d, STR("s"), due, data);
	ds_tick(d, 0);
	ask(d, 8, 30);
	ds_item_back(d, *it, DS_LEFT, 31);
	ck_assert_int_eq(neffects, 10);
	return d;
}

START_TEST(a_place_that_gets_free_in_a_peak_is_left_to_online_requests)
{
	ds_item_t *it;
	int data;
	ds_t *d = after_a_young_stop(&it, 9000, &data);

	ds_ended(d, 1, 1, DS_OK, 50);
	ck_assert_int_eq(neffects, 10);
	/* The next request finds it; nobody is stopped for that. */
	ask(d, 9, 60);
	ck_assert_int_eq(effects[10].what, 'g');
	/* With a second free place there is room for the item as well. */
	ds_ended(d, 1, 2, DS_OK, 70);
	ds_ended(d, 1, 3, DS_OK, 80);
	ck_assert_int_eq(neffects, 12);
	ck_assert_int_eq(effects[11].what, 'R');
	ds_free(d);
}
END_TEST

START_TEST(the_room_kept_for_online_requests_shrinks_when_none_come)
{
	ds_item_t *it;
	int data;
	ds_t *d = after_a_young_stop(&it, 9000, &data);

	ds_ended(d, 1, 1, DS_OK, 50);
	ds_tick(d, 270);
	ck_assert_int_eq(neffects, 10);
	ds_tick(d, 290);
	ck_assert_int_eq(neffects, 11);
	ck_assert_int_eq(effects[10].what, 'R');
	ds_free(d);
}
END_TEST

START_TEST(between_two_peaks_items_get_nearly_all_places_of_a_large_fleet)
{
	ds_t *d = fresh(12, 8);
	static int data[96];
	ds_item_t *it[96];
	ds_stats_t st;

	/* 24 items are stopped young: a quarter of the places is kept. */
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
	ck_assert_uint_lt(st.items, 96 - 8);
	ds_tick(d, 2200);
	ds_stats(d, &st);
	ck_assert_uint_ge(st.items, 96 - 3);
	ds_free(d);
}
END_TEST

START_TEST(an_item_that_can_not_wait_out_a_peak_takes_the_kept_room)
{
	ds_item_t *it;
	int data;
	ds_t *d = after_a_young_stop(&it, 2000, &data);

	ds_ended(d, 1, 1, DS_OK, 50);
	ck_assert_int_eq(neffects, 11);
	ck_assert_int_eq(effects[10].what, 'R');
	ds_free(d);
}
END_TEST

START_TEST(an_item_without_a_place_does_not_hold_up_those_of_another_service)
{
	ds_t *d = fresh(1, 1);
	ds_replica_t v[] = {{STR("r0"), STR("a"), STR("s"), 1, false},
			    {STR("t0"), STR("a"), STR("t"), 1, false}};
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

START_TEST(a_new_request_that_would_be_late_is_refused_with_the_time_of_room)
{
	ds_t *d = fresh(1, 1);

	ask(d, 1, 0);
	ask(d, 2, 0);
	ck_assert_int_eq(effects[1].what, 'r');
	ck_assert_uint_eq(effects[1].request, 2);
	ck_assert_int_ge(effects[1].retry_ms, 300);
	ck_assert_int_eq(effects[1].why, DS_PAST_OBJECTIVE);
	ds_free(d);
}
END_TEST

START_TEST(one_that_comes_back_waits_and_lets_those_in_time_go_first)
{
	ds_t *d = fresh(1, 8);
	ds_ask_t back = ask_of(20, 0);

	back.returning = true;
	for (uint64_t i = 1; i <= 8; i++)
		ask(d, i, 0);
	ds_ask(d, &back, 0);
	ask(d, 21, 0);
	ck_assert_int_eq(neffects, 8);
	ds_ended(d, 1, 1, DS_OK, 50);
	ck_assert_uint_eq(effects[8].request, 21);
	ds_ended(d, 1, 2, DS_OK, 60);
	ck_assert_uint_eq(effects[9].request, 20);
	ds_free(d);
}
END_TEST

START_TEST(what_can_not_end_before_its_caller_gives_up_is_refused_at_once)
{
	ds_t *d = fresh(1, 1);
	ds_ask_t back = ask_of(20, 0);

	back.returning = true;
	back.deadline = 500;
	ask(d, 1, 0);
	ds_ask(d, &back, 0);
	ck_assert_int_eq(effects[1].what, 'r');
	ck_assert_uint_eq(effects[1].request, 20);
	ck_assert_int_eq(effects[1].why, DS_PAST_DEADLINE);
	ds_free(d);
}
END_TEST

START_TEST(one_whose_caller_leaves_before_there_is_room_is_refused_at_once)
{
	ds_t *d = fresh(1, 1);
	int granted = 0;
	int refused = 0;

	/* One place that is held for 0.7 s: it serves four more callers within 3.2 s. */
	for (uint64_t i = 1; i <= 10; i++) {
		ds_ask_t back = ask_of(i, 0);

		back.returning = true;
		ds_ask(d, &back, 0);
	}
	for (int i = 0; i < neffects; i++) {
		granted += effects[i].what == 'g';
		refused += effects[i].what == 'r';
	}
	ck_assert_int_eq(granted, 1);
	ck_assert_int_eq(refused, 5);
	ds_free(d);
}
END_TEST

START_TEST(a_place_that_gets_free_too_late_is_not_given_to_a_caller_who_leaves)
{
	ds_t *d = fresh(1, 1);
	ds_ask_t back = ask_of(2, 0);

	back.returning = true;
	ask(d, 1, 0);
	ds_ask(d, &back, 0);
	ds_tick(d, 2400);
	ck_assert_int_eq(neffects, 1);
	ds_tick(d, 3190);
	ck_assert_int_eq(neffects, 2);
	ck_assert_int_eq(effects[1].what, 'r');
	ck_assert_int_eq(effects[1].why, DS_CALLER_LEAVES);
	ds_ended(d, 1, 1, DS_OK, 3195);
	ck_assert_int_eq(neffects, 2);
	ds_free(d);
}
END_TEST

START_TEST(short_requests_wait_for_a_place_within_a_short_objective)
{
	ds_t *d = fresh(1, 1);
	ds_ask_t a;

	/* Requests hold their place for 10 ms: the next one has it in time. */
	for (uint64_t i = 1; i <= 200; i++) {
		ask(d, i, (deadline_t)i * 20);
		ds_ended(d, 1, i, DS_OK, (deadline_t)i * 20 + 10);
	}
	ask(d, 201, 5000);
	neffects = 0;
	a = ask_of(202, 5001);
	a.objective = 5001 + 40;
	ds_ask(d, &a, 5001);
	ck_assert_int_eq(neffects, 0);
	ds_ended(d, 1, 201, DS_OK, 5010);
	ck_assert_int_eq(effects[0].what, 'g');
	ds_free(d);
}
END_TEST

START_TEST(waiting_requests_of_one_service_do_not_count_for_another)
{
	ds_t *d = fresh(1, 1);
	ds_replica_t v[] = {{STR("r0"), STR("a"), STR("s"), 1, false},
			    {STR("t0"), STR("a"), STR("t"), 4, false}};

	ds_replicas(d, v, 2, 0);
	/* The queue alternates between both services; that of s holds four, as when it is alone. */
	for (uint64_t i = 1; i <= 20; i++) {
		ds_ask_t back = ask_of(i, 0);

		back.returning = true;
		back.service = i % 2 ? STR("s") : STR("t");
		back.leaves += (deadline_t)i;
		ds_ask(d, &back, 0);
	}
	{
		ds_stats_t st;
		int refused_s = 0;

		ds_stats(d, &st);
		for (int i = 0; i < neffects; i++)
			refused_s += effects[i].what == 'r' && effects[i].request % 2;
		ck_assert_int_eq(refused_s, 10 - 1 - 4);
		ck_assert_uint_eq(st.asks_waiting, 4 + 6);
	}
	ds_free(d);
}
END_TEST

START_TEST(a_replica_that_failed_is_left_alone_then_tried_with_one)
{
	ds_t *d = fresh(2, 4);
	int on_failed = 0;

	ask(d, 1, 0);
	ck_assert_str_eq(effects[0].replica, "r0");
	ds_ended(d, 1, 1, DS_BROKEN, 10);
	for (uint64_t i = 2; i <= 4; i++) {
		ask(d, i, 20);
		ck_assert_str_eq(effects[i - 1].replica, "r1");
	}
	for (uint64_t i = 5; i <= 9; i++)
		ask(d, i, 400);
	for (int i = 4; i < neffects; i++)
		on_failed += effects[i].what == 'g' && strcmp(effects[i].replica, "r0") == 0;
	ck_assert_int_eq(on_failed, 1);
	ds_free(d);
}
END_TEST

START_TEST(replicas_that_are_all_silent_at_once_are_busy_not_failed)
{
	ds_t *d = fresh(4, 2);
	int granted;

	for (uint64_t i = 1; i <= 8; i++)
		ask(d, i, 0);
	for (uint64_t i = 1; i <= 8; i++)
		ds_ended(d, 1, i, DS_SILENT, 180);
	granted = neffects;
	for (uint64_t i = 11; i <= 18; i++)
		ask(d, i, 185);
	ck_assert_int_eq(neffects, granted + 8);
	for (int i = granted; i < neffects; i++)
		ck_assert_int_eq(effects[i].what, 'g');
	ds_free(d);
}
END_TEST

START_TEST(one_silent_replica_of_many_is_left_alone)
{
	ds_t *d = fresh(4, 2);

	for (uint64_t i = 1; i <= 8; i++)
		ask(d, i, 0);
	for (uint64_t i = 1; i <= 8; i++)
		ds_ended(d, 1, i, strcmp(effects[i - 1].replica, "r1") ? DS_OK : DS_SILENT, 180);
	for (uint64_t i = 11; i <= 16; i++)
		ask(d, i, 185);
	ck_assert_int_eq(neffects, 14);
	for (int i = 8; i < neffects; i++)
		ck_assert_str_ne(effects[i].replica, "r1");
	ds_free(d);
}
END_TEST

START_TEST(runs_that_break_together_are_one_failure)
{
	ds_t *d = fresh(2, 4);
	int on_failed = 0;

	for (uint64_t i = 1; i <= 8; i++)
		ask(d, i, 0);
	for (uint64_t i = 1; i <= 8; i++) {
		if (strcmp(effects[i - 1].replica, "r0") == 0)
			ds_ended(d, 1, i, DS_BROKEN, 10);
	}
	/* Tried again after the first wait, not after one doubled four times. */
	ask(d, 20, 270);
	for (int i = 8; i < neffects; i++)
		on_failed += strcmp(effects[i].replica, "r0") == 0;
	ck_assert_int_eq(on_failed, 1);
	ds_free(d);
}
END_TEST

START_TEST(a_replica_that_failed_a_request_is_avoided_by_it)
{
	ds_t *d = fresh(2, 4);
	ds_ask_t a = ask_of(1, 0);

	a.avoid[a.navoid++] = STR("r0");
	ds_ask(d, &a, 0);
	ck_assert_str_eq(effects[0].replica, "r1");
	ds_free(d);
}
END_TEST

START_TEST(a_request_waits_for_the_first_list)
{
	ds_t *d = ds_new(&callbacks, 7);
	ds_replica_t v = {STR("r0"), STR("a"), STR("s"), 4, false};

	neffects = 0;
	ds_entry_add(d, 1, STR("a"), true);
	ds_replicas(d, NULL, 0, 0);
	ask(d, 1, 0);
	ds_tick(d, 400);
	ck_assert_int_eq(neffects, 0);
	ds_replicas(d, &v, 1, 410);
	ck_assert_int_eq(effects[0].what, 'g');
	ds_free(d);
	d = ds_new(&callbacks, 7);
	neffects = 0;
	ask(d, 1, 0);
	ds_tick(d, 1999);
	ck_assert_int_eq(neffects, 0);
	ds_tick(d, 2000);
	ck_assert_int_eq(neffects, 1);
	ck_assert_int_eq(effects[0].what, 'r');
	ck_assert_int_eq(effects[0].why, DS_NO_LIST);
	ds_free(d);
}
END_TEST

START_TEST(a_leaving_replica_gets_no_new_work)
{
	ds_t *d = fresh(1, 4);
	ds_replica_t v = {STR("r0"), STR("a"), STR("s"), 4, true};

	ds_replicas(d, &v, 1, 0);
	ask(d, 1, 0);
	ck_assert_int_eq(effects[0].what, 'r');
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

START_TEST(the_replica_that_read_a_prompt_gets_its_like)
{
	ds_t *d = fresh(4, 4);
	ds_ask_t a = ask_of(1, 0);
	char first[32];

	a.prefix = 77;
	ds_ask(d, &a, 0);
	snprintf(first, sizeof(first), "%s", effects[0].replica);
	ds_ended(d, 1, 1, DS_OK, 500);
	for (uint64_t i = 2; i < 12; i++) {
		a.request = i;
		ds_ask(d, &a, 1000 * (deadline_t)i);
		ck_assert_str_eq(effects[neffects - 1].replica, first);
		ds_ended(d, 1, i, DS_OK, 1000 * (deadline_t)i + 500);
	}
	ds_free(d);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("dispatch");
	TCase *t = tcase_create("all");

	tcase_set_timeout(t, 60);
	tcase_add_test(t, a_free_place_of_the_own_zone_is_granted);
	tcase_add_test(t, no_replica_gets_more_than_it_runs_at_once);
	tcase_add_test(t, an_online_request_takes_the_place_of_the_item_due_last);
	tcase_add_test(t, a_stopped_item_runs_again_once_there_is_room);
	tcase_add_test(t, a_place_that_gets_free_in_a_peak_is_left_to_online_requests);
	tcase_add_test(t, the_room_kept_for_online_requests_shrinks_when_none_come);
	tcase_add_test(t, between_two_peaks_items_get_nearly_all_places_of_a_large_fleet);
	tcase_add_test(t, an_item_that_can_not_wait_out_a_peak_takes_the_kept_room);
	tcase_add_test(t, an_item_without_a_place_does_not_hold_up_those_of_another_service);
	tcase_add_test(t, items_run_earliest_due_first_but_hopeless_ones_last);
	tcase_add_test(t, a_new_request_that_would_be_late_is_refused_with_the_time_of_room);
	tcase_add_test(t, one_that_comes_back_waits_and_lets_those_in_time_go_first);
	tcase_add_test(t, what_can_not_end_before_its_caller_gives_up_is_refused_at_once);
	tcase_add_test(t, one_whose_caller_leaves_before_there_is_room_is_refused_at_once);
	tcase_add_test(t, a_place_that_gets_free_too_late_is_not_given_to_a_caller_who_leaves);
	tcase_add_test(t, short_requests_wait_for_a_place_within_a_short_objective);
	tcase_add_test(t, waiting_requests_of_one_service_do_not_count_for_another);
	tcase_add_test(t, a_replica_that_failed_is_left_alone_then_tried_with_one);
	tcase_add_test(t, replicas_that_are_all_silent_at_once_are_busy_not_failed);
	tcase_add_test(t, one_silent_replica_of_many_is_left_alone);
	tcase_add_test(t, runs_that_break_together_are_one_failure);
	tcase_add_test(t, a_replica_that_failed_a_request_is_avoided_by_it);
	tcase_add_test(t, a_request_waits_for_the_first_list);
	tcase_add_test(t, a_leaving_replica_gets_no_new_work);
	tcase_add_test(t, items_of_a_lost_entry_wait_for_it_then_run_elsewhere);
	tcase_add_test(t, an_entry_that_comes_back_keeps_its_item);
	tcase_add_test(t, items_are_held_back_until_entries_have_told_what_they_run);
	tcase_add_test(t, an_item_that_failed_at_a_replica_is_run_at_another);
	tcase_add_test(t, the_replica_that_read_a_prompt_gets_its_like);
	suite_add_tcase(s, t);
	return suite_run(s);
}
