/* Unit tests of the ledger: requests and lost sessions. */
#include "ledger_kit.h"
#include "suite_kit.h"

static ledger_t *l;

static void setup(void)
{
	l = ledger_new();
}

static void teardown(void)
{
	ledger_free(l);
}

START_TEST(same_key_and_digest_is_one_request)
{
	AUTO_RES first = kit_accept(l, "k", 7, true, 1);
	AUTO_RES again = kit_accept(l, "k", 7, true, 2);
	AUTO_RES other = kit_accept(l, "k", 8, true, 1);
	AUTO_RES end = kit_finish(l, "k", WIRE_DONE, "answer");
	AUTO_RES resend = kit_finish(l, "k", WIRE_DONE, "answer");
	AUTO_RES late = kit_finish(l, "k", WIRE_FAILED, "other");
	AUTO_RES read = kit_accept(l, "k", 7, true, 2);
	ledger_stats_t st;

	ck_assert(first.status == STATUS_OK && first.record.fresh);
	ck_assert(again.status == STATUS_OK && !again.record.fresh && again.record.session == 1);
	ck_assert_int_eq(other.status, STATUS_CONFLICT);
	ck_assert(end.record.fresh && !late.record.fresh && !resend.record.fresh);
	ck_assert(resend.status == STATUS_OK && late.status == STATUS_CONFLICT);
	ck_assert(late.record.state == WIRE_DONE && kit_is(late.record.result, "answer"));
	ck_assert(read.record.state == WIRE_DONE && kit_is(read.record.result, "answer"));
	ledger_get_stats(l, &st);
	ck_assert_int_eq(st.late_dropped, 1);
	ck_assert_int_eq(st.requests, 1);
}
END_TEST

START_TEST(one_attempt_token_ever)
{
	AUTO_RES made = kit_accept(l, "k", 7, false, 1);
	AUTO_RES stranger = kit_attempt(l, "k", 9, 2);
	AUTO_RES first = kit_attempt(l, "k", 5, 1);
	AUTO_RES again = kit_attempt(l, "k", 5, 1);
	AUTO_RES other = kit_attempt(l, "k", 6, 1);
	AUTO_RES end = kit_finish(l, "k", WIRE_DONE, "sent");
	AUTO_RES late = kit_attempt(l, "k", 5, 1);

	ck_assert_int_eq(stranger.status, STATUS_CONFLICT);
	ck_assert_int_eq(first.status, STATUS_OK);
	ck_assert_int_eq(again.status, STATUS_OK);
	ck_assert_int_eq(other.status, STATUS_CONFLICT);
	ck_assert_int_eq(late.status, STATUS_CONFLICT);
	ck_assert(late.record.state == WIRE_DONE && kit_is(late.record.result, "sent"));
}
END_TEST

START_TEST(lost_session_leaves_orphans)
{
	AUTO_RES a = kit_accept(l, "repeat", 1, true, 1);
	AUTO_RES b = kit_accept(l, "quote", 2, false, 1);
	AUTO_RES c = kit_accept(l, "sent", 3, false, 1);
	AUTO_RES begun = kit_attempt(l, "sent", 5, 1);
	AUTO_RES lost = kit_lost(l, 1);
	AUTO_RES sent = kit_accept(l, "sent", 3, false, 2);
	AUTO_RES late = kit_finish(l, "sent", WIRE_DONE, "too late");
	AUTO_RES lease = kit_lease(l, 2, 1, 10);
	AUTO_RES again = kit_lease(l, 2, 1, 10);
	AUTO_RES stale = kit_attempt(l, "quote", 6, 1);
	AUTO_RES begin = kit_attempt(l, "quote", 6, 2);

	ck_assert_int_eq(begun.status, STATUS_OK);
	ck_assert(sent.record.state == WIRE_FAILED && !sent.record.fresh);
	ck_assert_int_eq(sent.record.verdict, VERDICT_MAY_HAVE_RUN);
	ck_assert_int_eq(late.record.state, WIRE_FAILED);
	ck_assert_int_eq(lease.items.items_len, 2);
	ck_assert_int_eq(again.items.items_len, 2);
	ck_assert(lease.items.items_val[0].job.wire_bytes_t_len == 0);
	ck_assert(kit_is(lease.items.items_val[0].key, "repeat"));
	ck_assert(kit_is(lease.items.items_val[0].path, "/v1/x"));
	ck_assert(kit_is(lease.items.items_val[0].body, "body"));
	ck_assert(kit_is(lease.items.items_val[1].key, "quote"));
	ck_assert(!lease.items.items_val[1].repeatable);
	ck_assert_int_eq(stale.status, STATUS_CANCELLED);
	ck_assert_int_eq(begin.status, STATUS_OK);
}
END_TEST

START_TEST(only_the_holder_says_not_run)
{
	AUTO_RES a = kit_accept(l, "k", 1, true, 1);
	AUTO_RES b = kit_accept(l, "quote", 1, false, 1);
	AUTO_RES lost = kit_lost(l, 1);
	AUTO_RES lease = kit_lease(l, 2, 1, 10);
	AUTO_RES begin = kit_attempt(l, "quote", 5, 2);
	AUTO_RES refused = kit_finish_by(l, "k", WIRE_FAILED, "not run", 1);
	AUTO_RES unsent = kit_finish_by(l, "quote", WIRE_FAILED, "not run", 1);
	AUTO_RES forged = kit_finish_by(l, "quote", WIRE_DONE, "sent", 1);
	AUTO_RES result = kit_finish_by(l, "k", WIRE_DONE, "answer", 1);
	AUTO_RES sent = kit_finish_by(l, "quote", WIRE_DONE, "sent", 2);

	ck_assert_int_eq(begin.status, STATUS_OK);
	ck_assert(refused.status == STATUS_CONFLICT && refused.record.state == WIRE_ACCEPTED);
	ck_assert(unsent.status == STATUS_CONFLICT && unsent.record.state == WIRE_ATTEMPTED);
	ck_assert_int_eq(forged.status, STATUS_CONFLICT);
	ck_assert(result.status == STATUS_OK && result.record.state == WIRE_DONE);
	ck_assert(sent.status == STATUS_OK && sent.record.fresh);
}
END_TEST

START_TEST(orphan_is_given_back_and_ends)
{
	AUTO_RES a = kit_accept(l, "k", 1, true, 1);
	AUTO_RES lost = kit_lost(l, 1);
	AUTO_RES one = kit_lease(l, 2, 1, 10);
	unsigned back = kit_done_one(l, 2, one.items.items_val, false, WIRE_BLAME_NONE, "");
	AUTO_RES two = kit_lease(l, 3, 1, 10);
	unsigned stale = kit_done_one(l, 2, one.items.items_val, true, WIRE_BLAME_NONE, "old");
	unsigned done = kit_done_one(l, 3, two.items.items_val, true, WIRE_BLAME_NONE, "new");
	AUTO_RES read = kit_accept(l, "k", 1, true, 3);

	ck_assert_int_eq(back, 1);
	ck_assert_int_eq(two.items.items_len, 1);
	ck_assert_int_eq(stale, 0);
	ck_assert_int_eq(done, 1);
	ck_assert(read.record.state == WIRE_DONE && kit_is(read.record.result, "new"));
}
END_TEST

START_TEST(lost_session_gets_nothing)
{
	AUTO_RES lost = kit_lost(l, 1);
	AUTO_RES accept = kit_accept(l, "k", 1, true, 1);
	AUTO_RES lease;

	kit_job(l, "paper", "lot", 2, KIT_NOW_MS);
	lease = kit_lease(l, 1, 1, 10);
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
	tcase_add_test(t, same_key_and_digest_is_one_request);
	tcase_add_test(t, one_attempt_token_ever);
	tcase_add_test(t, lost_session_leaves_orphans);
	tcase_add_test(t, only_the_holder_says_not_run);
	tcase_add_test(t, orphan_is_given_back_and_ends);
	tcase_add_test(t, lost_session_gets_nothing);
	return suite_run(s);
}
