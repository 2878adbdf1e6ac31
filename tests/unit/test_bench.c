/* The load tool's own decisions; it isn't part of the library, so its files are taken in here. */
#include <stdlib.h>
// NOLINTBEGIN(bugprone-suspicious-include)
#include "../../bench/answer_check.c"
#include "../../bench/arrival.c"
#include "suite_kit.h"
// NOLINTEND(bugprone-suspicious-include)

static answer_check_t check_of(int tokens)
{
	return (answer_check_t){
		.prompt = STR("a prompt"), .expected_id = "k1", .expected_tokens = tokens};
}

static void feed(answer_check_t *c, const char *id, int index, int text_of)
{
	AUTO_BUF line = {0};
	char text[TOKEN_TEXT_BYTES];

	expected_token_text(c, text_of, text);
	buf_addf(&line,
		 "data: "
		 "{\"id\":\"%s\",\"index\":%d,\"choices\":[{\"index\":0,\"text\":\"%s\"}]}\n\n",
		 id, index, text);
	/* In two pieces, as the network may cut anywhere. */
	answer_check_feed(c, (str_t){line.p, line.n / 2});
	answer_check_feed(c, (str_t){line.p + line.n / 2, line.n - line.n / 2});
}

START_TEST(a_whole_stream_is_good)
{
	answer_check_t c = check_of(3);

	for (int i = 0; i < 3; i++)
		feed(&c, "k1", i, i);
	ck_assert(!answer_check_complete(&(answer_check_t){.expected_tokens = 3, .next_index = 3}));
	answer_check_feed(&c, STR("data: [DONE]\n\n"));
	ck_assert(answer_check_complete(&c));
	answer_check_reset(&c);
}
END_TEST

START_TEST(a_stored_answer_is_one_event)
{
	answer_check_t c = check_of(3);
	AUTO_BUF text = {0};
	AUTO_BUF line = {0};
	char one[TOKEN_TEXT_BYTES];

	for (int i = 0; i < 3; i++) {
		expected_token_text(&c, i, one);
		buf_add(&text, str_c(one));
	}
	buf_addf(&line,
		 "data: {\"id\":\"k1\",\"index\":0,\"choices\":[{\"index\":0,\"text\":\"%s\"}]}\n\n"
		 "data: [DONE]\n\n",
		 text.p);
	answer_check_feed(&c, str_buf(&line));
	ck_assert(answer_check_complete(&c));
	c.expected_tokens = 4;
	ck_assert(!answer_check_complete(&c));
	answer_check_reset(&c);
}
END_TEST

START_TEST(each_fault_is_seen)
{
	static const struct {
		const char *id;
		int index, text_of;
		answer_fault_t fault;
	} second[] = {
		{"k1", 0, 0, ANSWER_FAULT_REPEATED},
		{"k1", 2, 2, ANSWER_FAULT_MISSING},
		{"k2", 1, 1, ANSWER_FAULT_FOREIGN},
		{"k1", 1, 2, ANSWER_FAULT_WRONG_TEXT},
	};

	for (size_t i = 0; i < sizeof(second) / sizeof(second[0]); i++) {
		answer_check_t c = check_of(3);

		feed(&c, "k1", 0, 0);
		feed(&c, second[i].id, second[i].index, second[i].text_of);
		ck_assert_int_eq(c.fault, second[i].fault);
		answer_check_reset(&c);
	}
}
END_TEST

START_TEST(an_early_end_and_an_error_event_are_not_whole)
{
	answer_check_t c = check_of(2);

	feed(&c, "k1", 0, 0);
	answer_check_feed(&c, STR("data: [DONE]\n\n"));
	ck_assert(!answer_check_complete(&c));
	ck_assert_int_eq(c.fault, ANSWER_FAULT_MISSING);
	answer_check_reset(&c);
	feed(&c, "k1", 0, 0);
	answer_check_feed(&c, STR("event: error\ndata: {\"error\":{}}\n\n"));
	ck_assert(c.error_received && !answer_check_complete(&c));
	answer_check_reset(&c);
	answer_check_feed(&c, STR("data: nonsense\n\n"));
	ck_assert_int_eq(c.fault, ANSWER_FAULT_MALFORMED);
	answer_check_reset(&c);
}
END_TEST

START_TEST(arrivals_follow_the_rate_its_bursts_and_pauses)
{
	arrival_rate_t r = {.per_s = 20};
	unsigned count[ARRIVAL_PHASES] = {0};
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	double at = 0;

	ck_assert_int_eq(arrival_window_parse("x5:every 10:for 1", true, &r.burst), STATUS_OK);
	ck_assert_int_eq(arrival_window_parse("every 5:for 2", false, &r.pause), STATUS_OK);
	r.pause.every_s = 7; /* so that pauses and bursts don't always fall together */
	gsl_rng_set(rng, 3);
	while ((at = arrival_next(&r, at, rng)) < 7000)
		count[arrival_phase_at(&r, at)]++;
	ck_assert_uint_eq(count[ARRIVAL_PAUSE], 0);
	/* 5/7 of the time isn't a pause; a tenth of that is burst. */
	ck_assert_uint_gt(count[ARRIVAL_STEADY], 5000 * 0.9 * 20 * 0.95);
	ck_assert_uint_lt(count[ARRIVAL_STEADY], 5000 * 0.9 * 20 * 1.05);
	ck_assert_uint_gt(count[ARRIVAL_BURST], 5000 * 0.1 * 100 * 0.95);
	ck_assert_uint_lt(count[ARRIVAL_BURST], 5000 * 0.1 * 100 * 1.05);
	ck_assert_int_eq(arrival_window_parse("x5:every 1:for 2", true, &r.burst), STATUS_INVALID);
	ck_assert_int_eq(arrival_window_parse("x5", true, &r.burst), STATUS_INVALID);
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
