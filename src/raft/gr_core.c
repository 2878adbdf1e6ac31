/* The core's callbacks: sending, the store, applying, and the answers to waiting callers. */
#include "raft/gr_int.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>
#include "proto/px.h"

static gr_known_t *find_known(gr_t *g, uint64_t id)
{
	for (unsigned i = 0; i < GR_KNOWN_MAX; i++) {
		if (g->known[i].id == id)
			return &g->known[i];
	}
	return NULL;
}

/* The place of a new sender: a free one, or that of whoever was silent for longest. */
static gr_known_t *oldest_known(gr_t *g)
{
	gr_known_t *best = &g->known[0];

	for (unsigned i = 1; i < GR_KNOWN_MAX; i++) {
		if (g->known[i].heard < best->heard)
			best = &g->known[i];
	}
	return best;
}

void gr_note_sender(gr_t *g, const rf_msg_t *m)
{
	gr_known_t *k = find_known(g, m->from);

	if (!k)
		k = oldest_known(g);
	k->id = m->from;
	k->heard = clk_now_ms();
	snprintf(k->addr, sizeof(k->addr), "%.*s", (int)m->addr.addr_len, m->addr.addr_val);
}

/* Where a replica was last heard from, else where the members' list has it. */
const char *gr_addr_of(gr_t *g, uint64_t id)
{
	const gr_known_t *k = id ? find_known(g, id) : NULL;
	static _Thread_local rf_view_t v;
	int at;

	if (k)
		return k->addr;
	rf_view(g->rf, &v);
	at = rf_conf_find(&v.conf, id);
	if (id == v.self)
		return g->addr;
	return at < 0 ? NULL : v.conf.peers[at].addr;
}

static void on_send(void *ctx, const rf_msg_t *m)
{
	gr_t *g = ctx;
	const char *addr = gr_addr_of(g, m->to);
	rf_msg_t copy = *m;

	if (!addr || !*addr)
		return;
	copy.addr.addr_val = g->addr;
	copy.addr.addr_len = (u_int)strlen(g->addr);
	g->encoded.n = 0;
	px_encode(&g->encoded, PX(rf_msg_t), &copy);
	g->o.send(g->o.ctx, addr, g->o.group, str_buf(&g->encoded));
}

static void on_hard(void *ctx, uint64_t seq, uint64_t term, uint64_t vote)
{
	gr_t *g = ctx;

	rs_hard(g->rs, seq, term, vote);
	gr_disk_poke(g);
}

static void on_entries(void *ctx, uint64_t seq, uint64_t from, const rf_entry_t *e, size_t n)
{
	gr_t *g = ctx;

	rs_entries(g->rs, seq, from, e, n);
	gr_disk_poke(g);
}

static void on_reset(void *ctx, uint64_t seq, uint64_t index, uint64_t term)
{
	gr_t *g = ctx;

	rs_reset(g->rs, seq, index, term);
	gr_disk_poke(g);
}

/* Takes the caller who waits for the entry at index, if there is one. */
static gr_item_t *take_waiting(gr_t *g, uint64_t index)
{
	if (g->pending.first && g->pending.first->index == index)
		return gr_list_take(&g->pending);
	assert(!g->pending.first || g->pending.first->index > index);
	return NULL;
}

/* Answers the callers of ended leaderships who waited for the entry at index. */
static void answer_orphans(gr_t *g, uint64_t index, uint64_t term, str_t result)
{
	gr_list_t rest = {0};
	gr_item_t *it;

	while ((it = gr_list_take(&g->orphans))) {
		if (it->index != index) {
			gr_list_add(&rest, it);
		} else if (it->term == term) {
			it->data.n = 0;
			buf_add(&it->data, result);
			gr_item_finish(g, it, ST_OK);
		} else {
			gr_item_finish(
				g, it,
				st_fail(ST_NOT_LEADER, "another leader's entry took the place"));
		}
	}
	g->orphans = rest;
}

static void on_apply(void *ctx, uint64_t index, const rf_entry_t *e)
{
	gr_t *g = ctx;
	gr_item_t *it = take_waiting(g, index);

	g->scratch.n = 0;
	g->applied_bytes += e->data.data_len;
	if (e->kind == RF_COMMAND) {
		g->commands++;
		g->o.apply(g->o.ctx, index, (str_t){e->data.data_val, e->data.data_len},
			   &g->scratch);
	}
	if (it) {
		assert(it->term == e->term);
		it->data.n = 0;
		buf_add(&it->data, str_buf(&g->scratch));
		gr_item_finish(g, it, ST_OK);
	}
	if (g->orphans.first)
		answer_orphans(g, index, e->term, str_buf(&g->scratch));
}

static bool on_snap_read(void *ctx, rf_chunk_t *c)
{
	gr_t *g = ctx;

	return rs_snap_read(g->rs, c);
}

/* Callers whose entry a snapshot jumped over can't learn what became of it. */
static void finish_unknown(gr_t *g, gr_list_t *l)
{
	gr_item_t *it;

	while ((it = gr_list_take(l)))
		gr_item_finish(g, it, st_fail(ST_TIMEOUT, "may be done: leadership was lost"));
}

static bool on_snap_write(void *ctx, const rf_chunk_t *c)
{
	gr_t *g = ctx;
	AUTO_BUF state = {0};
	status_t st;

	if (c->last)
		gr_snap_join(g);
	st = rs_snap_receive(g->rs, c);
	if (st == ST_OK && c->last)
		st = rs_snap_load(g->rs, c->index, &state);
	if (st == ST_OK && c->last)
		st = g->o.restore(g->o.ctx, str_buf(&state));
	if (st != ST_OK && st != ST_INVALID)
		gr_disk_mark_failed(g);
	if (st != ST_OK || !c->last)
		return st == ST_OK;
	g->snap_index = c->index;
	g->applied_bytes = 0;
	finish_unknown(g, &g->orphans);
	return true;
}

static void on_read_done(void *ctx, uint64_t token, bool ok)
{
	gr_t *g = ctx;
	gr_item_t *it = (gr_item_t *)(uintptr_t)token;

	gr_item_finish(g, it, ok ? ST_OK : st_fail(ST_NOT_LEADER, "leadership was lost"));
}

static void on_role(void *ctx, rf_role_t role, uint64_t term)
{
	gr_t *g = ctx;
	bool leader = role == RF_LEADER;
	gr_item_t *it;

	g->led_since = leader ? clk_now_ms() : 0;
	while (!leader && (it = gr_list_take(&g->pending)))
		gr_list_add(&g->orphans, it);
	while (!leader && (it = gr_list_take(&g->stepping)))
		gr_item_finish(g, it, ST_OK);
	if (g->o.role)
		g->o.role(g->o.ctx, leader, term);
}

void gr_core_callbacks(gr_t *g, rf_callbacks_t *cb)
{
	*cb = (rf_callbacks_t){.ctx = g,
			       .send = on_send,
			       .persist_hard = on_hard,
			       .persist_entries = on_entries,
			       .persist_reset = on_reset,
			       .apply = on_apply,
			       .snap_read = on_snap_read,
			       .snap_write = on_snap_write,
			       .read_done = on_read_done,
			       .role = on_role};
}
