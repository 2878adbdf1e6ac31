/* Elections: pre-vote, votes and the leader lease. */
#include "raft/raft_internal.h"

#include <assert.h>

bool raft_has_leader_lease(const raft_t *r)
{
	if (r->role == RAFT_LEADER)
		return true;
	return r->leader != 0 && r->election_elapsed < r->election_ticks;
}

/* A replica that is not a voter by its own log may campaign once a candidate with an older log has
 * asked for its vote: its removal is not committed, or it has not received its promotion, and it
 * may be the only replica that can win. The votes are counted among the members in its own log, so
 * a win is as safe as any voter's. */
static bool may_campaign(const raft_t *r)
{
	int at = raft_members_find(&r->members, r->self);

	return r->counted_as_voter || (at >= 0 && r->members.peers[at].voter);
}

static bool voted_for_us(const raft_t *r, unsigned i, uint64_t unused)
{
	if (r->members.peers[i].id == r->self)
		return r->self_vote;
	for (unsigned v = 0; v < r->nvotes; v++) {
		if (r->votes[v] == r->members.peers[i].id)
			return true;
	}
	return false;
}

static void request_votes(raft_t *r, raft_msg_type_t type, uint64_t term, bool force)
{
	raft_msg_t m = {.type = type, .term = term, .force = force};

	m.index = raft_last_index(r);
	m.log_term = raft_term_at(r, m.index);
	for (unsigned i = 0; i < r->members.n; i++) {
		if (r->members.peers[i].voter && r->members.peers[i].id != r->self)
			raft_send_msg(r, &m, r->members.peers[i].id);
	}
}

void raft_start_prevote(raft_t *r)
{
	if (!may_campaign(r))
		return;
	r->role = RAFT_PRECANDIDATE;
	r->nvotes = 0;
	r->self_vote = true;
	if (raft_has_quorum(r, voted_for_us, 0))
		raft_campaign(r, false);
	else
		request_votes(r, RAFT_PREVOTE, r->term + 1, false);
}

void raft_campaign(raft_t *r, bool force)
{
	if (!may_campaign(r))
		return;
	raft_set_hard_state(r, r->term + 1, r->self);
	r->verified = r->commit;
	r->round_echoed = 0;
	r->role = RAFT_CANDIDATE;
	r->leader = 0;
	r->nvotes = 0;
	r->self_vote = false;
	r->elections++;
	raft_reset_election_timeout(r);
	request_votes(r, RAFT_VOTE, r->term, force);
}

void raft_count_self_vote(raft_t *r)
{
	if (r->self_vote || r->synced_seq < r->hard_state_seq)
		return;
	r->self_vote = true;
	if (raft_has_quorum(r, voted_for_us, 0))
		raft_become_leader(r);
}

static bool candidate_log_is_up_to_date(const raft_t *r, const raft_msg_t *m)
{
	uint64_t term = raft_term_at(r, raft_last_index(r));

	return m->log_term > term || (m->log_term == term && m->index >= raft_last_index(r));
}

/* Of two replicas that ask for pre-votes at the same time, the one with the lower id waits for the
 * other: both would vote for themselves, the more often the longer the round trip is. */
static void yield_to(raft_t *r, uint64_t other)
{
	if (r->role != RAFT_PRECANDIDATE || other < r->self)
		return;
	r->role = RAFT_FOLLOWER;
	raft_reset_election_timeout(r);
}

void raft_handle_prevote(raft_t *r, const raft_msg_t *m)
{
	raft_msg_t resp = {.type = RAFT_PREVOTE_RESP};

	resp.reject = m->term <= r->term || raft_has_leader_lease(r) ||
		      !candidate_log_is_up_to_date(r, m);
	r->counted_as_voter |= m->term > r->term && !raft_has_leader_lease(r) &&
			       !candidate_log_is_up_to_date(r, m);
	resp.term = resp.reject ? r->term : m->term;
	raft_send_msg(r, &resp, m->from);
	if (!resp.reject)
		yield_to(r, m->from);
}

void raft_handle_vote(raft_t *r, const raft_msg_t *m)
{
	raft_msg_t resp = {.type = RAFT_VOTE_RESP};

	assert(m->term == r->term);
	resp.reject = (r->vote != 0 && r->vote != m->from) || r->role == RAFT_LEADER ||
		      r->term_leader != 0 || !candidate_log_is_up_to_date(r, m);
	if (!resp.reject) {
		r->elections += r->vote == 0;
		raft_set_hard_state(r, r->term, m->from);
		raft_reset_election_timeout(r);
	}
	raft_send_msg(r, &resp, m->from);
}

void raft_handle_vote_resp(raft_t *r, const raft_msg_t *m)
{
	bool pre = m->type == RAFT_PREVOTE_RESP;

	if (m->reject || r->role != (pre ? RAFT_PRECANDIDATE : RAFT_CANDIDATE))
		return;
	if (m->term != r->term + (pre ? 1 : 0) || r->nvotes == GROUP_PEERS_MAX)
		return;
	for (unsigned i = 0; i < r->nvotes; i++) {
		if (r->votes[i] == m->from)
			return;
	}
	r->votes[r->nvotes++] = m->from;
	if (!raft_has_quorum(r, voted_for_us, 0))
		return;
	if (pre)
		raft_campaign(r, false);
	else
		raft_become_leader(r);
}
