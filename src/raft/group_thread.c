/* The group's thread: collects inputs in batches, ticks the Raft core, flushes it and starts
 * snapshots. */
#include "raft/group_internal.h"

#include <string.h>
#include <time.h>
#include "proto/wire.h"

/* While a follower receives a snapshot, the thresholds for taking the next one are multiplied by
 * this, so that the follower can finish. */
#define SNAPSHOT_POSTPONE_FACTOR 4

static void record_ack(group_t *g, const raft_msg_t *m)
{
	raft_member_progress_t p;

	if (m->term == g->status.term && raft_get_progress(g->raft, m->from, &p))
		group_acks_record(&g->acks, m->from, &p, raft_commit_index(g->raft),
				  clock_now_ms());
}

static void handle_message(group_t *g, group_input_t *it)
{
	raft_msg_t m;

	if (wire_decode(str_buf(&it->data), XDR_PROC(raft_msg_t), &m, sizeof(m)) == STATUS_OK &&
	    m.to == g->status.self) {
		group_remember_sender(g, &m);
		raft_receive(g->raft, &m);
		if (m.type == RAFT_APPEND_RESP || m.type == RAFT_SNAPSHOT_RESP)
			record_ack(g, &m);
	}
	wire_free(XDR_PROC(raft_msg_t), &m);
	group_input_unref(g, it);
}

static status_t not_leader_status(group_t *g)
{
	raft_status_t v;

	raft_get_status(g->raft, &v);
	if (v.failed)
		return status_fail(STATUS_IO, "disk of this replica failed");
	return status_fail(STATUS_NOT_LEADER, "this replica is not the leader");
}

/* Queues an input that waits for the entry at index to be applied. */
static void add_proposal(group_t *g, group_input_t *it, uint64_t index)
{
	it->index = index;
	it->term = raft_term_at(g->raft, index);
	group_queue_push(&g->proposals, it);
}

static void handle_proposal(group_t *g, group_input_t *it)
{
	uint64_t index = raft_propose(g->raft, str_buf(&it->data));

	if (index)
		add_proposal(g, it, index);
	else
		group_input_finish(g, it, not_leader_status(g));
}

static void handle_member_change(group_t *g, group_input_t *it)
{
	uint64_t index;
	status_t st;

	if (it->kind == GROUP_ADD_LEARNER)
		st = raft_add_learner(g->raft, &it->peer, &index);
	else if (it->kind == GROUP_PROMOTE)
		st = raft_promote(g->raft, it->peer.id, &index);
	else
		st = raft_remove(g->raft, it->peer.id, &index);
	if (st == STATUS_OK && index)
		add_proposal(g, it, index);
	else
		group_input_finish(g, it, st);
}

static void handle_step_down(group_t *g, group_input_t *it)
{
	if (raft_role(g->raft) != RAFT_LEADER) {
		group_input_finish(g, it, STATUS_OK);
	} else if (!raft_transfer_leadership(g->raft)) {
		group_input_finish(g, it,
				   status_fail(STATUS_UNAVAILABLE,
					       "no other voter to transfer leadership to"));
	} else {
		group_queue_push(&g->step_downs, it);
	}
}

static void handle_input(group_t *g, group_input_t *it)
{
	switch (it->kind) {
	case GROUP_MESSAGE:
		handle_message(g, it);
		break;
	case GROUP_PROPOSE:
		handle_proposal(g, it);
		break;
	case GROUP_READ_BARRIER:
		if (!raft_read_index(g->raft, (uint64_t)(uintptr_t)it))
			group_input_finish(g, it, not_leader_status(g));
		break;
	case GROUP_ADD_LEARNER:
	case GROUP_PROMOTE:
	case GROUP_REMOVE:
		handle_member_change(g, it);
		break;
	case GROUP_STEP_DOWN:
		handle_step_down(g, it);
		break;
	case GROUP_WITH_STATE:
		it->fn(g->options.ctx, it->arg);
		group_input_finish(g, it, STATUS_OK);
		break;
	}
}

static void wait_until_tick(group_t *g, deadline_t next_tick)
{
	int64_t ms = clock_left_ms(next_tick);

	if (ms > 0)
		group_cond_wait(g, &g->wake, ms);
}

/* What the other threads queued or reported since the last iteration. */
typedef struct {
	group_queue_t inputs;
	uint64_t synced_seq;
	bool disk_failed;
	bool snap_ended;
	bool cut_due;
	bool stop;
} input_batch_t;

/* Waits for inputs or the next tick and takes everything that has arrived. */
static void collect_inputs(group_t *g, deadline_t next_tick, uint64_t handled_seq, input_batch_t *b)
{
	bool handled_failure = b->disk_failed;

	pthread_mutex_lock(&g->lock);
	if (!g->inbox.first && !g->stop && g->synced_seq == handled_seq &&
	    g->disk_failed == handled_failure && !g->snap_ended && (!g->cut_due || g->snap_running))
		wait_until_tick(g, next_tick);
	b->inputs = g->inbox;
	g->inbox = (group_queue_t){0};
	b->synced_seq = g->synced_seq;
	b->disk_failed = g->disk_failed;
	b->snap_ended = g->snap_ended;
	b->cut_due = g->cut_due;
	b->stop = g->stop;
	pthread_mutex_unlock(&g->lock);
}

/* Runs the ticks that have elapsed. After a pause of this thread (a frozen VM, a long snapshot) a
 * leader runs at most half an election timeout of them, so that its followers have time to answer,
 * and a follower runs one, so that it first handles the messages that have arrived. */
static void run_ticks(group_t *g, deadline_t *next_tick)
{
	int64_t now = clock_now_ms();
	int64_t elapsed_ticks;
	int64_t max_ticks;

	if (now < *next_tick)
		return;
	elapsed_ticks = (now - *next_tick) / g->options.tick_ms + 1;
	max_ticks = raft_role(g->raft) == RAFT_LEADER
			    ? g->options.election_ms / g->options.tick_ms / 2
			    : 1;
	*next_tick += elapsed_ticks * g->options.tick_ms;
	for (int64_t i = 0; i < elapsed_ticks && i < max_ticks; i++)
		raft_tick(g->raft);
}

static bool snapshot_is_possible(group_t *g)
{
	return !g->snap_running && !g->state_lost && raft_applied_index(g->raft) > g->snap_index &&
	       clock_left_ms(g->next_snap) == 0;
}

/* A follower that receives a snapshot needs the entries after it, so they stay for as long as there
 * is memory. */
static bool log_nears_limit(const group_t *g)
{
	uint64_t max = g->options.log_bytes_max;
	uint64_t most = raft_sending_snapshot(g->raft) ? max : max / 4 * 3;

	return max && raft_log_bytes(g->raft) >= most;
}

static bool snapshot_is_due(group_t *g)
{
	uint64_t factor = raft_sending_snapshot(g->raft) ? SNAPSHOT_POSTPONE_FACTOR : 1;
	uint64_t entries = raft_applied_index(g->raft) - g->snap_index;

	return entries >= g->options.snapshot_entries * factor ||
	       g->applied_bytes >= g->options.snapshot_bytes * factor || log_nears_limit(g);
}

/* Begins a snapshot if one is due. One that makes room is written even while the disk refuses the
 * log; if it cannot be begun now, the log is written without it. */
static void begin_due_snapshot(group_t *g, bool cut_due, bool failed)
{
	bool possible = snapshot_is_possible(g);

	if (cut_due && possible)
		group_snapshot_begin(g, true);
	else if (cut_due && !g->snap_running)
		group_cut_done(g);
	else if (possible && !failed && snapshot_is_due(g))
		group_snapshot_begin(g, false);
}

/* Updates the status that group_get_status returns. */
static void publish_status(group_t *g)
{
	group_status_t s;
	store_counters_t c;
	raft_status_t v;
	const char *leader;

	raft_get_status(g->raft, &v);
	store_get_counters(g->store, &c);
	leader = v.leader ? group_addr_of(g, v.leader) : NULL;
	s = (group_status_t){.self = v.self,
			     .term = v.term,
			     .commit = v.commit,
			     .applied = v.applied,
			     .first_index = v.base + 1,
			     .last_index = v.last,
			     .snapshot_index = store_newest_snapshot(g->store),
			     .log_bytes = v.log_bytes,
			     .leader = v.role == RAFT_LEADER,
			     .failed = v.failed,
			     .leader_since = g->leader_since,
			     .npeers = v.members.n,
			     .syncs = c.syncs,
			     .sync_us = c.sync_us,
			     .commands = g->commands};
	if (leader)
		memcpy(s.leader_addr, leader, strnlen(leader, sizeof(s.leader_addr) - 1));
	memcpy(s.peers, v.members.peers, sizeof(s.peers));
	memcpy(s.match, v.match, sizeof(s.match));
	for (unsigned i = 0; i < v.members.n; i++) {
		for (unsigned k = 0; k < GROUP_SENDERS_MAX; k++) {
			if (g->senders[k].id == v.members.peers[i].id)
				s.last_answer[i] = g->senders[k].last_message;
		}
	}
	group_acks_set_members(&g->acks, &v.members, g->leader_since, clock_now_ms());
	group_acks_publish(&g->acks, &s);
	pthread_mutex_lock(&g->lock);
	g->status = s;
	pthread_mutex_unlock(&g->lock);
}

/* Takes the replica out of the group while its disk refuses writes, and back in afterwards. */
static void handle_disk_state(group_t *g, bool failed)
{
	group_input_t *it;

	if (!failed) {
		raft_on_disk_back(g->raft);
		return;
	}
	raft_on_disk_failed(g->raft);
	while ((it = group_queue_pop(&g->old_proposals)))
		group_input_finish(g, it,
				   status_fail(STATUS_TIMEOUT,
					       "outcome unknown: disk of this replica failed"));
}

/* Answers the callers whose inputs were handled but have no result when the group closes;
 * free_group answers the others. */
static void finish_on_close(group_t *g)
{
	group_input_t *it;

	raft_step_down(g->raft);
	while ((it = group_queue_pop(&g->old_proposals)))
		group_input_finish(
			g, it, status_fail(STATUS_TIMEOUT, "outcome unknown: group was closed"));
}

void *group_thread_main(void *arg)
{
	group_t *g = arg;
	deadline_t next_tick = clock_now_ms() + g->options.tick_ms;
	uint64_t handled_seq = 0;
	bool failed = false; /* the replica takes no part in the group */
	input_batch_t b = {0};

	while (!b.stop) {
		group_input_t *it;

		collect_inputs(g, next_tick, handled_seq, &b);
		if ((b.disk_failed || g->state_lost) != failed) {
			failed = !failed;
			handle_disk_state(g, failed);
		}
		if (b.synced_seq > handled_seq)
			raft_on_synced(g->raft, b.synced_seq);
		handled_seq = b.synced_seq;
		while ((it = group_queue_pop(&b.inputs)))
			handle_input(g, it);
		run_ticks(g, &next_tick);
		raft_flush(g->raft);
		if (b.snap_ended)
			group_snapshot_end(g);
		begin_due_snapshot(g, b.cut_due && !b.snap_ended, failed);
		publish_status(g);
	}
	finish_on_close(g);
	return NULL;
}
