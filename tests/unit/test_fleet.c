/* Tests of the fleet state (state/fleet.h): numbered configs, sessions, upstreams and their
 * owners. Guard against two configs under one number, two live sessions of one entry, and two
 * owners of one upstream. */
#include "fleet_kit.h"
#include "state/config.h"
#include "suite_kit.h"

static wire_fleet_res_t submit_config(uint64_t number, const char *text)
{
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_CONFIG_SUBMIT};

	cmd.wire_fleet_cmd_t_u.submit =
		(wire_config_submit_t){number, bytes_of(text), bytes_of("op")};
	return apply_cmd(&cmd);
}

static wire_query_res_t query_config(uint64_t number)
{
	wire_query_t q = {.kind = WIRE_QUERY_CONFIG};
	wire_query_res_t res;

	q.wire_query_t_u.number = number;
	fleet_query(fleet, &q, &res);
	return res;
}

/* Two operators may submit at the same time, and a submission may be resent: one config wins, and
 * the other operator gets its digest. */
START_TEST(a_number_is_given_to_one_config)
{
	AUTO_RES too_high = submit_config(2, "b");
	AUTO_RES zero = submit_config(0, "b");
	AUTO_RES win = submit_config(1, "a");
	AUTO_RES lose = submit_config(1, "b");
	AUTO_RES again = submit_config(1, "a");

	ck_assert_int_eq(too_high.status, STATUS_INVALID);
	ck_assert_int_eq(zero.status, STATUS_INVALID);
	ck_assert(win.status == STATUS_OK && win.number == 1);
	ck_assert_int_eq(lose.status, STATUS_CONFLICT);
	ck_assert(lose.number == 1 && lose.winner_digest == config_digest(STR("a")));
	ck_assert(again.status == STATUS_OK && again.number == 1);
	ck_assert(again.winner_digest == win.winner_digest);
}
END_TEST

/* The digest of a config outlasts its text, of which only the newest 50 are stored. */
START_TEST(a_resent_config_is_answered_after_500_newer_ones)
{
	char text[32];

	for (unsigned n = 1; n <= 507; n++) {
		snprintf(text, sizeof(text), "retention_s = %u", n);
		AUTO_RES res = submit_config(n, text);

		ck_assert_int_eq(res.status, STATUS_OK);
		if (n % 100 == 0)
			restore_from_snapshot();
	}
	restore_from_snapshot();
	AUTO_RES mine = submit_config(7, "retention_s = 7");
	AUTO_RES other = submit_config(7, "retention_s = 8");
	AUTO_QRES now = query_config(0);
	AUTO_QRES oldest_kept = query_config(458);
	AUTO_QRES removed = query_config(457);

	ck_assert(mine.status == STATUS_OK && mine.number == 7);
	ck_assert(other.status == STATUS_CONFLICT && other.number == 507);
	ck_assert(other.winner_digest == config_digest(STR("retention_s = 7")));
	ck_assert_int_eq(now.conf.number, 507);
	ck_assert(str_eq(wire_str(now.conf.text), STR("retention_s = 507")));
	ck_assert(str_eq(wire_str(oldest_kept.conf.text), STR("retention_s = 458")));
	ck_assert_int_eq(removed.status, STATUS_NOT_FOUND);
	ck_assert(removed.conf.digest == config_digest(STR("retention_s = 457")));
	ck_assert_int_eq(fleet_config_number(fleet), 507);
}
END_TEST

/* An entry that restarts has a new boot number: its old session is closed, so that its work is
 * given to others. */
START_TEST(a_name_and_boot_number_have_one_session)
{
	uint64_t a = open_session("e1", 11, "z1");
	uint64_t same = open_session("e1", 11, "z1");
	uint64_t newer = open_session("e1", 12, "z1");
	uint64_t out[4];

	ck_assert(a == same && newer > a);
	ck_assert(!fleet_session_is_open(fleet, a) && fleet_session_is_open(fleet, newer));
	ck_assert(fleet_find_session(fleet, STR("e1"), 12) == newer);
	ck_assert_int_eq(fleet_find_session(fleet, STR("e1"), 11), 0);
	ck_assert_int_eq(fleet_open_sessions(fleet, out, 4), 1);
	ck_assert_int_eq(fleet_closed_sessions(fleet, out, 4), 1);
	ck_assert(out[0] == a);
	ck_assert_int_eq(close_session(newer), STATUS_OK);
	ck_assert_int_eq(close_session(newer), STATUS_OK);
	ck_assert_int_eq(close_session(newer + 1), STATUS_NOT_FOUND);
	ck_assert_int_eq(drain_session(newer), STATUS_CANCELLED);
	restore_from_snapshot();
	ck_assert(open_session("e1", 12, "z1") > newer);
}
END_TEST

/* A closed session must be reported to all ledger groups. A leader that is lost in between leaves
 * this to the next one. */
START_TEST(closed_sessions_are_kept_until_they_are_forgotten)
{
	uint64_t a = open_session("e1", 1, "z1");
	uint64_t c = open_session("e2", 1, "z1");
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_FORGET};
	uint64_t out[4];
	u_quad_t done[] = {a};

	close_session(a);
	close_session(c);
	restore_from_snapshot();
	cmd.wire_fleet_cmd_t_u.forget.forget_len = 1;
	cmd.wire_fleet_cmd_t_u.forget.forget_val = done;
	AUTO_RES res = apply_cmd(&cmd);

	ck_assert_int_eq(res.status, STATUS_OK);
	ck_assert_int_eq(fleet_closed_sessions(fleet, out, 4), 1);
	ck_assert(out[0] == c);
}
END_TEST

/* A change planned on an old view must fail. A closed or draining session gets nothing. */
START_TEST(an_owner_change_needs_the_current_fence_and_raises_it)
{
	uint64_t a = open_session("e1", 1, "z1");
	uint64_t c = open_session("e2", 1, "z1");
	uint64_t d = open_session("e3", 1, "z1");
	wire_upstream_t one = make_upstream("u1", "z1", "llm");
	uint64_t fence;

	set_upstreams(&one, 1);
	ck_assert_int_eq(change_owner("u1", 0, a), 1);
	ck_assert_int_eq(change_owner("u1", 0, c), 0);
	AUTO_QRES v = query_view();

	fence = find_upstream(&v, "u1")->fence;
	ck_assert(fence > 0 && find_upstream(&v, "u1")->owner == a);
	drain_session(d);
	ck_assert_int_eq(change_owner("u1", fence, d), 0);
	close_session(c);
	ck_assert_int_eq(change_owner("u1", fence, c), 0);
	ck_assert_int_eq(change_owner("u1", fence, 0), 1);
	restore_from_snapshot();
	AUTO_QRES w = query_view();

	ck_assert(find_upstream(&w, "u1")->fence > fence && find_upstream(&w, "u1")->owner == 0);
	ck_assert_int_eq(change_owner("none", 0, a), 0);
}
END_TEST

/* The owner may still have streams there. Removed at once, an upstream that is listed again could
 * get a second owner. */
START_TEST(an_upstream_off_the_list_is_kept_until_it_is_released)
{
	uint64_t a = open_session("e1", 1, "z1");
	wire_upstream_t both[] = {make_upstream("u1", "z1", "llm"),
				  make_upstream("u2", "z1", "llm")};
	uint64_t version;

	set_upstreams(both, 2);
	change_owner("u1", 0, a);
	version = fleet_view_version(fleet);
	set_upstreams(both, 2);
	ck_assert(fleet_view_version(fleet) == version);
	set_upstreams(NULL, 0);
	AUTO_QRES v = query_view();

	ck_assert(fleet_view_version(fleet) > version);
	ck_assert_ptr_null(find_upstream(&v, "u2"));
	ck_assert_int_eq(find_upstream(&v, "u1")->state, WIRE_UPSTREAM_GONE);
	ck_assert(find_upstream(&v, "u1")->owner == a);
	ck_assert_int_eq(change_owner("u1", find_upstream(&v, "u1")->fence, 0), 1);
	AUTO_QRES w = query_view();

	ck_assert_ptr_null(find_upstream(&w, "u1"));
}
END_TEST

START_TEST(an_upstream_listed_again_keeps_its_owner)
{
	uint64_t a = open_session("e1", 1, "z1");
	wire_upstream_t one = make_upstream("u1", "z1", "llm");

	set_upstreams(&one, 1);
	change_owner("u1", 0, a);
	one.state = WIRE_UPSTREAM_LEAVING;
	set_upstreams(&one, 1);
	AUTO_QRES v = query_view();

	ck_assert(find_upstream(&v, "u1")->owner == a &&
		  find_upstream(&v, "u1")->state == WIRE_UPSTREAM_LEAVING);
}
END_TEST

static bool has_text(uint64_t number)
{
	wire_query_t q = {.kind = WIRE_QUERY_CONFIG};
	AUTO_QRES res;

	q.wire_query_t_u.number = number;
	fleet_query(fleet, &q, &res);
	return res.status == STATUS_OK;
}

/* Guards against old texts that fill the memory and the disk, and delay each snapshot: a process
 * that has lost its disk then votes too late to bear the next loss. */
START_TEST(texts_of_large_configs_are_dropped_sooner)
{
	size_t n = FLEET_CONFIG_TEXTS_BYTES / 4;
	AUTO_FREE char *text = mem_new(4 * n + 2);
	AUTO_BUF snap = {0};

	memset(text, ' ', n);
	for (uint64_t number = 1; number <= 8; number++) {
		text[0] = (char)('a' + number);
		AUTO_RES res = submit_config(number, text);

		ck_assert_int_eq(res.status, STATUS_OK);
	}
	for (uint64_t number = 1; number <= 8; number++)
		ck_assert_int_eq(has_text(number), number >= 5);
	fleet_snapshot(fleet, &snap);
	ck_assert_uint_lt(snap.n, FLEET_CONFIG_TEXTS_BYTES + 4096);
	/* The newest is kept whatever its size. */
	memset(text, ' ', 4 * n + 1);
	AUTO_RES res = submit_config(9, text);

	ck_assert_int_eq(res.status, STATUS_OK);
	ck_assert(has_text(9));
	ck_assert(!has_text(8));
	restore_from_snapshot();
	ck_assert(has_text(9));
}
END_TEST

static void retire(const char *key, uint64_t replica)
{
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_RETIRE};
	AUTO_RES res;

	cmd.wire_fleet_cmd_t_u.retire = (wire_retire_t){bytes_of(key), replica};
	res = apply_cmd(&cmd);
	ck_assert_int_eq(res.status, STATUS_OK);
}

/* Guards against a retired VM that may vote again once it has lost its disk and has a new id. */
START_TEST(a_retired_vm_is_known_by_its_name_and_address)
{
	retire("store-1", 7);
	ck_assert(!fleet_is_retired_vm(fleet, STR("store-1"), STR("10.0.0.1:1")));
	retire("10.0.0.1:1", 7);
	retire("store-2", 8);
	retire("10.0.0.2:1", 8);
	restore_from_snapshot();
	ck_assert(fleet_is_retired(fleet, 7) && !fleet_is_retired(fleet, 9));
	ck_assert(fleet_has_retired(fleet, STR("store-1")));
	ck_assert(!fleet_has_retired(fleet, STR("store-3")));
	ck_assert(fleet_is_retired_as(fleet, STR("store-1"), 7));
	ck_assert(!fleet_is_retired_as(fleet, STR("store-1"), 8));
	ck_assert(fleet_is_retired_vm(fleet, STR("store-1"), STR("10.0.0.1:1")));
	ck_assert(!fleet_is_retired_vm(fleet, STR("store-1"), STR("10.0.0.2:1")));
	ck_assert(!fleet_is_retired_vm(fleet, STR("store-3"), STR("10.0.0.1:1")));
}
END_TEST

/* Guards against a list that grows with each repetition of an order. */
START_TEST(a_repeated_order_adds_nothing)
{
	AUTO_BUF once = {0};
	AUTO_BUF twice = {0};

	retire("store-1", 7);
	retire("10.0.0.1:1", 7);
	fleet_snapshot(fleet, &once);
	retire("store-1", 7);
	retire("10.0.0.1:1", 7);
	fleet_snapshot(fleet, &twice);
	ck_assert_uint_eq(once.n, twice.n);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("fleet");
	TCase *t = tcase_create("fleet");

	suite_add_tcase(s, t);
	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, a_number_is_given_to_one_config);
	tcase_add_test(t, a_resent_config_is_answered_after_500_newer_ones);
	tcase_add_test(t, a_name_and_boot_number_have_one_session);
	tcase_add_test(t, closed_sessions_are_kept_until_they_are_forgotten);
	tcase_add_test(t, an_owner_change_needs_the_current_fence_and_raises_it);
	tcase_add_test(t, an_upstream_off_the_list_is_kept_until_it_is_released);
	tcase_add_test(t, an_upstream_listed_again_keeps_its_owner);
	tcase_add_test(t, texts_of_large_configs_are_dropped_sooner);
	tcase_add_test(t, a_retired_vm_is_known_by_its_name_and_address);
	tcase_add_test(t, a_repeated_order_adds_nothing);
	return suite_run(s);
}
