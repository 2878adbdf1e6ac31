/* The log in memory: entries after the base, what is persisted, synced, committed and applied. */
#include "raft/rf_int.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define LOG_MIN_CAP 64

static str_t entry_data(const rf_entry_t *e)
{
	return (str_t){e->data.data_val, e->data.data_len};
}

static void use_conf(rf_t *r, const rf_conf_t *conf, uint64_t index)
{
	r->conf = *conf;
	r->conf_index = index;
	if (r->role == RF_LEADER)
		rf_lead_rebuild_progress(r);
}

static void decode_conf(const rf_entry_t *e, rf_conf_t *out)
{
	status_t st = rf_conf_decode(entry_data(e), out);

	assert(st == ST_OK);
	(void)st;
}

void rf_log_append(rf_t *r, rf_entry_t e)
{
	if (r->nlog == r->log_cap) {
		r->log_cap = r->log_cap ? r->log_cap * 2 : LOG_MIN_CAP;
		r->log = mem_grow(r->log, r->log_cap * sizeof(*r->log));
		r->seqs = mem_grow(r->seqs, r->log_cap * sizeof(*r->seqs));
	}
	assert(rf_term_at(r, rf_last(r)) <= e.term);
	r->log[r->nlog] = e;
	r->seqs[r->nlog] = RF_SEQ_NOT_PERSISTED;
	r->nlog++;
	if (e.kind == RF_CONF) {
		rf_conf_t conf;

		decode_conf(&e, &conf);
		use_conf(r, &conf, rf_last(r));
	}
}

void rf_log_truncate(rf_t *r, uint64_t last)
{
	assert(last >= r->commit); /* what is committed never changes */
	while (rf_last(r) > last)
		free(r->log[--r->nlog].data.data_val);
	if (r->persisted > last)
		r->persisted = last;
	if (r->synced > last)
		r->synced = last;
	if (r->verified > last)
		r->verified = last;
	if (r->conf_index > last)
		rf_log_use_newest_conf(r);
}

void rf_log_reset(rf_t *r, uint64_t index, uint64_t term, const rf_conf_t *conf)
{
	assert(index >= r->commit);
	while (r->nlog)
		free(r->log[--r->nlog].data.data_val);
	r->base = index;
	r->base_term = term;
	r->base_conf = *conf;
	r->persisted = index;
	r->synced = index;
	r->verified = index;
	use_conf(r, conf, index);
}

/* Members of the newest entry up to index that holds some; *at is its index. */
static void find_conf(const rf_t *r, uint64_t index, rf_conf_t *out, uint64_t *at)
{
	for (uint64_t i = index; i > r->base; i--) {
		if (rf_entry(r, i)->kind == RF_CONF) {
			decode_conf(rf_entry(r, i), out);
			*at = i;
			return;
		}
	}
	*out = r->base_conf;
	*at = r->base;
}

void rf_conf_at(const rf_t *r, uint64_t index, rf_conf_t *out)
{
	uint64_t at;

	assert(index >= r->base && index <= rf_last(r));
	find_conf(r, index, out, &at);
}

void rf_log_use_newest_conf(rf_t *r)
{
	rf_conf_t conf;
	uint64_t at;

	find_conf(r, rf_last(r), &conf, &at);
	use_conf(r, &conf, at);
}

uint64_t rf_term_at(const rf_t *r, uint64_t index)
{
	assert(index >= r->base && index <= rf_last(r));
	return index == r->base ? r->base_term : rf_entry(r, index)->term;
}

void rf_log_persist(rf_t *r)
{
	uint64_t from = r->persisted + 1;
	size_t n = rf_last(r) - r->persisted;

	if (n == 0 || r->failed)
		return;
	r->next_seq++;
	for (uint64_t i = from; i <= rf_last(r); i++)
		r->seqs[i - r->base - 1] = r->next_seq;
	r->persisted = rf_last(r);
	r->cb.persist_entries(r->cb.ctx, r->next_seq, from, rf_entry(r, from), n);
}

bool rf_log_update_synced(rf_t *r)
{
	uint64_t was = r->synced;

	while (r->synced < r->persisted && r->seqs[r->synced - r->base] <= r->synced_seq)
		r->synced++;
	return r->synced > was;
}

void rf_log_commit(rf_t *r, uint64_t index)
{
	assert(index >= r->commit && index <= rf_last(r));
	r->commit = index;
	while (r->applied < r->commit) {
		r->applied++;
		r->cb.apply(r->cb.ctx, r->applied, rf_entry(r, r->applied));
	}
}

void rf_compact(rf_t *r, uint64_t index)
{
	size_t n = index - r->base;
	rf_conf_t conf;

	if (index <= r->base)
		return;
	assert(index <= r->applied);
	rf_conf_at(r, index, &conf);
	r->base_term = rf_term_at(r, index);
	r->base_conf = conf;
	for (size_t i = 0; i < n; i++)
		free(r->log[i].data.data_val);
	memmove(r->log, r->log + n, (r->nlog - n) * sizeof(*r->log));
	memmove(r->seqs, r->seqs + n, (r->nlog - n) * sizeof(*r->seqs));
	r->nlog -= n;
	r->base = index;
	/* The snapshot is durable, whatever became of the entries that it holds. */
	if (r->persisted < index)
		r->persisted = index;
	if (r->synced < index)
		r->synced = index;
	if (r->conf_index < index)
		r->conf_index = index;
}
