/* Unit tests of the plan of owners. AUBURN_SEED sets the first seed of the random one. */
#include "fleet_kit.h"
#include "suite_kit.h"

static bool seen_from(void *ctx, uint64_t session, uint64_t view_version)
{
	return *(uint64_t *)ctx >= view_version;
}

START_TEST(released_upstream_waits_for_its_old_owner)
{
	uint64_t a = open_session("e1", 1, "z1");
	wire_upstream_t one = up("u1", "z1", "llm");
	uint64_t known;
	fleet_plan_options_t plan = {10, seen_from, &known};
	wire_fleet_cmd_t cmd;

	list(&one, 1);
	own("u1", 0, a);
	open_session("e2", 1, "z1");
	known = fleet_view_version(f);
	drain(a);
	ck_assert_int_eq(fleet_plan_owners_with(f, &plan, &cmd), 1);
	ck_assert_int_eq(cmd.wire_fleet_cmd_t_u.own.own_val[0].session, 0);
	AUTO_RES release = apply(&cmd);

	wire_free(XDR_PROC(wire_fleet_cmd_t), &cmd);
	ck_assert_int_eq(release.number, 1);
	reload();
	ck_assert_int_eq(fleet_plan_owners_with(f, &plan, &cmd), 0);
	wire_free(XDR_PROC(wire_fleet_cmd_t), &cmd);
	known = fleet_view_version(f);
	ck_assert_int_eq(fleet_plan_owners_with(f, &plan, &cmd), 1);
	wire_free(XDR_PROC(wire_fleet_cmd_t), &cmd);
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
	wire_upstream_t v[RANDOM_UPS];
	char ids[RANDOM_UPS][8];
	unsigned n = 0;

	for (unsigned i = 0; i < RANDOM_UPS; i++) {
		if (rnd(5) == 0)
			continue;
		snprintf(ids[n], sizeof(ids[n]), "u%u", i);
		v[n] = up(ids[n], zones[i % 3], services[i % 7 == 0]);
		v[n].state = rnd(6) == 0 ? WIRE_UPSTREAM_LEAVING : WIRE_UPSTREAM_LIVE;
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
	wire_fleet_cmd_t cmd;
	size_t n = fleet_plan_owners(f, 1000, &cmd);
	AUTO_RES res;

	for (size_t i = 0; i < n; i++) {
		const wire_owner_change_t *c = &cmd.wire_fleet_cmd_t_u.own.own_val[i];

		for (unsigned k = 0; k < v.view.upstreams.upstreams_len; k++) {
			const wire_upstream_t *u = &v.view.upstreams.upstreams_val[k];

			if (!str_eq(wire_str(u->id), wire_str(c->id)))
				continue;
			ck_assert(!c->session || !fleet_session_is_open(f, u->owner));
		}
	}
	res = apply(&cmd);
	ck_assert_int_eq(res.number, n);
	wire_free(XDR_PROC(wire_fleet_cmd_t), &cmd);
	return n;
}

/* Checks that each service is spread within one over the members that may own. */
static void check_spread(const wire_query_res_t *v, const char *service)
{
	unsigned least = 1000;
	unsigned most = 0;

	for (unsigned m = 0; m < v->view.members.members_len; m++) {
		const wire_member_t *member = &v->view.members.members_val[m];
		unsigned n = 0;

		for (unsigned i = 0; i < v->view.upstreams.upstreams_len; i++)
			n += v->view.upstreams.upstreams_val[i].owner == member->session &&
			     str_eq(wire_str(v->view.upstreams.upstreams_val[i].service),
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

static unsigned eligible(const wire_query_res_t *v)
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
		ck_assert_int_ne(v.view.upstreams.upstreams_val[i].state, WIRE_UPSTREAM_GONE);
		ck_assert(v.view.upstreams.upstreams_val[i].owner != 0);
	}
}

/* Fences only grow, and change whenever the owner does. */
static void check_fences(const wire_query_res_t *before)
{
	AUTO_QRES v = view();

	for (unsigned i = 0; i < v.view.upstreams.upstreams_len; i++) {
		const wire_upstream_t *u = &v.view.upstreams.upstreams_val[i];
		char id[16];

		snprintf(id, sizeof(id), "%.*s", STR_ARG(wire_str(u->id)));
		const wire_upstream_t *was = find(before, id);

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
	wire_upstream_t v[12];
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
	Suite *s = suite_create("fleet_plan");
	TCase *t = tcase_create("fleet_plan");

	suite_add_tcase(s, t);
	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, released_upstream_waits_for_its_old_owner);
	tcase_add_loop_test(t, random_plans_spread_and_settle, 1, 21);
	tcase_add_test(t, lost_member_moves_only_its_own);
	return suite_run(s);
}
