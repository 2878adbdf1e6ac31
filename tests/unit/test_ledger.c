/* Tests of the ledger (state/ledger.h): jobs, leases of items, results and snapshots. Guard
 * against an item that is lost, run for ever or given two results when messages are resent,
 * sessions are lost or jobs cancelled. */
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

/* An entry resends a step whose answer it did not get. Repeated steps must change nothing. */
START_TEST(the_steps_of_a_job_can_be_repeated)
{
	uint64_t digest = items_digest(10);

	for (int i = 0; i < 3; i++) {
		AUTO_RES open = open_job(ledger, "paper", "lot", 10, digest, WALL_START_MS);
		AUTO_RES gap = upload_items(ledger, "paper", "lot", 8, 2);
		AUTO_RES head = upload_items(ledger, "paper", "lot", 0, 4);
		AUTO_RES early = apply_job_cmd(ledger, WIRE_LEDGER_JOB_SEAL, "paper", "lot");
		AUTO_RES tail = upload_items(ledger, "paper", "lot", 3, 7);
		AUTO_RES seal = apply_job_cmd(ledger, WIRE_LEDGER_JOB_SEAL, "paper", "lot");

		ck_assert_int_eq(open.status, STATUS_OK);
		ck_assert_int_eq(open.job.fresh, i == 0);
		ck_assert_int_eq(gap.status, i ? STATUS_OK : STATUS_INVALID);
		ck_assert_int_eq(head.status, STATUS_OK);
		ck_assert_int_eq(early.status, i ? STATUS_OK : STATUS_INVALID);
		ck_assert_int_eq(tail.job.received, 10);
		ck_assert_int_eq(seal.status, STATUS_OK);
		ck_assert_int_eq(seal.job.fresh, i == 0);
		ck_assert(seal.job.sealed && seal.job.waiting == 10);
	}
	AUTO_RES other = open_job(ledger, "paper", "lot", 10, digest + 1, WALL_START_MS);

	ck_assert_int_eq(other.status, STATUS_CONFLICT);
}
END_TEST

/* The digest covers all items: a wrong one means that the upload was damaged or mixed up. */
START_TEST(a_job_with_a_wrong_digest_is_removed)
{
	AUTO_RES open = open_job(ledger, "paper", "lot", 3, 77, WALL_START_MS);
	AUTO_RES items = upload_items(ledger, "paper", "lot", 0, 3);
	AUTO_RES unsealed = lease_items(ledger, 1, 1, 10);
	AUTO_RES seal = apply_job_cmd(ledger, WIRE_LEDGER_JOB_SEAL, "paper", "lot");
	AUTO_QRES q = query_job(ledger, "paper", "lot");

	ck_assert_int_eq(unsealed.items.items_len, 0);
	ck_assert_int_eq(seal.status, STATUS_INVALID);
	ck_assert_int_eq(q.status, STATUS_NOT_FOUND);
}
END_TEST

/* An entry whose lease answer was lost resends the lease. New items in the answer would leave the
 * first ones held by an entry that does not have them. */
START_TEST(a_resent_lease_returns_the_same_items)
{
	submit_job(ledger, "paper", "lot", 10, WALL_START_MS);
	AUTO_RES a = lease_items(ledger, 1, 1, 4);

	restore_from_snapshot(&ledger);
	AUTO_RES b = lease_items(ledger, 1, 1, 4);
	AUTO_RES c = lease_items(ledger, 1, 2, 4);
	AUTO_RES old = lease_items(ledger, 1, 1, 4);

	ck_assert_int_eq(a.items.items_len, 4);
	ck_assert_int_eq(b.items.items_len, 4);
	for (int i = 0; i < 4; i++) {
		ck_assert_int_eq(a.items.items_val[i].index, b.items.items_val[i].index);
		ck_assert_int_eq(a.items.items_val[i].attempt, b.items.items_val[i].attempt);
	}
	ck_assert_int_eq(c.items.items_val[0].index, 4);
	ck_assert_int_eq(old.status, STATUS_CONFLICT);
}
END_TEST

/* Without turns, one caller with many jobs would delay all others with the same deadline. */
START_TEST(items_are_leased_by_deadline_and_callers_take_turns)
{
	static const char *const want[] = {"soon", "a1", "b1", "a2", "b1", "a1", "b1", "late"};

	submit_job(ledger, "a", "late", 1, WALL_START_MS + 10LL * LEDGER_BAND_MS);
	submit_job(ledger, "a", "a1", 2, WALL_START_MS + 3LL * LEDGER_BAND_MS);
	submit_job(ledger, "a", "a2", 1, WALL_START_MS + 3LL * LEDGER_BAND_MS);
	submit_job(ledger, "b", "b1", 3, WALL_START_MS + 3LL * LEDGER_BAND_MS);
	submit_job(ledger, "a", "soon", 1, WALL_START_MS + LEDGER_BAND_MS);
	for (unsigned i = 0; i < 8; i++) {
		AUTO_RES r = lease_items(ledger, 1, i + 1, 1);

		restore_from_snapshot(&ledger);
		ck_assert_int_eq(r.items.items_len, 1);
		ck_assert_msg(bytes_are(r.items.items_val[0].job, want[i]), "lease %u", i);
	}
}
END_TEST

START_TEST(a_callers_turn_is_as_long_as_its_share)
{
	static const char *const want[] = {"big", "big",   "big",   "small", "big",
					   "big", "small", "small", "small", "small"};

	caller_share = 3;
	submit_job(ledger, "a", "big", 5, WALL_START_MS + LEDGER_BAND_MS);
	caller_share = 1;
	submit_job(ledger, "b", "small", 5, WALL_START_MS + LEDGER_BAND_MS);
	for (unsigned i = 0; i < 10; i++) {
		AUTO_RES r = lease_items(ledger, 1, i + 1, 1);

		restore_from_snapshot(&ledger);
		ck_assert_msg(bytes_are(r.items.items_val[0].job, want[i]), "lease %u", i);
	}
}
END_TEST

/* Served strictly by deadline, overdue jobs would make all other jobs late as well. */
START_TEST(overdue_jobs_alternate_with_jobs_that_can_be_in_time)
{
	static const char *const want[] = {"due", "late", "due", "late", "late"};

	submit_job(ledger, "a", "late", 3, WALL_START_MS - 2LL * LEDGER_BAND_MS);
	submit_job(ledger, "b", "due", 2, WALL_START_MS + LEDGER_BAND_MS);
	for (unsigned i = 0; i < 5; i++) {
		AUTO_RES r = lease_items(ledger, 1, i + 1, 1);

		restore_from_snapshot(&ledger);
		ck_assert_msg(bytes_are(r.items.items_val[0].job, want[i]), "lease %u", i);
	}
}
END_TEST

/* A resend or a second session must not change a result that the caller may have read already. */
START_TEST(the_first_result_of_an_item_is_kept)
{
	submit_job(ledger, "paper", "lot", 1, WALL_START_MS);
	AUTO_RES a = lease_items(ledger, 1, 1, 1);
	unsigned other_session =
		commit_one(ledger, 2, a.items.items_val, true, WIRE_BLAME_NONE, "x");
	unsigned first = commit_one(ledger, 1, a.items.items_val, true, WIRE_BLAME_NONE, "one");
	unsigned second = commit_one(ledger, 1, a.items.items_val, true, WIRE_BLAME_NONE, "two");
	AUTO_QRES q = query_results(ledger, "paper", "lot", 0, 10);
	ledger_stats_t st;

	ledger_get_stats(ledger, &st);
	ck_assert_int_eq(other_session, 0);
	ck_assert_int_eq(first, 1);
	ck_assert_int_eq(second, 0);
	ck_assert_int_eq(st.late_dropped, 2);
	ck_assert_int_eq(q.items.items_len, 1);
	ck_assert(bytes_are(q.items.items_val[0].body, "one"));
}
END_TEST

/* The items of a lost session are leased again, so that two results of an item could arrive. A
 * result must name the current attempt, too. */
START_TEST(a_result_from_a_lost_session_is_dropped)
{
	submit_job(ledger, "paper", "lot", 1, WALL_START_MS);
	AUTO_RES a = lease_items(ledger, 1, 1, 1);
	AUTO_RES lost = lose_session(ledger, 1);
	AUTO_RES b = lease_items(ledger, 2, 1, 1);
	unsigned late = commit_one(ledger, 1, a.items.items_val, true, WIRE_BLAME_NONE, "old");
	unsigned forged = commit_one(ledger, 2, a.items.items_val, true, WIRE_BLAME_NONE, "old");
	unsigned good = commit_one(ledger, 2, b.items.items_val, true, WIRE_BLAME_NONE, "new");

	ck_assert_int_eq(b.items.items_len, 1);
	ck_assert_int_eq(b.items.items_val[0].attempt, 2);
	ck_assert_int_eq(late, 0);
	ck_assert_int_eq(forged, 0);
	ck_assert_int_eq(good, 1);
}
END_TEST

/* Leases and fails the only item until it is final; returns the number of its runs, 100 if it never
 * ends. From run alone_from + 1 on the item must be leased with `alone` set. */
static unsigned runs_until_failed(wire_blame_t blame, unsigned alone_from)
{
	for (unsigned run = 1; run < 100; run++) {
		AUTO_RES a = lease_items(ledger, 1, run, 1);

		if (a.items.items_len == 0)
			return run - 1;
		ck_assert_int_eq(a.items.items_val[0].alone, run > alone_from);
		ck_assert_int_eq(commit_one(ledger, 1, a.items.items_val, false, blame, "why"), 1);
	}
	return 100;
}

/* An item must not fail because replicas die for other reasons, and one that kills replicas must
 * not kill them all: it runs alone first and then fails. */
START_TEST(failures_of_items_and_deaths_of_replicas_are_counted_separately)
{
	submit_job(ledger, "paper", "bad", 1, WALL_START_MS);
	ck_assert_int_eq(runs_until_failed(WIRE_BLAME_ITEM, 100), LEDGER_ITEM_FAILS_MAX);
	AUTO_QRES q = query_results(ledger, "paper", "bad", 0, 1);

	ck_assert_int_eq(q.items.items_val[0].state, WIRE_FAILED);
	ck_assert(bytes_are(q.items.items_val[0].body, "why"));
	teardown();
	setup();
	submit_job(ledger, "paper", "killer", 1, WALL_START_MS);
	ck_assert_int_eq(runs_until_failed(WIRE_BLAME_REPLICA, LEDGER_DEATHS_ALONE_MIN),
			 LEDGER_DEATHS_MAX);
	teardown();
	setup();
	submit_job(ledger, "paper", "fine", 1, WALL_START_MS);
	ck_assert_int_eq(runs_until_failed(WIRE_BLAME_NONE, 100), 100);
}
END_TEST

/* Leased items of a cancelled job are dropped when their results arrive; until then each answer to
 * the session that holds them lists the job as cancelled, so that the session stops them. */
START_TEST(a_cancelled_job_hands_out_no_items)
{
	submit_job(ledger, "paper", "lot", 10, WALL_START_MS);
	AUTO_RES a = lease_items(ledger, 1, 1, 4);
	AUTO_RES cancel = apply_job_cmd(ledger, WIRE_LEDGER_JOB_CANCEL, "paper", "lot");
	AUTO_RES again = apply_job_cmd(ledger, WIRE_LEDGER_JOB_CANCEL, "paper", "lot");
	AUTO_RES next = lease_items(ledger, 1, 2, 4);
	AUTO_RES other_session = lease_items(ledger, 2, 1, 4);
	unsigned late;

	ck_assert_int_eq(cancel.job.dropped, 6);
	ck_assert_int_eq(cancel.job.leased, 4);
	ck_assert_int_eq(again.status, STATUS_OK);
	ck_assert_int_eq(next.items.items_len, 0);
	ck_assert_int_eq(next.cancelled.cancelled_len, 1);
	ck_assert_int_eq(other_session.cancelled.cancelled_len, 0);
	restore_from_snapshot(&ledger);
	for (int i = 0; i < 4; i++) {
		late = commit_one(ledger, 1, &a.items.items_val[i], true, WIRE_BLAME_NONE, "x");
		ck_assert_int_eq(late, 0);
	}
	AUTO_RES after = lease_items(ledger, 1, 3, 4);
	AUTO_QRES q = query_job(ledger, "paper", "lot");
	AUTO_QRES items = query_results(ledger, "paper", "lot", 0, 10);

	ck_assert_int_eq(after.cancelled.cancelled_len, 0);
	ck_assert_int_eq(q.jobs.jobs_val[0].dropped, 10);
	ck_assert_int_eq(items.items.items_val[0].state, WIRE_CANCELLED);
	ck_assert_int_eq(items.items.items_val[9].state, WIRE_CANCELLED);
}
END_TEST

START_TEST(a_resent_lease_drops_cancelled_items)
{
	submit_job(ledger, "paper", "lot", 4, WALL_START_MS);
	AUTO_RES a = lease_items(ledger, 1, 1, 4);
	AUTO_RES cancel = apply_job_cmd(ledger, WIRE_LEDGER_JOB_CANCEL, "paper", "lot");
	AUTO_RES again = lease_items(ledger, 1, 1, 4);
	AUTO_QRES q = query_job(ledger, "paper", "lot");

	ck_assert_int_eq(a.items.items_len, 4);
	ck_assert_int_eq(again.items.items_len, 0);
	ck_assert_int_eq(again.cancelled.cancelled_len, 0);
	ck_assert_int_eq(q.jobs.jobs_val[0].dropped, 4);
}
END_TEST

START_TEST(a_job_cancelled_before_its_seal_takes_no_items)
{
	AUTO_RES open = open_job(ledger, "paper", "lot", 4, items_digest(4), WALL_START_MS);
	AUTO_RES head = upload_items(ledger, "paper", "lot", 0, 2);
	AUTO_RES cancel = apply_job_cmd(ledger, WIRE_LEDGER_JOB_CANCEL, "paper", "lot");
	AUTO_RES tail = upload_items(ledger, "paper", "lot", 2, 2);
	AUTO_RES seal = apply_job_cmd(ledger, WIRE_LEDGER_JOB_SEAL, "paper", "lot");

	ck_assert_int_eq(cancel.job.dropped, 4);
	ck_assert_int_eq(tail.status, STATUS_CANCELLED);
	ck_assert_int_eq(seal.status, STATUS_CANCELLED);
	restore_from_snapshot(&ledger);
}
END_TEST

START_TEST(final_records_expire_after_the_retention_time)
{
	AUTO_RES a = accept_request(ledger, "done", 1, true, 1);
	AUTO_RES b = accept_request(ledger, "open", 1, true, 1);
	AUTO_RES end = finish_request(ledger, "done", WIRE_DONE, "x");
	AUTO_RES unsealed = open_job(ledger, "paper", "never", 4, 1, WALL_START_MS);
	AUTO_RES lease;
	ledger_stats_t st;

	submit_job(ledger, "paper", "lot", 1, WALL_START_MS);
	submit_job(ledger, "paper", "open", 1, WALL_START_MS + LEDGER_BAND_MS);
	lease = lease_items(ledger, 1, 1, 1);
	commit_one(ledger, 1, lease.items.items_val, true, WIRE_BLAME_NONE, "x");
	ck_assert_int_eq(expire_records(ledger, WALL_START_MS + 99, 100), 0);
	ck_assert_int_eq(expire_records(ledger, WALL_START_MS + 100, 100), 2);
	ck_assert_int_eq(expire_records(ledger, WALL_START_MS + LEDGER_UNSEALED_MAX_MS, 100), 1);
	ledger_get_stats(ledger, &st);
	ck_assert_int_eq(st.requests, 1);
	ck_assert_int_eq(st.jobs, 1);
}
END_TEST

START_TEST(jobs_are_listed_in_pages)
{
	wire_query_t q = {.kind = WIRE_QUERY_JOBS};
	AUTO_QRES page;
	AUTO_QRES rest;

	submit_job(ledger, "paper", "one", 1, WALL_START_MS);
	submit_job(ledger, "other", "x", 1, WALL_START_MS);
	submit_job(ledger, "paper", "two", 1, WALL_START_MS);
	submit_job(ledger, "paper", "three", 1, WALL_START_MS);
	q.wire_query_t_u.jobs = (wire_jobs_ref_t){bytes_of("paper"), {0}, 2};
	ledger_query(ledger, &q, &page);
	q.wire_query_t_u.jobs = (wire_jobs_ref_t){bytes_of("paper"), bytes_of("two"), 2};
	ledger_query(ledger, &q, &rest);
	ck_assert_int_eq(page.jobs.jobs_len, 2);
	ck_assert(bytes_are(page.jobs.jobs_val[1].job, "two"));
	ck_assert_int_eq(rest.jobs.jobs_len, 1);
	ck_assert(bytes_are(rest.jobs.jobs_val[0].job, "three"));
}
END_TEST

/* The state must be unchanged wherever the snapshot ends. */
START_TEST(a_truncated_snapshot_is_refused)
{
	AUTO_BUF snap = {0};
	ledger_t *other = ledger_new();
	ledger_stats_t st;

	submit_job(ledger, "paper", "lot", 5, WALL_START_MS);
	AUTO_RES a = accept_request(ledger, "k", 1, true, 1);
	AUTO_RES b = lease_items(ledger, 1, 1, 2);

	ledger_snapshot(ledger, &snap);
	for (size_t n = 0; n < snap.n; n++)
		ck_assert_int_eq(ledger_restore(other, (str_t){snap.p, n}), STATUS_CORRUPT);
	ledger_get_stats(other, &st);
	ck_assert_int_eq(st.jobs, 0);
	ledger_free(other);
}
END_TEST

/* Items per command in the test of the largest job. */
#define BIG_JOB_CHUNK 4500U

/* A job of 540,000 items must cost little more than its bodies. */
START_TEST(the_largest_job_stays_within_its_memory)
{
	static wire_bytes_t bodies[BIG_JOB_CHUNK];
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_JOB_ITEMS};
	uint64_t digest = 0;
	ledger_stats_t st;

	for (unsigned i = 0; i < LEDGER_JOB_ITEMS_MAX; i++)
		digest = ledger_digest_step(digest, STR("0123456789"));
	AUTO_RES open =
		open_job(ledger, "paper", "big", LEDGER_JOB_ITEMS_MAX, digest, WALL_START_MS);

	for (unsigned i = 0; i < BIG_JOB_CHUNK; i++)
		bodies[i] = bytes_of("0123456789");
	for (unsigned first = 0; first < LEDGER_JOB_ITEMS_MAX; first += BIG_JOB_CHUNK) {
		cmd.wire_ledger_cmd_t_u.items = (wire_job_items_t){
			bytes_of("paper"), bytes_of("big"), first, {BIG_JOB_CHUNK, bodies}};
		AUTO_RES res;

		ledger_apply_cmd(ledger, &cmd, &res);
		ck_assert_int_eq(res.status, STATUS_OK);
	}
	AUTO_RES seal = apply_job_cmd(ledger, WIRE_LEDGER_JOB_SEAL, "paper", "big");

	ck_assert_int_eq(seal.status, STATUS_OK);
	ledger_get_stats(ledger, &st);
	ck_assert_uint_le(st.bytes, (LEDGER_ITEM_BYTES + 10) * (LEDGER_JOB_ITEMS_MAX + 1000ULL));
	restore_from_snapshot(&ledger);
	AUTO_RES a = lease_items(ledger, 1, 1, LEDGER_LEASE_ITEMS_MAX);

	ck_assert_int_eq(a.items.items_len, LEDGER_LEASE_ITEMS_MAX);
}
END_TEST

START_TEST(commands_on_unknown_records_are_errors)
{
	wire_ledger_cmd_t cmd = {.kind = (wire_ledger_kind_t)99};
	AUTO_RES bad;
	AUTO_RES attempt = attempt_request(ledger, "none", 1, 1);
	AUTO_RES finish = finish_request(ledger, "none", WIRE_DONE, "");
	AUTO_RES cancel = apply_job_cmd(ledger, WIRE_LEDGER_JOB_CANCEL, "paper", "none");
	AUTO_RES empty = open_job(ledger, "paper", "none", 0, 1, 1);

	ledger_apply_cmd(ledger, &cmd, &bad);
	ck_assert_int_eq(bad.status, STATUS_INVALID);
	ck_assert_int_eq(attempt.status, STATUS_NOT_FOUND);
	ck_assert_int_eq(finish.status, STATUS_NOT_FOUND);
	ck_assert_int_eq(cancel.status, STATUS_NOT_FOUND);
	ck_assert_int_eq(empty.status, STATUS_INVALID);
	ck_assert(cancel.message.wire_bytes_t_len > 0);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("ledger");
	TCase *t = tcase_create("ledger");

	suite_add_tcase(s, t);
	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, the_steps_of_a_job_can_be_repeated);
	tcase_add_test(t, a_job_with_a_wrong_digest_is_removed);
	tcase_add_test(t, a_resent_lease_returns_the_same_items);
	tcase_add_test(t, items_are_leased_by_deadline_and_callers_take_turns);
	tcase_add_test(t, a_callers_turn_is_as_long_as_its_share);
	tcase_add_test(t, overdue_jobs_alternate_with_jobs_that_can_be_in_time);
	tcase_add_test(t, the_first_result_of_an_item_is_kept);
	tcase_add_test(t, a_result_from_a_lost_session_is_dropped);
	tcase_add_test(t, failures_of_items_and_deaths_of_replicas_are_counted_separately);
	tcase_add_test(t, a_cancelled_job_hands_out_no_items);
	tcase_add_test(t, a_resent_lease_drops_cancelled_items);
	tcase_add_test(t, a_job_cancelled_before_its_seal_takes_no_items);
	tcase_add_test(t, final_records_expire_after_the_retention_time);
	tcase_add_test(t, jobs_are_listed_in_pages);
	tcase_add_test(t, a_truncated_snapshot_is_refused);
	tcase_add_test(t, the_largest_job_stays_within_its_memory);
	tcase_add_test(t, commands_on_unknown_records_are_errors);
	return suite_run(s);
}
