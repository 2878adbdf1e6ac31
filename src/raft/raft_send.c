/* Messages from the leader to one member: entries, heartbeats and snapshot chunks. */
#include "raft/raft_internal.h"

#include <assert.h>

/* Number of entries from `from` on that fit into one message. */
static size_t count_batch_entries(const raft_t *r, uint64_t from)
{
	size_t bytes = 0;
	size_t n = 0;

	/* Entries that this replica has not yet submitted to its own disk are left out. */
	while (from + n <= r->submitted && n < RAFT_BATCH_ENTRIES_MAX) {
		bytes += raft_entry_at(r, from + n)->data.data_len;
		if (n > 0 && bytes > RAFT_BATCH_BYTES_MAX)
			break;
		n++;
	}
	return n;
}

static void start_snapshot(raft_t *r, raft_progress_t *p)
{
	p->mode = RAFT_MODE_SNAPSHOT;
	p->snap_index = 0;
	p->snap_offset = 0;
	p->snap_sent = false;
	raft_send_snap_chunk(r, p);
}

static void send_entries(raft_t *r, raft_progress_t *p, size_t n)
{
	raft_msg_t m = {.type = RAFT_APPEND, .commit = r->commit, .round = r->round};

	m.index = p->next - 1;
	m.log_term = raft_term_at(r, m.index);
	m.entries.entries_len = (u_int)n;
	if (n)
		m.entries.entries_val = raft_entry_at(r, p->next);
	raft_send_msg(r, &m, p->id);
}

static void record_sent(const raft_t *r, raft_progress_t *p, size_t n)
{
	raft_inflight_t *sent;

	if (n == 0)
		return;
	if (p->mode == RAFT_MODE_PROBE) {
		p->probe_pending = true;
		return;
	}
	sent = &p->inflight[(p->inflight_head + p->inflight_n++) % RAFT_INFLIGHT_MAX];
	sent->bytes = 0;
	for (size_t i = 0; i < n; i++)
		sent->bytes += raft_entry_at(r, p->next++)->data.data_len;
	sent->last = p->next - 1;
	p->inflight_bytes += sent->bytes;
}

/* Prevents a member that receives a snapshot from starting an election meanwhile. */
static void send_snapshot_heartbeat(raft_t *r, raft_progress_t *p)
{
	raft_msg_t m = {.type = RAFT_APPEND, .round = r->round};

	if (!p->snap_sent) {
		raft_send_snap_chunk(r, p);
		return;
	}
	raft_send_msg(r, &m, p->id);
}

void raft_send_append(raft_t *r, raft_progress_t *p, bool heartbeat)
{
	bool must_send = heartbeat || r->round > p->round_sent;
	size_t n;

	if (p->mode == RAFT_MODE_SNAPSHOT) {
		if (must_send)
			send_snapshot_heartbeat(r, p);
		p->round_sent = r->round;
		return;
	}
	if (p->next <= r->base) {
		start_snapshot(r, p);
		return;
	}
	do {
		n = 0;
		if (p->inflight_n < RAFT_INFLIGHT_MAX &&
		    p->inflight_bytes < RAFT_INFLIGHT_BYTES_MAX && !p->probe_pending)
			n = count_batch_entries(r, p->next);
		if (n || must_send)
			send_entries(r, p, n);
		record_sent(r, p, n);
		p->round_sent = r->round;
		must_send = false;
	} while (n && p->mode == RAFT_MODE_REPLICATE);
}

void raft_send_snap_chunk(raft_t *r, raft_progress_t *p)
{
	raft_msg_t m = {.type = RAFT_SNAPSHOT, .commit = r->commit};
	raft_snap_chunk_t c = {.index = p->snap_index, .offset = p->snap_offset};

	if (p->snap_sent)
		return;
	if (!r->cb.snap_read(r->cb.ctx, &c)) {
		/* The snapshot was removed or cannot be read: restart with the newest one. */
		c = (raft_snap_chunk_t){0};
		if (!r->cb.snap_read(r->cb.ctx, &c))
			return;
	}
	assert(c.index >= r->base || p->snap_index != 0);
	p->snap_index = c.index;
	p->snap_offset = c.offset;
	p->snap_sent = true;
	p->snap_wait_ticks = 0;
	m.index = c.index;
	m.log_term = c.term;
	m.conf.conf_len = (u_int)c.members.n;
	m.conf.conf_val = (char *)c.members.p;
	m.offset = c.offset;
	m.data.data_len = (u_int)c.data.n;
	m.data.data_val = (char *)c.data.p;
	m.last = c.last;
	m.hint = c.crc;
	raft_send_msg(r, &m, p->id);
}
