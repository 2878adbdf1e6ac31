/* The group's thread: takes inputs in batches, ticks the core, flushes, takes snapshots. */
#include "raft/gr_int.h"

#include <string.h>
#include <time.h>
#include "proto/px.h"

/* Postponed while a member takes a snapshot, but not for longer than this many times. */
#define SNAPSHOT_POSTPONE_FACTOR 4

static void take_message(gr_t *g, gr_item_t *it)
{
	rf_msg_t m;

	if (px_decode(str_buf(&it->data), PX(rf_msg_t), &m, sizeof(m)) == ST_OK &&
	    m.to == g->status.self) {
		gr_note_sender(g, &m);
		rf_receive(g->rf, &m);
	}
	px_free(PX(rf_msg_t), &m);
	gr_item_unref(g, it);
}

static status_t not_leader(gr_t *g)
{
	rf_view_t v;

	rf_view(g->rf, &v);
	if (v.failed)
		return st_fail(ST_IO, "own disk failed");
	return st_fail(ST_NOT_LEADER, "this replica doesn't lead");
}

static void wait_for_entry(gr_t *g, gr_item_t *it, uint64_t index)
{
	it->index = index;
	it->term = rf_term_at(g->rf, index);
	gr_list_add(&g->pending, it);
}

static void take_proposal(gr_t *g, gr_item_t *it)
{
	uint64_t index = rf_propose(g->rf, str_buf(&it->data));

	if (index)
		wait_for_entry(g, it, index);
	else
		gr_item_finish(g, it, not_leader(g));
}

static void take_change(gr_t *g, gr_item_t *it)
{
	uint64_t index;
	status_t st;

	if (it->kind == GR_ADD_LEARNER)
		st = rf_add_learner(g->rf, &it->peer, &index);
	else if (it->kind == GR_PROMOTE)
		st = rf_promote(g->rf, it->peer.id, &index);
	else
		st = rf_remove(g->rf, it->peer.id, &index);
	if (st == ST_OK && index)
		wait_for_entry(g, it, index);
	else
		gr_item_finish(g, it, st);
}

static void take_step_down(gr_t *g, gr_item_t *it)
{
	if (rf_role(g->rf) != RF_LEADER) {
		gr_item_finish(g, it, ST_OK);
	} else if (!rf_transfer(g->rf)) {
		gr_item_finish(g, it, st_fail(ST_UNAVAILABLE, "there is no other voter"));
	} else {
		gr_list_add(&g->stepping, it);
	}
}

static void take_item(gr_t *g, gr_item_t *it)
{
	switch (it->kind) {
	case GR_MESSAGE:
		take_message(g, it);
		break;
	case GR_PROPOSE:
		take_proposal(g, it);
		break;
	case GR_BARRIER:
		if (!rf_read(g->rf, (uint64_t)(uintptr_t)it))
			gr_item_finish(g, it, not_leader(g));
		break;
	case GR_ADD_LEARNER:
	case GR_PROMOTE:
	case GR_REMOVE:
		take_change(g, it);
		break;
	case GR_STEP_DOWN:
		take_step_down(g, it);
		break;
	case GR_WITH_STATE:
		it->fn(g->o.ctx, it->arg);
		gr_item_finish(g, it, ST_OK);
		break;
	}
}

static void wait_tick(gr_t *g, deadline_t next_tick)
{
	int64_t ms = clk_left_ms(next_tick);

	if (ms > 0)
		gr_wait(g, &g->wake, ms);
}

/* What the other threads left since the last batch. */
typedef struct {
	gr_list_t items;
	uint64_t synced_seq;
	bool disk_failed;
	bool snap_saved;
	bool stop;
} batch_t;

static void take_batch(gr_t *g, deadline_t next_tick, uint64_t known_seq, bool known_failed,
		       batch_t *b)
{
	pthread_mutex_lock(&g->lock);
	if (!g->inbox.first && !g->stop && g->synced_seq == known_seq &&
	    g->disk_failed == known_failed && !g->snap_saved)
		wait_tick(g, next_tick);
	b->items = g->inbox;
	g->inbox = (gr_list_t){0};
	b->synced_seq = g->synced_seq;
	b->disk_failed = g->disk_failed;
	b->snap_saved = g->snap_saved;
	b->stop = g->stop;
	pthread_mutex_unlock(&g->lock);
}

/* Ticks that have passed. After a freeze, or a long snapshot, a leader counts no more of them than
 * leave its followers time to answer, and a follower listens first. */
static void tick(gr_t *g, deadline_t *next_tick)
{
	int64_t now = clk_now_ms();
	int64_t missed;
	int64_t most;

	if (now < *next_tick)
		return;
	missed = (now - *next_tick) / g->o.tick_ms + 1;
	most = rf_role(g->rf) == RF_LEADER ? g->o.election_ms / g->o.tick_ms / 2 : 1;
	*next_tick += missed * g->o.tick_ms;
	for (int64_t i = 0; i < missed && i < most; i++)
		rf_tick(g->rf);
}

static bool snapshot_is_due(gr_t *g)
{
	uint64_t factor = rf_sending_snapshot(g->rf) ? SNAPSHOT_POSTPONE_FACTOR : 1;
	uint64_t entries = rf_applied(g->rf) - g->snap_index;

	if (g->snap_running || entries == 0)
		return false;
	return entries >= g->o.snapshot_entries * factor ||
	       g->applied_bytes >= g->o.snapshot_bytes * factor;
}

static void publish(gr_t *g)
{
	gr_status_t s;
	rs_counters_t c;
	rf_view_t v;
	const char *leader;

	rf_view(g->rf, &v);
	rs_counters(g->rs, &c);
	leader = v.leader ? gr_addr_of(g, v.leader) : NULL;
	s = (gr_status_t){.self = v.self,
			  .term = v.term,
			  .commit = v.commit,
			  .applied = v.applied,
			  .first_index = v.base + 1,
			  .last_index = v.last,
			  .snapshot_index = rs_snap_newest(g->rs),
			  .leader = v.role == RF_LEADER,
			  .led_since = g->led_since,
			  .npeers = v.conf.n,
			  .syncs = c.syncs,
			  .sync_us = c.sync_us,
			  .commands = g->commands};
	if (leader)
		memcpy(s.leader_addr, leader, strnlen(leader, sizeof(s.leader_addr) - 1));
	memcpy(s.peers, v.conf.peers, sizeof(s.peers));
	memcpy(s.match, v.match, sizeof(s.match));
	for (unsigned i = 0; i < v.conf.n; i++) {
		for (unsigned k = 0; k < GR_KNOWN_MAX; k++) {
			if (g->known[k].id == v.conf.peers[i].id)
				s.heard[i] = g->known[k].heard;
		}
	}
	pthread_mutex_lock(&g->lock);
	g->status = s;
	pthread_mutex_unlock(&g->lock);
}

static void fail_disk(gr_t *g)
{
	gr_item_t *it;

	rf_fail(g->rf);
	while ((it = gr_list_take(&g->orphans)))
		gr_item_finish(g, it, st_fail(ST_TIMEOUT, "may be done: own disk failed"));
}

/* Ends what waits when the group closes. */
static void finish_all(gr_t *g)
{
	gr_item_t *it;

	rf_step_down(g->rf);
	while ((it = gr_list_take(&g->orphans)))
		gr_item_finish(g, it, st_fail(ST_TIMEOUT, "may be done: the group was closed"));
}

void *gr_loop(void *arg)
{
	gr_t *g = arg;
	deadline_t next_tick = clk_now_ms() + g->o.tick_ms;
	uint64_t known_seq = 0;
	bool failed = false;
	batch_t b = {0};

	while (!b.stop) {
		gr_item_t *it;

		take_batch(g, next_tick, known_seq, failed, &b);
		if (b.disk_failed && !failed)
			fail_disk(g);
		failed = b.disk_failed;
		if (b.synced_seq > known_seq)
			rf_synced(g->rf, b.synced_seq);
		known_seq = b.synced_seq;
		while ((it = gr_list_take(&b.items)))
			take_item(g, it);
		tick(g, &next_tick);
		rf_flush(g->rf);
		if (b.snap_saved)
			gr_snap_end(g);
		if (!failed && snapshot_is_due(g))
			gr_snap_begin(g);
		publish(g);
	}
	finish_all(g);
	return NULL;
}
