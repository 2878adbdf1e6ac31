/* The group's thread: takes inputs in batches, ticks the core, flushes, takes snapshots. */
#include "raft/group_internal.h"

#include <string.h>
#include <time.h>
#include "proto/wire.h"

/* Postponed while a member takes a snapshot, but not for longer than this many times. */
#define SNAPSHOT_POSTPONE_FACTOR 4

static void take_message(group_t *g, group_input_t *it)
{
	raft_msg_t m;

	if (wire_decode(str_buf(&it->data), XDR_PROC(raft_msg_t), &m, sizeof(m)) == STATUS_OK &&
	    m.to == g->status.self) {
		group_remember_sender(g, &m);
		raft_receive(g->rf, &m);
	}
	wire_free(XDR_PROC(raft_msg_t), &m);
	group_input_unref(g, it);
}

static status_t not_leader(group_t *g)
{
	raft_status_t v;

	raft_get_status(g->rf, &v);
	if (v.failed)
		return status_fail(STATUS_IO, "own disk failed");
	return status_fail(STATUS_NOT_LEADER, "this replica doesn't lead");
}

static void wait_for_entry(group_t *g, group_input_t *it, uint64_t index)
{
	it->index = index;
	it->term = raft_term_at(g->rf, index);
	group_queue_push(&g->pending, it);
}

static void take_proposal(group_t *g, group_input_t *it)
{
	uint64_t index = raft_propose(g->rf, str_buf(&it->data));

	if (index)
		wait_for_entry(g, it, index);
	else
		group_input_finish(g, it, not_leader(g));
}

static void take_change(group_t *g, group_input_t *it)
{
	uint64_t index;
	status_t st;

	if (it->kind == GROUP_ADD_LEARNER)
		st = raft_add_learner(g->rf, &it->peer, &index);
	else if (it->kind == GROUP_PROMOTE)
		st = raft_promote(g->rf, it->peer.id, &index);
	else
		st = raft_remove(g->rf, it->peer.id, &index);
	if (st == STATUS_OK && index)
		wait_for_entry(g, it, index);
	else
		group_input_finish(g, it, st);
}

static void take_step_down(group_t *g, group_input_t *it)
{
	if (raft_role(g->rf) != RAFT_LEADER) {
		group_input_finish(g, it, STATUS_OK);
	} else if (!raft_transfer_leadership(g->rf)) {
		group_input_finish(g, it,
				   status_fail(STATUS_UNAVAILABLE, "there is no other voter"));
	} else {
		group_queue_push(&g->stepping, it);
	}
}

static void take_item(group_t *g, group_input_t *it)
{
	switch (it->kind) {
	case GROUP_MESSAGE:
		take_message(g, it);
		break;
	case GROUP_PROPOSE:
		take_proposal(g, it);
		break;
	case GROUP_READ_BARRIER:
		if (!raft_read_index(g->rf, (uint64_t)(uintptr_t)it))
			group_input_finish(g, it, not_leader(g));
		break;
	case GROUP_ADD_LEARNER:
	case GROUP_PROMOTE:
	case GROUP_REMOVE:
		take_change(g, it);
		break;
	case GROUP_STEP_DOWN:
		take_step_down(g, it);
		break;
	case GROUP_WITH_STATE:
		it->fn(g->o.ctx, it->arg);
		group_input_finish(g, it, STATUS_OK);
		break;
	}
}

static void wait_tick(group_t *g, deadline_t next_tick)
{
	int64_t ms = clock_left_ms(next_tick);

	if (ms > 0)
		group_cond_wait(g, &g->wake, ms);
}

/* What the other threads left since the last batch. */
typedef struct {
	group_queue_t items;
	uint64_t synced_seq;
	bool disk_failed;
	bool snap_saved;
	bool stop;
} batch_t;

static void take_batch(group_t *g, deadline_t next_tick, uint64_t known_seq, bool known_failed,
		       batch_t *b)
{
	pthread_mutex_lock(&g->lock);
	if (!g->inbox.first && !g->stop && g->synced_seq == known_seq &&
	    g->disk_failed == known_failed && !g->snap_saved)
		wait_tick(g, next_tick);
	b->items = g->inbox;
	g->inbox = (group_queue_t){0};
	b->synced_seq = g->synced_seq;
	b->disk_failed = g->disk_failed;
	b->snap_saved = g->snap_saved;
	b->stop = g->stop;
	pthread_mutex_unlock(&g->lock);
}

/* Ticks that have passed. After a freeze, or a long snapshot, a leader counts no more of them than
 * leave its followers time to answer, and a follower listens first. */
static void tick(group_t *g, deadline_t *next_tick)
{
	int64_t now = clock_now_ms();
	int64_t missed;
	int64_t most;

	if (now < *next_tick)
		return;
	missed = (now - *next_tick) / g->o.tick_ms + 1;
	most = raft_role(g->rf) == RAFT_LEADER ? g->o.election_ms / g->o.tick_ms / 2 : 1;
	*next_tick += missed * g->o.tick_ms;
	for (int64_t i = 0; i < missed && i < most; i++)
		raft_tick(g->rf);
}

static bool snapshot_is_due(group_t *g)
{
	uint64_t factor = raft_sending_snapshot(g->rf) ? SNAPSHOT_POSTPONE_FACTOR : 1;
	uint64_t entries = raft_applied_index(g->rf) - g->snap_index;

	if (g->snap_running || entries == 0)
		return false;
	return entries >= g->o.snapshot_entries * factor ||
	       g->applied_bytes >= g->o.snapshot_bytes * factor;
}

static void publish(group_t *g)
{
	group_status_t s;
	store_counters_t c;
	raft_status_t v;
	const char *leader;

	raft_get_status(g->rf, &v);
	store_get_counters(g->rs, &c);
	leader = v.leader ? group_addr_of(g, v.leader) : NULL;
	s = (group_status_t){.self = v.self,
			     .term = v.term,
			     .commit = v.commit,
			     .applied = v.applied,
			     .first_index = v.base + 1,
			     .last_index = v.last,
			     .snapshot_index = store_newest_snapshot(g->rs),
			     .leader = v.role == RAFT_LEADER,
			     .leader_since = g->led_since,
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
			if (g->known[k].id == v.members.peers[i].id)
				s.last_answer[i] = g->known[k].heard;
		}
	}
	pthread_mutex_lock(&g->lock);
	g->status = s;
	pthread_mutex_unlock(&g->lock);
}

static void fail_disk(group_t *g)
{
	group_input_t *it;

	raft_on_disk_failed(g->rf);
	while ((it = group_queue_pop(&g->orphans)))
		group_input_finish(g, it,
				   status_fail(STATUS_TIMEOUT, "may be done: own disk failed"));
}

/* Ends what waits when the group closes. */
static void finish_all(group_t *g)
{
	group_input_t *it;

	raft_step_down(g->rf);
	while ((it = group_queue_pop(&g->orphans)))
		group_input_finish(
			g, it, status_fail(STATUS_TIMEOUT, "may be done: the group was closed"));
}

void *group_thread_main(void *arg)
{
	group_t *g = arg;
	deadline_t next_tick = clock_now_ms() + g->o.tick_ms;
	uint64_t known_seq = 0;
	bool failed = false;
	batch_t b = {0};

	while (!b.stop) {
		group_input_t *it;

		take_batch(g, next_tick, known_seq, failed, &b);
		if (b.disk_failed && !failed)
			fail_disk(g);
		failed = b.disk_failed;
		if (b.synced_seq > known_seq)
			raft_on_synced(g->rf, b.synced_seq);
		known_seq = b.synced_seq;
		while ((it = group_queue_pop(&b.items)))
			take_item(g, it);
		tick(g, &next_tick);
		raft_flush(g->rf);
		if (b.snap_saved)
			group_snapshot_end(g);
		if (!failed && snapshot_is_due(g))
			group_snapshot_begin(g);
		publish(g);
	}
	finish_all(g);
	return NULL;
}
