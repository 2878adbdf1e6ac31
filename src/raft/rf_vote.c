/* Elections: pre-vote, votes, and the lease of a leader that was heard lately. */
#include "raft/rf_int.h"

#include <assert.h>

bool rf_has_lease(const rf_t *r)
{
	if (r->role == RF_LEADER)
		return true;
	return r->leader != 0 && r->elapsed < r->election_ticks;
}

/* One that isn't a voter by its own log may campaign once a candidate with an older log has counted
 * on it: its removal isn't committed, or it hasn't seen its promotion, and it may be the only one
 * who can win. The votes are counted by the members that its log names, so that a win is as safe as
 * any. */
static bool may_campaign(const rf_t *r)
{
	int at = rf_conf_find(&r->conf, r->self);

	return r->asked || (at >= 0 && r->conf.peers[at].voter);
}

static bool voted_for_us(const rf_t *r, unsigned i, uint64_t unused)
{
	if (r->conf.peers[i].id == r->self)
		return r->self_vote;
	for (unsigned v = 0; v < r->nvotes; v++) {
		if (r->votes[v] == r->conf.peers[i].id)
			return true;
	}
	return false;
}

static void ask_voters(rf_t *r, rf_type_t type, uint64_t term, bool force)
{
	rf_msg_t m = {.type = type, .term = term, .force = force};

	m.index = rf_last(r);
	m.log_term = rf_term_at(r, m.index);
	for (unsigned i = 0; i < r->conf.n; i++) {
		if (r->conf.peers[i].voter && r->conf.peers[i].id != r->self)
			rf_send(r, &m, r->conf.peers[i].id);
	}
}

void rf_start_prevote(rf_t *r)
{
	if (!may_campaign(r))
		return;
	r->role = RF_PRECANDIDATE;
	r->nvotes = 0;
	r->self_vote = true;
	if (rf_quorum(r, voted_for_us, 0))
		rf_campaign(r, false);
	else
		ask_voters(r, RF_PREVOTE, r->term + 1, false);
}

void rf_campaign(rf_t *r, bool force)
{
	if (!may_campaign(r))
		return;
	rf_set_hard(r, r->term + 1, r->self);
	r->verified = r->commit;
	r->round_answered = 0;
	r->role = RF_CANDIDATE;
	r->leader = 0;
	r->nvotes = 0;
	r->self_vote = false;
	rf_reset_timeout(r);
	ask_voters(r, RF_VOTE, r->term, force);
}

void rf_count_self_vote(rf_t *r)
{
	if (r->self_vote || r->synced_seq < r->hard_seq)
		return;
	r->self_vote = true;
	if (rf_quorum(r, voted_for_us, 0))
		rf_become_leader(r);
}

static bool log_is_current(const rf_t *r, const rf_msg_t *m)
{
	uint64_t term = rf_term_at(r, rf_last(r));

	return m->log_term > term || (m->log_term == term && m->index >= rf_last(r));
}

void rf_handle_prevote(rf_t *r, const rf_msg_t *m)
{
	rf_msg_t resp = {.type = RF_PREVOTE_RESP};

	resp.reject = m->term <= r->term || rf_has_lease(r) || !log_is_current(r, m);
	r->asked |= m->term > r->term && !rf_has_lease(r) && !log_is_current(r, m);
	resp.term = resp.reject ? r->term : m->term;
	rf_send(r, &resp, m->from);
}

void rf_handle_vote(rf_t *r, const rf_msg_t *m)
{
	rf_msg_t resp = {.type = RF_VOTE_RESP};

	assert(m->term == r->term);
	resp.reject = (r->vote != 0 && r->vote != m->from) || r->role == RF_LEADER ||
		      r->term_leader != 0 || !log_is_current(r, m);
	if (!resp.reject) {
		rf_set_hard(r, r->term, m->from);
		rf_reset_timeout(r);
	}
	rf_send(r, &resp, m->from);
}

void rf_handle_vote_resp(rf_t *r, const rf_msg_t *m)
{
	bool pre = m->type == RF_PREVOTE_RESP;

	if (m->reject || r->role != (pre ? RF_PRECANDIDATE : RF_CANDIDATE))
		return;
	if (m->term != r->term + (pre ? 1 : 0) || r->nvotes == GR_PEERS_MAX)
		return;
	for (unsigned i = 0; i < r->nvotes; i++) {
		if (r->votes[i] == m->from)
			return;
	}
	r->votes[r->nvotes++] = m->from;
	if (!rf_quorum(r, voted_for_us, 0))
		return;
	if (pre)
		rf_campaign(r, false);
	else
		rf_become_leader(r);
}
