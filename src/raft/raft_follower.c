/* The follower's side: entries and snapshots from the leader of the term. */
#include "raft/raft_internal.h"

#include <assert.h>
#include <string.h>

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

/* Takes note that m's sender leads this term. */
static void hear_leader(raft_t *r, const raft_msg_t *m)
{
	assert(m->term == r->term);
	assert(r->role != RAFT_LEADER); /* one leader a term */
	assert(r->term_leader == 0 || r->term_leader == m->from);
	r->term_leader = m->from;
	r->leader = m->from;
	r->role = RAFT_FOLLOWER;
	r->asked = false;
	raft_reset_election_timeout(r);
}

static void answer(raft_t *r)
{
	raft_msg_t resp = {.type = RAFT_APPEND_RESP, .round = r->round_answered};

	resp.index = min_u64(r->verified, r->synced);
	raft_send_msg(r, &resp, r->leader);
}

void raft_report_synced(raft_t *r)
{
	if (r->leader != 0)
		answer(r);
}

/* The newest index at which this log may equal the leader's, which differs at prev. */
static uint64_t meeting_hint(const raft_t *r, uint64_t prev)
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

static void refuse(raft_t *r, uint64_t prev, uint64_t round)
{
	raft_msg_t resp = {.type = RAFT_APPEND_RESP, .reject = true, .index = prev, .round = round};

	resp.hint = meeting_hint(r, prev);
	raft_send_msg(r, &resp, r->leader);
}

static void assert_same(const raft_entry_t *a, const raft_entry_t *b)
{
	assert(a->kind == b->kind && a->data.data_len == b->data.data_len);
	if (a->data.data_len)
		assert(memcmp(a->data.data_val, b->data.data_val, a->data.data_len) == 0);
}

/* Adds those entries after prev that the log lacks; true when there were any. */
static bool take_entries(raft_t *r, uint64_t prev, raft_entry_t *e, size_t n)
{
	bool added = false;

	for (size_t i = 0; i < n; i++) {
		uint64_t index = prev + 1 + i;

		if (index <= r->base)
			continue;
		if (index <= raft_last_index(r) && raft_term_at(r, index) == e[i].term) {
			assert_same(raft_entry_at(r, index), &e[i]); /* log matching */
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

	hear_leader(r, m);
	if (prev > raft_last_index(r) ||
	    (prev >= r->base && raft_term_at(r, prev) != m->log_term)) {
		assert(prev > r->commit); /* leader completeness */
		refuse(r, prev, m->round);
		return;
	}
	added = take_entries(r, prev, m->entries.entries_val, m->entries.entries_len);
	raft_log_persist(r);
	new_round = m->round > r->round_answered;
	if (new_round)
		r->round_answered = m->round;
	if (r->verified < end)
		r->verified = end;
	if (m->commit > r->commit && r->verified > r->commit)
		raft_log_commit(r, min_u64(m->commit, r->verified));
	if (!added || new_round)
		answer(r);
}

static void answer_snap(raft_t *r, const raft_msg_t *m, uint64_t wanted)
{
	raft_msg_t resp = {.type = RAFT_SNAPSHOT_RESP, .index = m->index, .hint = wanted};

	raft_send_msg(r, &resp, m->from);
}

static void install(raft_t *r, const raft_msg_t *m, const raft_members_t *conf)
{
	r->next_seq++;
	raft_log_reset(r, m->index, m->log_term, conf);
	r->commit = m->index;
	r->applied = m->index;
	r->cb.persist_reset(r->cb.ctx, r->next_seq, m->index, m->log_term);
}

/* True when the log has the snapshot's last entry, and so all before it. What follows may have been
 * acknowledged and must stay. */
static bool holds_entry(raft_t *r, uint64_t index, uint64_t term)
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
	raft_members_t conf;

	hear_leader(r, m);
	if (holds_entry(r, m->index, m->log_term)) {
		answer(r);
		return;
	}
	if (m->offset == 0)
		r->snap_in_index = m->index, r->snap_in_offset = 0;
	if (r->snap_in_index != m->index || r->snap_in_offset != m->offset) {
		answer_snap(r, m, r->snap_in_index == m->index ? r->snap_in_offset : 0);
		return;
	}
	if (raft_members_decode(c.members, &conf) != STATUS_OK ||
	    !r->cb.snap_write(r->cb.ctx, &c)) {
		r->snap_in_offset = 0;
		answer_snap(r, m, 0);
		return;
	}
	r->snap_in_offset += c.data.n;
	if (!c.last) {
		answer_snap(r, m, r->snap_in_offset);
		return;
	}
	r->snap_in_index = 0;
	install(r, m, &conf);
	answer(r);
}
