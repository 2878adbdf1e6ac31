/* Unit tests of the fleet group: numbered texts, sessions, upstreams and their owners. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "state/fl.h"
#include "state/tx.h"

#define AUTO_RES  __attribute__((cleanup(res_free))) aw_fleet_res_t
#define AUTO_QRES __attribute__((cleanup(qres_free))) aw_query_res_t

static fl_t *f;

static void res_free(aw_fleet_res_t *res)
{
	px_free(PX(aw_fleet_res_t), res);
}

static void qres_free(aw_query_res_t *res)
{
	px_free(PX(aw_query_res_t), res);
}

static void setup(void)
{
	f = fl_new(4);
}

static void teardown(void)
{
	fl_free(f);
}

static aw_bytes_t b(const char *c)
{
	return px_bytes(str_c(c));
}

static aw_fleet_res_t apply(const aw_fleet_cmd_t *cmd)
{
	aw_fleet_res_t res;

	fl_apply(f, cmd, &res);
	return res;
}

static aw_fleet_res_t submit(uint64_t number, const char *text)
{
	aw_fleet_cmd_t cmd = {.kind = AW_FLEET_CONF_SUBMIT};

	cmd.aw_fleet_cmd_t_u.submit = (aw_conf_submit_t){number, b(text), b("op")};
	return apply(&cmd);
}

static uint64_t open_session(const char *name, uint64_t boot, const char *zone)
{
	aw_fleet_cmd_t cmd = {.kind = AW_FLEET_SESSION_OPEN};
	AUTO_RES res;

	cmd.aw_fleet_cmd_t_u.open = (aw_member_t){.name = b(name),
						  .addr = b("127.0.0.1:1"),
						  .peer = b("127.0.0.1:2"),
						  .zone = b(zone),
						  .boot = boot};
	res = apply(&cmd);
	ck_assert_int_eq(res.status, ST_OK);
	return res.number;
}

static int close_session(uint64_t session)
{
	aw_fleet_cmd_t cmd = {.kind = AW_FLEET_SESSION_CLOSE};
	AUTO_RES res;

	cmd.aw_fleet_cmd_t_u.close = (aw_session_close_t){session, b("lease ended")};
	res = apply(&cmd);
	return res.status;
}

static int drain(uint64_t session)
{
	aw_fleet_cmd_t cmd = {.kind = AW_FLEET_SESSION_DRAIN};
	AUTO_RES res;

	cmd.aw_fleet_cmd_t_u.drain = session;
	res = apply(&cmd);
	return res.status;
}

/* Takes over one upstream; returns how many changes were taken. */
static unsigned own(const char *id, uint64_t was_fence, uint64_t session)
{
	aw_own_change_t change = {b(id), was_fence, session};
	aw_fleet_cmd_t cmd = {.kind = AW_FLEET_OWN};
	AUTO_RES res;

	cmd.aw_fleet_cmd_t_u.own.own_len = 1;
	cmd.aw_fleet_cmd_t_u.own.own_val = &change;
	res = apply(&cmd);
	return (unsigned)res.number;
}

static void list(aw_upstream_t *v, unsigned n)
{
	aw_fleet_cmd_t cmd = {.kind = AW_FLEET_UPSTREAMS};
	AUTO_RES res;

	cmd.aw_fleet_cmd_t_u.upstreams.upstreams_len = n;
	cmd.aw_fleet_cmd_t_u.upstreams.upstreams_val = v;
	res = apply(&cmd);
	ck_assert_int_eq(res.status, ST_OK);
}

static aw_upstream_t up(const char *id, const char *zone, const char *service)
{
	return (aw_upstream_t){.id = b(id), .addr = b("1"), .zone = b(zone), .service = b(service)};
}

static aw_query_res_t view(void)
{
	aw_query_t q = {.kind = AW_QUERY_VIEW};
	aw_query_res_t res;

	fl_query(f, &q, &res);
	return res;
}

static aw_query_res_t conf(uint64_t number)
{
	aw_query_t q = {.kind = AW_QUERY_CONF};
	aw_query_res_t res;

	q.aw_query_t_u.number = number;
	fl_query(f, &q, &res);
	return res;
}

static const aw_upstream_t *find(const aw_query_res_t *v, const char *id)
{
	for (unsigned i = 0; i < v->view.upstreams.upstreams_len; i++)
		if (str_eq(px_str(v->view.upstreams.upstreams_val[i].id), str_c(id)))
			return &v->view.upstreams.upstreams_val[i];
	return NULL;
}

static void reload(void)
{
	AUTO_BUF snap = {0};
	AUTO_BUF again = {0};
	fl_t *fresh = fl_new(1);

	fl_snapshot(f, &snap);
	ck_assert_int_eq(fl_restore(fresh, str_buf(&snap)), ST_OK);
	fl_snapshot(fresh, &again);
	ck_assert(str_eq(str_buf(&snap), str_buf(&again)));
	fl_free(f);
	f = fresh;
}

START_TEST(one_text_wins_a_number)
{
	AUTO_RES gap = submit(2, "b");
	AUTO_RES zero = submit(0, "b");
	AUTO_RES win = submit(1, "a");
	AUTO_RES lose = submit(1, "b");
	AUTO_RES again = submit(1, "a");

	ck_assert_int_eq(gap.status, ST_INVALID);
	ck_assert_int_eq(zero.status, ST_INVALID);
	ck_assert(win.status == ST_OK && win.number == 1);
	ck_assert_int_eq(lose.status, ST_CONFLICT);
	ck_assert(lose.number == 1 && lose.winner_digest == tx_digest(STR("a")));
	ck_assert(again.status == ST_OK && again.number == 1);
	ck_assert(again.winner_digest == win.winner_digest);
}
END_TEST

START_TEST(resend_is_answered_after_500_changes)
{
	char text[32];

	for (unsigned n = 1; n <= 507; n++) {
		snprintf(text, sizeof(text), "retention_s = %u", n);
		AUTO_RES res = submit(n, text);

		ck_assert_int_eq(res.status, ST_OK);
		if (n % 100 == 0)
			reload();
	}
	reload();
	AUTO_RES mine = submit(7, "retention_s = 7");
	AUTO_RES other = submit(7, "retention_s = 8");
	AUTO_QRES now = conf(0);
	AUTO_QRES kept = conf(458);
	AUTO_QRES gone = conf(457);

	ck_assert(mine.status == ST_OK && mine.number == 7);
	ck_assert(other.status == ST_CONFLICT && other.number == 507);
	ck_assert(other.winner_digest == tx_digest(STR("retention_s = 7")));
	ck_assert_int_eq(now.conf.number, 507);
	ck_assert(str_eq(px_str(now.conf.text), STR("retention_s = 507")));
	ck_assert(str_eq(px_str(kept.conf.text), STR("retention_s = 458")));
	ck_assert_int_eq(gone.status, ST_NOT_FOUND);
	ck_assert(gone.conf.digest == tx_digest(STR("retention_s = 457")));
	ck_assert_int_eq(fl_conf_number(f), 507);
}
END_TEST

START_TEST(session_is_one_for_name_and_boot)
{
	uint64_t a = open_session("e1", 11, "z1");
	uint64_t same = open_session("e1", 11, "z1");
	uint64_t newer = open_session("e1", 12, "z1");
	uint64_t out[4];

	ck_assert(a == same && newer > a);
	ck_assert(!fl_session_open(f, a) && fl_session_open(f, newer));
	ck_assert(fl_session_of(f, STR("e1"), 12) == newer);
	ck_assert_int_eq(fl_session_of(f, STR("e1"), 11), 0);
	ck_assert_int_eq(fl_sessions(f, out, 4), 1);
	ck_assert_int_eq(fl_closed(f, out, 4), 1);
	ck_assert(out[0] == a);
	ck_assert_int_eq(close_session(newer), ST_OK);
	ck_assert_int_eq(close_session(newer), ST_OK);
	ck_assert_int_eq(close_session(newer + 1), ST_NOT_FOUND);
	ck_assert_int_eq(drain(newer), ST_CANCELLED);
	reload();
	ck_assert(open_session("e1", 12, "z1") > newer);
}
END_TEST

START_TEST(closed_sessions_stay_until_forgotten)
{
	uint64_t a = open_session("e1", 1, "z1");
	uint64_t c = open_session("e2", 1, "z1");
	aw_fleet_cmd_t cmd = {.kind = AW_FLEET_FORGET};
	uint64_t out[4];
	u_quad_t done[] = {a};

	close_session(a);
	close_session(c);
	reload();
	cmd.aw_fleet_cmd_t_u.forget.forget_len = 1;
	cmd.aw_fleet_cmd_t_u.forget.forget_val = done;
	AUTO_RES res = apply(&cmd);

	ck_assert_int_eq(res.status, ST_OK);
	ck_assert_int_eq(fl_closed(f, out, 4), 1);
	ck_assert(out[0] == c);
}
END_TEST

START_TEST(ownership_is_compared_and_fenced)
{
	uint64_t a = open_session("e1", 1, "z1");
	uint64_t c = open_session("e2", 1, "z1");
	uint64_t d = open_session("e3", 1, "z1");
	aw_upstream_t one = up("u1", "z1", "llm");
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
	aw_upstream_t both[] = {up("u1", "z1", "llm"), up("u2", "z1", "llm")};
	uint64_t version;

	list(both, 2);
	own("u1", 0, a);
	version = fl_view_version(f);
	list(both, 2);
	ck_assert(fl_view_version(f) == version);
	list(NULL, 0);
	AUTO_QRES v = view();

	ck_assert(fl_view_version(f) > version);
	ck_assert_ptr_null(find(&v, "u2"));
	ck_assert_int_eq(find(&v, "u1")->state, AW_UP_GONE);
	ck_assert(find(&v, "u1")->owner == a);
	ck_assert_int_eq(own("u1", find(&v, "u1")->fence, 0), 1);
	AUTO_QRES w = view();

	ck_assert_ptr_null(find(&w, "u1"));
}
END_TEST

START_TEST(listed_again_keeps_its_owner)
{
	uint64_t a = open_session("e1", 1, "z1");
	aw_upstream_t one = up("u1", "z1", "llm");

	list(&one, 1);
	own("u1", 0, a);
	one.state = AW_UP_LEAVING;
	list(&one, 1);
	AUTO_QRES v = view();

	ck_assert(find(&v, "u1")->owner == a && find(&v, "u1")->state == AW_UP_LEAVING);
}
END_TEST

static bool seen_from(void *ctx, uint64_t session, uint64_t view_version)
{
	return *(uint64_t *)ctx >= view_version;
}

START_TEST(released_upstream_waits_for_its_old_owner)
{
	uint64_t a = open_session("e1", 1, "z1");
	aw_upstream_t one = up("u1", "z1", "llm");
	uint64_t known;
	fl_plan_t plan = {10, seen_from, &known};
	aw_fleet_cmd_t cmd;

	list(&one, 1);
	own("u1", 0, a);
	open_session("e2", 1, "z1");
	known = fl_view_version(f);
	drain(a);
	ck_assert_int_eq(fl_plan_owners_seen(f, &plan, &cmd), 1);
	ck_assert_int_eq(cmd.aw_fleet_cmd_t_u.own.own_val[0].session, 0);
	AUTO_RES release = apply(&cmd);

	px_free(PX(aw_fleet_cmd_t), &cmd);
	ck_assert_int_eq(release.number, 1);
	reload();
	ck_assert_int_eq(fl_plan_owners_seen(f, &plan, &cmd), 0);
	px_free(PX(aw_fleet_cmd_t), &cmd);
	known = fl_view_version(f);
	ck_assert_int_eq(fl_plan_owners_seen(f, &plan, &cmd), 1);
	px_free(PX(aw_fleet_cmd_t), &cmd);
}
END_TEST

/* ---- randomised plan ---- */

#define RANDOM_STEPS   400
#define RANDOM_ENTRIES 9
#define RANDOM_UPS     40

static unsigned long rnd_state;

static unsigned rnd(unsigned below)
{
	rnd_state = rnd_state * 6364136223846793005UL + 1442695040888963407UL;
	return (unsigned)((rnd_state >> 33) % below);
}

static void random_list(void)
{
	static const char *const services[] = {"llm", "scribe"};
	static const char *const zones[] = {"z0", "z1", "z2"};
	aw_upstream_t v[RANDOM_UPS];
	char ids[RANDOM_UPS][8];
	unsigned n = 0;

	for (unsigned i = 0; i < RANDOM_UPS; i++) {
		if (rnd(5) == 0)
			continue;
		snprintf(ids[n], sizeof(ids[n]), "u%u", i);
		v[n] = up(ids[n], zones[i % 3], services[i % 7 == 0]);
		v[n].state = rnd(6) == 0 ? AW_UP_LEAVING : AW_UP_LIVE;
		n++;
	}
	list(v, n);
}

static void random_member(void)
{
	static const char *const zones[] = {"z0", "z1", "z2"};
	char name[8];
	unsigned i = rnd(RANDOM_ENTRIES);
	uint64_t session;

	snprintf(name, sizeof(name), "e%u", i);
	session = open_session(name, 1 + rnd(3), zones[i % 3]);
	if (rnd(3) == 0)
		drain(session);
	else if (rnd(4) == 0)
		close_session(session);
}

/* Plans and applies; no plan moves an upstream straight from one open session to another. */
static size_t plan_step(void)
{
	AUTO_QRES v = view();
	aw_fleet_cmd_t cmd;
	size_t n = fl_plan_owners(f, 1000, &cmd);
	AUTO_RES res;

	for (size_t i = 0; i < n; i++) {
		const aw_own_change_t *c = &cmd.aw_fleet_cmd_t_u.own.own_val[i];

		for (unsigned k = 0; k < v.view.upstreams.upstreams_len; k++) {
			const aw_upstream_t *u = &v.view.upstreams.upstreams_val[k];

			if (!str_eq(px_str(u->id), px_str(c->id)))
				continue;
			ck_assert(!c->session || !fl_session_open(f, u->owner));
		}
	}
	res = apply(&cmd);
	ck_assert_int_eq(res.number, n);
	px_free(PX(aw_fleet_cmd_t), &cmd);
	return n;
}

/* Checks that each service is spread within one over the members that may own. */
static void check_spread(const aw_query_res_t *v, const char *service)
{
	unsigned least = 1000;
	unsigned most = 0;

	for (unsigned m = 0; m < v->view.members.members_len; m++) {
		const aw_member_t *member = &v->view.members.members_val[m];
		unsigned n = 0;

		for (unsigned i = 0; i < v->view.upstreams.upstreams_len; i++)
			n += v->view.upstreams.upstreams_val[i].owner == member->session &&
			     str_eq(px_str(v->view.upstreams.upstreams_val[i].service),
				    str_c(service));
		if (member->draining) {
			ck_assert_int_eq(n, 0);
			continue;
		}
		least = n < least ? n : least;
		most = n > most ? n : most;
	}
	ck_assert(most <= least + 1 || least == 1000);
}

static unsigned eligible(const aw_query_res_t *v)
{
	unsigned n = 0;

	for (unsigned i = 0; i < v->view.members.members_len; i++)
		n += !v->view.members.members_val[i].draining;
	return n;
}

static void check_settled(void)
{
	AUTO_QRES v = view();

	if (eligible(&v) == 0)
		return;
	check_spread(&v, "llm");
	check_spread(&v, "scribe");
	for (unsigned i = 0; i < v.view.upstreams.upstreams_len; i++) {
		ck_assert_int_ne(v.view.upstreams.upstreams_val[i].state, AW_UP_GONE);
		ck_assert(v.view.upstreams.upstreams_val[i].owner != 0);
	}
}

/* Fences only grow, and change whenever the owner does. */
static void check_fences(const aw_query_res_t *before)
{
	AUTO_QRES v = view();

	for (unsigned i = 0; i < v.view.upstreams.upstreams_len; i++) {
		const aw_upstream_t *u = &v.view.upstreams.upstreams_val[i];
		char id[16];

		snprintf(id, sizeof(id), "%.*s", STR_ARG(px_str(u->id)));
		const aw_upstream_t *was = find(before, id);

		if (was)
			ck_assert(u->fence >= was->fence &&
				  (u->fence > was->fence) == (u->owner != was->owner));
	}
}

START_TEST(random_plans_spread_and_settle)
{
	const char *seed = getenv("AUBURN_SEED");

	rnd_state = (seed ? strtoul(seed, NULL, 10) : 1) + (unsigned long)_i - 1;
	for (unsigned step = 0; step < RANDOM_STEPS; step++) {
		AUTO_QRES before = view();

		if (rnd(3))
			random_member();
		else
			random_list();
		if (rnd(10) == 0)
			reload();
		if (rnd(2))
			plan_step();
		check_fences(&before);
		if (rnd(4))
			continue;
		for (unsigned i = 0; plan_step(); i++)
			ck_assert_uint_lt(i, 4);
		check_settled();
	}
}
END_TEST

START_TEST(lost_member_moves_only_its_own)
{
	aw_upstream_t v[12];
	char ids[12][8];
	uint64_t s[4];
	unsigned moved = 0;

	for (unsigned i = 0; i < 12; i++) {
		snprintf(ids[i], sizeof(ids[i]), "u%u", i);
		v[i] = up(ids[i], i < 6 ? "z0" : "z1", "llm");
	}
	for (unsigned i = 0; i < 4; i++) {
		snprintf(ids[0], sizeof(ids[0]), "e%u", i);
		s[i] = open_session(ids[0], 1, i % 2 ? "z1" : "z0");
	}
	snprintf(ids[0], sizeof(ids[0]), "u0");
	list(v, 12);
	ck_assert_int_eq(plan_step(), 12);
	AUTO_QRES before = view();

	for (unsigned i = 0; i < 12; i++)
		ck_assert(find(&before, ids[i])->owner % 2 == s[i < 6 ? 0 : 1] % 2);
	close_session(s[3]);
	while (plan_step())
		;
	AUTO_QRES after = view();

	for (unsigned i = 0; i < 12; i++)
		moved += find(&before, ids[i])->owner != find(&after, ids[i])->owner;
	ck_assert_int_eq(moved, 3);
	check_settled();
}
END_TEST

int main(void)
{
	Suite *s = suite_create("fleet");
	TCase *t = tcase_create("fleet");
	SRunner *r = srunner_create(s);
	int failed;

	suite_add_tcase(s, t);
	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, one_text_wins_a_number);
	tcase_add_test(t, resend_is_answered_after_500_changes);
	tcase_add_test(t, session_is_one_for_name_and_boot);
	tcase_add_test(t, closed_sessions_stay_until_forgotten);
	tcase_add_test(t, ownership_is_compared_and_fenced);
	tcase_add_test(t, vanished_upstream_stays_until_released);
	tcase_add_test(t, listed_again_keeps_its_owner);
	tcase_add_test(t, released_upstream_waits_for_its_old_owner);
	tcase_add_loop_test(t, random_plans_spread_and_settle, 1, 21);
	tcase_add_test(t, lost_member_moves_only_its_own);
	srunner_run_all(r, CK_ENV);
	failed = srunner_ntests_failed(r);
	srunner_free(r);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
