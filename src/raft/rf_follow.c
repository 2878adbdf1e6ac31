/* The follower's side: entries and snapshots from the leader of the term. */
#include "raft/rf_int.h"

#include <assert.h>
#include <string.h>

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

/* Takes note that m's sender leads this term. */
static void hear_leader(rf_t *r, const rf_msg_t *m)
{
	assert(m->term == r->term);
	assert(r->role != RF_LEADER); /* one leader a term */
	assert(r->term_leader == 0 || r->term_leader == m->from);
	r->term_leader = m->from;
	r->leader = m->from;
	r->role = RF_FOLLOWER;
	r->asked = false;
	rf_reset_timeout(r);
}

static void answer(rf_t *r)
{
	rf_msg_t resp = {.type = RF_APPEND_RESP, .round = r->round_answered};

	resp.index = min_u64(r->verified, r->synced);
	rf_send(r, &resp, r->leader);
}

void rf_report_synced(rf_t *r)
{
	if (r->leader != 0)
		answer(r);
}

/* The newest index at which this log may equal the leader's, which differs at prev. */
static uint64_t meeting_hint(const rf_t *r, uint64_t prev)
{
	uint64_t at = min_u64(prev, rf_last(r) + 1) - 1;
	uint64_t term;

	if (prev > rf_last(r))
		return rf_last(r);
	term = rf_term_at(r, prev);
	while (at > r->commit && rf_term_at(r, at) == term)
		at--;
	return at < r->commit ? r->commit : at;
}

static void refuse(rf_t *r, uint64_t prev, uint64_t round)
{
	rf_msg_t resp = {.type = RF_APPEND_RESP, .reject = true, .index = prev, .round = round};

	resp.hint = meeting_hint(r, prev);
	rf_send(r, &resp, r->leader);
}

static void assert_same(const rf_entry_t *a, const rf_entry_t *b)
{
	assert(a->kind == b->kind && a->data.data_len == b->data.data_len);
	if (a->data.data_len)
		assert(memcmp(a->data.data_val, b->data.data_val, a->data.data_len) == 0);
}

/* Adds those entries after prev that the log lacks; true when there were any. */
static bool take_entries(rf_t *r, uint64_t prev, rf_entry_t *e, size_t n)
{
	bool added = false;

	for (size_t i = 0; i < n; i++) {
		uint64_t index = prev + 1 + i;

		if (index <= r->base)
			continue;
		if (index <= rf_last(r) && rf_term_at(r, index) == e[i].term) {
			assert_same(rf_entry(r, index), &e[i]); /* log matching */
			continue;
		}
		if (index <= rf_last(r))
			rf_log_truncate(r, index - 1);
		rf_log_append(r, e[i]);
		e[i].data.data_val = NULL;
		e[i].data.data_len = 0;
		added = true;
	}
	return added;
}

void rf_handle_append(rf_t *r, rf_msg_t *m)
{
	uint64_t prev = m->index;
	uint64_t end = prev + m->entries.entries_len;
	bool new_round;
	bool added;

	hear_leader(r, m);
	if (prev > rf_last(r) || (prev >= r->base && rf_term_at(r, prev) != m->log_term)) {
		assert(prev > r->commit); /* leader completeness */
		refuse(r, prev, m->round);
		return;
	}
	added = take_entries(r, prev, m->entries.entries_val, m->entries.entries_len);
	rf_log_persist(r);
	new_round = m->round > r->round_answered;
	if (new_round)
		r->round_answered = m->round;
	if (r->verified < end)
		r->verified = end;
	if (m->commit > r->commit && r->verified > r->commit)
		rf_log_commit(r, min_u64(m->commit, r->verified));
	if (!added || new_round)
		answer(r);
}

static void answer_snap(rf_t *r, const rf_msg_t *m, uint64_t wanted)
{
	rf_msg_t resp = {.type = RF_SNAP_RESP, .index = m->index, .hint = wanted};

	rf_send(r, &resp, m->from);
}

static void install(rf_t *r, const rf_msg_t *m, const rf_conf_t *conf)
{
	r->next_seq++;
	rf_log_reset(r, m->index, m->log_term, conf);
	r->commit = m->index;
	r->applied = m->index;
	r->cb.persist_reset(r->cb.ctx, r->next_seq, m->index, m->log_term);
}

/* True when the log has the snapshot's last entry, and so all before it. What follows may have been
 * acknowledged and must stay. */
static bool holds_entry(rf_t *r, uint64_t index, uint64_t term)
{
	if (index <= r->commit)
		return true;
	if (index > rf_last(r) || rf_term_at(r, index) != term)
		return false;
	if (r->verified < index)
		r->verified = index;
	rf_log_commit(r, index);
	return true;
}

void rf_handle_snap(rf_t *r, const rf_msg_t *m)
{
	rf_chunk_t c = {.index = m->index,
			.term = m->log_term,
			.conf = {m->conf.conf_val, m->conf.conf_len},
			.offset = m->offset,
			.data = {m->data.data_val, m->data.data_len},
			.last = m->last,
			.crc = (uint32_t)m->hint};
	rf_conf_t conf;

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
	if (rf_conf_decode(c.conf, &conf) != ST_OK || !r->cb.snap_write(r->cb.ctx, &c)) {
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
