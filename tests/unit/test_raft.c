/* Unit tests of the log's core: fixed seeds of the randomised run, and each protection by itself.
 */
#include <stdlib.h>
#include <string.h>
#include "sim.h"
#include "suite_kit.h"

#define ELECTION_TICKS 6 /* as the replicas of sim_node_start have it */
#define FIXED_SEEDS    140

static sim_t *s;
static sim_result_t res;

static void setup(void)
{
	s = sim_new(7, 3, &res);
}

static void teardown(void)
{
	ck_assert_msg(!res.violated, "%s", res.what);
	sim_free(s);
}

static void tick(sim_node_t *n, unsigned ticks)
{
	for (unsigned i = 0; i < ticks; i++)
		raft_tick(n->raft);
}

static raft_status_t view(const sim_node_t *n)
{
	raft_status_t v;

	raft_get_status(n->raft, &v);
	return v;
}

static sim_node_t *leader(void)
{
	for (unsigned i = 0; i < SIM_ADDRS; i++) {
		if (s->nodes[i].raft && raft_role(s->nodes[i].raft) == RAFT_LEADER)
			return &s->nodes[i];
	}
	return NULL;
}

/* Makes the replica at `slot` lead. */
static sim_node_t *elect(unsigned slot)
{
	tick(&s->nodes[slot], 2 * ELECTION_TICKS);
	sim_settle(s);
	ck_assert_int_eq(raft_role(s->nodes[slot].raft), RAFT_LEADER);
	return &s->nodes[slot];
}

static uint64_t propose(sim_node_t *n)
{
	sim_cmd_t cmd = {.op = ++s->next_op};
	uint64_t index = raft_propose(n->raft, (str_t){(const char *)&cmd, sizeof(cmd)});

	ck_assert_uint_ne(index, 0);
	sim_call_begin(s, n, false, cmd.op, index, 0);
	return index;
}

static unsigned count_packets(unsigned from)
{
	unsigned n = 0;

	for (unsigned i = 0; i < s->npackets; i++)
		n += s->packets[i].from == from;
	return n;
}

static void drop_packets(void)
{
	while (s->npackets)
		buf_free(&s->packets[--s->npackets].bytes);
}

START_TEST(fixed_seeds)
{
	sim_options_t o = {.steps = 2000};
	sim_result_t r;

	for (o.seed = 1; o.seed <= FIXED_SEEDS; o.seed++)
		ck_assert_msg(sim_run(&o, &r), "seed %lu: %s", (unsigned long)o.seed, r.what);
}
END_TEST

START_TEST(prevote_keeps_the_term_of_a_cut_off_follower)
{
	sim_node_t *l = elect(0);
	uint64_t term = view(l).term;

	s->nodes[1].partition = 1;
	for (int i = 0; i < 20; i++) {
		tick(&s->nodes[1], ELECTION_TICKS);
		sim_settle(s);
	}
	ck_assert_uint_eq(view(&s->nodes[1]).term, term);
	s->nodes[1].partition = 0;
	tick(l, 2);
	sim_settle(s);
	ck_assert_ptr_eq(leader(), l);
	ck_assert_uint_eq(view(&s->nodes[1]).leader, l->id);
}
END_TEST

START_TEST(lease_of_a_heard_leader_refuses_votes)
{
	sim_node_t *l = elect(0);
	uint64_t term = view(l).term;
	raft_msg_t vote = {.type = RAFT_VOTE,
			   .from = s->nodes[1].id,
			   .to = s->nodes[2].id,
			   .term = term + 1,
			   .index = 100,
			   .log_term = term};

	tick(&s->nodes[1], 2 * ELECTION_TICKS);
	sim_settle(s);
	raft_receive(s->nodes[2].raft, &vote);
	sim_settle(s);
	ck_assert_uint_eq(view(&s->nodes[2]).term, term);
	ck_assert_ptr_eq(leader(), l);
}
END_TEST

START_TEST(check_quorum_ends_a_cut_off_leader)
{
	sim_node_t *l = elect(0);

	l->partition = 1;
	tick(l, ELECTION_TICKS + 1);
	ck_assert_int_ne(raft_role(l->raft), RAFT_LEADER);
}
END_TEST

START_TEST(learner_is_promoted_only_when_synced)
{
	sim_node_t *l = elect(0);
	group_peer_t p = {.id = s->nodes[4].id};
	uint64_t index;

	propose(l);
	sim_settle(s);
	s->nodes[4].partition = 1;
	ck_assert_int_eq(raft_add_learner(l->raft, &p, &index), STATUS_OK);
	sim_settle(s);
	ck_assert_uint_ge(view(l).commit, index);
	ck_assert_int_eq(raft_promote(l->raft, p.id, &index), STATUS_LIMIT);
	s->nodes[4].partition = 0;
	tick(l, 2);
	sim_settle(s);
	ck_assert_int_eq(raft_promote(l->raft, p.id, &index), STATUS_OK);
	sim_settle(s);
	ck_assert_uint_eq(view(&s->nodes[4]).last, view(l).last);
}
END_TEST

START_TEST(vote_leaves_only_after_its_sync)
{
	sim_node_t *n = &s->nodes[2];
	raft_msg_t vote = {
		.type = RAFT_VOTE, .from = s->nodes[1].id, .to = n->id, .term = 5, .index = 1};

	raft_receive(n->raft, &vote);
	ck_assert_uint_eq(count_packets(2), 0);
	sim_node_sync(n, SIZE_MAX);
	ck_assert_uint_eq(count_packets(2), 1);
	ck_assert_uint_eq(n->disk.vote, s->nodes[1].id);
}
END_TEST

START_TEST(nothing_commits_before_a_majority_has_synced)
{
	sim_node_t *l = elect(0);
	uint64_t index = propose(l);

	raft_flush(l->raft);
	for (int i = 0; i < 50; i++)
		sim_deliver(s);
	ck_assert_uint_lt(view(l).commit, index);
	sim_node_sync(l, SIZE_MAX);
	ck_assert_uint_lt(view(l).commit, index);
	sim_node_sync(&s->nodes[1], SIZE_MAX);
	while (s->npackets)
		sim_deliver(s);
	ck_assert_uint_eq(view(l).commit, index);
	ck_assert_uint_eq(res.writes, 1);
}
END_TEST

START_TEST(followers_alone_may_commit_while_the_leader_syncs)
{
	sim_node_t *l = elect(0);
	uint64_t index = propose(l);

	raft_flush(l->raft);
	while (s->npackets)
		sim_deliver(s);
	sim_node_sync(&s->nodes[1], SIZE_MAX);
	while (s->npackets)
		sim_deliver(s);
	ck_assert_uint_lt(view(l).commit, index); /* one of three, the leader's isn't done */
	sim_node_sync(&s->nodes[2], SIZE_MAX);
	while (s->npackets)
		sim_deliver(s);
	ck_assert_uint_eq(view(l).commit, index);
}
END_TEST

START_TEST(read_waits_for_a_majority)
{
	sim_node_t *old = elect(0);
	sim_node_t *now;

	propose(old);
	sim_settle(s);
	old->partition = 1;
	sim_call_begin(s, old, true, 1000, 0, 0);
	ck_assert(raft_read_index(old->raft, 1000));
	sim_settle(s);
	ck_assert_uint_eq(res.reads, 0);
	tick(&s->nodes[2], ELECTION_TICKS);
	now = elect(1);
	propose(now);
	sim_settle(s);
	old->partition = 0;
	tick(now, 2);
	sim_settle(s);
	ck_assert_uint_eq(res.reads, 0);
	ck_assert_uint_eq(s->ncalls, 0); /* it was told that leadership was lost */
	sim_call_begin(s, now, true, 1001, 0, 0);
	ck_assert(raft_read_index(now->raft, 1001));
	sim_settle(s);
	ck_assert_uint_eq(res.reads, 1);
}
END_TEST

START_TEST(replaced_disk_is_not_the_old_voter)
{
	sim_node_t *l = elect(0);
	raft_msg_t vote = {.type = RAFT_VOTE, .from = l->id, .to = s->nodes[1].id, .term = 50};
	uint64_t index;

	sim_lose_disk(s, &s->nodes[1]);
	raft_receive(s->nodes[1].raft, &vote); /* for the id that the address had before */
	ck_assert_uint_eq(view(&s->nodes[1]).term, 0);
	sim_node_stop(&s->nodes[2]);
	index = propose(l);
	for (int i = 0; i < 5; i++) {
		tick(l, 1);
		sim_settle(s);
	}
	ck_assert_uint_lt(view(l).commit, index);
	ck_assert_uint_eq(view(&s->nodes[1]).last, 0);
	tick(l, ELECTION_TICKS);
	ck_assert_int_ne(raft_role(l->raft), RAFT_LEADER);
}
END_TEST

START_TEST(transfer_needs_no_timeout)
{
	sim_node_t *l = elect(0);

	propose(l);
	ck_assert(raft_transfer_leadership(l->raft));
	ck_assert_uint_eq(raft_propose(l->raft, STR("x")), 0);
	sim_settle(s);
	ck_assert_ptr_nonnull(leader());
	ck_assert_ptr_ne(leader(), l);
	ck_assert_uint_eq(res.writes, 1);
}
END_TEST

START_TEST(learner_catches_up_by_a_snapshot)
{
	sim_node_t *l = elect(0);
	group_peer_t p = {.id = s->nodes[4].id};
	uint64_t index;

	for (int i = 0; i < 2; i++) {
		propose(l);
		sim_settle(s);
		sim_node_snapshot(l);
	}
	ck_assert_uint_gt(view(l).base, 1);
	ck_assert_int_eq(raft_add_learner(l->raft, &p, &index), STATUS_OK);
	for (int i = 0; i < 4; i++) {
		sim_settle(s);
		tick(l, 1);
	}
	ck_assert_uint_eq(res.installs, 1);
	ck_assert_uint_eq(view(&s->nodes[4]).synced, view(l).last);
	sim_node_stop(&s->nodes[4]);
	sim_node_start(&s->nodes[4]);
	ck_assert_uint_ge(view(&s->nodes[4]).base, view(l).base);
}
END_TEST

START_TEST(members_change_one_at_a_time)
{
	sim_node_t *l = elect(0);
	group_peer_t first = {.id = s->nodes[4].id};
	group_peer_t second = {.id = s->nodes[5].id};
	uint64_t index;

	ck_assert_int_eq(raft_add_learner(l->raft, &first, &index), STATUS_OK);
	ck_assert_int_eq(raft_add_learner(l->raft, &second, &index), STATUS_LIMIT);
	sim_settle(s);
	ck_assert_int_eq(raft_add_learner(l->raft, &second, &index), STATUS_OK);
	sim_settle(s);
	tick(l, 2);
	sim_settle(s);
	/* A new leader first commits an entry of its own term. */
	ck_assert(raft_transfer_leadership(l->raft));
	for (unsigned i = 0; raft_role(l->raft) == RAFT_LEADER || !leader(); i++) {
		sim_deliver(s);
		sim_node_sync(&s->nodes[i % 3], SIZE_MAX);
	}
	ck_assert_int_eq(raft_remove(leader()->raft, second.id, &index), STATUS_LIMIT);
	sim_settle(s);
	ck_assert_int_eq(raft_remove(leader()->raft, second.id, &index), STATUS_OK);
	sim_settle(s);
}
END_TEST

START_TEST(removal_that_leaves_no_live_majority_is_refused)
{
	sim_node_t *l = elect(0);
	uint64_t index;

	sim_lose_disk(s, &s->nodes[1]);
	for (int i = 0; i < ELECTION_TICKS; i++) {
		tick(l, 1);
		sim_settle(s);
	}
	ck_assert_int_eq(raft_remove(l->raft, s->nodes[2].id, &index), STATUS_LIMIT);
	ck_assert_int_eq(raft_remove(l->raft, s->ids[1].id, &index), STATUS_OK);
	sim_settle(s);
	ck_assert_uint_ge(view(l).commit, index);
}
END_TEST

START_TEST(removed_leader_steps_down)
{
	sim_node_t *l = elect(0);
	uint64_t index;

	ck_assert_int_eq(raft_remove(l->raft, l->id, &index), STATUS_OK);
	sim_settle(s);
	ck_assert_int_ne(raft_role(l->raft), RAFT_LEADER);
	tick(&s->nodes[2], ELECTION_TICKS);
	elect(1);
}
END_TEST

START_TEST(entries_of_earlier_terms_commit_only_with_one_of_this_term)
{
	sim_node_t *l = elect(0);
	uint64_t old = propose(l);
	raft_msg_t ack = {
		.type = RAFT_APPEND_RESP, .from = s->nodes[1].id, .to = l->id, .index = old};

	l->partition = 1;
	sim_settle(s);
	raft_step_down(l->raft);
	tick(&s->nodes[1], ELECTION_TICKS);
	tick(&s->nodes[2], ELECTION_TICKS);
	drop_packets();
	l->partition = 0;
	tick(l, 2 * ELECTION_TICKS);
	while (raft_role(l->raft) != RAFT_LEADER) {
		sim_deliver(s);
		for (int i = 0; i < 3; i++)
			sim_node_sync(&s->nodes[i], SIZE_MAX);
	}
	ack.term = view(l).term;
	ack.index = old;
	raft_receive(l->raft, &ack);
	ck_assert_uint_lt(view(l).commit, old);
	ack.index = view(l).last;
	raft_receive(l->raft, &ack);
	sim_node_sync(l, SIZE_MAX);
	ck_assert_uint_gt(view(l).commit, old);
}
END_TEST

START_TEST(snapshot_inside_the_log_keeps_what_follows)
{
	sim_node_t *l = elect(0);
	sim_node_t *f = &s->nodes[1];
	uint64_t first = propose(l);
	raft_msg_t snap = {.type = RAFT_SNAPSHOT, .from = l->id, .to = f->id, .term = view(l).term};
	uint64_t last;

	last = propose(l);
	sim_settle(s);
	ck_assert_uint_lt(view(f).commit, first);
	snap.index = first;
	snap.log_term = view(l).term;
	raft_receive(f->raft, &snap);
	ck_assert_uint_eq(view(f).last, last);
	ck_assert_uint_eq(view(f).commit, first);
	sim_settle(s);
}
END_TEST

START_TEST(removed_voter_campaigns_until_its_removal_is_committed)
{
	sim_node_t *l = elect(0);
	uint64_t index;

	ck_assert_int_eq(raft_remove(l->raft, s->nodes[2].id, &index), STATUS_OK);
	sim_settle(s);
	sim_node_stop(&s->nodes[2]);
	l->partition = 1;
	ck_assert_int_eq(raft_remove(l->raft, l->id, &index), STATUS_OK);
	sim_settle(s);
	tick(l, ELECTION_TICKS + 1);
	tick(&s->nodes[1], ELECTION_TICKS);
	l->partition = 0;
	for (int i = 0; i < 6; i++) {
		tick(l, ELECTION_TICKS);
		tick(&s->nodes[1], ELECTION_TICKS);
		sim_settle(s);
	}
	ck_assert_ptr_eq(leader(), &s->nodes[1]);
	ck_assert_uint_eq(view(&s->nodes[1]).members.n, 1);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("raft");
	TCase *t = tcase_create("core");
	TCase *seeds = tcase_create("seeds");

	suite_add_tcase(suite, t);
	suite_add_tcase(suite, seeds);
	tcase_set_timeout(seeds, 300);
	tcase_add_test(seeds, fixed_seeds);
	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, prevote_keeps_the_term_of_a_cut_off_follower);
	tcase_add_test(t, lease_of_a_heard_leader_refuses_votes);
	tcase_add_test(t, check_quorum_ends_a_cut_off_leader);
	tcase_add_test(t, learner_is_promoted_only_when_synced);
	tcase_add_test(t, vote_leaves_only_after_its_sync);
	tcase_add_test(t, nothing_commits_before_a_majority_has_synced);
	tcase_add_test(t, followers_alone_may_commit_while_the_leader_syncs);
	tcase_add_test(t, read_waits_for_a_majority);
	tcase_add_test(t, replaced_disk_is_not_the_old_voter);
	tcase_add_test(t, transfer_needs_no_timeout);
	tcase_add_test(t, learner_catches_up_by_a_snapshot);
	tcase_add_test(t, members_change_one_at_a_time);
	tcase_add_test(t, removal_that_leaves_no_live_majority_is_refused);
	tcase_add_test(t, removed_leader_steps_down);
	tcase_add_test(t, entries_of_earlier_terms_commit_only_with_one_of_this_term);
	tcase_add_test(t, snapshot_inside_the_log_keeps_what_follows);
	tcase_add_test(t, removed_voter_campaigns_until_its_removal_is_committed);
	return suite_run(suite);
}
