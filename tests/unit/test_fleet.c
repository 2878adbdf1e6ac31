/* Unit tests of the fleet group: numbered texts, sessions, upstreams and who may own them. */
#include "fleet_kit.h"
#include "state/config.h"
#include "suite_kit.h"

static wire_fleet_res_t submit(uint64_t number, const char *text)
{
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_CONFIG_SUBMIT};

	cmd.wire_fleet_cmd_t_u.submit = (wire_config_submit_t){number, b(text), b("op")};
	return apply(&cmd);
}

static wire_query_res_t conf(uint64_t number)
{
	wire_query_t q = {.kind = WIRE_QUERY_CONFIG};
	wire_query_res_t res;

	q.wire_query_t_u.number = number;
	fleet_query(f, &q, &res);
	return res;
}

START_TEST(one_text_wins_a_number)
{
	AUTO_RES gap = submit(2, "b");
	AUTO_RES zero = submit(0, "b");
	AUTO_RES win = submit(1, "a");
	AUTO_RES lose = submit(1, "b");
	AUTO_RES again = submit(1, "a");

	ck_assert_int_eq(gap.status, STATUS_INVALID);
	ck_assert_int_eq(zero.status, STATUS_INVALID);
	ck_assert(win.status == STATUS_OK && win.number == 1);
	ck_assert_int_eq(lose.status, STATUS_CONFLICT);
	ck_assert(lose.number == 1 && lose.winner_digest == config_digest(STR("a")));
	ck_assert(again.status == STATUS_OK && again.number == 1);
	ck_assert(again.winner_digest == win.winner_digest);
}
END_TEST

START_TEST(resend_is_answered_after_500_changes)
{
	char text[32];

	for (unsigned n = 1; n <= 507; n++) {
		snprintf(text, sizeof(text), "retention_s = %u", n);
		AUTO_RES res = submit(n, text);

		ck_assert_int_eq(res.status, STATUS_OK);
		if (n % 100 == 0)
			reload();
	}
	reload();
	AUTO_RES mine = submit(7, "retention_s = 7");
	AUTO_RES other = submit(7, "retention_s = 8");
	AUTO_QRES now = conf(0);
	AUTO_QRES kept = conf(458);
	AUTO_QRES gone = conf(457);

	ck_assert(mine.status == STATUS_OK && mine.number == 7);
	ck_assert(other.status == STATUS_CONFLICT && other.number == 507);
	ck_assert(other.winner_digest == config_digest(STR("retention_s = 7")));
	ck_assert_int_eq(now.conf.number, 507);
	ck_assert(str_eq(wire_str(now.conf.text), STR("retention_s = 507")));
	ck_assert(str_eq(wire_str(kept.conf.text), STR("retention_s = 458")));
	ck_assert_int_eq(gone.status, STATUS_NOT_FOUND);
	ck_assert(gone.conf.digest == config_digest(STR("retention_s = 457")));
	ck_assert_int_eq(fleet_config_number(f), 507);
}
END_TEST

START_TEST(session_is_one_for_name_and_boot)
{
	uint64_t a = open_session("e1", 11, "z1");
	uint64_t same = open_session("e1", 11, "z1");
	uint64_t newer = open_session("e1", 12, "z1");
	uint64_t out[4];

	ck_assert(a == same && newer > a);
	ck_assert(!fleet_session_is_open(f, a) && fleet_session_is_open(f, newer));
	ck_assert(fleet_find_session(f, STR("e1"), 12) == newer);
	ck_assert_int_eq(fleet_find_session(f, STR("e1"), 11), 0);
	ck_assert_int_eq(fleet_open_sessions(f, out, 4), 1);
	ck_assert_int_eq(fleet_closed_sessions(f, out, 4), 1);
	ck_assert(out[0] == a);
	ck_assert_int_eq(close_session(newer), STATUS_OK);
	ck_assert_int_eq(close_session(newer), STATUS_OK);
	ck_assert_int_eq(close_session(newer + 1), STATUS_NOT_FOUND);
	ck_assert_int_eq(drain(newer), STATUS_CANCELLED);
	reload();
	ck_assert(open_session("e1", 12, "z1") > newer);
}
END_TEST

START_TEST(closed_sessions_stay_until_forgotten)
{
	uint64_t a = open_session("e1", 1, "z1");
	uint64_t c = open_session("e2", 1, "z1");
	wire_fleet_cmd_t cmd = {.kind = WIRE_FLEET_FORGET};
	uint64_t out[4];
	u_quad_t done[] = {a};

	close_session(a);
	close_session(c);
	reload();
	cmd.wire_fleet_cmd_t_u.forget.forget_len = 1;
	cmd.wire_fleet_cmd_t_u.forget.forget_val = done;
	AUTO_RES res = apply(&cmd);

	ck_assert_int_eq(res.status, STATUS_OK);
	ck_assert_int_eq(fleet_closed_sessions(f, out, 4), 1);
	ck_assert(out[0] == c);
}
END_TEST

START_TEST(ownership_is_compared_and_fenced)
{
	uint64_t a = open_session("e1", 1, "z1");
	uint64_t c = open_session("e2", 1, "z1");
	uint64_t d = open_session("e3", 1, "z1");
	wire_upstream_t one = up("u1", "z1", "llm");
	uint64_t fence;

	list(&one, 1);
	ck_assert_int_eq(own("u1", 0, a), 1);
	ck_assert_int_eq(own("u1", 0, c), 0);
	AUTO_QRES v = view();

	fence = find(&v, "u1")->fence;
	ck_assert(fence > 0 && find(&v, "u1")->owner == a);
	drain(d);
	ck_assert_int_eq(own("u1", fence, d), 0);
	close_session(c);
	ck_assert_int_eq(own("u1", fence, c), 0);
	ck_assert_int_eq(own("u1", fence, 0), 1);
	reload();
	AUTO_QRES w = view();

	ck_assert(find(&w, "u1")->fence > fence && find(&w, "u1")->owner == 0);
	ck_assert_int_eq(own("none", 0, a), 0);
}
END_TEST

START_TEST(vanished_upstream_stays_until_released)
{
	uint64_t a = open_session("e1", 1, "z1");
	wire_upstream_t both[] = {up("u1", "z1", "llm"), up("u2", "z1", "llm")};
	uint64_t version;

	list(both, 2);
	own("u1", 0, a);
	version = fleet_view_version(f);
	list(both, 2);
	ck_assert(fleet_view_version(f) == version);
	list(NULL, 0);
	AUTO_QRES v = view();

	ck_assert(fleet_view_version(f) > version);
	ck_assert_ptr_null(find(&v, "u2"));
	ck_assert_int_eq(find(&v, "u1")->state, WIRE_UPSTREAM_GONE);
	ck_assert(find(&v, "u1")->owner == a);
	ck_assert_int_eq(own("u1", find(&v, "u1")->fence, 0), 1);
	AUTO_QRES w = view();

	ck_assert_ptr_null(find(&w, "u1"));
}
END_TEST

START_TEST(listed_again_keeps_its_owner)
{
	uint64_t a = open_session("e1", 1, "z1");
	wire_upstream_t one = up("u1", "z1", "llm");

	list(&one, 1);
	own("u1", 0, a);
	one.state = WIRE_UPSTREAM_LEAVING;
	list(&one, 1);
	AUTO_QRES v = view();

	ck_assert(find(&v, "u1")->owner == a && find(&v, "u1")->state == WIRE_UPSTREAM_LEAVING);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("fleet");
	TCase *t = tcase_create("fleet");

	suite_add_tcase(s, t);
	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, one_text_wins_a_number);
	tcase_add_test(t, resend_is_answered_after_500_changes);
	tcase_add_test(t, session_is_one_for_name_and_boot);
	tcase_add_test(t, closed_sessions_stay_until_forgotten);
	tcase_add_test(t, ownership_is_compared_and_fenced);
	tcase_add_test(t, vanished_upstream_stays_until_released);
	tcase_add_test(t, listed_again_keeps_its_owner);
	return suite_run(s);
}
