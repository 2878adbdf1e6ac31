/* Follower: entries and snapshots from the leader of the term. */
#include "raft/raft_internal.h"

#include <assert.h>
#include <string.h>

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

/* Follows the sender of m as leader of this term and restarts the election timeout. */
static void follow_leader(raft_t *r, const raft_msg_t *m)
{
	assert(m->term == r->term);
	assert(r->role != RAFT_LEADER); /* one leader per term */
	assert(r->term_leader == 0 || r->term_leader == m->from);
	r->term_leader = m->from;
	r->leader = m->from;
	r->role = RAFT_FOLLOWER;
	r->counted_as_voter = false;
	r->elections = 0;
	raft_reset_election_timeout(r);
}

static void send_append_resp(raft_t *r)
{
	raft_msg_t resp = {.type = RAFT_APPEND_RESP, .round = r->round_echoed};

	resp.index = min_u64(r->verified, r->synced);
	raft_send_msg(r, &resp, r->leader);
}

void raft_report_synced(raft_t *r)
{
	if (r->leader != 0)
		send_append_resp(r);
}

/* Returns the highest index at which this log can match the leader's, given that its entry at prev
 * is missing or differs. */
static uint64_t highest_possible_match(const raft_t *r, uint64_t prev)
{
	uint64_t at = min_u64(prev, raft_last_index(r) + 1) - 1;
	uint64_t term;

	if (prev > raft_last_index(r))
		return raft_last_index(r);
	term = raft_term_at(r, prev);
	while (at > r->commit && raft_term_at(r, at) == term)
		at--;
	return at < r->commit ? r->commit : at;
}

static void reject_append(raft_t *r, uint64_t prev, uint64_t round)
{
	raft_msg_t resp = {.type = RAFT_APPEND_RESP, .reject = true, .index = prev, .round = round};

	resp.hint = highest_possible_match(r, prev);
	raft_send_msg(r, &resp, r->leader);
}

static void assert_same_entry(const raft_entry_t *a, const raft_entry_t *b)
{
	assert(a->kind == b->kind && a->data.data_len == b->data.data_len);
	if (a->data.data_len)
		assert(memcmp(a->data.data_val, b->data.data_val, a->data.data_len) == 0);
}

/* Appends the entries after prev that the log lacks, truncating conflicting ones. Returns true if
 * any were appended. */
static bool append_missing(raft_t *r, uint64_t prev, raft_entry_t *e, size_t n)
{
	bool added = false;

	for (size_t i = 0; i < n; i++) {
		uint64_t index = prev + 1 + i;

		if (index <= r->base)
			continue;
		if (index <= raft_last_index(r) && raft_term_at(r, index) == e[i].term) {
			/* Log matching: entries of the same index and term are equal. */
			assert_same_entry(raft_entry_at(r, index), &e[i]);
			continue;
		}
		if (index <= raft_last_index(r))
			raft_log_truncate(r, index - 1);
		raft_log_append(r, e[i]);
		e[i].data.data_val = NULL;
		e[i].data.data_len = 0;
		added = true;
	}
	return added;
}

void raft_handle_append(raft_t *r, raft_msg_t *m)
{
	uint64_t prev = m->index;
	uint64_t end = prev + m->entries.entries_len;
	bool new_round;
	bool added;

	follow_leader(r, m);
	if (prev > raft_last_index(r) ||
	    (prev >= r->base && raft_term_at(r, prev) != m->log_term)) {
		/* Leader completeness: the leader has all committed entries. */
		assert(prev > r->commit);
		reject_append(r, prev, m->round);
		return;
	}
	added = append_missing(r, prev, m->entries.entries_val, m->entries.entries_len);
	raft_log_persist(r);
	new_round = m->round > r->round_echoed;
	if (new_round)
		r->round_echoed = m->round;
	if (r->verified < end)
		r->verified = end;
	if (m->commit > r->commit && r->verified > r->commit)
		raft_log_commit(r, min_u64(m->commit, r->verified));
	/* New entries are acknowledged by raft_report_synced. */
	if (!added || new_round)
		send_append_resp(r);
}

static void send_snapshot_resp(raft_t *r, const raft_msg_t *m, uint64_t wanted_offset)
{
	raft_msg_t resp = {.type = RAFT_SNAPSHOT_RESP, .index = m->index, .hint = wanted_offset};

	raft_send_msg(r, &resp, m->from);
}

static void install_snapshot(raft_t *r, const raft_msg_t *m, const raft_members_t *members)
{
	r->next_seq++;
	raft_log_reset(r, m->index, m->log_term, members);
	r->commit = m->index;
	r->applied = m->index;
	r->cb.persist_reset(r->cb.ctx, r->next_seq, m->index, m->log_term);
}

/* If the log holds the snapshot's last entry, and so all entries before it, commits up to it and
 * returns true: the snapshot is not needed. The entries after it stay, since they may have been
 * acknowledged. */
static bool commit_if_in_log(raft_t *r, uint64_t index, uint64_t term)
{
	if (index <= r->commit)
		return true;
	if (index > raft_last_index(r) || raft_term_at(r, index) != term)
		return false;
	if (r->verified < index)
		r->verified = index;
	raft_log_commit(r, index);
	return true;
}

void raft_handle_snap(raft_t *r, const raft_msg_t *m)
{
	raft_snap_chunk_t c = {.index = m->index,
			       .term = m->log_term,
			       .members = {m->conf.conf_val, m->conf.conf_len},
			       .offset = m->offset,
			       .data = {m->data.data_val, m->data.data_len},
			       .last = m->last,
			       .crc = (uint32_t)m->hint};
	raft_members_t members;

	follow_leader(r, m);
	if (commit_if_in_log(r, m->index, m->log_term)) {
		send_append_resp(r);
		return;
	}
	if (m->offset == 0)
		r->incoming_snap_index = m->index, r->incoming_snap_offset = 0;
	if (r->incoming_snap_index != m->index || r->incoming_snap_offset != m->offset) {
		send_snapshot_resp(
			r, m, r->incoming_snap_index == m->index ? r->incoming_snap_offset : 0);
		return;
	}
	if (raft_members_decode(c.members, &members) != STATUS_OK ||
	    !r->cb.snap_write(r->cb.ctx, &c)) {
		/* Without an answer the leader sends again after an election timeout, so that a
		 * full disk is not tried without pause. */
		r->incoming_snap_offset = 0;
		return;
	}
	r->incoming_snap_offset += c.data.n;
	if (!c.last) {
		send_snapshot_resp(r, m, r->incoming_snap_offset);
		return;
	}
	r->incoming_snap_index = 0;
	install_snapshot(r, m, &members);
	send_append_resp(r);
}
