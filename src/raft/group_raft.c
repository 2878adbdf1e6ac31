/* Callbacks of the Raft core: sending, persisting, applying, and answering the callers that
 * wait. */
#include "raft/group_internal.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>
#include "base/log.h"
#include "proto/wire.h"

static group_sender_t *find_sender(group_t *g, uint64_t id)
{
	for (unsigned i = 0; i < GROUP_SENDERS_MAX; i++) {
		if (g->senders[i].id == id)
			return &g->senders[i];
	}
	return NULL;
}

/* Returns the record to reuse for a new sender: a free one, else the one silent for longest. */
static group_sender_t *least_recent_sender(group_t *g)
{
	group_sender_t *best = &g->senders[0];

	for (unsigned i = 1; i < GROUP_SENDERS_MAX; i++) {
		if (g->senders[i].last_message < best->last_message)
			best = &g->senders[i];
	}
	return best;
}

void group_remember_sender(group_t *g, const raft_msg_t *m)
{
	group_sender_t *k = find_sender(g, m->from);

	if (!k)
		k = least_recent_sender(g);
	k->id = m->from;
	k->last_message = clock_now_ms();
	snprintf(k->addr, sizeof(k->addr), "%.*s", (int)m->addr.addr_len, m->addr.addr_val);
}

const char *group_addr_of(group_t *g, uint64_t id)
{
	const group_sender_t *k = id ? find_sender(g, id) : NULL;
	static _Thread_local raft_status_t v;
	int at;

	if (k)
		return k->addr;
	raft_get_status(g->raft, &v);
	at = raft_members_find(&v.members, id);
	if (id == v.self)
		return g->addr;
	return at < 0 ? NULL : v.members.peers[at].addr;
}

static void on_send(void *ctx, const raft_msg_t *m)
{
	group_t *g = ctx;
	const char *addr = group_addr_of(g, m->to);
	raft_msg_t copy = *m;

	if (!addr || !*addr)
		return;
	copy.addr.addr_val = g->addr;
	copy.addr.addr_len = (u_int)strlen(g->addr);
	buf_clear(&g->encoded_msg);
	wire_encode(&g->encoded_msg, XDR_PROC(raft_msg_t), &copy);
	g->options.send(g->options.ctx, addr, g->options.group, str_buf(&g->encoded_msg));
}

static void on_persist_hard_state(void *ctx, uint64_t seq, uint64_t term, uint64_t vote)
{
	group_t *g = ctx;

	store_queue_hard_state(g->store, seq, term, vote);
	group_disk_wake(g);
}

static void on_persist_entries(void *ctx, uint64_t seq, uint64_t from, const raft_entry_t *e,
			       size_t n)
{
	group_t *g = ctx;

	store_queue_entries(g->store, seq, from, e, n);
	group_disk_wake(g);
}

static void on_persist_reset(void *ctx, uint64_t seq, uint64_t index, uint64_t term)
{
	group_t *g = ctx;

	store_queue_reset(g->store, seq, index, term);
	group_disk_wake(g);
}

/* Removes and returns the proposal that waits for the entry at index; NULL if there is none. */
static group_input_t *pop_proposal(group_t *g, uint64_t index)
{
	if (g->proposals.first && g->proposals.first->index == index)
		return group_queue_pop(&g->proposals);
	assert(!g->proposals.first || g->proposals.first->index > index);
	return NULL;
}

/* Answers the proposals of earlier leaderships that wait for the entry at index. */
static void finish_old_proposals(group_t *g, uint64_t index, uint64_t term, str_t result)
{
	group_queue_t rest = {0};
	group_input_t *it;

	while ((it = group_queue_pop(&g->old_proposals))) {
		if (it->index != index) {
			group_queue_push(&rest, it);
		} else if (it->term == term) {
			it->data.n = 0;
			buf_add(&it->data, result);
			group_input_finish(g, it, STATUS_OK);
		} else {
			group_input_finish(
				g, it,
				status_fail(STATUS_NOT_LEADER,
					    "overwritten by an entry of another leader"));
		}
	}
	g->old_proposals = rest;
}

static void on_apply(void *ctx, uint64_t index, const raft_entry_t *e)
{
	group_t *g = ctx;
	group_input_t *it = pop_proposal(g, index);

	buf_clear(&g->cmd_result);
	g->applied_bytes += e->data.data_len;
	if (e->kind == RAFT_ENTRY_COMMAND) {
		g->commands++;
		g->options.apply(g->options.ctx, index, (str_t){e->data.data_val, e->data.data_len},
				 &g->cmd_result);
	}
	if (it) {
		assert(it->term == e->term);
		it->data.n = 0;
		buf_add(&it->data, str_buf(&g->cmd_result));
		group_input_finish(g, it, STATUS_OK);
	}
	if (g->old_proposals.first)
		finish_old_proposals(g, index, e->term, str_buf(&g->cmd_result));
}

static bool on_snap_read(void *ctx, raft_snap_chunk_t *c)
{
	group_t *g = ctx;

	return store_read_snapshot(g->store, c);
}

/* Fails proposals whose entries a received snapshot replaced: whether these were committed is
 * unknown. */
static void fail_with_unknown_outcome(group_t *g, group_queue_t *q)
{
	group_input_t *it;

	while ((it = group_queue_pop(q)))
		group_input_finish(
			g, it, status_fail(STATUS_TIMEOUT, "outcome unknown: leadership was lost"));
}

/* Restores the state from a received snapshot. A state that was restored in part cannot be used. */
static bool restore_received(group_t *g, uint64_t index)
{
	AUTO_BUF state = {0};
	status_t st = store_load_snapshot(g->store, index, &state);

	if (st == STATUS_OK) {
		st = g->options.restore(g->options.ctx, str_buf(&state));
		g->state_lost = st != STATUS_OK;
	}
	if (st != STATUS_OK)
		log_event(LOG_LEVEL_ERROR, "snapshot_not_restored",
			  LOG_INT("group", g->options.group), LOG_INT("index", index),
			  LOG_CSTR("what", status_message()));
	return st == STATUS_OK;
}

static bool on_snap_write(void *ctx, const raft_snap_chunk_t *c)
{
	group_t *g = ctx;
	status_t st;

	if (c->last)
		group_snapshot_join(g);
	st = store_receive_snapshot(g->store, c);
	if (st != STATUS_OK && st != STATUS_INVALID)
		log_event(LOG_LEVEL_ERROR, "snapshot_not_received",
			  LOG_INT("group", g->options.group), LOG_INT("index", c->index),
			  LOG_INT("offset", c->offset), LOG_CSTR("what", status_message()));
	if (st != STATUS_OK || !c->last)
		return st == STATUS_OK;
	if (!restore_received(g, c->index))
		return false;
	g->snap_index = c->index;
	g->applied_bytes = 0;
	fail_with_unknown_outcome(g, &g->old_proposals);
	return true;
}

static void on_read_done(void *ctx, uint64_t token, bool ok)
{
	group_t *g = ctx;
	group_input_t *it = (group_input_t *)(uintptr_t)token;

	group_input_finish(g, it,
			   ok ? STATUS_OK : status_fail(STATUS_NOT_LEADER, "leadership was lost"));
}

static void on_role(void *ctx, raft_role_t role, uint64_t term)
{
	group_t *g = ctx;
	bool leader = role == RAFT_LEADER;
	group_input_t *it;

	g->leader_since = leader ? clock_now_ms() : 0;
	while (!leader && (it = group_queue_pop(&g->proposals)))
		group_queue_push(&g->old_proposals, it);
	while (!leader && (it = group_queue_pop(&g->step_downs)))
		group_input_finish(g, it, STATUS_OK);
	if (g->options.role)
		g->options.role(g->options.ctx, leader, term);
}

void group_raft_callbacks(group_t *g, raft_callbacks_t *cb)
{
	*cb = (raft_callbacks_t){.ctx = g,
				 .send = on_send,
				 .persist_hard_state = on_persist_hard_state,
				 .persist_entries = on_persist_entries,
				 .persist_reset = on_persist_reset,
				 .apply = on_apply,
				 .snap_read = on_snap_read,
				 .snap_write = on_snap_write,
				 .read_done = on_read_done,
				 .role = on_role};
}
