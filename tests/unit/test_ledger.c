/* Unit tests of the ledger: jobs, leases, snapshots. */
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

START_TEST(job_steps_are_idempotent)
{
	uint64_t digest = kit_digest(10);

	for (int i = 0; i < 3; i++) {
		AUTO_RES open = kit_open(l, "paper", "lot", 10, digest, KIT_NOW_MS);
		AUTO_RES gap = kit_items(l, "paper", "lot", 8, 2);
		AUTO_RES head = kit_items(l, "paper", "lot", 0, 4);
		AUTO_RES early = kit_ref(l, WIRE_LEDGER_JOB_SEAL, "paper", "lot");
		AUTO_RES tail = kit_items(l, "paper", "lot", 3, 7);
		AUTO_RES seal = kit_ref(l, WIRE_LEDGER_JOB_SEAL, "paper", "lot");

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
	AUTO_RES other = kit_open(l, "paper", "lot", 10, digest + 1, KIT_NOW_MS);

	ck_assert_int_eq(other.status, STATUS_CONFLICT);
}
END_TEST

START_TEST(wrong_digest_is_no_job)
{
	AUTO_RES open = kit_open(l, "paper", "lot", 3, 77, KIT_NOW_MS);
	AUTO_RES items = kit_items(l, "paper", "lot", 0, 3);
	AUTO_RES unsealed = kit_lease(l, 1, 1, 10);
	AUTO_RES seal = kit_ref(l, WIRE_LEDGER_JOB_SEAL, "paper", "lot");
	AUTO_QRES q = kit_query_job(l, "paper", "lot");

	ck_assert_int_eq(unsealed.items.items_len, 0);
	ck_assert_int_eq(seal.status, STATUS_INVALID);
	ck_assert_int_eq(q.status, STATUS_NOT_FOUND);
}
END_TEST

START_TEST(lease_resend_gets_the_same)
{
	kit_job(l, "paper", "lot", 10, KIT_NOW_MS);
	AUTO_RES a = kit_lease(l, 1, 1, 4);

	kit_reload(&l);
	AUTO_RES b = kit_lease(l, 1, 1, 4);
	AUTO_RES c = kit_lease(l, 1, 2, 4);
	AUTO_RES old = kit_lease(l, 1, 1, 4);

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

START_TEST(earliest_deadline_first_in_turns)
{
	static const char *const want[] = {"soon", "a1", "b1", "a2", "b1", "a1", "b1", "late"};

	kit_job(l, "a", "late", 1, KIT_NOW_MS + 10LL * LEDGER_BAND_MS);
	kit_job(l, "a", "a1", 2, KIT_NOW_MS + 3LL * LEDGER_BAND_MS);
	kit_job(l, "a", "a2", 1, KIT_NOW_MS + 3LL * LEDGER_BAND_MS);
	kit_job(l, "b", "b1", 3, KIT_NOW_MS + 3LL * LEDGER_BAND_MS);
	kit_job(l, "a", "soon", 1, KIT_NOW_MS + LEDGER_BAND_MS);
	for (unsigned i = 0; i < 8; i++) {
		AUTO_RES r = kit_lease(l, 1, i + 1, 1);

		kit_reload(&l);
		ck_assert_int_eq(r.items.items_len, 1);
		ck_assert_msg(kit_is(r.items.items_val[0].job, want[i]), "turn %u", i);
	}
}
END_TEST

START_TEST(turns_are_as_long_as_the_share)
{
	static const char *const want[] = {"big", "big",   "big",   "small", "big",
					   "big", "small", "small", "small", "small"};

	kit_share = 3;
	kit_job(l, "a", "big", 5, KIT_NOW_MS + LEDGER_BAND_MS);
	kit_share = 1;
	kit_job(l, "b", "small", 5, KIT_NOW_MS + LEDGER_BAND_MS);
	for (unsigned i = 0; i < 10; i++) {
		AUTO_RES r = kit_lease(l, 1, i + 1, 1);

		kit_reload(&l);
		ck_assert_msg(kit_is(r.items.items_val[0].job, want[i]), "turn %u", i);
	}
}
END_TEST

START_TEST(overdue_work_takes_turns)
{
	static const char *const want[] = {"due", "late", "due", "late", "late"};

	kit_job(l, "a", "late", 3, KIT_NOW_MS - 2LL * LEDGER_BAND_MS);
	kit_job(l, "b", "due", 2, KIT_NOW_MS + LEDGER_BAND_MS);
	for (unsigned i = 0; i < 5; i++) {
		AUTO_RES r = kit_lease(l, 1, i + 1, 1);

		kit_reload(&l);
		ck_assert_msg(kit_is(r.items.items_val[0].job, want[i]), "turn %u", i);
	}
}
END_TEST

START_TEST(first_result_wins)
{
	kit_job(l, "paper", "lot", 1, KIT_NOW_MS);
	AUTO_RES a = kit_lease(l, 1, 1, 1);
	unsigned stranger = kit_done_one(l, 2, a.items.items_val, true, WIRE_BLAME_NONE, "x");
	unsigned first = kit_done_one(l, 1, a.items.items_val, true, WIRE_BLAME_NONE, "one");
	unsigned second = kit_done_one(l, 1, a.items.items_val, true, WIRE_BLAME_NONE, "two");
	AUTO_QRES q = kit_query_results(l, "paper", "lot", 0, 10);
	ledger_stats_t st;

	ledger_get_stats(l, &st);
	ck_assert_int_eq(stranger, 0);
	ck_assert_int_eq(first, 1);
	ck_assert_int_eq(second, 0);
	ck_assert_int_eq(st.late_dropped, 2);
	ck_assert_int_eq(q.items.items_len, 1);
	ck_assert(kit_is(q.items.items_val[0].body, "one"));
}
END_TEST

START_TEST(late_result_of_lost_session_is_dropped)
{
	kit_job(l, "paper", "lot", 1, KIT_NOW_MS);
	AUTO_RES a = kit_lease(l, 1, 1, 1);
	AUTO_RES lost = kit_lost(l, 1);
	AUTO_RES b = kit_lease(l, 2, 1, 1);
	unsigned late = kit_done_one(l, 1, a.items.items_val, true, WIRE_BLAME_NONE, "old");
	unsigned forged = kit_done_one(l, 2, a.items.items_val, true, WIRE_BLAME_NONE, "old");
	unsigned good = kit_done_one(l, 2, b.items.items_val, true, WIRE_BLAME_NONE, "new");

	ck_assert_int_eq(b.items.items_len, 1);
	ck_assert_int_eq(b.items.items_val[0].attempt, 2);
	ck_assert_int_eq(late, 0);
	ck_assert_int_eq(forged, 0);
	ck_assert_int_eq(good, 1);
}
END_TEST

/* Leases the only item and fails it; returns the number of runs until it is final. */
static unsigned runs_until_failed(wire_blame_t blame, unsigned alone_from)
{
	for (unsigned run = 1; run < 100; run++) {
		AUTO_RES a = kit_lease(l, 1, run, 1);

		if (a.items.items_len == 0)
			return run - 1;
		ck_assert_int_eq(a.items.items_val[0].alone, run > alone_from);
		ck_assert_int_eq(kit_done_one(l, 1, a.items.items_val, false, blame, "why"), 1);
	}
	return 100;
}

START_TEST(blame_is_charged_apart)
{
	kit_job(l, "paper", "bad", 1, KIT_NOW_MS);
	ck_assert_int_eq(runs_until_failed(WIRE_BLAME_ITEM, 100), LEDGER_ITEM_FAILS_MAX);
	AUTO_QRES q = kit_query_results(l, "paper", "bad", 0, 1);

	ck_assert_int_eq(q.items.items_val[0].state, WIRE_FAILED);
	ck_assert(kit_is(q.items.items_val[0].body, "why"));
	teardown();
	setup();
	kit_job(l, "paper", "killer", 1, KIT_NOW_MS);
	ck_assert_int_eq(runs_until_failed(WIRE_BLAME_REPLICA, LEDGER_DEATHS_ALONE_MIN),
			 LEDGER_DEATHS_MAX);
	teardown();
	setup();
	kit_job(l, "paper", "fine", 1, KIT_NOW_MS);
	ck_assert_int_eq(runs_until_failed(WIRE_BLAME_NONE, 100), 100);
}
END_TEST

START_TEST(cancelled_job_stops)
{
	kit_job(l, "paper", "lot", 10, KIT_NOW_MS);
	AUTO_RES a = kit_lease(l, 1, 1, 4);
	AUTO_RES cancel = kit_ref(l, WIRE_LEDGER_JOB_CANCEL, "paper", "lot");
	AUTO_RES again = kit_ref(l, WIRE_LEDGER_JOB_CANCEL, "paper", "lot");
	AUTO_RES next = kit_lease(l, 1, 2, 4);
	AUTO_RES stranger = kit_lease(l, 2, 1, 4);
	unsigned late;

	ck_assert_int_eq(cancel.job.dropped, 6);
	ck_assert_int_eq(cancel.job.leased, 4);
	ck_assert_int_eq(again.status, STATUS_OK);
	ck_assert_int_eq(next.items.items_len, 0);
	ck_assert_int_eq(next.cancelled.cancelled_len, 1);
	ck_assert_int_eq(stranger.cancelled.cancelled_len, 0);
	kit_reload(&l);
	for (int i = 0; i < 4; i++) {
		late = kit_done_one(l, 1, &a.items.items_val[i], true, WIRE_BLAME_NONE, "x");
		ck_assert_int_eq(late, 0);
	}
	AUTO_RES after = kit_lease(l, 1, 3, 4);
	AUTO_QRES q = kit_query_job(l, "paper", "lot");
	AUTO_QRES items = kit_query_results(l, "paper", "lot", 0, 10);

	ck_assert_int_eq(after.cancelled.cancelled_len, 0);
	ck_assert_int_eq(q.jobs.jobs_val[0].dropped, 10);
	ck_assert_int_eq(items.items.items_val[0].state, WIRE_CANCELLED);
	ck_assert_int_eq(items.items.items_val[9].state, WIRE_CANCELLED);
}
END_TEST

START_TEST(resent_lease_drops_cancelled_items)
{
	kit_job(l, "paper", "lot", 4, KIT_NOW_MS);
	AUTO_RES a = kit_lease(l, 1, 1, 4);
	AUTO_RES cancel = kit_ref(l, WIRE_LEDGER_JOB_CANCEL, "paper", "lot");
	AUTO_RES again = kit_lease(l, 1, 1, 4);
	AUTO_QRES q = kit_query_job(l, "paper", "lot");

	ck_assert_int_eq(a.items.items_len, 4);
	ck_assert_int_eq(again.items.items_len, 0);
	ck_assert_int_eq(again.cancelled.cancelled_len, 0);
	ck_assert_int_eq(q.jobs.jobs_val[0].dropped, 4);
}
END_TEST

START_TEST(cancel_before_seal_stops_the_upload)
{
	AUTO_RES open = kit_open(l, "paper", "lot", 4, kit_digest(4), KIT_NOW_MS);
	AUTO_RES head = kit_items(l, "paper", "lot", 0, 2);
	AUTO_RES cancel = kit_ref(l, WIRE_LEDGER_JOB_CANCEL, "paper", "lot");
	AUTO_RES tail = kit_items(l, "paper", "lot", 2, 2);
	AUTO_RES seal = kit_ref(l, WIRE_LEDGER_JOB_SEAL, "paper", "lot");

	ck_assert_int_eq(cancel.job.dropped, 4);
	ck_assert_int_eq(tail.status, STATUS_CANCELLED);
	ck_assert_int_eq(seal.status, STATUS_CANCELLED);
	kit_reload(&l);
}
END_TEST

START_TEST(final_records_expire)
{
	AUTO_RES a = kit_accept(l, "done", 1, true, 1);
	AUTO_RES b = kit_accept(l, "open", 1, true, 1);
	AUTO_RES end = kit_finish(l, "done", WIRE_DONE, "x");
	AUTO_RES unsealed = kit_open(l, "paper", "never", 4, 1, KIT_NOW_MS);
	AUTO_RES lease;
	ledger_stats_t st;

	kit_job(l, "paper", "lot", 1, KIT_NOW_MS);
	kit_job(l, "paper", "open", 1, KIT_NOW_MS + LEDGER_BAND_MS);
	lease = kit_lease(l, 1, 1, 1);
	kit_done_one(l, 1, lease.items.items_val, true, WIRE_BLAME_NONE, "x");
	ck_assert_int_eq(kit_expire(l, KIT_NOW_MS + 99, 100), 0);
	ck_assert_int_eq(kit_expire(l, KIT_NOW_MS + 100, 100), 2);
	ck_assert_int_eq(kit_expire(l, KIT_NOW_MS + LEDGER_UNSEALED_MAX_MS, 100), 1);
	ledger_get_stats(l, &st);
	ck_assert_int_eq(st.requests, 1);
	ck_assert_int_eq(st.jobs, 1);
}
END_TEST

START_TEST(jobs_are_paged)
{
	wire_query_t q = {.kind = WIRE_QUERY_JOBS};
	AUTO_QRES page;
	AUTO_QRES rest;

	kit_job(l, "paper", "one", 1, KIT_NOW_MS);
	kit_job(l, "other", "x", 1, KIT_NOW_MS);
	kit_job(l, "paper", "two", 1, KIT_NOW_MS);
	kit_job(l, "paper", "three", 1, KIT_NOW_MS);
	q.wire_query_t_u.jobs = (wire_jobs_ref_t){kit_b("paper"), {0}, 2};
	ledger_query(l, &q, &page);
	q.wire_query_t_u.jobs = (wire_jobs_ref_t){kit_b("paper"), kit_b("two"), 2};
	ledger_query(l, &q, &rest);
	ck_assert_int_eq(page.jobs.jobs_len, 2);
	ck_assert(kit_is(page.jobs.jobs_val[1].job, "two"));
	ck_assert_int_eq(rest.jobs.jobs_len, 1);
	ck_assert(kit_is(rest.jobs.jobs_val[0].job, "three"));
}
END_TEST

START_TEST(cut_snapshot_is_refused)
{
	AUTO_BUF snap = {0};
	ledger_t *other = ledger_new();
	ledger_stats_t st;

	kit_job(l, "paper", "lot", 5, KIT_NOW_MS);
	AUTO_RES a = kit_accept(l, "k", 1, true, 1);
	AUTO_RES b = kit_lease(l, 1, 1, 2);

	ledger_snapshot(l, &snap);
	for (size_t n = 0; n < snap.n; n++)
		ck_assert_int_eq(ledger_restore(other, (str_t){snap.p, n}), STATUS_CORRUPT);
	ledger_get_stats(other, &st);
	ck_assert_int_eq(st.jobs, 0);
	ledger_free(other);
}
END_TEST

/* Items that one command carries in the test of a big job. */
#define BIG_CHUNK 4500U

START_TEST(big_job_fits)
{
	static wire_bytes_t bodies[BIG_CHUNK];
	wire_ledger_cmd_t cmd = {.kind = WIRE_LEDGER_JOB_ITEMS};
	uint64_t digest = 0;
	ledger_stats_t st;

	for (unsigned i = 0; i < LEDGER_JOB_ITEMS_MAX; i++)
		digest = ledger_digest_step(digest, STR("0123456789"));
	AUTO_RES open = kit_open(l, "paper", "big", LEDGER_JOB_ITEMS_MAX, digest, KIT_NOW_MS);

	for (unsigned i = 0; i < BIG_CHUNK; i++)
		bodies[i] = kit_b("0123456789");
	for (unsigned first = 0; first < LEDGER_JOB_ITEMS_MAX; first += BIG_CHUNK) {
		cmd.wire_ledger_cmd_t_u.items = (wire_job_items_t){
			kit_b("paper"), kit_b("big"), first, {BIG_CHUNK, bodies}};
		AUTO_RES res;

		ledger_apply_cmd(l, &cmd, &res);
		ck_assert_int_eq(res.status, STATUS_OK);
	}
	AUTO_RES seal = kit_ref(l, WIRE_LEDGER_JOB_SEAL, "paper", "big");

	ck_assert_int_eq(seal.status, STATUS_OK);
	ledger_get_stats(l, &st);
	ck_assert_uint_le(st.bytes, (LEDGER_ITEM_BYTES + 10) * (LEDGER_JOB_ITEMS_MAX + 1000ULL));
	kit_reload(&l);
	AUTO_RES a = kit_lease(l, 1, 1, LEDGER_LEASE_ITEMS_MAX);

	ck_assert_int_eq(a.items.items_len, LEDGER_LEASE_ITEMS_MAX);
}
END_TEST

START_TEST(unknown_things_are_named)
{
	wire_ledger_cmd_t cmd = {.kind = (wire_ledger_kind_t)99};
	AUTO_RES bad;
	AUTO_RES attempt = kit_attempt(l, "none", 1, 1);
	AUTO_RES finish = kit_finish(l, "none", WIRE_DONE, "");
	AUTO_RES cancel = kit_ref(l, WIRE_LEDGER_JOB_CANCEL, "paper", "none");
	AUTO_RES empty = kit_open(l, "paper", "none", 0, 1, 1);

	ledger_apply_cmd(l, &cmd, &bad);
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
	tcase_add_test(t, job_steps_are_idempotent);
	tcase_add_test(t, wrong_digest_is_no_job);
	tcase_add_test(t, lease_resend_gets_the_same);
	tcase_add_test(t, earliest_deadline_first_in_turns);
	tcase_add_test(t, turns_are_as_long_as_the_share);
	tcase_add_test(t, overdue_work_takes_turns);
	tcase_add_test(t, first_result_wins);
	tcase_add_test(t, late_result_of_lost_session_is_dropped);
	tcase_add_test(t, blame_is_charged_apart);
	tcase_add_test(t, cancelled_job_stops);
	tcase_add_test(t, resent_lease_drops_cancelled_items);
	tcase_add_test(t, cancel_before_seal_stops_the_upload);
	tcase_add_test(t, final_records_expire);
	tcase_add_test(t, jobs_are_paged);
	tcase_add_test(t, cut_snapshot_is_refused);
	tcase_add_test(t, big_job_fits);
	tcase_add_test(t, unknown_things_are_named);
	return suite_run(s);
}
