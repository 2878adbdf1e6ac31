/* Tests of the load generator's checks and arrival times (bench/answer_check.h, bench/arrival.h).
 * Guard against a benchmark that takes a faulty stream for a good one or generates another load
 * than it was asked for. The load generator is not part of the library, so its source files are
 * included here. */
#include <stdlib.h>
// NOLINTBEGIN(bugprone-suspicious-include)
#include "../../bench/answer_check.c"
#include "../../bench/arrival.c"
#include "suite_kit.h"
// NOLINTEND(bugprone-suspicious-include)

static answer_check_t make_check(int tokens)
{
	return (answer_check_t){
		.prompt = STR("a prompt"), .expected_id = "k1", .expected_tokens = tokens};
}

/* Feeds one event with this id and index and with the text of token text_index. */
static void feed_event(answer_check_t *check, const char *id, int index, int text_index)
{
	AUTO_BUF events = {0};
	char text[TOKEN_TEXT_BYTES];

	expected_token_text(check, text_index, text);
	buf_addf(&events,
		 "data: "
		 "{\"id\":\"%s\",\"index\":%d,\"choices\":[{\"index\":0,\"text\":\"%s\"}]}\n\n",
		 id, index, text);
	/* Fed in two pieces, as the network may split the bytes anywhere. */
	answer_check_feed(check, (str_t){events.p, events.n / 2});
	answer_check_feed(check, (str_t){events.p + events.n / 2, events.n - events.n / 2});
}

START_TEST(a_complete_stream_is_good)
{
	answer_check_t check = make_check(3);

	for (int i = 0; i < 3; i++)
		feed_event(&check, "k1", i, i);
	ck_assert(!answer_check_complete(&(answer_check_t){.expected_tokens = 3, .next_index = 3}));
	answer_check_feed(&check, STR("data: [DONE]\n\n"));
	ck_assert(answer_check_complete(&check));
	answer_check_reset(&check);
}
END_TEST

START_TEST(a_stored_answer_in_one_event_is_good)
{
	answer_check_t check = make_check(3);
	AUTO_BUF text = {0};
	AUTO_BUF events = {0};
	char token_text[TOKEN_TEXT_BYTES];

	for (int i = 0; i < 3; i++) {
		expected_token_text(&check, i, token_text);
		buf_add(&text, str_c(token_text));
	}
	buf_addf(&events,
		 "data: {\"id\":\"k1\",\"index\":0,\"choices\":[{\"index\":0,\"text\":\"%s\"}]}\n\n"
		 "data: [DONE]\n\n",
		 text.p);
	answer_check_feed(&check, str_buf(&events));
	ck_assert(answer_check_complete(&check));
	check.expected_tokens = 4;
	ck_assert(!answer_check_complete(&check));
	answer_check_reset(&check);
}
END_TEST

START_TEST(each_fault_is_detected)
{
	static const struct {
		const char *id;
		int index, text_index;
		answer_fault_t fault;
	} cases[] = {
		{"k1", 0, 0, ANSWER_FAULT_REPEATED},
		{"k1", 2, 2, ANSWER_FAULT_MISSING},
		{"k2", 1, 1, ANSWER_FAULT_FOREIGN},
		{"k1", 1, 2, ANSWER_FAULT_WRONG_TEXT},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		answer_check_t check = make_check(3);

		feed_event(&check, "k1", 0, 0);
		feed_event(&check, cases[i].id, cases[i].index, cases[i].text_index);
		ck_assert_int_eq(check.fault, cases[i].fault);
		answer_check_reset(&check);
	}
}
END_TEST

START_TEST(an_early_end_and_an_error_event_are_not_complete)
{
	answer_check_t check = make_check(2);

	feed_event(&check, "k1", 0, 0);
	answer_check_feed(&check, STR("data: [DONE]\n\n"));
	ck_assert(!answer_check_complete(&check));
	ck_assert_int_eq(check.fault, ANSWER_FAULT_MISSING);
	answer_check_reset(&check);
	feed_event(&check, "k1", 0, 0);
	answer_check_feed(&check, STR("event: error\ndata: {\"error\":{}}\n\n"));
	ck_assert(check.error_received && !answer_check_complete(&check));
	answer_check_reset(&check);
	answer_check_feed(&check, STR("data: nonsense\n\n"));
	ck_assert_int_eq(check.fault, ANSWER_FAULT_MALFORMED);
	answer_check_reset(&check);
}
END_TEST

START_TEST(arrivals_follow_the_rate_with_its_bursts_and_pauses)
{
	arrival_rate_t rate = {.per_s = 20};
	unsigned count[ARRIVAL_PHASES] = {0};
	gsl_rng *rng = gsl_rng_alloc(gsl_rng_mt19937);
	double at = 0;

	ck_assert_int_eq(arrival_window_parse("x5:every 10:for 1", true, &rate.burst), STATUS_OK);
	ck_assert_int_eq(arrival_window_parse("every 5:for 2", false, &rate.pause), STATUS_OK);
	rate.pause.every_s = 7; /* so that pauses and bursts do not always coincide */
	gsl_rng_set(rng, 3);
	while ((at = arrival_next(&rate, at, rng)) < 7000)
		count[arrival_phase_at(&rate, at)]++;
	ck_assert_uint_eq(count[ARRIVAL_PAUSE], 0);
	/* 5/7 of the time, 5000 s, is not a pause; a tenth of it is burst. */
	ck_assert_uint_gt(count[ARRIVAL_STEADY], 5000 * 0.9 * 20 * 0.95);
	ck_assert_uint_lt(count[ARRIVAL_STEADY], 5000 * 0.9 * 20 * 1.05);
	ck_assert_uint_gt(count[ARRIVAL_BURST], 5000 * 0.1 * 100 * 0.95);
	ck_assert_uint_lt(count[ARRIVAL_BURST], 5000 * 0.1 * 100 * 1.05);
	ck_assert_int_eq(arrival_window_parse("x5:every 1:for 2", true, &rate.burst),
			 STATUS_INVALID);
	ck_assert_int_eq(arrival_window_parse("x5", true, &rate.burst), STATUS_INVALID);
	gsl_rng_free(rng);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("bench");
	TCase *t = tcase_create("bench");

	suite_add_tcase(s, t);
	tcase_add_test(t, a_complete_stream_is_good);
	tcase_add_test(t, a_stored_answer_in_one_event_is_good);
	tcase_add_test(t, each_fault_is_detected);
	tcase_add_test(t, an_early_end_and_an_error_event_are_not_complete);
	tcase_add_test(t, arrivals_follow_the_rate_with_its_bursts_and_pauses);
	return suite_run(s);
}
