/* Tests of the failures of items that an entry has reported (policy/item_failures.h). Guard against
 * failures that a new leader counts twice or not at all. */
#include "policy/item_failures.h"
#include "suite_kit.h"

#define NOW   1000
#define LATER 100000

static item_failures_t *t;
static item_failures_entry_t list[ITEM_FAILURES_MAX];

static void setup(void)
{
	t = item_failures_new();
}

static void teardown(void)
{
	item_failures_free(t);
}

static size_t list_now(deadline_t now)
{
	return item_failures_list(t, now, list, ITEM_FAILURES_MAX);
}

START_TEST(only_failures_of_earlier_links_are_listed)
{
	item_failures_add(t, STR("lot"), 3, LATER);
	item_failures_add(t, STR("lot"), 3, LATER);
	ck_assert_uint_eq(list_now(NOW), 0);
	item_failures_new_link(t);
	item_failures_add(t, STR("lot"), 3, LATER);
	item_failures_add(t, STR("other"), 3, LATER);
	ck_assert_uint_eq(list_now(NOW), 1);
	ck_assert(str_eq(list[0].lot, STR("lot")));
	ck_assert_uint_eq(list[0].item, 3);
	ck_assert_uint_eq(list[0].failures, 2);
	item_failures_new_link(t);
	ck_assert_uint_eq(list_now(NOW), 2);
	ck_assert_uint_eq(list[0].failures, 3);
}
END_TEST

START_TEST(items_with_a_result_and_those_past_their_time_are_forgotten)
{
	item_failures_add(t, STR("lot"), 1, LATER);
	item_failures_add(t, STR("lot"), 2, LATER);
	item_failures_add(t, STR("lot"), 3, NOW + 1);
	item_failures_new_link(t);
	item_failures_forget(t, STR("lot"), 1);
	item_failures_forget(t, STR("lot"), 9);
	ck_assert_uint_eq(list_now(NOW), 2);
	ck_assert_uint_eq(list_now(NOW + 1), 1);
	ck_assert_uint_eq(list[0].item, 2);
	ck_assert_uint_eq(list_now(LATER), 0);
}
END_TEST

START_TEST(the_item_that_failed_first_is_dropped_from_a_full_table)
{
	for (uint32_t i = 0; i <= ITEM_FAILURES_MAX; i++)
		item_failures_add(t, STR("lot"), i, LATER);
	item_failures_new_link(t);
	ck_assert_uint_eq(list_now(NOW), ITEM_FAILURES_MAX);
	ck_assert_uint_eq(list[0].item, 1);
	ck_assert_uint_eq(item_failures_list(t, NOW, list, 10), 10);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("item_failures");
	TCase *c = tcase_create("item_failures");

	suite_add_tcase(s, c);
	tcase_add_checked_fixture(c, setup, teardown);
	tcase_add_test(c, only_failures_of_earlier_links_are_listed);
	tcase_add_test(c, items_with_a_result_and_those_past_their_time_are_forgotten);
	tcase_add_test(c, the_item_that_failed_first_is_dropped_from_a_full_table);
	return suite_run(s);
}
