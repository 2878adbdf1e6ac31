/* The in-memory log: the entries after the base, and which are persisted, synced, committed and
 * applied. */
#include "raft/raft_internal.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MIN_CAP 64

static str_t entry_data(const raft_entry_t *e)
{
	return (str_t){e->data.data_val, e->data.data_len};
}

static void set_members(raft_t *r, const raft_members_t *members, uint64_t index)
{
	r->members = *members;
	r->members_index = index;
	if (r->role == RAFT_LEADER)
		raft_leader_rebuild_progress(r);
}

static void decode_members(const raft_entry_t *e, raft_members_t *out)
{
	status_t st = raft_members_decode(entry_data(e), out);

	assert(st == STATUS_OK);
	(void)st;
}

void raft_log_append(raft_t *r, raft_entry_t e)
{
	if (r->nlog == r->log_cap) {
		r->log_cap = r->log_cap ? r->log_cap * 2 : LOG_MIN_CAP;
		r->log = mem_grow(r->log, r->log_cap * sizeof(*r->log));
		r->persist_seqs = mem_grow(r->persist_seqs, r->log_cap * sizeof(*r->persist_seqs));
	}
	assert(raft_term_at(r, raft_last_index(r)) <= e.term);
	r->log[r->nlog] = e;
	r->persist_seqs[r->nlog] = RAFT_SEQ_NOT_PERSISTED;
	r->nlog++;
	r->log_bytes += e.data.data_len;
	if (e.kind == RAFT_ENTRY_MEMBERS) {
		raft_members_t members;

		decode_members(&e, &members);
		set_members(r, &members, raft_last_index(r));
	}
}

static void free_data(raft_t *r, raft_entry_t *e)
{
	r->log_bytes -= e->data.data_len;
	free(e->data.data_val);
}

static void drop_last(raft_t *r)
{
	free_data(r, &r->log[--r->nlog]);
}

void raft_log_truncate(raft_t *r, uint64_t last)
{
	assert(last >= r->commit); /* committed entries never change */
	while (raft_last_index(r) > last)
		drop_last(r);
	if (r->submitted > last)
		r->submitted = last;
	if (r->synced > last)
		r->synced = last;
	if (r->verified > last)
		r->verified = last;
	if (r->members_index > last)
		raft_log_use_newest_members(r);
}

void raft_log_reset(raft_t *r, uint64_t index, uint64_t term, const raft_members_t *members)
{
	assert(index >= r->commit);
	while (r->nlog)
		drop_last(r);
	r->base = index;
	r->base_term = term;
	r->base_members = *members;
	r->submitted = index;
	r->synced = index;
	r->verified = index;
	set_members(r, members, index);
}

/* Finds the members as of index: those of the newest members entry up to it, else the base's; *at
 * is the index that they come from. */
static void find_members(const raft_t *r, uint64_t index, raft_members_t *out, uint64_t *at)
{
	for (uint64_t i = index; i > r->base; i--) {
		if (raft_entry_at(r, i)->kind == RAFT_ENTRY_MEMBERS) {
			decode_members(raft_entry_at(r, i), out);
			*at = i;
			return;
		}
	}
	*out = r->base_members;
	*at = r->base;
}

void raft_members_at(const raft_t *r, uint64_t index, raft_members_t *out)
{
	uint64_t at;

	assert(index >= r->base && index <= raft_last_index(r));
	find_members(r, index, out, &at);
}

void raft_log_use_newest_members(raft_t *r)
{
	raft_members_t members;
	uint64_t at;

	find_members(r, raft_last_index(r), &members, &at);
	set_members(r, &members, at);
}

uint64_t raft_term_at(const raft_t *r, uint64_t index)
{
	assert(index >= r->base && index <= raft_last_index(r));
	return index == r->base ? r->base_term : raft_entry_at(r, index)->term;
}

void raft_log_persist(raft_t *r)
{
	uint64_t from = r->submitted + 1;
	size_t n = raft_last_index(r) - r->submitted;

	if (n == 0 || r->failed)
		return;
	r->next_seq++;
	for (uint64_t i = from; i <= raft_last_index(r); i++)
		r->persist_seqs[i - r->base - 1] = r->next_seq;
	r->submitted = raft_last_index(r);
	r->cb.persist_entries(r->cb.ctx, r->next_seq, from, raft_entry_at(r, from), n);
}

bool raft_log_update_synced(raft_t *r)
{
	uint64_t old_synced = r->synced;

	while (r->synced < r->submitted && r->persist_seqs[r->synced - r->base] <= r->synced_seq)
		r->synced++;
	return r->synced > old_synced;
}

void raft_log_commit(raft_t *r, uint64_t index)
{
	assert(index >= r->commit && index <= raft_last_index(r));
	r->commit = index;
	while (r->applied < r->commit) {
		r->applied++;
		r->cb.apply(r->cb.ctx, r->applied, raft_entry_at(r, r->applied));
	}
}

void raft_compact(raft_t *r, uint64_t index)
{
	size_t n = index - r->base;
	raft_members_t members;

	if (index <= r->base)
		return;
	assert(index <= r->applied);
	raft_members_at(r, index, &members);
	r->base_term = raft_term_at(r, index);
	r->base_members = members;
	for (size_t i = 0; i < n; i++)
		free_data(r, &r->log[i]);
	memmove(r->log, r->log + n, (r->nlog - n) * sizeof(*r->log));
	memmove(r->persist_seqs, r->persist_seqs + n, (r->nlog - n) * sizeof(*r->persist_seqs));
	r->nlog -= n;
	r->base = index;
	/* The snapshot is durable, so the entries it covers count as synced even if they are
	 * not. */
	if (r->submitted < index)
		r->submitted = index;
	if (r->synced < index)
		r->synced = index;
	if (r->members_index < index)
		r->members_index = index;
}
