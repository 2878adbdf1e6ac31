/* Replicas that announced that they leave. */
#include <stdio.h>
#include "policy/leaving.h"
#include "suite_kit.h"

static replica_ref_t ref(const char *id, uint64_t start_time)
{
	return (replica_ref_t){str_c(id), start_time};
}

START_TEST(leaving_replicas_are_identified_by_id_and_start_time)
{
	leaving_t *l = leaving_new();
	replica_ref_t listed[4];

	ck_assert(leaving_add(l, ref("i-1", 1000), 1));
	ck_assert(!leaving_add(l, ref("i-1", 1000), 2));
	ck_assert(leaving_add(l, ref("i-2", 0), 2));
	ck_assert(leaving_contains(l, ref("i-1", 1000), 3));
	ck_assert(leaving_contains(l, ref("i-1", 0), 3));
	ck_assert(leaving_contains(l, ref("i-2", 700), 3));
	ck_assert(!leaving_contains(l, ref("i-3", 1000), 3));
	ck_assert_uint_eq(leaving_list(l, 0, listed, 4), 2);
	/* A later start time: the replica was restarted, so the process that left is forgotten. */
	ck_assert(!leaving_contains(l, ref("i-1", 1001), 4));
	ck_assert(!leaving_contains(l, ref("i-1", 1000), 4));
	ck_assert(!leaving_contains(l, ref("i-2", 701), 4));
	ck_assert_uint_eq(leaving_list(l, 0, listed, 4), 0);
	leaving_free(l);
}
END_TEST

START_TEST(a_replica_that_leaves_again_after_a_restart_is_reported_again)
{
	leaving_t *l = leaving_new();
	replica_ref_t listed[4];

	ck_assert(leaving_add(l, ref("i-1", 1000), 10));
	ck_assert(leaving_add(l, ref("i-1", 2000), 50));
	ck_assert(!leaving_add(l, ref("i-1", 1000), 60));
	ck_assert_uint_eq(leaving_list(l, 50, listed, 4), 1);
	ck_assert_uint_eq(listed[0].start_time, 2000);
	leaving_free(l);
}
END_TEST

/* A process that lives for long has the replicas of many rollouts in its set, which must not all go
 * to each new leader. */
START_TEST(only_announcements_since_a_time_are_listed_the_newest_if_there_are_too_many)
{
	leaving_t *l = leaving_new();
	replica_ref_t listed[4];

	ck_assert(leaving_add(l, ref("i-1", 1), 10));
	ck_assert(leaving_add(l, ref("i-2", 1), 20));
	ck_assert(leaving_add(l, ref("i-3", 1), 30));
	/* Neither a repeated announcement nor a question makes one newer. */
	ck_assert(!leaving_add(l, ref("i-1", 1), 40));
	ck_assert(leaving_contains(l, ref("i-1", 1), 40));
	ck_assert_uint_eq(leaving_list(l, 20, listed, 4), 2);
	ck_assert(str_eq(listed[0].id, STR("i-2")));
	ck_assert(str_eq(listed[1].id, STR("i-3")));
	ck_assert_uint_eq(leaving_list(l, 31, listed, 4), 0);
	ck_assert_uint_eq(leaving_list(l, 0, listed, 2), 2);
	ck_assert(str_eq(listed[0].id, STR("i-2")));
	leaving_free(l);
}
END_TEST

/* As long as the list shows it, however long after its announcement, it isn't used again. */
START_TEST(a_replica_is_forgotten_only_once_it_is_no_longer_asked_about)
{
	leaving_t *l = leaving_new();

	ck_assert(leaving_add(l, ref("i-1", 1), 1000));
	ck_assert(leaving_add(l, ref("i-2", 1), 1000));
	ck_assert(leaving_add(l, ref("i-3", 1), 5000));
	ck_assert(leaving_contains(l, ref("i-1", 1), 4000));
	leaving_forget(l, 1000);
	ck_assert(leaving_contains(l, ref("i-1", 1), 4000));
	leaving_forget(l, 4000);
	ck_assert(leaving_contains(l, ref("i-1", 1), 900000));
	ck_assert(!leaving_contains(l, ref("i-2", 1), 900000));
	ck_assert(leaving_contains(l, ref("i-3", 1), 900000));
	leaving_free(l);
}
END_TEST

/* Entries don't see the whole list, so that nothing else limits their set. */
START_TEST(the_set_of_leaving_replicas_is_bounded)
{
	leaving_t *l = leaving_new();
	static replica_ref_t listed[LEAVING_MAX + 1];

	for (unsigned i = 0; i < 3 * LEAVING_MAX; i++) {
		char id[16];

		snprintf(id, sizeof(id), "i-%u", i);
		leaving_add(l, ref(id, 1), 1);
	}
	ck_assert_uint_eq(leaving_list(l, 0, listed, LEAVING_MAX + 1), LEAVING_MAX);
	ck_assert(leaving_contains(l, ref("i-3071", 1), 1));
	leaving_free(l);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("leaving");
	TCase *t = tcase_create("leaving");

	suite_add_tcase(s, t);
	tcase_add_test(t, leaving_replicas_are_identified_by_id_and_start_time);
	tcase_add_test(t, a_replica_that_leaves_again_after_a_restart_is_reported_again);
	tcase_add_test(t,
		       only_announcements_since_a_time_are_listed_the_newest_if_there_are_too_many);
	tcase_add_test(t, a_replica_is_forgotten_only_once_it_is_no_longer_asked_about);
	tcase_add_test(t, the_set_of_leaving_replicas_is_bounded);
	return suite_run(s);
}
