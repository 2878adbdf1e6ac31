/* Tests of the plan of owners (fleet_plan_owners in state/fleet.h). Guard against an upstream with
 * two owners during a move, owners with unequal shares, and plans that never settle. AUBURN_SEED
 * sets the first seed of the random test. */
#include "fleet_kit.h"
#include "suite_kit.h"

static bool session_saw(void *ctx, uint64_t session, uint64_t view_version)
{
	return *(uint64_t *)ctx >= view_version;
}

/* Until the former owner has seen the view with the release, it may still start streams on the
 * upstream. */
START_TEST(a_released_upstream_waits_until_its_former_owner_has_seen_the_release)
{
	uint64_t a = open_session("e1", 1, "z1");
	wire_upstream_t upstream = make_upstream("u1", "z1", "llm");
	uint64_t seen_version;
	fleet_plan_options_t plan = {10, session_saw, &seen_version};
	wire_fleet_cmd_t cmd;

	set_upstreams(&upstream, 1);
	change_owner("u1", 0, a);
	open_session("e2", 1, "z1");
	seen_version = fleet_view_version(fleet);
	drain_session(a);
	ck_assert_int_eq(fleet_plan_owners_with(fleet, &plan, &cmd), 1);
	ck_assert_int_eq(cmd.wire_fleet_cmd_t_u.own.own_val[0].session, 0);
	AUTO_RES release = apply_cmd(&cmd);

	wire_free(XDR_PROC(wire_fleet_cmd_t), &cmd);
	ck_assert_int_eq(release.number, 1);
	restore_from_snapshot();
	ck_assert_int_eq(fleet_plan_owners_with(fleet, &plan, &cmd), 0);
	wire_free(XDR_PROC(wire_fleet_cmd_t), &cmd);
	seen_version = fleet_view_version(fleet);
	ck_assert_int_eq(fleet_plan_owners_with(fleet, &plan, &cmd), 1);
	wire_free(XDR_PROC(wire_fleet_cmd_t), &cmd);
}
END_TEST

/* ---- randomised plan ---- */

#define RANDOM_STEPS	 400
#define RANDOM_ENTRIES	 9
#define RANDOM_UPSTREAMS 40

static unsigned long random_state;

static unsigned random_below(unsigned below)
{
	random_state = random_state * 6364136223846793005UL + 1442695040888963407UL;
	return (unsigned)((random_state >> 33) % below);
}

static void set_random_upstreams(void)
{
	static const char *const services[] = {"llm", "scribe"};
	static const char *const zones[] = {"z0", "z1", "z2"};
	wire_upstream_t v[RANDOM_UPSTREAMS];
	char ids[RANDOM_UPSTREAMS][8];
	unsigned n = 0;

	for (unsigned i = 0; i < RANDOM_UPSTREAMS; i++) {
		if (random_below(5) == 0)
			continue;
		snprintf(ids[n], sizeof(ids[n]), "u%u", i);
		v[n] = make_upstream(ids[n], zones[i % 3], services[i % 7 == 0]);
		v[n].state = random_below(6) == 0 ? WIRE_UPSTREAM_LEAVING : WIRE_UPSTREAM_LIVE;
		n++;
	}
	set_upstreams(v, n);
}

static void change_random_session(void)
{
	static const char *const zones[] = {"z0", "z1", "z2"};
	char name[8];
	unsigned i = random_below(RANDOM_ENTRIES);
	uint64_t session;

	snprintf(name, sizeof(name), "e%u", i);
	session = open_session(name, 1 + random_below(3), zones[i % 3]);
	if (random_below(3) == 0)
		drain_session(session);
	else if (random_below(4) == 0)
		close_session(session);
}

/* Applies one plan and returns the number of its changes. No plan may move an upstream from one
 * open session to another without releasing it first. */
static size_t apply_plan(void)
{
	AUTO_QRES v = query_view();
	wire_fleet_cmd_t cmd;
	size_t n = fleet_plan_owners(fleet, 1000, &cmd);
	AUTO_RES res;

	for (size_t i = 0; i < n; i++) {
		const wire_owner_change_t *c = &cmd.wire_fleet_cmd_t_u.own.own_val[i];

		for (unsigned k = 0; k < v.view.upstreams.upstreams_len; k++) {
			const wire_upstream_t *u = &v.view.upstreams.upstreams_val[k];

			if (!str_eq(wire_str(u->id), wire_str(c->id)))
				continue;
			ck_assert(!c->session || !fleet_session_is_open(fleet, u->owner));
		}
	}
	res = apply_cmd(&cmd);
	ck_assert_int_eq(res.number, n);
	wire_free(XDR_PROC(wire_fleet_cmd_t), &cmd);
	return n;
}

/* Checks that the numbers of upstreams of the service that members own differ by at most one, and
 * that draining members own none. */
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

/* Counts the members that are not draining and so may own upstreams. */
static unsigned count_eligible(const wire_query_res_t *v)
{
	unsigned n = 0;

	for (unsigned i = 0; i < v->view.members.members_len; i++)
		n += !v->view.members.members_val[i].draining;
	return n;
}

/* Checks a fleet for which plans have no more changes: all upstreams have an owner. */
static void check_settled(void)
{
	AUTO_QRES v = query_view();

	if (count_eligible(&v) == 0)
		return;
	check_spread(&v, "llm");
	check_spread(&v, "scribe");
	for (unsigned i = 0; i < v.view.upstreams.upstreams_len; i++) {
		ck_assert_int_ne(v.view.upstreams.upstreams_val[i].state, WIRE_UPSTREAM_GONE);
		ck_assert(v.view.upstreams.upstreams_val[i].owner != 0);
	}
}

/* A fence must grow with each change of the owner, and only then. */
static void check_fences(const wire_query_res_t *before)
{
	AUTO_QRES v = query_view();

	for (unsigned i = 0; i < v.view.upstreams.upstreams_len; i++) {
		const wire_upstream_t *u = &v.view.upstreams.upstreams_val[i];
		char id[16];

		snprintf(id, sizeof(id), "%.*s", STR_ARG(wire_str(u->id)));
		const wire_upstream_t *old = find_upstream(before, id);

		if (old)
			ck_assert(u->fence >= old->fence &&
				  (u->fence > old->fence) == (u->owner != old->owner));
	}
}

/* Sessions and the list change at random. From any state, at most four plans must lead to one in
 * which every upstream has an owner. */
START_TEST(random_plans_spread_the_upstreams_and_settle)
{
	const char *seed = getenv("AUBURN_SEED");

	random_state = (seed ? strtoul(seed, NULL, 10) : 1) + (unsigned long)_i - 1;
	for (unsigned step = 0; step < RANDOM_STEPS; step++) {
		AUTO_QRES before = query_view();

		if (random_below(3))
			change_random_session();
		else
			set_random_upstreams();
		if (random_below(10) == 0)
			restore_from_snapshot();
		if (random_below(2))
			apply_plan();
		check_fences(&before);
		if (random_below(4))
			continue;
		for (unsigned i = 0; apply_plan(); i++)
			ck_assert_uint_lt(i, 4);
		check_settled();
	}
}
END_TEST

/* Each move interrupts streams: the loss of one of four members must move only its 3 of 12
 * upstreams. */
START_TEST(a_lost_member_moves_only_its_own_upstreams)
{
	wire_upstream_t v[12];
	char ids[12][8];
	uint64_t s[4];
	unsigned moved = 0;

	for (unsigned i = 0; i < 12; i++) {
		snprintf(ids[i], sizeof(ids[i]), "u%u", i);
		v[i] = make_upstream(ids[i], i < 6 ? "z0" : "z1", "llm");
	}
	/* ids[0] serves as a buffer for the names of the entries and is set back after them. */
	for (unsigned i = 0; i < 4; i++) {
		snprintf(ids[0], sizeof(ids[0]), "e%u", i);
		s[i] = open_session(ids[0], 1, i % 2 ? "z1" : "z0");
	}
	snprintf(ids[0], sizeof(ids[0]), "u0");
	set_upstreams(v, 12);
	ck_assert_int_eq(apply_plan(), 12);
	AUTO_QRES before = query_view();

	for (unsigned i = 0; i < 12; i++)
		ck_assert(find_upstream(&before, ids[i])->owner % 2 == s[i < 6 ? 0 : 1] % 2);
	close_session(s[3]);
	while (apply_plan())
		;
	AUTO_QRES after = query_view();

	for (unsigned i = 0; i < 12; i++)
		moved += find_upstream(&before, ids[i])->owner !=
			 find_upstream(&after, ids[i])->owner;
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
	tcase_add_test(t, a_released_upstream_waits_until_its_former_owner_has_seen_the_release);
	tcase_add_loop_test(t, random_plans_spread_the_upstreams_and_settle, 1, 21);
	tcase_add_test(t, a_lost_member_moves_only_its_own_upstreams);
	return suite_run(s);
}
