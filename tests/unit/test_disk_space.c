/* Tests of how a disk is shared between log and snapshots (policy/disk_space.h). Guard against a
 * log that leaves no room for the snapshot that is to cut it. */
#include "policy/disk_space.h"
#include "suite_kit.h"

#define KIB 1024ull
#define MIB (1024 * KIB)

START_TEST(the_log_waits_before_it_uses_the_space_of_the_snapshot)
{
	static const struct {
		disk_space_t d;
		disk_space_verdict_t want;
	} cases[] = {
		{{.free = DISK_SPACE_UNKNOWN, .removable = 8 * MIB, .queued = MIB},
		 DISK_SPACE_AMPLE},
		{{.free = 100 * MIB, .removable = 8 * MIB, .queued = MIB}, DISK_SPACE_AMPLE},
		{{.free = 3 * MIB, .removable = 8 * MIB, .queued = MIB}, DISK_SPACE_AMPLE},
		{{.free = 3 * MIB - 1, .removable = 8 * MIB, .queued = MIB}, DISK_SPACE_CUT},
		{{.free = 2 * MIB, .removable = 8 * MIB, .queued = MIB}, DISK_SPACE_CUT},
		{{.free = 2 * MIB - 1, .removable = 8 * MIB, .queued = MIB}, DISK_SPACE_WAIT},
		{{.free = 0, .removable = 8 * MIB, .queued = MIB}, DISK_SPACE_WAIT},
		/* A larger state needs more. */
		{{.free = 21 * MIB, .removable = 8 * MIB, .state = 10 * MIB, .queued = MIB},
		 DISK_SPACE_CUT},
		{{.free = 20 * MIB, .removable = 8 * MIB, .state = 10 * MIB, .queued = MIB},
		 DISK_SPACE_WAIT},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		ck_assert_int_eq(disk_space_decide(&cases[i].d), cases[i].want);
}
END_TEST

/* A wait that frees nothing would stop a replica whose disk others have filled. */
START_TEST(nothing_waits_for_a_snapshot_that_frees_nothing)
{
	disk_space_t d = {.free = 100 * KIB, .removable = 100 * KIB, .queued = 50 * KIB};

	ck_assert_int_eq(disk_space_decide(&d), DISK_SPACE_AMPLE);
}
END_TEST

START_TEST(a_vote_does_not_wait_for_space)
{
	disk_space_t d = {.free = 100 * KIB, .removable = 8 * MIB, .queued = 100};

	ck_assert_int_eq(disk_space_decide(&d), DISK_SPACE_CUT);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("disk_space");
	TCase *t = tcase_create("disk_space");

	suite_add_tcase(s, t);
	tcase_add_test(t, the_log_waits_before_it_uses_the_space_of_the_snapshot);
	tcase_add_test(t, nothing_waits_for_a_snapshot_that_frees_nothing);
	tcase_add_test(t, a_vote_does_not_wait_for_space);
	return suite_run(s);
}
