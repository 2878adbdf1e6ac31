/* Tests of the memory for batch lots (policy/lots_memory.h). Guard against a control process that
 * goes over the memory of its VM: by lots, by the snapshot of them, or by the log. */
#include "policy/lots_memory.h"
#include "suite_kit.h"

#define MIB ((size_t)1 << 20)

START_TEST(lots_and_log_have_a_part_of_the_memory_each)
{
	static const struct {
		lots_memory_t m;
		lots_memory_verdict_t want;
	} cases[] = {
		{{.memory = 0, .lots = 1000 * MIB, .log = 1000 * MIB, .lot = MIB},
		 LOTS_MEMORY_AMPLE},
		{{.memory = 200 * MIB, .lot = 4 * MIB}, LOTS_MEMORY_AMPLE},
		{{.memory = 200 * MIB, .lots = 65 * MIB, .lot = 4 * MIB}, LOTS_MEMORY_AMPLE},
		{{.memory = 200 * MIB, .lots = 67 * MIB, .lot = 4 * MIB}, LOTS_MEMORY_LOTS_FULL},
		{{.memory = 200 * MIB, .lots = 60 * MIB, .waiting = 8 * MIB, .lot = 4 * MIB},
		 LOTS_MEMORY_LOTS_FULL},
		{{.memory = 200 * MIB, .log = 19 * MIB, .lot = 4 * MIB}, LOTS_MEMORY_AMPLE},
		{{.memory = 200 * MIB, .log = 21 * MIB, .lot = 4 * MIB}, LOTS_MEMORY_LOG_FULL},
		{{.memory = 200 * MIB, .log = 15 * MIB, .waiting = 8 * MIB, .lot = 4 * MIB},
		 LOTS_MEMORY_LOG_FULL},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		ck_assert_int_eq(lots_memory_decide(&cases[i].m), cases[i].want);
}
END_TEST

/* Lots, a snapshot of them and the log must leave some of the memory to everything else. */
START_TEST(the_parts_fit_into_the_memory)
{
	size_t memory = 280 * MIB;

	ck_assert_uint_le(2 * lots_memory_lots_max(memory) + lots_memory_log_max(memory),
			  memory / 100 * 85);
}
END_TEST

/* Otherwise no lot could be opened any more once the log has filled up to the size at which the
 * next snapshot is begun. */
START_TEST(the_largest_lot_fits_beside_a_log_that_is_about_to_be_cut)
{
	for (size_t memory = 64 * MIB; memory <= 4096 * MIB; memory *= 2) {
		lots_memory_t m = {.memory = memory,
				   .log = lots_memory_log_max(memory) / 4 * 3,
				   .lot = 4 * MIB};

		ck_assert_int_eq(lots_memory_decide(&m), LOTS_MEMORY_AMPLE);
	}
}
END_TEST

int main(void)
{
	Suite *s = suite_create("lots_memory");
	TCase *t = tcase_create("lots_memory");

	suite_add_tcase(s, t);
	tcase_add_test(t, lots_and_log_have_a_part_of_the_memory_each);
	tcase_add_test(t, the_parts_fit_into_the_memory);
	tcase_add_test(t, the_largest_lot_fits_beside_a_log_that_is_about_to_be_cut);
	return suite_run(s);
}
