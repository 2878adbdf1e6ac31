/* A replica of the simulation: its disk, its state and the callbacks of its Raft core. */
#include "sim.h"
#include "base/prng.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Smaller than the state, so that a snapshot takes several chunks. */
#define CHUNK_BYTES 24

uint64_t sim_random(sim_t *s, uint64_t n)
{
	return (prng_next(&s->random) >> 11) % n;
}

void sim_report_violation(sim_t *s, const char *fmt, ...)
{
	va_list ap;

	if (s->res->violated)
		return;
	s->res->violated = true;
	va_start(ap, fmt);
	vsnprintf(s->res->what, sizeof(s->res->what), fmt, ap);
	va_end(ap);
}

static raft_entry_t copy_entry(const raft_entry_t *e)
{
	raft_entry_t c = *e;

	c.data.data_val = str_dup((str_t){e->data.data_val, e->data.data_len});
	return c;
}

static void free_write(sim_write_t *w)
{
	for (size_t i = 0; i < w->n; i++)
		free(w->entries[i].data.data_val);
	free(w->entries);
}

static void truncate_log(sim_disk_t *d, size_t nkept)
{
	while (d->n > nkept)
		free(d->entries[--d->n].data.data_val);
}

void sim_disk_clear(sim_disk_t *d)
{
	truncate_log(d, 0);
	for (size_t i = 0; i < d->nwrites; i++)
		free_write(&d->writes[i]);
	free(d->entries);
	free(d->writes);
	*d = (sim_disk_t){0};
}

/* Changes the durable state by one write, and frees the write. */
static void apply_write(sim_disk_t *d, sim_write_t *w)
{
	if (w->type == SIM_HARD_STATE) {
		d->term = w->term;
		d->vote = w->index;
	} else if (w->type == SIM_RESET) {
		truncate_log(d, 0);
		d->base = w->index;
		d->base_term = w->term;
	} else {
		truncate_log(d, w->index - d->base - 1);
		d->entries = mem_grow(d->entries, (d->n + w->n) * sizeof(*d->entries));
		memcpy(d->entries + d->n, w->entries, w->n * sizeof(*d->entries));
		d->n += w->n;
		w->n = 0;
	}
	free_write(w);
}

static void sync_disk(sim_disk_t *d, size_t n)
{
	for (size_t i = 0; i < n; i++)
		apply_write(d, &d->writes[i]);
	d->nwrites -= n;
	if (d->nwrites)
		memmove(d->writes, d->writes + n, d->nwrites * sizeof(*d->writes));
}

void sim_node_sync(sim_node_t *n, size_t writes)
{
	uint64_t seq;

	if (writes > n->disk.nwrites)
		writes = n->disk.nwrites;
	if (writes == 0)
		return;
	if (sim_disk_is_faulty(n)) {
		if (n->disk.fault != SIM_DISK_HANGS)
			sim_disk_refuse(n);
		return;
	}
	if (n->disk.refused) {
		sim_disk_return(n);
		writes = n->disk.nwrites;
	}
	seq = n->disk.writes[writes - 1].seq;
	sync_disk(&n->disk, writes);
	raft_on_synced(n->raft, seq);
}

static void queue_write(sim_node_t *n, sim_write_t w)
{
	sim_disk_t *d = &n->disk;

	d->writes = mem_grow(d->writes, (d->nwrites + 1) * sizeof(*d->writes));
	d->writes[d->nwrites++] = w;
}

static void on_send(void *ctx, const raft_msg_t *m)
{
	sim_send(ctx, m);
}

static void on_hard_state(void *ctx, uint64_t seq, uint64_t term, uint64_t vote)
{
	queue_write(ctx, (sim_write_t){SIM_HARD_STATE, seq, term, vote, NULL, 0});
}

static void on_entries(void *ctx, uint64_t seq, uint64_t from, const raft_entry_t *e, size_t n)
{
	sim_write_t w = {SIM_ENTRIES, seq, 0, from, mem_new(n * sizeof(*e)), n};

	for (size_t i = 0; i < n; i++)
		w.entries[i] = copy_entry(&e[i]);
	queue_write(ctx, w);
}

static void on_reset(void *ctx, uint64_t seq, uint64_t index, uint64_t term)
{
	queue_write(ctx, (sim_write_t){SIM_RESET, seq, term, index, NULL, 0});
}

static void on_apply(void *ctx, uint64_t index, const raft_entry_t *e)
{
	sim_check_apply(ctx, index, e);
}

/* Makes this the newest of the two snapshots on the disk. */
static void add_snapshot(sim_disk_t *d, const sim_snap_t *snap)
{
	d->snaps[1] = d->snaps[0];
	d->snaps[0] = *snap;
	if (d->nsnaps < 2)
		d->nsnaps++;
}

void sim_node_snapshot(sim_node_t *n)
{
	sim_snap_t snap = {.index = raft_applied_index(n->raft), .state = n->state};

	if (sim_disk_is_faulty(n) || snap.index == 0 ||
	    (n->disk.nsnaps && n->disk.snaps[0].index >= snap.index))
		return;
	snap.term = raft_term_at(n->raft, snap.index);
	raft_members_at(n->raft, snap.index, &snap.members);
	add_snapshot(&n->disk, &snap);
	if (n->disk.nsnaps > 1)
		raft_compact(n->raft, n->disk.snaps[1].index);
}

static bool on_snap_read(void *ctx, raft_snap_chunk_t *c)
{
	sim_node_t *n = ctx;
	const sim_snap_t *snap = NULL;

	for (unsigned i = n->disk.nsnaps; i > 0; i--) {
		if (c->index == 0 || n->disk.snaps[i - 1].index == c->index)
			snap = &n->disk.snaps[i - 1];
	}
	if (!snap || c->offset > sizeof(snap->state))
		return false;
	n->outgoing.n = n->outgoing_members.n = 0;
	buf_add(&n->outgoing, (str_t){(const char *)&snap->state, sizeof(snap->state)});
	buf_drop_front(&n->outgoing, c->offset);
	raft_members_encode(&snap->members, &n->outgoing_members);
	c->index = snap->index;
	c->term = snap->term;
	c->members = str_buf(&n->outgoing_members);
	c->data = str_buf(&n->outgoing);
	if (c->data.n > CHUNK_BYTES)
		c->data.n = CHUNK_BYTES;
	c->last = c->offset + c->data.n == sizeof(snap->state);
	return true;
}

static bool on_snap_write(void *ctx, const raft_snap_chunk_t *c)
{
	sim_node_t *n = ctx;
	sim_snap_t snap = {.index = c->index, .term = c->term};

	if (sim_disk_is_faulty(n) && n->disk.fault != SIM_DISK_HANGS)
		return false;
	if (c->offset == 0)
		n->incoming.n = 0;
	if (c->offset != n->incoming.n)
		return false;
	buf_add(&n->incoming, c->data);
	if (!c->last)
		return true;
	if (n->incoming.n != sizeof(snap.state) ||
	    raft_members_decode(c->members, &snap.members) != STATUS_OK) {
		sim_report_violation(
			n->sim,
			"a snapshot of %zu bytes was received, or its members are malformed",
			n->incoming.n);
		return false;
	}
	memcpy(&snap.state, n->incoming.p, sizeof(snap.state));
	if (snap.state.applied > snap.index)
		sim_report_violation(n->sim, "a snapshot holds entries after its index");
	add_snapshot(&n->disk, &snap);
	n->state = snap.state;
	n->sim->res->installs++;
	return true;
}

static void on_read_done(void *ctx, uint64_t token, bool ok)
{
	sim_call_read_done(ctx, token, ok);
}

static void on_role(void *ctx, raft_role_t role, uint64_t term)
{
	if (role == RAFT_LEADER)
		sim_check_leader(ctx, term);
}

/* Drops the entries that the newest snapshot covers, or the whole log if it does not continue the
 * snapshot. */
static void align_log_with_snapshot(sim_disk_t *d)
{
	uint64_t index = d->nsnaps ? d->snaps[0].index : 0;
	uint64_t term = d->nsnaps ? d->snaps[0].term : 0;
	size_t skip = index - d->base;

	if (index == d->base)
		return;
	if (skip > d->n || d->entries[skip - 1].term != term) {
		truncate_log(d, 0);
	} else {
		for (size_t i = 0; i < skip; i++)
			free(d->entries[i].data.data_val);
		d->n -= skip;
		memmove(d->entries, d->entries + skip, d->n * sizeof(*d->entries));
	}
	d->base = index;
	d->base_term = term;
}

void sim_node_start(sim_node_t *n)
{
	sim_disk_t *d = &n->disk;
	raft_options_t o = {.self = n->id,
			    .election_ticks = 6,
			    .heartbeat_ticks = 2,
			    .random_seed = sim_random(n->sim, 1u << 30) + 1,
			    .term = d->term,
			    .vote = d->vote,
			    .cb = {.ctx = n,
				   .send = on_send,
				   .persist_hard_state = on_hard_state,
				   .persist_entries = on_entries,
				   .persist_reset = on_reset,
				   .apply = on_apply,
				   .snap_read = on_snap_read,
				   .snap_write = on_snap_write,
				   .read_done = on_read_done,
				   .role = on_role}};

	align_log_with_snapshot(d);
	n->state = (sim_state_t){0};
	if (d->nsnaps) {
		n->state = d->snaps[0].state;
		o.base_members = d->snaps[0].members;
	}
	o.base = d->base;
	o.base_term = d->base_term;
	o.entries = d->entries;
	o.nentries = d->n;
	n->raft = raft_new(&o);
}

void sim_node_stop(sim_node_t *n)
{
	size_t nkept;

	if (!n->raft)
		return;
	nkept = sim_random(n->sim, n->disk.nwrites + 1);
	if (n->disk.sync_failed && sim_disk_random(n->sim, 2))
		nkept = 0;
	sync_disk(&n->disk, nkept);
	n->disk.refused = n->disk.sync_failed = false;
	for (size_t i = 0; i < n->disk.nwrites; i++)
		free_write(&n->disk.writes[i]);
	n->disk.nwrites = 0;
	raft_free(n->raft);
	n->raft = NULL;
	n->frozen_steps = 0;
	n->incoming.n = 0;
	sim_calls_drop(n->sim, n->addr);
}

void sim_node_free(sim_node_t *n)
{
	raft_free(n->raft);
	sim_disk_clear(&n->disk);
	buf_free(&n->incoming);
	buf_free(&n->outgoing);
	buf_free(&n->outgoing_members);
}
