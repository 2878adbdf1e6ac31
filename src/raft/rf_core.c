/* Set-up, dispatch of inputs, terms, and messages that wait for the disk. */
#include "raft/rf_int.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include "base/rd.h"

void rf_reset_timeout(rf_t *r)
{
	r->elapsed = 0;
	r->timeout = r->election_ticks + (unsigned)(rd_next(&r->random) % r->election_ticks);
}

/* A snapshot may have been synced before the term that it came in. No vote of that term can have
 * left then, since votes wait for their sync. */
static void raise_term(rf_t *r)
{
	uint64_t last_term = rf_term_at(r, rf_last(r));

	if (last_term <= r->term)
		return;
	r->term = last_term;
	r->vote = 0;
}

static bool is_sole_voter(const rf_t *r)
{
	for (unsigned i = 0; i < r->conf.n; i++) {
		if (r->conf.peers[i].voter && r->conf.peers[i].id != r->self)
			return false;
	}
	return rf_conf_find(&r->conf, r->self) >= 0;
}

/* A member that has just started knows of no leader. If there is one, the others reject its
 * pre-vote; if all have started anew, nobody need wait out a whole timeout. */
static void start_early(rf_t *r)
{
	unsigned wait = 1 + (unsigned)(rd_next(&r->random) % (r->election_ticks / 2 + 1));

	r->elapsed = r->timeout > wait ? r->timeout - wait : 0;
}

rf_t *rf_new(const rf_options_t *o)
{
	rf_t *r = mem_new(sizeof(*r));

	assert(o->self != 0 && o->election_ticks > o->heartbeat_ticks);
	r->cb = o->cb;
	r->self = o->self;
	r->election_ticks = o->election_ticks;
	r->heartbeat_ticks = o->heartbeat_ticks;
	r->random = o->random_seed ? o->random_seed : o->self;
	r->term = o->term;
	r->vote = o->vote;
	r->base = r->commit = r->applied = o->base;
	r->base_term = o->base_term;
	r->base_conf = r->conf = o->base_conf;
	r->conf_index = o->base;
	for (size_t i = 0; i < o->nentries; i++) {
		rf_entry_t e = o->entries[i];

		e.data.data_val = str_dup((str_t){e.data.data_val, e.data.data_len});
		rf_log_append(r, e);
		r->seqs[i] = 0;
	}
	r->persisted = r->synced = rf_last(r);
	r->verified = r->commit;
	raise_term(r);
	rf_reset_timeout(r);
	if (is_sole_voter(r))
		r->elapsed = r->timeout - 1; /* there is nobody to wait for */
	else if (r->term > 0)
		start_early(r);
	return r;
}

void rf_free(rf_t *r)
{
	if (!r)
		return;
	for (size_t i = 0; i < r->nlog; i++)
		free(r->log[i].data.data_val);
	free(r->log);
	free(r->seqs);
	free(r->held);
	free(r->reads);
	free(r);
}

void rf_set_hard(rf_t *r, uint64_t term, uint64_t vote)
{
	assert(term >= r->term);
	assert(term > r->term || r->vote == 0 || r->vote == vote); /* one vote a term */
	if (term == r->term && vote == r->vote)
		return;
	if (term > r->term)
		r->term_leader = 0;
	r->term = term;
	r->vote = vote;
	r->hard_seq = ++r->next_seq;
	r->cb.persist_hard(r->cb.ctx, r->hard_seq, term, vote);
}

static void hold(rf_t *r, const rf_msg_t *m)
{
	if (r->nheld == r->held_cap) {
		r->held_cap = r->held_cap ? r->held_cap * 2 : 8;
		r->held = mem_grow(r->held, r->held_cap * sizeof(*r->held));
	}
	r->held[r->nheld++] = (rf_held_t){*m, r->hard_seq};
}

void rf_send(rf_t *r, rf_msg_t *m, uint64_t to)
{
	m->from = r->self;
	m->to = to;
	if (m->term == 0)
		m->term = r->term;
	if (r->synced_seq >= r->hard_seq) {
		r->cb.send(r->cb.ctx, m);
		return;
	}
	/* Term and vote must be durable before anybody may rely on them. */
	assert(m->entries.entries_len == 0 && m->data.data_len == 0);
	hold(r, m);
}

static void release_held(rf_t *r)
{
	size_t done = 0;

	while (done < r->nheld && r->held[done].seq <= r->synced_seq) {
		rf_msg_t m = r->held[done++].m;

		if (m.term >= r->term || m.type == RF_PREVOTE_RESP)
			r->cb.send(r->cb.ctx, &m);
	}
	if (done == 0)
		return;
	r->nheld -= done;
	memmove(r->held, r->held + done, r->nheld * sizeof(*r->held));
}

static void set_role(rf_t *r, rf_role_t role)
{
	bool was = r->role == RF_LEADER;

	r->role = role;
	if (!was)
		return;
	r->transfer_to = 0;
	rf_reads_fail(r);
	r->cb.role(r->cb.ctx, role, r->term);
}

void rf_become_follower(rf_t *r, uint64_t term, uint64_t leader)
{
	if (term > r->term) {
		rf_set_hard(r, term, 0);
		r->verified = r->commit;
		r->round_answered = 0;
	}
	r->leader = leader;
	set_role(r, RF_FOLLOWER);
	rf_reset_timeout(r);
}

void rf_step_down(rf_t *r)
{
	if (r->role == RF_LEADER)
		rf_become_follower(r, r->term, 0);
}

void rf_fail(rf_t *r)
{
	/* Nothing more is acknowledged here, so that a successor need not wait for its timeout. */
	if (r->role == RF_LEADER)
		rf_lead_abandon(r);
	rf_step_down(r);
	r->failed = true;
	r->role = RF_FOLLOWER;
	r->leader = 0;
	r->nheld = 0;
}

void rf_tick(rf_t *r)
{
	if (r->failed)
		return;
	if (r->role == RF_LEADER) {
		rf_lead_tick(r);
		return;
	}
	r->elapsed++;
	if (r->elapsed < r->timeout)
		return;
	r->leader = 0;
	rf_reset_timeout(r);
	rf_start_prevote(r);
}

void rf_synced(rf_t *r, uint64_t seq)
{
	if (r->failed)
		return;
	assert(seq >= r->synced_seq && seq <= r->next_seq);
	r->synced_seq = seq;
	release_held(r);
	if (r->role == RF_CANDIDATE)
		rf_count_self_vote(r);
	if (!rf_log_update_synced(r))
		return;
	if (r->role == RF_LEADER)
		rf_lead_update_commit(r);
	else
		rf_report_synced(r);
}

void rf_flush(rf_t *r)
{
	if (r->failed)
		return;
	rf_log_persist(r);
	if (r->role == RF_LEADER)
		rf_lead_flush(r);
}

/* Tells the sender of an old term that it has passed. */
static void answer_old_term(rf_t *r, const rf_msg_t *m)
{
	rf_msg_t resp = {.reject = true};

	if (m->type == RF_PREVOTE)
		resp.type = RF_PREVOTE_RESP;
	else if (m->type == RF_APPEND || m->type == RF_SNAP)
		resp.type = RF_APPEND_RESP;
	else
		return;
	rf_send(r, &resp, m->from);
}

/* Brings the own term up to the message's; false when the message is to be dropped. */
static bool check_term(rf_t *r, const rf_msg_t *m)
{
	bool leads = m->type == RF_APPEND || m->type == RF_SNAP;

	if (m->type == RF_PREVOTE)
		return true;
	if (m->type == RF_VOTE && !m->force && rf_has_lease(r))
		return false;
	if (m->term < r->term) {
		answer_old_term(r, m);
		return false;
	}
	if (m->term > r->term && (m->type != RF_PREVOTE_RESP || m->reject))
		rf_become_follower(r, m->term, leads ? m->from : 0);
	return true;
}

static void dispatch(rf_t *r, rf_msg_t *m)
{
	switch (m->type) {
	case RF_PREVOTE:
		if (m->term < r->term)
			answer_old_term(r, m);
		else
			rf_handle_prevote(r, m);
		break;
	case RF_VOTE:
		rf_handle_vote(r, m);
		break;
	case RF_PREVOTE_RESP:
	case RF_VOTE_RESP:
		rf_handle_vote_resp(r, m);
		break;
	case RF_APPEND:
		rf_handle_append(r, m);
		break;
	case RF_APPEND_RESP:
		rf_handle_append_resp(r, m);
		break;
	case RF_SNAP:
		rf_handle_snap(r, m);
		break;
	case RF_SNAP_RESP:
		rf_handle_snap_resp(r, m);
		break;
	case RF_TIMEOUT_NOW:
		if (r->role != RF_LEADER && m->term == r->term)
			rf_campaign(r, true);
		break;
	}
}

void rf_receive(rf_t *r, rf_msg_t *m)
{
	if (r->failed || m->to != r->self || m->from == r->self)
		return;
	if (check_term(r, m))
		dispatch(r, m);
}

uint64_t rf_propose(rf_t *r, str_t cmd)
{
	rf_entry_t e = {.term = r->term, .kind = RF_COMMAND};

	if (r->role != RF_LEADER || r->transfer_to || r->failed)
		return 0;
	e.data.data_len = (u_int)cmd.n;
	e.data.data_val = str_dup(cmd);
	rf_log_append(r, e);
	return rf_last(r);
}

rf_role_t rf_role(const rf_t *r)
{
	return r->role;
}

uint64_t rf_applied(const rf_t *r)
{
	return r->applied;
}

void rf_view(const rf_t *r, rf_view_t *out)
{
	*out = (rf_view_t){.self = r->self,
			   .role = r->role,
			   .term = r->term,
			   .leader = r->leader,
			   .commit = r->commit,
			   .applied = r->applied,
			   .base = r->base,
			   .last = rf_last(r),
			   .synced = r->synced,
			   .failed = r->failed,
			   .conf = r->conf};
	for (unsigned i = 0; i < r->conf.n && r->role == RF_LEADER; i++)
		out->match[i] = r->conf.peers[i].id == r->self ? r->synced : r->progress[i].match;
}
