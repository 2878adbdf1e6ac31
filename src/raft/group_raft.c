/* The core's callbacks: sending, the store, applying, and the answers to waiting callers. */
#include "raft/group_internal.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>
#include "proto/wire.h"

static group_sender_t *find_known(group_t *g, uint64_t id)
{
	for (unsigned i = 0; i < GROUP_SENDERS_MAX; i++) {
		if (g->known[i].id == id)
			return &g->known[i];
	}
	return NULL;
}

/* The place of a new sender: a free one, or that of whoever was silent for longest. */
static group_sender_t *oldest_known(group_t *g)
{
	group_sender_t *best = &g->known[0];

	for (unsigned i = 1; i < GROUP_SENDERS_MAX; i++) {
		if (g->known[i].heard < best->heard)
			best = &g->known[i];
	}
	return best;
}

void group_remember_sender(group_t *g, const raft_msg_t *m)
{
	group_sender_t *k = find_known(g, m->from);

	if (!k)
		k = oldest_known(g);
	k->id = m->from;
	k->heard = clock_now_ms();
	snprintf(k->addr, sizeof(k->addr), "%.*s", (int)m->addr.addr_len, m->addr.addr_val);
}

/* Where a replica was last heard from, else where the members' list has it. */
const char *group_addr_of(group_t *g, uint64_t id)
{
	const group_sender_t *k = id ? find_known(g, id) : NULL;
	static _Thread_local raft_status_t v;
	int at;

	if (k)
		return k->addr;
	raft_get_status(g->rf, &v);
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
	g->encoded.n = 0;
	wire_encode(&g->encoded, XDR_PROC(raft_msg_t), &copy);
	g->o.send(g->o.ctx, addr, g->o.group, str_buf(&g->encoded));
}

static void on_hard(void *ctx, uint64_t seq, uint64_t term, uint64_t vote)
{
	group_t *g = ctx;

	store_queue_hard_state(g->rs, seq, term, vote);
	group_disk_wake(g);
}

static void on_entries(void *ctx, uint64_t seq, uint64_t from, const raft_entry_t *e, size_t n)
{
	group_t *g = ctx;

	store_queue_entries(g->rs, seq, from, e, n);
	group_disk_wake(g);
}

static void on_reset(void *ctx, uint64_t seq, uint64_t index, uint64_t term)
{
	group_t *g = ctx;

	store_queue_reset(g->rs, seq, index, term);
	group_disk_wake(g);
}

/* Takes the caller who waits for the entry at index, if there is one. */
static group_input_t *take_waiting(group_t *g, uint64_t index)
{
	if (g->pending.first && g->pending.first->index == index)
		return group_queue_pop(&g->pending);
	assert(!g->pending.first || g->pending.first->index > index);
	return NULL;
}

/* Answers the callers of ended leaderships who waited for the entry at index. */
static void answer_orphans(group_t *g, uint64_t index, uint64_t term, str_t result)
{
	group_queue_t rest = {0};
	group_input_t *it;

	while ((it = group_queue_pop(&g->orphans))) {
		if (it->index != index) {
			group_queue_push(&rest, it);
		} else if (it->term == term) {
			it->data.n = 0;
			buf_add(&it->data, result);
			group_input_finish(g, it, STATUS_OK);
		} else {
			group_input_finish(g, it,
					   status_fail(STATUS_NOT_LEADER,
						       "another leader's entry took the place"));
		}
	}
	g->orphans = rest;
}

static void on_apply(void *ctx, uint64_t index, const raft_entry_t *e)
{
	group_t *g = ctx;
	group_input_t *it = take_waiting(g, index);

	g->scratch.n = 0;
	g->applied_bytes += e->data.data_len;
	if (e->kind == RAFT_ENTRY_COMMAND) {
		g->commands++;
		g->o.apply(g->o.ctx, index, (str_t){e->data.data_val, e->data.data_len},
			   &g->scratch);
	}
	if (it) {
		assert(it->term == e->term);
		it->data.n = 0;
		buf_add(&it->data, str_buf(&g->scratch));
		group_input_finish(g, it, STATUS_OK);
	}
	if (g->orphans.first)
		answer_orphans(g, index, e->term, str_buf(&g->scratch));
}

static bool on_snap_read(void *ctx, raft_snap_chunk_t *c)
{
	group_t *g = ctx;

	return store_read_snapshot(g->rs, c);
}

/* Callers whose entry a snapshot jumped over can't learn what became of it. */
static void finish_unknown(group_t *g, group_queue_t *l)
{
	group_input_t *it;

	while ((it = group_queue_pop(l)))
		group_input_finish(g, it,
				   status_fail(STATUS_TIMEOUT, "may be done: leadership was lost"));
}

static bool on_snap_write(void *ctx, const raft_snap_chunk_t *c)
{
	group_t *g = ctx;
	AUTO_BUF state = {0};
	status_t st;

	if (c->last)
		group_snapshot_join(g);
	st = store_receive_snapshot(g->rs, c);
	if (st == STATUS_OK && c->last)
		st = store_load_snapshot(g->rs, c->index, &state);
	if (st == STATUS_OK && c->last)
		st = g->o.restore(g->o.ctx, str_buf(&state));
	if (st != STATUS_OK && st != STATUS_INVALID)
		group_disk_set_failed(g);
	if (st != STATUS_OK || !c->last)
		return st == STATUS_OK;
	g->snap_index = c->index;
	g->applied_bytes = 0;
	finish_unknown(g, &g->orphans);
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

	g->led_since = leader ? clock_now_ms() : 0;
	while (!leader && (it = group_queue_pop(&g->pending)))
		group_queue_push(&g->orphans, it);
	while (!leader && (it = group_queue_pop(&g->stepping)))
		group_input_finish(g, it, STATUS_OK);
	if (g->o.role)
		g->o.role(g->o.ctx, leader, term);
}

void group_raft_callbacks(group_t *g, raft_callbacks_t *cb)
{
	*cb = (raft_callbacks_t){.ctx = g,
				 .send = on_send,
				 .persist_hard_state = on_hard,
				 .persist_entries = on_entries,
				 .persist_reset = on_reset,
				 .apply = on_apply,
				 .snap_read = on_snap_read,
				 .snap_write = on_snap_write,
				 .read_done = on_read_done,
				 .role = on_role};
}
