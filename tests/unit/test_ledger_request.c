/* Tests of the ledger (state/ledger.h): requests under idempotency keys, and lost sessions. Guard
 * against a request that runs twice although it must not, and against one that is lost or gets two
 * outcomes when its entry is lost. */
#include "ledger_kit.h"
#include "suite_kit.h"

static ledger_t *ledger;

static void setup(void)
{
	ledger = ledger_new();
}

static void teardown(void)
{
	ledger_free(ledger);
}

/* A caller resends a request whose answer it did not get. It must get the stored outcome, which no
 * later one replaces. */
START_TEST(the_same_key_and_digest_are_one_request)
{
	AUTO_RES first = accept_request(ledger, "k", 7, true, 1);
	AUTO_RES again = accept_request(ledger, "k", 7, true, 2);
	AUTO_RES other = accept_request(ledger, "k", 8, true, 1);
	AUTO_RES end = finish_request(ledger, "k", WIRE_DONE, "answer");
	AUTO_RES resend = finish_request(ledger, "k", WIRE_DONE, "answer");
	AUTO_RES late = finish_request(ledger, "k", WIRE_FAILED, "other");
	AUTO_RES read = accept_request(ledger, "k", 7, true, 2);
	ledger_stats_t st;

	ck_assert(first.status == STATUS_OK && first.record.fresh);
	ck_assert(again.status == STATUS_OK && !again.record.fresh && again.record.session == 1);
	ck_assert_int_eq(other.status, STATUS_CONFLICT);
	ck_assert(end.record.fresh && !late.record.fresh && !resend.record.fresh);
	ck_assert(resend.status == STATUS_OK && late.status == STATUS_CONFLICT);
	ck_assert(late.record.state == WIRE_DONE && bytes_are(late.record.result, "answer"));
	ck_assert(read.record.state == WIRE_DONE && bytes_are(read.record.result, "answer"));
	ledger_get_stats(ledger, &st);
	ck_assert_int_eq(st.late_dropped, 1);
	ck_assert_int_eq(st.requests, 1);
}
END_TEST

/* Two entries, or one entry twice, must not both send a call that must not run twice. */
START_TEST(a_request_has_one_attempt_token)
{
	AUTO_RES made = accept_request(ledger, "k", 7, false, 1);
	AUTO_RES stranger = attempt_request(ledger, "k", 9, 2);
	AUTO_RES first = attempt_request(ledger, "k", 5, 1);
	AUTO_RES again = attempt_request(ledger, "k", 5, 1);
	AUTO_RES other = attempt_request(ledger, "k", 6, 1);
	AUTO_RES end = finish_request(ledger, "k", WIRE_DONE, "sent");
	AUTO_RES late = attempt_request(ledger, "k", 5, 1);

	ck_assert_int_eq(stranger.status, STATUS_CONFLICT);
	ck_assert_int_eq(first.status, STATUS_OK);
	ck_assert_int_eq(again.status, STATUS_OK);
	ck_assert_int_eq(other.status, STATUS_CONFLICT);
	ck_assert_int_eq(late.status, STATUS_CONFLICT);
	ck_assert(late.record.state == WIRE_DONE && bytes_are(late.record.result, "sent"));
}
END_TEST

/* An attempted request that must not run twice fails, as it may have run. The others are leased to
 * another entry. */
START_TEST(requests_of_a_lost_session_go_to_another_entry)
{
	AUTO_RES a = accept_request(ledger, "repeat", 1, true, 1);
	AUTO_RES b = accept_request(ledger, "quote", 2, false, 1);
	AUTO_RES c = accept_request(ledger, "sent", 3, false, 1);
	AUTO_RES begun = attempt_request(ledger, "sent", 5, 1);
	AUTO_RES lost = lose_session(ledger, 1);
	AUTO_RES sent = accept_request(ledger, "sent", 3, false, 2);
	AUTO_RES late = finish_request(ledger, "sent", WIRE_DONE, "too late");
	AUTO_RES lease = lease_items(ledger, 2, 1, 10);
	AUTO_RES again = lease_items(ledger, 2, 1, 10);
	AUTO_RES stale = attempt_request(ledger, "quote", 6, 1);
	AUTO_RES begin = attempt_request(ledger, "quote", 6, 2);

	ck_assert_int_eq(begun.status, STATUS_OK);
	ck_assert(sent.record.state == WIRE_FAILED && !sent.record.fresh);
	ck_assert_int_eq(sent.record.verdict, VERDICT_MAY_HAVE_RUN);
	ck_assert_int_eq(late.record.state, WIRE_FAILED);
	ck_assert_int_eq(lease.items.items_len, 2);
	ck_assert_int_eq(again.items.items_len, 2);
	ck_assert(lease.items.items_val[0].job.wire_bytes_t_len == 0);
	ck_assert(bytes_are(lease.items.items_val[0].key, "repeat"));
	ck_assert(bytes_are(lease.items.items_val[0].path, "/v1/x"));
	ck_assert(bytes_are(lease.items.items_val[0].body, "body"));
	ck_assert(bytes_are(lease.items.items_val[1].key, "quote"));
	ck_assert(!lease.items.items_val[1].repeatable);
	ck_assert_int_eq(stale.status, STATUS_CANCELLED);
	ck_assert_int_eq(begin.status, STATUS_OK);
}
END_TEST

/* An entry that lost its session cannot say whether the request runs at the entry that took over.
 * Only the result of a repeatable request is taken from it. */
START_TEST(only_the_session_that_holds_a_request_can_fail_it)
{
	AUTO_RES a = accept_request(ledger, "k", 1, true, 1);
	AUTO_RES b = accept_request(ledger, "quote", 1, false, 1);
	AUTO_RES lost = lose_session(ledger, 1);
	AUTO_RES lease = lease_items(ledger, 2, 1, 10);
	AUTO_RES begin = attempt_request(ledger, "quote", 5, 2);
	AUTO_RES refused = finish_request_by(ledger, "k", WIRE_FAILED, "not run", 1);
	AUTO_RES unsent = finish_request_by(ledger, "quote", WIRE_FAILED, "not run", 1);
	AUTO_RES forged = finish_request_by(ledger, "quote", WIRE_DONE, "sent", 1);
	AUTO_RES result = finish_request_by(ledger, "k", WIRE_DONE, "answer", 1);
	AUTO_RES sent = finish_request_by(ledger, "quote", WIRE_DONE, "sent", 2);

	ck_assert_int_eq(begin.status, STATUS_OK);
	ck_assert(refused.status == STATUS_CONFLICT && refused.record.state == WIRE_ACCEPTED);
	ck_assert(unsent.status == STATUS_CONFLICT && unsent.record.state == WIRE_ATTEMPTED);
	ck_assert_int_eq(forged.status, STATUS_CONFLICT);
	ck_assert(result.status == STATUS_OK && result.record.state == WIRE_DONE);
	ck_assert(sent.status == STATUS_OK && sent.record.fresh);
}
END_TEST

START_TEST(a_returned_request_is_leased_again_and_ends)
{
	AUTO_RES a = accept_request(ledger, "k", 1, true, 1);
	AUTO_RES lost = lose_session(ledger, 1);
	AUTO_RES one = lease_items(ledger, 2, 1, 10);
	unsigned back = commit_one(ledger, 2, one.items.items_val, false, WIRE_BLAME_NONE, "");
	AUTO_RES two = lease_items(ledger, 3, 1, 10);
	unsigned stale = commit_one(ledger, 2, one.items.items_val, true, WIRE_BLAME_NONE, "old");
	unsigned done = commit_one(ledger, 3, two.items.items_val, true, WIRE_BLAME_NONE, "new");
	AUTO_RES read = accept_request(ledger, "k", 1, true, 3);

	ck_assert_int_eq(back, 1);
	ck_assert_int_eq(two.items.items_len, 1);
	ck_assert_int_eq(stale, 0);
	ck_assert_int_eq(done, 1);
	ck_assert(read.record.state == WIRE_DONE && bytes_are(read.record.result, "new"));
}
END_TEST

/* Nobody would notice that an entry without a session is gone, so its work would never be handed
 * out again. */
START_TEST(a_lost_session_gets_no_work)
{
	AUTO_RES lost = lose_session(ledger, 1);
	AUTO_RES accept = accept_request(ledger, "k", 1, true, 1);
	AUTO_RES lease;

	submit_job(ledger, "paper", "lot", 2, WALL_START_MS);
	lease = lease_items(ledger, 1, 1, 10);
	ck_assert_int_eq(accept.status, STATUS_CANCELLED);
	ck_assert_int_eq(lease.status, STATUS_CANCELLED);
	ck_assert_int_eq(lease.items.items_len, 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("ledger_request");
	TCase *t = tcase_create("ledger_request");

	suite_add_tcase(s, t);
	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, the_same_key_and_digest_are_one_request);
	tcase_add_test(t, a_request_has_one_attempt_token);
	tcase_add_test(t, requests_of_a_lost_session_go_to_another_entry);
	tcase_add_test(t, only_the_session_that_holds_a_request_can_fail_it);
	tcase_add_test(t, a_returned_request_is_leased_again_and_ends);
	tcase_add_test(t, a_lost_session_gets_no_work);
	return suite_run(s);
}
