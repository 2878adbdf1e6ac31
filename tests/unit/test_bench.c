/* The load tool's own decisions; it isn't part of the library, so its files are taken in here. */
#include <stdlib.h>
// NOLINTBEGIN(bugprone-suspicious-include)
#include "../../bench/bn_check.c"
#include "../../bench/bn_rate.c"
#include "suite_kit.h"
// NOLINTEND(bugprone-suspicious-include)

static bn_check_t check_of(int tokens)
{
	return (bn_check_t){.prompt = STR("a prompt"), .key = "k1", .tokens = tokens};
}

static void feed(bn_check_t *c, const char *id, int index, int text_of)
{
	AUTO_BUF line = {0};
	char text[TEXT_BYTES];

	expected_text(c, text_of, text);
	buf_addf(&line,
		 "data: "
		 "{\"id\":\"%s\",\"index\":%d,\"choices\":[{\"index\":0,\"text\":\"%s\"}]}\n\n",
		 id, index, text);
	/* In two pieces, as the network may cut anywhere. */
	bn_check_feed(c, (str_t){line.p, line.n / 2});
	bn_check_feed(c, (str_t){line.p + line.n / 2, line.n - line.n / 2});
}

START_TEST(a_whole_stream_is_good)
{
	bn_check_t c = check_of(3);

	for (int i = 0; i < 3; i++)
		feed(&c, "k1", i, i);
	ck_assert(!bn_check_whole(&(bn_check_t){.tokens = 3, .next = 3}));
	bn_check_feed(&c, STR("data: [DONE]\n\n"));
	ck_assert(bn_check_whole(&c));
	bn_check_reset(&c);
}
END_TEST

START_TEST(a_stored_answer_is_one_event)
{
	bn_check_t c = check_of(3);
	AUTO_BUF text = {0};
	AUTO_BUF line = {0};
	char one[TEXT_BYTES];

	for (int i = 0; i < 3; i++) {
		expected_text(&c, i, one);
		buf_add(&text, str_c(one));
	}
	buf_addf(&line,
		 "data: {\"id\":\"k1\",\"index\":0,\"choices\":[{\"index\":0,\"text\":\"%s\"}]}\n\n"
		 "data: [DONE]\n\n",
		 text.p);
	bn_check_feed(&c, str_buf(&line));
	ck_assert(bn_check_whole(&c));
	c.tokens = 4;
	ck_assert(!bn_check_whole(&c));
	bn_check_reset(&c);
}
END_TEST

START_TEST(each_fault_is_seen)
{
	static const struct {
		const char *id;
		int index, text_of;
		bn_fault_t fault;
	} second[] = {
		{"k1", 0, 0, BN_REPEATED},
		{"k1", 2, 2, BN_MISSING},
		{"k2", 1, 1, BN_FOREIGN},
		{"k1", 1, 2, BN_WRONG_TEXT},
	};

	for (size_t i = 0; i < sizeof(second) / sizeof(second[0]); i++) {
		bn_check_t c = check_of(3);

		feed(&c, "k1", 0, 0);
		feed(&c, second[i].id, second[i].index, second[i].text_of);
		ck_assert_int_eq(c.fault, second[i].fault);
		bn_check_reset(&c);
	}
}
END_TEST

START_TEST(an_early_end_and_an_error_event_are_not_whole)
{
	bn_check_t c = check_of(2);

	feed(&c, "k1", 0, 0);
	bn_check_feed(&c, STR("data: [DONE]\n\n"));
	ck_assert(!bn_check_whole(&c));
	ck_assert_int_eq(c.fault, BN_MISSING);
	bn_check_reset(&c);
	feed(&c, "k1", 0, 0);
	bn_check_feed(&c, STR("event: error\ndata: {\"error\":{}}\n\n"));
	ck_assert(c.error && !bn_check_whole(&c));
	bn_check_reset(&c);
	bn_check_feed(&c, STR("data: nonsense\n\n"));
	ck_assert_int_eq(c.fault, BN_MALFORMED);
	bn_check_reset(&c);
}
END_TEST

START_TEST(arrivals_follow_the_rate_its_bursts_and_pauses)
{
	bn_rate_t r = {.per_s = 20};
	unsigned count[BN_PHASES] = {0};
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	double at = 0;

	ck_assert_int_eq(bn_window_parse("x5:every 10:for 1", true, &r.burst), STATUS_OK);
	ck_assert_int_eq(bn_window_parse("every 5:for 2", false, &r.gap), STATUS_OK);
	r.gap.every_s = 7; /* so that pauses and bursts don't always fall together */
	gsl_rng_set(rng, 3);
	while ((at = bn_rate_next(&r, at, rng)) < 7000)
		count[bn_rate_phase(&r, at)]++;
	ck_assert_uint_eq(count[BN_GAP], 0);
	/* 5/7 of the time isn't a pause; a tenth of that is burst. */
	ck_assert_uint_gt(count[BN_STEADY], 5000 * 0.9 * 20 * 0.95);
	ck_assert_uint_lt(count[BN_STEADY], 5000 * 0.9 * 20 * 1.05);
	ck_assert_uint_gt(count[BN_BURST], 5000 * 0.1 * 100 * 0.95);
	ck_assert_uint_lt(count[BN_BURST], 5000 * 0.1 * 100 * 1.05);
	ck_assert_int_eq(bn_window_parse("x5:every 1:for 2", true, &r.burst), STATUS_INVALID);
	ck_assert_int_eq(bn_window_parse("x5", true, &r.burst), STATUS_INVALID);
	gsl_rng_free(rng);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("bench");
	TCase *t = tcase_create("bench");

	suite_add_tcase(s, t);
	tcase_add_test(t, a_whole_stream_is_good);
	tcase_add_test(t, a_stored_answer_is_one_event);
	tcase_add_test(t, each_fault_is_seen);
	tcase_add_test(t, an_early_end_and_an_error_event_are_not_whole);
	tcase_add_test(t, arrivals_follow_the_rate_its_bursts_and_pauses);
	return suite_run(s);
}
