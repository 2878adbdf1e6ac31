/* Tests of the Raft core (raft/raft.h): random runs of the simulation with fixed seeds, and each
 * safety rule by itself. Each rule guards against a lost or changed entry, two leaders in a term,
 * a stale read, or a group that cannot elect a leader. */
#include <stdlib.h>
#include <string.h>
#include "proto/wire.h"
#include "raft/raft_internal.h"
#include "sim.h"
#include "suite_kit.h"

#define ELECTION_TICKS	6 /* as set by sim_node_start */
#define HEARTBEAT_TICKS 2
#define FIXED_SEEDS	140

static sim_t *sim;
static sim_result_t res;

/* Three voters at addresses 0 to 2; the replicas at the other addresses can become learners. */
static void setup(void)
{
	sim = sim_new(7, 3, &res);
}

static void teardown(void)
{
	ck_assert_msg(!res.violated, "%s", res.what);
	sim_free(sim);
}

static void tick(sim_node_t *n, unsigned ticks)
{
	for (unsigned i = 0; i < ticks; i++)
		raft_tick(n->raft);
}

static raft_status_t status_of(const sim_node_t *n)
{
	raft_status_t v;

	raft_get_status(n->raft, &v);
	return v;
}

static sim_node_t *find_leader(void)
{
	for (unsigned i = 0; i < SIM_ADDRS; i++) {
		if (sim->nodes[i].raft && raft_role(sim->nodes[i].raft) == RAFT_LEADER)
			return &sim->nodes[i];
	}
	return NULL;
}

/* Makes the replica at this address the leader. */
static sim_node_t *elect(unsigned addr)
{
	tick(&sim->nodes[addr], 2 * ELECTION_TICKS);
	sim_settle(sim);
	ck_assert_int_eq(raft_role(sim->nodes[addr].raft), RAFT_LEADER);
	return &sim->nodes[addr];
}

static uint64_t start_write(sim_node_t *n)
{
	sim_cmd_t cmd = {.op = ++sim->next_op};
	uint64_t index = raft_propose(n->raft, (str_t){(const char *)&cmd, sizeof(cmd)});

	ck_assert_uint_ne(index, 0);
	sim_call_begin(sim, n, false, cmd.op, index, 0);
	return index;
}

static unsigned count_packets_from(unsigned from)
{
	unsigned n = 0;

	for (unsigned i = 0; i < sim->npackets; i++)
		n += sim->packets[i].from == from;
	return n;
}

static void drop_all_packets(void)
{
	while (sim->npackets)
		buf_free(&sim->packets[--sim->npackets].bytes);
}

/* Entries of several MB, as of large batch lots, must not fill the memory of a leader once for each
 * message that may be in flight. */
START_TEST(a_follower_that_does_not_answer_is_sent_few_bytes)
{
	static char data[1 << 20];
	sim_node_t *leader = elect(0);
	size_t bytes = 0;

	sim->nodes[1].partition = 1;
	drop_all_packets();
	for (int i = 0; i < RAFT_INFLIGHT_MAX; i++) {
		sim_cmd_t cmd = {.op = ++sim->next_op};

		memcpy(data, &cmd, sizeof(cmd));
		ck_assert_uint_ne(raft_propose(leader->raft, (str_t){data, sizeof(data)}), 0);
		raft_flush(leader->raft);
	}
	for (unsigned i = 0; i < sim->npackets; i++)
		bytes += sim->packets[i].to == 1 ? sim->packets[i].bytes.n : 0;
	ck_assert_uint_ge(bytes, RAFT_INFLIGHT_BYTES_MAX);
	ck_assert_uint_lt(bytes, RAFT_INFLIGHT_BYTES_MAX + 2 * sizeof(data));
	sim->nodes[1].partition = 0;
	tick(leader, 2 * HEARTBEAT_TICKS);
	sim_settle(sim);
	ck_assert_uint_eq(status_of(&sim->nodes[1]).last, status_of(leader).last);
}
END_TEST

START_TEST(random_runs_keep_the_invariants)
{
	sim_options_t o = {.steps = 2000};
	sim_result_t r;

	for (o.seed = 1; o.seed <= FIXED_SEEDS; o.seed++)
		ck_assert_msg(sim_run(&o, &r), "seed %lu: %s", (unsigned long)o.seed, r.what);
}
END_TEST

START_TEST(random_runs_with_disk_faults_keep_the_invariants)
{
	sim_options_t o = {.steps = 2000, .disk_faults = true};
	sim_result_t r;

	for (o.seed = 1; o.seed <= FIXED_SEEDS; o.seed++)
		ck_assert_msg(sim_run(&o, &r), "seed %lu: %s", (unsigned long)o.seed, r.what);
}
END_TEST

/* With a higher term, the follower would depose the leader when it returns. */
START_TEST(prevote_keeps_the_term_of_an_isolated_follower)
{
	sim_node_t *leader = elect(0);
	uint64_t term = status_of(leader).term;

	sim->nodes[1].partition = 1;
	for (int i = 0; i < 20; i++) {
		tick(&sim->nodes[1], ELECTION_TICKS);
		sim_settle(sim);
	}
	ck_assert_uint_eq(status_of(&sim->nodes[1]).term, term);
	sim->nodes[1].partition = 0;
	tick(leader, 2);
	sim_settle(sim);
	ck_assert_ptr_eq(find_leader(), leader);
	ck_assert_uint_eq(status_of(&sim->nodes[1]).leader, leader->id);
}
END_TEST

/* A candidate that has lost contact must not depose a leader that the other followers still
 * receive messages from, even if its term and its log are newer. */
START_TEST(a_follower_of_a_live_leader_refuses_votes)
{
	sim_node_t *leader = elect(0);
	uint64_t term = status_of(leader).term;
	raft_msg_t vote = {.type = RAFT_VOTE,
			   .from = sim->nodes[1].id,
			   .to = sim->nodes[2].id,
			   .term = term + 1,
			   .index = 100,
			   .log_term = term};

	tick(&sim->nodes[1], 2 * ELECTION_TICKS);
	sim_settle(sim);
	raft_receive(sim->nodes[2].raft, &vote);
	sim_settle(sim);
	ck_assert_uint_eq(status_of(&sim->nodes[2]).term, term);
	ck_assert_ptr_eq(find_leader(), leader);
}
END_TEST

/* A leader without a majority cannot commit; callers would wait for it in vain. */
START_TEST(an_isolated_leader_steps_down)
{
	sim_node_t *leader = elect(0);

	leader->partition = 1;
	tick(leader, ELECTION_TICKS + 1);
	ck_assert_int_ne(raft_role(leader->raft), RAFT_LEADER);
}
END_TEST

/* A voter that lacks most of the log counts towards the majority but cannot acknowledge new
 * entries: commits could stop. */
START_TEST(a_learner_is_promoted_only_once_it_has_caught_up)
{
	sim_node_t *leader = elect(0);
	group_peer_t p = {.id = sim->nodes[4].id};
	uint64_t index;

	start_write(leader);
	sim_settle(sim);
	sim->nodes[4].partition = 1;
	ck_assert_int_eq(raft_add_learner(leader->raft, &p, &index), STATUS_OK);
	sim_settle(sim);
	ck_assert_uint_ge(status_of(leader).commit, index);
	ck_assert_int_eq(raft_promote(leader->raft, p.id, &index), STATUS_LIMIT);
	sim->nodes[4].partition = 0;
	tick(leader, 2);
	sim_settle(sim);
	ck_assert_int_eq(raft_promote(leader->raft, p.id, &index), STATUS_OK);
	sim_settle(sim);
	ck_assert_uint_eq(status_of(&sim->nodes[4]).last, status_of(leader).last);
}
END_TEST

#define SLOW_PACKETS_MAX 4096

/* A network and disks with a fixed delay, in ticks. */
typedef struct {
	unsigned path_ticks;
	unsigned sync_ticks;
	unsigned now;
	struct {
		unsigned due;
		unsigned to;
		buf_t bytes;
	} packets[SLOW_PACKETS_MAX]; /* in order of sending */
	size_t first;
	size_t n;
} slow_net_t;

static void slow_net_free(slow_net_t *net)
{
	while (net->first < net->n)
		buf_free(&net->packets[net->first++].bytes);
	free(net);
}

static void deliver_slowly(slow_net_t *net)
{
	while (net->first < net->n && net->packets[net->first].due <= net->now) {
		raft_t *to = sim->nodes[net->packets[net->first].to].raft;
		buf_t *b = &net->packets[net->first++].bytes;
		raft_msg_t m;

		if (wire_decode(str_buf(b), XDR_PROC(raft_msg_t), &m, sizeof(m)) == STATUS_OK)
			raft_receive(to, &m);
		wire_free(XDR_PROC(raft_msg_t), &m);
		buf_free(b);
	}
}

static void slow_tick(slow_net_t *net)
{
	net->now++;
	deliver_slowly(net);
	for (unsigned i = 0; i < 3; i++) {
		raft_tick(sim->nodes[i].raft);
		raft_flush(sim->nodes[i].raft);
		if (net->now % net->sync_ticks == 0)
			sim_node_sync(&sim->nodes[i], SIZE_MAX);
	}
	for (unsigned i = 0; i < sim->npackets; i++) {
		const sim_packet_t *p = &sim->packets[i];

		if (sim->nodes[p->from].partition != sim->nodes[p->to].partition) {
			buf_free(&sim->packets[i].bytes);
			continue;
		}
		ck_assert_uint_lt(net->n, SLOW_PACKETS_MAX);
		net->packets[net->n].due = net->now + net->path_ticks;
		net->packets[net->n].to = p->to;
		net->packets[net->n++].bytes = p->bytes;
	}
	sim->npackets = 0;
}

/* Ticks until a leader has committed an entry of its term; then it must keep the lead. */
static unsigned ticks_to_a_lasting_leader(unsigned path_ticks, unsigned sync_ticks)
{
	slow_net_t *net = calloc(1, sizeof(*net));
	unsigned took;
	sim_node_t *leader = NULL;

	net->path_ticks = path_ticks;
	net->sync_ticks = sync_ticks;
	while (!leader && net->now < 100 * ELECTION_TICKS) {
		slow_tick(net);
		leader = find_leader();
		if (leader && status_of(leader).commit < status_of(leader).last)
			leader = NULL;
	}
	took = net->now;
	for (unsigned i = 0; i < 20 * ELECTION_TICKS && leader; i++) {
		slow_tick(net);
		ck_assert_ptr_eq(find_leader(), leader);
	}
	slow_net_free(net);
	return leader ? took : 0;
}

/* With a fixed timeout below the round trip no election ends, and a new leader gives up before the
 * first answers. */
START_TEST(a_leader_is_elected_over_paths_and_disks_slower_than_the_timeout)
{
	static const struct {
		unsigned path_ticks;
		unsigned sync_ticks;
	} slow[] = {{1, 1}, {3, 1}, {4, 3}, {5, 1}, {5, 6}, {7, 3}, {1, 12}};

	for (size_t i = 0; i < sizeof(slow) / sizeof(slow[0]); i++) {
		unsigned took;

		teardown();
		sim = sim_new(20 + i, 3, &res);
		took = ticks_to_a_lasting_leader(slow[i].path_ticks, slow[i].sync_ticks);
		ck_assert_msg(took > 0, "no leader: path %u ticks, sync %u", slow[i].path_ticks,
			      slow[i].sync_ticks);
		ck_assert_msg(took <= 40 * ELECTION_TICKS, "%u ticks: path %u ticks, sync %u", took,
			      slow[i].path_ticks, slow[i].sync_ticks);
	}
}
END_TEST

/* The longer the round trip, the likelier two replicas start at the same time; with two of three
 * left, each vote for itself was an election lost. */
START_TEST(two_candidates_at_the_same_time_do_not_split_the_vote)
{
	for (unsigned path_ticks = 1; path_ticks <= 2; path_ticks++) {
		for (unsigned second_at = 0; second_at <= 2 * path_ticks; second_at++) {
			slow_net_t *net = calloc(1, sizeof(*net));
			uint64_t term;

			teardown();
			sim = sim_new(40 + second_at, 3, &res);
			net->path_ticks = path_ticks;
			net->sync_ticks = 1;
			sim->nodes[2].partition = 1;
			term = status_of(&sim->nodes[0]).term;
			raft_start_prevote(sim->nodes[0].raft);
			for (unsigned i = 0; i < second_at; i++)
				slow_tick(net);
			if (raft_role(sim->nodes[1].raft) == RAFT_FOLLOWER)
				raft_start_prevote(sim->nodes[1].raft);
			while (!find_leader() && net->now < 20 * ELECTION_TICKS)
				slow_tick(net);
			ck_assert_ptr_nonnull(find_leader());
			ck_assert_uint_eq(status_of(find_leader()).term, term + 1);
			slow_net_free(net);
		}
	}
}
END_TEST

/* The longer timeout is for elections that fail; a group with a leader finds the next one as soon
 * as ever. */
START_TEST(the_election_timeout_is_short_again_once_there_is_a_leader)
{
	slow_net_t *net = calloc(1, sizeof(*net));
	sim_node_t *leader;
	unsigned lost_at;

	ck_assert_uint_gt(ticks_to_a_lasting_leader(7, 3), 0);
	leader = find_leader();
	net->path_ticks = net->sync_ticks = 1;
	for (unsigned i = 0; i < ELECTION_TICKS; i++)
		slow_tick(net);
	lost_at = net->now;
	leader->partition = 1;
	raft_step_down(leader->raft);
	for (unsigned i = 0; i < 3; i++)
		ck_assert_uint_le(raft_election_ticks(sim->nodes[i].raft), ELECTION_TICKS);
	while (!find_leader())
		slow_tick(net);
	ck_assert_uint_le(net->now - lost_at, 6 * ELECTION_TICKS);
	slow_net_free(net);
}
END_TEST

/* After a crash, a replica whose vote was not durable could vote for another candidate in the same
 * term. */
START_TEST(a_vote_is_sent_only_after_its_sync)
{
	sim_node_t *n = &sim->nodes[2];
	raft_msg_t vote = {
		.type = RAFT_VOTE, .from = sim->nodes[1].id, .to = n->id, .term = 5, .index = 1};

	raft_receive(n->raft, &vote);
	ck_assert_uint_eq(count_packets_from(2), 0);
	sim_node_sync(n, SIZE_MAX);
	ck_assert_uint_eq(count_packets_from(2), 1);
	ck_assert_uint_eq(n->disk.vote, sim->nodes[1].id);
}
END_TEST

/* An entry that a majority holds only in memory is lost if these replicas crash. */
START_TEST(nothing_commits_before_a_majority_has_synced)
{
	sim_node_t *leader = elect(0);
	uint64_t index = start_write(leader);

	raft_flush(leader->raft);
	for (int i = 0; i < 50; i++)
		sim_deliver(sim);
	ck_assert_uint_lt(status_of(leader).commit, index);
	sim_node_sync(leader, SIZE_MAX);
	ck_assert_uint_lt(status_of(leader).commit, index);
	sim_node_sync(&sim->nodes[1], SIZE_MAX);
	while (sim->npackets)
		sim_deliver(sim);
	ck_assert_uint_eq(status_of(leader).commit, index);
	ck_assert_uint_eq(res.writes, 1);
}
END_TEST

/* The leader's own disk counts like any other: a slow one must not delay commits. */
START_TEST(a_majority_of_followers_commits_before_the_leader_has_synced)
{
	sim_node_t *leader = elect(0);
	uint64_t index = start_write(leader);

	raft_flush(leader->raft);
	while (sim->npackets)
		sim_deliver(sim);
	sim_node_sync(&sim->nodes[1], SIZE_MAX);
	while (sim->npackets)
		sim_deliver(sim);
	/* One of three disks has synced; the leader's has not. */
	ck_assert_uint_lt(status_of(leader).commit, index);
	sim_node_sync(&sim->nodes[2], SIZE_MAX);
	while (sim->npackets)
		sim_deliver(sim);
	ck_assert_uint_eq(status_of(leader).commit, index);
}
END_TEST

/* A leader that was replaced without its knowledge would answer from an old state. */
START_TEST(a_read_waits_for_a_majority)
{
	sim_node_t *old_leader = elect(0);
	sim_node_t *new_leader;

	start_write(old_leader);
	sim_settle(sim);
	old_leader->partition = 1;
	sim_call_begin(sim, old_leader, true, 1000, 0, 0);
	ck_assert(raft_read_index(old_leader->raft, 1000));
	sim_settle(sim);
	ck_assert_uint_eq(res.reads, 0);
	tick(&sim->nodes[2], ELECTION_TICKS);
	new_leader = elect(1);
	start_write(new_leader);
	sim_settle(sim);
	old_leader->partition = 0;
	tick(new_leader, 2);
	sim_settle(sim);
	ck_assert_uint_eq(res.reads, 0);
	ck_assert_uint_eq(sim->ncalls, 0); /* the read failed: leadership was lost */
	sim_call_begin(sim, new_leader, true, 1001, 0, 0);
	ck_assert(raft_read_index(new_leader->raft, 1001));
	sim_settle(sim);
	ck_assert_uint_eq(res.reads, 1);
}
END_TEST

/* A replica that lost its disk has lost its votes and acknowledged entries. Under its old id it
 * could vote twice in a term, or help to commit without the entries that it had acknowledged. */
START_TEST(a_replica_with_a_new_disk_does_not_count_as_the_old_voter)
{
	sim_node_t *leader = elect(0);
	raft_msg_t vote = {
		.type = RAFT_VOTE, .from = leader->id, .to = sim->nodes[1].id, .term = 50};
	uint64_t index;

	sim_lose_disk(sim, &sim->nodes[1]);
	raft_receive(sim->nodes[1].raft, &vote); /* to the replica's former id */
	ck_assert_uint_eq(status_of(&sim->nodes[1]).term, 0);
	sim_node_stop(&sim->nodes[2]);
	index = start_write(leader);
	for (int i = 0; i < 5; i++) {
		tick(leader, 1);
		sim_settle(sim);
	}
	ck_assert_uint_lt(status_of(leader).commit, index);
	ck_assert_uint_eq(status_of(&sim->nodes[1]).last, 0);
	tick(leader, ELECTION_TICKS);
	ck_assert_int_ne(raft_role(leader->raft), RAFT_LEADER);
}
END_TEST

/* A planned stop of the leader must not leave the group without a leader for an election
 * timeout. */
START_TEST(a_leadership_transfer_needs_no_election_timeout)
{
	sim_node_t *leader = elect(0);

	start_write(leader);
	ck_assert(raft_transfer_leadership(leader->raft));
	ck_assert_uint_eq(raft_propose(leader->raft, STR("x")), 0);
	sim_settle(sim);
	ck_assert_ptr_nonnull(find_leader());
	ck_assert_ptr_ne(find_leader(), leader);
	ck_assert_uint_eq(res.writes, 1);
}
END_TEST

/* The leader has compacted the entries that the learner lacks. After a restart the learner must
 * continue from the snapshot. */
START_TEST(a_learner_catches_up_by_a_snapshot)
{
	sim_node_t *leader = elect(0);
	group_peer_t p = {.id = sim->nodes[4].id};
	uint64_t index;

	for (int i = 0; i < 2; i++) {
		start_write(leader);
		sim_settle(sim);
		sim_node_snapshot(leader);
	}
	ck_assert_uint_gt(status_of(leader).base, 1);
	ck_assert_int_eq(raft_add_learner(leader->raft, &p, &index), STATUS_OK);
	for (int i = 0; i < 4; i++) {
		sim_settle(sim);
		tick(leader, 1);
	}
	ck_assert_uint_eq(res.installs, 1);
	ck_assert_uint_eq(status_of(&sim->nodes[4]).synced, status_of(leader).last);
	sim_node_stop(&sim->nodes[4]);
	sim_node_start(&sim->nodes[4]);
	ck_assert_uint_ge(status_of(&sim->nodes[4]).base, status_of(leader).base);
}
END_TEST

/* A voter whose disk refused writes stays behind for an election timeout otherwise. _i: ticks since
 * the last unanswered chunk, up to a multiple of the timeout. */
START_TEST(a_voter_that_was_silent_gets_the_snapshot_with_the_next_heartbeats)
{
	sim_node_t *leader = elect(0);
	sim_node_t *follower = &sim->nodes[2];

	raft_on_disk_failed(follower->raft);
	for (int i = 0; i < 40; i++) { /* more than are sent without an answer */
		start_write(leader);
		sim_settle(sim);
		sim_node_snapshot(leader);
	}
	for (unsigned i = 0; i < 3 * ELECTION_TICKS + (unsigned)_i; i++) {
		tick(leader, 1);
		sim_settle(sim);
	}
	raft_on_disk_back(follower->raft);
	for (unsigned i = 0; i < 2 * HEARTBEAT_TICKS; i++) {
		tick(leader, 1);
		sim_settle(sim);
	}
	ck_assert_uint_eq(res.installs, 1);
	ck_assert_uint_eq(status_of(follower).synced, status_of(leader).last);
}
END_TEST

/* Two changes at a time can lead to majorities that do not overlap, and so to two leaders. The log
 * of a new leader may end with a pending change of its predecessor, so it must first commit an
 * entry of its own term. */
START_TEST(members_change_one_at_a_time)
{
	sim_node_t *leader = elect(0);
	group_peer_t first = {.id = sim->nodes[4].id};
	group_peer_t second = {.id = sim->nodes[5].id};
	uint64_t index;

	ck_assert_int_eq(raft_add_learner(leader->raft, &first, &index), STATUS_OK);
	ck_assert_int_eq(raft_add_learner(leader->raft, &second, &index), STATUS_LIMIT);
	sim_settle(sim);
	ck_assert_int_eq(raft_add_learner(leader->raft, &second, &index), STATUS_OK);
	sim_settle(sim);
	tick(leader, 2);
	sim_settle(sim);
	/* A new leader must commit an entry of its own term before it changes members. */
	ck_assert(raft_transfer_leadership(leader->raft));
	for (unsigned i = 0; raft_role(leader->raft) == RAFT_LEADER || !find_leader(); i++) {
		sim_deliver(sim);
		sim_node_sync(&sim->nodes[i % 3], SIZE_MAX);
	}
	ck_assert_int_eq(raft_remove(find_leader()->raft, second.id, &index), STATUS_LIMIT);
	sim_settle(sim);
	ck_assert_int_eq(raft_remove(find_leader()->raft, second.id, &index), STATUS_OK);
	sim_settle(sim);
}
END_TEST

/* With one of three voters dead, the removal of a live one would leave a group of two that can
 * never commit again. */
START_TEST(a_removal_that_leaves_no_live_majority_is_refused)
{
	sim_node_t *leader = elect(0);
	uint64_t index;

	sim_lose_disk(sim, &sim->nodes[1]);
	for (int i = 0; i < ELECTION_TICKS; i++) {
		tick(leader, 1);
		sim_settle(sim);
	}
	ck_assert_int_eq(raft_remove(leader->raft, sim->nodes[2].id, &index), STATUS_LIMIT);
	ck_assert_int_eq(raft_remove(leader->raft, sim->ids[1].id, &index), STATUS_OK);
	sim_settle(sim);
	ck_assert_uint_ge(status_of(leader).commit, index);
}
END_TEST

START_TEST(a_removed_leader_steps_down)
{
	sim_node_t *leader = elect(0);
	uint64_t index;

	ck_assert_int_eq(raft_remove(leader->raft, leader->id, &index), STATUS_OK);
	sim_settle(sim);
	ck_assert_int_ne(raft_role(leader->raft), RAFT_LEADER);
	tick(&sim->nodes[2], ELECTION_TICKS);
	elect(1);
}
END_TEST

/* An entry of an earlier term can still be replaced by a later leader even when a majority holds
 * it (Raft paper, section 5.4.2). */
START_TEST(entries_of_earlier_terms_commit_only_with_an_entry_of_the_current_term)
{
	sim_node_t *leader = elect(0);
	uint64_t old_index = start_write(leader);
	raft_msg_t ack = {.type = RAFT_APPEND_RESP,
			  .from = sim->nodes[1].id,
			  .to = leader->id,
			  .index = old_index};

	leader->partition = 1;
	sim_settle(sim);
	raft_step_down(leader->raft);
	tick(&sim->nodes[1], ELECTION_TICKS);
	tick(&sim->nodes[2], ELECTION_TICKS);
	drop_all_packets();
	leader->partition = 0;
	tick(leader, 2 * ELECTION_TICKS);
	while (raft_role(leader->raft) != RAFT_LEADER) {
		sim_deliver(sim);
		for (int i = 0; i < 3; i++)
			sim_node_sync(&sim->nodes[i], SIZE_MAX);
	}
	ack.term = status_of(leader).term;
	ack.index = old_index;
	raft_receive(leader->raft, &ack);
	ck_assert_uint_lt(status_of(leader).commit, old_index);
	ack.index = status_of(leader).last;
	raft_receive(leader->raft, &ack);
	sim_node_sync(leader, SIZE_MAX);
	ck_assert_uint_gt(status_of(leader).commit, old_index);
}
END_TEST

/* A delayed snapshot message must not remove entries that the follower has acknowledged since. */
START_TEST(a_snapshot_within_the_log_keeps_the_entries_after_it)
{
	sim_node_t *leader = elect(0);
	sim_node_t *follower = &sim->nodes[1];
	uint64_t first = start_write(leader);
	raft_msg_t snap = {.type = RAFT_SNAPSHOT,
			   .from = leader->id,
			   .to = follower->id,
			   .term = status_of(leader).term};
	uint64_t last;

	last = start_write(leader);
	sim_settle(sim);
	ck_assert_uint_lt(status_of(follower).commit, first);
	snap.index = first;
	snap.log_term = status_of(leader).term;
	raft_receive(follower->raft, &snap);
	ck_assert_uint_eq(status_of(follower).last, last);
	ck_assert_uint_eq(status_of(follower).commit, first);
	sim_settle(sim);
}
END_TEST

/* The leader's log ends with its own removal, which is not committed, so the other voter has a
 * shorter log and cannot win its vote. If the leader did not campaign either, the group would stay
 * without a leader. */
START_TEST(a_leader_campaigns_until_its_own_removal_is_committed)
{
	sim_node_t *leader = elect(0);
	uint64_t index;

	ck_assert_int_eq(raft_remove(leader->raft, sim->nodes[2].id, &index), STATUS_OK);
	sim_settle(sim);
	sim_node_stop(&sim->nodes[2]);
	leader->partition = 1;
	ck_assert_int_eq(raft_remove(leader->raft, leader->id, &index), STATUS_OK);
	sim_settle(sim);
	tick(leader, ELECTION_TICKS + 1);
	tick(&sim->nodes[1], ELECTION_TICKS);
	leader->partition = 0;
	for (int i = 0; i < 6; i++) {
		tick(leader, ELECTION_TICKS);
		tick(&sim->nodes[1], ELECTION_TICKS);
		sim_settle(sim);
	}
	ck_assert_ptr_eq(find_leader(), &sim->nodes[1]);
	ck_assert_uint_eq(status_of(&sim->nodes[1]).members.n, 1);
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
	tcase_add_test(seeds, random_runs_keep_the_invariants);
	tcase_add_test(seeds, random_runs_with_disk_faults_keep_the_invariants);
	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, a_follower_that_does_not_answer_is_sent_few_bytes);
	tcase_add_test(t, prevote_keeps_the_term_of_an_isolated_follower);
	tcase_add_test(t, a_follower_of_a_live_leader_refuses_votes);
	tcase_add_test(t, an_isolated_leader_steps_down);
	tcase_add_test(t, a_learner_is_promoted_only_once_it_has_caught_up);
	tcase_add_test(t, a_leader_is_elected_over_paths_and_disks_slower_than_the_timeout);
	tcase_add_test(t, two_candidates_at_the_same_time_do_not_split_the_vote);
	tcase_add_test(t, the_election_timeout_is_short_again_once_there_is_a_leader);
	tcase_add_test(t, a_vote_is_sent_only_after_its_sync);
	tcase_add_test(t, nothing_commits_before_a_majority_has_synced);
	tcase_add_test(t, a_majority_of_followers_commits_before_the_leader_has_synced);
	tcase_add_test(t, a_read_waits_for_a_majority);
	tcase_add_test(t, a_replica_with_a_new_disk_does_not_count_as_the_old_voter);
	tcase_add_test(t, a_leadership_transfer_needs_no_election_timeout);
	tcase_add_test(t, a_learner_catches_up_by_a_snapshot);
	tcase_add_loop_test(t, a_voter_that_was_silent_gets_the_snapshot_with_the_next_heartbeats,
			    0, ELECTION_TICKS);
	tcase_add_test(t, members_change_one_at_a_time);
	tcase_add_test(t, a_removal_that_leaves_no_live_majority_is_refused);
	tcase_add_test(t, a_removed_leader_steps_down);
	tcase_add_test(t, entries_of_earlier_terms_commit_only_with_an_entry_of_the_current_term);
	tcase_add_test(t, a_snapshot_within_the_log_keeps_the_entries_after_it);
	tcase_add_test(t, a_leader_campaigns_until_its_own_removal_is_committed);
	return suite_run(suite);
}
