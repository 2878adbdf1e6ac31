/* Tests of which members acknowledge something to the leader (raft/group_internal.h,
 * policy/voter_watch.h). Guard against a voter with a failed disk that counts as one that votes. */
#include <stdio.h>
#include <string.h>
#include "policy/voter_watch.h"
#include "raft/group_internal.h"
#include "suite_kit.h"

#define GRACE_MS 1500

static group_acks_t acks;
static voter_watch_t watch;
static raft_members_t members;
static char events[256];

static void setup(void)
{
	acks = (group_acks_t){0};
	watch = (voter_watch_t){0};
	members = (raft_members_t){.n = 3};
	for (unsigned i = 0; i < 3; i++)
		members.peers[i] = (group_peer_t){.id = i + 1, .voter = true};
	events[0] = 0;
}

/* Member id has synced up to match at a time. */
static void acknowledge(uint64_t id, uint64_t match, uint64_t commit, deadline_t now)
{
	raft_member_progress_t p = {.match = match};

	group_acks_record(&acks, id, &p, commit, now);
}

/* The status of the leader, replica 1, which leads since time 1000. */
static group_status_t status_at(uint64_t commit)
{
	group_status_t st = {
		.self = 1, .leader = true, .leader_since = 1000, .commit = commit, .npeers = 3};

	memcpy(st.peers, members.peers, sizeof(st.peers));
	group_acks_publish(&acks, &st);
	for (unsigned i = 0; i < acks.n; i++)
		st.match[i] = acks.members[i].most.match;
	return st;
}

static void on_event(void *ctx, const voter_event_t *e)
{
	static const char *const names[] = {"silent", "acknowledges", "caught-up"};
	char *end = events + strlen(events);

	snprintf(end, (size_t)(events + sizeof(events) - end), "%s %lu %ld %lu;", names[e->change],
		 (unsigned long)e->voter->id, (long)e->ms, (unsigned long)(e->commit - e->match));
}

static void update_watch(uint64_t commit, deadline_t now)
{
	group_status_t st = status_at(commit);

	voter_watch_update(&watch, &st, now, GRACE_MS, on_event, NULL);
}

START_TEST(a_member_that_answers_but_syncs_nothing_is_silent)
{
	group_status_t st;

	group_acks_set_members(&acks, &members, 1000, 1000);
	acknowledge(2, 10, 10, 1100);
	acknowledge(3, 10, 10, 1100);
	acknowledge(2, 11, 11, 3000);
	acknowledge(3, 10, 11, 3000);
	st = status_at(11);
	ck_assert(!group_peer_is_silent(&st, 1, 3000, GRACE_MS));
	ck_assert(group_peer_is_silent(&st, 2, 3000, GRACE_MS));
	ck_assert_uint_eq(group_count_acknowledging(&st, 3000, GRACE_MS), 2);
}
END_TEST

START_TEST(a_member_that_falls_behind_but_syncs_more_is_not_silent)
{
	group_status_t st;

	group_acks_set_members(&acks, &members, 1000, 1000);
	acknowledge(3, 10, 50, 2400);
	acknowledge(3, 11, 90, 3800);
	st = status_at(90);
	ck_assert(!group_peer_is_silent(&st, 2, 5000, GRACE_MS));
	ck_assert(group_peer_is_silent(&st, 2, 5400, GRACE_MS));
}
END_TEST

START_TEST(a_member_that_receives_a_snapshot_is_not_silent)
{
	raft_member_progress_t p = {.match = 3, .snap_index = 20, .snap_offset = 100};
	group_status_t st;

	group_acks_set_members(&acks, &members, 1000, 1000);
	group_acks_record(&acks, 2, &p, 50, 2400);
	p.snap_offset = 200;
	group_acks_record(&acks, 2, &p, 50, 3800);
	st = status_at(50);
	ck_assert(!group_peer_is_silent(&st, 1, 5000, GRACE_MS));
	p.snap_offset = 0; /* it starts again: nothing that it has not had before */
	group_acks_record(&acks, 2, &p, 50, 5000);
	st = status_at(50);
	ck_assert(group_peer_is_silent(&st, 1, 5400, GRACE_MS));
}
END_TEST

START_TEST(a_new_member_is_given_the_grace_time)
{
	group_status_t st;

	members.n = 2;
	group_acks_set_members(&acks, &members, 1000, 1000);
	members.n = 3;
	group_acks_set_members(&acks, &members, 1000, 9000);
	st = status_at(10);
	ck_assert(group_peer_is_silent(&st, 1, 9100, GRACE_MS));
	ck_assert(!group_peer_is_silent(&st, 2, 9100, GRACE_MS));
	ck_assert_uint_eq(group_count_acknowledging(&st, 9100, GRACE_MS), 1);
}
END_TEST

START_TEST(a_new_leader_knows_of_no_acknowledgement)
{
	group_status_t st;

	group_acks_set_members(&acks, &members, 500, 500);
	acknowledge(2, 10, 10, 990);
	group_acks_set_members(&acks, &members, 1000, 1010);
	st = status_at(10);
	ck_assert_uint_eq(group_count_acknowledging(&st, 1010, GRACE_MS), 1);
	ck_assert(!group_peer_is_silent(&st, 1, 1010, GRACE_MS));
}
END_TEST

START_TEST(each_change_of_a_voter_is_reported_once)
{
	group_acks_set_members(&acks, &members, 1000, 1000);
	for (deadline_t t = 1100; t <= 4000; t += 100) {
		acknowledge(2, (uint64_t)t, (uint64_t)t, t);
		acknowledge(3, 1100, (uint64_t)t, t);
		update_watch((uint64_t)t, t);
	}
	ck_assert_str_eq(events, "silent 3 1600 1600;");
	acknowledge(2, 4100, 4100, 4100);
	acknowledge(3, 1200, 4100, 4100);
	update_watch(4100, 4100);
	update_watch(4100, 4150);
	acknowledge(3, 4100, 4200, 4200);
	update_watch(4200, 4250);
	update_watch(4200, 4300);
	ck_assert_str_eq(events,
			 "silent 3 1600 1600;acknowledges 3 3000 3000;caught-up 3 150 100;");
}
END_TEST

int main(void)
{
	Suite *s = suite_create("voters");
	TCase *t = tcase_create("voters");

	suite_add_tcase(s, t);
	tcase_add_checked_fixture(t, setup, NULL);
	tcase_add_test(t, a_member_that_answers_but_syncs_nothing_is_silent);
	tcase_add_test(t, a_member_that_falls_behind_but_syncs_more_is_not_silent);
	tcase_add_test(t, a_member_that_receives_a_snapshot_is_not_silent);
	tcase_add_test(t, a_new_member_is_given_the_grace_time);
	tcase_add_test(t, a_new_leader_knows_of_no_acknowledgement);
	tcase_add_test(t, each_change_of_a_voter_is_reported_once);
	return suite_run(s);
}
