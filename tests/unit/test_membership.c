/* Tests of decisions on the members of a group (policy/membership.h). Guard against voters that
 * are replaced by processes that can't vote, and groups left without a majority. */
#include <stdio.h>
#include <string.h>
#include "policy/membership.h"
#include "suite_kit.h"

#define NOW	 20000
#define GRACE_MS 1500

static group_status_t st;
static membership_candidate_t candidates[4];
static membership_bans_t bans;
static uint64_t retired;
static const char *retired_name;
static const char *retired_addr;

static bool is_retired(void *ctx, uint64_t id)
{
	return id == retired;
}

static bool is_retired_vm(void *ctx, const char *name, const char *addr)
{
	return retired_name && strcmp(name, retired_name) == 0 && strcmp(addr, retired_addr) == 0;
}

static group_peer_t peer(uint64_t id, const char *zone, bool voter)
{
	group_peer_t p = {.id = id, .voter = voter};

	snprintf(p.addr, sizeof(p.addr), "127.0.0.%lu:1", (unsigned long)id);
	snprintf(p.zone, sizeof(p.zone), "%s", zone);
	return p;
}

/* Of the VM "store-ID". */
static membership_candidate_t candidate(group_peer_t replica)
{
	membership_candidate_t c = {.replica = replica};

	snprintf(c.name, sizeof(c.name), "store-%lu", (unsigned long)replica.id);
	return c;
}

/* Voters 1 (the leader), 2 and 3, which all acknowledge; spares 4 and 5. All but 1 are linked. */
static void setup(void)
{
	static const char *const zones[] = {"za", "zb", "zc"};

	st = (group_status_t){.self = 1, .leader = true, .leader_since = 1000, .npeers = 3};
	for (unsigned i = 0; i < 3; i++) {
		st.peers[i] = peer(i + 1, zones[i], true);
		st.last_ack[i] = st.ack_awaited[i] = NOW - 10;
	}
	candidates[0] = candidate(st.peers[1]);
	candidates[1] = candidate(st.peers[2]);
	candidates[2] = candidate(peer(4, "zb", false));
	candidates[3] = candidate(peer(5, "zc", false));
	bans = (membership_bans_t){0};
	retired = 0;
	retired_name = NULL;
}

static membership_view_t view(void)
{
	return (membership_view_t){.st = &st,
				   .candidates = candidates,
				   .ncandidates = 4,
				   .bans = &bans,
				   .now = NOW,
				   .grace_ms = GRACE_MS,
				   .is_retired = is_retired,
				   .is_retired_vm = is_retired_vm};
}

/* Voter i has acknowledged nothing for longer than the grace time. */
static void silence(unsigned i)
{
	st.last_ack[i] = st.ack_awaited[i] = NOW - GRACE_MS - 1;
}

static uint64_t find_spare(const char *zone)
{
	membership_view_t v = view();
	group_peer_t out = {0};

	return membership_find_spare(&v, zone, &out) ? out.id : 0;
}

static unsigned count_able(uint64_t except)
{
	membership_view_t v = view();

	return membership_count_able(&v, except);
}

START_TEST(a_replica_that_was_removed_as_silent_is_no_spare_for_some_time)
{
	membership_view_t v = view();

	ck_assert_uint_eq(find_spare("zc"), 5);
	membership_ban(&bans, 5, NOW - 1);
	ck_assert_uint_eq(find_spare("zc"), 4);
	membership_ban(&bans, 4, NOW - 1);
	ck_assert_uint_eq(find_spare("zc"), 0);
	v.now = NOW - 1 + MEMBERSHIP_BAN_MS;
	ck_assert(membership_is_eligible(&v, &candidates[3]));
	membership_unban(&bans, 4);
	ck_assert_uint_eq(find_spare("zc"), 4);
}
END_TEST

START_TEST(a_process_whose_disk_refuses_writes_is_no_spare)
{
	candidates[3].replica.id = 0;
	ck_assert_uint_eq(find_spare("zc"), 4);
	ck_assert_uint_eq(count_able(0), 4);
}
END_TEST

START_TEST(more_bans_than_fit_replace_the_oldest)
{
	for (uint64_t id = 1; id <= MEMBERSHIP_BANS_MAX + 1; id++)
		membership_ban(&bans, id, (deadline_t)(NOW + id));
	ck_assert(!membership_is_banned(&bans, 1, NOW + 20));
	ck_assert(membership_is_banned(&bans, 2, NOW + 20));
	ck_assert(membership_is_banned(&bans, MEMBERSHIP_BANS_MAX + 1, NOW + 20));
}
END_TEST

START_TEST(a_linked_voter_that_acknowledges_nothing_does_not_count)
{
	ck_assert_uint_eq(count_able(0), 5);
	ck_assert_uint_eq(count_able(2), 4);
	silence(1);
	ck_assert_uint_eq(count_able(0), 4);
	ck_assert_uint_eq(count_able(3), 3);
	st.last_ack[2] = 0; /* not since this leader began to lead */
	ck_assert_uint_eq(count_able(0), 3);
	retired = 4;
	ck_assert_uint_eq(count_able(0), 2);
}
END_TEST

START_TEST(a_voter_whose_disk_refuses_writes_does_not_count_even_within_the_grace_time)
{
	ck_assert_uint_eq(count_able(0), 5);
	candidates[0].replica.id = 0;
	ck_assert_uint_eq(count_able(0), 4);
	ck_assert_uint_eq(count_able(3), 3);
}
END_TEST

START_TEST(a_voter_that_has_lost_its_disk_counts_once)
{
	candidates[1].replica.id = 33;
	ck_assert_uint_eq(count_able(0), 5);
	membership_ban(&bans, 33, NOW);
	ck_assert_uint_eq(count_able(0), 4);
}
END_TEST

/* Guards against a VM that is reported as empty and votes again after the loss of its disk. */
START_TEST(a_retired_vm_is_no_spare_under_a_new_replica_id)
{
	retired = 5;
	retired_name = "store-5";
	retired_addr = "127.0.0.5:1";
	candidates[3].replica.id = 55;
	ck_assert_uint_eq(find_spare("zc"), 4);
	ck_assert_uint_eq(count_able(0), 4);
	/* Another VM that has got its name, or its address. */
	retired_addr = "127.0.0.6:1";
	ck_assert_uint_eq(find_spare("zc"), 55);
	retired_addr = "127.0.0.5:1";
	snprintf(candidates[3].name, sizeof(candidates[3].name), "store-6");
	ck_assert_uint_eq(find_spare("zc"), 55);
	ck_assert_uint_eq(count_able(0), 5);
}
END_TEST

/* Guards against a VM that is reported as empty while the id it had before it lost its disk votes.
 */
START_TEST(an_order_holds_for_all_replica_ids_at_an_address)
{
	uint64_t ids[GROUP_PEERS_MAX + 1];

	ck_assert_uint_eq(membership_ids_at(&st, "127.0.0.2:1", 22, ids), 2);
	ck_assert_uint_eq(ids[0], 22);
	ck_assert_uint_eq(ids[1], 2);
	ck_assert_uint_eq(membership_ids_at(&st, "127.0.0.2:1", 2, ids), 1);
	ck_assert_uint_eq(membership_ids_at(&st, "127.0.0.2:1", 0, ids), 1);
	ck_assert_uint_eq(membership_ids_at(&st, "127.0.0.4:1", 4, ids), 1);
	ck_assert_uint_eq(membership_ids_at(&st, "127.0.0.4:1", 0, ids), 0);
}
END_TEST

START_TEST(no_change_leaves_a_minority_that_acknowledges)
{
	membership_view_t v = view();

	st.peers[st.npeers] = peer(4, "zb", false);
	st.last_ack[st.npeers] = st.ack_awaited[st.npeers] = NOW - 10;
	st.npeers++;
	silence(1);
	ck_assert(membership_keeps_majority(&v, 4, 0)); /* 1, 3 and 4 of 4 */
	ck_assert(membership_keeps_majority(&v, 0, 2)); /* 1 and 3 of 2 */
	ck_assert(!membership_keeps_majority(&v, 0, 3)); /* 1 of 2 */
	silence(2);
	ck_assert(!membership_keeps_majority(&v, 4, 0)); /* 1 and 4 of 4 */
}
END_TEST

int main(void)
{
	Suite *s = suite_create("membership");
	TCase *t = tcase_create("membership");

	suite_add_tcase(s, t);
	tcase_add_checked_fixture(t, setup, NULL);
	tcase_add_test(t, a_replica_that_was_removed_as_silent_is_no_spare_for_some_time);
	tcase_add_test(t, a_process_whose_disk_refuses_writes_is_no_spare);
	tcase_add_test(t, more_bans_than_fit_replace_the_oldest);
	tcase_add_test(t, a_linked_voter_that_acknowledges_nothing_does_not_count);
	tcase_add_test(t,
		       a_voter_whose_disk_refuses_writes_does_not_count_even_within_the_grace_time);
	tcase_add_test(t, a_voter_that_has_lost_its_disk_counts_once);
	tcase_add_test(t, a_retired_vm_is_no_spare_under_a_new_replica_id);
	tcase_add_test(t, an_order_holds_for_all_replica_ids_at_an_address);
	tcase_add_test(t, no_change_leaves_a_minority_that_acknowledges);
	return suite_run(s);
}
