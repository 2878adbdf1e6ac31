/* Set-up, dispatch of inputs, terms, and messages that wait for a sync. */
#include "raft/raft_internal.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include "base/prng.h"

/** The election timeout doubles at most this often. */
#define DOUBLINGS_MAX 3

unsigned raft_election_ticks(const raft_t *r)
{
	unsigned doublings = r->elections > 1 ? r->elections - 1 : 0;

	return r->election_ticks << (doublings < DOUBLINGS_MAX ? doublings : DOUBLINGS_MAX);
}

void raft_reset_election_timeout(raft_t *r)
{
	unsigned ticks = raft_election_ticks(r);

	r->election_elapsed = 0;
	r->election_timeout = ticks + (unsigned)(prng_next(&r->prng_state) % ticks);
}

/* A snapshot may be durable before the term that it arrived in. No vote of that term can have been
 * sent, since votes wait for their own sync, so the vote starts empty. */
static void raise_term_to_log(raft_t *r)
{
	uint64_t last_term = raft_term_at(r, raft_last_index(r));

	if (last_term <= r->term)
		return;
	r->term = last_term;
	r->vote = 0;
}

static bool is_sole_voter(const raft_t *r)
{
	for (unsigned i = 0; i < r->members.n; i++) {
		if (r->members.peers[i].voter && r->members.peers[i].id != r->self)
			return false;
	}
	return raft_members_find(&r->members, r->self) >= 0;
}

/* A replica that has just restarted does not know the leader. It starts its first election early:
 * if there is a leader, the others reject the pre-vote; if all replicas restarted, none has to wait
 * a whole timeout. */
static void shorten_first_timeout(raft_t *r)
{
	unsigned wait = 1 + (unsigned)(prng_next(&r->prng_state) % (r->election_ticks / 2 + 1));

	r->election_elapsed = r->election_timeout > wait ? r->election_timeout - wait : 0;
}

raft_t *raft_new(const raft_options_t *o)
{
	raft_t *r = mem_new(sizeof(*r));

	assert(o->self != 0 && o->election_ticks > o->heartbeat_ticks);
	r->cb = o->cb;
	r->self = o->self;
	r->election_ticks = o->election_ticks;
	r->heartbeat_ticks = o->heartbeat_ticks;
	r->prng_state = o->random_seed ? o->random_seed : o->self;
	r->term = o->term;
	r->vote = o->vote;
	r->base = r->commit = r->applied = o->base;
	r->base_term = o->base_term;
	r->base_members = r->members = o->base_members;
	r->members_index = o->base;
	for (size_t i = 0; i < o->nentries; i++) {
		raft_entry_t e = o->entries[i];

		e.data.data_val = str_dup((str_t){e.data.data_val, e.data.data_len});
		raft_log_append(r, e);
		r->persist_seqs[i] = 0;
	}
	r->submitted = r->synced = raft_last_index(r);
	r->verified = r->commit;
	raise_term_to_log(r);
	raft_reset_election_timeout(r);
	if (is_sole_voter(r))
		r->election_elapsed = r->election_timeout - 1; /* no other voter to wait for */
	else if (r->term > 0)
		shorten_first_timeout(r);
	return r;
}

void raft_free(raft_t *r)
{
	if (!r)
		return;
	for (size_t i = 0; i < r->nlog; i++)
		free(r->log[i].data.data_val);
	free(r->log);
	free(r->persist_seqs);
	free(r->held_msgs);
	free(r->reads);
	free(r);
}

void raft_set_hard_state(raft_t *r, uint64_t term, uint64_t vote)
{
	assert(term >= r->term);
	assert(term > r->term || r->vote == 0 || r->vote == vote); /* one vote per term */
	if (term == r->term && vote == r->vote)
		return;
	if (term > r->term)
		r->term_leader = 0;
	r->term = term;
	r->vote = vote;
	r->hard_state_seq = ++r->next_seq;
	r->cb.persist_hard_state(r->cb.ctx, r->hard_state_seq, term, vote);
}

static void hold_until_synced(raft_t *r, const raft_msg_t *m)
{
	if (r->nheld == r->held_cap) {
		r->held_cap = r->held_cap ? r->held_cap * 2 : 8;
		r->held_msgs = mem_grow(r->held_msgs, r->held_cap * sizeof(*r->held_msgs));
	}
	r->held_msgs[r->nheld++] = (raft_held_msg_t){*m, r->hard_state_seq};
}

void raft_send_msg(raft_t *r, raft_msg_t *m, uint64_t to)
{
	m->from = r->self;
	m->to = to;
	if (m->term == 0)
		m->term = r->term;
	if (r->synced_seq >= r->hard_state_seq) {
		r->cb.send(r->cb.ctx, m);
		return;
	}
	/* Other replicas may rely on the message only once term and vote are durable. */
	assert(m->entries.entries_len == 0 && m->data.data_len == 0);
	hold_until_synced(r, m);
}

static void send_held_msgs(raft_t *r)
{
	size_t done = 0;

	while (done < r->nheld && r->held_msgs[done].seq <= r->synced_seq) {
		raft_msg_t m = r->held_msgs[done++].m;

		if (m.term >= r->term || m.type == RAFT_PREVOTE_RESP)
			r->cb.send(r->cb.ctx, &m);
	}
	if (done == 0)
		return;
	r->nheld -= done;
	memmove(r->held_msgs, r->held_msgs + done, r->nheld * sizeof(*r->held_msgs));
}

/* Sets the role. If this replica led until now, fails its pending reads and calls the role
 * callback. */
static void set_role(raft_t *r, raft_role_t role)
{
	bool was_leader = r->role == RAFT_LEADER;

	r->role = role;
	if (!was_leader)
		return;
	r->transfer_to = 0;
	raft_reads_fail(r);
	r->cb.role(r->cb.ctx, role, r->term);
}

void raft_become_follower(raft_t *r, uint64_t term, uint64_t leader)
{
	if (term > r->term) {
		raft_set_hard_state(r, term, 0);
		r->verified = r->commit;
		r->round_echoed = 0;
	}
	r->leader = leader;
	set_role(r, RAFT_FOLLOWER);
	raft_reset_election_timeout(r);
}

void raft_step_down(raft_t *r)
{
	if (r->role == RAFT_LEADER)
		raft_become_follower(r, r->term, 0);
}

void raft_on_disk_failed(raft_t *r)
{
	/* This replica acknowledges nothing more, so a successor can start at once instead of
	 * waiting for its election timeout. */
	if (r->role == RAFT_LEADER)
		raft_leader_hand_over(r);
	raft_step_down(r);
	r->failed = true;
	r->role = RAFT_FOLLOWER;
	r->leader = 0;
	r->nheld = 0;
}

void raft_on_disk_back(raft_t *r)
{
	assert(r->failed && r->role == RAFT_FOLLOWER);
	r->failed = false;
	raft_reset_election_timeout(r);
}

void raft_tick(raft_t *r)
{
	if (r->failed)
		return;
	if (r->role == RAFT_LEADER) {
		raft_leader_tick(r);
		return;
	}
	r->election_elapsed++;
	if (r->election_elapsed < r->election_timeout)
		return;
	r->leader = 0;
	raft_reset_election_timeout(r);
	raft_start_prevote(r);
}

void raft_on_synced(raft_t *r, uint64_t seq)
{
	if (r->failed)
		return;
	assert(seq >= r->synced_seq && seq <= r->next_seq);
	r->synced_seq = seq;
	send_held_msgs(r);
	if (r->role == RAFT_CANDIDATE)
		raft_count_self_vote(r);
	if (!raft_log_update_synced(r))
		return;
	if (r->role == RAFT_LEADER)
		raft_leader_update_commit(r);
	else
		raft_report_synced(r);
}

void raft_flush(raft_t *r)
{
	if (r->failed)
		return;
	raft_log_persist(r);
	if (r->role == RAFT_LEADER)
		raft_leader_flush(r);
}

/* Rejects a pre-vote, an append or a snapshot of an old term; the rejection carries the current
 * term. Other messages get no answer. */
static void reject_old_term(raft_t *r, const raft_msg_t *m)
{
	raft_msg_t resp = {.reject = true};

	if (m->type == RAFT_PREVOTE)
		resp.type = RAFT_PREVOTE_RESP;
	else if (m->type == RAFT_APPEND || m->type == RAFT_SNAPSHOT)
		resp.type = RAFT_APPEND_RESP;
	else
		return;
	raft_send_msg(r, &resp, m->from);
}

/* Adopts the term of a message if it is newer. Returns false if the message must be ignored. A
 * pre-vote request and a granted pre-vote carry the term of a possible election, which is not
 * adopted. */
static bool update_term(raft_t *r, const raft_msg_t *m)
{
	bool leads = m->type == RAFT_APPEND || m->type == RAFT_SNAPSHOT;

	if (m->type == RAFT_PREVOTE)
		return true;
	if (m->type == RAFT_VOTE && !m->force && raft_has_leader_lease(r))
		return false;
	if (m->term < r->term) {
		reject_old_term(r, m);
		return false;
	}
	if (m->term > r->term && (m->type != RAFT_PREVOTE_RESP || m->reject))
		raft_become_follower(r, m->term, leads ? m->from : 0);
	return true;
}

static void handle_msg(raft_t *r, raft_msg_t *m)
{
	switch (m->type) {
	case RAFT_PREVOTE:
		if (m->term < r->term)
			reject_old_term(r, m);
		else
			raft_handle_prevote(r, m);
		break;
	case RAFT_VOTE:
		raft_handle_vote(r, m);
		break;
	case RAFT_PREVOTE_RESP:
	case RAFT_VOTE_RESP:
		raft_handle_vote_resp(r, m);
		break;
	case RAFT_APPEND:
		raft_handle_append(r, m);
		break;
	case RAFT_APPEND_RESP:
		raft_handle_append_resp(r, m);
		break;
	case RAFT_SNAPSHOT:
		raft_handle_snap(r, m);
		break;
	case RAFT_SNAPSHOT_RESP:
		raft_handle_snap_resp(r, m);
		break;
	case RAFT_TIMEOUT_NOW:
		if (r->role != RAFT_LEADER && m->term == r->term)
			raft_campaign(r, true);
		break;
	}
}

void raft_receive(raft_t *r, raft_msg_t *m)
{
	if (r->failed || m->to != r->self || m->from == r->self)
		return;
	if (update_term(r, m))
		handle_msg(r, m);
}

uint64_t raft_propose(raft_t *r, str_t cmd)
{
	raft_entry_t e = {.term = r->term, .kind = RAFT_ENTRY_COMMAND};

	if (r->role != RAFT_LEADER || r->transfer_to || r->failed)
		return 0;
	e.data.data_len = (u_int)cmd.n;
	e.data.data_val = str_dup(cmd);
	raft_log_append(r, e);
	return raft_last_index(r);
}

raft_role_t raft_role(const raft_t *r)
{
	return r->role;
}

uint64_t raft_commit_index(const raft_t *r)
{
	return r->commit;
}

bool raft_get_progress(const raft_t *r, uint64_t id, raft_member_progress_t *out)
{
	int at = raft_members_find(&r->members, id);
	const raft_progress_t *p = &r->progress[at < 0 ? 0 : at];

	if (r->role != RAFT_LEADER || at < 0 || id == r->self)
		return false;
	*out = (raft_member_progress_t){.match = p->match};
	if (p->mode == RAFT_MODE_SNAPSHOT) {
		out->snap_index = p->snap_index;
		out->snap_offset = p->snap_offset;
	}
	return true;
}

uint64_t raft_applied_index(const raft_t *r)
{
	return r->applied;
}

uint64_t raft_log_bytes(const raft_t *r)
{
	return r->log_bytes;
}

void raft_get_status(const raft_t *r, raft_status_t *out)
{
	*out = (raft_status_t){.self = r->self,
			       .role = r->role,
			       .term = r->term,
			       .leader = r->leader,
			       .commit = r->commit,
			       .applied = r->applied,
			       .base = r->base,
			       .last = raft_last_index(r),
			       .synced = r->synced,
			       .log_bytes = r->log_bytes,
			       .failed = r->failed,
			       .members = r->members};
	for (unsigned i = 0; i < r->members.n && r->role == RAFT_LEADER; i++)
		out->match[i] =
			r->members.peers[i].id == r->self ? r->synced : r->progress[i].match;
}
