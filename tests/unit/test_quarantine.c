/* Tests of the quarantine of prompt parts (policy/quarantine.h). Guard against a part that crashes
 * one replica after the other, and against blocks of sound parts. */
#include "quarantine_kit.h"

static void crash(quarantine_t *q, const char *replica, uint64_t request, prompt_parts_t parts,
		  deadline_t now)
{
	quarantine_crash(q, &(quarantine_crash_t){{str_c(replica), 1}, request, false, 0, &parts},
			 now);
}

/* Three crashes under CRASH_PART, enough for a block at 1500. */
static void crash_one_by_one(quarantine_t *q)
{
	for (int i = 0; i < 3; i++)
		crash(q, (const char *[]){"a", "b", "c"}[i], (uint64_t)i + 1,
		      parts_of(CRASH_PART, 0, 0), 400 + i * 300);
}

static void crash_under(quarantine_t *q, const char *replica, uint64_t content,
			prompt_parts_t parts, deadline_t now)
{
	quarantine_crash(q, &(quarantine_crash_t){{str_c(replica), 1}, content, true, 0, &parts},
			 now);
}

static bool blocks(const quarantine_t *q, uint64_t part, deadline_t now)
{
	prompt_parts_t p = {{part}, 1};
	quarantine_part_t out;

	return quarantine_blocks(q, &p, now, &out);
}

START_TEST(part_of_three_crashes_is_blocked)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);

	crash(q, "a", 1, parts_of(1, CRASH_PART, 0), 1000);
	crash(q, "b", 2, parts_of(1, CRASH_PART, 0), 1300);
	crash(q, "b", 3, parts_of(1, CRASH_PART, 0), 1301);
	quarantine_sound(q, 1, 1350);
	quarantine_tick(q, 3000);
	ck_assert(!blocks(q, CRASH_PART, 3000));
	crash(q, "c", 3, parts_of(1, CRASH_PART, 0), 3000);
	quarantine_tick(q, 3100);
	ck_assert(!blocks(q, CRASH_PART, 3100)); /* the last one doesn't count yet */
	quarantine_tick(q, 3500);
	ck_assert(blocks(q, CRASH_PART, 3500));
	ck_assert(!blocks(q, 1, 3500));
	quarantine_free(q);
}
END_TEST

START_TEST(parts_of_a_request_that_crashes_replicas_by_itself_are_not_blocked)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);

	for (int i = 0; i < 4; i++) {
		const char *const replicas[] = {"a", "b", "c", "d"};

		crash_under(q, replicas[i], 1, parts_of(5, 6, 0), 1000 + i * 300);
		crash_under(q, replicas[i], 10 + (uint64_t)i, parts_of(7, 0, 0), 1000 + i * 300);
	}
	quarantine_explain(q, 1);
	quarantine_tick(q, 2500);
	ck_assert(!blocks(q, 5, 2500));
	ck_assert(!blocks(q, 7, 2500));
	/* One crash of another request with a part of it is no more than chance. */
	crash_under(q, "e", 2, parts_of(6, 0, 0), 3000);
	quarantine_tick(q, 4000);
	ck_assert(!blocks(q, 6, 4000));
	ck_assert_uint_eq(s.blocked_sound, 0);
	quarantine_free(q);
}
END_TEST

START_TEST(part_of_two_requests_that_are_held_is_blocked)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);

	for (int i = 0; i < 3; i++) {
		const char *const replicas[] = {"a", "b", "c"};

		crash_under(q, replicas[i], 1, parts_of(5, CRASH_PART, 0), 1000 + i * 300);
	}
	quarantine_explain(q, 1);
	for (int i = 0; i < 3; i++) {
		const char *const replicas[] = {"d", "e", "f"};

		crash_under(q, replicas[i], 2, parts_of(8, CRASH_PART, 0), 3000 + i * 300);
	}
	quarantine_explain(q, 2);
	quarantine_tick(q, 4200);
	ck_assert(blocks(q, CRASH_PART, 4200));
	ck_assert(!blocks(q, 5, 4200));
	ck_assert(!blocks(q, 8, 4200));
	quarantine_free(q);
}
END_TEST

START_TEST(sound_part_of_the_same_first_crashes_is_not_blocked)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);

	crash(q, "a", 1, parts_of(1, CRASH_PART, 0), 1000);
	crash(q, "b", 2, parts_of(1, CRASH_PART, 0), 1300);
	crash(q, "c", 3, parts_of(1, CRASH_PART, 0), 1600);
	quarantine_tick(q, 2200);
	ck_assert(!blocks(q, CRASH_PART, 2200));
	crash(q, "d", 4, parts_of(2, CRASH_PART, 0), 2300);
	quarantine_tick(q, 2800);
	ck_assert(blocks(q, CRASH_PART, 2800));
	ck_assert(!blocks(q, 1, 2800));
	quarantine_free(q);
}
END_TEST

static bool blocks_both(const quarantine_t *q, deadline_t now)
{
	prompt_parts_t p = parts_of(1, 3, CRASH_PART);
	quarantine_part_t out;

	return quarantine_blocks(q, &p, now, &out);
}

static quarantine_t *make_group(seen_t *s)
{
	quarantine_t *q = make_quarantine(s);

	for (int i = 0; i < 5; i++)
		crash(q, (const char *[]){"a", "b", "c", "d", "e"}[i], (uint64_t)i,
		      parts_of(1, CRASH_PART, 0), 1000 + i * 300);
	quarantine_tick(q, 2800);
	return q;
}

START_TEST(parts_of_the_same_five_crashes_are_blocked_together)
{
	seen_t s;
	quarantine_t *q = make_group(&s);

	ck_assert(blocks_both(q, 2800));
	ck_assert(!blocks(q, CRASH_PART, 2800));
	ck_assert(!blocks(q, 1, 2800));
	quarantine_sound(q, 1, 2900);
	ck_assert(blocks_both(q, 2900));
	ck_assert(blocks(q, CRASH_PART, 2900));
	ck_assert(!blocks(q, 1, 2900));
	quarantine_free(q);
}
END_TEST

START_TEST(crash_under_one_part_of_a_group_clears_the_others)
{
	seen_t s;
	quarantine_t *q = make_group(&s);

	/* A sound prompt waited where one with all parts caused a crash: tells nothing. */
	crash(q, "f", 6, parts_of(1, 4, 0), 2900);
	crash(q, "f", 7, parts_of(1, CRASH_PART, 0), 2901);
	quarantine_tick(q, 3500);
	ck_assert(blocks_both(q, 3500));
	ck_assert(!blocks(q, 1, 3500));
	ck_assert(!blocks(q, CRASH_PART, 3500));
	crash(q, "g", 8, parts_of(4, CRASH_PART, 0), 3600);
	quarantine_tick(q, 4200);
	ck_assert(blocks(q, CRASH_PART, 4200));
	ck_assert(!blocks(q, 1, 4200));
	quarantine_free(q);
}
END_TEST

START_TEST(crash_of_a_replica_that_answers_later_is_taken_back)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);

	crash_one_by_one(q);
	quarantine_alive(q, (replica_ref_t){STR("c"), 1}, 1050); /* may have been sent before */
	quarantine_alive(q, (replica_ref_t){STR("b"), 2}, 1300); /* restarted */
	quarantine_alive(q, (replica_ref_t){STR("a"), 1}, 1300);
	quarantine_tick(q, 2000);
	ck_assert(!blocks(q, CRASH_PART, 2000));
	crash(q, "d", 4, parts_of(CRASH_PART, 0, 0), 2000);
	quarantine_tick(q, 2600);
	ck_assert(blocks(q, CRASH_PART, 2600));
	quarantine_alive(q, (replica_ref_t){STR("d"), 1}, 4000);
	ck_assert(!blocks(q, CRASH_PART, 4000));
	ck_assert_uint_eq(s.released, 1);
	quarantine_free(q);
}
END_TEST

static bool doubts(const quarantine_t *q, uint64_t part, deadline_t now)
{
	prompt_parts_t p = {{part}, 1};

	return quarantine_doubts(q, &p, now);
}

/* Crashes ten replicas within 100 ms, each under another request. */
static void crash_together(quarantine_t *q, uint64_t part, deadline_t now)
{
	for (int i = 0; i < 10; i++) {
		char name[16];

		snprintf(name, sizeof(name), "%d-%lld", i, (long long)now);
		crash(q, name, (uint64_t)now + (uint64_t)i, parts_of(part, 0, 0), now + i * 10);
	}
}

/* Guards against items that wait for minutes as all replicas crashed once under a part of theirs.
 */
START_TEST(replicas_that_crash_together_block_no_part)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);

	quarantine_sound(q, 8, 500);
	crash_together(q, 7, 1000);
	crash_together(q, 8, 1000);
	for (deadline_t now = 1000; now < 9000; now += 25)
		quarantine_tick(q, now);
	ck_assert_uint_eq(s.blocked_sound, 0);
	ck_assert(doubts(q, 7, 9000));
	ck_assert(doubts(q, 8, 9000));
	ck_assert(!doubts(q, 9, 9000));
	quarantine_sound(q, 7, 9000);
	ck_assert(!doubts(q, 7, 9000));
	/* Nothing more is known of it. */
	quarantine_tick(q, 62000);
	ck_assert(!doubts(q, 8, 62000));
	quarantine_free(q);
}
END_TEST

START_TEST(part_that_crashes_replicas_together_and_one_by_one_is_blocked)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);
	quarantine_doubt_t d;

	crash_together(q, CRASH_PART, 1000);
	ck_assert_uint_eq(quarantine_list_doubted(q, 1100, &d, 1), 1);
	ck_assert_uint_eq(d.part, CRASH_PART);
	ck_assert_int_ge(d.probe_at, 1500);
	crash(q, "x", 50, parts_of(CRASH_PART, 0, 0), d.probe_at + 20);
	ck_assert_uint_eq(quarantine_list_doubted(q, 1700, &d, 1), 1);
	ck_assert_int_ge(d.probe_at, 2000);
	crash(q, "y", 51, parts_of(CRASH_PART, 0, 0), d.probe_at + 20);
	quarantine_tick(q, 2700);
	ck_assert(blocks(q, CRASH_PART, 2700));
	ck_assert(!doubts(q, CRASH_PART, 2700));
	quarantine_free(q);
}
END_TEST

START_TEST(crash_under_a_run_that_began_after_the_crash_before_counts)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);
	prompt_parts_t p = parts_of(CRASH_PART, 0, 0);

	for (int i = 0; i < 3; i++)
		quarantine_crash(q,
				 &(quarantine_crash_t){
					 {str_c((const char *[]){"a", "b", "c"}[i]), 1},
					 (uint64_t)i,
					 false,
					 940 + i * 100,
					 &p,
				 },
				 1000 + i * 100);
	quarantine_tick(q, 1700);
	ck_assert(blocks(q, CRASH_PART, 1700));
	quarantine_free(q);
}
END_TEST

/* Guards against all items with such a part being run at once when its block ends. */
START_TEST(part_whose_block_ran_out_is_in_doubt)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);
	prompt_parts_t p = parts_of(CRASH_PART, 0, 0);
	quarantine_part_t x;

	crash_one_by_one(q);
	quarantine_tick(q, 1500);
	ck_assert(quarantine_blocks(q, &p, 1500, &x));
	quarantine_tick(q, x.until);
	ck_assert(doubts(q, CRASH_PART, x.until));
	quarantine_sound(q, CRASH_PART, x.until + 100);
	ck_assert(!doubts(q, CRASH_PART, x.until + 100));
	quarantine_free(q);
}
END_TEST

/* Guards against items that wait for minutes with a part that crashes nothing any more. */
START_TEST(blocked_part_is_probed_after_ever_longer_pauses)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);
	prompt_parts_t p = parts_of(CRASH_PART, 0, 0);
	quarantine_part_t x;
	deadline_t now = 1500;
	unsigned probes = 0;

	crash_one_by_one(q);
	quarantine_tick(q, now);
	ck_assert(quarantine_blocks(q, &p, now, &x));
	ck_assert(quarantine_forbids(q, &p, now + 5000));
	for (; now < 91500; now += 25) {
		char name[16];

		quarantine_tick(q, now);
		if (!quarantine_doubts(q, &p, now))
			continue;
		ck_assert(!quarantine_forbids(q, &p, now));
		quarantine_probe(q, CRASH_PART, now);
		ck_assert(quarantine_forbids(q, &p, now));
		snprintf(name, sizeof(name), "p%u", probes++);
		crash(q, name, 10 + probes, p, now + 20);
	}
	/* More than three requests with a blocked part in a day of 90 s would be too many. */
	ck_assert_uint_ge(probes, 2);
	ck_assert_uint_le(probes, 3);
	ck_assert(quarantine_blocks(q, &p, now, &x));
	ck_assert_int_eq(x.until, 301500);
	quarantine_sound(q, CRASH_PART, now);
	ck_assert(!quarantine_blocks(q, &p, now, &x));
	ck_assert(!quarantine_doubts(q, &p, now));
	quarantine_free(q);
}
END_TEST

START_TEST(answer_with_the_part_ends_its_block)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);

	for (int i = 0; i < 4; i++)
		crash(q, (const char *[]){"a", "b", "c", "d"}[i], (uint64_t)i, parts_of(7, 0, 0),
		      1000 + i * 300);
	quarantine_tick(q, 2400);
	ck_assert(blocks(q, 7, 2400));
	quarantine_sound(q, 7, 900);
	ck_assert(blocks(q, 7, 2500));
	quarantine_sound(q, 7, 1400);
	ck_assert(!blocks(q, 7, 2500));
	ck_assert(!quarantine_has(q, 7));
	quarantine_free(q);
}
END_TEST

START_TEST(next_block_is_twice_as_long_and_needs_one_crash)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);
	prompt_parts_t p = parts_of(CRASH_PART, 0, 0);
	quarantine_part_t x;
	deadline_t end;
	int64_t first;

	crash_one_by_one(q);
	quarantine_tick(q, 1500);
	ck_assert(quarantine_blocks(q, &p, 1500, &x));
	first = x.until - 1500;
	ck_assert_int_ge(first, 60000);
	end = x.until;
	quarantine_tick(q, end);
	ck_assert(!quarantine_blocks(q, &p, end, &x));
	crash(q, "d", 4, p, end + 10);
	quarantine_tick(q, end + 600);
	ck_assert(quarantine_blocks(q, &p, end + 600, &x));
	ck_assert_int_eq(x.until - (end + 600), 2 * first);
	quarantine_free(q);
}
END_TEST

START_TEST(blocks_are_taken_over_and_ended_by_the_list_of_another_process)
{
	seen_t s;
	seen_t s2;
	quarantine_t *q = make_quarantine(&s);
	quarantine_t *other = make_quarantine(&s2);
	quarantine_part_t list[QUARANTINE_MAX];
	size_t n;

	crash_one_by_one(q);
	quarantine_tick(q, 1500);
	crash(q, "e", 3, parts_of(9, 0, 0), 1600);
	n = quarantine_list(q, list, QUARANTINE_MAX);
	ck_assert_uint_eq(n, 2);
	for (size_t i = 0; i < n; i++)
		quarantine_adopt(other, &list[i], 1600);
	quarantine_tick(other, 1700);
	ck_assert(blocks(other, CRASH_PART, 1700));
	ck_assert(!blocks(other, 9, 1700));
	ck_assert(quarantine_has(other, 9));
	quarantine_retain(other, NULL, 0);
	ck_assert(!blocks(other, CRASH_PART, 1700));
	ck_assert(!quarantine_has(other, 9));
	quarantine_free(q);
	quarantine_free(other);
}
END_TEST

/* The leader that listed it may be lost, and the next one know of no crash. */
START_TEST(suspicion_of_another_process_ends_without_a_further_list)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);
	quarantine_part_t x = {.part = 7, .crashes = 2, .since = 1000};

	quarantine_adopt(q, &x, 1500);
	quarantine_tick(q, 61000);
	ck_assert(quarantine_has(q, 7));
	quarantine_tick(q, 62000);
	ck_assert(!quarantine_has(q, 7));
	quarantine_free(q);
}
END_TEST

START_TEST(tables_are_bounded)
{
	seen_t s;
	quarantine_t *q = make_quarantine(&s);
	static quarantine_part_t list[QUARANTINE_MAX + 1];

	for (unsigned i = 0; i < 20000; i++) {
		char name[16];

		snprintf(name, sizeof(name), "r%u", i);
		crash(q, name, i, parts_of(i * 2 + 1, i * 2 + 2, 0), 1000 + i);
		quarantine_sound(q, i * 7 + 1, 1000 + i);
	}
	ck_assert_uint_le(quarantine_list(q, list, QUARANTINE_MAX + 1), QUARANTINE_MAX);
	quarantine_free(q);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("quarantine");
	TCase *t = tcase_create("quarantine");

	tcase_add_test(t, part_of_three_crashes_is_blocked);
	tcase_add_test(t, parts_of_a_request_that_crashes_replicas_by_itself_are_not_blocked);
	tcase_add_test(t, part_of_two_requests_that_are_held_is_blocked);
	tcase_add_test(t, sound_part_of_the_same_first_crashes_is_not_blocked);
	tcase_add_test(t, parts_of_the_same_five_crashes_are_blocked_together);
	tcase_add_test(t, crash_under_one_part_of_a_group_clears_the_others);
	tcase_add_test(t, crash_of_a_replica_that_answers_later_is_taken_back);
	tcase_add_test(t, replicas_that_crash_together_block_no_part);
	tcase_add_test(t, part_that_crashes_replicas_together_and_one_by_one_is_blocked);
	tcase_add_test(t, crash_under_a_run_that_began_after_the_crash_before_counts);
	tcase_add_test(t, part_whose_block_ran_out_is_in_doubt);
	tcase_add_test(t, blocked_part_is_probed_after_ever_longer_pauses);
	tcase_add_test(t, answer_with_the_part_ends_its_block);
	tcase_add_test(t, next_block_is_twice_as_long_and_needs_one_crash);
	tcase_add_test(t, blocks_are_taken_over_and_ended_by_the_list_of_another_process);
	tcase_add_test(t, suspicion_of_another_process_ends_without_a_further_list);
	tcase_add_test(t, tables_are_bounded);
	suite_add_tcase(s, t);
	return suite_run(s);
}
